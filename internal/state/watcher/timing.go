package watcher

import "time"

const (
	// validityRatio is the part of a change's deadline for which a daemon counts as watching the
	// store after its last answer. The remaining time is for other daemons to detect the failure,
	// to call the store and to distribute the change.
	validityRatio = 0.55
	// reportMargin is the part of Validity for the message that reports an answer to other daemons:
	// the longest interval between messages and the transmission time.
	reportMargin = 500 * time.Millisecond
	// defaultDeadline applies without a deadline.
	defaultDeadline = 2500 * time.Millisecond
	// minWait and maxWait bound Wait. Daemons that do not watch the store conclude from the reports of
	// its answers that their list of replicas is current, so these must not be too far apart.
	minWait = 100 * time.Millisecond
	maxWait = 1500 * time.Millisecond
)

// Timing divides the time within which a change must be in force on all daemons. Most of them receive
// changes from a few that watch the store, and call it themselves once these have not reported an answer
// for Validity. Any failure of the watching daemons delays a change by at most Validity and the time to
// read and distribute it.
type Timing struct {
	// Wait is how long the store holds a watch without changes.
	Wait time.Duration
	// Validity is how long after an answer of the store a daemon counts as watching it. In regular
	// operation the next answer is reported within that time.
	Validity time.Duration
}

// NewTiming returns the timing for the time within which a change must be in force, 0 for the default.
func NewTiming(deadline time.Duration) Timing {
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	validity := time.Duration(validityRatio * float64(deadline))
	return Timing{Wait: min(maxWait, max(minWait, validity-watchInterval-reportMargin)), Validity: validity}
}
