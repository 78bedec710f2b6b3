// Package follower follows the cache events of one replica.
//
// Events are late and some are lost. What is believed to be cached is a hint: a
// replica that is asked for a part that it has dropped says so within a millisecond.
package follower

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/timekeeper"
)

const (
	// retryPause is the time after a failed call.
	retryPause = 500 * time.Millisecond
	// callLimit bounds a call: the wait for events, a second, and some more.
	callLimit = 1500 * time.Millisecond
)

// Event tells that a part was stored, or dropped.
type Event struct {
	// Scope is the cache scope and ID the part's name in it.
	Scope, ID string
	Stored    bool
}

// Batch is the answer to one call.
type Batch struct {
	// Epoch changes when the cache begins anew.
	Epoch int64
	// Next is the number to go on from.
	Next   int64
	Events []Event
}

// Poll waits for events behind a number.
type Poll func(ctx context.Context, since int64) (Batch, error)

// Sink receives what changes.
type Sink struct {
	Event func(Event)
	// Clear means that the cache is empty.
	Clear func()
	// BatchApplied is called behind each batch with events.
	BatchApplied func()
	// ReachableChanged is called when the cache begins or ceases to answer; it may be nil.
	ReachableChanged func(bool)
}

// Follower runs until it is closed.
type Follower struct {
	poll   Poll
	sink   Sink
	gather time.Duration
	logger *log.Logger
	cancel context.CancelFunc
	done   chan struct{}

	// The fields below are used by the goroutine only.

	// epoch and since are where the next call goes on; epoch is 0 before the first.
	epoch, since int64
	// answers is the outcome of the last call. failing is set if it was an error.
	answers, failing bool
}

// New starts a follower. Between two calls events gather for a time.
func New(poll Poll, sink Sink, gather time.Duration, clock timekeeper.Clock, logger *log.Logger) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{poll: poll, sink: sink, gather: gather, logger: logger, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(f.done)
		for ctx.Err() == nil {
			pause := f.step(ctx)
			select {
			case <-ctx.Done():
			case <-clock.After(pause):
			}
		}
	}()
	return f
}

// step makes one call and returns the time until the next.
func (f *Follower) step(ctx context.Context) time.Duration {
	call, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	batch, err := f.poll(call, f.since)
	if err != nil {
		if !f.failing && ctx.Err() == nil {
			f.logger.Warn("cache: events lost.", "err", err)
		}
		f.setAnswers(false)
		return retryPause
	}
	f.setAnswers(true)
	if batch.Epoch != f.epoch && f.epoch != 0 {
		// The cache began anew; the call went on from a number of the one before.
		f.sink.Clear()
		f.epoch, f.since = batch.Epoch, 0
		return f.gather
	}
	f.epoch, f.since = batch.Epoch, batch.Next
	for _, event := range batch.Events {
		f.sink.Event(event)
	}
	if len(batch.Events) > 0 {
		f.sink.BatchApplied()
	}
	return f.gather
}

// setAnswers takes the outcome of a call.
func (f *Follower) setAnswers(answers bool) {
	f.failing = !answers
	if f.answers != answers && f.sink.ReachableChanged != nil {
		f.sink.ReachableChanged(answers)
	}
	f.answers = answers
}

// Close ends the following.
func (f *Follower) Close() {
	f.cancel()
	<-f.done
}
