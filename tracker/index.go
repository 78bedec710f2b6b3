// Package tracker keeps an index of the blocks that one engine has cached.
//
// An index belongs to one incarnation of the engine and is cleared when the
// incarnation changes. Cache events carry sequence numbers. If one is missing, the
// index reports every block as unknown until the engine's cache has been listed
// again, because the missing event may have removed a block that the index holds.
package tracker

import (
	"sync"

	"github.com/cyclamenward/cyclamenward/chainer"
)

// Event is one cache event of the engine: a block was stored or removed.
type Event struct {
	// Sequence counts the events of one incarnation without gaps, from 1.
	Sequence uint64
	// Removed is set if the block was removed, and not set if it was stored.
	Removed bool
	Block   chainer.Hash
}

// Index holds the hashes of the blocks that one engine has cached. It is safe for
// concurrent use.
type Index struct {
	// maxBlocks bounds the number of blocks held.
	maxBlocks int

	// mu guards the fields below.
	mu sync.RWMutex
	// incarnation is that of the engine whose cache is held.
	incarnation string
	// lastSequence is the sequence number of the last event applied.
	lastSequence uint64
	// complete is set if the cache was listed and no event has been missed since.
	complete bool
	blocks   map[chainer.Hash]struct{}
}

// New returns an empty index that holds at most maxBlocks blocks. Its blocks are
// unknown until the first call of Replace.
func New(maxBlocks int) *Index {
	return &Index{maxBlocks: maxBlocks, blocks: make(map[chainer.Hash]struct{})}
}

// Position returns the incarnation and the sequence number of the last event
// applied. stale reports whether the cache must be listed again.
func (x *Index) Position() (incarnation string, sequence uint64, stale bool) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.incarnation, x.lastSequence, !x.complete
}

// Incarnation returns the engine incarnation that the index belongs to.
func (x *Index) Incarnation() string {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.incarnation
}

// Len returns the number of blocks held.
func (x *Index) Len() int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return len(x.blocks)
}

// SetIncarnation clears the index if the incarnation differs from the present one.
func (x *Index) SetIncarnation(incarnation string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if incarnation == x.incarnation {
		return
	}
	x.incarnation = incarnation
	x.lastSequence = 0
	x.complete = false
	x.blocks = make(map[chainer.Hash]struct{})
}

// Apply applies a batch of events of the incarnation. Repeated events are skipped.
// If one is missing, all blocks become unknown until the next call of Replace.
func (x *Index) Apply(incarnation string, events []Event) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if incarnation != x.incarnation || !x.complete {
		return
	}
	for _, event := range events {
		if event.Sequence <= x.lastSequence {
			continue
		}
		if event.Sequence != x.lastSequence+1 {
			x.complete = false
			return
		}
		x.lastSequence = event.Sequence
		x.applyEvent(event)
	}
}

// applyEvent adds or removes the block of one event. A block above maxBlocks is not
// added. The caller holds mu.
func (x *Index) applyEvent(event Event) {
	if event.Removed {
		delete(x.blocks, event.Block)
		return
	}
	if len(x.blocks) < x.maxBlocks {
		x.blocks[event.Block] = struct{}{}
	}
}

// Replace replaces the blocks by a complete list of the cache as of the event with
// the given sequence number. A list of another incarnation, or older than the last
// event applied, is ignored.
func (x *Index) Replace(incarnation string, sequence uint64, blocks []chainer.Hash) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if incarnation != x.incarnation || sequence < x.lastSequence {
		return
	}
	x.blocks = make(map[chainer.Hash]struct{}, len(blocks))
	for _, block := range blocks[:min(len(blocks), x.maxBlocks)] {
		x.blocks[block] = struct{}{}
	}
	x.lastSequence = sequence
	x.complete = true
}

// Depth returns how many leading blocks of the chain the given incarnation has
// cached. known is false if the index belongs to another incarnation or may have
// missed events; depth is then 0.
func (x *Index) Depth(incarnation string, chain []chainer.Hash) (depth int, known bool) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	if incarnation != x.incarnation || !x.complete {
		return 0, false
	}
	for _, block := range chain {
		if _, ok := x.blocks[block]; !ok {
			break
		}
		depth++
	}
	return depth, true
}
