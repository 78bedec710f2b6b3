package router

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// pauseGrace is how long after asking for a pause a replica may still get requests, and
	// maxPauseArrivals how many it may get after that: the users' bounds.
	pauseGrace       = 500 * time.Millisecond
	maxPauseArrivals = 2
)

// pausingFleet simulates replicas that turn requests away and ask for pauses.
type pausingFleet struct {
	bed *testBed

	// mu guards the fields below.
	mu sync.Mutex
	// overloaded holds until when each replica turns requests away, by ID; pauseUntil until
	// when it has asked for a pause, since askedAt.
	overloaded, pauseUntil, askedAt map[string]time.Time
	// lateArrivals counts the arrivals in pauses, by replica, since the pause was asked for.
	lateArrivals map[string]int
	worst        int
}

func newPausingFleet(replicas int) *pausingFleet {
	f := &pausingFleet{overloaded: map[string]time.Time{}, pauseUntil: map[string]time.Time{}, askedAt: map[string]time.Time{}, lateArrivals: map[string]int{}}
	f.bed = newTestBed(replicas, func(_ int, a *Attempt) (*Reply, error) { return f.answer(a), nil })
	return f
}

// overload has a replica turn requests away for a time.
func (f *pausingFleet) overload(i int, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.overloaded[fmt.Sprint("i-", i)] = time.Now().Add(d)
}

func (f *pausingFleet) answer(a *Attempt) *Reply {
	f.mu.Lock()
	id, now := a.ReplicaID, time.Now()
	if now.Before(f.pauseUntil[id]) && now.After(f.askedAt[id].Add(pauseGrace)) {
		f.lateArrivals[id]++
		f.worst = max(f.worst, f.lateArrivals[id])
	}
	until := f.overloaded[id]
	if now.Before(until) {
		if !now.Before(f.pauseUntil[id]) {
			f.askedAt[id], f.pauseUntil[id], f.lateArrivals[id] = now, until, 0
		}
		f.mu.Unlock()
		reply := rejectionReply()
		reply.Pause = until.Sub(now)
		return reply
	}
	f.mu.Unlock()
	<-time.After(20 * time.Millisecond)
	return answerReply(200, "ok")
}

// TestThirdOfReplicasAskingForPauses has a third of the replicas ask for pauses of 1 to 5 s
// again and again at the busiest second. With perfect knowledge all requests are served by
// the others: so are they here, and late only by the rejection that brings the knowledge.
func TestThirdOfReplicasAskingForPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPausingFleet(9)
		var tasks sync.WaitGroup
		var mu sync.Mutex
		served, late := 0, 0
		const requests = 2000
		for n := range requests {
			if n%100 == 0 {
				f.overload(n/100%9, time.Duration(1+n/100%5)*time.Second)
			}
			tasks.Go(func() {
				started := time.Now()
				result := f.bed.router.Begin(newRequest(route(AtMostOnce, 1, false)))
				mu.Lock()
				defer mu.Unlock()
				if result.Failure == nil {
					served++
				}
				if time.Since(started) > 400*time.Millisecond {
					late++
				}
			})
			<-time.After(10 * time.Millisecond)
		}
		tasks.Wait()
		assert.Equal(t, served, requests)
		assert.Equal(t, late, 0)
		assert.Assert(t, f.worst <= maxPauseArrivals, "%d requests reached a replica in a pause", f.worst)
	})
}

// TestAllReplicasPausing refuses requests at once while all replicas have asked for pauses,
// with returns spread behind the end of the first.
func TestAllReplicasPausing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPausingFleet(3)
		for i := range 3 {
			f.overload(i, time.Duration(2+i)*time.Second)
		}
		for range 6 { // Each replica has turned one away.
			f.bed.router.Begin(newRequest(route(AtMostOnce, 1, false)))
		}
		f.bed.sentTo()
		first, last := time.Hour, time.Duration(0)
		for range 100 {
			started := time.Now()
			failure := f.bed.router.Begin(newRequest(route(AtMostOnce, 1, false))).Failure
			assert.Assert(t, failure != nil && failure.NotRun)
			assert.Equal(t, time.Since(started), time.Duration(0))
			first, last = min(first, failure.RetryAfter), max(last, failure.RetryAfter)
		}
		assert.Equal(t, len(f.bed.sentTo()), 0)
		assert.Assert(t, first >= 2*time.Second && first < 2200*time.Millisecond, "%v", first)
		assert.Assert(t, last > 2800*time.Millisecond && last <= 3*time.Second, "%v", last)
		<-time.After(first)
		assert.Assert(t, f.bed.router.Begin(newRequest(route(AtMostOnce, 1, false))).Failure == nil)
	})
}

// TestPauseEndsWithIncarnation has a replica start anew in its pause, and ask for a pause
// without end.
func TestPauseEndsWithIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPausingFleet(1)
		f.overload(0, 100*time.Hour)
		f.bed.router.Begin(newRequest(route(AtMostOnce, 1, false)))
		f.overload(0, 0)
		assert.Assert(t, f.bed.router.Begin(newRequest(route(AtMostOnce, 1, false))).Failure != nil)
		reborn := descriptor(0, 1)
		reborn.StartUnixMilli++
		f.bed.pool.SetReplicas([]Descriptor{reborn})
		assert.Assert(t, f.bed.router.Begin(newRequest(route(AtMostOnce, 1, false))).Failure == nil)

		f.overload(0, 100*time.Hour)
		f.bed.router.Begin(newRequest(route(AtMostOnce, 1, false)))
		f.overload(0, 0)
		<-time.After(maxReplicaPause)
		assert.Assert(t, f.bed.router.Begin(newRequest(route(AtMostOnce, 1, false))).Failure == nil)
	})
}
