package router

import (
	"errors"
	"io"
	"time"
)

// silenceLimit is how long a resumable stream may pause before another replica goes
// on with it. Preempted requests pause for less.
const silenceLimit = 1200 * time.Millisecond

// takeStream waits for the first event, so that a replica that is lost before it
// can be replaced.
func (u *run) takeStream() (*Result, bool) {
	first, err := u.nextEvent()
	if err != nil && !errors.Is(err, io.EOF) {
		u.noteError(err)
		return nil, false
	}
	u.ran++
	if u.request.Route.SameWeights {
		u.bound = u.reply.WeightsVersion
	}
	return &Result{Reply: u.reply, Stream: &EventStream{run: u, first: first, ended: err != nil, pending: err == nil}}, true
}

// nextEvent reads an event of the current attempt that the caller does not have.
func (u *run) nextEvent() (Event, error) {
	for {
		u.reply.SetDeadline(u.silenceEnd())
		event, err := u.reply.NextEvent()
		if err != nil {
			return event, err
		}
		if u.waiting {
			u.started()
			u.remember()
			u.router.recorder.Observe("firstEvent", u.router.clock.Now().Sub(u.request.Arrived))
			u.firstEvent = u.router.clock.Now().Sub(u.sent)
			u.service.observe(u.choice.reading, u.choice.wait, u.firstEvent)
		}
		if event.ID >= 0 && event.ID <= u.last {
			continue
		}
		if event.ID >= 0 {
			u.last = event.ID
		}
		return event, nil
	}
}

// silenceEnd is when the current attempt is given up without another event.
func (u *run) silenceEnd() time.Time {
	route := u.request.Route
	if u.waiting || !route.repeatable() || u.ran >= u.allowed {
		return u.request.Deadline
	}
	if end := u.router.clock.Now().Add(silenceLimit); end.Before(u.request.Deadline) {
		return end
	}
	return u.request.Deadline
}

// remember notes that the replica has read the shared parts of the prompt.
func (u *run) remember() {
	if u.choice.parts == nil || u.reply.WeightsVersion != u.choice.weights {
		return
	}
	for _, key := range u.choice.parts.keys {
		u.router.holders.add(key, u.choice.replica)
		if u.choice.saveTo != "" {
			u.router.stored.change(u.choice.saveTo, key, true)
		}
	}
}

// EventStream yields the events of a stream, over the replicas that it takes. It is
// used by one goroutine.
type EventStream struct {
	run   *run
	first Event
	// pending is set while first was not returned yet.
	pending bool
	ended   bool
}

// Next returns the next event. io.EOF means that the stream is whole.
func (s *EventStream) Next() (Event, error) {
	if s.pending {
		s.pending = false
		return s.first, nil
	}
	if s.ended {
		return Event{}, io.EOF
	}
	for {
		event, err := s.run.nextEvent()
		if err == nil {
			return event, nil
		}
		if errors.Is(err, io.EOF) {
			s.ended = true
			return Event{}, io.EOF
		}
		if err := s.run.resume(err); err != nil {
			return Event{}, err
		}
	}
}

// Close ends the exchange with the replica.
func (s *EventStream) Close() { s.run.end() }

// LogFields returns what decided the stream, as keys and values of a log line: the last
// replica, the expected and the actual time to its first event, and the attempts.
func (s *EventStream) LogFields() []any {
	u := s.run
	return []any{"replica", u.choice.replica.ID(), "expected", u.choice.wait, "firstEvent", u.firstEvent, "ran", u.ran, "rejected", u.rejected}
}

// resume goes on behind the last event at another replica.
func (u *run) resume(cause error) error {
	route := u.request.Route
	replica := u.choice.replica
	u.router.recorder.Count("streams.broken")
	u.router.logger.Info("route: stream broke off.", "request", u.request.ID, "replica", replica.ID(), "last", u.last, "err", cause)
	u.excluded = append(u.excluded, replica)
	if u.ctx.Err() == nil {
		replica.failed(u.router.clock.Now())
	}
	u.closeAttempt()
	if !route.repeatable() || u.last < 0 || u.expired() != nil {
		return cause
	}
	renewed := u.renew()
	if u.ran >= u.allowed || (!renewed && !u.service.budget.Spend()) {
		return cause
	}
	u.failure = &Failure{Reason: ReasonReplicaFailed}
	for {
		if failure := u.open(); failure != nil {
			return cause
		}
		u.observe(u.reply)
		if !u.reply.NotRun {
			break
		}
		u.reject()
		u.closeAttempt()
		if failure := u.mayTryAgain(); failure != nil {
			return cause
		}
	}
	if u.reply.NextEvent == nil || u.reply.Status >= 300 {
		return cause
	}
	u.ran++
	u.router.recorder.Count("streams.resumed")
	u.router.logger.Info("route: stream resumed.", "request", u.request.ID, "replica", u.choice.replica.ID(), "after", u.last)
	return nil
}

// renew allows as many attempts as for a new request if the stream has grown since the
// last renewal and the route allows it: going on behind it cannot multiply the load.
func (u *run) renew() bool {
	if !u.request.Route.RenewAttempts || u.last <= u.renewed {
		return false
	}
	u.renewed, u.rejected = u.last, 0
	u.allowed = u.ran + u.request.Route.MaxAttempts
	u.excluded = u.excluded[len(u.excluded)-1:]
	return true
}
