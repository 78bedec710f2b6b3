package watcher_test

import (
	"context"
	"errors"
	"io"
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

// script is a store whose answers are set by the test.
type script struct {
	reads, watches atomic.Int64
	failing        atomic.Bool
	forgotten      atomic.Bool
	revision       atomic.Uint64
}

func (s *script) source() watcher.Source {
	item := func() []replicator.Item {
		return []replicator.Item{{Key: "k", Value: []byte("v"), Revision: s.revision.Load()}}
	}
	return watcher.Source{
		Read: func(context.Context) ([]replicator.Item, uint64, error) {
			s.reads.Add(1)
			if s.failing.Load() {
				return nil, 0, errDown
			}
			return item(), s.revision.Load(), nil
		},
		Watch: func(ctx context.Context, after uint64) ([]replicator.Item, uint64, error) {
			s.watches.Add(1)
			if s.failing.Load() {
				return nil, 0, errDown
			}
			if s.forgotten.CompareAndSwap(true, false) {
				return nil, 0, watcher.ErrHistoryDropped
			}
			for range 100 {
				if s.revision.Load() > after {
					return item(), s.revision.Load(), nil
				}
				select {
				case <-ctx.Done():
				case <-time.After(10 * time.Millisecond):
				}
			}
			return nil, after, nil
		},
	}
}

// TestWatcherFollowsAndRecovers changes the store, takes it down and drops its
// history.
func TestWatcherFollowsAndRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{}
		s.revision.Store(5)
		table := replicator.New()
		w := watcher.New(s.source(), table, func() bool { return false }, timekeeper.System{}, log.New(io.Discard))
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
		s.forgotten.Store(true)
		s.failing.Store(false)
		<-time.After(2 * time.Second)
		assert.Equal(t, table.NewestRevision(), uint64(7))
		assert.Assert(t, !w.Outage().Failing && !w.Outage().Ended.IsZero())
	})
}

// TestPausedWatcherLeavesTheStoreAlone has others bring the changes, and then not
// any more.
func TestPausedWatcherLeavesTheStoreAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{}
		s.revision.Store(5)
		var paused atomic.Bool
		w := watcher.New(s.source(), replicator.New(), paused.Load, timekeeper.System{}, log.New(io.Discard))
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

// TestChangesGather changes the store twenty times a second. The table follows, at no
// more than five calls a second.
func TestChangesGather(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{}
		s.revision.Store(5)
		table := replicator.New()
		w := watcher.New(s.source(), table, func() bool { return false }, timekeeper.System{}, log.New(io.Discard))
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
