package sidecar

import (
	"context"
	"fmt"
	"sync"

	"github.com/cyclamenward/cyclamenward/chainer"
)

// prefills keeps requests with the same uncached prefix from computing it
// twice: the first computes, the others wait for it and find the blocks cached.
type prefills struct {
	// mu guards the fields below.
	mu sync.Mutex
	// leaders holds, for each block being computed, the channel that is closed
	// when its request has its first token.
	leaders map[chainer.Hash]chan struct{}
	// backlog is the number of prompt tokens being computed.
	backlog int
}

func newPrefills() *prefills { return &prefills{leaders: make(map[chainer.Hash]chan struct{})} }

// tokens returns the number of prompt tokens being computed.
func (p *prefills) tokens() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backlog
}

// enter waits while another request computes the deepest block that the chain
// shares with it, and then registers this request's blocks. It returns the number
// of tokens that are left to compute, and a function that ends the registration
// and may be called more than once.
func (p *prefills) enter(ctx context.Context, chain []chainer.Hash, total, missing int) (int, func(), error) {
	for {
		leader, shared := p.leader(chain)
		if leader == nil {
			return missing, p.register(chain, missing), nil
		}
		select {
		case <-leader:
			missing = max(1, min(missing, total-shared*chainer.BlockTokens))
		case <-ctx.Done():
			return 0, nil, fmt.Errorf("wait for shared prefill: %w", ctx.Err())
		}
	}
}

// leader returns the request that computes the deepest shared block, and the
// number of blocks shared with it.
func (p *prefills) leader(chain []chainer.Hash) (leader chan struct{}, shared int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(chain) - 1; i >= 0; i-- {
		if leader := p.leaders[chain[i]]; leader != nil {
			return leader, i + 1
		}
	}
	return nil, 0
}

// register enters the last blocks of the chain as being computed. If another
// request entered some of them in the meantime, both compute them.
func (p *prefills) register(chain []chainer.Hash, missing int) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	computed := chain[max(0, len(chain)-(missing+chainer.BlockTokens-1)/chainer.BlockTokens):]
	own := make(chan struct{})
	for _, block := range computed {
		if p.leaders[block] == nil {
			p.leaders[block] = own
		}
	}
	p.backlog += missing
	var once sync.Once
	return func() { once.Do(func() { p.finish(computed, missing, own) }) }
}

func (p *prefills) finish(computed []chainer.Hash, missing int, own chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, block := range computed {
		if p.leaders[block] == own {
			delete(p.leaders, block)
		}
	}
	p.backlog -= missing
	close(own)
}
