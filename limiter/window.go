package limiter

import (
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
)

// windowSteps is the number of equal steps that a window is divided into. Requests and
// retries are counted per step and leave the window a whole step at a time.
const windowSteps = 10

// WindowedBudget is a retry budget over a sliding window: it bounds the retries of the
// latest span of time by a share of the requests of the same span, plus a fixed number.
// It is safe for concurrent use.
type WindowedBudget struct {
	// ratio is the number of retries allowed per request.
	ratio float64
	// extra is the number of retries allowed in addition, however few requests there
	// are.
	extra float64
	// stepLength is the length of one step of the window, at least a millisecond.
	stepLength time.Duration
	clock      timekeeper.Clock
	// start is when the first step began.
	start time.Time

	// mu guards the fields below.
	mu sync.Mutex
	// newestStep is the number of the newest step, counted from start.
	newestStep int64
	// requests and retries hold the counts of the latest steps; step i is at index
	// i modulo windowSteps.
	requests [windowSteps]float64
	retries  [windowSteps]float64
}

// NewWindowedBudget returns a budget that allows ratio retries per request and extra more
// over a sliding window of the given span.
func NewWindowedBudget(ratio, extra float64, span time.Duration, clock timekeeper.Clock) *WindowedBudget {
	return &WindowedBudget{ratio: ratio, extra: extra, stepLength: max(span/windowSteps, time.Millisecond), clock: clock, start: clock.Now()}
}

// advance moves the window to the present, clears the steps that have left it, and
// returns the index of the newest step. The caller holds mu.
func (w *WindowedBudget) advance() int64 {
	now := int64(w.clock.Now().Sub(w.start) / w.stepLength)
	for i := max(w.newestStep+1, now-windowSteps+1); i <= now; i++ {
		w.requests[i%windowSteps], w.retries[i%windowSteps] = 0, 0
	}
	w.newestStep = max(w.newestStep, now)
	return w.newestStep % windowSteps
}

// Earn counts one request.
func (w *WindowedBudget) Earn() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.advance()]++
}

// Spend counts one retry and returns true if the window allows it; otherwise it counts
// none and returns false.
func (w *WindowedBudget) Spend() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	newest := w.advance()
	requests, retries := 0.0, 0.0
	for i := range windowSteps {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	if retries+1 > w.ratio*requests+w.extra {
		return false
	}
	w.retries[newest]++
	return true
}
