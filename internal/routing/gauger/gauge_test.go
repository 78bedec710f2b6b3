package gauger

import (
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// spells are the loads of a host that is slowed by other work for 15% of the time, in spells of 600 ms.
type spells struct {
	random *rand.Rand
	load   float64
	until  time.Time
}

func newSpells(seed uint64) *spells { return &spells{random: rand.New(rand.NewPCG(seed, 2)), load: 1} }

// at returns the load at a time, which must not be before that of the last call.
func (s *spells) at(now time.Time) float64 {
	for !now.Before(s.until) {
		if s.until.IsZero() {
			s.until = now
		}
		s.until = s.until.Add(600 * time.Millisecond)
		s.load = 1
		if s.random.Float64() < 0.15 {
			s.load = 2.5
		}
	}
	return s.load
}

// fleet is a replica with a true slowness whose answers reach a number of entries in turn.
type fleet struct {
	collector *Collector
	entries   []*Gauge
	sent      []Evidence
	host      *spells
	slowness  float64
	served    int
}

func newFleet(entries int, slowness float64, seed uint64) *fleet {
	f := &fleet{collector: NewCollector(timekeeper.System{}), host: newSpells(seed), slowness: slowness, sent: make([]Evidence, entries)}
	for range entries {
		f.entries = append(f.entries, new(Gauge))
	}
	return f
}

// serve has the replica answer one request of the next entry, report its load and the entries and the
// sidecar exchange what they know.
func (f *fleet) serve() {
	const usual = 100 * time.Millisecond
	now := time.Now()
	load := f.host.at(now)
	i := f.served % len(f.entries)
	f.served++
	entry := f.entries[i]
	expected := time.Duration(entry.Slowness(now).Now * float64(usual))
	scatter := math.Exp(0.3 * f.host.random.NormFloat64())
	entry.RecordAnswer(time.Duration(f.slowness*load*scatter*float64(usual)), expected, now)
	f.collector.RecordLoad(int(100 * load))
	evidence := entry.Evidence()
	f.collector.Add(evidence.Since(f.sent[i]))
	f.sent[i] = evidence
	for _, g := range f.entries {
		g.RecordShared(f.collector.Shared(1), now)
	}
}

// own returns the slowness that the sidecar has learnt.
func (f *fleet) own() float64 { return float64(f.collector.Shared(1).SlownessPercent) / 100 }

// TestUnlikeSpeedsAreLearntByManyEntries guards against a fleet that never learns how slow a replica
// is, as each of 27 entries sees few of its answers: some 13 a second, beside noise of 600 ms.
func TestUnlikeSpeedsAreLearntByManyEntries(t *testing.T) {
	for _, slowness := range []float64{0.7, 1, 1.7} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(27, slowness, 1)
			for n := range 400 {
				f.serve()
				<-time.After(75 * time.Millisecond)
				if n > 80 {
					assert.Assert(t, math.Abs(math.Log(f.own()/slowness)) < math.Log(1.5), "slowness %v is taken for %v after %d answers", slowness, f.own(), n)
				}
			}
		})
	}
}

// TestNoiseOf600msIsForetoldBetterThanByItsLastReport guards against choices that flap with each
// report: reports every 200 ms that are 150 ms old foretell the load 300 ms on.
func TestNoiseOf600msIsForetoldBetterThanByItsLastReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var track loadTrack
		host := newSpells(3)
		var ours, last, none float64
		for range 2000 {
			load, at := host.at(time.Now()), time.Now()
			<-time.After(150 * time.Millisecond)
			track.add(load, at)
			ahead := time.Now().Add(300 * time.Millisecond)
			expected := track.expected(ahead)
			<-time.After(50 * time.Millisecond)
			then := *host
			random := *host.random
			then.random = &random
			actual := then.at(ahead)
			ours += (expected - actual) * (expected - actual)
			last += (load - actual) * (load - actual)
			none += (1 - actual) * (1 - actual)
		}
		assert.Assert(t, ours < 0.8*last && ours < 0.95*none, "squared errors %.0f, of the last report %.0f, without reports %.0f", ours, last, none)
	})
}

// TestReplicaTurnsSlowThenRecovers guards against a replica that is five times as slow for some
// seconds and gets work as before, or gets little for long after it has recovered.
func TestReplicaTurnsSlowThenRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(27, 1, 5)
		serve := func(answers int) {
			for range answers {
				f.serve()
				<-time.After(75 * time.Millisecond)
			}
		}
		serve(200)
		f.slowness = 5
		serve(30)
		assert.Assert(t, f.own() > 2.5, "%v", f.own())
		serve(40)
		f.slowness = 1
		slow := f.own()
		// Avoided, it gets no answers at first.
		<-time.After(forgetTime)
		assert.Assert(t, f.own() < math.Sqrt(slow), "%v", f.own())
		serve(30)
		assert.Assert(t, f.own() < 1.5, "%v", f.own())
	})
}

// TestReportsThatLieAreBounded guards against a replica, a sidecar or an entry whose reports make
// one replica take all requests or none.
func TestReportsThatLieAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, percent := range []int{-5, 0, 1, 1 << 40} {
			g, now := new(Gauge), time.Now()
			g.RecordLoad(percent, now)
			assert.Assert(t, g.Slowness(now).Now > 0.99*minLoad && g.Slowness(now).Now < 1.01*maxLoad, "load %d: %v", percent, g.Slowness(now).Now)
			<-time.After(10 * loadMemory)
			assert.Assert(t, math.Abs(g.Slowness(time.Now()).Now-1) < 0.01)
			g.RecordShared(Shared{SlownessPercent: percent}, time.Now())
			assert.Assert(t, math.Abs(math.Log(g.Slowness(time.Now()).Now)) < maxLogSlowness+0.01)
		}
		c := NewCollector(timekeeper.System{})
		c.Add(Evidence{Answers: 1, LogMilli: math.MaxInt64})
		c.Add(Evidence{Answers: -3, LogMilli: 5})
		c.Add(Evidence{Answers: math.MaxInt64, LogMilli: math.MinInt64})
		assert.Assert(t, c.Shared(0).SlownessPercent >= 50 && c.Shared(0).SlownessPercent <= 200, "%+v", c.Shared(0))
	})
}

// TestNewStartBeginsAtTheServicesPace guards against a replica that is avoided, or flooded, for the
// speed that another start under its address had.
func TestNewStartBeginsAtTheServicesPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 4, 7)
		for range 40 {
			f.serve()
		}
		assert.Assert(t, f.own() > 2)
		assert.Equal(t, f.collector.Shared(2).SlownessPercent, 0)
		assert.Equal(t, new(Gauge).Slowness(time.Now()), Usual)
	})
}
