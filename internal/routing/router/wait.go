package router

import (
	"math"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/gauger"
)

// unlimitedBandwidth is that of a source whose link is not slower than the replica's.
var unlimitedBandwidth = math.Inf(1)

const (
	// baseFirstEventTime is the time to a first event without prefill: for the head of
	// the answer, one engine step and the network delay.
	baseFirstEventTime = 45 * time.Millisecond
	// crossZoneRoundTrip and crossRegionRoundTrip are the round-trip times to another
	// availability zone of the region and to another region.
	crossZoneRoundTrip, crossRegionRoundTrip = 3 * time.Millisecond, 42 * time.Millisecond
	// transferSetupTime is the fixed time of a transfer of cached parts, in addition to
	// that for its bytes.
	transferSetupTime = 8 * time.Millisecond
	// crossZoneTransferFactor and crossRegionTransferFactor are the times of a transfer
	// between zones of a region and between regions, as multiples of that within an
	// availability zone.
	crossZoneTransferFactor, crossRegionTransferFactor = 2, 10
	// assumedCachedShare is the share of a prompt that is assumed to be cached at its
	// home although this daemon has not sent it before: other daemons may have.
	assumedCachedShare = 0.5
	// otherDaemonsFactor is how many tokens all other daemons are assumed to have sent
	// to a replica since its sidecar last reported, as a multiple of what this daemon
	// sent: a replica that attracts one daemon attracts all.
	otherDaemonsFactor = 1
	// warmUpDelay is the additional time that a replica needs for each request shortly
	// after its start.
	warmUpDelay = 60 * time.Millisecond
)

// networkCost returns the round-trip time to a replica and the loss for the cost of the
// traffic.
func (r *Router) networkCost(d *Descriptor) (time.Duration, float64) {
	switch {
	case d.Zone == r.options.Zone:
		return 0, 0
	case d.Region == r.options.Region:
		return crossZoneRoundTrip, crossZoneLoss
	}
	return crossRegionRoundTrip, crossRegionLoss
}

// plainWait returns the expected time to a plain server's answer. It grows by a quarter
// as the slots fill up, and by the wait for a free slot once they are all in use.
func (r *Router) plainWait(cand *candidate) time.Duration {
	active := cand.replica.inFlight.Load()
	if cand.state != nil {
		active = max(active, int64(cand.state.Running+cand.state.Queued))
	}
	slots := int64(max(1, cand.descriptor.Slots))
	work := scale(r.options.PlainRequestTime, cand.slowness.Now)
	wait := cand.replica.slowness(r.clock) + work + time.Duration(active)*work/time.Duration(4*slots)
	if active >= slots {
		wait += time.Duration(active-slots+1) * work / time.Duration(slots)
	}
	return wait
}

// modelWait returns the expected time to the first event without the prefill of the
// prompt itself: the time to prefill the prompts before it, and the time from the end of
// its prefill to the event. It sets prefillTime and queueTime of the choice.
func (s *selection) modelWait(c *choice, cand *candidate) time.Duration {
	replica, state := cand.replica, cand.state
	backlog, running := int64(0), replica.inFlight.Load()
	// Urgent requests are admitted first, but a replica with free slots admits all at once
	// and prefills their prompts in the order of arrival.
	for i := range s.ranksBefore(state) {
		ownBacklog, reported := replica.backlogTokens[i].Load(), replica.reportedBacklog[i].Load()
		backlog += ownBacklog
		if state != nil {
			backlog += max(0, int64(state.BacklogTokens[i])-reported) + max(otherDaemonsFactor*max(0, ownBacklog-reported), s.othersAtReturn(cand)*max(0, ownBacklog-replica.stateBacklog[i].Load()))
		}
	}
	if state != nil {
		running = max(running, int64(state.Running))
	}
	c.queueTime, c.prefillTime = scale(s.prefillDuration(int(backlog)), c.slowness.Lasting), s.prefillDuration(int(backlog)+c.uncachedTokens)
	if c.slowness != gauger.Usual {
		c.prefillTime = c.queueTime + s.prefillDurationAt(c, c.uncachedTokens)
	}
	return c.queueTime + scale(baseFirstEventTime+time.Duration(running)*s.router.options.DelayPerRunningRequest, c.slowness.Now)
}

// ranksBefore returns the number of ranks whose prompts are prefilled before that of the
// request: all, or only those that are not less urgent if requests wait for admission.
func (s *selection) ranksBefore(state *State) int {
	if state != nil && state.Queued > 0 {
		return s.request.priority() + 1
	}
	return PriorityLevels
}

// planPrefill returns the expected time to prefill the prompt and to fetch parts of it.
// It sets in the choice how many tokens the replica prefills and where it fetches from
// or saves to.
func (s *selection) planPrefill(c *choice) time.Duration {
	prompt := s.request.Prompt
	prefix := s.sharedPrefix(c.weightsVersion)
	c.cacheScope, c.uncachedTokens = prefix.cacheScope, prompt.Tokens
	if len(prefix.keys) == 0 || c.weightsVersion == 0 {
		return s.prefillDurationAt(c, c.uncachedTokens)
	}
	c.prefix = prefix
	cached := prefix.cachedTokens(c.replica)
	if prompt.SharingUnknown {
		cached = max(cached, prefix.prefillingTokens(c.replica))
	}
	var source *Replica
	var transferWait time.Duration
	available := cached
	if s.engine == nil || !s.engine.NoTransfers {
		source, available, transferWait, c.transferTime = s.bestSource(prefix, c.replica, cached)
	}
	last := len(prefix.keys) - 1
	sharedTokens := prefix.endTokens[last]
	switch {
	case cached == sharedTokens:
		c.reason = "cached"
	case available == sharedTokens:
		c.reason = "fetch"
	case prefix.prefilling[last] == c.replica:
		c.reason = "reading"
		available = sharedTokens
	case prefix.prefilling[last] == nil && prefix.isHome(c.replica):
		c.reason = "home"
	default:
		c.reason = "spill"
		c.repeatTokens = sharedTokens - available
	}
	if prompt.SharingUnknown {
		c.repeatTokens = max(0, prefix.knownTokens()-available)
		if prefix.knownTokens() == 0 && !prefix.isHome(c.replica) {
			c.repeatTokens = int(assumedCachedShare * float64(sharedTokens))
		}
	}
	if available < sharedTokens {
		if storeTokens, storeTime, found := s.useCacheStore(c, prefix, cached); found {
			c.reason, c.repeatTokens, c.uncachedTokens = "cacheStore", 0, prompt.Tokens-storeTokens
			return s.prefillDurationAt(c, c.uncachedTokens) + storeTime
		}
	}
	c.uncachedTokens = max(0, prompt.Tokens-available)
	wait := s.prefillDurationAt(c, c.uncachedTokens)
	if source != nil {
		c.source, c.fetchFrom = source, source.Address()
		wait += transferWait
	}
	return wait
}

// transferTime returns the time of a transfer of cached tokens from a source whose own
// link has the given speed, in bits per second. factor is the transferFactor between
// the source and the replica.
func (s *selection) transferTime(sourceBitsPerSecond float64, factor, tokens int) time.Duration {
	engine := s.engine
	if engine == nil || engine.LinkBitsPerSecond <= 0 {
		return transferSetupTime
	}
	seconds := float64(tokens) * engine.TokenBytes * 8 / min(sourceBitsPerSecond, engine.LinkBitsPerSecond)
	return transferSetupTime + time.Duration(seconds*float64(factor)*float64(time.Second))
}

// transferFactor returns the time of a transfer from a zone and region to a replica, as
// a multiple of that within an availability zone.
func transferFactor(zone, region string, to *Descriptor) int {
	switch {
	case zone == to.Zone:
		return 1
	case region == to.Region:
		return crossZoneTransferFactor
	}
	return crossRegionTransferFactor
}
