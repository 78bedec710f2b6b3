package spreader

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/zeebo/xxh3"
)

// watchLoop watches the store while this daemon is the active watcher of its region, and applies the changes to the
// table.
func (g *Gossip[T]) watchLoop(ctx context.Context) {
	var afterRevision uint64
	// The first call does not wait for changes, so that its response can be reported to the other candidates immediately.
	var timeout time.Duration
	for {
		if wait := g.untilTakeover(); wait > 0 {
			timeout = 0
			if !g.sleep(ctx, min(wait, g.jitter(g.options.WatchRetryInterval))) {
				return
			}
			continue
		}
		g.storeReads.Add(1)
		entries, revision, err := g.source.Store.Watch(ctx, g.source.Prefix, afterRevision, timeout)
		if err != nil {
			// Read all entries again, because changes may have been missed.
			afterRevision, timeout = 0, 0
			if !g.sleep(ctx, g.jitter(g.retryInterval())) {
				return
			}
			continue
		}
		g.recordResponse(g.peers.Self)
		g.applyEntries(entries)
		g.start(func() { g.reportResponse(ctx) })
		afterRevision, timeout = max(afterRevision, revision), g.options.WatchTimeout
	}
}

// applyEntries parses entries of the store and applies the documents in them.
func (g *Gossip[T]) applyEntries(entries []keeper.Entry) {
	for _, entry := range entries {
		document, err := g.source.Parse(entry)
		if err != nil {
			g.reportError(err)
			continue
		}
		g.applyDocuments([]Document{document})
	}
}

// untilTakeover returns the time until this daemon has to call the store, 0 or less if that time has come. A candidate
// takes over once no watcher has reported a response of the store for WatchValidity, after a delay that grows with its
// rank. If two daemons watch, the one with the lower rank continues.
func (g *Gossip[T]) untilTakeover() time.Duration {
	position := g.position()
	if position >= g.options.WatchCandidates {
		return g.options.WatchRetryInterval
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	active := now.Sub(g.respondedAt[g.peers.Self]) < g.options.WatchValidity
	// Without a report, the validity counts as expired when this daemon started.
	last := g.startedAt.Add(-g.options.WatchValidity)
	for watcher, at := range g.respondedAt {
		if watcher != g.peers.Self && at.After(last) && (!active || rank(watcher) < rank(g.peers.Self)) {
			last = at
		}
	}
	return last.Add(g.options.WatchValidity + time.Duration(position)*g.options.TakeoverDelay).Sub(now)
}

// recordResponse records that the store has just responded to a watcher of this region.
func (g *Gossip[T]) recordResponse(watcher string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	maps.DeleteFunc(g.respondedAt, func(_ string, at time.Time) bool { return now.Sub(at) > g.options.WatchValidity })
	g.respondedAt[watcher] = now
}

// reportResponse reports a response of the store to the other candidates.
func (g *Gossip[T]) reportResponse(ctx context.Context) {
	peers := g.reachableInRegion()
	slices.SortFunc(peers, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	g.exchangeAll(ctx, peers[:min(len(peers), g.options.WatchCandidates)], g.peers.Self)
}

// retryInterval returns the maximum wait after a failed call. Standbys wait longer, which bounds the calls of a region
// while the store is down.
func (g *Gossip[T]) retryInterval() time.Duration {
	if g.position() == 0 {
		return g.options.WatchRetryInterval
	}
	return g.options.StandbyRetryInterval
}

// position returns the number of reachable daemons in this region with a lower rank.
func (g *Gossip[T]) position() int {
	ownRank := rank(g.peers.Self)
	lowerRanked := 0
	for _, peer := range g.reachableInRegion() {
		if rank(peer) < ownRank {
			lowerRanked++
		}
	}
	return lowerRanked
}

// reachableInRegion returns the other daemons of this region that are not known to be unreachable.
func (g *Gossip[T]) reachableInRegion() []string {
	region := slices.Clone(g.peers.SameRegion())
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.DeleteFunc(region, func(peer string) bool {
		_, unreachable := g.unreachable[peer]
		return unreachable || peer == g.peers.Self
	})
}

// rank hashes an address. It orders the daemons of a region in the same way on each
// of them.
func rank(address string) uint64 { return xxh3.HashString(address) }
