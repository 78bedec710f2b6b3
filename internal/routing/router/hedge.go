package router

import (
	"context"
	"errors"
	"time"
)

const (
	// replyTimeoutTargets is the time after which another plain server is asked that the first one
	// has not answered, as a multiple of the route's latency target.
	replyTimeoutTargets = 3
	// minReplyTimeout is the lower bound of that time.
	minReplyTimeout = 400 * time.Millisecond
)

// errRecorded means that an attempt got no usable answer and that this was recorded.
var errRecorded = errorNamespace.NewType("recorded").New("the attempt has failed")

// answer is the outcome of an attempt at a plain server, or that of a fork.
type answer struct {
	reply *Reply
	// err is set if there is no answer, bodyErr if its body is not complete.
	err, bodyErr error
	// result is set instead for a fork.
	result *Result
}

// usable implements outcome.
func (a answer) usable() bool {
	if a.result != nil {
		return a.result.Failure == nil && a.result.Reply.Status < 500
	}
	return a.err == nil && a.bodyErr == nil && !a.reply.NotRun && a.reply.Status < 500
}

// discard implements outcome. The result of a fork may be the fallback of the dispatch by now.
func (a answer) discard(d *dispatch) {
	switch {
	case a.result != nil && a.result != d.fallback:
		a.result.Release()
	case a.reply != nil && a.reply.ReleaseBody != nil:
		a.reply.ReleaseBody()
	}
}

// awaitHead sends an attempt and returns the head of its answer. If that takes long and another
// replica can be sooner, the other is asked, too: the first usable answer counts. If it is that of
// the other, the dispatch has its result. If the transport allows one attempt at a time, or a stream
// without a prompt is resumed, the first attempt is ended before.
func (d *dispatch) awaitHead(ctx context.Context, attempt *Attempt) (*Reply, error) {
	timeout, hasTimeout := d.replyTimeout()
	if !hasTimeout {
		return d.router.transport.Send(ctx, attempt)
	}
	sending := make(chan answer, 1)
	go func() {
		reply, err := d.router.transport.Send(ctx, attempt)
		sending <- answer{reply: reply, err: err}
	}()
	d.sending = sending
	timer := d.router.clock.After(timeout)
	for {
		select {
		case a := <-d.sending:
			d.sending = nil
			return a.reply, a.err
		case <-timer:
		}
		timer = d.router.clock.After(timeout)
		if !d.canFailOver() || !d.reserveRetry() {
			continue
		}
		if !d.router.transport.Concurrent || d.lastEventID > d.request.LastEventID {
			d.timedOut.Store(true)
			d.cancelAttempt()
			timer = nil
			continue
		}
		if a, ended := d.askAnother(); ended {
			return a.reply, a.err
		}
	}
}

// askAnother sends the request to another replica while the current attempt stays open. It returns
// false if that is still open and the other has no usable answer.
func (d *dispatch) askAnother() (answer, bool) {
	d.router.recorder.Count("attempts.slow")
	d.router.logger.Info("route: replica is slow, another one is asked.", "request", d.request.ID, "replica", d.choice.replica.ID())
	d.sending = readBody(d.sending)
	other := d.fork()
	// The open attempt may run.
	other.runAttempts++
	other.forkedRuns++
	slow, sentAt, open := d.choice.replica, d.sentAt, true
	// The fork's first attempt is paid for.
	other.retryReserved = false
	a, found := race(d, other, d.sending, func() answer {
		result := other.sendUntilAnswered()
		other.retryReserved = other.retryReserved || other.sentAt.IsZero()
		return answer{result: result}
	}, func(a answer) {
		open = false
		d.recordHedged(a)
	})
	switch {
	case !found:
		return answer{}, false
	case a.result != nil:
		if open {
			slow.recordPassedOver(d.router.clock.Now(), sentAt)
		}
		if a.result.Stream != nil {
			a.result.Stream.dispatch = d
		}
		d.result = a.result
	case !a.usable() && d.result == nil:
		a.err = errRecorded
	}
	return a, true
}

// readBody returns a channel that receives the answer from another one with its body read.
func readBody(sending <-chan answer) <-chan answer {
	whole := make(chan answer, 1)
	go func() {
		a := <-sending
		if a.err == nil && !a.reply.NotRun && a.reply.NextEvent == nil {
			body, err := a.reply.ReadBody()
			a.bodyErr = err
			a.reply.ReadBody = func() ([]byte, error) { return body, err }
		}
		whole <- a
	}()
	return whole
}

// recordHedged records the answer of the current attempt while another replica is asked.
func (d *dispatch) recordHedged(a answer) {
	d.sending = nil
	switch {
	case a.usable():
		return
	case errors.Is(a.err, ErrOutdated), errors.Is(a.err, ErrOverQuota):
		d.router.recorder.Count("attempts.outdated")
	case a.err != nil:
		d.recordAttemptError(a.err)
	default:
		d.reply, d.headAt, d.soundRecorded = a.reply, d.router.clock.Now(), false
		if result, done := d.evaluateReply(); done {
			d.result = result
		}
	}
	d.closeAttempt()
}

// closeSending waits for the end of an attempt that was canceled before its head arrived: until
// then it may read the request.
func (d *dispatch) closeSending() {
	if d.sending == nil {
		return
	}
	a := <-d.sending
	d.sending = nil
	if a.reply != nil {
		a.reply.Close()
		a.discard(d)
	}
	switch {
	case errors.Is(a.err, ErrNotSent):
		d.giveBack()
	case !errors.Is(a.err, ErrOutdated) && !errors.Is(a.err, ErrOverQuota) && !errors.Is(a.err, ErrExpired) && !errors.Is(a.err, ErrStopping):
		d.runAttempts++
	}
}

// endWaiting removes the attempt from those that wait for the head of an answer.
func (d *dispatch) endWaiting() {
	if d.unregister != nil {
		d.unregister()
		d.unregister = nil
	}
}

// reserveRetry takes a retry from the budget if there is another replica that can answer the
// request sooner than the current attempt, and before the daemon stops.
func (d *dispatch) reserveRetry() bool {
	if !d.endsInTime() {
		return false
	}
	if d.retryReserved {
		return true
	}
	others := make([]*Replica, 0, len(d.excluded)+1)
	others = append(append(others, d.excluded...), d.choice.replica)
	c, found := d.router.choose(d.request, d.service, others, d.pins())
	if !found || !d.mayBeSooner(c) {
		return false
	}
	d.retryReserved = d.spendRetry()
	return d.retryReserved
}

// mayBeSooner reports whether an attempt sent now is expected to be answered before the current one
// and before the deadline.
func (d *dispatch) mayBeSooner(c choice) bool {
	if d.request.Prompt != nil {
		return d.movesInTime(c)
	}
	usual, remaining, known := d.service.answerTimes.expect(d.request.Route.Name, d.router.clock.Now().Sub(d.sentAt))
	if !known {
		return c.wait < d.timeLeft()
	}
	return usual < remaining && max(usual, c.wait) < d.timeLeft()
}

// replyTimeout returns the time after which another replica is asked, and false if none may be. Model
// replicas whose own speed is not known have no such timeout: a slow one is just busy, and another
// attempt would double the work.
func (d *dispatch) replyTimeout() (time.Duration, bool) {
	if !d.canFailOver() {
		return 0, false
	}
	if d.request.Prompt != nil {
		return d.moveTimeout()
	}
	return max(minReplyTimeout, replyTimeoutTargets*d.request.Route.LatencyTarget), true
}

// recordAnswerTime records how long a plain server has taken for its answer.
func (d *dispatch) recordAnswerTime() {
	if d.request.Prompt == nil {
		d.recordPlainSpeed()
		d.service.answerTimes.record(d.request.Route.Name, d.headAt.Sub(d.sentAt))
	}
}
