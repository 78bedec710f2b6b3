package router

import (
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/gauger"
)

const (
	// returnTime is how long after a replica has begun to serve, or to serve again, all daemons send
	// to it at once: until each has had reports of what the others have sent.
	returnTime = time.Second
	// maxOtherDaemons bounds the number of other daemons that are assumed to do as this one: with
	// more of them one request says too little of what they do.
	maxOtherDaemons = 32
	// moveWaits is the time after which a stream that has not begun is moved, as a multiple of the
	// expected one. Most first events come within it.
	moveWaits = 2
)

// maxQueueShare is the largest share of queues in the expected time to a first event whose actual
// time says something about the replica's speed: queues are known less well than prompts.
const maxQueueShare = 0.5

// scale returns a duration on a replica with a slowness.
func scale(d time.Duration, slowness float64) time.Duration {
	if slowness == 1 {
		return d
	}
	return time.Duration(float64(d) * slowness)
}

// usesSpeeds reports whether the speed of each replica of the service counts: if its replicas report
// the load of their hosts, and the router's options ask for it.
func (r *Router) usesSpeeds(service *serviceState) bool {
	return r.options.ReplicaSpeeds && service.reportsLoad.Load()
}

// slownessOf returns how long work takes on a replica, as a multiple of the service's pace: 1 where
// the speed of each replica does not count.
func (s *selection) slownessOf(replica *Replica) gauger.Slowness {
	if !s.router.options.ReplicaSpeeds {
		return gauger.Usual
	}
	if !s.service.reportsLoad.Load() {
		if state := replica.state.Load(); state == nil || state.Speed.LoadPercent <= 0 {
			return gauger.Usual
		}
		s.service.reportsLoad.Store(true)
	}
	return replica.gauge.Slowness(s.now)
}

// othersAtReturn returns, for a candidate that has just returned, how many other daemons send to it. It
// is idle for all daemons alike: what this one has sent to it since its report, each of the others
// has, too. For other candidates it returns 0.
func (s *selection) othersAtReturn(cand *candidate) int64 {
	if cand.state.PhaseAge+s.now.Sub(cand.state.ReceivedAt) >= returnTime || !s.router.usesSpeeds(s.service) {
		return 0
	}
	if s.others < 0 {
		s.others = 0
		if share := s.router.options.RetryShare(); share > 0 {
			s.others = int64(min(maxOtherDaemons, 1/share-1))
		}
	}
	return s.others
}

// recordHostLoad records the load of the replica's host that an answer names.
func (d *dispatch) recordHostLoad(reply *Reply) {
	if reply.HostLoad <= 0 {
		return
	}
	if onHostLoad := d.router.options.OnHostLoad; onHostLoad != nil {
		onHostLoad()
	}
	if d.router.options.ReplicaSpeeds {
		d.service.reportsLoad.Store(true)
		d.choice.replica.gauge.RecordLoad(reply.HostLoad, d.router.clock.Now())
	}
}

// recordFirstEvent records how long the replica has taken for the first event.
func (d *dispatch) recordFirstEvent() {
	d.service.updatePace(d.choice.prefillTime, d.choice.wait, d.firstEventDelay)
	d.recordSpeed(d.firstEventDelay)
}

// recordSpeed records how long the replica has taken for a first event, or has not sent it yet.
func (d *dispatch) recordSpeed(took time.Duration) {
	if !d.router.usesSpeeds(d.service) || float64(max(d.choice.queueTime, d.currentQueue())) > maxQueueShare*float64(d.choice.wait) {
		return
	}
	d.choice.replica.gauge.RecordAnswer(took, d.service.center.Apply(took, d.choice.wait), d.router.clock.Now())
}

// currentQueue returns how long the replica takes for what it is known to have to prefill now, without
// the request itself. A long queue that was not known as the request was sent is no slowness.
func (d *dispatch) currentQueue() time.Duration {
	backlog, replica := 0, d.choice.replica
	state := replica.FreshState(d.router.clock.Now())
	for i := range PriorityLevels {
		tokens := int(replica.backlogTokens[i].Load())
		if state != nil {
			tokens = max(tokens, state.BacklogTokens[i])
		}
		backlog += tokens
	}
	if d.inBacklog {
		backlog -= d.choice.uncachedTokens
	}
	s := selection{router: d.router, request: d.request, service: d.service}
	if service := d.request.Catalog.Service(d.service.name); service != nil {
		s.engine = service.Engine
	}
	return scale(s.prefillDuration(max(0, backlog)), d.choice.slowness.Lasting)
}

// recordNoFirstEvent records that the caller has left, or the time was up, before the replica has sent
// an event, which is known to take longer than that.
func (d *dispatch) recordNoFirstEvent() {
	if !d.inBacklog || d.request.Prompt == nil || d.ctx.Err() == nil {
		return
	}
	now := d.router.clock.Now()
	if state := d.choice.replica.FreshState(now); state != nil && state.Phase == Unreachable {
		return
	}
	if waited := now.Sub(d.sentAt); waited > d.choice.wait {
		d.recordSpeed(waited)
	}
}

// recordPlainSpeed records how long a plain server has taken, beside the answers of all others.
func (d *dispatch) recordPlainSpeed() {
	if !d.router.usesSpeeds(d.service) {
		return
	}
	if usual, _, known := d.service.answerTimes.expect(d.request.Route.Name, 0); known {
		d.choice.replica.gauge.RecordAnswer(d.headAt.Sub(d.sentAt), scale(usual, d.choice.slowness.Now), d.router.clock.Now())
	}
}

// SpeedEvidence returns what this daemon's answers say about the speed of the replica at an
// address, for the replica's sidecar.
func (p *Pool) SpeedEvidence(address string) gauger.Evidence {
	if replica := p.ReplicaByAddress(address); replica != nil {
		return replica.gauge.Evidence()
	}
	return gauger.Evidence{}
}

// moveTimeout returns the time after which another replica is asked for the first event of a stream
// because this one has not begun it, and false if none is: it took much longer than expected, and
// another can still be in time.
func (d *dispatch) moveTimeout() (time.Duration, bool) {
	if !d.router.usesSpeeds(d.service) || !d.request.Route.Resumable || d.lastEventID >= 0 {
		return 0, false
	}
	timeout := max(minReplyTimeout, moveWaits*d.choice.wait)
	return timeout, d.sinceArrival()+timeout < d.request.Route.LatencyTarget
}

// movesInTime reports whether a choice made now is expected to begin the stream in time.
func (d *dispatch) movesInTime(c choice) bool {
	return d.sinceArrival()+c.wait <= d.request.Route.LatencyTarget
}

// sinceArrival returns the time since the request has arrived.
func (d *dispatch) sinceArrival() time.Duration { return d.router.clock.Now().Sub(d.request.Arrived) }
