package limiter_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/limiter"
	"gotest.tools/v3/assert"
)

// runClients starts the given number of clients, which acquire and release slots for a
// workspace until the given time. It returns the work completed for the workspace, which
// grows while they run.
func runClients(q *limiter.Queue, item limiter.Item, clients int, until time.Time) *completedWork {
	w := &completedWork{}
	for range clients {
		go func() {
			for time.Now().Before(until) {
				if q.Acquire(context.Background(), item) != nil {
					<-time.After(10 * time.Millisecond)
					continue
				}
				<-time.After(time.Duration(item.Cost) * time.Millisecond)
				q.Release()
				w.add(item.Cost)
			}
		}()
	}
	return w
}

// completedWork counts the tokens of the requests that were served.
type completedWork struct {
	mu     sync.Mutex
	tokens int
}

func (w *completedWork) add(tokens int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens += tokens
}

func (w *completedWork) total() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tokens
}

// TestSharesAreCountedInWork overloads a queue with a greedy workspace that sends many
// small requests and two that send few large ones, and checks that each gets its share
// of the work, not of the requests.
func TestSharesAreCountedInWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := limiter.NewQueue(2, 1000)
		until := time.Now().Add(10 * time.Minute)
		greedy := runClients(q, limiter.Item{Workspace: "greedy", Share: 1, Cost: 5}, 100, until)
		large := runClients(q, limiter.Item{Workspace: "large", Share: 1, Cost: 100}, 4, until)
		paying := runClients(q, limiter.Item{Workspace: "paying", Share: 2, Cost: 50}, 8, until)
		<-time.After(15 * time.Minute)
		synctest.Wait()
		total := float64(greedy.total() + large.total() + paying.total())
		for w, want := range map[*completedWork]float64{greedy: 0.25, large: 0.25, paying: 0.5} {
			got := float64(w.total()) / total
			assert.Assert(t, got > want*0.9 && got < want*1.1, "share %.3f, want %.2f", got, want)
		}
		waiting, running := q.Len()
		assert.Equal(t, waiting+running, 0)
		assert.Equal(t, q.WaitingCost(), 0)
	})
}

// TestQueueIsBoundedAndHonoursPriority checks that a full queue refuses at once, that
// requests get slots by priority, and that a caller whose context ended keeps no slot.
func TestQueueIsBoundedAndHonoursPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := limiter.NewQueue(1, 3)
		assert.NilError(t, q.Acquire(t.Context(), limiter.Item{Workspace: "first", Cost: 1}))
		order := make(chan int, 3)
		for _, priority := range []int{0, 5, 1} {
			go func() {
				if q.Acquire(context.Background(), limiter.Item{Workspace: fmt.Sprint(priority), Cost: 1, Priority: priority}) == nil {
					order <- priority
					q.Release()
				}
			}()
			synctest.Wait()
		}
		assert.ErrorIs(t, q.Acquire(t.Context(), limiter.Item{Workspace: "late", Cost: 1}), limiter.ErrFull)
		q.Release()
		assert.Equal(t, <-order, 5)
		assert.Equal(t, <-order, 1)
		assert.Equal(t, <-order, 0)
		canceled, cancel := context.WithCancel(t.Context())
		cancel()
		assert.NilError(t, q.Acquire(t.Context(), limiter.Item{Workspace: "holder", Cost: 1}))
		assert.ErrorIs(t, q.Acquire(canceled, limiter.Item{Workspace: "gone", Cost: 1}), context.Canceled)
		q.Release()
		assert.NilError(t, q.Acquire(t.Context(), limiter.Item{Workspace: "next", Cost: 1}))
	})
}

// TestBudgetKeepsRetriesToAShare checks that 1000 requests allow a tenth as many retries,
// plus the five that the budget starts with.
func TestBudgetKeepsRetriesToAShare(t *testing.T) {
	b := limiter.NewBudget(0.1, 5)
	spent := 0
	for range 1000 {
		b.Earn()
		for b.Spend() {
			spent++
		}
	}
	assert.Assert(t, spent >= 100 && spent <= 106, "%d retries", spent)
}
