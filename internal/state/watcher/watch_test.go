package watcher_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
	"github.com/cyclamenward/cyclamenward/internal/state/watcher"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

var errDown = errors.New("store is down")

// fakeStore simulates a store whose answers the test sets.
type fakeStore struct {
	reads, watches atomic.Int64
	failing        atomic.Bool
	historyDropped atomic.Bool
	revision       atomic.Uint64
}

func (s *fakeStore) source() watcher.Source {
	// The revision is read once for each answer: a change between two reads would be
	// missing from the items but covered by the revision.
	answer := func(revision uint64) ([]replicator.Item, uint64, error) {
		return []replicator.Item{{Key: "k", Value: []byte("v"), Revision: revision}}, revision, nil
	}
	return watcher.Source{
		Read: func(context.Context, func([]replicator.Item) bool) ([]replicator.Item, uint64, error) {
			s.reads.Add(1)
			if s.failing.Load() {
				return nil, 0, errDown
			}
			return answer(s.revision.Load())
		},
		Watch: func(ctx context.Context, after uint64) ([]replicator.Item, uint64, error) {
			s.watches.Add(1)
			if s.failing.Load() {
				return nil, 0, errDown
			}
			if s.historyDropped.CompareAndSwap(true, false) {
				return nil, 0, watcher.ErrHistoryDropped
			}
			for range 100 {
				if revision := s.revision.Load(); revision > after {
					return answer(revision)
				}
				select {
				case <-ctx.Done():
				case <-time.After(10 * time.Millisecond):
				}
			}
			return nil, after, nil
		},
		Poll: func(_ context.Context, after uint64) ([]replicator.Item, uint64, error) {
			s.watches.Add(1)
			if s.failing.Load() {
				return nil, 0, errDown
			}
			if s.historyDropped.CompareAndSwap(true, false) {
				return nil, 0, watcher.ErrHistoryDropped
			}
			if revision := s.revision.Load(); revision > after {
				return answer(revision)
			}
			return nil, after, nil
		},
	}
}

// TestWatcherFollowsAndRecovers changes the store, makes it fail and drops its history:
// the table follows, the failing store gets few calls, and the outage is reported.
func TestWatcherFollowsAndRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		s.revision.Store(5)
		table := replicator.New()
		w := watcher.New(s.source(), table, watcher.Options{Paused: func() bool { return false }}, timekeeper.System{}, log.New(io.Discard))
		defer w.Close()
		<-time.After(10 * time.Millisecond)
		assert.Equal(t, table.NewestRevision(), uint64(5))
		s.revision.Store(6)
		<-time.After(1100 * time.Millisecond)
		assert.Equal(t, table.NewestRevision(), uint64(6))

		s.failing.Store(true)
		before := s.reads.Load() + s.watches.Load()
		<-time.After(20 * time.Second)
		assert.Assert(t, w.Outage().Failing)
		calls := s.reads.Load() + s.watches.Load() - before
		assert.Assert(t, calls < 60, "%d calls in 20 s at a store that is down", calls)

		s.revision.Store(7)
		s.historyDropped.Store(true)
		s.failing.Store(false)
		<-time.After(2 * time.Second)
		assert.Equal(t, table.NewestRevision(), uint64(7))
		assert.Assert(t, !w.Outage().Failing && !w.Outage().Ended.IsZero())
	})
}

// TestPausedWatcherMakesNoStoreCalls pauses a watcher, which then makes no calls, and
// resumes it.
func TestPausedWatcherMakesNoStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		s.revision.Store(5)
		var paused atomic.Bool
		w := watcher.New(s.source(), replicator.New(), watcher.Options{Paused: paused.Load}, timekeeper.System{}, log.New(io.Discard))
		defer w.Close()
		<-time.After(10 * time.Millisecond)
		paused.Store(true)
		<-time.After(2 * time.Second)
		before := s.watches.Load()
		<-time.After(time.Minute)
		assert.Equal(t, s.watches.Load(), before)
		paused.Store(false)
		<-time.After(time.Second)
		assert.Assert(t, s.watches.Load() > before)
	})
}

// TestPausedWatcherEndsItsOutage has the store turn a watcher away until others send it the
// changes: the outage ends then. Otherwise replicas that leave would count as expired in the
// outage, and be kept, for as long as the others send the changes.
func TestPausedWatcherEndsItsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		s.revision.Store(5)
		var paused atomic.Bool
		w := watcher.New(s.source(), replicator.New(), watcher.Options{Paused: paused.Load}, timekeeper.System{}, log.New(io.Discard))
		defer w.Close()
		<-time.After(time.Second)
		s.failing.Store(true)
		<-time.After(5 * time.Second)
		assert.Assert(t, w.Outage().Failing)
		paused.Store(true)
		<-time.After(2 * time.Second)
		outage := w.Outage()
		assert.Assert(t, !outage.Failing && time.Since(outage.Ended) <= 2*time.Second, "%v", outage)
		<-time.After(time.Minute)
		assert.Equal(t, w.Outage(), outage)
	})
}

// TestChangesAreBatched changes the store twenty times a second. The table follows with
// at most five calls a second.
func TestChangesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		s.revision.Store(5)
		table := replicator.New()
		w := watcher.New(s.source(), table, watcher.Options{Paused: func() bool { return false }}, timekeeper.System{}, log.New(io.Discard))
		defer w.Close()
		for range 200 {
			<-time.After(50 * time.Millisecond)
			s.revision.Add(1)
		}
		assert.Assert(t, s.watches.Load() <= 50, "%d calls in 10 s", s.watches.Load())
		<-time.After(1500 * time.Millisecond)
		assert.Equal(t, table.NewestRevision(), uint64(205))
	})
}

// TestHerdReadsFewPages restarts 100 daemons at a store whose contents take 60 pages. All
// have them although most stop reading when another one has brought the contents, and each
// uses the first page long before it has the last. A daemon with a head start reads none.
func TestHerdReadsFewPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons, pages = 100, 60
		var calls atomic.Int64
		source := watcher.Source{
			Read: func(_ context.Context, onPage func([]replicator.Item) bool) ([]replicator.Item, uint64, error) {
				var items []replicator.Item
				for page := range pages {
					<-time.After(20 * time.Millisecond)
					calls.Add(1)
					read := []replicator.Item{{Key: fmt.Sprint(page), Revision: uint64(page) + 1}}
					items = append(items, read...)
					if !onPage(read) {
						return nil, 0, watcher.ErrReadStopped
					}
				}
				return items, pages, nil
			},
			Watch: func(ctx context.Context, after uint64) ([]replicator.Item, uint64, error) {
				assert.Check(t, after == pages)
				<-ctx.Done()
				return nil, 0, ctx.Err()
			},
			Poll: func(ctx context.Context, _ uint64) ([]replicator.Item, uint64, error) { return nil, 0, ctx.Err() },
		}
		var tables []*replicator.Table
		for i := range daemons {
			table := replicator.New()
			tables = append(tables, table)
			options := watcher.Options{PagePause: time.Duration(i) * 50 * time.Millisecond / daemons, Paused: func() bool { return false }}
			if i == daemons-1 {
				options.HeadStart = 2 * time.Second
			}
			w := watcher.New(source, table, options, timekeeper.System{}, log.New(io.Discard))
			defer w.Close()
		}
		<-time.After(100 * time.Millisecond)
		for _, table := range tables[:daemons-1] {
			_, found := table.Get("0")
			assert.Assert(t, found && !table.Filled() && table.NewestRevision() == 0)
		}
		// The first daemon to have the contents brings them to all others.
		<-time.After(1400 * time.Millisecond)
		assert.Assert(t, tables[0].Filled())
		for _, table := range tables[1:] {
			table.Apply(tables[0].Since(table.NewestRevision()))
		}
		<-time.After(10 * time.Second)
		for _, table := range tables {
			assert.Equal(t, len(table.List("")), pages)
		}
		assert.Assert(t, calls.Load() < daemons*pages*2/3, "%d pages", calls.Load())
	})
}

// TestOutageBringsNoHerd guards against a store that is down and gets a call from each of 360 entries
// and 12,000 sidecars every second, more than the 2,000 a second that the smallest one answers.
func TestOutageBringsNoHerd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons, maxCallsPerSecond = 12_360, 2000
		var calls atomic.Int64
		var paused atomic.Bool
		call := func() ([]replicator.Item, uint64, error) {
			calls.Add(1)
			return nil, 0, errDown
		}
		source := watcher.Source{
			Watch: func(context.Context, uint64) ([]replicator.Item, uint64, error) { return call() },
			Poll:  func(context.Context, uint64) ([]replicator.Item, uint64, error) { return call() },
		}
		paused.Store(true)
		for i := range daemons {
			table := replicator.New()
			table.Apply(replicator.Delta{Revision: 7, Complete: true})
			options := watcher.Options{Paused: func() bool { return i >= 3 && paused.Load() }, Position: func() int { return i }}
			w := watcher.New(source, table, options, timekeeper.System{}, log.New(io.Discard))
			defer w.Close()
		}
		<-time.After(3 * time.Second)
		paused.Store(false)
		for second := range 10 {
			before := calls.Load()
			<-time.After(time.Second)
			assert.Check(t, calls.Load()-before <= maxCallsPerSecond, "%d calls in second %d", calls.Load()-before, second)
		}
	})
}

// TestUpdateBringsTheTableUpToDate guards against decisions on a list that is out of step (ORDER): in a
// daemon whose watch is silent a change is in the table once Update has returned, and Update
// fails if that is not possible. Those who ask at the same time share calls of the store, which
// begin after they have asked.
func TestUpdateBringsTheTableUpToDate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		store.revision.Store(7)
		source, polls := store.source(), atomic.Int64{}
		source.Poll = func(_ context.Context, after uint64) ([]replicator.Item, uint64, error) {
			polls.Add(1)
			revision := store.revision.Load()
			<-time.After(10 * time.Millisecond)
			switch {
			case store.failing.Load():
				return nil, 0, errDown
			case store.historyDropped.Load():
				return nil, 0, watcher.ErrHistoryDropped
			case revision > after:
				return []replicator.Item{{Key: "k", Value: []byte("v"), Revision: revision}}, revision, nil
			}
			return nil, revision, nil
		}
		source.Watch = func(ctx context.Context, _ uint64) ([]replicator.Item, uint64, error) {
			<-ctx.Done()
			return nil, 0, ctx.Err()
		}
		table := replicator.New()
		read, filled := source.Read, make(chan struct{})
		source.Read = func(ctx context.Context, onPage func([]replicator.Item) bool) ([]replicator.Item, uint64, error) {
			<-filled
			return read(ctx, onPage)
		}
		w := watcher.New(source, table, watcher.Options{Paused: func() bool { return false }}, timekeeper.System{}, log.New(io.Discard))
		defer w.Close()
		assert.Check(t, !w.Update(t.Context()), "the table is empty")
		close(filled)
		<-time.After(time.Second)
		assert.Check(t, w.Update(t.Context()))
		store.revision.Store(8)
		assert.Check(t, w.Update(t.Context()))
		assert.Equal(t, table.NewestRevision(), uint64(8))
		store.failing.Store(true)
		assert.Check(t, !w.Update(t.Context()), "the store is down")
		store.failing.Store(false)
		store.historyDropped.Store(true)
		assert.Check(t, !w.Update(t.Context()), "the history is gone")
		store.historyDropped.Store(false)

		before := polls.Load()
		var tasks sync.WaitGroup
		for n := range uint64(4) {
			for range 50 {
				tasks.Go(func() {
					assert.Check(t, w.Update(t.Context()) && table.NewestRevision() >= 8+n, "the table lacks a change from before the call")
				})
			}
			synctest.Wait()
			<-time.After(time.Millisecond)
			store.revision.Add(1)
		}
		tasks.Wait()
		assert.Equal(t, polls.Load()-before, int64(2))
	})
}

// TestCutWatchIsNoOutage guards against removed replicas that stay in use (DRAIN): the store cuts each watch
// that has waited for a second, which is no outage, and yet what was removed meanwhile was kept for
// as long as the cuts went on. Changes arrive, and an outage is still noticed.
func TestCutWatchIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		store.revision.Store(7)
		source := store.source()
		var cuts atomic.Int64
		source.Watch = func(context.Context, uint64) ([]replicator.Item, uint64, error) {
			<-time.After(time.Second)
			cuts.Add(1)
			return nil, 0, errors.New("connection was closed")
		}
		table := replicator.New()
		w := watcher.New(source, table, watcher.Options{Paused: func() bool { return false }}, timekeeper.System{}, log.New(io.Discard))
		defer w.Close()
		for n := range uint64(20) {
			<-time.After(1300 * time.Millisecond)
			assert.Check(t, !w.Outage().Failing && w.Outage().Began.IsZero(), "an outage after %d cuts", cuts.Load())
			assert.Check(t, table.NewestRevision() >= 7+n-min(n, 1), "the table is %d changes behind", 7+n-table.NewestRevision())
			store.revision.Add(1)
		}
		assert.Check(t, cuts.Load() >= 10)
		store.failing.Store(true)
		<-time.After(3 * time.Second)
		assert.Check(t, w.Outage().Failing)
		store.failing.Store(false)
		<-time.After(3 * time.Second)
		assert.Check(t, !w.Outage().Failing)
	})
}
