package watcher

import "time"

const (
	// validityRatio is the part of a change's deadline for which a daemon counts as watching the
	// store after its last answer. In the rest the others notice, turn to the store themselves and
	// pass the change on.
	validityRatio = 0.55
	// reportMargin is the part of Validity for the message that reports an answer to other daemons:
	// the longest interval between messages and the time on the way.
	reportMargin = 500 * time.Millisecond
	// defaultDeadline applies without a deadline.
	defaultDeadline = 2500 * time.Millisecond
	// Wait is at least minWait, and at most maxWait, so that daemons to which others report the store's
	// answers know from them that their list of replicas is current.
	minWait = 100 * time.Millisecond
	maxWait = 1500 * time.Millisecond
)

// Timing divides the time within which a change must be in force on all daemons. Most of them receive
// changes from a few that watch the store, and turn to it once these have not reported an answer of
// the store for Validity. Whatever the failure of the watching daemons, a change is then late by
// Validity and the time to read and pass on one change.
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
