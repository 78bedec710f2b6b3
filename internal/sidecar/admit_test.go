package sidecar

import (
	"testing"
	"time"

	"github.com/cyclamenward/cyclamenward/admitter"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// TestRefusedCopyReportsAdmittedAttempt refuses a copy of a running attempt for several
// reasons and checks that the frame never says that the attempt did not run.
func TestRefusedCopyReportsAdmittedAttempt(t *testing.T) {
	s := &Sidecar{attempts: admitter.New(timekeeper.System{}, "one", admitter.Limits{MaxRecords: 10, Retention: time.Minute})}
	assert.NilError(t, s.attempts.Admit("running", "one"))
	for _, code := range []link.Code{link.CodeLeaving, link.CodeQueueFull, link.CodeDeadlineTooShort} {
		frame := &link.Frame{Outcome: admitter.NotRun, Code: code}
		s.recordGivenUp(&link.Request{AttemptID: "running", SidecarIncarnation: "one"}, frame)
		assert.Equal(t, frame.Outcome, admitter.Running)
		assert.Equal(t, frame.Code, link.CodeAttemptRepeated)
	}
	frame := &link.Frame{Outcome: admitter.NotRun, Code: link.CodeQueueFull}
	s.recordGivenUp(&link.Request{AttemptID: "new", SidecarIncarnation: "one"}, frame)
	assert.Equal(t, frame.Outcome, admitter.NotRun)
	assert.Equal(t, frame.Code, link.CodeQueueFull)
	assert.ErrorIs(t, s.attempts.Admit("new", "one"), admitter.ErrGivenUp)
}
