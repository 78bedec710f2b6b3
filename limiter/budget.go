package limiter

import "sync"

// Budget is a retry budget in the manner of a token bucket: each request adds a share
// of a retry, so that a fault cannot multiply the load. It is safe for concurrent use.
type Budget struct {
	// ratio is the number of retries that a request adds, in general a fraction.
	ratio float64
	// maxAvailable bounds the retries that accumulate while there are no faults.
	maxAvailable float64

	// mu guards available.
	mu sync.Mutex
	// available is the number of retries left, from 0 to maxAvailable.
	available float64
}

// NewBudget returns a budget that adds ratio retries per request, up to maxAvailable,
// and starts with maxAvailable.
func NewBudget(ratio, maxAvailable float64) *Budget {
	return &Budget{ratio: ratio, maxAvailable: maxAvailable, available: maxAvailable}
}

// Earn adds the share of a retry for one request. Call it for the first attempt only.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.maxAvailable, b.available+b.ratio)
}

// Spend takes one retry from the budget and reports whether one was available.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// InFlight counts and bounds the requests in flight under each name, for example of a
// workspace. It is safe for concurrent use.
type InFlight struct {
	// mu guards counts.
	mu sync.Mutex
	// counts holds the number of requests of each name that has any.
	counts map[string]int
}

// NewInFlight returns an InFlight without requests.
func NewInFlight() *InFlight { return &InFlight{counts: make(map[string]int)} }

// Enter counts one more request under the name and returns true. If limit requests are
// counted already, it counts none and returns false; limit 0 means no limit.
func (f *InFlight) Enter(name string, limit int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if limit > 0 && f.counts[name] >= limit {
		return false
	}
	f.counts[name]++
	return true
}

// Leave ends one request that Enter counted.
func (f *InFlight) Leave(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts[name]--; f.counts[name] <= 0 {
		delete(f.counts, name)
	}
}
