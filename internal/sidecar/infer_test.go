package sidecar

import (
	"testing"

	"github.com/cyclamenward/cyclamenward/peer/engine"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"gotest.tools/v3/assert"
)

// TestEndlessTokensAreNotKept guards against a sidecar that runs out of memory since its engine sends more tokens
// than were asked for, without end.
func TestEndlessTokensAreNotKept(t *testing.T) {
	const asked = 5
	request := &link.Request{FirstTokenIndex: 2, Infer: &link.Inference{MaxTokens: asked}}
	work := &inference{job: &job{request: request, changed: make(chan struct{})}}
	s := new(Sidecar)
	for index := request.FirstTokenIndex; index < asked; index++ {
		assert.NilError(t, s.handleEvent(work, &engine.Event{Type: "token", Index: index, Text: "x"}, func(bool) {}))
	}
	assert.ErrorIs(t, s.handleEvent(work, &engine.Event{Type: "token", Index: asked, Text: "x"}, func(bool) {}), engine.ErrExchangeFailed)
	assert.Equal(t, work.job.tokenCount(), asked)
}
