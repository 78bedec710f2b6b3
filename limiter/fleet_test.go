package limiter_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/limiter"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fleetStep is the time between two actions of a play.
const fleetStep = 50 * time.Millisecond

// fleetPlay is a play of several daemons, each with a budget, that share the requests equally.
type fleetPlay struct {
	// restarts holds which daemon is killed and started again at each step, -1 for none.
	restarts []int
	// spendings holds at each step whether all retries that are allowed are sent.
	spendings []bool
	daemons   int
	// requests is the number of requests in each step.
	requests int
	// forgets is set if a daemon that starts takes its budget for a whole one, as if nothing had
	// been sent from its host: the fault that the test guards against.
	forgets bool
}

// run plays and returns when requests and retries of the fleet were sent.
func (p fleetPlay) run(t *testing.T) (requests, retries []time.Duration) {
	synctest.Test(t, func(*testing.T) {
		limits := limiter.BudgetLimits{Ratio: testRatio, Extra: testExtra, Window: testWindow}
		start := func(daemonStart time.Time) *limiter.WindowedBudget {
			if p.forgets {
				daemonStart = time.Time{}
			}
			return limiter.NewWindowedBudget(limits, func() float64 { return 1 / float64(p.daemons) }, daemonStart, timekeeper.System{})
		}
		budgets := make([]*limiter.WindowedBudget, p.daemons)
		for i := range budgets {
			budgets[i] = start(time.Time{})
		}
		began := time.Now()
		for i, restart := range p.restarts {
			if restart >= 0 {
				budgets[restart%p.daemons] = start(time.Now())
			}
			for r := range p.requests {
				budgets[(i*p.requests+r)%p.daemons].Earn()
				requests = append(requests, time.Since(began))
			}
			for _, budget := range budgets {
				for p.spendings[i] && budget.Spend() {
					retries = append(retries, time.Since(began))
				}
			}
			<-time.After(fleetStep)
		}
	})
	slices.Sort(retries)
	return requests, retries
}

// drawPlay draws restarts of one daemon or of all in series, at any distance, and when retries are
// sent.
func drawPlay(t *rapid.T) fleetPlay {
	p := fleetPlay{daemons: rapid.SampledFrom([]int{1, 3, 10}).Draw(t, "daemons"), requests: rapid.SampledFrom([]int{0, 1, 6, 30}).Draw(t, "requests")}
	steps := int(4 * testWindow / fleetStep)
	every := rapid.IntRange(1, 300).Draw(t, "every")
	from := rapid.IntRange(0, steps/2).Draw(t, "from")
	saving := rapid.IntRange(0, steps/2).Draw(t, "saving")
	for i := range steps {
		restart := -1
		if i >= from && i%every == 0 {
			restart = i / every
		}
		p.restarts = append(p.restarts, restart)
		p.spendings = append(p.spendings, i >= saving)
	}
	return p
}

// TestRestartsStayWithinTheFleetsBudget guards against retries that pile up beyond the budget of all
// daemons (BUDGET): each start brought the whole budget of a daemon anew, and what its
// predecessor had sent in the window was forgotten.
func TestRestartsStayWithinTheFleetsBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		play := drawPlay(rt)
		if share, from := worstSpan(play.run(t)); share > 1 {
			rt.Fatalf("%.2f of what the span from %v may have", share, from)
		}
	})
}

// TestCheckOfRestartsCatchesForgetting shows that the check above catches a daemon that starts with a
// whole budget.
func TestCheckOfRestartsCatchesForgetting(t *testing.T) {
	play := fleetPlay{daemons: 3, requests: 6, forgets: true}
	for i := range int(4 * testWindow / fleetStep) {
		play.restarts, play.spendings = append(play.restarts, i/5), append(play.spendings, true)
	}
	share, _ := worstSpan(play.run(t))
	assert.Assert(t, share > 1, "%.2f", share)
	play.forgets = false
	share, _ = worstSpan(play.run(t))
	assert.Assert(t, share <= 1, "%.2f", share)
}

// stepClock is a clock that a benchmark sets.
type stepClock struct {
	timekeeper.System
	now time.Time
}

func (c *stepClock) Now() time.Time { return c.now }

// BenchmarkRetriesAfterRestart measures which part of the wanted retries is allowed in the first ten
// seconds after all daemons have started at once: one request in ten wants one.
func BenchmarkRetriesAfterRestart(b *testing.B) {
	for _, fleet := range []struct{ daemons, requestsPerSecond, extra int }{{3, 160, 52}, {23, 640, 88}, {360, 23_000, 400}} {
		for _, established := range []bool{false, true} {
			b.Run(fmt.Sprintf("daemons=%d/established=%v", fleet.daemons, established), func(b *testing.B) {
				for b.Loop() {
					began := time.Unix(0, 0)
					clock, daemonStart := &stepClock{now: began}, began
					if established {
						daemonStart = time.Time{}
					}
					limits := limiter.BudgetLimits{Ratio: testRatio, Extra: float64(fleet.extra), Window: testWindow}
					budgets := make([]*limiter.WindowedBudget, fleet.daemons)
					for i := range budgets {
						budgets[i] = limiter.NewWindowedBudget(limits, func() float64 { return 1 / float64(fleet.daemons) }, daemonStart, clock)
					}
					wanted, allowed := 0, 0
					for i := range 10 * fleet.requestsPerSecond {
						clock.now = began.Add(time.Duration(i) * time.Second / time.Duration(fleet.requestsPerSecond))
						budget := budgets[i%fleet.daemons]
						budget.Earn()
						if i/fleet.daemons%10 != 0 {
							continue
						}
						if wanted++; budget.Spend() {
							allowed++
						}
					}
					b.ReportMetric(float64(allowed)/float64(wanted), "allowed")
				}
			})
		}
	}
}
