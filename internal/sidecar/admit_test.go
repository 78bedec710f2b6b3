package sidecar

import (
	"testing"
	"time"

	"github.com/cyclamenward/cyclamenward/admitter"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// TestRefusedCopyDoesNotSpeakForTheFirst lets a copy of a running attempt be
// refused, whatever the reason, and checks that it is not told as not run.
func TestRefusedCopyDoesNotSpeakForTheFirst(t *testing.T) {
	s := &Sidecar{table: admitter.New(timekeeper.System{}, "one", admitter.Limits{Records: 10, Keep: time.Minute})}
	assert.NilError(t, s.table.Admit("running", "one"))
	for _, code := range []link.Code{link.CodeLeaving, link.CodeQueueFull, link.CodeDeadlineTooShort} {
		frame := &link.Frame{Outcome: admitter.NotRun, Code: code}
		s.giveUp(&link.Request{AttemptID: "running", SidecarIncarnation: "one"}, frame)
		assert.Equal(t, frame.Outcome, admitter.Running)
		assert.Equal(t, frame.Code, link.CodeAttemptRepeated)
	}
	frame := &link.Frame{Outcome: admitter.NotRun, Code: link.CodeQueueFull}
	s.giveUp(&link.Request{AttemptID: "new", SidecarIncarnation: "one"}, frame)
	assert.Equal(t, frame.Outcome, admitter.NotRun)
	assert.Equal(t, frame.Code, link.CodeQueueFull)
	assert.ErrorIs(t, s.table.Admit("new", "one"), admitter.ErrTombstone)
}
