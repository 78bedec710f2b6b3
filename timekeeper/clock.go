// Package timekeeper defines the clock that the other packages use.
//
// Components that make decisions by time take a Clock in their constructors instead of
// using the time package, so that a test can pass a virtual one.
package timekeeper

import "time"

// Clock tells the time and signals when a duration has elapsed. Times returned by Now
// carry a monotonic reading, so differences are not affected by wall-clock changes.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives the time once d has elapsed.
	After(d time.Duration) <-chan time.Time
}

// System is the Clock of the operating system.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// After implements Clock.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }
