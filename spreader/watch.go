package spreader

import (
	"context"

	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/zeebo/xxh3"
)

// watchLoop reads the store while this daemon is one of its region's watchers.
func (g *Gossip[T]) watchLoop(ctx context.Context) {
	var after uint64
	for {
		if !g.watches() {
			if !g.sleep(ctx, g.jitter(g.options.WatchRetryInterval)) {
				return
			}
			continue
		}
		g.reads.Add(1)
		entries, revision, err := g.source.Store.Watch(ctx, g.source.Prefix, after, g.options.WatchTimeout)
		if err != nil {
			if !g.sleep(ctx, g.jitter(g.options.WatchRetryInterval)) {
				return
			}
			// Whatever was missed is read again.
			after = 0
			continue
		}
		g.read(entries)
		after = max(after, revision)
	}
}

func (g *Gossip[T]) read(entries []keeper.Entry) {
	for _, entry := range entries {
		document, err := g.source.Parse(entry)
		if err != nil {
			g.report(err)
			continue
		}
		g.take([]Document{document})
	}
}

// watches reports whether this daemon is among the first of its region in an
// order that all daemons of the region agree on, passing over silent ones.
func (g *Gossip[T]) watches() bool {
	own := rank(g.peers.Self)
	ahead := 0
	for _, peer := range g.peers.SameRegion() {
		if peer != g.peers.Self && rank(peer) < own && !g.isSilent(peer) {
			ahead++
		}
	}
	return ahead < g.options.WatchersPerRegion
}

func (g *Gossip[T]) isSilent(peer string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, silent := g.silent[peer]
	return silent
}

func rank(address string) uint64 { return xxh3.HashString(address) }
