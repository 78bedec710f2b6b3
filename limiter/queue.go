// Package limiter limits load: a bounded fair queue in front of a backend
// server, a bound on a workspace's concurrent requests, budgets that keep
// retries a small part of all requests, and a wait group for draining.
package limiter

import (
	"container/heap"
	"context"
	"fmt"
	"sync"

	"github.com/joomcode/errorx"
)

var faults = errorx.NewNamespace("limiter")

// ErrFull means that the maximum number of requests is waiting already; the request was
// not queued.
var ErrFull = faults.NewType("full").New("queue is full")

// Item describes one request that needs a slot.
type Item struct {
	// Workspace is the workspace whose share the request uses.
	Workspace string
	// Share is the weight of the workspace, at least 1.
	Share int
	// Cost is the expected work in tokens.
	Cost int
	// Priority orders requests before shares do; a higher priority goes first.
	Priority int
}

// Queue grants slots by start-time fair queueing: among workspaces that always have
// requests waiting, each gets slots for work in proportion to its share, counted in
// cost.
type Queue struct {
	// maxWaiting is the number of requests that may wait.
	maxWaiting int

	// mu guards the fields below.
	mu sync.Mutex
	// slots is the number of requests that may hold a slot.
	slots int
	// running is the number of requests that hold a slot. It exceeds slots for a
	// while if slots was lowered.
	running int
	waiting waitingHeap
	// virtualTime is the highest start tag of the requests that got a slot. It
	// never decreases.
	virtualTime float64
	// finishTags holds the finish tag of each workspace's last request that got a
	// slot: its start tag plus its cost divided by the share. Tags below
	// virtualTime have no effect; all are removed once nothing waits or runs.
	finishTags map[string]float64
	// arrivals counts the requests, so that those with equal tags get slots in order
	// of arrival.
	arrivals uint64
	// waitingCost is the sum of the costs of waiting requests.
	waitingCost int
}

// NewQueue returns a queue with the given number of slots, in which at most maxWaiting
// requests wait.
func NewQueue(slots, maxWaiting int) *Queue {
	return &Queue{slots: slots, maxWaiting: maxWaiting, finishTags: make(map[string]float64)}
}

// SetSlots changes the number of slots. Requests that hold a slot keep it.
func (q *Queue) SetSlots(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = slots
	q.grantFreeSlots()
}

// waiter is one request that waits for a slot or gets one at once.
type waiter struct {
	item Item
	// startTag is the virtual time at which the request is due; the lowest goes
	// first.
	startTag float64
	arrival  uint64
	// index is the position in the heap, -1 while the request is not in it.
	index int
	// granted is closed when a waiting request gets its slot.
	granted chan struct{}
}

// Len returns the number of waiting and of running requests.
func (q *Queue) Len() (waiting, running int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting), q.running
}

// WaitingCost returns the sum of the costs of all waiting requests.
func (q *Queue) WaitingCost() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waitingCost
}

// Acquire waits for a slot and returns nil once it has one; the caller must then call
// Release. It returns ErrFull at once if the queue is full, or an error if ctx ends.
func (q *Queue) Acquire(ctx context.Context, item Item) error {
	q.mu.Lock()
	w := q.newWaiter(item)
	if q.running < q.slots && len(q.waiting) == 0 {
		q.grant(w)
		q.mu.Unlock()
		return nil
	}
	if len(q.waiting) >= q.maxWaiting {
		q.mu.Unlock()
		return ErrFull
	}
	heap.Push(&q.waiting, w)
	q.waitingCost += item.Cost
	q.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	return q.abandon(ctx, w)
}

// abandon is called when the caller of Acquire stops waiting. It removes the request
// from the queue, or gives its slot back if it got one in the meantime, and returns the
// error for the caller.
func (q *Queue) abandon(ctx context.Context, w *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index < 0 {
		q.release()
	} else {
		heap.Remove(&q.waiting, w.index)
		q.waitingCost -= w.item.Cost
	}
	return fmt.Errorf("wait for a slot: %w", ctx.Err())
}

// Release gives a slot back.
func (q *Queue) Release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.release()
}

// release frees a slot and grants free slots to waiting requests. Once nothing waits or
// runs, it removes all finish tags. The caller holds mu.
func (q *Queue) release() {
	q.running--
	q.grantFreeSlots()
	if len(q.waiting) == 0 && q.running == 0 {
		clear(q.finishTags)
	}
}

// grantFreeSlots grants free slots to waiting requests in order. The caller holds mu.
func (q *Queue) grantFreeSlots() {
	for len(q.waiting) > 0 && q.running < q.slots {
		w := heap.Pop(&q.waiting).(*waiter)
		q.waitingCost -= w.item.Cost
		q.grant(w)
		close(w.granted)
	}
}

// newWaiter returns a waiter for the item with its start tag. The caller holds mu.
func (q *Queue) newWaiter(item Item) *waiter {
	q.arrivals++
	return &waiter{
		item:     item,
		startTag: max(q.virtualTime, q.finishTags[item.Workspace]),
		arrival:  q.arrivals,
		index:    -1,
		granted:  make(chan struct{}),
	}
}

// grant gives the waiter a slot and updates the tags of its workspace. The caller holds
// mu.
//
// Finish tags are set here and not on arrival, since requests of the same workspace
// that arrived earlier may have left without using their share.
func (q *Queue) grant(w *waiter) {
	q.running++
	startTag := max(q.virtualTime, q.finishTags[w.item.Workspace])
	q.finishTags[w.item.Workspace] = startTag + float64(w.item.Cost)/float64(max(1, w.item.Share))
	q.virtualTime = max(q.virtualTime, w.startTag)
	q.raiseStartTags(w.item.Workspace)
}

// raiseStartTags raises the start tags of a workspace's waiting requests to its finish
// tag. The caller holds mu.
func (q *Queue) raiseStartTags(workspace string) {
	for _, w := range q.waiting {
		if w.item.Workspace == workspace {
			w.startTag = max(w.startTag, q.finishTags[workspace])
		}
	}
	heap.Init(&q.waiting)
}

// waitingHeap holds the waiting requests, ordered by priority, then start tag, then
// arrival.
type waitingHeap []*waiter

func (h waitingHeap) Len() int { return len(h) }

func (h waitingHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.item.Priority != b.item.Priority {
		return a.item.Priority > b.item.Priority
	}
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
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
