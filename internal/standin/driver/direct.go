package driver

import (
	"context"
	"fmt"
	"time"

	"github.com/cyclamenward/cyclamenward/chainer"
	"github.com/cyclamenward/cyclamenward/peer/engine"
	"github.com/google/uuid"
)

// StreamDirect sends a request straight to an engine, as a baseline.
func StreamDirect(address, prompt string, tokens int) (*Stream, error) {
	result := &Stream{}
	start := time.Now()
	last := start
	generation := &engine.GenerateRequest{
		RequestID: uuid.NewString(), Model: "meet-assistant", WeightsVersion: "v1",
		CacheSalt: chainer.Scope{Workspace: "direct"}.Seed().String(), Prompt: []byte(prompt), MaxTokens: tokens,
	}
	err := engine.New(address).Generate(context.Background(), generation, time.Minute, func(event *engine.Event) error {
		if event.Type != "token" {
			return nil
		}
		now := time.Now()
		if len(result.Tokens) == 0 {
			result.TimeToFirstToken = now.Sub(start)
		} else {
			result.TokenGaps = append(result.TokenGaps, now.Sub(last))
		}
		last = now
		result.Tokens = append(result.Tokens, event.Text)
		return nil
	})
	if err != nil {
		return result, fmt.Errorf("direct: %w", err)
	}
	result.Complete = true
	return result, nil
}
