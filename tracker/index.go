// Package tracker keeps an index of what one engine has cached.
//
// An index belongs to one incarnation of the engine and is dropped whole when
// the incarnation changes. Cache events carry sequence numbers; when one is
// missing, the index says "unknown" about every block until the engine's cache
// has been listed again. It never says "cached" on the strength of an event
// that may have been revoked.
package tracker

import (
	"sync"

	"github.com/cyclamenward/cyclamenward/chainer"
)

// Event tells that a block was stored or removed.
type Event struct {
	// Sequence counts the events of one incarnation without gaps, from 1.
	Sequence uint64
	Removed  bool
	Block    chainer.Hash
}

// Index is what is known about one engine's cache. It is safe for concurrent use.
type Index struct {
	// limit bounds the number of blocks held.
	limit int

	// mu guards the fields below.
	mu sync.RWMutex
	// incarnation is the engine that the blocks belong to.
	incarnation string
	// sequence is the last event applied.
	sequence uint64
	// known is false while events may be missing.
	known  bool
	blocks map[chainer.Hash]struct{}
}

// New returns an index that knows nothing. limit bounds the blocks held.
func New(limit int) *Index {
	return &Index{limit: limit, blocks: make(map[chainer.Hash]struct{})}
}

// Position returns the incarnation and the last event applied, and whether the
// cache must be listed again.
func (p *Index) Position() (incarnation string, sequence uint64, stale bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.incarnation, p.sequence, !p.known
}

// Incarnation returns the engine that the index belongs to.
func (p *Index) Incarnation() string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.incarnation
}

// Len returns the number of blocks held.
func (p *Index) Len() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return len(p.blocks)
}

// SetIncarnation drops everything if the incarnation differs from the one held.
func (p *Index) SetIncarnation(incarnation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if incarnation == p.incarnation {
		return
	}
	p.incarnation = incarnation
	p.sequence = 0
	p.known = false
	p.blocks = make(map[chainer.Hash]struct{})
}

// Apply takes a batch of events. Repeated events are passed over; a missing one
// makes the index unknown.
func (p *Index) Apply(incarnation string, events []Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if incarnation != p.incarnation || !p.known {
		return
	}
	for _, event := range events {
		if event.Sequence <= p.sequence {
			continue
		}
		if event.Sequence != p.sequence+1 {
			p.known = false
			return
		}
		p.sequence = event.Sequence
		p.set(event)
	}
}

// set applies one event. The caller holds mu.
func (p *Index) set(event Event) {
	if event.Removed {
		delete(p.blocks, event.Block)
		return
	}
	if len(p.blocks) < p.limit {
		p.blocks[event.Block] = struct{}{}
	}
}

// Replace takes a whole list of the cache as of the given event.
func (p *Index) Replace(incarnation string, sequence uint64, blocks []chainer.Hash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if incarnation != p.incarnation || sequence < p.sequence {
		return
	}
	p.blocks = make(map[chainer.Hash]struct{}, len(blocks))
	for _, block := range blocks[:min(len(blocks), p.limit)] {
		p.blocks[block] = struct{}{}
	}
	p.sequence = sequence
	p.known = true
}

// Depth returns how many leading blocks of the chain are cached by the given
// incarnation. known is false if that is not certain; depth is then 0.
func (p *Index) Depth(incarnation string, chain []chainer.Hash) (depth int, known bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if incarnation != p.incarnation || !p.known {
		return 0, false
	}
	for _, block := range chain {
		if _, ok := p.blocks[block]; !ok {
			break
		}
		depth++
	}
	return depth, true
}
