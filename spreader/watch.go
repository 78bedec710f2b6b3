package spreader

import (
	"context"

	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/zeebo/xxh3"
)

// watchLoop watches the store while this daemon is one of its region's watchers,
// and applies the changes to the table.
func (g *Gossip[T]) watchLoop(ctx context.Context) {
	var afterRevision uint64
	for {
		if !g.isWatcher() {
			if !g.sleep(ctx, g.jitter(g.options.WatchRetryInterval)) {
				return
			}
			continue
		}
		g.storeReads.Add(1)
		entries, revision, err := g.source.Store.Watch(ctx, g.source.Prefix, afterRevision, g.options.WatchTimeout)
		if err != nil {
			if !g.sleep(ctx, g.jitter(g.options.WatchRetryInterval)) {
				return
			}
			// Read all entries again, because changes may have been missed.
			afterRevision = 0
			continue
		}
		g.applyEntries(entries)
		afterRevision = max(afterRevision, revision)
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

// isWatcher reports whether this daemon is among the first WatchersPerRegion of its
// region by rank, not counting those that are unreachable.
func (g *Gossip[T]) isWatcher() bool {
	ownRank := rank(g.peers.Self)
	lowerRanked := 0
	for _, peer := range g.peers.SameRegion() {
		if peer != g.peers.Self && rank(peer) < ownRank && !g.isUnreachable(peer) {
			lowerRanked++
		}
	}
	return lowerRanked < g.options.WatchersPerRegion
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
