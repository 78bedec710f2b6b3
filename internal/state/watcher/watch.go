// Package watcher keeps a replicator table up to date from the platform's store.
package watcher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/joomcode/errorx"
)

// ErrHistoryDropped means that the store no longer has the history of a watch.
var ErrHistoryDropped = errorx.NewNamespace("watcher").NewType("forgotten").New("history was dropped")

const (
	// retryLeast and retryMost bound the pause after a failed call. A herd of
	// daemons stays below the store's rate of calls.
	retryLeast = 150 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// gather is the time between two watches, in which changes gather: each call is
	// priced. It is a tenth of the shortest time in which a change must be in force.
	gather = 250 * time.Millisecond
)

// Source is the store as a watcher sees it.
type Source struct {
	// Read returns all items below the watched prefixes and the store's revision
	// at the start of the reading.
	Read func(ctx context.Context) ([]replicator.Item, uint64, error)
	// Watch waits for changes behind a revision. It returns them with the
	// revision to go on from, or ErrForgotten.
	Watch func(ctx context.Context, after uint64) ([]replicator.Item, uint64, error)
}

// Outage is what a watcher knows of the store's failures.
type Outage struct {
	// Failing is set while the last call failed.
	Failing bool
	// Ended is when the last failure was over, zero if there was none.
	Ended time.Time
}

// pausePeriod is how often a paused watcher looks whether it must go on.
const pausePeriod = 250 * time.Millisecond

// Watcher runs until it is closed.
type Watcher struct {
	source Source
	table  *replicator.Table
	// paused reports whether others bring the changes.
	paused func() bool
	clock  timekeeper.Clock
	logger *log.Logger
	cancel context.CancelFunc
	done   chan struct{}

	// mu guards outage.
	mu     sync.Mutex
	outage Outage
}

// New starts a watcher that fills the table. It leaves the store alone while paused
// reports that other daemons bring the changes.
func New(source Source, table *replicator.Table, paused func() bool, clock timekeeper.Clock, logger *log.Logger) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{source: source, table: table, paused: paused, clock: clock, logger: logger, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		w.run(ctx)
	}()
	return w
}

// Close ends the watching.
func (w *Watcher) Close() {
	w.cancel()
	<-w.done
}

// Outage returns what is known of the store's failures.
func (w *Watcher) Outage() Outage {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outage
}

func (w *Watcher) run(ctx context.Context) {
	var revision uint64
	pause := retryLeast
	known := false
	for ctx.Err() == nil {
		if w.table.Filled() && w.paused() {
			w.rest(ctx, pausePeriod)
			continue
		}
		var err error
		if known {
			revision, err = w.follow(ctx, revision)
		} else {
			revision, err = w.read(ctx)
		}
		w.note(ctx, err)
		switch {
		case errors.Is(err, ErrHistoryDropped):
			known = false
		case err == nil:
			known, pause = true, retryLeast
			w.rest(ctx, gather)
		default:
			w.rest(ctx, pause/2+time.Duration(rand.Int64N(int64(pause))))
			pause = min(2*pause, retryMost)
		}
	}
}

// rest waits for a time or until ctx ends.
func (w *Watcher) rest(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-w.clock.After(d):
	}
}

func (w *Watcher) read(ctx context.Context) (uint64, error) {
	items, revision, err := w.source.Read(ctx)
	if err != nil {
		return 0, fmt.Errorf("read store: %w", err)
	}
	w.table.Apply(replicator.Delta{Revision: revision, Complete: true, Items: items})
	w.logger.Info("store: read whole.", "items", len(items), "revision", revision)
	return revision, nil
}

func (w *Watcher) follow(ctx context.Context, after uint64) (uint64, error) {
	items, revision, err := w.source.Watch(ctx, after)
	if err != nil {
		return after, fmt.Errorf("watch store: %w", err)
	}
	if len(items) > 0 {
		newest := uint64(0)
		for _, item := range items {
			newest = max(newest, item.Revision)
		}
		w.table.Apply(replicator.Delta{Revision: newest, Items: items})
	}
	return max(after, revision), nil
}

// note keeps the start and end of an outage and logs both.
func (w *Watcher) note(ctx context.Context, err error) {
	if ctx.Err() != nil || errors.Is(err, ErrHistoryDropped) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	failing := err != nil
	if failing == w.outage.Failing {
		return
	}
	w.outage.Failing = failing
	if failing {
		w.logger.Warn("store: lost.", "err", err)
		return
	}
	w.outage.Ended = w.clock.Now()
	w.logger.Info("store: reached again.")
}
