package sidecar

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/chainer"
	"github.com/cyclamenward/cyclamenward/timekeeper"
)

const (
	// recentKeep is how long a computed block is taken for cached before the
	// engine's events must have reported it.
	recentKeep = 2 * time.Second
	// maxRecent bounds the blocks that are taken for cached.
	maxRecent = 1 << 14
)

// prefills keeps requests with the same uncached prefix from computing it
// twice: the first computes, the others wait for it and find the blocks cached.
// It guides work only; no promise to a caller rests on it.
type prefills struct {
	clock timekeeper.Clock

	// mu guards the fields below.
	mu sync.Mutex
	// leaders holds, for each block being computed, the channel that is closed
	// when its request has its first token or has ended.
	leaders map[chainer.Hash]chan struct{}
	// recent holds when blocks were computed that events may not show yet.
	recent map[chainer.Hash]time.Time
	// backlog is the number of prompt tokens being computed.
	backlog int
}

func newPrefills(clock timekeeper.Clock) *prefills {
	return &prefills{clock: clock, leaders: make(map[chainer.Hash]chan struct{}), recent: make(map[chainer.Hash]time.Time)}
}

// tokens returns the number of prompt tokens being computed.
func (p *prefills) tokens() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backlog
}

// depth extends a known depth by the blocks that were computed just now.
func (p *prefills) depth(chain []chainer.Hash, known int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.extend(chain, known)
}

// extend does the work of depth. The caller holds mu.
func (p *prefills) extend(chain []chainer.Hash, depth int) int {
	now := p.clock.Now()
	for depth < len(chain) {
		computed, ok := p.recent[chain[depth]]
		if !ok || now.Sub(computed) > recentKeep {
			break
		}
		depth++
	}
	return depth
}

// enter waits while another request computes a block of the chain that is not
// cached, and then registers the blocks that this request computes. It returns
// the number of tokens that are left to compute, and a function that ends the
// registration, receives whether the blocks were computed, and may be called more
// than once.
func (p *prefills) enter(ctx context.Context, chain []chainer.Hash, total, depth int) (int, func(computed bool), error) {
	for {
		missing, leader, done := p.register(chain, total, depth)
		if leader == nil {
			return missing, done, nil
		}
		select {
		case <-leader:
		case <-ctx.Done():
			return 0, nil, fmt.Errorf("wait for shared prefill: %w", ctx.Err())
		}
	}
}

// register returns the request that computes the deepest shared block, if there
// is one, and else enters the missing blocks as being computed.
func (p *prefills) register(chain []chainer.Hash, total, depth int) (missing int, leader chan struct{}, done func(bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	computed := chain[p.extend(chain, depth):]
	for i := len(computed) - 1; i >= 0; i-- {
		if leader := p.leaders[computed[i]]; leader != nil {
			return 0, leader, nil
		}
	}
	own := make(chan struct{})
	for _, block := range computed {
		p.leaders[block] = own
	}
	missing = max(1, total-(len(chain)-len(computed))*chainer.BlockTokens)
	p.backlog += missing
	var once sync.Once
	return missing, nil, func(success bool) { once.Do(func() { p.finish(computed, missing, own, success) }) }
}

func (p *prefills) finish(computed []chainer.Hash, missing int, own chan struct{}, success bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, block := range computed {
		delete(p.leaders, block)
		if success {
			p.recent[block] = now
		}
	}
	p.forget(now)
	p.backlog -= missing
	close(own)
}

// forget drops old blocks when there are many. The caller holds mu.
func (p *prefills) forget(now time.Time) {
	if len(p.recent) <= maxRecent {
		return
	}
	for block, computed := range p.recent {
		if now.Sub(computed) > recentKeep {
			delete(p.recent, block)
		}
	}
	if len(p.recent) > maxRecent {
		clear(p.recent)
	}
}

// reset forgets what was computed, when the engine has lost it.
func (p *prefills) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.recent)
}
