package router

import (
	"sync"
	"time"
)

const (
	// returnedShare is how much of the usual time a caller that came back has
	// left at most; on their way requests lose some milliseconds.
	returnedShare = 0.97
	// patienceRoutes bounds the routes that are remembered.
	patienceRoutes = 4096
)

// CallerRetryDetector recognizes callers that came back after a refusal by the time that they
// have left: less than the most that was seen on the route. It is safe for
// concurrent use.
type CallerRetryDetector struct {
	// mu guards longest.
	mu      sync.Mutex
	longest map[string]time.Duration
}

// NewCallerRetryDetector returns a detector without observations.
func NewCallerRetryDetector() *CallerRetryDetector {
	return &CallerRetryDetector{longest: make(map[string]time.Duration)}
}

// IsRetry reports whether a caller with the given time left came back.
func (p *CallerRetryDetector) IsRetry(route string, left time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := p.longest[route]
	if left > longest {
		if len(p.longest) >= patienceRoutes {
			clear(p.longest)
		}
		p.longest[route] = left
		return false
	}
	return float64(left) < returnedShare*float64(longest)
}
