package chooser

import (
	"sync"

	"github.com/cyclamenward/cyclamenward/chainer"
)

const (
	// shardCount is the number of independently locked shards of a HolderIndex.
	shardCount = 64
	// holdersPerBlock is how many replicas are remembered for one block.
	holdersPerBlock = 4
)

// holder is one replica that had a block.
type holder struct {
	// status identifies the replica, also across pools. It is nil in unused
	// elements of holders.
	status *Status
	// incarnation is that of the engine that had the block.
	incarnation string
}

// holders are the replicas remembered for one block, newest first.
type holders [holdersPerBlock]holder

// HolderIndex records which replicas had which blocks cached when they last
// answered. Its size is bounded: each shard keeps two generations of blocks; when
// the newer one is full, it replaces the older one, and a new one begins.
type HolderIndex struct {
	shards [shardCount]holderShard
	// maxPerGeneration bounds the blocks of one generation of one shard.
	maxPerGeneration int
}

// holderShard holds the blocks whose hashes fall into one shard.
type holderShard struct {
	// mu guards the fields below.
	mu           sync.RWMutex
	newer, older map[chainer.Hash]holders
}

// NewHolderIndex returns an empty index for about the given number of blocks.
func NewHolderIndex(capacity int) *HolderIndex {
	x := &HolderIndex{maxPerGeneration: max(1, capacity/shardCount/2)}
	for i := range x.shards {
		x.shards[i].newer = make(map[chainer.Hash]holders)
	}
	return x
}

// Len returns the number of blocks held. A block in both generations counts twice.
func (x *HolderIndex) Len() int {
	total := 0
	for i := range x.shards {
		shard := &x.shards[i]
		shard.mu.RLock()
		total += len(shard.newer) + len(shard.older)
		shard.mu.RUnlock()
	}
	return total
}

// Record records that the replica's engine has the first depth blocks of the chain
// cached, and removes the replica from the holders of the later blocks.
func (x *HolderIndex) Record(status *Status, incarnation string, chain []chainer.Hash, depth int) {
	for i, block := range chain {
		shard := x.shard(block)
		shard.mu.Lock()
		blockHolders, ok := shard.get(block)
		if i < depth {
			shard.put(block, blockHolders.with(holder{status, incarnation}), x.maxPerGeneration)
		} else if ok {
			shard.put(block, blockHolders.without(status), x.maxPerGeneration)
		}
		shard.mu.Unlock()
	}
}

// holders returns the holders recorded for a block, or false if it is not held.
func (x *HolderIndex) holders(block chainer.Hash) (holders, bool) {
	shard := x.shard(block)
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	return shard.get(block)
}

func (x *HolderIndex) shard(block chainer.Hash) *holderShard {
	return &x.shards[block[15]%shardCount]
}

// get returns the holders of a block from either generation. The caller holds mu.
func (s *holderShard) get(block chainer.Hash) (holders, bool) {
	if blockHolders, ok := s.newer[block]; ok {
		return blockHolders, true
	}
	blockHolders, ok := s.older[block]
	return blockHolders, ok
}

// put stores the holders of a block in the newer generation. If that already has
// maxBlocks blocks, it first becomes the older one. The caller holds mu.
func (s *holderShard) put(block chainer.Hash, blockHolders holders, maxBlocks int) {
	if len(s.newer) >= maxBlocks {
		s.older = s.newer
		s.newer = make(map[chainer.Hash]holders, maxBlocks)
	}
	s.newer[block] = blockHolders
}

// with returns a copy with the holder first, in place of an earlier record of the
// same replica. If there are too many holders, the oldest is dropped.
func (h holders) with(added holder) holders {
	result := holders{added}
	n := 1
	for _, old := range h {
		if old.status != nil && old.status != added.status && n < holdersPerBlock {
			result[n] = old
			n++
		}
	}
	return result
}

// without returns a copy without the replica.
func (h holders) without(status *Status) holders {
	var result holders
	n := 0
	for _, old := range h {
		if old.status != nil && old.status != status {
			result[n] = old
			n++
		}
	}
	return result
}
