package driver

import (
	"context"
	"fmt"
	"time"

	"github.com/cyclamenward/cyclamenward/chainer"
	"github.com/cyclamenward/cyclamenward/peer/engine"
	"github.com/google/uuid"
)

// StreamDirect sends a request straight to an engine, without entry and sidecar, as the
// baseline for latencies.
func StreamDirect(address, prompt string, tokens int) (*Stream, error) {
	stream := &Stream{}
	start := time.Now()
	lastTokenAt := start
	request := &engine.GenerateRequest{
		RequestID: uuid.NewString(), Model: "meet-assistant", WeightsVersion: "v1",
		CacheSalt: chainer.Scope{Workspace: "direct"}.Seed().String(), Prompt: []byte(prompt), MaxTokens: tokens,
	}
	err := engine.New(address).Generate(context.Background(), request, time.Minute, func(event *engine.Event) error {
		if event.Type != "token" {
			return nil
		}
		now := time.Now()
		if len(stream.Tokens) == 0 {
			stream.TimeToFirstToken = now.Sub(start)
		} else {
			stream.TokenGaps = append(stream.TokenGaps, now.Sub(lastTokenAt))
		}
		lastTokenAt = now
		stream.Tokens = append(stream.Tokens, event.Text)
		return nil
	})
	if err != nil {
		return stream, fmt.Errorf("stream from the engine: %w", err)
	}
	stream.Complete = true
	return stream, nil
}
