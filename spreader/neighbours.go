package spreader

import (
	"context"
	"slices"
	"sync"
)

// exchangeLoop exchanges with the neighbours in turn, one in each interval. After a
// failure it exchanges with all neighbours at once, because this daemon may be one
// that no peer notifies. In each interval it also retries one unreachable peer, so
// that regions that were partitioned reconnect soon after the partition ends.
func (g *Gossip[T]) exchangeLoop(ctx context.Context) {
	for {
		if peer := g.randomUnreachable(); peer != "" {
			g.start(func() { _ = g.Exchange(ctx, peer) })
		}
		if peer := g.nextNeighbour(); peer != "" {
			if err := g.Exchange(ctx, peer); err != nil && ctx.Err() == nil {
				g.reportError(err)
				g.push(ctx)
			}
		}
		if !g.sleep(ctx, g.jitter(g.options.ExchangeInterval)) {
			return
		}
	}
}

// pushLoop exchanges with all neighbours whenever the table has changed.
func (g *Gossip[T]) pushLoop(ctx context.Context) {
	sentDigest := g.table.Snapshot().Digest()
	for {
		changed := g.table.Changed()
		if currentDigest := g.table.Snapshot().Digest(); currentDigest != sentDigest {
			sentDigest = currentDigest
			g.push(ctx)
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// push exchanges with all neighbours at the same time and waits for the results.
func (g *Gossip[T]) push(ctx context.Context) { g.exchangeAll(ctx, g.currentNeighbours(), "") }

// exchangeAll exchanges with the peers at the same time and waits for the results. watcher is the Watcher of the first
// messages.
func (g *Gossip[T]) exchangeAll(ctx context.Context, peers []string, watcher string) {
	var group sync.WaitGroup
	for _, peer := range peers {
		group.Add(1)
		go func() {
			defer group.Done()
			if err := g.exchange(ctx, peer, watcher); err != nil && ctx.Err() == nil {
				g.reportError(err)
			}
		}()
	}
	group.Wait()
}

// currentNeighbours returns the neighbours. It first drops those that no longer take
// part in the gossip, or all of them if RotationInterval has passed, and adds random
// peers until there are enough.
func (g *Gossip[T]) currentNeighbours() []string {
	all := g.peers.All()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now := g.clock.Now(); now.Sub(g.neighboursChosenAt) >= g.options.RotationInterval {
		g.neighbours, g.neighboursChosenAt = nil, now
	}
	g.neighbours = slices.DeleteFunc(g.neighbours, func(n string) bool { return !slices.Contains(all, n) })
	// The tries are bounded because there may be too few peers to choose from.
	for tries := 0; len(g.neighbours) < g.options.Neighbours && tries < 4*g.options.Neighbours && len(all) > 0; tries++ {
		peer := all[g.random()%uint64(len(all))]
		if peer != g.peers.Self && !slices.Contains(g.neighbours, peer) {
			g.neighbours = append(g.neighbours, peer)
		}
	}
	return slices.Clone(g.neighbours)
}

// nextNeighbour returns the next neighbour in turn, or "" if there is none.
func (g *Gossip[T]) nextNeighbour() string {
	neighbours := g.currentNeighbours()
	if len(neighbours) == 0 {
		return ""
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.neighbourTurn++
	return neighbours[g.neighbourTurn%len(neighbours)]
}

// randomUnreachable returns a random unreachable peer, or "" if there is none. It
// forgets unreachable peers that no longer take part in the gossip.
func (g *Gossip[T]) randomUnreachable() string {
	all := g.peers.All()
	g.mu.Lock()
	defer g.mu.Unlock()
	var unreachable []string
	for peer := range g.unreachable {
		if slices.Contains(all, peer) {
			unreachable = append(unreachable, peer)
		} else {
			delete(g.unreachable, peer)
		}
	}
	if len(unreachable) == 0 {
		return ""
	}
	slices.Sort(unreachable)
	return unreachable[g.random()%uint64(len(unreachable))]
}
