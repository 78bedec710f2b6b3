package router

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// What a choice may lose, as shares of a request's worth.
const (
	// lateLoss is what a late answer loses; the sheets name a half to nine tenths.
	lateLoss = 0.6
	// waitLoss is what a wait as long as the target loses though the answer is in
	// time: the replica is kept from other requests for as long.
	waitLoss = 0.15
	// oldWeightsLoss is what an answer on older weights loses, a fifth.
	oldWeightsLoss = 0.2
	// readAgainLoss is what reading a prompt again loses that another replica has
	// read or is about to read, for the whole prompt: by the sheets 1.5 for 1,000
	// tokens, of which a request with 1,000 tokens is worth some 0.6.
	readAgainLoss = 2.5
	// failureLoss is what a replica that fails every request loses.
	failureLoss = 1
	// fullLoss is what a replica without memory for the request loses, which
	// would preempt others.
	fullLoss = 0.5
	// zoneLoss and regionLoss are the price of bytes to other availability zones
	// and regions: 3 KB a request at 3.2 and 13 a MB, of a worth of 2 to 6.
	zoneLoss, regionLoss = 0.003, 0.012
	// preparingLoss is what a long request loses at a replica that is about to load
	// weights: it would hold the load up. It stands behind a late answer elsewhere.
	preparingLoss = 0.8
	// strayLoss is what a plain server loses that is not the one for the request's
	// affinity, beside the wait there.
	strayLoss = 0.5
	// preferGain makes a replica that the request prefers win over all others.
	preferGain = 100
	// tieLoss keeps daemons that know the same from choosing the same.
	tieLoss = 0.004
)

const (
	// rampFrom and rampTo are the expected times, as shares of the target, between
	// which an answer becomes late: expectations are off by about a half.
	rampFrom, rampTo = 0.5, 1.3
	// shortOutput is the most tokens that a short request may generate: at 8 ms a
	// token, a fifth of a second.
	shortOutput = 25
	// oldWeightsGrace is how long after a newer version is named answers on older
	// weights are as good: 1.5 s, less the wait.
	oldWeightsGrace = 1300 * time.Millisecond
)

// choice is a decision about one attempt.
type choice struct {
	replica *Replica
	// weights is the version that the attempt asks for, 0 for any.
	weights int
	scope   string
	// parts is what is known of the shared parts under the scope, nil if there are
	// none.
	parts *parts
	// missing is how many tokens the replica is expected to read, and again how
	// many of these another replica has read or is about to.
	missing, again int
	// fetchFrom is the address of a replica or cache store that has parts which the
	// replica lacks, and saveTo that of a cache store that lacks them; "" for none.
	fetchFrom, saveTo string
	// wait is the expected time to the first event, or to a plain answer.
	wait time.Duration
	// reading is the part of it in which the replica reads prompts, queue that in
	// which it reads those of other requests.
	reading, queue time.Duration
	// loss is the share of the request's worth that the choice is expected to lose.
	loss   float64
	reason string
}

// candidate is one replica with what was read of it once.
type candidate struct {
	replica     *Replica
	descriptor  *Descriptor
	state       *State
	weights     int
	failureRate float64
	// usable is unset for a replica that may not get the request.
	usable bool
}

// survey is a look at the replicas of a service for one decision.
type survey struct {
	router     *Router
	request    *Request
	service    *service
	engine     *Engine
	now        time.Time
	candidates []candidate
	// scopes holds what is known of the prompt for each version of the weights.
	scopes []*parts
	// bound is the version that the answer must be made on, 0 for any.
	bound int
	// excluded replicas may not get the request.
	excluded []*Replica
	// group is set if it is too large to be looked at whole.
	group *group
	// home is the plain server for the request's affinity, or nil.
	home *Replica
}

// surveys saves the memory of ended surveys.
var surveys = sync.Pool{New: func() any { return new(survey) }}

// choose returns the replica with the least expected loss for a request whose answer is
// bound to a version of the weights, 0 for any. The second result is false if no
// replica may take the request.
func (r *Router) choose(request *Request, service *service, excluded []*Replica, bound int) (choice, bool) {
	s := surveys.Get().(*survey)
	defer func() {
		clear(s.candidates)
		clear(s.scopes)
		*s = survey{candidates: s.candidates[:0], scopes: s.scopes[:0]}
		surveys.Put(s)
	}()
	s.router, s.request, s.service, s.bound, s.now = r, request, service, bound, r.clock.Now()
	if known := request.Catalog.Service(service.name); known != nil {
		s.engine = known.Engine
	}
	s.excluded = excluded
	if g := r.pool.group(service.name); len(g.list) <= surveyAll {
		s.lookAtAll(g)
	} else {
		s.sample(g)
	}
	best, found := choice{}, false
	for i := range s.candidates {
		if !s.candidates[i].usable {
			continue
		}
		c, ok := s.evaluate(&s.candidates[i])
		if ok && (!found || c.loss < best.loss) {
			best, found = c, true
		}
	}
	return best, found
}

// look adds a replica as a candidate. It returns false for one that has left.
func (s *survey) look(replica *Replica) bool {
	descriptor := replica.descriptor.Load()
	if descriptor.Draining || !s.router.pool.present(replica) {
		return false
	}
	avoided, failureRate := replica.avoided(s.now)
	c := candidate{replica: replica, descriptor: descriptor, state: replica.FreshState(s.now), failureRate: failureRate}
	c.usable = !avoided && !slices.Contains(s.excluded, replica) && (c.state == nil || c.state.Phase <= Preparing)
	if s.request.Prompt != nil {
		c.weights = replica.WeightsVersion(s.request.Prompt.Model, s.now)
		c.usable = c.usable && (s.bound == 0 || c.weights == 0 || c.weights == s.bound)
	}
	s.candidates = append(s.candidates, c)
	return true
}

// evaluate returns what one replica is expected to lose, or false if it may not be
// used.
func (s *survey) evaluate(from *candidate) (choice, bool) {
	r, request := s.router, s.request
	c := choice{replica: from.replica, weights: from.weights}
	wait, distance := r.distance(from.descriptor)
	c.wait = wait
	c.loss = distance + from.failureRate*failureLoss + rand.Float64()*tieLoss
	if from.descriptor.ID == request.PreferredReplicaID {
		c.loss -= preferGain
	}
	if s.home != nil && s.home != from.replica {
		c.loss += strayLoss
	}
	if from.state != nil && from.state.Phase == Preparing && !request.short() {
		c.loss += preparingLoss
	}
	if from.descriptor.WarmUpRemaining > 0 {
		c.wait += coldTime
	}
	if request.Prompt == nil {
		c.wait += r.plainWait(from)
	} else {
		loss, ok := s.weightsLoss(from)
		if !ok {
			return choice{}, false
		}
		c.wait += s.readTime(&c) + s.modelWait(&c, from)
		c.loss += loss + s.memoryLoss(from)
		c.loss += s.againLoss(c.again)
	}
	c.loss += request.waitLoss(s.now.Sub(request.Arrived) + c.wait)
	return c, true
}

// againLoss is what is lost by reading tokens again that another replica has read.
func (s *survey) againLoss(tokens int) float64 {
	if s.engine != nil && s.engine.ReuseWeight > 0 && s.request.Route.LatencyTarget <= 0 {
		return s.engine.ReuseWeight * s.tokensTime(tokens).Seconds()
	}
	return readAgainLoss * float64(tokens) / float64(max(1, s.request.Prompt.Tokens))
}

// short reports whether the request ends soon behind its first event.
func (r *Request) short() bool { return r.Prompt == nil || r.Prompt.MaxOutputTokens <= shortOutput }

// waitLoss is what a request is expected to lose by an answer behind a time.
func (r *Request) waitLoss(wait time.Duration) float64 {
	target := r.Route.LatencyTarget
	if target <= 0 {
		return wait.Seconds()
	}
	share := float64(wait) / float64(target)
	late := min(1, max(0, (share-rampFrom)/(rampTo-rampFrom)))
	return lateLoss*late + waitLoss*share
}

// FreshState returns the replica's last reported state if it is recent, else nil.
func (r *Replica) FreshState(now time.Time) *State {
	if state := r.state.Load(); state != nil && now.Sub(state.ReceivedAt) < stateLife {
		return state
	}
	return nil
}

// weightsLoss is what is lost on the replica's weights. It returns false if they
// are too old to begin a request on.
func (s *survey) weightsLoss(from *candidate) (float64, bool) {
	since, superseded := s.router.options.SupersededAt(s.request.Prompt.Model, from.weights)
	if from.weights == 0 || !superseded {
		return 0, true
	}
	switch age := s.now.Sub(since); {
	case age >= s.router.options.OldWeightsTimeout:
		return 0, false
	case age >= oldWeightsGrace:
		return oldWeightsLoss, true
	}
	return 0, true
}

// memoryLoss is what is lost if the replica has no room for the request.
func (s *survey) memoryLoss(from *candidate) float64 {
	if s.engine == nil || from.state == nil {
		return 0
	}
	running := max(from.replica.running.Load(), int64(from.state.Running))
	prompt := s.request.Prompt
	if s.engine.MemoryTokens > 0 && from.state.MemoryUsed+prompt.Tokens+prompt.MaxOutputTokens > s.engine.MemoryTokens || s.engine.Slots > 0 && running >= int64(s.engine.Slots) {
		return fullLoss
	}
	return 0
}
