package measurer

import (
	"container/list"
	"time"

	"github.com/cyclamenward/cyclamenward/chainer"
)

// lru is a cache of blocks that forgets the least recently used.
type lru struct {
	limit  int
	blocks map[chainer.Hash]*list.Element
	recent *list.List
}

func newLRU(limit int) *lru {
	return &lru{limit: limit, blocks: make(map[chainer.Hash]*list.Element), recent: list.New()}
}

// depth returns how many leading blocks of the chain are cached.
func (c *lru) depth(chain []chainer.Hash) int {
	for i, block := range chain {
		if _, ok := c.blocks[block]; !ok {
			return i
		}
	}
	return len(chain)
}

func (c *lru) store(chain []chainer.Hash) {
	// The deepest blocks go first, so that a prefix outlives what hangs on it.
	for i := len(chain) - 1; i >= 0; i-- {
		if element, ok := c.blocks[chain[i]]; ok {
			c.recent.MoveToFront(element)
			continue
		}
		c.blocks[chain[i]] = c.recent.PushFront(chain[i])
	}
	for c.recent.Len() > c.limit {
		last := c.recent.Back()
		delete(c.blocks, c.recent.Remove(last).(chainer.Hash))
	}
}

// overhead is the fixed time of one prefill.
const overhead = 5 * time.Millisecond

// engine is one replica with its sidecar: a queue before a serial prefill.
type engine struct {
	index       int
	region      int
	zone        string
	rate        float64
	incarnation int
	cache       *lru
	queue       []*request
	current     *request
	// backlog is the sidecar's estimate of the prefill work in front of a new
	// request, from its cache index.
	backlog int
	// pending counts queued requests that will have computed a block.
	pending map[chainer.Hash]int
	// blind is the share of times at which the sidecar's cache index is unknown.
	blind float64
}

// estimate is the sidecar's estimate of the tokens that a request will compute.
// known is false if its cache index has a gap.
func (e *engine) estimate(r *request, chance float64) (tokens int, known bool) {
	depth := 0
	known = chance >= e.blind
	if known {
		depth = e.cache.depth(r.arrival.chain)
	}
	for depth < len(r.arrival.chain) && e.pending[r.arrival.chain[depth]] > 0 {
		depth++
	}
	return r.arrival.tokens - depth*chainer.BlockTokens, known
}

// wait is the sidecar's estimate of the time to the first token.
func (e *engine) wait(tokens int) time.Duration {
	return time.Duration(float64(e.backlog+tokens) / e.rate * float64(time.Second))
}

func (e *engine) push(r *request, estimate int) {
	r.estimate = estimate
	e.backlog += estimate
	for _, block := range r.arrival.chain {
		e.pending[block]++
	}
	e.queue = append(e.queue, r)
}

// start begins the next prefill and returns the request and its time, or nil.
func (e *engine) start() (*request, time.Duration) {
	if e.current != nil || len(e.queue) == 0 {
		return nil, 0
	}
	r := e.queue[0]
	e.queue = e.queue[1:]
	e.current = r
	r.cached = e.cache.depth(r.arrival.chain)
	// The blocks in use must not be evicted before the end of the prefill.
	e.cache.store(r.arrival.chain[:r.cached])
	missing := r.arrival.tokens - r.cached*chainer.BlockTokens
	return r, overhead + time.Duration(float64(missing)/e.rate*float64(time.Second))
}

// finish ends the current prefill.
func (e *engine) finish() {
	r := e.current
	e.current = nil
	e.backlog -= r.estimate
	for _, block := range r.arrival.chain {
		if e.pending[block]--; e.pending[block] <= 0 {
			delete(e.pending, block)
		}
	}
	e.cache.store(r.arrival.chain)
}

// crash empties the engine and returns the requests that it loses.
func (e *engine) crash() []*request {
	lost := e.queue
	if e.current != nil {
		lost = append([]*request{e.current}, lost...)
	}
	e.incarnation++
	e.cache = newLRU(e.cache.limit)
	e.queue, e.current, e.backlog = nil, nil, 0
	e.pending = make(map[chainer.Hash]int)
	return lost
}
