// Package modelengine is a stand-in for the platform's model engines. The faults that
// they are known to have can be switched on.
package modelengine

import (
	"container/list"

	"github.com/cyclamenward/cyclamenward/chainer"
	"github.com/cyclamenward/cyclamenward/peer/engine"
)

// maxCacheEvents bounds the cache events held for readers. When there are more, the older
// half of them is dropped.
const maxCacheEvents = 4096

// cache holds blocks, evicts the least recently used ones, and logs both as cache events.
// It is not safe for concurrent use.
type cache struct {
	maxBlocks int
	blocks    map[chainer.Hash]*list.Element
	// byRecency lists the blocks, the most recently used first.
	byRecency *list.List
	// events holds the newest events; their sequence numbers have no gaps. sequence is
	// the number of the last event.
	events   []engine.CacheEvent
	sequence uint64
}

func newCache(maxBlocks int) *cache {
	return &cache{maxBlocks: maxBlocks, blocks: map[chainer.Hash]*list.Element{}, byRecency: list.New()}
}

// cachedPrefix returns how many leading blocks of the chain are cached, and marks them as
// used.
func (c *cache) cachedPrefix(chain []chainer.Hash) int {
	for i, block := range chain {
		element, ok := c.blocks[block]
		if !ok {
			return i
		}
		c.byRecency.MoveToFront(element)
	}
	return len(chain)
}

// store marks the blocks of a chain as used, adds the missing ones and evicts down to
// maxBlocks.
func (c *cache) store(chain []chainer.Hash) {
	for _, block := range chain {
		if element, ok := c.blocks[block]; ok {
			c.byRecency.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.byRecency.PushFront(block)
		c.recordEvent(block, false)
	}
	for c.byRecency.Len() > c.maxBlocks {
		oldest := c.byRecency.Back()
		block := oldest.Value.(chainer.Hash)
		c.byRecency.Remove(oldest)
		delete(c.blocks, block)
		c.recordEvent(block, true)
	}
}

// recordEvent adds the event of a block that was stored or removed.
func (c *cache) recordEvent(block chainer.Hash, removed bool) {
	c.sequence++
	c.events = append(c.events, engine.CacheEvent{Sequence: c.sequence, Removed: removed, Block: block.String()})
	if len(c.events) > maxCacheEvents {
		c.events = append([]engine.CacheEvent(nil), c.events[len(c.events)-maxCacheEvents/2:]...)
	}
}

// blockNames returns the hashes of all cached blocks, in no order.
func (c *cache) blockNames() []string {
	names := make([]string, 0, len(c.blocks))
	for block := range c.blocks {
		names = append(names, block.String())
	}
	return names
}

// eventsAfter returns the events after a sequence number, or false if some of them are
// no longer held.
func (c *cache) eventsAfter(sequence uint64) ([]engine.CacheEvent, bool) {
	for i, event := range c.events {
		if event.Sequence > sequence {
			return c.events[i:], event.Sequence == sequence+1
		}
	}
	return nil, true
}
