package router

import (
	"math/rand/v2"
	"time"
)

const (
	// admissionTargets is the longest expected time to the first event with which a new
	// request is admitted behind others, as a multiple of its latency target. It is
	// below 1 since expectations are medians: of the requests that are expected just in
	// time, half are late.
	admissionTargets = 0.9
	// minQueueTargets is the queue time above which admissionTargets applies, as a
	// multiple of the latency target. A request that is late only because its own
	// prompt is long is not refused for it.
	minQueueTargets = 0.25
	// callerRetryRanks is by how many ranks the priority of a caller's retry is
	// lowered.
	callerRetryRanks = 4
	// Callers abandon a stream once they have waited for an event for the longest of
	// minAbandonTime, abandonTargets latency targets and abandonGapTargets event gap
	// targets.
	minAbandonTime    = 2 * time.Second
	abandonTargets    = 4
	abandonGapTargets = 8
	// usablePatienceShare is the share of that time that an expected wait may use; the
	// rest is a margin for errors of the expectation.
	usablePatienceShare = 0.8
	// callerRetryPatienceShare is the share of the caller's patience that the expected
	// wait of a caller's retry may use: requests that arrive later are served before
	// it.
	callerRetryPatienceShare = 0.5
)

// checkAdmission reports whether the request is sent to the chosen replica. If not, it returns a
// failure, or nil if another choice is to be made. Requests to plain servers, those without a
// latency target and those that a replica may have run are always admitted.
func (d *dispatch) checkAdmission(c choice) (bool, *Failure) {
	request := d.request
	if request.Prompt == nil || request.Route.LatencyTarget <= 0 || d.runAttempts > 0 || request.LastEventID >= 0 {
		return true, nil
	}
	if d.sharesRoom() {
		return d.claimRoom(c)
	}
	failure := d.checkWait(c)
	return failure == nil, failure
}

// checkWait returns a failure if the request would not be answered in time, and
// nil if it is admitted. A request is refused if its caller is not expected to wait long
// enough for it, and a new one also if the queue before it would make it late: it would
// delay all requests behind it, too.
func (d *dispatch) checkWait(c choice) *Failure {
	route, request := d.request.Route, d.request
	wait, maxWait := d.router.clock.Now().Sub(request.Arrived)+c.wait, d.maxWait(c)
	if wait <= maxWait {
		return nil
	}
	d.countBySize("refused.wait")
	retryAfter := time.Duration((1 + rand.Float64()/2) * float64(max(minRetryAfter, c.wait-route.LatencyTarget/2)))
	d.router.logger.Info("route: request refused, expected wait is too long.", "request", request.ID, "route", route.Name, "tokens", request.Prompt.Tokens, "expected", wait, "queue", c.queueTime, "limit", maxWait, "returned", request.CallerRetry, "back", retryAfter)
	return &Failure{Reason: ReasonOverload, NotRun: true, RetryAfter: retryAfter}
}

// maxWait returns the longest time from the arrival to the first event with which the request
// is sent to the chosen replica.
func (d *dispatch) maxWait(c choice) time.Duration {
	target, patience := d.request.Route.LatencyTarget, d.callerPatience()
	switch {
	case d.request.CallerRetry:
		return time.Duration(callerRetryPatienceShare * float64(patience))
	case float64(c.queueTime) > minQueueTargets*float64(target):
		return min(patience, time.Duration(admissionTargets*float64(target)))
	}
	return patience
}

// callerPatience returns the longest wait for a first event that is expected not to
// make the caller leave.
func (d *dispatch) callerPatience() time.Duration {
	route := d.request.Route
	abandonAfter := max(minAbandonTime, abandonTargets*route.LatencyTarget, abandonGapTargets*route.EventGapTarget)
	return time.Duration(usablePatienceShare * float64(min(abandonAfter, d.request.Deadline.Sub(d.request.Arrived))))
}

// priority returns the rank of the request, 0 first. A workspace's priority overrides
// that of the route. A caller's retry is late already and ranks behind requests that
// can still be in time.
func (r *Request) priority() int {
	priority := r.Route.PriorityFor(r.Workspace)
	if r.CallerRetry {
		priority += callerRetryRanks
	}
	return min(max(0, priority), PriorityLevels-1)
}
