package pacer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// fleet is the pacers of several daemons for one replica.
type fleet struct {
	pacers  []*Pacer
	changes []Change
}

// newFleet returns the pacers of a number of daemons, whose random numbers are spread evenly.
func newFleet(daemons int) *fleet {
	f := new(fleet)
	for i := range daemons {
		draws := i
		f.pacers = append(f.pacers, New(Options{
			Clock: timekeeper.System{}, Share: func() float64 { return 1 / float64(daemons) }, OnChange: func(c Change) { f.changes = append(f.changes, c) },
			Random: func() float64 {
				draws++
				return float64(draws%daemons) / float64(daemons)
			},
		}))
	}
	return f
}

// send has each daemon send as many requests as its pacer admits, and returns their flights.
func (f *fleet) send(request Request) (flights []Flight) {
	for _, p := range f.pacers {
		for p.Paced() && p.Admits(request.Movable, 400*time.Millisecond) {
			flight, taken := p.Take(request, false)
			if !taken {
				break
			}
			flights = append(flights, flight)
		}
	}
	return flights
}

var usual = Request{Tokens: 2000, Expected: 100 * time.Millisecond, Work: 100 * time.Millisecond, Movable: true}

// TestDaemonsTogetherBeginWithTheFirstLimit guards against a flood by daemons of which each sends a first
// request.
func TestDaemonsTogetherBeginWithTheFirstLimit(t *testing.T) {
	for _, daemons := range []int{1, 4, 23, 360} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(daemons)
			for _, p := range f.pacers {
				p.Begin(Started, nil)
			}
			sent := len(f.send(usual))
			assert.Assert(t, sent >= 1 && sent <= int(Started.firstLimit()), "%d requests of %d daemons", sent, daemons)
		})
	}
}

// TestSoundAnswersOpen guards against replicas that stay paced although they answer in time.
func TestSoundAnswersOpen(t *testing.T) {
	for _, daemons := range []int{1, 23} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(daemons)
			began := time.Now()
			for _, p := range f.pacers {
				p.Begin(Started, nil)
			}
			open := func() bool {
				for _, p := range f.pacers {
					if p.Paced() {
						return false
					}
				}
				return true
			}
			for !open() {
				flights := f.send(usual)
				<-time.After(100 * time.Millisecond)
				for i := range flights {
					flights[i].Answered(false)
				}
				for _, p := range f.pacers {
					p.Reported(time.Now(), 0)
				}
				assert.Assert(t, time.Since(began) < 2*time.Second)
			}
		})
	}
}

// TestLateAnswersLowerTheLimit has answers come later each round: the limit falls, and rises again after sound
// ones.
func TestLateAnswersLowerTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		p := f.pacers[0]
		p.Begin(Started, nil)
		answer := func(after time.Duration) {
			flights := f.send(usual)
			<-time.After(after)
			for i := range flights {
				flights[i].Answered(false)
			}
		}
		answer(100 * time.Millisecond)
		high := p.Limit()
		answer(600 * time.Millisecond)
		low := p.Limit()
		assert.Assert(t, high > Started.firstLimit() && low < high, "%v, %v", high, low)
		answer(100 * time.Millisecond)
		answer(100 * time.Millisecond)
		assert.Assert(t, p.Limit() > low)
	})
}

// TestSlowReplicaIsNotStarved guards against a limit that falls to nothing at a replica whose work always takes
// twice as long: only waiting lowers it.
func TestSlowReplicaIsNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		f.pacers[0].Begin(Started, nil)
		for range 10 {
			flights := f.send(usual)
			<-time.After(200 * time.Millisecond)
			for i := range flights {
				flights[i].Answered(false)
			}
		}
		assert.Assert(t, !f.pacers[0].Paced() || f.pacers[0].Limit() > Started.firstLimit())
	})
}

// TestEachFallBeginsLower guards against flapping replicas that get as much after each fall.
func TestEachFallBeginsLower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := newFleet(1).pacers[0]
		first.Begin(Started, nil)
		limit, last := first.Limit(), first
		for range maxFalls {
			<-time.After(time.Second)
			next := newFleet(1).pacers[0]
			next.Begin(Started, last)
			assert.Equal(t, next.Limit(), limit/2)
			limit, last = next.Limit(), next
		}
		<-time.After(fallMemory)
		next := newFleet(1).pacers[0]
		next.Begin(Started, last)
		assert.Equal(t, next.Limit(), Started.firstLimit())
	})
}

// TestProbesAreMovable guards against requests that only one replica may get being lost at one that has failed:
// they come only if no others do, one at a time.
func TestProbesAreMovable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFleet(1).pacers[0]
		p.Begin(Recovered, nil)
		assert.Assert(t, !p.Admits(false, 0))
		assert.Assert(t, p.Admits(true, 0))
		<-time.After(maxRound)
		assert.Assert(t, p.Admits(false, 0))
		flight, taken := p.Take(Request{}, false)
		assert.Assert(t, taken && !p.Admits(true, 0))
		flight.Failed()
		low := p.Limit()
		assert.Assert(t, low < Recovered.firstLimit())
		<-time.After(maxRound)
		p.Reported(time.Now(), 0)
		assert.Equal(t, p.Limit(), low)
	})
}

// TestLargeRequestsCountAsSeveral guards against prompts of any length in a limit of requests.
func TestLargeRequestsCountAsSeveral(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		f.pacers[0].Begin(NewWeights, nil)
		f.pacers[0].Reported(time.Now().Add(firstRound), 0)
		large := usual
		large.Tokens = 40_000
		assert.Equal(t, len(f.send(large)), 1)
		<-time.After(firstRound)
		assert.Equal(t, len(f.send(large)), 0)
	})
}

// TestBeyondTheLimit has a request without another replica be sent all the same.
func TestBeyondTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		f.pacers[0].Begin(Started, nil)
		flights := f.send(usual)
		_, taken := f.pacers[0].Take(usual, false)
		assert.Assert(t, len(flights) > 0 && !taken)
		_, taken = f.pacers[0].Take(usual, true)
		assert.Assert(t, taken)
	})
}

// TestFlightsOfAnEarlierPaceDoNotCount has a replica fall while requests are under way.
func TestFlightsOfAnEarlierPaceDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		p := f.pacers[0]
		p.Begin(Started, nil)
		flights := f.send(usual)
		flights[0].Answered(false)
		p.Begin(Reachable, nil)
		before := p.Limit()
		for i := range flights {
			flights[i].Failed()
		}
		assert.Equal(t, p.Limit(), before)
		assert.Equal(t, f.changes[0].Event, Paced)
	})
}

// TestOpenReplicaCostsNothing guards against a lock or memory on the path of requests to open replicas.
func TestOpenReplicaCostsNothing(t *testing.T) {
	p := newFleet(1).pacers[0]
	assert.Assert(t, !p.Paced())
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Equal(t, testing.AllocsPerRun(100, func() {
		flight, taken := p.Take(usual, false)
		flight.Answered(false)
		if p.Paced() || !taken {
			panic("paced")
		}
	}), 0.0)
}
