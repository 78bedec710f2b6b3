package divider_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/divider"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	censusStep = 500 * time.Millisecond
	// maxAnswerSteps is how long an answer of the store takes at most.
	maxAnswerSteps = 6
)

// censusAction happens to one daemon in one step.
type censusAction int

const (
	nothing censusAction = iota
	starts
	ends
	isCut
	isReached
	enrolls
	isRemoved
	isSlow
	censusActions
)

// censusStepOf is one step of a play.
type censusStepOf struct {
	action censusAction
	daemon int
	// length is a number of steps: before the next one, or of the store's answers.
	length int
}

// censusAnswer is an answer of the store on its way.
type censusAnswer struct {
	ids []uint64
	at  time.Time
}

// censusDaemon is one daemon without sidecars.
type censusDaemon struct {
	divider    *divider.Divider
	cut        bool
	delay      int
	answers    []censusAnswer
	lastAnswer []uint64
}

// censusPlay plays steps and returns the largest sum of the shares, and the last one.
type censusPlay struct {
	daemons map[int]*censusDaemon
	items   []uint64
	// ignoresAge is set for daemons that take a census for current however old it is.
	ignoresAge bool
	largest    float64
}

func (p *censusPlay) act(step censusStepOf) {
	id := uint64(step.daemon + 1)
	d := p.daemons[step.daemon]
	switch {
	case step.action == starts && d == nil:
		d = &censusDaemon{divider: divider.New(timekeeper.System{})}
		d.divider.SetSelf(divider.Member{ID: id})
		p.daemons[step.daemon] = d
	case step.action == isRemoved:
		p.items = slices.DeleteFunc(p.items, func(item uint64) bool { return item == id })
	case d == nil:
	case step.action == ends:
		delete(p.daemons, step.daemon)
	case step.action == isCut:
		d.cut, d.answers = true, nil
	case step.action == isReached:
		d.cut = false
	case step.action == isSlow:
		d.delay = step.length % (maxAnswerSteps + 1)
	case step.action == enrolls && !d.cut && !slices.Contains(p.items, id):
		p.items = append(p.items, id)
	}
	for range step.length {
		p.pass()
	}
}

// pass lets one step pass, in which the store answers the daemons that reach it.
func (p *censusPlay) pass() {
	<-time.After(censusStep)
	sum := 0.0
	for _, d := range p.daemons {
		now := time.Now()
		if !d.cut {
			d.answers = append(d.answers, censusAnswer{slices.Clone(p.items), now.Add(time.Duration(d.delay) * censusStep)})
		}
		for len(d.answers) > 0 && !now.Before(d.answers[0].at) {
			// The daemon only knows when the answer has arrived.
			d.divider.SetCensus(d.answers[0].ids, now)
			d.lastAnswer, d.answers = d.answers[0].ids, d.answers[1:]
		}
		if p.ignoresAge {
			d.divider.SetCensus(d.lastAnswer, now)
		}
		sum += d.divider.FleetShare()
	}
	p.largest = max(p.largest, sum)
}

// calm has all daemons reach the store for a while and returns the sum of their shares.
func (p *censusPlay) calm(duration time.Duration) (sum float64) {
	// The leases of daemons that have ended have ended.
	p.items = slices.DeleteFunc(p.items, func(id uint64) bool { return p.daemons[int(id)-1] == nil })
	for daemon, d := range p.daemons {
		d.cut, d.delay = false, 0
		p.act(censusStepOf{action: enrolls, daemon: daemon})
	}
	for range int(duration / censusStep) {
		p.pass()
	}
	for _, d := range p.daemons {
		sum += d.divider.FleetShare()
	}
	return sum
}

// TestSharesWithoutSidecarsAddUpToOne guards against a budget that daemons without sidecars exceed
// together, or do not use (BUDGET): in starts, ends, cuts, late answers and lost items in any
// order their shares add up to at most one, and to one when it is calm.
func TestSharesWithoutSidecarsAddUpToOne(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) censusStepOf {
			return censusStepOf{action: censusAction(rapid.IntRange(0, int(censusActions)-1).Draw(rt, "action")), daemon: rapid.IntRange(0, 3).Draw(rt, "daemon"), length: rapid.IntRange(0, 20).Draw(rt, "length")}
		}), 1, 60).Draw(rt, "steps")
		p, sum := &censusPlay{daemons: map[int]*censusDaemon{}}, 0.0
		synctest.Test(t, func(*testing.T) {
			for _, step := range steps {
				p.act(step)
			}
			sum = p.calm(12 * time.Minute)
		})
		if len(p.daemons) > 0 && sum < 0.999 {
			rt.Fatalf("%v: the shares add up to %v in calm", steps, sum)
		}
		if p.largest > 1+1e-9 {
			rt.Fatalf("%v: the shares add up to %v", steps, p.largest)
		}
	})
}

// TestCheckOfSharesCatchesOldCensus shows that the check above catches a daemon that is cut off and takes
// its census for current.
func TestCheckOfSharesCatchesOldCensus(t *testing.T) {
	for _, ignoresAge := range []bool{false, true} {
		t.Run(fmt.Sprint(ignoresAge), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &censusPlay{daemons: map[int]*censusDaemon{}, ignoresAge: ignoresAge}
				for _, step := range []censusStepOf{{starts, 0, 1}, {enrolls, 0, 40}, {isCut, 0, 1}, {starts, 1, 1}, {enrolls, 1, 40}} {
					p.act(step)
				}
				assert.Equal(t, p.largest > 1, ignoresAge)
			})
		})
	}
}
