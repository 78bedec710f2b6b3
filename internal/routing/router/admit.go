package router

import (
	"math/rand/v2"
	"time"
)

const (
	// shedTargets is how many times its target a new request may be expected to take.
	// Expectations are at the median: of those that are expected just in time half
	// are late.
	shedTargets = 0.9
	// queueTargets is how many times its target a request must wait behind others to
	// be refused; one that is late by its own size is no reason to.
	queueTargets = 0.25
	// returnedRank is by how many ranks requests that came back are put behind.
	returnedRank = 4
	// abandonLeast, abandonTargets and abandonPauses are the longest of the times
	// after which callers leave a stream without an event.
	abandonLeast   = 2 * time.Second
	abandonTargets = 4
	abandonPauses  = 8
	// patienceShare of that time is used; the rest is for errors of expectation.
	patienceShare = 0.8
	// behindShare is the part of that which a request that came back may be expected
	// to wait: others that arrive later go before it.
	behindShare = 0.5
)

// refuse refuses a request that would not be answered in time, nil for one that is
// admitted. A new request is refused if it would be late for those that wait before
// it: it would make all behind it late too. One that came back is admitted as long as
// its caller waits for it, and one that a replica may have run always is.
func (u *run) refuse(c choice) *Failure {
	route, request := u.request.Route, u.request
	if request.Prompt == nil || route.LatencyTarget <= 0 || u.ran > 0 || request.LastEventID >= 0 {
		return nil
	}
	wait := u.router.clock.Now().Sub(request.Arrived) + c.wait
	limit := u.callerPatience()
	switch {
	case request.CallerRetry:
		limit = time.Duration(behindShare * float64(limit))
	case float64(c.queue) > queueTargets*float64(route.LatencyTarget):
		limit = min(limit, time.Duration(shedTargets*float64(route.LatencyTarget)))
	}
	if wait <= limit {
		return nil
	}
	back := time.Duration((1 + rand.Float64()/2) * float64(max(returnSoon, c.wait-route.LatencyTarget/2)))
	u.router.logger.Info("route: refused.", "request", request.ID, "expected", wait, "queue", c.queue, "limit", limit, "returned", request.CallerRetry, "back", back)
	return &Failure{Reason: ReasonOverload, NotRun: true, RetryAfter: back}
}

// callerPatience is how long the caller waits for the first event.
func (u *run) callerPatience() time.Duration {
	route := u.request.Route
	gap := max(abandonLeast, abandonTargets*route.LatencyTarget, abandonPauses*route.EventGapTarget)
	return time.Duration(patienceShare * float64(min(gap, u.request.Deadline.Sub(u.request.Arrived))))
}

// priority is the rank of the request; a workspace's own goes before the route's. A
// request that came back is late already: it goes behind those that can still be in
// time.
func (r *Request) priority() int {
	priority := r.Route.Priority
	if r.Workspace != nil && r.Workspace.Priority != nil {
		priority = *r.Workspace.Priority
	}
	if r.CallerRetry {
		priority += returnedRank
	}
	return min(max(0, priority), PriorityLevels-1)
}
