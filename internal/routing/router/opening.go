package router

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/metrics/recorder"
	"github.com/cyclamenward/cyclamenward/internal/routing/pacer"
)

const (
	// beyondPaceTargets is the longest expected wait at a replica whose limit is used up with which it
	// gets a request that would be late elsewhere, as a multiple of the latency target.
	beyondPaceTargets = 0.5
	// newListTime is how long the list of a service's replicas counts as new: replicas that start
	// together are listed one by one.
	newListTime = 4 * time.Second
	// seriesOfFailures is how many failures in a row make a replica paced; one alone is followed by a
	// backoff only.
	seriesOfFailures = 2
)

// pacing has replicas of some services be paced after a start or a recovery.
type pacing struct {
	// paced reports whether the replicas of a service are.
	paced    func(service string) bool
	share    func() float64
	logger   *log.Logger
	recorder *recorder.Recorder
}

// pacingSwitch holds the pacing of a pool, nil if there is none. Replicas that are known before
// it is set are open.
type pacingSwitch struct{ atomic.Pointer[pacing] }

// paceStarts has replicas be paced as the options say.
func (r *Router) paceStarts() {
	if r.options.PacedStarts != nil {
		r.pool.pacing.Store(&pacing{paced: r.options.PacedStarts, share: r.options.RetryShare, logger: r.logger, recorder: r.recorder})
	}
}

// beginPace has a replica be paced if its service is. before is the replica's last incarnation or
// nil.
func (p *Pool) beginPace(replica *Replica, cause pacer.Cause, before *Replica) {
	pacing := p.pacing.Load()
	if pacing == nil || !pacing.paced(replica.descriptor.Load().Service) {
		return
	}
	if replica.pacer.Load() == nil {
		replica.pacer.CompareAndSwap(nil, pacer.New(pacer.Options{Clock: p.clock, Share: pacing.share, OnChange: func(c pacer.Change) { pacing.record(replica, c) }}))
	}
	var last *pacer.Pacer
	if before != nil {
		last = before.pacer.Load()
	}
	replica.pacer.Load().Begin(cause, last)
}

// record logs and counts a change of a replica's pace.
func (p *pacing) record(replica *Replica, c pacer.Change) {
	id := replica.ID()
	switch c.Event {
	case pacer.Paced:
		p.recorder.Count("pace.begun")
		p.logger.Info("route: replica is paced.", "replica", id, "cause", c.Cause, "falls", c.Falls, "limit", c.Limit, "share", c.Share)
	case pacer.Shrunk:
		p.recorder.Count("pace.shrunk")
		p.logger.Info("route: pace of a replica falls.", "replica", id, "cause", c.Cause, "limit", c.Limit, "share", c.Share, "round", c.Round)
	case pacer.Opened:
		p.recorder.Count("pace.opened")
		p.logger.Info("route: replica is open.", "replica", id, "cause", c.Cause, "limit", c.Limit, "round", c.Round)
	}
}

// recordServices records since when each service has replicas. The caller holds mu.
func (p *Pool) recordServices(v *view, now time.Time) {
	maps.DeleteFunc(p.servedSince, func(service string, _ time.Time) bool { return v.byService[service] == nil })
	for service := range v.byService {
		if _, known := p.servedSince[service]; !known {
			p.servedSince[service] = now
		}
	}
}

// noteStart has a replica be paced that the list has not had before. While the list of a service is
// new itself, as after the start of this daemon, its replicas may have served for long. last is the
// one that had the ID before, or nil. The caller holds mu.
func (p *Pool) noteStart(replica, last *Replica, old *view) {
	descriptor := replica.descriptor.Load()
	if last == nil {
		last = old.byAddress[descriptor.Address]
	}
	if since, known := p.servedSince[descriptor.Service]; known && p.clock.Now().Sub(since) >= newListTime {
		p.beginPace(replica, pacer.Started, last)
	}
}

// notePhase has a replica be paced that serves again.
func (p *Pool) notePhase(replica *Replica, last, current *State) {
	if last == nil || last.StartUnixMilli == 0 || current.Phase > Preparing {
		return
	}
	switch last.Phase {
	case Unreachable:
		p.beginPace(replica, pacer.Reachable, nil)
	case Loading:
		p.beginPace(replica, pacer.NewWeights, nil)
	}
}

// recordFailure records that the current attempt's replica has failed it. A replica that has not
// taken the connection, or has failed several in a row, is paced from then on.
func (d *dispatch) recordFailure(notSent bool) {
	replica := d.choice.replica
	d.flight.Failed()
	if failures := replica.recordFailure(d.router.clock.Now()); notSent || failures >= seriesOfFailures {
		d.router.pool.beginPace(replica, pacer.Recovered, nil)
	}
}

// checkPace reports whether a candidate may get the request as far as its failures and its pace
// go. It sets beyondPace of one whose limit is used up. A replica in a backoff gets movable requests for
// which its limit has room, to find out early whether it has recovered.
func (s *selection) checkPace(c *candidate, backingOff bool) bool {
	p := c.replica.pacer.Load()
	if !p.Paced() {
		return !backingOff
	}
	if queue, answers := s.reportedQueue(c.state); answers {
		p.Reported(c.state.ReceivedAt, queue)
	}
	c.beyondPace = !p.Admits(s.request.movable(), s.request.Route.LatencyTarget)
	return !backingOff || !c.beyondPace && s.request.movable()
}

// reportedQueue returns how long a request waits for others at a replica by the report of its sidecar, and
// whether the replica answers requests.
func (s *selection) reportedQueue(state *State) (queue time.Duration, answers bool) {
	if state == nil || state.Running == 0 || state.StartUnixMilli == 0 {
		return 0, false
	}
	backlog := 0
	for _, tokens := range state.BacklogTokens {
		backlog += tokens
	}
	return s.prefillDuration(backlog), true
}

// movable reports whether another replica may get the request if one fails.
func (r *Request) movable() bool { return r.Route.repeatable() && r.Route.MaxAttempts > 1 }

// settle returns the best choice within the limits of paced replicas, or the best beyond them if
// there is no other, the request prefers it, the other would be late, or most replicas are paced.
func (s *selection) settle(within, beyond choice, foundWithin, foundBeyond bool) (choice, bool) {
	if !foundBeyond {
		return within, foundWithin
	}
	beyond.beyondPace = true
	if !foundWithin {
		return beyond, true
	}
	if within.loss <= beyond.loss {
		return within, true
	}
	if beyond.replica.ID() == s.request.PreferredReplicaID {
		return beyond, true
	}
	eligible, paced := 0, 0
	for i := range s.candidates {
		if s.candidates[i].eligible {
			eligible++
			if s.candidates[i].replica.pacer.Load().Paced() {
				paced++
			}
		}
	}
	target, waited := s.request.Route.LatencyTarget, s.now.Sub(s.request.Arrived)
	late := target > 0 && float64(waited+within.wait) > admissionTargets*float64(target) && float64(waited+beyond.wait) < beyondPaceTargets*float64(target)
	if late || 2*paced > eligible {
		return beyond, true
	}
	within.passedOver = beyond.replica
	return within, true
}

// takePace counts the attempt that is about to be sent to a choice in the replica's limit. It
// returns false if others have used that up since the choice.
func (d *dispatch) takePace(c choice) bool {
	if p := c.replica.pacer.Load(); p.Paced() {
		flight, taken := p.Take(pacer.Request{Tokens: c.uncachedTokens, Expected: c.wait, Work: c.wait - c.queueTime, Movable: d.request.movable()}, c.beyondPace)
		if !taken {
			return false
		}
		d.flight = flight
		if c.beyondPace {
			d.router.recorder.Count("pace.beyond")
		}
	}
	if c.passedOver != nil {
		p := c.passedOver.pacer.Load()
		p.Bound()
		d.router.recorder.Count("pace.passedOver")
		d.router.logger.Info("route: paced replica was passed over.", "request", d.request.ID, "replica", c.passedOver.ID(), "chosen", c.replica.ID(), "limit", p.Limit())
	}
	return true
}
