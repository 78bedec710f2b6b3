package router

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/divider"
	"github.com/cyclamenward/cyclamenward/timekeeper"
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

// exchange has the daemons exchange reports through one sidecar, each in an interval, until the
// returned function is called.
func (f *limitedFleet) exchange(interval time.Duration) (stop func()) {
	sidecar := divider.New(timekeeper.System{})
	var members []divider.Member
	for n := range f.daemons {
		members = append(members, divider.Member{ID: uint64(n + 1), Region: "r"})
	}
	return repeatInTurn(len(f.daemons), interval, func(n int) func() {
		limits := f.daemons[n].pool.Limits()
		limits.SetSelf(members[n])
		limits.SetMembers(sidecar, members)
		reported, received := uint64(0), uint64(0)
		return func() {
			toReport, toReceive := limits.Version(), sidecar.Version()
			sidecar.Merge(limits.Report(reported))
			limits.Merge(sidecar.Report(received))
			reported, received = toReport, toReceive
		}
	})
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
		defer f.exchange(300 * time.Millisecond)()
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

// TestLimitsHoldOverFleetsOfAllSizes guards against daemons that each allow what all together
// may: one replica names a limit far below one request a second for each daemon.
func TestLimitsHoldOverFleetsOfAllSizes(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{1, 5, 23, 360} {
		for _, limit := range []float64{0, 0.3, 1.9, 20} {
			synctest.Test(t, func(t *testing.T) {
				f := newLimitedFleet(daemons, 3)
				defer f.exchange(300 * time.Millisecond)()
				f.limit(0, limit)
				_, refused := f.load(200, 12*time.Second)
				assert.Check(t, f.excess(0) <= 0, "%d daemons, limit %v: %d requests more than allowed", daemons, limit, f.excess(0))
				assert.Check(t, refused == 0, "%d daemons, limit %v: %d refused", daemons, limit, refused)
			})
		}
	}
}

// TestAllReplicasLimited has all replicas name limits that add up to less than the load. The
// bound from perfect knowledge is the sum of the limits; nine tenths of it are served, and all
// others are refused at once, with a time to come back.
func TestAllReplicasLimited(t *testing.T) {
	for _, daemons := range []int{3, 23} {
		synctest.Test(t, func(t *testing.T) {
			f := newLimitedFleet(daemons, 12)
			defer f.exchange(300 * time.Millisecond)()
			for i := range 12 {
				f.limit(i, 2+float64(i%3))
			}
			f.load(100, 5*time.Second)
			served, refused := f.load(100, 20*time.Second)
			const sum = 36 * 20
			assert.Check(t, served >= sum*9/10 && served <= sum*11/10, "%d daemons: %d served of %d", daemons, served, sum)
			assert.Equal(t, served+refused, 2000)
			for i := range 12 {
				assert.Check(t, f.excess(i) <= 0, "%d daemons: %d requests more than allowed", daemons, f.excess(i))
			}
			started := time.Now()
			for range 30 {
				if failure := f.daemons[0].router.Begin(newRequest(route(Repeatable, 2, false))).Failure; failure != nil {
					assert.Assert(t, failure.NotRun && failure.RetryAfter >= minRetryAfter && failure.RetryAfter < 10*time.Second)
				}
			}
			assert.Assert(t, time.Since(started) < time.Second)
		})
	}
}

// TestEndOfLimitReachesAllDaemons has a replica that took no requests at all take them again:
// some daemon finds out, and all use it.
func TestEndOfLimitReachesAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(5, 3)
		defer f.exchange(300 * time.Millisecond)()
		f.limit(0, 0)
		f.load(100, 10*time.Second)
		f.mu.Lock()
		delete(f.limits, "i-0")
		f.mu.Unlock()
		f.load(100, 10*time.Second)
		for n, bed := range f.daemons {
			bed.sentTo()
			for range 100 {
				bed.router.Begin(newRequest(route(Repeatable, 2, false)))
			}
			assert.Assert(t, bed.sentTo()["i-0"] > 10, "daemon %d", n)
		}
	})
}
