package limiter

import (
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
)

const (
	// windowSteps is the number of equal steps that a window is divided into. Requests and
	// retries are counted per step.
	windowSteps = 20
	// retrySteps is the number of steps for which retries are counted. The oldest may lie in
	// the window in part only.
	retrySteps = windowSteps + 1
	// requestSteps is the number of steps for which requests are counted: those of the window
	// and of the one before it.
	requestSteps = 2*windowSteps + 1
)

// WindowedBudget is a retry budget over a sliding window. In every span of the window's
// length it bounds the retries by a share of the requests, plus a fixed number. These are the
// requests of the same span, of the one before it, or of the one half a window before it,
// whichever are most: retries follow requests. It is safe for concurrent use.
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
	// requests and retries hold the counts of the latest steps; step i is at index i modulo
	// their length.
	requests [requestSteps]float64
	retries  [retrySteps]float64
}

// NewWindowedBudget returns a budget that allows ratio retries per request and extra more
// over a sliding window of the given span.
func NewWindowedBudget(ratio, extra float64, span time.Duration, clock timekeeper.Clock) *WindowedBudget {
	return &WindowedBudget{ratio: ratio, extra: extra, stepLength: max(span/windowSteps, time.Millisecond), clock: clock, start: clock.Now()}
}

// advance moves the window to the present and clears the steps that have left it. The caller
// holds mu.
func (w *WindowedBudget) advance() {
	now := int64(w.clock.Now().Sub(w.start) / w.stepLength)
	for i := max(w.newestStep+1, now-requestSteps+1); i <= now; i++ {
		w.requests[i%requestSteps], w.retries[i%retrySteps] = 0, 0
	}
	w.newestStep = max(w.newestStep, now)
}

// Earn counts one request.
func (w *WindowedBudget) Earn() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.requests[w.newestStep%requestSteps]++
}

// Spend counts one retry and returns true if all spans that the retry lies in allow it;
// otherwise it counts none and returns false.
func (w *WindowedBudget) Spend() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	retries := 1.0
	for first := w.newestStep; first >= max(0, w.newestStep-windowSteps); first-- {
		retries += w.retries[first%retrySteps]
		if retries > w.ratio*w.requestsFor(first)+w.extra {
			return false
		}
	}
	w.retries[w.newestStep%retrySteps]++
	return true
}

// requestsFor returns how many requests count for a span that begins within a step, at least.
// The caller holds mu.
func (w *WindowedBudget) requestsFor(first int64) float64 {
	return max(
		w.countRequests(first+1, w.newestStep),
		w.countRequests(first-windowSteps/2+1, first+windowSteps/2-1),
		w.countRequests(first-windowSteps+1, first-1),
	)
}

// countRequests returns the number of requests from one step to another. The caller holds mu.
func (w *WindowedBudget) countRequests(from, to int64) (count float64) {
	for i := max(0, from, w.newestStep-requestSteps+1); i <= min(to, w.newestStep); i++ {
		count += w.requests[i%requestSteps]
	}
	return count
}
