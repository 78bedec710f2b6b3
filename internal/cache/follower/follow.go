// Package follower follows the events of caches: of a replica's own cache or of a cache
// store.
//
// Events arrive late and some are lost. What they say about a cache's contents is
// therefore only a hint. A wrong one costs little: a replica that has dropped a prompt
// part says so within a millisecond when the part is requested.
package follower

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/timekeeper"
)

const (
	// retryInterval is the time from a failed call to the next call.
	retryInterval = 500 * time.Millisecond
	// pollTimeout bounds a call: the cache waits a second for events; the rest is a
	// margin.
	pollTimeout = 1500 * time.Millisecond
)

// Event says that a prompt part was stored in a cache, or dropped from it.
type Event struct {
	// Scope is the cache scope, ID the part's name in that scope.
	Scope, ID string
	// Stored is false if the part was dropped.
	Stored bool
}

// Batch is the answer to one call.
type Batch struct {
	// Epoch changes when the cache restarts empty, with new event numbers.
	Epoch int64
	// Next is the number from which the next call continues.
	Next   int64
	Events []Event
}

// Poll waits for the events of a cache from a number on.
type Poll func(ctx context.Context, since int64) (Batch, error)

// Sink holds the functions that a follower calls with the changes of a cache.
type Sink struct {
	// Event is called with each event.
	Event func(Event)
	// Clear is called when the cache has become empty.
	Clear func()
	// BatchApplied is called after the events of a batch, if it has any.
	BatchApplied func()
	// ReachableChanged is called when the cache begins or ceases to answer. It may be
	// nil.
	ReachableChanged func(bool)
}

// Follower polls one cache for events until it is closed.
type Follower struct {
	poll Poll
	sink Sink
	// interval is the time between two successful calls, in which events accumulate.
	interval time.Duration
	logger   *log.Logger
	cancel   context.CancelFunc
	done     chan struct{}

	// The fields below are used by the polling goroutine only.

	// epoch is the Epoch of the last batch, 0 before the first; next is the number
	// from which the next call continues.
	epoch, next int64
	// reachable is set if the last call succeeded, failing if it failed. Neither is set
	// before the first call.
	reachable, failing bool
}

// New starts a follower. It waits for the interval between two calls, so that several
// events arrive in one batch.
func New(poll Poll, sink Sink, interval time.Duration, clock timekeeper.Clock, logger *log.Logger) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{poll: poll, sink: sink, interval: interval, logger: logger, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(f.done)
		for ctx.Err() == nil {
			pause := f.pollOnce(ctx)
			select {
			case <-ctx.Done():
			case <-clock.After(pause):
			}
		}
	}()
	return f
}

// pollOnce makes one call, applies the batch and returns the time until the next call.
func (f *Follower) pollOnce(ctx context.Context) time.Duration {
	pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	batch, err := f.poll(pollCtx, f.next)
	if err != nil {
		if !f.failing && ctx.Err() == nil {
			f.logger.Warn("cache: events cannot be read.", "err", err)
		}
		f.setReachable(false)
		return retryInterval
	}
	f.setReachable(true)
	if batch.Epoch != f.epoch && f.epoch != 0 {
		// The cache has restarted, but the call used an event number from before the
		// restart. The next call starts from 0.
		f.sink.Clear()
		f.epoch, f.next = batch.Epoch, 0
		return f.interval
	}
	f.epoch, f.next = batch.Epoch, batch.Next
	for _, event := range batch.Events {
		f.sink.Event(event)
	}
	if len(batch.Events) > 0 {
		f.sink.BatchApplied()
	}
	return f.interval
}

// setReachable records whether the last call succeeded and reports a change.
func (f *Follower) setReachable(reachable bool) {
	f.failing = !reachable
	if f.reachable != reachable && f.sink.ReachableChanged != nil {
		f.sink.ReachableChanged(reachable)
	}
	f.reachable = reachable
}

// Close stops the follower.
func (f *Follower) Close() {
	f.cancel()
	<-f.done
}
