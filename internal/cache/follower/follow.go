// Package follower follows the cache events of one replica.
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
	Next int64
	// Lost is set if events are missing.
	Lost   bool
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
	cancel context.CancelFunc
	done   chan struct{}
}

// New starts a follower. poll waits for events behind a number.
func New(poll func(ctx context.Context, since int64) (Batch, error), sink Sink, clock timekeeper.Clock, logger *log.Logger) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(f.done)
		var epoch, since int64
		failing := false
		for ctx.Err() == nil {
			call, end := context.WithTimeout(ctx, callLimit)
			batch, err := poll(call, since)
			end()
			pause := gather
			switch {
			case err != nil:
				if !failing {
					logger.Warn("cache: events lost.", "err", err)
				}
				pause = retryPause
			case batch.Epoch != epoch:
				sink.Clear()
				if epoch == 0 {
					apply(batch, sink)
					since = batch.Next
				} else {
					since = 0
				}
				epoch = batch.Epoch
			default:
				apply(batch, sink)
				since = batch.Next
			}
			failing = err != nil
			select {
			case <-ctx.Done():
			case <-clock.After(pause):
			}
		}
	}()
	return f
}

func apply(batch Batch, sink Sink) {
	for _, event := range batch.Events {
		sink.Event(event)
	}
	if len(batch.Events) > 0 {
		sink.Changed()
	}
}

// Close ends the following.
func (f *Follower) Close() {
	f.cancel()
	<-f.done
}
