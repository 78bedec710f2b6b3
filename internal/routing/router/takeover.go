package router

import (
	"context"
	"errors"
	"io"
	"slices"
)

// eventResult is the result of reading an event.
type eventResult struct {
	event Event
	err   error
}

// ended reports whether no more events come from a replica that has not finished the stream.
func (r eventResult) ended() bool { return r.err != nil && !errors.Is(r.err, io.EOF) }

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
	return d.router.transport.Concurrent && !d.forked && !d.inBacklog && d.lastEventID >= 0 && d.request.Route.repeatable() && d.runAttempts < d.allowedAttempts && d.ctx.Err() == nil
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
	other, taken := d.fork(), make(chan eventResult, 1)
	cancel := other.cancel
	go func() {
		if err := other.continueElsewhere(errNotTakenOver); err != nil {
			taken <- eventResult{err: err}
			return
		}
		event, err := other.nextEvent()
		taken <- eventResult{event, err}
	}()
	var broken *eventResult
	for {
		select {
		case result := <-d.reading:
			d.reading = nil
			if result.ended() {
				broken = &result
				d.recordInterruption(result.err)
				d.closeReply()
				continue
			}
			// The wait is short, and what the other has sent is known only then.
			cancel()
			<-taken
			d.countAttemptsOf(other)
			other.release()
			return result, true
		case result := <-taken:
			if !result.ended() {
				d.closeAttempt()
				d.adopt(other)
				return result, true
			}
			d.countAttemptsOf(other)
			other.release()
			if broken != nil {
				return *broken, true
			}
			return eventResult{}, false
		}
	}
}

// errNotTakenOver means that no other replica continues a silent stream.
var errNotTakenOver = errorNamespace.NewType("notTakenOver").New("no other replica continues the stream")

// fork returns a dispatch that continues the stream after its last event at another replica.
func (d *dispatch) fork() *dispatch {
	other := *d
	other.attemptState = new(attemptState)
	other.excluded = append(slices.Clone(d.excluded), d.choice.replica)
	other.lastFailure, other.fallback, other.forked = nil, nil, true
	other.ctx, other.cancel = context.WithCancel(d.ctx)
	return &other
}

// countAttemptsOf counts the attempts of a fork that has ended as those of the request.
func (d *dispatch) countAttemptsOf(other *dispatch) {
	d.runAttempts, d.rejectedAttempts, d.allowedAttempts, d.excluded = other.runAttempts, other.rejectedAttempts, other.allowedAttempts, other.excluded
}

// adopt continues with the attempt of a fork, whose event is not passed on yet.
func (d *dispatch) adopt(other *dispatch) {
	cancel, lastEventID := d.cancel, d.lastEventID
	*d = *other
	d.forked, d.lastEventID = false, lastEventID
	d.cancel = func() {
		other.cancel()
		cancel()
	}
}
