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
	// establishedPart is the part of the limits that a daemon uses which has run for a window.
	// Before that it uses startingPart: what its predecessor on the host has spent in the window
	// is not known. The sum is below 1 for retries that are in transit for different times.
	establishedPart = 0.6
	startingPart    = 0.35
)

// BudgetLimits bound the retries that all daemons of a fleet send to a service.
type BudgetLimits struct {
	// Ratio is the number of retries allowed per request, Extra the number allowed in addition,
	// however few requests there are.
	Ratio, Extra float64
	// Window is the length of the spans in which they are allowed.
	Window time.Duration
}

// WindowedBudget is one daemon's retry budget over a sliding window. In every span of the
// window's length it bounds the retries by a ratio of this daemon's requests, plus its share of
// a fixed number. The requests are those of the same span, of the one before it, or of the one
// half a window before it, whichever are most: retries follow requests. The bound holds also
// for the daemons that run on a host one after the other. It is safe for concurrent use.
type WindowedBudget struct {
	limits BudgetLimits
	// share returns the part of the extra retries that is this daemon's.
	share func() float64
	// stepLength is the length of one step of the window, at least a millisecond.
	stepLength time.Duration
	clock      timekeeper.Clock
	// start is when the first step began.
	start time.Time
	// daemonStart is when the daemon started, establishedAt when nothing that its predecessor
	// sent is in the window any more.
	daemonStart, establishedAt time.Time

	// mu guards the fields below.
	mu sync.Mutex
	// newestStep is the number of the newest step, counted from start.
	newestStep int64
	// requests and retries hold the counts of the latest steps; step i is at index i modulo
	// their length.
	requests [requestSteps]float64
	retries  [retrySteps]float64
}

// NewWindowedBudget returns the budget of a daemon that started at daemonStart; the zero time
// means that no daemon before it on its host has used the budget. share returns the part of the extra retries that
// is this daemon's; the shares of all daemons add up to at most 1.
func NewWindowedBudget(limits BudgetLimits, share func() float64, daemonStart time.Time, clock timekeeper.Clock) *WindowedBudget {
	stepLength := max(limits.Window/windowSteps, time.Millisecond)
	return &WindowedBudget{limits: limits, share: share, stepLength: stepLength, clock: clock, start: clock.Now(), daemonStart: daemonStart, establishedAt: daemonStart.Add(limits.Window + stepLength)}
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
	share := w.share()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if !w.allowed(share) {
		return false
	}
	w.retries[w.newestStep%retrySteps]++
	return true
}

// allowed reports whether one more retry is allowed. The caller holds mu.
func (w *WindowedBudget) allowed(share float64) bool {
	retries, extra := 1.0, w.limits.Extra*share
	now := w.clock.Now()
	if now.Before(w.establishedAt) {
		for _, count := range w.retries {
			retries += count
		}
		age := now.Sub(w.daemonStart).Seconds() / w.limits.Window.Seconds()
		return retries <= startingPart*(w.limits.Ratio*w.countRequests(0, w.newestStep)+extra*min(1, age))
	}
	for first := w.newestStep; first >= max(0, w.newestStep-windowSteps); first-- {
		retries += w.retries[first%retrySteps]
		if retries > establishedPart*(w.limits.Ratio*w.requestsFor(first)+extra) {
			return false
		}
	}
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
