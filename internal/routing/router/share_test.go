package router

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// newPressedBed returns a test bed whose one replica has a backlog that takes 240 ms, with an
// urgent kind of request in use beside a less urgent one, whose requests are returned.
func newPressedBed(t *testing.T) (*testBed, func() *Request) {
	t.Helper()
	b := newTestBed(1, func(int, *Attempt) (*Reply, error) { return streamReply(0, 1, io.EOF), nil })
	b.router.options.SharesRoom = func(string) bool { return true }
	urgent := route(Streaming, 1, false)
	for range 100 {
		result := b.router.Begin(modelRequest(urgent, PromptPart{"small", 1000}))
		assert.Assert(t, result.Failure == nil)
		result.Stream.Close()
	}
	b.pool.ReplicaByID("i-0").backlogTokens[0].Store(14_400)
	return b, func() *Request {
		lessUrgent := route(Streaming, 1, false)
		lessUrgent.Name, lessUrgent.Priority, lessUrgent.LatencyTarget = "large", 2, 1500*time.Millisecond
		return modelRequest(lessUrgent, PromptPart{"large", 9000})
	}
}

// TestLargePromptsWaitForUrgentOnes guards against large less urgent prompts that are sent to a
// queue which makes urgent requests late: within the least share they are sent, beyond it they
// wait for room until half of their target has passed, and one behind which too much waits is
// refused at once. One whose caller leaves meanwhile is not sent.
func TestLargePromptsWaitForUrgentOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, newLarge := newPressedBed(t)
		floor := b.router.Begin(newLarge())
		assert.Assert(t, floor.Failure == nil)
		defer floor.Stream.Close()
		b.pool.ReplicaByID("i-0").backlogTokens[0].Store(14_400)

		began := time.Now()
		time.AfterFunc(300*time.Millisecond, func() { b.pool.ReplicaByID("i-0").backlogTokens[0].Store(0) })
		held := b.router.Begin(newLarge())
		assert.Assert(t, held.Failure == nil)
		held.Stream.Close()
		waited := time.Since(began)
		assert.Assert(t, waited >= 300*time.Millisecond && waited < 400*time.Millisecond, "%s", waited)

		b.pool.ReplicaByID("i-0").backlogTokens[0].Store(14_400)
		left := newLarge()
		gone, ended := make(chan struct{}), make(chan Reason)
		left.CallerGone = gone
		go func() { ended <- b.router.Begin(left).Failure.Reason }()
		synctest.Wait()
		began = time.Now()
		refused := b.router.Begin(newLarge())
		assert.Equal(t, refused.Failure.Reason, ReasonOverload)
		assert.Assert(t, refused.Failure.NotRun && refused.Failure.RetryAfter >= minRetryAfter)
		assert.Equal(t, time.Since(began), time.Duration(0))
		close(gone)
		assert.Equal(t, <-ended, ReasonCallerGone)
		counters := b.router.recorder.Counters()
		assert.Equal(t, counters["room.held.2"], int64(2))
		assert.Equal(t, counters["room.refused.2"], int64(1))
	})
}

// TestServicesWithoutArbitrationAreServedAsBefore guards against a change for deployments that do
// not ask for it: the same large prompt is sent at once.
func TestServicesWithoutArbitrationAreServedAsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, newLarge := newPressedBed(t)
		b.router.options.SharesRoom = func(service string) bool { return service != "s" }
		for range 2 {
			result := b.router.Begin(newLarge())
			assert.Assert(t, result.Failure == nil)
			defer result.Stream.Close()
		}
		assert.Equal(t, b.router.recorder.Counters()["room.held.2"], int64(0))
	})
}
