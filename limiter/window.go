package limiter

import (
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
)

// windowSteps is the number of steps that a window is counted in.
const windowSteps = 10

// WindowedBudget allows repeats as a share of the requests of a sliding span of time. It
// is safe for concurrent use.
type WindowedBudget struct {
	// share is the number of repeats allowed for one request.
	share float64
	// extra is the number of repeats allowed besides.
	extra float64
	// step is the length of one count.
	step  time.Duration
	clock timekeeper.Clock
	start time.Time

	// mu guards the fields below.
	mu sync.Mutex
	// at is the number of the newest step since start.
	at       int64
	requests [windowSteps]float64
	repeats  [windowSteps]float64
}

// NewWindowedBudget returns a budget for the given span.
func NewWindowedBudget(share, extra float64, span time.Duration, clock timekeeper.Clock) *WindowedBudget {
	return &WindowedBudget{share: share, extra: extra, step: max(span/windowSteps, time.Millisecond), clock: clock, start: clock.Now()}
}

// advance clears the steps that have left the window. The caller holds mu.
func (w *WindowedBudget) advance() int64 {
	now := int64(w.clock.Now().Sub(w.start) / w.step)
	for i := max(w.at+1, now-windowSteps+1); i <= now; i++ {
		w.requests[i%windowSteps], w.repeats[i%windowSteps] = 0, 0
	}
	w.at = max(w.at, now)
	return w.at % windowSteps
}

// Earn counts one request.
func (w *WindowedBudget) Earn() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.advance()]++
}

// Spend takes one repeat and reports whether the window has room for it.
func (w *WindowedBudget) Spend() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.advance()
	requests, repeats := 0.0, 0.0
	for i := range windowSteps {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	if repeats+1 > w.share*requests+w.extra {
		return false
	}
	w.repeats[at]++
	return true
}
