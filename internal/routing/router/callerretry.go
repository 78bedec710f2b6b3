package router

import (
	"sync"
	"time"
)

const (
	// callerRetryTimeShare is the share of the most time left that was seen on a route,
	// below which a request counts as a caller's retry. It is below 1 since all requests
	// lose some milliseconds to the network delay.
	callerRetryTimeShare = 0.97
	// maxRememberedRoutes bounds the number of routes in CallerRetryDetector.
	maxRememberedRoutes = 4096
)

// CallerRetryDetector recognizes callers that retry after a refusal by the time they
// have left before their deadline: less than the most that was seen on the route. It is
// safe for concurrent use.
type CallerRetryDetector struct {
	// mu guards longest.
	mu sync.Mutex
	// longest is the most time left that was seen on each route.
	longest map[string]time.Duration
}

// NewCallerRetryDetector returns a detector that has seen no requests.
func NewCallerRetryDetector() *CallerRetryDetector {
	return &CallerRetryDetector{longest: make(map[string]time.Duration)}
}

// IsRetry reports whether a request with the given time left seems to be a caller's
// retry.
func (d *CallerRetryDetector) IsRetry(route string, timeLeft time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	longest := d.longest[route]
	if timeLeft > longest {
		if len(d.longest) >= maxRememberedRoutes {
			clear(d.longest)
		}
		d.longest[route] = timeLeft
		return false
	}
	return float64(timeLeft) < callerRetryTimeShare*float64(longest)
}
