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
	// recentlyComputedRetention is how long a computed block is assumed to be cached; by
	// then the engine's events must have reported it.
	recentlyComputedRetention = 2 * time.Second
	// maxRecentlyComputed bounds the blocks that are assumed to be cached.
	maxRecentlyComputed = 1 << 14
)

// prefillTracker keeps requests with the same uncached prefix from computing it
// twice: the first request, the leader, computes it, and the others wait and then find
// the blocks cached. Wrong entries cost time only; no guarantee to callers depends on
// them.
type prefillTracker struct {
	clock timekeeper.Clock

	// mu guards the fields below.
	mu sync.Mutex
	// leaders maps each block that is being computed to a channel that is closed when
	// the computing request gets its first token or ends.
	leaders map[chainer.Hash]chan struct{}
	// recentlyComputed maps blocks that the engine's events may not show yet to the times
	// when they were computed.
	recentlyComputed map[chainer.Hash]time.Time
	// backlogTokens is the number of prompt tokens being computed.
	backlogTokens int
}

func newPrefillTracker(clock timekeeper.Clock) *prefillTracker {
	return &prefillTracker{clock: clock, leaders: make(map[chainer.Hash]chan struct{}), recentlyComputed: make(map[chainer.Hash]time.Time)}
}

// backlog returns the number of prompt tokens being computed.
func (p *prefillTracker) backlog() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backlogTokens
}

// cachedBlocks returns the number of leading blocks of the chain that are cached: the
// known ones and those after them that were computed recently.
func (p *prefillTracker) cachedBlocks(chain []chainer.Hash, known int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.extendCached(chain, known)
}

// extendCached does the work of cachedBlocks. The caller holds mu.
func (p *prefillTracker) extendCached(chain []chainer.Hash, cached int) int {
	now := p.clock.Now()
	for cached < len(chain) {
		computedAt, ok := p.recentlyComputed[chain[cached]]
		if !ok || now.Sub(computedAt) > recentlyComputedRetention {
			break
		}
		cached++
	}
	return cached
}

// start waits while another request computes an uncached block of the chain, and then
// registers the blocks that this request computes. It returns the number of tokens to
// compute and a function that ends the registration. The function's argument says whether
// the blocks were computed; only the first call counts.
func (p *prefillTracker) start(ctx context.Context, chain []chainer.Hash, promptTokens, cached int) (int, func(computed bool), error) {
	for {
		uncachedTokens, leader, finish := p.tryStart(chain, promptTokens, cached)
		if leader == nil {
			return uncachedTokens, finish, nil
		}
		select {
		case <-leader:
		case <-ctx.Done():
			return 0, nil, fmt.Errorf("wait for shared prefill: %w", ctx.Err())
		}
	}
}

// tryStart returns the leader of the last uncached block of the chain that has one. If
// none has, it registers all uncached blocks as being computed by this request.
func (p *prefillTracker) tryStart(chain []chainer.Hash, promptTokens, cached int) (uncachedTokens int, leader chan struct{}, finish func(bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	uncached := chain[p.extendCached(chain, cached):]
	for i := len(uncached) - 1; i >= 0; i-- {
		if leader := p.leaders[uncached[i]]; leader != nil {
			return 0, leader, nil
		}
	}
	ended := make(chan struct{})
	for _, block := range uncached {
		p.leaders[block] = ended
	}
	uncachedTokens = max(1, promptTokens-(len(chain)-len(uncached))*chainer.BlockTokens)
	p.backlogTokens += uncachedTokens
	var once sync.Once
	return uncachedTokens, nil, func(computed bool) { once.Do(func() { p.finish(uncached, uncachedTokens, ended, computed) }) }
}

// finish removes the registration of the blocks and wakes the requests that wait for
// them.
func (p *prefillTracker) finish(blocks []chainer.Hash, tokens int, ended chan struct{}, computed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, block := range blocks {
		delete(p.leaders, block)
		if computed {
			p.recentlyComputed[block] = now
		}
	}
	p.evict(now)
	p.backlogTokens -= tokens
	close(ended)
}

// evict removes expired blocks from recentlyComputed if it exceeds maxRecentlyComputed,
// and all blocks if that is not enough. The caller holds mu.
func (p *prefillTracker) evict(now time.Time) {
	if len(p.recentlyComputed) <= maxRecentlyComputed {
		return
	}
	for block, computedAt := range p.recentlyComputed {
		if now.Sub(computedAt) > recentlyComputedRetention {
			delete(p.recentlyComputed, block)
		}
	}
	if len(p.recentlyComputed) > maxRecentlyComputed {
		clear(p.recentlyComputed)
	}
}

// forgetComputed clears the recently computed blocks, for an engine that has restarted
// and lost them.
func (p *prefillTracker) forgetComputed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.recentlyComputed)
}
