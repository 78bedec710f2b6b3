// Package limiter shares scarce capacity: a bounded fair queue in front of a
// backend server, a bound on a workspace's concurrent requests, and a budget
// that keeps retries a small part of all requests.
package limiter

import (
	"container/heap"
	"context"
	"fmt"
	"sync"

	"github.com/joomcode/errorx"
)

var faults = errorx.NewNamespace("limiter")

// ErrFull means that the queue takes no more; nothing was queued.
var ErrFull = faults.NewType("full").New("queue is full")

// Item describes one request that wants a slot.
type Item struct {
	// Workspace is whose share the request uses.
	Workspace string
	// Share is the weight of the workspace, at least 1.
	Share int
	// Cost is the expected work in tokens.
	Cost int
	// Priority orders requests before shares do; higher goes first.
	Priority int
}

// Queue gives out slots by start-time fair queueing: while the queue is never
// empty, each workspace gets work in proportion to its share, counted in cost.
type Queue struct {
	// limit is the number of requests that may wait.
	limit int

	// mu guards the fields below.
	mu sync.Mutex
	// slots is the number of requests that may hold a slot.
	slots   int
	running int
	waiting waitingHeap
	// virtual is the start tag of the request that got a slot last. It never
	// decreases.
	virtual float64
	// finish holds the last finish tag of each workspace. Tags below virtual
	// have no effect and are removed when the queue is empty.
	finish map[string]float64
	// arrivals numbers the requests, to keep equal tags in order of arrival.
	arrivals uint64
	// cost is the sum of the costs of waiting requests.
	cost int
}

// NewQueue returns a queue with the given numbers of slots and waiting places.
func NewQueue(slots, limit int) *Queue {
	return &Queue{slots: slots, limit: limit, finish: make(map[string]float64)}
}

// SetSlots changes the number of slots. Requests that hold one keep it.
func (q *Queue) SetSlots(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = slots
	q.fill()
}

// waiter is one request in the queue.
type waiter struct {
	item    Item
	start   float64
	arrival uint64
	// index is the position in the heap, -1 once the request has left it.
	index int
	ready chan struct{}
}

// Len returns the number of waiting and of running requests.
func (q *Queue) Len() (waiting, running int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting), q.running
}

// WaitingCost returns the work of all waiting requests.
func (q *Queue) WaitingCost() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.cost
}

// Acquire waits for a slot. The caller must call Release after a nil error.
func (q *Queue) Acquire(ctx context.Context, item Item) error {
	q.mu.Lock()
	w := q.tag(item)
	if q.running < q.slots && len(q.waiting) == 0 {
		q.grant(w)
		q.mu.Unlock()
		return nil
	}
	if len(q.waiting) >= q.limit {
		q.mu.Unlock()
		return ErrFull
	}
	heap.Push(&q.waiting, w)
	q.cost += item.Cost
	q.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
	}
	return q.leave(ctx, w)
}

// leave takes a request out of the queue whose caller stopped waiting.
func (q *Queue) leave(ctx context.Context, w *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index < 0 {
		q.release()
	} else {
		heap.Remove(&q.waiting, w.index)
		q.cost -= w.item.Cost
	}
	return fmt.Errorf("wait for a slot: %w", ctx.Err())
}

// Release gives a slot back.
func (q *Queue) Release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.release()
}

// release passes a slot on. The caller holds mu.
func (q *Queue) release() {
	q.running--
	q.fill()
	if len(q.waiting) == 0 && q.running == 0 {
		clear(q.finish)
	}
}

// fill gives free slots to waiting requests. The caller holds mu.
func (q *Queue) fill() {
	for len(q.waiting) > 0 && q.running < q.slots {
		w := heap.Pop(&q.waiting).(*waiter)
		q.cost -= w.item.Cost
		q.grant(w)
		close(w.ready)
	}
}

// tag makes a waiter with its start tag. The caller holds mu.
func (q *Queue) tag(item Item) *waiter {
	q.arrivals++
	return &waiter{
		item:    item,
		start:   max(q.virtual, q.finish[item.Workspace]),
		arrival: q.arrivals,
		index:   -1,
		ready:   make(chan struct{}),
	}
}

// grant gives the waiter a slot. The caller holds mu.
//
// Tags are assigned again here, since requests of the same workspace that
// arrived earlier may have left without using their share.
func (q *Queue) grant(w *waiter) {
	q.running++
	start := max(q.virtual, q.finish[w.item.Workspace])
	q.finish[w.item.Workspace] = start + float64(w.item.Cost)/float64(max(1, w.item.Share))
	q.virtual = max(q.virtual, w.start)
	q.retag(w.item.Workspace)
}

// retag moves the waiting requests of a workspace behind its last finish tag.
// The caller holds mu.
func (q *Queue) retag(workspace string) {
	for _, w := range q.waiting {
		if w.item.Workspace == workspace {
			w.start = max(w.start, q.finish[workspace])
		}
	}
	heap.Init(&q.waiting)
}

// waitingHeap orders by priority, then start tag, then arrival.
type waitingHeap []*waiter

func (h waitingHeap) Len() int { return len(h) }

func (h waitingHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.item.Priority != b.item.Priority {
		return a.item.Priority > b.item.Priority
	}
	if a.start != b.start {
		return a.start < b.start
	}
	return a.arrival < b.arrival
}

func (h waitingHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waitingHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waitingHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
