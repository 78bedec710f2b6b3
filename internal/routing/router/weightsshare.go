package router

import (
	"math"
	"math/rand/v2"

	"github.com/zeebo/xxh3"
)

const (
	// currentWeightsHeadroom is how much more than an average replica one with current weights is
	// asked to take while there are few of them.
	currentWeightsHeadroom = 1.5
	// promptSpread is the width of the interval from which the requests with the same prompt parts
	// draw: parts move to the new weights one after another, each is read there by few replicas,
	// and one that much of the traffic shares does not move at once.
	promptSpread = 0.25
	// pressedBacklog is the mean number of tokens that wait at a replica from which on a prompt
	// stays where its shared parts are cached, also on older weights: they take some 0.1 s, and
	// what is read again then delays what waits.
	pressedBacklog = 15_000
)

// leavesCurrentWeights reports whether the request is left to the replicas with older weights:
// those with current weights have no room for all requests while they are few. Without this every
// daemon would send all its requests to the first replica that comes back with new weights, long
// before its reports show them.
func (s *selection) leavesCurrentWeights() bool {
	if s.request.Prompt == nil || !s.loadAware || s.pins.weights != 0 {
		return false
	}
	eligible, current, backlog := 0, 0, 0
	for i := range s.candidates {
		if !s.candidates[i].eligible {
			continue
		}
		loss, usable := s.ageLoss(&s.candidates[i])
		if !usable {
			continue
		}
		eligible++
		if loss == 0 {
			current++
		}
		backlog += s.candidates[i].backlogTokens()
	}
	if current == 0 || current == eligible {
		return false
	}
	pressed := backlog > eligible*pressedBacklog
	if !(pressed && s.cachedOnOlderOnly()) && s.request.weightsDraw() < currentWeightsHeadroom*float64(current)/float64(eligible) {
		return false
	}
	s.router.recorder.Count("choices.olderWeights")
	return true
}

// backlogTokens returns how many prompt tokens wait at the replica, by its last report.
func (c *candidate) backlogTokens() (sum int) {
	if c.state == nil {
		return 0
	}
	for _, tokens := range c.state.BacklogTokens {
		sum += tokens
	}
	return sum
}

// cachedOnOlderOnly reports whether the longest shared prefix is cached on older weights that may
// still be used, and not on current ones.
func (s *selection) cachedOnOlderOnly() bool {
	older := false
	for i := range s.candidates {
		c := &s.candidates[i]
		loss, usable := s.ageLoss(c)
		if !c.eligible || !usable || c.weightsVersion == 0 {
			continue
		}
		p := s.sharedPrefix(c.weightsVersion)
		if n := len(p.keys); n == 0 || p.cachedTokens(c.replica) < p.endTokens[n-1] {
			continue
		}
		if loss == 0 {
			return false
		}
		older = true
	}
	return older
}

// weightsDraw returns a number from 0 to 1 that is similar for requests with the same shared parts
// and evenly spread over all prompts.
func (r *Request) weightsDraw() float64 {
	shared := r.Prompt.lastShared()
	if shared == "" {
		return rand.Float64()
	}
	_, draw := math.Modf(float64(xxh3.HashString(shared))/math.MaxUint64 + promptSpread*rand.Float64())
	return draw
}

// findSharedHomes chooses the homes among the replicas of all versions that are as good as the
// prefix's: a prompt that no replica has cached has one home, not one for each version. With a home
// for each, the few replicas of one version would read as many prompts first as the many of another.
func (s *selection) findSharedHomes(p *sharedPrefix) {
	parts, index := s.request.Prompt.Parts, len(p.keys)-1
	if s.request.Prompt.SharingUnknown {
		index = 0
	}
	key := xxh3.HashString(parts[index].ID)
	loss, _ := s.versionLoss(p.weightsVersion)
	for i := range s.candidates {
		c := &s.candidates[i]
		if other, usable := s.ageLoss(c); c.weightsVersion != 0 && usable && other == loss && !s.losesCache(c) {
			p.proposeHome(home{region: c.descriptor.Region, replica: c.replica, hash: mix(c.replica.hash ^ key)})
		}
	}
}

// losesCache reports whether a candidate is about to load weights, which empties its cache. It is
// the home of no prompt then: otherwise the prompts whose home loads would be read at no other
// replica of its version.
func (s *selection) losesCache(cand *candidate) bool {
	return s.loadAware && cand.state != nil && (cand.state.Phase == Preparing || cand.state.Phase == Loading)
}
