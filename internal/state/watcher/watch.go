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

var errorNamespace = errorx.NewNamespace("watcher")

// ErrReadStopped means that a read ended early because its onPage returned false.
var ErrReadStopped = errorNamespace.NewType("stopped").New("read was stopped")

// ErrHistoryDropped means that the store no longer has all changes after the revision
// from which a watch should continue.
var ErrHistoryDropped = errorNamespace.NewType("forgotten").New("history was dropped")

const (
	// The interval between failed calls doubles from minRetryInterval to
	// maxRetryInterval; each pause is half to one and a half intervals. All daemons
	// together then stay below the store's rate limit.
	minRetryInterval = 150 * time.Millisecond
	maxRetryInterval = 800 * time.Millisecond
	// watchInterval is the time between two watch calls, in which changes accumulate,
	// because each call is priced. It is a tenth of the shortest time within which a
	// change must be in force.
	watchInterval = 250 * time.Millisecond
	// Daemons that turn to the store at the same time do so in the order of their positions:
	// callSpacing is the time between the calls of two of them, and readSpacingPerItem, for
	// each item, that between complete reads. A read takes twice that.
	callSpacing        = 5 * time.Millisecond
	readSpacingPerItem = 40 * time.Microsecond
)

// Source holds a watcher's calls to the store.
type Source struct {
	// Read returns all items below the watched prefixes and the store's revision
	// when the read began. It calls onPage with the items of each page as soon as it
	// has them, and returns ErrReadStopped once onPage returns false.
	Read func(ctx context.Context, onPage func([]replicator.Item) bool) ([]replicator.Item, uint64, error)
	// Watch waits for changes after a revision, for Timing.Wait at the most. It returns them with
	// the revision from which to continue, or ErrHistoryDropped.
	Watch func(ctx context.Context, after uint64) ([]replicator.Item, uint64, error)
	// Poll returns the changes after a revision, as Watch does, without waiting for any.
	Poll func(ctx context.Context, after uint64) ([]replicator.Item, uint64, error)
}

// Outage describes the store's current or last outage.
type Outage struct {
	// Failing is set if the last call failed.
	Failing bool
	// Began is when the last outage began, zero if there was none.
	Began time.Time
	// Ended is when the last outage ended, zero if none has ended.
	Ended time.Time
}

// pausedCheckInterval is how often a paused watcher checks whether it is still paused.
const pausedCheckInterval = 100 * time.Millisecond

// Options set how much of the store a watcher leaves to other daemons that fill the
// table, too.
type Options struct {
	// HeadStart is how long a watcher whose table is empty waits for other daemons to
	// fill it before it reads the store.
	HeadStart time.Duration
	// PagePause is the pause between two pages of the first read. A watcher stops
	// reading once others have filled the table.
	PagePause time.Duration
	// Paused reports whether other daemons send the changes.
	Paused func() bool
	// Position returns how many other daemons turn to the store before this one when it
	// answers again or others stop sending the changes. It is 0 for a watcher without one.
	Position func() int
}

// Watcher applies the store's changes to a table until it is closed.
type Watcher struct {
	source  Source
	table   *replicator.Table
	options Options
	clock   timekeeper.Clock
	logger  *log.Logger
	cancel  context.CancelFunc
	done    chan struct{}

	// mu guards the fields below.
	mu     sync.Mutex
	outage Outage
	// currentAt is the time up to which the store's answers had all changes, zero without any.
	currentAt time.Time
	// polling is the poll that is under way, and nextPoll the one that follows it, for those who
	// ask meanwhile. They are nil without any.
	polling, nextPoll *poll
}

// poll is a call of Source.Poll that several goroutines may await.
type poll struct {
	// done is closed once succeeded is set.
	done      chan struct{}
	succeeded bool
}

// New starts a watcher that fills the table. Once the table is filled, it makes no calls
// to the store while Options.Paused reports that other daemons send the changes.
func New(source Source, table *replicator.Table, options Options, clock timekeeper.Clock, logger *log.Logger) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{source: source, table: table, options: options, clock: clock, logger: logger, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		w.run(ctx)
	}()
	return w
}

// Close stops the watcher.
func (w *Watcher) Close() {
	w.cancel()
	<-w.done
}

// Outage returns the store's current or last outage.
func (w *Watcher) Outage() Outage {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outage
}

// CurrentAt returns the time up to which the store has answered this daemon with all changes, zero if
// it has not.
func (w *Watcher) CurrentAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.currentAt
}

// Update brings the table up to the moment of the call. It returns false if the store does not answer
// or has dropped the changes that the table lacks. Concurrent calls share one call of the store.
func (w *Watcher) Update(ctx context.Context) bool {
	p := w.joinPoll()
	select {
	case <-p.done:
		return p.succeeded
	case <-ctx.Done():
		return false
	}
}

// joinPoll returns a poll that begins after the call.
func (w *Watcher) joinPoll() *poll {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.polling == nil {
		w.polling = &poll{done: make(chan struct{})}
		go w.runPolls(w.polling)
		return w.polling
	}
	if w.nextPoll == nil {
		w.nextPoll = &poll{done: make(chan struct{})}
	}
	return w.nextPoll
}

// runPolls makes a poll and those that are asked for meanwhile.
func (w *Watcher) runPolls(current *poll) {
	for current != nil {
		current.succeeded = w.pollOnce()
		close(current.done)
		w.mu.Lock()
		w.polling, w.nextPoll = w.nextPoll, nil
		current = w.polling
		w.mu.Unlock()
	}
}

// pollOnce asks the store for the changes that the table lacks and applies them.
func (w *Watcher) pollOnce() bool {
	if !w.table.Filled() {
		return false
	}
	items, _, err := w.source.Poll(context.Background(), w.table.NewestRevision())
	if err != nil {
		w.logger.Info("store: the table cannot be brought up to date.", "err", err)
		return false
	}
	w.apply(items)
	return true
}

// apply applies changes to the table and records that the store has answered with all.
func (w *Watcher) apply(items []replicator.Item) {
	if len(items) > 0 {
		newest := uint64(0)
		for _, item := range items {
			newest = max(newest, item.Revision)
		}
		w.table.Apply(replicator.Delta{Revision: newest, Items: items})
	}
	w.recordCurrent(w.clock.Now())
}

// recordCurrent records that the table has all changes up to a time.
func (w *Watcher) recordCurrent(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at.After(w.currentAt) {
		w.currentAt = at
	}
}

// run reads the store completely, unless other daemons have filled the table, and then
// watches it, until ctx ends. It reads again if the store has dropped the history and no
// other daemon brings the contents.
func (w *Watcher) run(ctx context.Context) {
	var revision uint64
	retryInterval := minRetryInterval
	// droppedAt is the table's revision when the store had dropped the history after it, 0 if
	// the table has a later one.
	var droppedAt uint64
	// resumed is set for the first call after a pause. It does not wait for changes, so that its
	// answer can be reported to other daemons immediately.
	wasPaused, resumed := false, false
	w.awaitFilled(ctx)
	for ctx.Err() == nil {
		if w.table.Filled() && w.options.Paused() {
			// Others reach the store. Without calls of its own a paused watcher would never
			// see the end of an outage.
			w.recordOutcome(ctx, nil)
			wasPaused, resumed, droppedAt = true, true, 0
			w.sleep(ctx, pausedCheckInterval)
			continue
		}
		if wasPaused {
			wasPaused = false
			w.logger.Info("store: watched here, as too few others watch it.")
			w.sleep(ctx, time.Duration(w.position())*callSpacing)
			continue
		}
		if droppedAt != 0 && !w.awaitTurnToRead(ctx, droppedAt) {
			droppedAt = 0
			continue
		}
		var err error
		if droppedAt != 0 || !w.table.Filled() {
			revision, err = w.readAll(ctx)
		} else {
			revision, err = w.watch(ctx, max(revision, w.table.NewestRevision()), resumed)
		}
		resumed = false
		w.recordOutcome(ctx, err)
		switch {
		case errors.Is(err, ErrHistoryDropped):
			droppedAt = max(1, w.table.NewestRevision())
		case errors.Is(err, ErrReadStopped):
			droppedAt = 0
		case err == nil:
			droppedAt, retryInterval = 0, minRetryInterval
			w.sleep(ctx, watchInterval)
		default:
			interval := retryInterval/2 + time.Duration(rand.Int64N(int64(retryInterval)))
			w.sleep(ctx, max(interval, time.Duration(w.position())*callSpacing))
			retryInterval = min(2*retryInterval, maxRetryInterval)
		}
	}
}

// position returns Options.Position, 0 if there is none.
func (w *Watcher) position() int {
	if w.options.Position == nil {
		return 0
	}
	return w.options.Position()
}

// awaitTurnToRead waits until those before this daemon have had the time to read the store. It
// returns false if others have meanwhile brought what the table with the given revision lacks,
// or send the changes again.
func (w *Watcher) awaitTurnToRead(ctx context.Context, revision uint64) bool {
	timeout := w.clock.After(time.Duration(w.position()*w.table.Len()) * readSpacingPerItem)
	for ctx.Err() == nil {
		changed := w.table.Changed()
		if w.broughtUpToDate(revision) {
			return false
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-w.clock.After(pausedCheckInterval):
		case <-timeout:
			return true
		}
	}
	return false
}

// broughtUpToDate reports whether others have brought changes to the table since it had the
// given revision, or send the changes again.
func (w *Watcher) broughtUpToDate(revision uint64) bool {
	return w.table.NewestRevision() > revision || w.options.Paused()
}

// awaitFilled waits until other daemons have filled the table, for HeadStart at the most.
func (w *Watcher) awaitFilled(ctx context.Context) {
	timeout := w.clock.After(w.options.HeadStart)
	for ctx.Err() == nil {
		changed := w.table.Changed()
		if w.table.Filled() {
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timeout:
			return
		}
	}
}

// sleep waits for a time or until ctx ends.
func (w *Watcher) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-w.clock.After(d):
	}
}

// readAll reads the store completely into the table and returns the revision from which
// to watch. In the first read each page is applied at once, so that what it describes can
// be used before the rest is known.
func (w *Watcher) readAll(ctx context.Context) (uint64, error) {
	first, before := !w.table.Filled(), w.table.NewestRevision()
	onPage := func(items []replicator.Item) bool {
		if first {
			w.table.Apply(replicator.Delta{Items: items})
			w.sleep(ctx, w.options.PagePause)
		}
		if first {
			return !w.table.Filled()
		}
		return !w.broughtUpToDate(before)
	}
	began := w.clock.Now()
	items, revision, err := w.source.Read(ctx, onPage)
	if err != nil {
		return 0, fmt.Errorf("read store: %w", err)
	}
	w.table.Apply(replicator.Delta{Revision: revision, Complete: true, Items: items})
	w.recordCurrent(began)
	w.logger.Info("store: read completely.", "items", len(items), "revision", revision)
	return revision, nil
}

// watch applies the changes after a revision to the table and returns the revision from
// which to continue. A watch that is cut says nothing of the store: whether it answers is known
// from a call that does not wait, and so is the end of an outage. With atOnce the watch does not wait
// for changes either.
func (w *Watcher) watch(ctx context.Context, after uint64, atOnce bool) (uint64, error) {
	if !atOnce && !w.Outage().Failing {
		revision, err := w.applyChanges(ctx, w.source.Watch, after)
		if err == nil || errors.Is(err, ErrHistoryDropped) {
			return revision, err
		}
		w.logger.Debug("store: watch was cut.", "err", err)
	}
	return w.applyChanges(ctx, w.source.Poll, after)
}

// applyChanges applies the changes after a revision that a call of the store returns, and returns the
// revision from which to continue.
func (w *Watcher) applyChanges(ctx context.Context, call func(context.Context, uint64) ([]replicator.Item, uint64, error), after uint64) (uint64, error) {
	items, revision, err := call(ctx, after)
	if err != nil {
		return after, fmt.Errorf("watch store: %w", err)
	}
	w.apply(items)
	return max(after, revision), nil
}

// recordOutcome records and logs the start and the end of an outage from the result of a
// call. ErrHistoryDropped and ErrReadStopped count as neither.
func (w *Watcher) recordOutcome(ctx context.Context, err error) {
	if ctx.Err() != nil || errors.Is(err, ErrHistoryDropped) || errors.Is(err, ErrReadStopped) {
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
		w.outage.Began = w.clock.Now()
		w.logger.Warn("store: not available.", "err", err)
		return
	}
	w.outage.Ended = w.clock.Now()
	w.logger.Info("store: available again.")
}
