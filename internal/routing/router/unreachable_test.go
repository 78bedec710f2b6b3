package router

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestStreamOfUnreachableReplicaIsKeptWithoutAnother guards against streams that are ended although their
// replica would have gone on (LOST): its sidecar could not reach it for a moment, or had just
// started, and the attempt was ended before it was known whether another replica could continue.
func TestStreamOfUnreachableReplicaIsKeptWithoutAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(2, nil)
		const events = 4
		b.router.transport = Transport{Concurrent: true, Send: func(ctx context.Context, a *Attempt) (*Reply, error) {
			if _, err := a.Admit(); err != nil {
				return nil, err
			}
			reply, sent := answerReply(200, ""), int64(-1)
			reply.NextEvent = func() (Event, error) {
				select {
				case <-ctx.Done():
					return Event{}, errLost
				case <-time.After(500 * time.Millisecond):
				}
				if sent++; sent == events {
					return Event{}, io.EOF
				}
				return Event{ID: sent}, nil
			}
			time.AfterFunc(time.Second, func() { b.pool.UpdateState(a.Address, State{Phase: Unreachable, StartUnixMilli: 1}) })
			return reply, nil
		}}
		for b.router.serviceState("s").budget.Spend() {
			continue
		}
		result := b.router.Begin(modelRequest(route(Streaming, 2, true), PromptPart{"a", 100}))
		assert.Assert(t, result.Failure == nil)
		ids, err := drainStream(result.Stream)
		assert.ErrorIs(t, err, io.EOF)
		assert.Equal(t, len(ids), events)
	})
}
