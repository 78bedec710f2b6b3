package router

import (
	"math/rand/v2"
	"sync"
	"time"
)

// maxTransferQueue is the longest queue of a link in which a transfer is placed. Replicas
// do not start a transfer that would wait for two seconds.
const maxTransferQueue = time.Second

// transferLog records the transfers of cached parts from and to one replica that this
// daemon has requested. Those of a replica run one after the other. It is safe for
// concurrent use.
type transferLog struct {
	// mu guards the fields below.
	mu sync.Mutex
	// total is the duration of all transfers so far, reported that of those that the
	// replica's sidecar knows of.
	total, reported time.Duration
	// busyUntil is when the transfers end if there are no others.
	busyUntil time.Time
}

// add records a transfer.
func (l *transferLog) add(now time.Time, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(duration)
	l.total += duration
}

// report returns the duration of all transfers and records them as reported.
func (l *transferLog) report() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reported = l.total
	return l.total
}

// queue returns how long the replica's link is still busy with the transfers of all
// daemons, by the last report of the replica's sidecar, which may be nil.
func (r *Replica) transferQueue(state *State, now time.Time) time.Duration {
	l := &r.transfers
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := max(0, l.busyUntil.Sub(now))
	if state != nil {
		queue = max(queue, state.TransferQueue-now.Sub(state.ReceivedAt)+l.total-l.reported)
	}
	return queue
}

// transferSource is the replica of an availability zone with the shortest queue of those
// that have a part of a prefix cached.
type transferSource struct {
	replica      *Replica
	zone, region string
	queue        time.Duration
}

// appendSources appends a source for each zone with a usable holder. Of sources with
// equally short queues one is chosen at random, so that daemons do not all choose the
// same.
func (s *selection) appendSources(sources []transferSource, holders []*Replica) []transferSource {
	if len(holders) == 0 {
		return sources
	}
	start := rand.IntN(len(holders))
	for n := range holders {
		holder := holders[(start+n)%len(holders)]
		if !s.router.canFetchFrom(holder, s.now) {
			continue
		}
		descriptor := holder.descriptor.Load()
		found := transferSource{replica: holder, zone: descriptor.Zone, region: descriptor.Region, queue: holder.transferQueue(holder.FreshState(s.now), s.now)}
		if found.queue > maxTransferQueue {
			continue
		}
		sources = withSource(sources, found)
	}
	return sources
}

// withSource adds a source unless its zone has one with a queue as short.
func withSource(sources []transferSource, added transferSource) []transferSource {
	for i := range sources {
		if sources[i].zone == added.zone {
			if added.queue < sources[i].queue {
				sources[i] = added
			}
			return sources
		}
	}
	return append(sources, added)
}

// bestSource returns, of the replicas that have the longest part of the prefix, the one
// from which a transfer to a replica ends first, the tokens that it has, and how long the
// transfer lasts with and without the wait for the links. It returns nil if none has more
// than the given cached tokens.
func (s *selection) bestSource(p *sharedPrefix, to *Replica, cached int) (best *Replica, tokens int, total, duration time.Duration) {
	target := to.descriptor.Load()
	for i := len(p.holders) - 1; i >= 0 && p.endTokens[i] > cached; i-- {
		if !p.sourcesKnown[i] {
			p.sources[i], p.sourcesKnown[i] = s.appendSources(p.sources[i][:0], p.holders[i]), true
		}
		targetQueue := time.Duration(-1)
		for _, source := range p.sources[i] {
			if source.replica == to {
				continue
			}
			if targetQueue < 0 {
				targetQueue = to.transferQueue(to.FreshState(s.now), s.now)
			}
			lasts := s.transferTime(unlimitedBandwidth, transferFactor(source.zone, source.region, target), p.endTokens[i]-cached)
			if end := max(source.queue, targetQueue) + lasts; best == nil || end < total {
				best, total, duration = source.replica, end, lasts
			}
		}
		if best != nil {
			return best, p.endTokens[i], total, duration
		}
	}
	return nil, cached, 0, 0
}
