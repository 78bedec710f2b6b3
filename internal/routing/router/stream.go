package router

import (
	"errors"
	"fmt"
	"io"
	"time"
)

// silenceTimeout is how long a resumable stream may send no event before another replica is asked to
// take it over. Pauses of preempted requests are mostly shorter.
const silenceTimeout = 1200 * time.Millisecond

// unreadTimeout is how long an answer may be left unread, because its caller takes nothing, before the
// replica may cut it off without having failed.
const unreadTimeout = 2 * time.Second

// idOrder says how the IDs of a stream's events increase.
type idOrder int

// The orders of IDs. They are unknown before the second event.
const (
	unknownIDs idOrder = iota
	consecutiveIDs
	sparseIDs
)

// startStream waits for the first event and returns the stream. If the replica is lost
// before that, it returns false and another attempt is due.
func (d *dispatch) startStream() (*Result, bool) {
	first, err := d.nextEvent()
	if err != nil && !errors.Is(err, io.EOF) {
		d.recordAttemptError(err)
		return nil, false
	}
	d.runAttempts++
	d.recordStream()
	if d.request.Route.SameWeights {
		d.pinnedVersion = d.reply.WeightsVersion
	}
	return &Result{Reply: d.reply, Stream: &EventStream{dispatch: d, first: first, complete: err != nil, pending: err == nil}}, true
}

// nextEvent reads the next event of the current attempt that the caller does not have
// yet. At the attempt's first event it takes the attempt out of the backlog and records
// the parts that are now cached and the time of the prefill.
func (d *dispatch) nextEvent() (Event, error) {
	for {
		event, err := d.readEvent()
		if err != nil {
			if errors.Is(err, io.EOF) && d.continues() && !d.reply.EndMarked {
				return Event{}, fmt.Errorf("%w: the stream ends before its next piece", ErrInvalidAnswer)
			}
			if errors.Is(err, io.EOF) && d.reply.Status < 300 {
				d.recordSound()
			}
			return event, err
		}
		if d.router.clock.Now().Sub(d.headAt) >= answerStartTime {
			d.recordSound()
		}
		d.streaming.Store(true)
		if d.inBacklog {
			d.leaveBacklog()
			d.recordCachedParts()
			d.router.recorder.Observe("firstEvent", d.router.clock.Now().Sub(d.request.Arrived))
			d.firstEventDelay = d.router.clock.Now().Sub(d.sentAt)
			d.flight.Answered(false)
			d.recordFirstEvent()
			if d.lastEventID < 0 {
				d.countFirstEvent()
			}
		}
		if event.ID >= 0 && event.ID <= d.lastEventID || event.ID < 0 && d.continues() {
			continue
		}
		if err := d.checkNextPiece(event); err != nil {
			return Event{}, err
		}
		d.refreshStreamRecord()
		return event, nil
	}
}

// continues reports whether the current attempt is to continue the stream and has not done so yet.
func (d *dispatch) continues() bool {
	return !d.continued && d.lastEventID > d.request.LastEventID
}

// checkNextPiece records the ID of an event that is about to be passed on. If the IDs of the stream have
// counted its events so far, an attempt that continues it must begin with the next one.
func (d *dispatch) checkNextPiece(event Event) error {
	if event.ID < 0 {
		return nil
	}
	follows := event.ID == d.lastEventID+1
	if !follows && d.continues() && d.idOrder == consecutiveIDs {
		return fmt.Errorf("%w: event %d instead of %d continues the stream", ErrInvalidAnswer, event.ID, d.lastEventID+1)
	}
	if d.lastEventID > d.request.LastEventID {
		switch {
		case !follows:
			d.idOrder = sparseIDs
		case d.idOrder == unknownIDs:
			d.idOrder = consecutiveIDs
		}
	}
	d.lastEventID, d.continued = event.ID, true
	return nil
}

// recordCachedParts records that the replica has the shared parts of the prompt cached,
// and the cache store too if they are saved there.
func (d *dispatch) recordCachedParts() {
	if d.choice.prefix == nil || d.reply.WeightsVersion != d.choice.weightsVersion {
		return
	}
	for _, key := range d.choice.prefix.keys {
		d.router.holders.add(key, d.choice.replica)
		if d.choice.saveTo != "" {
			d.router.stored.update(d.choice.saveTo, key, true)
		}
	}
}

// EventStream yields the events of a stream. If the replica is lost, it continues at
// another one where the route allows it. It is used by one goroutine.
type EventStream struct {
	dispatch *dispatch
	first    Event
	// pending is set until first, which was read before the stream was returned, is
	// passed on.
	pending  bool
	complete bool
	// returnedAt is when the last event was returned, zero before the first.
	returnedAt time.Time
}

// Next returns the next event. io.EOF means that the stream is complete.
func (s *EventStream) Next() (Event, error) {
	d := s.dispatch
	if !s.returnedAt.IsZero() {
		d.longestUnread = max(d.longestUnread, d.router.clock.Now().Sub(s.returnedAt))
	}
	event, err := s.next()
	s.returnedAt = d.router.clock.Now()
	return event, err
}

// next implements Next.
func (s *EventStream) next() (Event, error) {
	if s.pending {
		s.pending = false
		return s.first, nil
	}
	if s.complete {
		return Event{}, io.EOF
	}
	for {
		event, err := s.dispatch.nextEvent()
		if err == nil {
			return event, nil
		}
		if errors.Is(err, io.EOF) {
			s.complete = true
			return Event{}, io.EOF
		}
		if err := s.dispatch.resume(err); err != nil {
			return Event{}, err
		}
	}
}

// Close ends the exchange with the replica and frees its resources.
func (s *EventStream) Close() {
	if !s.complete {
		select {
		case <-s.dispatch.request.CallerGone:
			s.dispatch.run.left = true
		default:
		}
	}
	s.dispatch.release()
}

// LogFields returns the keys and values of a log line about the stream: the last
// replica, the expected and the actual time to its first event, and the numbers of
// attempts that ran and that were rejected.
func (s *EventStream) LogFields() []any {
	d := s.dispatch
	return []any{"replica", d.choice.replica.ID(), "expected", d.choice.wait, "firstEvent", d.firstEventDelay, "ran", d.runAttempts, "rejected", d.rejectedAttempts}
}

// resume continues the stream after its last event at another replica. It returns the
// cause of the interruption if that is not possible.
func (d *dispatch) resume(cause error) error {
	d.recordInterruption(cause)
	d.closeAttempt()
	return d.continueElsewhere(cause)
}

// recordInterruption records that the stream of the current attempt has broken off.
func (d *dispatch) recordInterruption(cause error) {
	if d.interrupted {
		return
	}
	d.interrupted = true
	replica := d.choice.replica
	d.router.recorder.Count("streams.broken")
	d.router.logger.Info("route: stream interrupted.", "request", d.request.ID, "content", d.request.ContentKey, "replica", replica.ID(), "last", d.lastEventID, "unread", d.longestUnread, "err", cause)
	d.excluded = append(d.excluded, replica)
	if d.longestUnread >= unreadTimeout {
		d.router.recorder.Count("streams.unread")
		return
	}
	d.recordCrash(cause)
	if d.ctx.Err() == nil {
		d.recordFailure(false)
	}
}

// continueElsewhere sends attempts after the last event until one continues the stream. It returns
// cause if none does.
func (d *dispatch) continueElsewhere(cause error) error {
	if !d.request.Route.repeatable() || d.lastEventID < 0 || d.checkExpired() != nil {
		return cause
	}
	d.renewAttempts()
	if d.runAttempts >= d.allowedAttempts || !d.sentTo.allowsAnother(nil) || !d.spendRetry() {
		return cause
	}
	d.lastFailure = &Failure{Reason: ReasonReplicaFailed}
	for {
		if failure := d.sendUntilReply(); failure != nil {
			return cause
		}
		d.recordReport(d.reply)
		if !d.reply.NotRun && d.reply.NextEvent != nil && d.reply.Status < 300 {
			break
		}
		if d.reply.NotRun {
			d.handleRejection()
		} else {
			d.recordAttemptError(fmt.Errorf("%w: status %d instead of the rest of a stream", ErrInvalidAnswer, d.reply.Status))
		}
		d.closeAttempt()
		if failure := d.checkRetryAllowed(); failure != nil {
			return cause
		}
	}
	d.runAttempts++
	d.router.recorder.Count("streams.resumed")
	d.router.logger.Info("route: stream resumed.", "request", d.request.ID, "replica", d.choice.replica.ID(), "after", d.lastEventID)
	return nil
}

// renewAttempts allows as many further attempts as a new request has, if the route has
// RenewAttempts set and the stream has grown since the last renewal. Each of them is taken from the
// retry budget like any other.
func (d *dispatch) renewAttempts() {
	if !d.request.Route.RenewAttempts || d.lastEventID <= d.renewedAtEvent {
		return
	}
	d.renewedAtEvent, d.rejectedAttempts = d.lastEventID, 0
	d.allowedAttempts = d.runAttempts + d.request.Route.MaxAttempts
	d.excluded = d.excluded[len(d.excluded)-1:]
}
