package spreader

import (
	"context"
	"slices"
	"sync"
)

// exchangeLoop keeps this daemon and its neighbours equal. After a failure it
// turns to all neighbours at once, since it may be the one that nobody tells. It
// also tries one peer again that was not reached, so that regions that were partitioned
// find each other as soon as they can.
func (g *Gossip[T]) exchangeLoop(ctx context.Context) {
	for {
		if peer := g.nextSilent(); peer != "" {
			g.start(func() { _ = g.Exchange(ctx, peer) })
		}
		if peer := g.nextNeighbour(); peer != "" {
			if err := g.Exchange(ctx, peer); err != nil && ctx.Err() == nil {
				g.report(err)
				g.push(ctx)
			}
		}
		if !g.sleep(ctx, g.jitter(g.options.ExchangeInterval)) {
			return
		}
	}
}

// pushLoop tells the neighbours at once about what is new.
func (g *Gossip[T]) pushLoop(ctx context.Context) {
	sent := g.book.Snapshot().Digest()
	for {
		changed := g.book.Changed()
		if now := g.book.Snapshot().Digest(); now != sent {
			sent = now
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

func (g *Gossip[T]) push(ctx context.Context) {
	var group sync.WaitGroup
	for _, peer := range g.current() {
		group.Add(1)
		go func() {
			defer group.Done()
			if err := g.Exchange(ctx, peer); err != nil && ctx.Err() == nil {
				g.report(err)
			}
		}()
	}
	group.Wait()
}

// current returns the neighbours, after choosing others if it is time to, and
// random ones for those that were lost.
func (g *Gossip[T]) current() []string {
	all := g.peers.All()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now := g.clock.Now(); now.Sub(g.chosen) >= g.options.RotationInterval {
		g.neighbours, g.chosen = nil, now
	}
	g.neighbours = slices.DeleteFunc(g.neighbours, func(n string) bool { return !slices.Contains(all, n) })
	for tries := 0; len(g.neighbours) < g.options.Neighbours && tries < 4*g.options.Neighbours && len(all) > 0; tries++ {
		peer := all[g.random()%uint64(len(all))]
		if peer != g.peers.Self && !slices.Contains(g.neighbours, peer) {
			g.neighbours = append(g.neighbours, peer)
		}
	}
	return slices.Clone(g.neighbours)
}

// nextNeighbour returns the neighbours in turn, or "" if there are none.
func (g *Gossip[T]) nextNeighbour() string {
	neighbours := g.current()
	if len(neighbours) == 0 {
		return ""
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.turn++
	return neighbours[g.turn%len(neighbours)]
}

// nextSilent returns a random peer that was not reached lately, or "" if there is
// none.
func (g *Gossip[T]) nextSilent() string {
	all := g.peers.All()
	g.mu.Lock()
	defer g.mu.Unlock()
	var silent []string
	for peer := range g.silent {
		if slices.Contains(all, peer) {
			silent = append(silent, peer)
		} else {
			delete(g.silent, peer)
		}
	}
	if len(silent) == 0 {
		return ""
	}
	slices.Sort(silent)
	return silent[g.random()%uint64(len(silent))]
}
