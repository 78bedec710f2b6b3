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
	// gather is the time between two calls, in which events gather.
	gather = 60 * time.Millisecond
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

// Sink takes what was learnt.
type Sink struct {
	Event func(Event)
	// Clear means that the cache is empty.
	Clear func()
	// Changed is called behind each batch with events.
	Changed func()
}

// Follower runs until it is closed.
type Follower struct {
	poll   func(ctx context.Context, since int64) (Batch, error)
	sink   Sink
	logger *log.Logger
	cancel context.CancelFunc
	done   chan struct{}

	// The fields below are used by the goroutine only.

	// epoch and since are where the next call goes on; epoch is 0 before the first.
	epoch, since int64
	failing      bool
}

// New starts a follower. poll waits for events behind a number.
func New(poll func(ctx context.Context, since int64) (Batch, error), sink Sink, clock timekeeper.Clock, logger *log.Logger) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{poll: poll, sink: sink, logger: logger, cancel: cancel, done: make(chan struct{})}
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
		f.failing = true
		return retryPause
	}
	f.failing = false
	if batch.Epoch != f.epoch && f.epoch != 0 {
		// The cache began anew; the call went on from a number of the one before.
		f.sink.Clear()
		f.epoch, f.since = batch.Epoch, 0
		return gather
	}
	f.epoch, f.since = batch.Epoch, batch.Next
	for _, event := range batch.Events {
		f.sink.Event(event)
	}
	if len(batch.Events) > 0 {
		f.sink.Changed()
	}
	return gather
}

// Close ends the following.
func (f *Follower) Close() {
	f.cancel()
	<-f.done
}
