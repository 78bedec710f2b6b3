// Package modelengine is a stand-in for the platform's model engines, with the
// faults that they are known to have as switches.
package modelengine

import (
	"container/list"

	"github.com/cyclamenward/cyclamenward/chainer"
	"github.com/cyclamenward/cyclamenward/peer/engine"
)

// maxEvents bounds the cache events held for readers.
const maxEvents = 4096

// cache holds blocks and forgets the least recently used. It is not safe for
// concurrent use.
type cache struct {
	limit  int
	blocks map[chainer.Hash]*list.Element
	// recent lists the blocks, the most recently used first.
	recent *list.List
	// events holds the newest events; their sequence numbers have no gaps.
	events   []engine.CacheEvent
	sequence uint64
}

func newCache(limit int) *cache {
	return &cache{limit: limit, blocks: map[chainer.Hash]*list.Element{}, recent: list.New()}
}

// depth returns how many leading blocks are cached and marks them as used.
func (c *cache) depth(chain []chainer.Hash) int {
	for i, block := range chain {
		element, ok := c.blocks[block]
		if !ok {
			return i
		}
		c.recent.MoveToFront(element)
	}
	return len(chain)
}

func (c *cache) store(chain []chainer.Hash) {
	for _, block := range chain {
		if element, ok := c.blocks[block]; ok {
			c.recent.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.recent.PushFront(block)
		c.emit(block, false)
	}
	for c.recent.Len() > c.limit {
		last := c.recent.Back()
		block := last.Value.(chainer.Hash)
		c.recent.Remove(last)
		delete(c.blocks, block)
		c.emit(block, true)
	}
}

func (c *cache) emit(block chainer.Hash, removed bool) {
	c.sequence++
	c.events = append(c.events, engine.CacheEvent{Sequence: c.sequence, Removed: removed, Block: block.String()})
	if len(c.events) > maxEvents {
		c.events = append([]engine.CacheEvent(nil), c.events[len(c.events)-maxEvents/2:]...)
	}
}

func (c *cache) names() []string {
	names := make([]string, 0, len(c.blocks))
	for block := range c.blocks {
		names = append(names, block.String())
	}
	return names
}

// after returns the events behind a sequence number, or false if some of them
// are no longer held.
func (c *cache) after(sequence uint64) ([]engine.CacheEvent, bool) {
	for i, event := range c.events {
		if event.Sequence > sequence {
			return c.events[i:], event.Sequence == sequence+1
		}
	}
	return nil, true
}
