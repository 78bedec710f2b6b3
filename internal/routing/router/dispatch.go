package router

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/arbiter"
	"github.com/cyclamenward/cyclamenward/internal/routing/pacer"
)

const (
	// defaultMaxRejections is how many rejections of one request are followed by
	// another attempt, if its route does not set the number.
	defaultMaxRejections = 2
	// minRetryAfter is the shortest time after which a caller is asked to retry, and
	// the usual one after a passing failure such as the loss of a replica.
	minRetryAfter = 250 * time.Millisecond
	// minTimeLeft is the shortest time before the deadline at which another attempt is
	// still sent.
	minTimeLeft = 20 * time.Millisecond
)

// dispatch carries one request through its attempts until it is answered or fails. It
// is used by one goroutine.
type dispatch struct {
	router  *Router
	request *Request
	service *serviceState
	ctx     context.Context
	cancel  context.CancelFunc
	// run is the request in the router's runTimes.
	run *run

	// runAttempts counts the attempts that may have run, rejectedAttempts those that
	// certainly have not. At most allowedAttempts may run. renewedAtEvent is the ID of
	// the last event when allowedAttempts was last raised.
	runAttempts, rejectedAttempts, allowedAttempts int
	renewedAtEvent                                 int64
	// sentTo is shared with forks.
	sentTo *sentReplicas
	// pinnedVersion is the weights version that must produce the answer, 0 for any.
	pinnedVersion int
	// pinnedSoftware is the software version that must produce the answer, nil for any.
	pinnedSoftware *string
	// excluded replicas have failed or rejected the request and do not get it again.
	excluded []*Replica
	*attemptState
	// forked is set while the dispatch tries to take a stream over from a silent replica.
	forked bool
	// forkedRuns and forkedRejections are runAttempts and rejectedAttempts as they were when the
	// dispatch was forked.
	forkedRuns, forkedRejections int
	// result is a result that has not been returned yet, of a fork or of an attempt beside one.
	result *Result
	// streamRecordedAt is when the software version of the stream was last recorded, zero if it
	// was not.
	streamRecordedAt time.Time
	// retryReserved is set while a retry was taken from the budget for an attempt that is to follow.
	retryReserved bool
	// denialLogged is set once it was logged that the request was not repeated.
	denialLogged bool
	// claim is the request's claim for room, nil before the first. wasHeld is set once it was held.
	claim   *arbiter.Claim
	wasHeld bool
	// countedSent is set once the request was counted as sent.
	countedSent bool
	// asked is set once the quota of the workspace was asked for the request.
	asked bool
	// isolationKeys are the isolator's keys of the prompt's shared parts.
	isolationKeys []uint64
	// lastEventID is the ID of the last event passed on to the caller, -1 before the
	// first.
	lastEventID int64
	// idOrder says how the IDs of the events increase that were passed on.
	idOrder idOrder
	// lastFailure is the most recent failure, which the caller gets if no attempt
	// succeeds.
	lastFailure *Failure
	// fallback is the first server error that a replica answered; the caller gets it if
	// no retry succeeds.
	fallback *Result
}

// attemptState is the state of the current attempt of a dispatch.
type attemptState struct {
	// charged is set while the attempt is charged to the quota of the workspace.
	charged bool
	// choice is the replica to which the attempt was sent at sentAt, sentSoftware the version of
	// its software.
	choice        choice
	sentAt        time.Time
	sentSoftware  string
	reply         *Reply
	cancelAttempt context.CancelFunc
	// reading receives the event that a goroutine reads from reply, nil if none does.
	reading chan eventResult
	// sending receives the answer of an attempt whose head is awaited, nil if none is.
	sending <-chan answer
	// unregister removes the attempt from those that wait for a head; nil if it is not registered.
	unregister func()
	// callerLeft is set once an attempt was not sent because the caller had left, stopping once one
	// was not because the daemon stops before it would end.
	callerLeft, stopping bool
	// unwatch stops the cancellation of the attempt when its replica becomes
	// unreachable; nil if it is not watched.
	unwatch func()
	// unreachable is closed when the attempt's replica becomes unreachable after it has begun a
	// stream, for which streaming is set; before, the attempt is canceled.
	unreachable chan struct{}
	streaming   atomic.Bool
	// headAt is when the head of the answer arrived. soundRecorded is set once the answer
	// was recorded as sound.
	headAt        time.Time
	soundRecorded bool
	// continued is set once the attempt has sent an event that was passed on.
	continued bool
	// interrupted is set once it was recorded that the stream has broken off.
	interrupted bool
	// timedOut is set once this daemon has ended the attempt because its replica did not
	// answer in time, and recalled once it has because the request is isolated.
	timedOut, recalled atomic.Bool
	// longestUnread is the longest time for which the stream was not read, as its caller took nothing.
	longestUnread time.Duration
	// firstEventDelay is the time from sentAt to the first event.
	firstEventDelay time.Duration
	// flight is the attempt as the pacer of its replica counts it.
	flight pacer.Flight
	// inBacklog is set while the attempt counts in its replica's backlogTokens, until
	// its first event; countedInFlight while it counts in the replica's inFlight, until
	// it ends.
	inBacklog, countedInFlight bool
}

// newDispatch prepares the dispatch of a request. Its context ends at the deadline or
// when the caller leaves.
func newDispatch(router *Router, request *Request) *dispatch {
	d := &dispatch{attemptState: new(attemptState), router: router, request: request, run: router.runTimes.begin(request.Route.Name), service: router.serviceState(request.Route.pickService()), isolationKeys: request.Prompt.isolationKeys(), lastEventID: request.LastEventID, renewedAtEvent: request.LastEventID, pinnedVersion: request.WeightsVersion, allowedAttempts: request.Route.MaxAttempts, sentTo: &sentReplicas{limit: request.Route.MaxReplicas}}
	ctx, cancel := context.WithDeadline(router.shutdown.ended, request.Deadline)
	d.ctx, d.cancel = ctx, cancel
	d.service.budget.Earn()
	d.countBySize("asked")
	if request.CallerGone != nil {
		go func() {
			select {
			case <-request.CallerGone:
				cancel()
			case <-ctx.Done():
			}
		}()
	}
	return d
}

// release ends the current attempt, if there is one, and cancels the context.
func (d *dispatch) release() {
	d.closeAttempt()
	d.cancel()
	if !d.forked {
		if d.claim != nil {
			d.claim.Release()
		}
		d.router.runTimes.end(d.run, d.runAttempts > 0)
	}
}

// closeAttempt ends the current attempt, if there is one, and takes it out of its
// replica's counters.
func (d *dispatch) closeAttempt() {
	d.endWaiting()
	d.recordNoFirstEvent()
	if d.reply != nil {
		d.closeReply()
	}
	if d.unwatch != nil {
		d.unwatch()
		d.unwatch = nil
	}
	if d.cancelAttempt != nil {
		d.cancelAttempt()
		d.cancelAttempt = nil
	}
	d.closeSending()
	d.leaveBacklog()
	d.flight.Withdrawn()
	if d.countedInFlight {
		d.countedInFlight = false
		d.choice.replica.inFlight.Add(-1)
	}
}

// closeReply ends the exchange with the replica. If its next event is being read, that is aborted
// and awaited by another goroutine.
func (d *dispatch) closeReply() {
	reply, reading := d.reply, d.reading
	d.reply, d.reading = nil, nil
	if reading == nil {
		reply.Close()
		return
	}
	d.cancelAttempt()
	reply.SetDeadline(time.Unix(1, 0))
	go func() {
		<-reading
		reply.Close()
	}()
}

// leaveBacklog stops counting the current attempt as one that waits for its prefill.
func (d *dispatch) leaveBacklog() {
	if d.inBacklog {
		d.inBacklog = false
		d.router.pool.addBacklog(d.choice.replica, d.request.priority(), -d.choice.uncachedTokens)
		if d.choice.prefix != nil {
			for _, key := range d.choice.prefix.keys {
				d.router.holders.endPrefill(key, d.choice.replica)
			}
		}
	}
}

// sendUntilAnswered sends attempts until a replica has answered or no further attempt
// is allowed.
func (d *dispatch) sendUntilAnswered() *Result {
	for {
		if failure := d.sendUntilReply(); failure != nil {
			return d.failureResult(failure)
		}
		result, done := d.evaluateReply()
		if done {
			return result
		}
		d.closeAttempt()
		if failure := d.checkRetryAllowed(); failure != nil {
			return d.failureResult(failure)
		}
	}
}

// failureResult returns the result of a request without a successful attempt.
func (d *dispatch) failureResult(failure *Failure) *Result {
	if d.fallback != nil {
		return d.fallback
	}
	return &Result{Failure: failure}
}

// sendUntilReply sends attempts until one gets the head of an answer. A failure that it
// returns is final.
func (d *dispatch) sendUntilReply() *Failure {
	for {
		if failure := d.checkExpired(); failure != nil {
			return failure
		}
		if failure := d.checkIsolated(); failure != nil {
			return failure
		}
		if failure := d.checkQuota(); failure != nil {
			return failure
		}
		if !d.sentTo.allowsAnother(nil) {
			return d.sentFailure()
		}
		c, found := d.router.choose(d.request, d.service, d.excluded, d.pins())
		if !found {
			return d.noReplicaFailure()
		}
		if admitted, failure := d.checkAdmission(c); failure != nil {
			return failure
		} else if !admitted {
			continue
		}
		if !d.takePace(c) {
			continue
		}
		if !d.router.pool.limits.Take(c.replica.descriptor.Load().limited()) {
			// Another request has taken the last permit since the choice.
			d.flight.Withdrawn()
			continue
		}
		err := d.send(c)
		if err == nil {
			return nil
		}
		if errors.Is(err, ErrOverQuota) {
			d.closeAttempt()
			return d.quotaFailure()
		}
		if errors.Is(err, ErrOutdated) {
			d.router.recorder.Count("attempts.outdated")
			d.excluded = append(d.excluded, c.replica)
			d.closeAttempt()
			continue
		}
		if !errors.Is(err, errRecorded) {
			d.recordAttemptError(err)
		}
		d.closeAttempt()
		if failure := d.checkRetryAllowed(); failure != nil {
			return failure
		}
	}
}

// pins returns the versions that must produce the answer.
func (d *dispatch) pins() pins { return pins{weights: d.pinnedVersion, software: d.pinnedSoftware} }

// checkExpired returns a final failure if the caller has left, or too little time remains until
// the deadline or the end of the daemon.
func (d *dispatch) checkExpired() *Failure {
	select {
	case <-d.request.CallerGone:
		d.callerLeft = true
	default:
	}
	if d.callerLeft {
		return &Failure{Reason: ReasonCallerGone, NotRun: d.runAttempts == 0}
	}
	switch {
	case d.timeLeft() < minTimeLeft:
		return &Failure{Reason: ReasonDeadline, NotRun: d.runAttempts == 0, RetryAfter: minRetryAfter}
	case d.stopping || !d.endsInTime():
		return d.stoppingFailure()
	case d.ctx.Err() != nil:
		// Another attempt of the request has gone on.
		return &Failure{Reason: ReasonReplicaFailed}
	}
	return nil
}

// timeLeft returns the time until the request's deadline.
func (d *dispatch) timeLeft() time.Duration { return d.request.Deadline.Sub(d.router.clock.Now()) }

// admit implements Attempt.Admit. The time since the last check may be long: for a connection, or
// because the process did not run.
func (d *dispatch) admit() (time.Duration, error) {
	if left := d.request.CallerLeft; left != nil && left() {
		d.callerLeft = true
		return 0, ErrExpired
	}
	remaining := d.timeLeft()
	if remaining <= 0 || d.ctx.Err() != nil {
		return 0, ErrExpired
	}
	if !d.endsInTime() {
		d.stopping = true
		return 0, ErrStopping
	}
	if replica := d.choice.replica; !d.router.pool.takesRequests(replica, replica.descriptor.Load()) {
		return 0, ErrOutdated
	}
	if !d.charge() {
		return 0, ErrOverQuota
	}
	if !d.sentTo.add(d.choice.replica) {
		// Another attempt of the request was sent meanwhile.
		d.giveBack()
		return 0, ErrOutdated
	}
	return remaining, nil
}

// noReplicaFailure returns the failure of a request for which no replica is left: that
// of the last attempt, if there was one.
func (d *dispatch) noReplicaFailure() *Failure {
	if d.runAttempts == 0 {
		if failure := d.unavailableFailure(); failure != nil {
			return failure
		}
	}
	if d.lastFailure != nil {
		return d.lastFailure
	}
	return &Failure{Reason: ReasonNoReplica, NotRun: d.runAttempts == 0, RetryAfter: minRetryAfter}
}

// send sends one attempt and waits for the head of its answer.
func (d *dispatch) send(c choice) error {
	r, request := d.router, d.request
	descriptor := c.replica.descriptor.Load()
	d.charged = false
	d.choice, d.sentAt, d.sentSoftware = c, r.clock.Now(), descriptor.SoftwareVersion
	attempt := &Attempt{
		Request:        request,
		ReplicaID:      descriptor.ID,
		Address:        descriptor.Address,
		Admit:          d.admit,
		WeightsVersion: c.weightsVersion,
		CacheScope:     c.cacheScope,
		Priority:       request.priority(),
		LastEventID:    d.lastEventID,
		SameRegion:     descriptor.Region == r.options.Region,
		FetchFrom:      c.fetchFrom,
		SaveTo:         c.saveTo,
	}
	r.recorder.Count("attempts")
	if !d.countedSent {
		d.countedSent = true
		d.countBySize("sent")
	}
	d.countedInFlight, d.inBacklog = true, true
	c.replica.inFlight.Add(1)
	r.pool.addBacklog(c.replica, request.priority(), c.uncachedTokens)
	if c.prefix != nil {
		for _, key := range c.prefix.keys {
			r.holders.beginPrefill(key, c.replica)
		}
	}
	if c.source != nil {
		r.pool.addTransfer(c.source, c.replica, c.transferTime)
	}
	r.logger.Info("route: sent.", "request", request.ID, "replica", descriptor.ID, "software", descriptor.SoftwareVersion, "service", d.service.name, "pace", d.service.Pace(), "reason", c.reason,
		"wait", c.wait, "slowness", c.slowness.Now, "loss", c.loss, "weights", c.weightsVersion, "tokens", request.promptTokens(), "missing", c.uncachedTokens, "again", c.repeatTokens, "scope", c.cacheScope, "part", request.Prompt.lastShared(), "fetchFrom", c.fetchFrom, "saveTo", c.saveTo, "configuration", request.Catalog.Version, "after", d.lastEventID, "resumes", request.Resumes, "route", request.Route.Name, "sent", d.sentTo.count(), "ran", d.runAttempts, "most", request.Route.MaxAttempts)
	ctx, cancel := context.WithCancel(d.ctx)
	d.cancelAttempt = cancel
	d.interrupted, d.continued, d.unreachable, d.longestUnread = false, false, nil, 0
	d.streaming.Store(false)
	d.timedOut.Store(false)
	d.recalled.Store(false)
	if d.canFailOver() {
		d.unreachable = make(chan struct{})
		d.unwatch = c.replica.registerFailover(d, d.onUnreachable(d.attemptState, cancel))
	}
	d.unregister = r.registerWaiting(d)
	reply, err := d.awaitHead(ctx, attempt)
	d.endWaiting()
	if err != nil || d.result != nil {
		return err
	}
	d.reply, d.headAt, d.soundRecorded = reply, r.clock.Now(), false
	return nil
}

// canFailOver reports whether another replica could take over the request from one that
// may be running it.
func (d *dispatch) canFailOver() bool {
	return d.request.Route.repeatable() && d.runAttempts+1 < d.allowedAttempts && d.sentTo.allowsAnother(d.choice.replica)
}

// recordAttemptError records that the current attempt got no usable answer.
func (d *dispatch) recordAttemptError(err error) {
	replica := d.choice.replica
	if errors.Is(err, ErrExpired) || errors.Is(err, ErrStopping) {
		d.router.recorder.Count("attempts.expired")
		d.router.logger.Info("route: not sent, the request has expired.", "request", d.request.ID, "replica", replica.ID(), "left", d.callerLeft, "stopping", errors.Is(err, ErrStopping))
		return
	}
	notSent := errors.Is(err, ErrNotSent)
	d.recordCrash(err)
	d.router.recorder.Count("attempts.lost")
	d.router.logger.Info("route: attempt failed.", "request", d.request.ID, "content", d.request.ContentKey, "replica", replica.ID(), "notSent", notSent, "err", err)
	d.excluded = append(d.excluded, replica)
	if d.ctx.Err() == nil && !d.recalled.Load() && !errors.Is(err, ErrNoDescriptor) {
		d.recordFailure(notSent)
	}
	if notSent {
		d.giveBack()
		d.rejectedAttempts++
		d.lastFailure = &Failure{Reason: ReasonNoReplica, NotRun: d.runAttempts == 0, RetryAfter: minRetryAfter}
		return
	}
	d.runAttempts++
	d.lastFailure = &Failure{Reason: ReasonReplicaFailed}
}

// checkRetryAllowed returns the final failure if no further attempt may be sent.
// Otherwise it takes one retry from the budget and returns nil.
func (d *dispatch) checkRetryAllowed() *Failure {
	if failure := d.checkExpired(); failure != nil {
		return failure
	}
	route := d.request.Route
	if d.runAttempts > 0 && (!route.repeatable() || d.runAttempts >= d.allowedAttempts) {
		return d.lastFailure
	}
	if !d.sentTo.allowsAnother(nil) {
		return d.sentFailure()
	}
	maxRejections := defaultMaxRejections
	if route.MaxRejections > 0 {
		maxRejections = route.MaxRejections
	}
	if d.rejectedAttempts > maxRejections || !d.spendRetry() {
		return d.lastFailure
	}
	return nil
}

// spendRetry takes one retry from the budget, or the one that is reserved, and reports whether one
// was available.
func (d *dispatch) spendRetry() bool {
	if d.retryReserved {
		d.retryReserved = false
		return true
	}
	if d.service.budget.Spend() {
		d.router.recorder.Count("retries")
		return true
	}
	d.router.recorder.Count("retries.denied")
	if d.denialLogged {
		return false
	}
	d.denialLogged = true
	d.router.logger.Info("route: not repeated, the retry budget is spent.", "request", d.request.ID, "service", d.service.name, "ran", d.runAttempts, "rejected", d.rejectedAttempts, "share", d.router.options.RetryShare())
	return false
}

// evaluateReply evaluates the head of an answer and reads the body, or the first event
// of a stream. It returns false if another attempt is due; lastFailure is then set.
func (d *dispatch) evaluateReply() (*Result, bool) {
	if result := d.result; result != nil {
		d.result = nil
		return result, true
	}
	r, reply, replica := d.router, d.reply, d.choice.replica
	d.recordReport(reply)
	if reply.NotRun {
		return nil, d.handleRejection()
	}
	replica.recordSuccess(r.clock.Now())
	if reply.NextEvent != nil {
		return d.startStream()
	}
	body, err := reply.ReadBody()
	if err != nil {
		d.recordAttemptError(err)
		return nil, false
	}
	d.runAttempts++
	if reply.Status >= 500 && d.request.Route.repeatable() && d.fallback == nil {
		d.fallback = &Result{Reply: reply, Body: body}
		d.lastFailure = &Failure{Reason: ReasonReplicaFailed}
		d.flight.Answered(reply.Running >= 0 && reply.Queued == 0)
		d.excluded = append(d.excluded, replica)
		r.logger.Info("route: replica answered with a server error.", "request", d.request.ID, "replica", replica.ID(), "status", reply.Status)
		return nil, false
	}
	d.leaveBacklog()
	d.flight.Answered(reply.Running >= 0 && reply.Queued == 0)
	d.recordAnswerTime()
	if reply.Status < 300 {
		d.recordSound()
	}
	r.recorder.Observe("answer", r.clock.Now().Sub(d.request.Arrived))
	return &Result{Reply: reply, Body: body}, true
}

// recordReport stores what the answer reports about its replica: whether it leaves, asks for
// a pause or names a limit, and its weights version if it has a model, else its load.
func (d *dispatch) recordReport(reply *Reply) {
	replica := d.choice.replica
	d.recordLeaving(reply)
	d.recordPause(reply)
	d.recordRateLimit(reply)
	d.recordHostLoad(reply)
	if d.request.Prompt != nil {
		replica.recordWeightsVersion(d.request.Prompt.Model, reply.WeightsVersion)
		return
	}
	if reply.Running >= 0 {
		replica.recordLoad(reply.Running, reply.Queued, d.router.clock.Now())
	}
}

// handleRejection records an answer which says that the request has not run. It always
// returns false, as another attempt is due.
func (d *dispatch) handleRejection() bool {
	replica := d.choice.replica
	d.giveBack()
	if d.reply.Pause <= 0 {
		// A replica rejects once for each pause, so that these need no limit but the budget.
		d.rejectedAttempts++
	}
	if !d.reply.WrongReplica {
		d.flight.Rejected()
	}
	d.router.recorder.Count("attempts.rejected")
	d.excluded = append(d.excluded, replica)
	d.router.logger.Info("route: rejected.", "request", d.request.ID, "replica", replica.ID(), "status", d.reply.Status,
		"wrongReplica", d.reply.WrongReplica, "weights", d.choice.weightsVersion, "named", d.reply.WeightsVersion)
	if actualID := d.reply.ReplicaID; d.reply.WrongReplica && actualID != "" && actualID != replica.ID() {
		d.router.logger.Info("route: another replica has the address.", "replica", replica.ID(), "met", actualID)
		d.router.pool.MarkEnded(replica)
	}
	d.lastFailure = &Failure{Reason: ReasonRejected, NotRun: d.runAttempts == 0, RetryAfter: max(minRetryAfter, d.reply.RetryAfter)}
	return false
}
