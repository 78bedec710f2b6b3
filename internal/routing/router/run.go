package router

import (
	"context"
	"errors"
	"time"
)

const (
	// maxRejections bounds the replicas that may reject one request, if its route does
	// not.
	maxRejections = 2
	// returnSoon is when a caller should come back after a passing trouble, such
	// as a replica that has just gone.
	returnSoon = 250 * time.Millisecond
	// leastRemaining is the least time that is worth sending a request for.
	leastRemaining = 20 * time.Millisecond
	// patienceTargets is how many times the target the first event of a request
	// that may run again is waited for, while attempts are left.
	patienceTargets = 3
	// patienceLeast bounds that wait from below.
	patienceLeast = 400 * time.Millisecond
)

// run is one request on its way to an answer. It is used by one goroutine.
type run struct {
	router  *Router
	request *Request
	service *service
	ctx     context.Context
	cancel  context.CancelFunc

	// ran counts the attempts that may have run, rejected those that have not. Up to
	// allowed attempts may run; renewed is the last event that has raised it.
	ran, rejected, allowed int
	renewed                int64
	// bound is the version of the weights that the answer must be made on, 0 for any.
	bound    int
	excluded []*Replica
	// choice, reply and cancelAttempt belong to the current attempt; sent is when
	// it left.
	choice        choice
	reply         *Reply
	cancelAttempt context.CancelFunc
	// unwatch ends the watching for the loss of the replica, nil if there is none.
	unwatch func()
	sent    time.Time
	// firstEvent is the time from sent to the attempt's first event.
	firstEvent time.Duration
	// waiting is set until the attempt's first event, counted until its end.
	waiting, counted bool
	// last is the id of the last event that was passed on, -1 before the first.
	last int64
	// failure is the most recent failure, for the final answer.
	failure *Failure
	// fallback is a replica's own failure, for the caller if no repeat does better.
	fallback *Result
}

func newRun(router *Router, request *Request) *run {
	u := &run{router: router, request: request, service: router.service(request.Route.pick()), last: request.LastEventID, renewed: request.LastEventID, bound: request.WeightsVersion, allowed: request.Route.MaxAttempts}
	u.ctx, u.cancel = context.WithDeadline(context.Background(), request.Deadline)
	u.service.budget.Earn()
	if request.CallerGone != nil {
		go func() {
			select {
			case <-request.CallerGone:
				u.cancel()
			case <-u.ctx.Done():
			}
		}()
	}
	return u
}

// end gives up whatever is under way.
func (u *run) end() {
	u.closeAttempt()
	u.cancel()
}

func (u *run) closeAttempt() {
	if u.reply != nil {
		u.reply.Close()
		u.reply = nil
	}
	if u.unwatch != nil {
		u.unwatch()
		u.unwatch = nil
	}
	if u.cancelAttempt != nil {
		u.cancelAttempt()
		u.cancelAttempt = nil
	}
	u.started()
	if u.counted {
		u.counted = false
		u.choice.replica.running.Add(-1)
	}
}

// started ends the counting of an attempt as not started.
func (u *run) started() {
	if u.waiting {
		u.waiting = false
		u.choice.replica.waiting[u.request.priority()].Add(-int64(u.choice.missing))
		if u.choice.parts != nil {
			for _, key := range u.choice.parts.keys {
				u.router.holders.end(key, u.choice.replica)
			}
		}
	}
}

// begin tries until a replica has answered.
func (u *run) begin() *Result {
	for {
		if failure := u.open(); failure != nil {
			return u.fail(failure)
		}
		result, done := u.take()
		if done {
			return result
		}
		u.closeAttempt()
		if failure := u.mayTryAgain(); failure != nil {
			return u.fail(failure)
		}
	}
}

// fail ends the request without a success.
func (u *run) fail(failure *Failure) *Result {
	if u.fallback != nil {
		return u.fallback
	}
	return &Result{Failure: failure}
}

// open sends attempts until one is answered. A failure is final.
func (u *run) open() *Failure {
	for {
		if failure := u.expired(); failure != nil {
			return failure
		}
		c, found := u.router.choose(u.request, u.service, u.excluded, u.bound)
		if !found {
			return u.noReplica()
		}
		if failure := u.refuse(c); failure != nil {
			return failure
		}
		err := u.send(c)
		if err == nil {
			return nil
		}
		u.noteError(err)
		u.closeAttempt()
		if failure := u.mayTryAgain(); failure != nil {
			return failure
		}
	}
}

// expired returns the final failure once the caller has left or time is up.
func (u *run) expired() *Failure {
	select {
	case <-u.request.CallerGone:
		return &Failure{Reason: ReasonCallerGone, NotRun: u.ran == 0}
	default:
	}
	if u.remaining() < leastRemaining {
		return &Failure{Reason: ReasonDeadline, NotRun: u.ran == 0, RetryAfter: returnSoon}
	}
	return nil
}

func (u *run) remaining() time.Duration { return u.request.Deadline.Sub(u.router.clock.Now()) }

func (u *run) noReplica() *Failure {
	if u.failure != nil {
		return u.failure
	}
	return &Failure{Reason: ReasonNoReplica, NotRun: u.ran == 0, RetryAfter: returnSoon}
}

// send sends one attempt and waits for the head of its answer.
func (u *run) send(c choice) error {
	r, request := u.router, u.request
	descriptor := c.replica.descriptor.Load()
	u.choice, u.sent = c, r.clock.Now()
	attempt := &Attempt{
		Request:        request,
		ReplicaID:      descriptor.ID,
		Address:        descriptor.Address,
		Remaining:      u.remaining(),
		WeightsVersion: c.weights,
		CacheScope:     c.scope,
		Priority:       request.priority(),
		LastEventID:    u.last,
		SameRegion:     descriptor.Region == r.options.Region,
		FetchFrom:      c.fetchFrom,
		SaveTo:         c.saveTo,
	}
	r.recorder.Count("attempts")
	u.counted, u.waiting = true, true
	c.replica.running.Add(1)
	c.replica.waiting[request.priority()].Add(int64(c.missing))
	if c.parts != nil {
		for _, key := range c.parts.keys {
			r.holders.begin(key, c.replica)
		}
	}
	r.logger.Info("route: sent.", "request", request.ID, "replica", descriptor.ID, "service", u.service.name, "pace", u.service.Pace(), "reason", c.reason,
		"wait", c.wait, "loss", c.loss, "weights", c.weights, "missing", c.missing, "again", c.again, "scope", c.scope, "part", request.Prompt.lastShared(), "fetchFrom", c.fetchFrom, "saveTo", c.saveTo, "configuration", request.Catalog.Version, "after", u.last)
	ctx, cancel := context.WithCancel(u.ctx)
	u.cancelAttempt = cancel
	if limit, limited := u.patience(); limited {
		timer := time.AfterFunc(limit, cancel)
		defer timer.Stop()
	}
	if u.replaceable() {
		u.unwatch = c.replica.watch(u, cancel)
	}
	reply, err := r.transport.Send(ctx, attempt)
	if err != nil {
		return err
	}
	u.reply = reply
	return nil
}

// replaceable reports whether another replica could take the request over from one
// that may be running it.
func (u *run) replaceable() bool {
	return u.request.Route.repeatable() && u.ran+1 < u.allowed
}

// patience returns how long the head of a plain server's answer is waited for, if
// another could still serve the request. A model replica that is slow only has
// much to do, which would be done twice.
func (u *run) patience() (time.Duration, bool) {
	if !u.replaceable() || u.request.Prompt != nil {
		return 0, false
	}
	return max(patienceLeast, patienceTargets*u.request.Route.LatencyTarget), true
}

// noteError records an attempt that got no answer.
func (u *run) noteError(err error) {
	replica := u.choice.replica
	notSent := errors.Is(err, ErrNotSent)
	u.router.recorder.Count("attempts.lost")
	u.router.logger.Info("route: attempt failed.", "request", u.request.ID, "replica", replica.ID(), "notSent", notSent, "err", err)
	u.excluded = append(u.excluded, replica)
	if u.ctx.Err() == nil {
		replica.failed(u.router.clock.Now())
	}
	if notSent {
		u.rejected++
		u.failure = &Failure{Reason: ReasonNoReplica, NotRun: u.ran == 0, RetryAfter: returnSoon}
		return
	}
	u.ran++
	u.failure = &Failure{Reason: ReasonReplicaFailed}
}

// mayTryAgain returns the final failure if no other attempt may follow.
func (u *run) mayTryAgain() *Failure {
	if failure := u.expired(); failure != nil {
		return failure
	}
	route := u.request.Route
	if u.ran > 0 && (!route.repeatable() || u.ran >= u.allowed) {
		return u.failure
	}
	limit := maxRejections
	if route.MaxRejections > 0 {
		limit = route.MaxRejections
	}
	if u.rejected > limit || !u.service.budget.Spend() {
		return u.failure
	}
	return nil
}

// take evaluates the head of an answer. It returns false if another attempt is due;
// then failure is set.
func (u *run) take() (*Result, bool) {
	r, reply, replica := u.router, u.reply, u.choice.replica
	u.observe(reply)
	if reply.NotRun {
		return nil, u.reject()
	}
	replica.answered()
	if reply.NextEvent != nil {
		return u.takeStream()
	}
	body, err := reply.ReadBody()
	if err != nil {
		u.noteError(err)
		return nil, false
	}
	u.ran++
	if reply.Status >= 500 && u.request.Route.repeatable() && u.fallback == nil {
		u.fallback = &Result{Reply: reply, Body: body}
		u.failure = &Failure{Reason: ReasonReplicaFailed}
		u.excluded = append(u.excluded, replica)
		r.logger.Info("route: answered with a failure.", "request", u.request.ID, "replica", replica.ID(), "status", reply.Status)
		return nil, false
	}
	u.started()
	r.recorder.Observe("answer", r.clock.Now().Sub(u.request.Arrived))
	return &Result{Reply: reply, Body: body}, true
}

// observe stores what the answer reports of its replica.
func (u *run) observe(reply *Reply) {
	replica := u.choice.replica
	if u.request.Prompt != nil {
		replica.learnWeights(u.request.Prompt.Model, reply.WeightsVersion)
		return
	}
	if reply.Running >= 0 {
		replica.state.Store(&State{Running: reply.Running, Queued: reply.Queued, ReceivedAt: u.router.clock.Now()})
	}
}

// reject takes an answer that says that the request has not run.
func (u *run) reject() bool {
	replica := u.choice.replica
	u.rejected++
	u.router.recorder.Count("attempts.rejected")
	u.excluded = append(u.excluded, replica)
	u.router.logger.Info("route: rejected.", "request", u.request.ID, "replica", replica.ID(), "status", u.reply.Status,
		"wrongReplica", u.reply.WrongReplica, "weights", u.choice.weights, "named", u.reply.WeightsVersion)
	if met := u.reply.ReplicaID; u.reply.WrongReplica && met != "" && met != replica.ID() {
		u.router.logger.Info("route: another replica has the address.", "replica", replica.ID(), "met", met)
		u.router.pool.MarkEnded(replica)
	}
	u.failure = &Failure{Reason: ReasonRejected, NotRun: u.ran == 0, RetryAfter: max(returnSoon, u.reply.RetryAfter)}
	return false
}
