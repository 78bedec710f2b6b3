package reserver

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
)

// Budget is the memory that the bodies of requests and the answers of all connections share. Those
// that find no room wait, the most urgent first. It is safe for concurrent use.
//
// Answers go before all bodies, since their requests have run.
type Budget struct {
	limit, maxBodies int
	clock            timekeeper.Clock

	// mu guards the fields below.
	mu sync.Mutex
	// reserved is the number of bytes reserved, bodies that for bodies, at most maxBodies. Only
	// TakeAnswer lets reserved pass the limit.
	reserved, bodies int
	// waiting holds those that wait for room, the most urgent first, and the equally urgent in the
	// order of their arrival.
	waiting []*waiter
}

// claim is what is asked of a budget.
type claim struct {
	bytes int
	body  bool
	// priority is that of the request, lower values first.
	priority int
}

// compareUrgency orders claims, the most urgent first.
func compareUrgency(a, b claim) int {
	if a.body != b.body {
		if b.body {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.priority, b.priority)
}

// waiter is a claim that waits for room. granted is closed once it has it.
type waiter struct {
	claim
	granted chan struct{}
}

// NewBudget returns a budget of limit bytes, of which bodies may take maxBodies.
func NewBudget(limit, maxBodies int, clock timekeeper.Clock) *Budget {
	return &Budget{limit: limit, maxBodies: min(limit, maxBodies), clock: clock}
}

// Reserved returns the number of bytes reserved.
func (b *Budget) Reserved() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserved
}

// ReserveAnswer reserves bytes for the answer to a request of a priority, lower values first. It
// waits for room until the deadline or until ctx ends, and reports whether there was any.
func (b *Budget) ReserveAnswer(ctx context.Context, bytes, priority int, deadline time.Time) bool {
	return b.reserve(ctx, claim{bytes: bytes, priority: priority}, deadline.Sub(b.clock.Now()))
}

// TakeAnswer takes bytes for an answer that is in memory already. Others wait until there is room
// again.
func (b *Budget) TakeAnswer(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved += bytes
}

// ReleaseAnswer releases bytes of an answer.
func (b *Budget) ReleaseAnswer(bytes int) { b.release(claim{bytes: bytes}) }

// reserve reserves what is claimed, within a time and before ctx ends. It reports whether there was
// room.
func (b *Budget) reserve(ctx context.Context, c claim, timeout time.Duration) bool {
	if c.bytes > b.limit || c.body && c.bytes > b.maxBodies {
		return false
	}
	b.mu.Lock()
	place := slices.IndexFunc(b.waiting, func(w *waiter) bool { return compareUrgency(c, w.claim) < 0 })
	if place < 0 {
		place = len(b.waiting)
	}
	if place == 0 && b.fits(c) {
		b.take(c)
		b.mu.Unlock()
		return true
	}
	if timeout <= 0 {
		b.mu.Unlock()
		return false
	}
	w := &waiter{claim: c, granted: make(chan struct{})}
	b.waiting = slices.Insert(b.waiting, place, w)
	b.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-b.clock.After(timeout):
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.waiting, w)
	if i < 0 {
		return true
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	b.grant()
	return false
}

// fits reports whether there is room for a claim. The caller holds mu.
func (b *Budget) fits(c claim) bool {
	return b.reserved+c.bytes <= b.limit && (!c.body || b.bodies+c.bytes <= b.maxBodies)
}

// take adds a claim. The caller holds mu.
func (b *Budget) take(c claim) {
	b.reserved += c.bytes
	if c.body {
		b.bodies += c.bytes
	}
}

// release gives back what was claimed and lets others have it.
func (b *Budget) release(c claim) {
	if c.bytes == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c.bytes = -c.bytes
	b.take(c)
	b.grant()
}

// grant gives room to those that wait, until there is none for the most urgent. A smaller claim
// that is less urgent waits as well, so that large ones find room. The caller holds mu.
func (b *Budget) grant() {
	for len(b.waiting) > 0 && b.fits(b.waiting[0].claim) {
		w := b.waiting[0]
		b.waiting = slices.Delete(b.waiting, 0, 1)
		b.take(w.claim)
		close(w.granted)
	}
}
