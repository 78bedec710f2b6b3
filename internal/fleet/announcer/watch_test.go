package announcer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
	"github.com/cyclamenward/cyclamenward/internal/state/watcher"
	"gotest.tools/v3/assert"
)

const (
	// smallestDeadline is the time within which the smallest deployments want a change in force.
	smallestDeadline = 2500 * time.Millisecond
	// answerSlack is how much later than the store's answer is due a call counts as failed, and
	// pollTimeout the same for a call that does not wait for changes.
	answerSlack = 600 * time.Millisecond
	pollTimeout = 250 * time.Millisecond
	// watchPause is the watcher's pause between two watches.
	watchPause = 250 * time.Millisecond
)

// storeLink is a daemon's link to the store. While it is cut, the daemon gets no answers.
type storeLink struct{ cut atomic.Bool }

// call makes a call of the store, which fails after the timeout if its answer is lost.
func (l *storeLink) call(timeout time.Duration, call func(context.Context) ([]replicator.Item, uint64, error)) ([]replicator.Item, uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if !l.cut.Load() {
		items, position, err := call(ctx)
		if !l.cut.Load() {
			return items, position, err
		}
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// source returns the functions of a store as they are reached over the link.
func (l *storeLink) source(store watcher.Source, wait time.Duration) watcher.Source {
	return watcher.Source{
		Read: func(_ context.Context, onPage func([]replicator.Item) bool) ([]replicator.Item, uint64, error) {
			return l.call(time.Minute, func(ctx context.Context) ([]replicator.Item, uint64, error) { return store.Read(ctx, onPage) })
		},
		Watch: func(_ context.Context, after uint64) ([]replicator.Item, uint64, error) {
			return l.call(wait+answerSlack, func(ctx context.Context) ([]replicator.Item, uint64, error) { return store.Watch(ctx, after) })
		},
		Poll: func(_ context.Context, after uint64) ([]replicator.Item, uint64, error) {
			return l.call(pollTimeout, func(ctx context.Context) ([]replicator.Item, uint64, error) { return store.Poll(ctx, after) })
		},
	}
}

// watchFailures are the ways in which a daemon stops passing on what the store has.
var watchFailures = map[string]func(*storedDaemon){
	"cut":    func(d *storedDaemon) { d.storeLink.cut.Store(true) },
	"silent": func(d *storedDaemon) { d.storeLink.cut.Store(true); d.muted.Store(true) },
	"killed": func(d *storedDaemon) { d.storeLink.cut.Store(true); d.cancel() },
}

// watchCase is a change of the store after some entries have failed.
type watchCase struct {
	entries, sidecars int
	// phase is when the last entry fails, right before the change.
	phase time.Duration
	// failures holds, for entries that fail, how, and how long before phase.
	failures map[int]watchFailure
}

type watchFailure struct {
	how    string
	before time.Duration
}

// drawWatchCase draws a case in which the three entries that watch the store fail, and some others,
// but one entry remains.
func drawWatchCase(random *rand.Rand, entries, sidecars int) watchCase {
	c := watchCase{entries: entries, sidecars: sidecars, phase: 5*time.Second + time.Duration(random.Int64N(int64(3*time.Second))), failures: make(map[int]watchFailure)}
	hows := []string{"cut", "silent", "killed"}
	sound := 3 + random.IntN(entries-3)
	for i := range entries {
		if i != sound && (i < 3 || random.IntN(4) == 0) {
			f := watchFailure{how: hows[random.IntN(len(hows))]}
			if random.IntN(2) == 0 {
				f.before = time.Duration(random.Int64N(int64(2 * time.Second)))
			}
			c.failures[i] = f
		}
	}
	return c
}

// delay returns how long after the change the last sound daemon has it, at most limit.
func (c watchCase) delay(t *testing.T, timing watcher.Timing, limit time.Duration) time.Duration {
	t.Helper()
	var took time.Duration
	synctest.Test(t, func(*testing.T) {
		store := newReturningStore()
		store.put("op/config", []byte("1"))
		daemons := newTimedFleet(store, timing, c.entries, c.sidecars)
		defer closeStoredFleet(daemons)
		for i, f := range c.failures {
			time.AfterFunc(c.phase-f.before, func() { watchFailures[f.how](daemons[i]) })
		}
		// A change shortly before has begun the watches anew.
		<-time.After(c.phase - 400*time.Millisecond)
		store.put("op/config", []byte("2"))
		<-time.After(401 * time.Millisecond)
		store.put("op/config", []byte("3"))
		_, revision := store.copied()
		changedAt := time.Now()
		for i, d := range daemons {
			if _, failed := c.failures[i]; failed {
				continue
			}
			for d.deps.Table.NewestRevision() < replicator.Position(0, revision) && time.Since(changedAt) < limit {
				<-time.After(time.Millisecond)
			}
		}
		took = time.Since(changedAt)
	})
	return took
}

// TestChangeIsInForceWhateverWatchersFail guards against daemons that wait for changes from entries
// that no longer reach the store, or are gone, until these notice it themselves.
func TestChangeIsInForceWhateverWatchersFail(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 0))
	for _, size := range []struct{ entries, sidecars, cases int }{{5, 6, 40}, {23, 12, 8}, {100, 4, 3}} {
		worst := time.Duration(0)
		for range size.cases {
			c := drawWatchCase(random, size.entries, size.sidecars)
			took := c.delay(t, storeTiming, 2*smallestDeadline)
			assert.Check(t, took < smallestDeadline, "%v with %+v", took, c)
			worst = max(worst, took)
		}
		t.Logf("%d entries, %d sidecars: in force after %v at most", size.entries, size.sidecars, worst)
	}
}

// TestLateChangeIsCaught has daemons count as watching the store until their own calls fail, after long
// waits: the check of TestChangeIsInForceWhateverWatchersFail must see it.
func TestLateChangeIsCaught(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 0))
	late := 0
	for range 10 {
		if drawWatchCase(random, 5, 6).delay(t, watcher.Timing{Wait: smallestDeadline, Validity: time.Hour}, 2*smallestDeadline) >= smallestDeadline {
			late++
		}
	}
	assert.Assert(t, late > 0)
}

// TestFewCallsAtRest counts the calls of the store in fleets of several sizes without changes: those of
// three entries that watch it, and no more in larger fleets.
func TestFewCallsAtRest(t *testing.T) {
	for _, entries := range []int{5, 40, 100} {
		synctest.Test(t, func(t *testing.T) {
			store := newReturningStore()
			store.put("op/config", []byte("1"))
			daemons := newStoredFleet(store, entries, 4)
			defer closeStoredFleet(daemons)
			<-time.After(5 * time.Second)
			store.resetCalls()
			const quietSeconds = 20
			<-time.After(quietSeconds * time.Second)
			perSecond := float64(store.total()) / quietSeconds
			t.Logf("%d entries: %.1f calls a second", entries, perSecond)
			assert.Check(t, perSecond < 1.1*3/(storeTiming.Wait+watchPause).Seconds(), "%.1f calls a second with %d entries", perSecond, entries)
		})
	}
}
