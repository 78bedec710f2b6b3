package announcer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// runPuller runs a puller until the test's bubble ends. The returned channel has the sessions in
// which it requests changes.
func runPuller(t *testing.T) (*puller[string], <-chan string) {
	t.Helper()
	requests := make(chan string, 100)
	p := newPuller(timekeeper.System{}, func(session string) { requests <- session }, func(string) {})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return p, requests
}

// TestRefusedRequestGoesToAnotherSource guards against a daemon that waits for the next message of a
// session after a refusal: it asks the next source at once, and those that refuse again.
func TestRefusedRequestGoesToAnotherSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, requests := runPuller(t)
		p.offer("a", 0, 0)
		p.offer("b", 0, 0)
		started := time.Now()
		first := <-requests
		p.refuse(first)
		second := <-requests
		assert.Assert(t, first != second)
		assert.Equal(t, time.Since(started), time.Duration(0))
		p.refuse(second)
		<-requests
		assert.Assert(t, time.Since(started) <= 2*busyRetryInterval, "%v", time.Since(started))
	})
}

// TestSilentSourceIsReplaced has a source make progress and then none: another one is asked, but not
// before.
func TestSilentSourceIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, requests := runPuller(t)
		p.offer("near", 0, 0)
		p.offer("far", 0, 1)
		assert.Equal(t, <-requests, "near")
		for range 10 {
			<-time.After(pullTimeout * 9 / 10)
			p.progress("near")
			assert.Equal(t, len(requests), 0)
		}
		last := time.Now()
		assert.Equal(t, <-requests, "far")
		assert.Equal(t, time.Since(last), pullTimeout)
	})
}

// TestChangesAreRequestedFromOneSource offers changes at different times: they are requested once
// the first may be asked, not again before the transfer has ended, and not from a session that has
// ended.
func TestChangesAreRequestedFromOneSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, requests := runPuller(t)
		started := time.Now()
		p.offer("late", time.Second, 0)
		p.offer("early", 100*time.Millisecond, 1)
		assert.Equal(t, <-requests, "early")
		assert.Equal(t, time.Since(started), 100*time.Millisecond)
		<-time.After(200 * time.Millisecond)
		p.end("early", 0)
		p.withdraw("early")
		p.remove("late")
		<-time.After(time.Minute)
		assert.Equal(t, len(requests), 0)
		p.offer("early", 0, 1)
		assert.Equal(t, <-requests, "early")
	})
}

// TestTurnsNeedNeighbors guards against a daemon that waits minutes for others of its region to request
// a change from another one, since the fleet has many replicas, although it has no session with any.
func TestTurnsNeedNeighbors(t *testing.T) {
	a := &Announcer{deps: Dependencies{Table: replicator.New()}, sessions: make(map[*session]bool), otherRegionPullTurn: 1}
	var items []replicator.Item
	for i := range 12_000 {
		items = append(items, replicator.Item{Key: replicaKey(i), Revision: 1})
	}
	a.deps.Table.Apply(replicator.Delta{Revision: 1, Complete: true, Items: items})
	for range 50 {
		far := new(session)
		far.otherRegion.Store(true)
		a.sessions[far] = true
	}
	assert.Equal(t, a.pullTurn(otherRegionPullSpacing), minOtherRegionPullDelay+minOtherRegionPullSpan)
	for range 50 {
		a.sessions[new(session)] = true
	}
	assert.Equal(t, a.pullTurn(otherRegionPullSpacing), minOtherRegionPullDelay+50*otherRegionPullSpacing)
}
