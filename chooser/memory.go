package chooser

import (
	"sync"

	"github.com/cyclamenward/cyclamenward/chainer"
)

const (
	// memoryShards is the number of independently locked parts of a Memory.
	memoryShards = 64
	// holdersPerBlock is how many replicas are remembered for one block.
	holdersPerBlock = 4
)

// holder is one replica that had a block.
type holder struct {
	// replica is the status of the replica, which identifies it across pools.
	replica *Status
	// incarnation is the engine that had the block.
	incarnation string
}

// holders is what is remembered of one block, newest first.
type holders [holdersPerBlock]holder

// HolderIndex remembers which replicas answered for which blocks. It is bounded: each
// part keeps two generations and drops the older one when the newer is full.
type HolderIndex struct {
	shards [memoryShards]memoryShard
	// perGeneration bounds the blocks of one generation of one shard.
	perGeneration int
}

type memoryShard struct {
	// mu guards the fields below.
	mu           sync.RWMutex
	newer, older map[chainer.Hash]holders
}

// NewHolderIndex returns a memory for about the given number of blocks.
func NewHolderIndex(blocks int) *HolderIndex {
	m := &HolderIndex{perGeneration: max(1, blocks/memoryShards/2)}
	for i := range m.shards {
		m.shards[i].newer = make(map[chainer.Hash]holders)
	}
	return m
}

// Len returns the number of blocks remembered.
func (m *HolderIndex) Len() int {
	total := 0
	for i := range m.shards {
		shard := &m.shards[i]
		shard.mu.RLock()
		total += len(shard.newer) + len(shard.older)
		shard.mu.RUnlock()
	}
	return total
}

// Record records that the replica's engine has the first depth blocks of the chain
// and, if there are more, no longer the next one.
func (m *HolderIndex) Record(status *Status, incarnation string, chain []chainer.Hash, depth int) {
	for i, block := range chain {
		shard := m.shard(block)
		shard.mu.Lock()
		known, ok := shard.get(block)
		if i < depth {
			shard.put(block, known.with(holder{status, incarnation}), m.perGeneration)
		} else if ok {
			shard.put(block, known.without(status), m.perGeneration)
		}
		shard.mu.Unlock()
	}
}

// Holders returns what is remembered of a block.
func (m *HolderIndex) holders(block chainer.Hash) (holders, bool) {
	shard := m.shard(block)
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	return shard.get(block)
}

func (m *HolderIndex) shard(block chainer.Hash) *memoryShard {
	return &m.shards[block[15]%memoryShards]
}

// get looks a block up. The caller holds mu.
func (s *memoryShard) get(block chainer.Hash) (holders, bool) {
	if known, ok := s.newer[block]; ok {
		return known, true
	}
	known, ok := s.older[block]
	return known, ok
}

// put stores a block and turns the generations when needed. The caller holds mu.
func (s *memoryShard) put(block chainer.Hash, known holders, limit int) {
	if len(s.newer) >= limit {
		s.older = s.newer
		s.newer = make(map[chainer.Hash]holders, limit)
	}
	s.newer[block] = known
}

func (h holders) with(added holder) holders {
	result := holders{added}
	n := 1
	for _, old := range h {
		if old.replica != nil && old.replica != added.replica && n < holdersPerBlock {
			result[n] = old
			n++
		}
	}
	return result
}

func (h holders) without(status *Status) holders {
	var result holders
	n := 0
	for _, old := range h {
		if old.replica != nil && old.replica != status {
			result[n] = old
			n++
		}
	}
	return result
}
