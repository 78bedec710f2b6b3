package watcher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAnswersAreReportedWithinTheirValidity guards against watches that are so long that a daemon no longer counts
// as watching the store before its next answer is reported.
func TestAnswersAreReportedWithinTheirValidity(t *testing.T) {
	for deadline := 2500 * time.Millisecond; deadline <= 10*time.Second; deadline += 100 * time.Millisecond {
		timing := NewTiming(deadline)
		assert.Check(t, timing.Wait+watchInterval+reportMargin <= timing.Validity, "%v: %+v", deadline, timing)
		assert.Check(t, timing.Validity < deadline*6/10, "%v: %+v", deadline, timing)
	}
	assert.Equal(t, NewTiming(0), NewTiming(defaultDeadline))
	assert.Assert(t, NewTiming(time.Second).Wait >= minWait)
}
