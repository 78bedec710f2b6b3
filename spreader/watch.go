package spreader

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/zeebo/xxh3"
)

// watchLoop watches the store while it is this daemon's turn, and applies the changes to the table.
func (g *Gossip[T]) watchLoop(ctx context.Context) {
	var afterRevision uint64
	// The first call does not wait, so that the other candidates know at once whether the store answers it.
	var timeout time.Duration
	for {
		if wait := g.untilTurn(); wait > 0 {
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
		g.recordWatcher(g.peers.Self)
		g.applyEntries(entries)
		g.start(func() { g.reportWatch(ctx) })
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

// untilTurn returns the time until this daemon has to call the store, 0 or less if it has to now. A candidate takes
// over from a watcher of which it has not heard for WatchValidity, in the order of ranks. Of two watchers the one of
// the lower rank goes on.
func (g *Gossip[T]) untilTurn() time.Duration {
	position := g.position()
	if position >= g.options.WatchCandidates {
		return g.options.WatchRetryInterval
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	watches := now.Sub(g.answeredAt[g.peers.Self]) < g.options.WatchValidity
	// Before the start nothing can have been heard.
	last := g.startedAt.Add(-g.options.WatchValidity)
	for watcher, at := range g.answeredAt {
		if watcher != g.peers.Self && at.After(last) && (!watches || rank(watcher) < rank(g.peers.Self)) {
			last = at
		}
	}
	return last.Add(g.options.WatchValidity + time.Duration(position)*g.options.TurnDelay).Sub(now)
}

// recordWatcher records that the store has just answered a daemon of this region.
func (g *Gossip[T]) recordWatcher(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	maps.DeleteFunc(g.answeredAt, func(_ string, at time.Time) bool { return now.Sub(at) > g.options.WatchValidity })
	g.answeredAt[address] = now
}

// reportWatch tells the other candidates that the store has answered this daemon.
func (g *Gossip[T]) reportWatch(ctx context.Context) {
	candidates := slices.DeleteFunc(slices.Clone(g.peers.SameRegion()), func(peer string) bool { return peer == g.peers.Self || g.isUnreachable(peer) })
	slices.SortFunc(candidates, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	var group sync.WaitGroup
	for _, peer := range candidates[:min(len(candidates), g.options.WatchCandidates)] {
		group.Add(1)
		go func() {
			defer group.Done()
			if err := g.exchange(ctx, peer, g.peers.Self); err != nil && ctx.Err() == nil {
				g.reportError(err)
			}
		}()
	}
	group.Wait()
}

// retryInterval returns the longest wait after a failed call. Those of all candidates together do not grow with
// the number of daemons.
func (g *Gossip[T]) retryInterval() time.Duration {
	if g.position() == 0 {
		return g.options.WatchRetryInterval
	}
	return g.options.StandbyRetryInterval
}

// position returns the number of daemons in this region with a lower rank, not counting those that are unreachable.
func (g *Gossip[T]) position() int {
	ownRank := rank(g.peers.Self)
	lowerRanked := 0
	for _, peer := range g.peers.SameRegion() {
		if peer != g.peers.Self && rank(peer) < ownRank && !g.isUnreachable(peer) {
			lowerRanked++
		}
	}
	return lowerRanked
}

func (g *Gossip[T]) isUnreachable(peer string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, unreachable := g.unreachable[peer]
	return unreachable
}

// rank hashes an address. It orders the daemons of a region in the same way on each
// of them.
func rank(address string) uint64 { return xxh3.HashString(address) }
