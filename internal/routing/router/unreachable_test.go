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

// TestStreamOfUnreachableReplicaOutlivesRejections guards against streams that are ended since a sidecar
// gets no report of their replica, though the replica goes on and no other continues them (LOST).
func TestStreamOfUnreachableReplicaOutlivesRejections(t *testing.T) {
	for _, others := range []int{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestBed(1+others, nil)
			var began string
			b.router.transport.Concurrent = true
			b.router.transport.Send = func(ctx context.Context, a *Attempt) (*Reply, error) {
				if began != "" {
					return rejectionReply(), nil
				}
				began = a.Address
				next := 0
				reply := streamReply(0, 4, io.EOF)
				events := reply.NextEvent
				reply.NextEvent = func() (Event, error) {
					if next++; next > 1 {
						select {
						case <-time.After(200 * time.Millisecond):
						case <-ctx.Done():
							return Event{}, errLost
						}
					}
					return events()
				}
				return reply, nil
			}
			result := b.router.Begin(modelRequest(route(Streaming, 2, true), PromptPart{"a", 100}))
			assert.Assert(t, result.Stream != nil)
			time.AfterFunc(300*time.Millisecond, func() { b.pool.UpdateState(began, State{Phase: Unreachable, StartUnixMilli: 1}) })
			ids, err := drainStream(result.Stream)
			assert.ErrorIs(t, err, io.EOF)
			assert.Equal(t, len(ids), 5)
		})
	}
}

// TestStreamOfUnreachableReplicaContinuesAtOnce guards against streams that wait for the end of a silence
// though a sidecar has reported their replica as unreachable.
func TestStreamOfUnreachableReplicaContinuesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(2, nil)
		var began string
		b.router.transport.Concurrent = true
		b.router.transport.Send = func(ctx context.Context, a *Attempt) (*Reply, error) {
			if began != "" {
				return streamReply(a.LastEventID+1, 4, io.EOF), nil
			}
			began = a.Address
			reply := streamReply(0, 1, io.EOF)
			events := reply.NextEvent
			reply.NextEvent = func() (Event, error) {
				if event, err := events(); err == nil {
					return event, nil
				}
				<-ctx.Done()
				return Event{}, errLost
			}
			return reply, nil
		}
		start := time.Now()
		result := b.router.Begin(modelRequest(route(Streaming, 2, true), PromptPart{"a", 100}))
		assert.Assert(t, result.Stream != nil)
		time.AfterFunc(300*time.Millisecond, func() { b.pool.UpdateState(began, State{Phase: Unreachable, StartUnixMilli: 1}) })
		ids, err := drainStream(result.Stream)
		assert.ErrorIs(t, err, io.EOF)
		assert.DeepEqual(t, ids, []int64{0, 1, 2, 3, 4})
		assert.Equal(t, time.Since(start), 300*time.Millisecond)
	})
}

// TestStartingSidecarEndsNoAttempt guards against requests that are ended since their replica's sidecar
// was restarted: until its first report it tells that the replica is unreachable.
func TestStartingSidecarEndsNoAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(1, nil)
		b.router.transport.Send = func(ctx context.Context, a *Attempt) (*Reply, error) {
			time.AfterFunc(100*time.Millisecond, func() { b.pool.UpdateState(a.Address, State{Phase: Unreachable}) })
			select {
			case <-time.After(300 * time.Millisecond):
				return streamReply(0, 1, io.EOF), nil
			case <-ctx.Done():
				return nil, errLost
			}
		}
		result := b.router.Begin(modelRequest(route(Streaming, 2, true), PromptPart{"a", 100}))
		assert.Assert(t, result.Failure == nil, "%+v", result.Failure)
		ids, err := drainStream(result.Stream)
		assert.ErrorIs(t, err, io.EOF)
		assert.Equal(t, len(ids), 2)
	})
}

// TestNextAttemptOfAStreamFailsOver guards against a stream that waits until its deadline: it has broken
// off, and the replica that is to continue it becomes unreachable before its first event.
func TestNextAttemptOfAStreamFailsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(3, nil)
		attempts := 0
		b.router.transport.Send = func(ctx context.Context, a *Attempt) (*Reply, error) {
			switch attempts++; attempts {
			case 1:
				return streamReply(0, 1, errLost), nil
			case 2:
				time.AfterFunc(300*time.Millisecond, func() { b.pool.UpdateState(a.Address, State{Phase: Unreachable, StartUnixMilli: 1}) })
				<-ctx.Done()
				return nil, errLost
			}
			return streamReply(a.LastEventID+1, 4, io.EOF), nil
		}
		start := time.Now()
		result := b.router.Begin(modelRequest(route(Streaming, 4, true), PromptPart{"a", 100}))
		assert.Assert(t, result.Stream != nil)
		ids, err := drainStream(result.Stream)
		assert.ErrorIs(t, err, io.EOF)
		assert.DeepEqual(t, ids, []int64{0, 1, 2, 3, 4})
		assert.Equal(t, time.Since(start), 300*time.Millisecond)
	})
}
