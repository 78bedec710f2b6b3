package limiter

import "sync"

// Budget allows retries as a share of requests, so that a fault cannot multiply
// the load. It is safe for concurrent use.
type Budget struct {
	// share is the number of retries earned by one request.
	share float64
	// ceiling bounds the retries saved up in quiet times.
	ceiling float64

	// mu guards saved.
	mu sync.Mutex
	// saved is between 0 and ceiling.
	saved float64
}

// NewBudget returns a budget that starts at its ceiling.
func NewBudget(share, ceiling float64) *Budget {
	return &Budget{share: share, ceiling: ceiling, saved: ceiling}
}

// Earn counts one first try.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.ceiling, b.saved+b.share)
}

// Spend takes one retry and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// InFlight bounds concurrent requests by name. It is safe for concurrent use.
type InFlight struct {
	// mu guards counts.
	mu sync.Mutex
	// counts holds the names with at least one request.
	counts map[string]int
}

// NewInFlight returns an empty count.
func NewInFlight() *InFlight { return &InFlight{counts: make(map[string]int)} }

// Enter counts one request unless limit are counted already; 0 means no limit.
func (f *InFlight) Enter(name string, limit int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if limit > 0 && f.counts[name] >= limit {
		return false
	}
	f.counts[name]++
	return true
}

// Leave ends one counted request.
func (f *InFlight) Leave(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts[name]--; f.counts[name] <= 0 {
		delete(f.counts, name)
	}
}
