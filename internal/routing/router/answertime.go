package router

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// answerSamples is how many answers of a route are remembered.
	answerSamples = 32
	// minAnswerSamples is how many are needed for an expectation.
	minAnswerSamples = 8
	// maxTimedRoutes bounds the number of routes in answerTimes.
	maxTimedRoutes = 4096
)

// answerTimes holds how long plain servers took for the latest answers of each route. It is safe
// for concurrent use.
type answerTimes struct {
	// mu guards routes.
	mu     sync.Mutex
	routes map[string]*answerRing
}

// answerRing holds the times of the latest answers.
type answerRing struct {
	times [answerSamples]time.Duration
	// count is the number of answers ever recorded.
	count int
}

// record records the time of an answer.
func (t *answerTimes) record(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ring := t.routes[route]
	if ring == nil {
		if t.routes == nil || len(t.routes) >= maxTimedRoutes {
			t.routes = make(map[string]*answerRing)
		}
		ring = new(answerRing)
		t.routes[route] = ring
	}
	ring.times[ring.count%answerSamples] = took
	ring.count++
}

// expect returns the median time of an answer, and the median time that remains for one which has
// taken a time already: the longest duration if none has taken longer. It returns false if too few
// answers are known.
func (t *answerTimes) expect(route string, elapsed time.Duration) (usual, remaining time.Duration, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ring := t.routes[route]
	if ring == nil || ring.count < minAnswerSamples {
		return 0, 0, false
	}
	times := slices.Clone(ring.times[:min(ring.count, answerSamples)])
	slices.Sort(times)
	longer, _ := slices.BinarySearch(times, elapsed+1)
	remaining = math.MaxInt64
	if rest := times[longer:]; len(rest) > 0 {
		remaining = rest[len(rest)/2] - elapsed
	}
	return times[len(times)/2], remaining, true
}
