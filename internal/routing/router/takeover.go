package router

import (
	"context"
	"errors"
	"io"
)

// eventResult is the result of reading an event.
type eventResult struct {
	event Event
	err   error
}

// ended reports whether no more events come from a replica that has not finished the stream.
func (r eventResult) ended() bool { return r.err != nil && !errors.Is(r.err, io.EOF) }

// usable implements outcome.
func (r eventResult) usable() bool { return !r.ended() }

// discard implements outcome. An event is held by its reply.
func (r eventResult) discard(*dispatch) {}

// readEvent reads the next event of the current attempt. If the replica is silent and another
// may take the stream over, that is asked to: whichever continues first goes on.
func (d *dispatch) readEvent() (Event, error) {
	if d.reading == nil {
		d.reply.SetDeadline(d.request.Deadline)
		if !d.mayBeTakenOver() {
			return d.reply.NextEvent()
		}
		d.startReading()
	}
	var result eventResult
	select {
	case result = <-d.reading:
		d.reading = nil
		return result.event, result.err
	case <-d.unreachable:
		d.unreachable = nil
	case <-d.router.clock.After(silenceTimeout):
	}
	if result, found := d.takeOver(); found {
		return result.event, result.err
	}
	result = <-d.reading
	d.reading = nil
	return result.event, result.err
}

// mayBeTakenOver reports whether another replica may continue the stream while the current
// attempt is open.
func (d *dispatch) mayBeTakenOver() bool {
	return d.router.transport.Concurrent && !d.forked && !d.inBacklog && d.lastEventID >= 0 && d.request.Route.repeatable() && d.runAttempts < d.allowedAttempts && d.sentTo.allowsAnother(d.choice.replica) && d.ctx.Err() == nil
}

// onUnreachable returns what is called when the replica of an attempt becomes unreachable to its
// sidecar. It may go on all the same: a stream is kept until another replica continues it.
func (d *dispatch) onUnreachable(attempt *attemptState, cancel context.CancelFunc) func() {
	concurrent, unreachable := d.router.transport.Concurrent, attempt.unreachable
	return func() {
		if concurrent && attempt.streaming.Load() {
			close(unreachable)
			return
		}
		cancel()
	}
}

// startReading has a goroutine read the next event of the current attempt.
func (d *dispatch) startReading() {
	reading, next := make(chan eventResult, 1), d.reply.NextEvent
	d.reading = reading
	go func() {
		event, err := next()
		reading <- eventResult{event, err}
	}()
}

// takeOver has another replica continue the stream of a silent one, which stays open until the
// other has sent an event. It returns the event of whichever was first, or false if the silent
// replica is open and no other continues.
func (d *dispatch) takeOver() (eventResult, bool) {
	d.router.recorder.Count("streams.silent")
	d.router.logger.Info("route: stream is silent, another replica is asked.", "request", d.request.ID, "replica", d.choice.replica.ID(), "last", d.lastEventID)
	other := d.fork()
	return race(d, other, d.reading, func() eventResult {
		if err := other.continueElsewhere(errNotTakenOver); err != nil {
			return eventResult{err: err}
		}
		event, err := other.nextEvent()
		// The event is not passed on yet.
		other.lastEventID = d.lastEventID
		return eventResult{event, err}
	}, func(result eventResult) {
		d.reading = nil
		if result.ended() {
			d.recordInterruption(result.err)
			d.closeReply()
		}
	})
}

// errNotTakenOver means that no other replica continues a silent stream.
var errNotTakenOver = errorNamespace.NewType("notTakenOver").New("no other replica continues the stream")
