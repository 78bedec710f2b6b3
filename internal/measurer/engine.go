package measurer

import (
	"container/list"
	"time"

	"github.com/cyclamenward/cyclamenward/chainer"
)

// lru is a cache of blocks that evicts the least recently used one.
type lru struct {
	maxBlocks int
	blocks    map[chainer.Hash]*list.Element
	// byRecency lists the blocks, the most recently used first.
	byRecency *list.List
}

func newLRU(maxBlocks int) *lru {
	return &lru{maxBlocks: maxBlocks, blocks: make(map[chainer.Hash]*list.Element), byRecency: list.New()}
}

// cachedPrefix returns how many leading blocks of the chain are cached.
func (c *lru) cachedPrefix(chain []chainer.Hash) int {
	for i, block := range chain {
		if _, ok := c.blocks[block]; !ok {
			return i
		}
	}
	return len(chain)
}

// store marks the blocks of a chain as used, adds the missing ones and evicts down
// to maxBlocks.
func (c *lru) store(chain []chainer.Hash) {
	// The last block is marked first, so that a prefix is evicted after the blocks
	// that follow it.
	for i := len(chain) - 1; i >= 0; i-- {
		if element, ok := c.blocks[chain[i]]; ok {
			c.byRecency.MoveToFront(element)
			continue
		}
		c.blocks[chain[i]] = c.byRecency.PushFront(chain[i])
	}
	for c.byRecency.Len() > c.maxBlocks {
		oldest := c.byRecency.Back()
		delete(c.blocks, c.byRecency.Remove(oldest).(chainer.Hash))
	}
}

// prefillOverhead is the part of a prefill's time that does not depend on its length.
const prefillOverhead = 5 * time.Millisecond

// engine simulates one replica and its sidecar: a queue in front of an engine that
// prefills one request at a time.
type engine struct {
	index           int
	region          int
	zone            string
	tokensPerSecond float64
	incarnation     int
	cache           *lru
	queue           []*request
	prefilling      *request
	// backlog is the number of tokens that are to be prefilled before a new request,
	// by the sidecar's estimate from its cache index.
	backlog int
	// pendingBlocks counts, for each block, the queued and running requests whose
	// prefill will put it into the cache.
	pendingBlocks map[chainer.Hash]int
	// indexUnknownShare is the share of decisions that the sidecar makes without its
	// cache index.
	indexUnknownShare float64
}

// estimateTokens returns the sidecar's estimate of the tokens that must be prefilled
// for a request. known is false if the sidecar has no complete cache index. That is
// simulated when random, a number from 0 to 1, is below indexUnknownShare.
func (e *engine) estimateTokens(r *request, random float64) (tokens int, known bool) {
	depth := 0
	known = random >= e.indexUnknownShare
	if known {
		depth = e.cache.cachedPrefix(r.arrival.chain)
	}
	for depth < len(r.arrival.chain) && e.pendingBlocks[r.arrival.chain[depth]] > 0 {
		depth++
	}
	return r.arrival.tokens - depth*chainer.BlockTokens, known
}

// expectedWait returns the sidecar's estimate of the time to the first token of a
// request with the given number of uncached tokens.
func (e *engine) expectedWait(tokens int) time.Duration {
	return time.Duration(float64(e.backlog+tokens) / e.tokensPerSecond * float64(time.Second))
}

// enqueue appends a request. estimate is the sidecar's estimate of its uncached tokens.
func (e *engine) enqueue(r *request, estimate int) {
	r.estimatedTokens = estimate
	e.backlog += estimate
	for _, block := range r.arrival.chain {
		e.pendingBlocks[block]++
	}
	e.queue = append(e.queue, r)
}

// startPrefill begins the next prefill and returns the request and the duration. The
// request is nil if a prefill is running or the queue is empty.
func (e *engine) startPrefill() (*request, time.Duration) {
	if e.prefilling != nil || len(e.queue) == 0 {
		return nil, 0
	}
	r := e.queue[0]
	e.queue = e.queue[1:]
	e.prefilling = r
	r.cachedBlocks = e.cache.cachedPrefix(r.arrival.chain)
	// Marks the blocks in use as recent, so that they are not evicted before the end
	// of the prefill.
	e.cache.store(r.arrival.chain[:r.cachedBlocks])
	uncached := r.arrival.tokens - r.cachedBlocks*chainer.BlockTokens
	return r, prefillOverhead + time.Duration(float64(uncached)/e.tokensPerSecond*float64(time.Second))
}

// finishPrefill ends the running prefill and puts the request's blocks into the cache.
func (e *engine) finishPrefill() {
	r := e.prefilling
	e.prefilling = nil
	e.backlog -= r.estimatedTokens
	for _, block := range r.arrival.chain {
		if e.pendingBlocks[block]--; e.pendingBlocks[block] <= 0 {
			delete(e.pendingBlocks, block)
		}
	}
	e.cache.store(r.arrival.chain)
}

// crash begins a new incarnation with an empty cache and queue, and returns the
// requests that were lost.
func (e *engine) crash() []*request {
	lost := e.queue
	if e.prefilling != nil {
		lost = append([]*request{e.prefilling}, lost...)
	}
	e.incarnation++
	e.cache = newLRU(e.cache.maxBlocks)
	e.queue, e.prefilling, e.backlog = nil, nil, 0
	e.pendingBlocks = make(map[chainer.Hash]int)
	return lost
}
