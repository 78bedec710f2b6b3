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
	// unequalRetryTimeShare is that share where callers wait for different times by
	// themselves; a caller that has come back has waited for up to a third of its time.
	unequalRetryTimeShare = 0.8
	// maxRememberedRoutes bounds the number of routes in CallerRetryDetector.
	maxRememberedRoutes = 4096
)

// CallerRetryDetector recognizes callers that retry after a refusal by the time they
// have left before their deadline: less than the most that was seen on the route. It is
// safe for concurrent use.
type CallerRetryDetector struct {
	// timeShare is callerRetryTimeShare, or less where callers' own times differ more.
	timeShare float64
	// mu guards longest.
	mu sync.Mutex
	// longest is the most time left that was seen on each route.
	longest map[string]time.Duration
}

// NewCallerRetryDetector returns a detector that has seen no requests.
func NewCallerRetryDetector() *CallerRetryDetector {
	return &CallerRetryDetector{timeShare: callerRetryTimeShare, longest: make(map[string]time.Duration)}
}

// AllowUnequalTimes returns the detector, which then takes requests for retries only if their time
// left is shorter than callers differ in it by themselves. It must be called before IsRetry.
func (d *CallerRetryDetector) AllowUnequalTimes() *CallerRetryDetector {
	d.timeShare = unequalRetryTimeShare
	return d
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
	return float64(timeLeft) < d.timeShare*float64(longest)
}
