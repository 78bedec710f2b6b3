package router

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// The users' bounds on a replica that names a limit. From limitGrace after it first named
// one, it may get limitFactor times what that allows in limitWindow, and limitExtra requests
// more, from daemons that received such an answer limitDelay before or earlier.
const (
	limitGrace  = 4 * time.Second
	limitDelay  = 500 * time.Millisecond
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
)

// limitedFleet simulates daemons before replicas of which some name limits.
type limitedFleet struct {
	daemons []*testBed

	// mu guards the fields below.
	mu sync.Mutex
	// limits holds the limits that replicas name, by ID, and namedAt since when.
	limits  map[string]float64
	namedAt map[string]time.Time
	// toldAt holds when a daemon first received an answer with a limit, by replica.
	toldAt []map[string]time.Time
	// counted holds the arrivals from daemons that know the limit, by replica.
	counted map[string][]time.Time
	// arrived counts all arrivals by replica.
	arrived map[string]int
}

func newLimitedFleet(daemons, replicas int) *limitedFleet {
	f := &limitedFleet{limits: map[string]float64{}, namedAt: map[string]time.Time{}, counted: map[string][]time.Time{}, arrived: map[string]int{}}
	for n := range daemons {
		f.toldAt = append(f.toldAt, map[string]time.Time{})
		f.daemons = append(f.daemons, newTestBed(replicas, func(_ int, a *Attempt) (*Reply, error) { return f.answer(n, a), nil }))
	}
	return f
}

// limit has a replica name a limit from now on.
func (f *limitedFleet) limit(i int, requestsPerSecond float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := fmt.Sprint("i-", i)
	f.limits[id], f.namedAt[id] = requestsPerSecond, time.Now()
}

// answer simulates a replica that works for 20 ms.
func (f *limitedFleet) answer(daemon int, a *Attempt) *Reply {
	id := a.ReplicaID
	f.mu.Lock()
	now := time.Now()
	f.arrived[id]++
	if told := f.toldAt[daemon][id]; !told.IsZero() && now.Sub(told) >= limitDelay {
		f.counted[id] = append(f.counted[id], now)
	}
	f.mu.Unlock()
	<-time.After(20 * time.Millisecond)
	reply := answerReply(200, "ok")
	f.mu.Lock()
	defer f.mu.Unlock()
	if limit, limited := f.limits[id]; limited {
		reply.RateLimit = &limit
		if f.toldAt[daemon][id].IsZero() {
			f.toldAt[daemon][id] = time.Now()
		}
	}
	return reply
}

// excess returns by how many requests a replica got more than it may in the worst window.
func (f *limitedFleet) excess(i int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := fmt.Sprint("i-", i)
	allowed := int(limitFactor*f.limits[id]*limitWindow.Seconds()) + limitExtra
	arrivals, worst, first := f.counted[id], 0, 0
	for last, at := range arrivals {
		for arrivals[first].Before(at.Add(-limitWindow)) || arrivals[first].Before(f.namedAt[id].Add(limitGrace)) && first < last {
			first++
		}
		worst = max(worst, last-first+1)
	}
	return worst - allowed
}

// load sends requests at a rate, each to a daemon in turn, for a time. It returns how many were
// served and how many not.
func (f *limitedFleet) load(perSecond int, d time.Duration) (served, refused int) {
	var tasks sync.WaitGroup
	var mu sync.Mutex
	for n := range int(d.Seconds() * float64(perSecond)) {
		tasks.Go(func() {
			result := f.daemons[n%len(f.daemons)].router.Begin(newRequest(route(Repeatable, 2, false)))
			mu.Lock()
			defer mu.Unlock()
			if result.Failure == nil {
				served++
			} else {
				refused++
			}
		})
		<-time.After(time.Second / time.Duration(perSecond))
	}
	tasks.Wait()
	return served, refused
}

// TestReplicaGetsNoMoreThanItsLimit guards against a replica getting more requests than the
// limit that it names, summed over all daemons, while the other replicas could serve all.
func TestReplicaGetsNoMoreThanItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(3, 12)
		f.load(100, time.Second)
		f.limit(3, 2.1)
		f.limit(6, 1.9)
		served, refused := f.load(100, 15*time.Second)
		assert.Check(t, f.excess(3) <= 0, "%d requests more than allowed", f.excess(3))
		assert.Check(t, f.excess(6) <= 0, "%d requests more than allowed", f.excess(6))
		assert.Equal(t, refused, 0)
		assert.Equal(t, served, 1500)
	})
}
