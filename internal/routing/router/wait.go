package router

import (
	"math"
	"time"
)

const (
	// firstTime is what a first event takes without a prompt: the head, a step and
	// the way back.
	firstTime = 45 * time.Millisecond
	// zoneTime and regionTime are round trips to another availability zone of the
	// region and to another region.
	zoneTime, regionTime = 3 * time.Millisecond, 42 * time.Millisecond
	// fetchSetup is what a transfer of cached parts costs besides its bytes.
	fetchSetup = 8 * time.Millisecond
	// zoneFetch and regionFetch are how many times as long a transfer takes
	// between availability zones and between regions.
	zoneFetch, regionFetch = 2, 10
	// guessedShare is how much of a prompt that this daemon has not seen is expected to be
	// at its home, since other daemons may have.
	guessedShare = 0.5
	// othersFactor is how many times as much as this daemon the others are taken to have
	// sent to a replica since its sidecar last reported: what attracts one attracts all.
	othersFactor = 1
	// coldTime is what a replica that has just started takes longer.
	coldTime = 60 * time.Millisecond
)

// distance returns the time to a replica and back, and the price of the way.
func (r *Router) distance(d *Descriptor) (time.Duration, float64) {
	switch {
	case d.Zone == r.options.Zone:
		return 0, 0
	case d.Region == r.options.Region:
		return zoneTime, zoneLoss
	}
	return regionTime, regionLoss
}

// plainWait is the expected time to the answer of a plain server.
func (r *Router) plainWait(from *candidate) time.Duration {
	busy := from.replica.running.Load()
	if from.state != nil {
		busy = max(busy, int64(from.state.Running+from.state.Queued))
	}
	slots := int64(max(1, from.descriptor.Slots))
	wait := r.options.PlainRequestTime + time.Duration(busy)*r.options.PlainRequestTime/time.Duration(4*slots)
	if busy >= slots {
		wait += time.Duration(busy-slots+1) * r.options.PlainRequestTime / time.Duration(slots)
	}
	return wait
}

// modelWait is the expected time before the replica begins to read the prompt,
// and to its first event behind it.
func (s *survey) modelWait(c *choice, from *candidate) time.Duration {
	replica, state := from.replica, from.state
	waiting, running := int64(0), replica.running.Load()
	// Replicas read the prompts of more urgent requests first.
	for i := range s.request.priority() + 1 {
		own, reported := replica.waiting[i].Load(), replica.reported[i].Load()
		waiting += own
		if state != nil {
			waiting += max(0, int64(state.BacklogTokens[i])-reported) + othersFactor*max(0, own-reported)
		}
	}
	if state != nil {
		running = max(running, int64(state.Running))
	}
	c.reading = s.tokensTime(int(waiting) + c.missing)
	c.queue = s.tokensTime(int(waiting))
	return firstTime + c.queue + time.Duration(running)*s.router.options.DelayPerRunningRequest
}

// readTime is the expected time for reading the prompt or fetching parts of it. It
// fixes what the replica is expected to read and where it fetches from.
func (s *survey) readTime(c *choice) time.Duration {
	prompt := s.request.Prompt
	p := s.parts(c.weights)
	c.scope, c.missing = p.scope, prompt.Tokens
	if len(p.keys) == 0 || c.weights == 0 {
		return s.tokensTime(c.missing)
	}
	c.parts = p
	held := p.held(c.replica)
	if prompt.SharingUnknown {
		held = max(held, p.read(c.replica))
	}
	var holder *Replica
	fetched := held
	if s.engine == nil || !s.engine.NoTransfers {
		holder, fetched = s.nearest(p, c.replica, held)
	}
	last := len(p.keys) - 1
	total := p.tokens[last]
	switch {
	case held == total:
		c.reason = "cached"
	case fetched == total:
		c.reason = "fetch"
	case p.reading[last] == c.replica:
		c.reason = "reading"
		fetched = total
	case p.reading[last] == nil && p.isHome(c.replica):
		c.reason = "home"
	default:
		c.reason = "spill"
		c.again = total - fetched
	}
	if prompt.SharingUnknown {
		c.again = max(0, p.anywhere()-fetched)
		if p.anywhere() == 0 && !p.isHome(c.replica) {
			c.again = int(guessedShare * float64(total))
		}
	}
	if fetched < total {
		if stored, took, found := s.useCacheStore(c, p, held); found {
			c.reason, c.again, c.missing = "cacheStore", 0, prompt.Tokens-stored
			return s.tokensTime(c.missing) + took
		}
	}
	c.missing = max(0, prompt.Tokens-fetched)
	wait := s.tokensTime(c.missing)
	if holder != nil {
		c.fetchFrom = holder.Address()
		wait += s.fetchTime(math.Inf(1), fetchFactor(holder, c.replica), max(0, fetched-held))
	}
	return wait
}

// fetchTime is the time of a transfer of cached tokens from a source whose own link
// has the given speed, in bits a second.
func (s *survey) fetchTime(speed float64, factor, tokens int) time.Duration {
	engine := s.engine
	if engine == nil || engine.LinkBitsPerSecond <= 0 {
		return fetchSetup
	}
	seconds := float64(tokens) * engine.TokenBytes * 8 / min(speed, engine.LinkBitsPerSecond)
	return fetchSetup + time.Duration(seconds*float64(factor)*float64(time.Second))
}

func fetchFactor(a, b *Replica) int {
	from, to := a.descriptor.Load(), b.descriptor.Load()
	return transferFactor(from.Zone, from.Region, to)
}

// transferFactor is how many times as long a transfer to a replica takes as within
// its availability zone.
func transferFactor(zone, region string, to *Descriptor) int {
	switch {
	case zone == to.Zone:
		return 1
	case region == to.Region:
		return zoneFetch
	}
	return regionFetch
}
