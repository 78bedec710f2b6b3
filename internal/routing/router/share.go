package router

import (
	"strconv"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/arbiter"
)

// sharesRoom reports whether the arbiter decides about the request.
func (d *dispatch) sharesRoom() bool {
	sharesRoom := d.router.options.SharesRoom
	return sharesRoom != nil && sharesRoom(d.service.name)
}

// claimRoom asks the service's arbiter whether a request is sent to the chosen replica. It returns
// false if the request must not be sent now: with a failure if it is refused, else once it has been
// held for a while.
func (d *dispatch) claimRoom(c choice) (bool, *Failure) {
	request, route := d.request, d.request.Route
	if d.claim == nil {
		workspace, weight := request.roomShare()
		d.claim = d.service.arbiter.Ask(arbiter.Work{Workspace: workspace, Weight: weight, Rank: request.kindRank(), Tokens: request.Prompt.Tokens, Target: route.LatencyTarget, Arrived: request.Arrived, Deadline: request.Deadline})
	}
	place := d.place(c)
	verdict := d.claim.Decide(place)
	if verdict.Action == arbiter.Send {
		d.countVerdict("sent")
		return true, nil
	}
	fields := []any{
		"request", request.ID, "route", route.Name, "service", d.service.name, "rank", request.kindRank(), "tokens", request.Prompt.Tokens, "rule", verdict.Reason, "limit", verdict.Limit, "wait", place.Wait, "queue", place.Queue, "prefill", place.Prefill,
		"full", place.Full, "used", verdict.Used, "share", verdict.Share, "replica", c.replica.ID(), "age", d.knowledgeAge(c.replica), "returned", request.CallerRetry,
	}
	if verdict.Action == arbiter.Refuse {
		d.countVerdict("refused")
		d.countBySize("refused." + string(verdict.Reason))
		d.router.logger.Info("route: request refused, there is not room for all.", append(fields, "back", verdict.After)...)
		return false, &Failure{Reason: ReasonOverload, NotRun: true, RetryAfter: verdict.After}
	}
	if !d.wasHeld {
		d.wasHeld = true
		d.countVerdict("held")
		d.router.logger.Info("route: request held, there is not room for all.", fields...)
	}
	select {
	case <-d.router.clock.After(verdict.After):
	case <-d.ctx.Done():
	}
	return false, nil
}

// kindRank returns the rank of the request among the kinds of requests to its service, 0 first. A
// workspace's priority counts for its share instead, so that urgency does not end where all
// workspaces have the same.
func (r *Request) kindRank() int {
	rank := r.Route.Priority
	if r.CallerRetry {
		rank += callerRetryRanks
	}
	return min(max(0, rank), PriorityLevels-1)
}

// roomShare returns the name of the request's workspace and the weight of its share, which the
// workspace's priority sets.
func (r *Request) roomShare() (workspace string, weight float64) {
	if r.Workspace == nil {
		return "", 1
	}
	return r.Workspace.Name, 1 / float64(1+max(0, r.Route.PriorityFor(r.Workspace)))
}

// countVerdict counts a verdict by the rank of the request.
func (d *dispatch) countVerdict(verdict string) {
	d.router.recorder.Count("room." + verdict + "." + strconv.Itoa(d.request.kindRank()))
}

// place returns what is expected of the request at the chosen replica.
func (d *dispatch) place(c choice) arbiter.Place {
	place := arbiter.Place{Wait: c.wait, Queue: c.queueTime, Prefill: c.prefillTime - c.queueTime, Full: d.isFull(c.replica), MaxWait: d.maxWait(c)}
	if c.uncachedTokens > 0 {
		place.Repeat = time.Duration(float64(place.Prefill) * min(1, float64(c.repeatTokens)/float64(c.uncachedTokens)))
	}
	return place
}

// isFull reports whether a replica is known to have no slot or memory for the request.
func (d *dispatch) isFull(replica *Replica) bool {
	service, state := d.request.Catalog.Service(d.service.name), replica.FreshState(d.router.clock.Now())
	if service == nil || service.Engine == nil || state == nil {
		return false
	}
	engine, prompt := service.Engine, d.request.Prompt
	running := max(replica.inFlight.Load(), int64(state.Running))
	return engine.MemoryTokens > 0 && state.MemoryUsed+prompt.Tokens+prompt.MaxOutputTokens > engine.MemoryTokens || engine.Slots > 0 && running >= int64(engine.Slots)
}

// knowledgeAge returns the age of the last report about a replica, -1 if there is none.
func (d *dispatch) knowledgeAge(replica *Replica) time.Duration {
	if state := replica.State(); state != nil {
		return d.router.clock.Now().Sub(state.ReceivedAt)
	}
	return -1
}
