package router

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestNothingIsSentAfterTheCallerHasLeft guards against requests that reach a replica after their
// callers have left (GONE) because the close was noticed only later. The caller leaves while
// the nth attempt waits for its connection: the first, a retry, or the resumption of a stream.
func TestNothingIsSentAfterTheCallerHasLeft(t *testing.T) {
	for _, tc := range []struct {
		name      string
		stream    bool
		leavingAt int
	}{{"first attempt", false, 1}, {"retry", false, 2}, {"first attempt of a stream", true, 1}, {"resumption", true, 2}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				left, sent := false, 0
				b := newTestBed(4, func(n int, a *Attempt) (*Reply, error) {
					<-time.After(300 * time.Millisecond)
					left = n >= tc.leavingAt
					if _, err := a.Admit(); err != nil {
						return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
					}
					sent++
					if tc.stream {
						return streamReply(0, 3, errLost), nil
					}
					return rejectionReply(), nil
				})
				r := route(Repeatable, 2, false)
				if tc.stream {
					r = route(Streaming, 3, true)
				}
				request := modelRequest(r, PromptPart{"a", 100})
				request.CallerLeft = func() bool { return left }
				result := b.router.Begin(request)
				if result.Stream != nil {
					_, err := drainStream(result.Stream)
					assert.ErrorIs(t, err, errLost)
				} else {
					assert.Equal(t, result.Failure.Reason, ReasonCallerGone)
					assert.Check(t, result.Failure.NotRun)
				}
				assert.Equal(t, sent, tc.leavingAt-1)
				for _, replica := range b.pool.group("s").replicas {
					backingOff, _ := replica.inBackoff(time.Now())
					assert.Check(t, !backingOff, "a replica is avoided though it has not failed")
				}
			})
		})
	}
}

// TestAttemptIsNotSentAfterItsDeadline guards against replicas that are given time which the
// caller no longer has, after a pause of the process or a slow connection.
func TestAttemptIsNotSentAfterItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var remaining time.Duration
		var expired error
		b := newTestBed(2, func(_ int, a *Attempt) (*Reply, error) {
			<-time.After(time.Second)
			remaining, _ = a.Admit()
			<-time.After(2 * time.Second)
			_, expired = a.Admit()
			return nil, errors.Join(ErrNotSent, expired)
		})
		result := b.router.Begin(newRequest(route(AtMostOnce, 1, false)))
		assert.Equal(t, remaining, 2*time.Second)
		assert.ErrorIs(t, expired, ErrExpired)
		assert.Equal(t, result.Failure.Reason, ReasonDeadline)
		assert.Check(t, result.Failure.NotRun)
	})
}

// TestNothingIsSentToReplicaThatBeganToLeave guards against requests that reach a replica after it has
// said that it leaves (DRAIN), because they were about to be sent there: another replica gets them,
// and no retry is spent.
func TestNothingIsSentToReplicaThatBeganToLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent []string
		var b *testBed
		b = newTestBed(3, func(n int, a *Attempt) (*Reply, error) {
			<-time.After(300 * time.Millisecond)
			if n == 1 {
				b.pool.RecordLeaving(a.Address, b.router.logger)
			}
			if _, err := a.Admit(); err != nil {
				return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
			}
			sent = append(sent, a.ReplicaID)
			return answerReply(200, "ok"), nil
		})
		result := b.router.Begin(newRequest(route(AtMostOnce, 1, false)))
		assert.Assert(t, result.Failure == nil)
		assert.Equal(t, len(sent), 1)
		assert.Assert(t, sent[0] != b.attempts[0].ReplicaID)
	})
}
