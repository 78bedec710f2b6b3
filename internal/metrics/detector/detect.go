// Package detector detects pauses of the process: times in which it was ready to run and
// did not, because its machine was frozen, its processor was taken by others or its share
// of the processor was used up.
package detector

import (
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
)

const (
	// checkInterval is the time between two checks of the clock.
	checkInterval = 100 * time.Millisecond
	// MinPause is the shortest pause that is reported. Shorter ones are common on machines
	// with a small share of a processor.
	MinPause = 250 * time.Millisecond
)

// New starts a detector that calls report after each pause of at least MinPause, with the
// length of the pause, until stop is closed.
func New(report func(pause time.Duration), clock timekeeper.Clock, stop <-chan struct{}) {
	go func() {
		for {
			due := clock.Now().Add(checkInterval)
			select {
			case <-stop:
				return
			case <-clock.After(checkInterval):
			}
			if pause := clock.Now().Sub(due); pause >= MinPause {
				report(pause)
			}
		}
	}()
}
