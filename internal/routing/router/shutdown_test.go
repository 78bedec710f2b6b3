package router

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// stoppingBed returns a test bed whose replicas work for the time that work returns.
func stoppingBed(t *testing.T, work func(n int) time.Duration, answer func(n int) *Reply) *testBed {
	t.Helper()
	b := newTestBed(3, nil)
	b.router.transport = Transport{Concurrent: true, Send: func(ctx context.Context, a *Attempt) (*Reply, error) {
		if _, err := a.Admit(); err != nil {
			return nil, errors.Join(ErrNotSent, err)
		}
		b.mu.Lock()
		b.attempts = append(b.attempts, a)
		n := len(b.attempts)
		b.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(work(n)):
			return answer(n), nil
		}
	}}
	return b
}

// stop announces that the daemon stops after a time, and that callers go elsewhere after a delay.
func stop(t *testing.T, b *testBed, after, delay time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), after)
	t.Cleanup(cancel)
	b.router.Stop(ctx, delay)
}

// record records as many runs of a route as tell how long the next may take.
func (t *runTimes) record(route string, duration time.Duration) {
	for range minLongestRuns {
		t.end(&run{route: route, begunAt: t.clock.Now().Add(-duration)}, true)
	}
}

// longRoute returns a route whose requests may take longer than the daemon lives.
func longRoute(kind RouteKind, attempts int, resumable bool) *Route {
	r := route(kind, attempts, resumable)
	r.Timeout = 15 * time.Second
	return r
}

// TestRequestThatOutlivesTheDaemonIsRefused guards against requests that are passed on late in a
// planned stop and cut off at its end (LOST).
func TestRequestThatOutlivesTheDaemonIsRefused(t *testing.T) {
	const stopIn = 5 * time.Second
	for _, tc := range []struct {
		name string
		// known is a run that is remembered, 0 for none; the request comes at a time after the
		// announcement and takes work. Callers go elsewhere after the delay.
		known, at, work time.Duration
		timeout         time.Duration
		delay           time.Duration
		served          bool
	}{
		{"no run is known and the deadline lies behind the end", 0, 0, time.Second, 15 * time.Second, time.Second, false},
		{"no run is known and the deadline lies before the end", 0, 0, time.Second, 3 * time.Second, 0, true},
		{"runs are short", time.Second, 3 * time.Second, time.Second, 15 * time.Second, 0, true},
		{"runs are longer than what is left", time.Second, 3600 * time.Millisecond, 900 * time.Millisecond, 15 * time.Second, 0, false},
		{"runs are usually shorter than what is left", 4 * time.Second, 900 * time.Millisecond, 4 * time.Second, 15 * time.Second, time.Second, true},
		{"runs are usually longer than what is left", 4 * time.Second, 1500 * time.Millisecond, 3 * time.Second, 15 * time.Second, 2 * time.Second, false},
		{"runs may be longer than what is left", 4 * time.Second, 900 * time.Millisecond, 4 * time.Second, 15 * time.Second, 800 * time.Millisecond, false},
		{"runs are longer than the grace", 9 * time.Second, 0, 9 * time.Second, 15 * time.Second, time.Second, false},
		{"runs are longer than the deadline", 9 * time.Second, 0, time.Second, 3 * time.Second, 0, true},
	} {
		for _, kind := range []RouteKind{Repeatable, AtMostOnce} {
			t.Run(tc.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := stoppingBed(t, func(int) time.Duration { return tc.work }, func(int) *Reply { return answerReply(200, "ok") })
					if tc.known > 0 {
						b.router.runTimes.record("route", tc.known)
					}
					stop(t, b, stopIn, tc.delay)
					<-time.After(tc.at)
					r := longRoute(kind, 1, false)
					r.Timeout = tc.timeout
					began := time.Now()
					result := b.router.Begin(newRequest(r))
					if tc.served {
						assert.Assert(t, result.Failure == nil)
						return
					}
					assert.Equal(t, result.Failure.Reason, ReasonStopping)
					assert.Check(t, result.Failure.NotRun)
					assert.Check(t, result.Failure.RetryAfter > 0)
					assert.Equal(t, len(b.attempts), 0)
					assert.Equal(t, time.Since(began), time.Duration(0))
				})
			})
		}
	}
}

// TestStreamThatMayOutliveTheDaemonIsRefused guards against streams that are passed on late in a planned
// stop, run longer than all before them and are cut off (LOST): they are passed on only if they
// end by their deadline, once callers can go elsewhere.
func TestStreamThatMayOutliveTheDaemonIsRefused(t *testing.T) {
	for _, tc := range []struct {
		name        string
		at, timeout time.Duration
		served      bool
	}{
		{"callers still come", 900 * time.Millisecond, 15 * time.Second, true},
		{"callers go elsewhere", 1100 * time.Millisecond, 15 * time.Second, false},
		{"the deadline lies before the end", 1100 * time.Millisecond, 3 * time.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := stoppingBed(t, func(int) time.Duration { return 0 }, func(int) *Reply { return streamReply(0, 3, io.EOF) })
				b.router.runTimes.record("route", time.Second)
				stop(t, b, 5*time.Second, time.Second)
				<-time.After(tc.at)
				r := longRoute(Streaming, 1, false)
				r.Timeout = tc.timeout
				result := b.router.Begin(modelRequest(r, PromptPart{"a", 100}))
				if !tc.served {
					assert.Assert(t, result.Failure != nil)
					assert.Equal(t, result.Failure.Reason, ReasonStopping)
					assert.Check(t, result.Failure.NotRun)
					return
				}
				assert.Assert(t, result.Failure == nil)
				_, err := drainStream(result.Stream)
				assert.ErrorIs(t, err, io.EOF)
			})
		})
	}
}

// TestNothingIsRepeatedThatOutlivesTheDaemon guards against retries and resumptions that begin
// late in a planned stop and are cut off at its end (LOST).
func TestNothingIsRepeatedThatOutlivesTheDaemon(t *testing.T) {
	for _, tc := range []struct {
		name     string
		kind     RouteKind
		answer   *Reply
		notRun   bool
		attempts int
	}{
		{"after a rejection", AtMostOnce, rejectionReply(), true, 1},
		{"after a failure", Repeatable, answerReply(500, ""), false, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := stoppingBed(t, func(int) time.Duration { return 3 * time.Second }, func(int) *Reply { return tc.answer })
				b.router.runTimes.record("route", 1500*time.Millisecond)
				stop(t, b, 5*time.Second, 0)
				result := b.router.Begin(modelRequest(longRoute(tc.kind, 2, false), PromptPart{"a", 100}))
				assert.Equal(t, len(b.attempts), tc.attempts)
				if tc.notRun {
					assert.Equal(t, result.Failure.Reason, ReasonStopping)
					assert.Check(t, result.Failure.NotRun)
				} else {
					assert.Equal(t, result.Reply.Status, 500)
				}
			})
		})
	}
	for name, delay := range map[string]time.Duration{"a stream that breaks off": time.Second, "a stream that breaks off while callers still come": 4 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := stoppingBed(t, func(int) time.Duration { return 3 * time.Second }, func(int) *Reply { return streamReply(0, 3, errLost) })
				b.router.runTimes.record("route", 2500*time.Millisecond)
				stop(t, b, 5*time.Second, delay)
				result := b.router.Begin(modelRequest(longRoute(Streaming, 3, true), PromptPart{"a", 100}))
				_, err := drainStream(result.Stream)
				assert.ErrorIs(t, err, errLost)
				assert.Equal(t, len(b.attempts), 1)
			})
		})
	}
}

// TestUnansweredRequestsFailAtTheEnd guards against connections that are closed without an answer
// at the end of a planned stop (LOST): a request whose run takes longer than expected fails
// as one that may have run, and a stream breaks off. Neither counts against its replica.
func TestUnansweredRequestsFailAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := stoppingBed(t, func(int) time.Duration { return 9 * time.Second }, func(int) *Reply { return answerReply(200, "late") })
		b.router.runTimes.record("route", time.Second)
		began := time.Now()
		stop(t, b, 5*time.Second, 0)
		result := b.router.Begin(newRequest(longRoute(Repeatable, 3, false)))
		assert.Equal(t, result.Failure.Reason, ReasonStopping)
		assert.Check(t, !result.Failure.NotRun)
		assert.Equal(t, time.Since(began), 5*time.Second)
		for _, replica := range b.pool.group("s").replicas {
			backingOff, _ := replica.inBackoff(time.Now())
			assert.Check(t, !backingOff, "a replica is avoided though it has not failed")
		}
	})
}

// TestRunTimesAreRemembered checks for how long the runs of a route count, that a stream counts
// until it is closed, and that one which has not ended does so with its age.
func TestRunTimesAreRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(1, func(int, *Attempt) (*Reply, error) {
			reply, begun := streamReply(0, 0, io.EOF), time.Now()
			next := reply.NextEvent
			reply.NextEvent = func() (Event, error) {
				if time.Since(begun) < 4*time.Second {
					<-time.After(4 * time.Second)
				}
				return next()
			}
			return reply, nil
		})
		times := b.router.runTimes
		times.record("route", time.Second)
		result := b.router.Begin(modelRequest(longRoute(Streaming, 1, false), PromptPart{"a", 100}))
		<-time.After(2 * time.Second)
		longest, known := times.longest("route")
		assert.Check(t, known)
		assert.Equal(t, longest, 6*time.Second, "the age of the stream")
		_, err := drainStream(result.Stream)
		assert.ErrorIs(t, err, io.EOF)
		<-time.After(time.Second)
		longest, _ = times.longest("route")
		assert.Equal(t, longest, 6*time.Second, "the time until the stream was closed")
		_, known = times.longest("other")
		assert.Check(t, !known)
		usual, known := times.usual("route")
		assert.Check(t, known)
		assert.Equal(t, usual, time.Second, "one of many is longer")
		for i := range 2 * runSamples {
			times.end(&run{route: "route", begunAt: time.Now().Add(-time.Duration(i))}, true)
		}
		longest, _ = times.longest("route")
		assert.Equal(t, longest, time.Duration(2*runSamples-1), "only the latest count")
		<-time.After(maxRunAge)
		_, known = times.longest("route")
		assert.Check(t, !known, "runs are remembered for too long")
	})
}

// TestRunsThatCallersLeaveTellNoTime guards against requests that are passed on late in a planned stop and
// cut off at its end: runs that were cut short, as their callers had left, counted as short ones.
func TestRunsThatCallersLeaveTellNoTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := stoppingBed(t, func(int) time.Duration { return 9 * time.Second }, func(int) *Reply { return answerReply(200, "late") })
		for range minLongestRuns {
			gone := make(chan struct{})
			time.AfterFunc(100*time.Millisecond, func() { close(gone) })
			request := newRequest(longRoute(AtMostOnce, 1, false))
			request.CallerGone = gone
			assert.Equal(t, b.router.Begin(request).Failure.Reason, ReasonCallerGone)
		}
		stop(t, b, 5*time.Second, 0)
		began := len(b.attempts)
		result := b.router.Begin(newRequest(longRoute(AtMostOnce, 1, false)))
		assert.Equal(t, len(b.attempts), began, "a run of 9 s begins 5 s before the end")
		assert.Equal(t, result.Failure.Reason, ReasonStopping)
		assert.Check(t, result.Failure.NotRun)
	})
}
