package router

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Losses by which choices are compared, as shares of a request's value.
const (
	// lateLoss is the loss of a late answer; the platform's data sheets name a half to
	// nine tenths.
	lateLoss = 0.6
	// targetWaitLoss is the loss of a wait as long as the latency target, even if the
	// answer is in time: the replica is kept from other requests for as long.
	targetWaitLoss = 0.15
	// oldWeightsLoss is the loss of an answer on older weights, a fifth of the value.
	oldWeightsLoss = 0.2
	// wholePromptRepeatLoss is the loss of prefilling a whole prompt that another
	// replica has prefilled or is about to: by the data sheets 1.5 for 1,000 tokens,
	// where a request with 1,000 tokens has a value of some 0.6.
	wholePromptRepeatLoss = 2.5
	// failureLoss is the loss at a replica that fails every request.
	failureLoss = 1
	// preemptionLoss is the loss at a replica without memory or a slot for the request,
	// where it would preempt others.
	preemptionLoss = 0.5
	// crossZoneLoss and crossRegionLoss are the cost of traffic to other availability
	// zones and regions: 3 KB per request, at 3.2 and 13 per MB, for a request value of
	// 2 to 6.
	crossZoneLoss, crossRegionLoss = 0.003, 0.012
	// preparingLoss is the loss of a long request at a replica that is about to load
	// weights, since it would delay the load. It exceeds lateLoss, so that a late answer
	// of another replica is preferred.
	preparingLoss = 0.8
	// affinityMissLoss is the loss at a plain server other than the one for the
	// request's affinity, in addition to the wait there.
	affinityMissLoss = 0.5
	// preferredGain outweighs all losses, so that the replica that the request prefers
	// is chosen.
	preferredGain = 100
	// tieBreakLoss bounds a random loss that keeps daemons with the same knowledge from
	// choosing the same replica.
	tieBreakLoss = 0.004
	// sampledTieBreakLoss is that bound for replicas without a recent report in large groups:
	// daemons draw different candidates there. It is below the loss of one more running
	// request, so that their number always counts.
	sampledTieBreakLoss = 0.0001
)

const (
	// lateRampStart and lateRampEnd are the expected waits, as multiples of the latency
	// target, between which the probability of a late answer rises from 0 to 1:
	// expectations are off by about a half.
	lateRampStart, lateRampEnd = 0.5, 1.3
	// shortOutput is the most tokens that a short request may generate: at 8 ms a
	// token, a fifth of a second.
	shortOutput = 25
	// oldWeightsGrace is how long after a newer version was first named requests start
	// on older weights without a loss: such answers count as current for 1.5 s, less
	// the wait for them.
	oldWeightsGrace = 1300 * time.Millisecond
)

// choice is a replica for one attempt, with what is expected of it there.
type choice struct {
	replica *Replica
	// weightsVersion is the weights version that the attempt requires, 0 for any.
	weightsVersion int
	cacheScope     string
	// prefix is the request's shared prefix on this version, nil if it has none.
	prefix *sharedPrefix
	// uncachedTokens is how many prompt tokens the replica is expected to prefill, and
	// repeatTokens how many tokens it prefills again that another replica has prefilled
	// or is about to.
	uncachedTokens, repeatTokens int
	// fetchFrom is the address of a replica or cache store from which the replica
	// fetches prompt parts, and saveTo that of a cache store to which it sends them; ""
	// for none.
	fetchFrom, saveTo string
	// source is the replica at fetchFrom, nil if that is a cache store. The transfer
	// keeps the links of both replicas busy for transferTime.
	source       *Replica
	transferTime time.Duration
	// wait is the expected time to the first event, or to a plain server's answer.
	wait time.Duration
	// prefillTime is the part of wait in which the replica prefills prompts, and
	// queueTime the part of prefillTime for the prompts of other requests.
	prefillTime, queueTime time.Duration
	// loss is the share of the request's value that the choice is expected to lose.
	// reason is a code for the log line, such as "cached" or "spill".
	loss   float64
	reason string
	// beyondPace is set if the limit of the paced replica is used up. passedOver is the paced
	// replica that would have been chosen if its limit were not, or nil.
	beyondPace bool
	passedOver *Replica
}

// candidate is one replica with a snapshot of its properties, taken once for a
// selection.
type candidate struct {
	replica        *Replica
	descriptor     *Descriptor
	state          *State
	weightsVersion int
	failureRate    float64
	// eligible is set if the replica may get the request. In small groups one that may
	// not still counts as a possible home of prompts.
	eligible bool
	// beyondPace is set if the replica is paced and its limit is used up.
	beyondPace bool
}

// selection is the working state of one choice among the replicas of a service.
type selection struct {
	router  *Router
	request *Request
	service *serviceState
	// engine is nil if the catalog does not describe the service's replicas.
	engine     *Engine
	now        time.Time
	candidates []candidate
	// prefixes holds the shared prefix of the prompt on each weights version.
	prefixes []*sharedPrefix
	// pins are the versions that must produce the answer.
	pins pins
	// excluded replicas may not get the request.
	excluded []*Replica
	// largeGroup is the service's group if it is sampled because it is too large to
	// scan, else nil.
	largeGroup *group
	// affinityHome is the plain server that the request's affinity selects, or nil.
	affinityHome *Replica
}

// pins are the versions that must produce an answer because they began it.
type pins struct {
	// weights is a weights version, 0 for any, software a software version, nil for any.
	weights  int
	software *string
}

// selections reuses the memory of finished selections.
var selections = sync.Pool{New: func() any { return new(selection) }}

// choose returns the replica with the least expected loss, or false if no replica may
// take the request.
func (r *Router) choose(request *Request, service *serviceState, excluded []*Replica, pinned pins) (choice, bool) {
	s := selections.Get().(*selection)
	defer func() {
		clear(s.candidates)
		clear(s.prefixes)
		*s = selection{candidates: s.candidates[:0], prefixes: s.prefixes[:0]}
		selections.Put(s)
	}()
	s.router, s.request, s.service, s.pins, s.now = r, request, service, pinned, r.clock.Now()
	if catalogService := request.Catalog.Service(service.name); catalogService != nil {
		s.engine = catalogService.Engine
	}
	s.excluded = excluded
	g := r.pool.group(service.name)
	if pinned.software != nil {
		g = g.ofSoftware(*pinned.software)
	}
	if len(g.replicas) <= fullScanLimit {
		s.scanAll(g)
	} else {
		s.sample(g)
	}
	var best, beyond choice
	var found, foundBeyond bool
	for i := range s.candidates {
		if !s.candidates[i].eligible {
			continue
		}
		c, ok := s.evaluate(&s.candidates[i])
		switch {
		case !ok:
		case s.candidates[i].beyondPace:
			if !foundBeyond || c.loss < beyond.loss {
				beyond, foundBeyond = c, true
			}
		case !found || c.loss < best.loss:
			best, found = c, true
		}
	}
	return s.settle(best, beyond, found, foundBeyond)
}

// addCandidate adds a replica as a candidate. It returns false for one that leaves or has
// left its address.
func (s *selection) addCandidate(replica *Replica) bool {
	descriptor := replica.descriptor.Load()
	if !s.router.pool.takesRequests(replica, descriptor) {
		return false
	}
	backingOff, failureRate := replica.inBackoff(s.now)
	c := candidate{replica: replica, descriptor: descriptor, state: replica.FreshState(s.now), failureRate: failureRate}
	c.eligible = s.router.pool.waitRemaining(replica, descriptor, s.now) <= 0 && !slices.Contains(s.excluded, replica) && (c.state == nil || c.state.Phase <= Preparing)
	if s.request.Prompt != nil {
		c.weightsVersion = replica.WeightsVersion(s.request.Prompt.Model, s.now)
		c.eligible = c.eligible && (s.pins.weights == 0 || c.weightsVersion == 0 || c.weightsVersion == s.pins.weights)
	}
	c.eligible = c.eligible && s.checkPace(&c, backingOff)
	s.candidates = append(s.candidates, c)
	return true
}

// evaluate returns a candidate as a choice with its expected loss, or false if its
// weights are too old.
func (s *selection) evaluate(cand *candidate) (choice, bool) {
	r, request := s.router, s.request
	c := choice{replica: cand.replica, weightsVersion: cand.weightsVersion}
	wait, networkLoss := r.networkCost(cand.descriptor)
	c.wait = wait
	tieBreak := tieBreakLoss
	if s.largeGroup != nil && cand.state == nil {
		tieBreak = sampledTieBreakLoss
	}
	c.loss = networkLoss + cand.failureRate*failureLoss + rand.Float64()*tieBreak
	if cand.descriptor.ID == request.PreferredReplicaID {
		c.loss -= preferredGain
	}
	if s.affinityHome != nil && s.affinityHome != cand.replica {
		c.loss += affinityMissLoss
	}
	if cand.state != nil && cand.state.Phase == Preparing && !request.isShort() {
		c.loss += preparingLoss
	}
	if cand.descriptor.WarmUpRemaining > 0 {
		c.wait += warmUpDelay
	}
	if request.Prompt == nil {
		c.wait += r.plainWait(cand)
	} else {
		loss, ok := s.weightsLoss(cand)
		if !ok {
			return choice{}, false
		}
		c.wait += s.planPrefill(&c) + s.modelWait(&c, cand)
		c.loss += loss + s.capacityLoss(cand)
		c.loss += s.repeatLoss(c.repeatTokens)
	}
	c.loss += request.waitLoss(s.now.Sub(request.Arrived) + c.wait)
	return c, true
}

// repeatLoss returns the loss of prefilling tokens again that another replica has
// prefilled. On routes without a latency target the engine's ReuseWeight can set it.
func (s *selection) repeatLoss(tokens int) float64 {
	if s.engine != nil && s.engine.ReuseWeight > 0 && s.request.Route.LatencyTarget <= 0 {
		return s.engine.ReuseWeight * s.prefillDuration(tokens).Seconds()
	}
	return wholePromptRepeatLoss * float64(tokens) / float64(max(1, s.request.Prompt.Tokens))
}

// isShort reports whether the request ends soon after its first event.
func (r *Request) isShort() bool { return r.Prompt == nil || r.Prompt.MaxOutputTokens <= shortOutput }

// waitLoss returns the expected loss of an answer, or first event, that takes the given
// time. Without a latency target each second is a loss of 1.
func (r *Request) waitLoss(wait time.Duration) float64 {
	target := r.Route.LatencyTarget
	if target <= 0 {
		return wait.Seconds()
	}
	waitTargets := float64(wait) / float64(target)
	lateProbability := min(1, max(0, (waitTargets-lateRampStart)/(lateRampEnd-lateRampStart)))
	return lateLoss*lateProbability + targetWaitLoss*waitTargets
}

// FreshState returns the replica's last reported state, or nil if it is older than
// stateTTL.
func (r *Replica) FreshState(now time.Time) *State {
	if state := r.state.Load(); state != nil && now.Sub(state.ReceivedAt) < stateTTL {
		return state
	}
	return nil
}

// weightsLoss returns the loss caused by old weights of the replica. It returns false
// if they are too old to start a request on.
func (s *selection) weightsLoss(cand *candidate) (float64, bool) {
	supersededAt, superseded := s.router.options.SupersededAt(s.request.Prompt.Model, cand.weightsVersion)
	if cand.weightsVersion == 0 || !superseded {
		return 0, true
	}
	switch age := s.now.Sub(supersededAt); {
	case age >= s.router.options.OldWeightsTimeout:
		return 0, false
	case age >= oldWeightsGrace:
		return oldWeightsLoss, true
	}
	return 0, true
}

// capacityLoss returns the loss if the replica has no memory or slot for the request.
func (s *selection) capacityLoss(cand *candidate) float64 {
	if s.engine == nil || cand.state == nil {
		return 0
	}
	running := max(cand.replica.inFlight.Load(), int64(cand.state.Running))
	prompt := s.request.Prompt
	if s.engine.MemoryTokens > 0 && cand.state.MemoryUsed+prompt.Tokens+prompt.MaxOutputTokens > s.engine.MemoryTokens || s.engine.Slots > 0 && running >= int64(s.engine.Slots) {
		return preemptionLoss
	}
	return 0
}
