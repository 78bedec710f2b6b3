package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// plainEnd says how an attempt at a plain server ends.
type plainEnd int

const (
	answers plainEnd = iota
	fails
	rejects
	isLost
	breaksOff
	isNotSent
	plainEnds
)

// plainScript says how a plain server behaves in one attempt.
type plainScript struct {
	end plainEnd
	// admitDelay is the time to the first byte of the request, delay that from there to the head of
	// the answer, bodyDelay that to the end of its body.
	admitDelay, delay, bodyDelay time.Duration
}

// plainPlay is a request to plain servers, of which each plays a script.
type plainPlay struct {
	scripts     []plainScript
	kind        RouteKind
	maxAttempts int
	// leavesAfter is when the caller leaves, 0 if it does not.
	leavesAfter time.Duration
	// spent is set if the retry budget is spent, warm if the router knows how long answers take.
	spent, warm bool
	// endsFirst is set for a router that ends a slow attempt before it looks for another one.
	endsFirst bool
}

// plainAttempt is one attempt of a play.
type plainAttempt struct {
	script  plainScript
	replica string
	// arrivedAt is when the request was sent, zero if it was not. workedUntil is when the server had
	// sent its answer or was lost, zero if it was still at work. answered is set once it has sent a
	// whole answer that is no failure.
	arrivedAt, workedUntil time.Time
	answered               bool
	// endedAt is when the router ended the attempt, zero if it did not.
	endedAt time.Time
	closed  bool
	// reads is set while the attempt may read the request.
	reads bool
	// holdsBody is set while the memory of the answer's body is taken.
	holdsBody bool
}

// plainServers plays the scripts of a play.
type plainServers struct {
	// mu guards the fields below.
	mu       sync.Mutex
	scripts  []plainScript
	attempts []*plainAttempt
}

// wait waits while a server is at work and returns false if the router ends the attempt meanwhile.
func (s *plainServers) wait(ctx context.Context, attempt *plainAttempt, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		attempt.endedAt = time.Now()
		return false
	}
}

// finish records that a server has done its work.
func (s *plainServers) finish(attempt *plainAttempt, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	attempt.workedUntil, attempt.answered = time.Now(), answered
}

func (s *plainServers) send(ctx context.Context, a *Attempt) (*Reply, error) {
	s.mu.Lock()
	attempt := &plainAttempt{replica: a.ReplicaID, reads: true}
	if len(s.scripts) > 0 {
		attempt.script, s.scripts = s.scripts[0], s.scripts[1:]
	}
	n := len(s.attempts)
	s.attempts = append(s.attempts, attempt)
	s.mu.Unlock()
	script := attempt.script
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		attempt.reads = false
	}()
	if !s.wait(ctx, attempt, script.admitDelay) {
		return nil, errors.Join(ErrNotSent, ctx.Err())
	}
	if script.end == isNotSent {
		return nil, ErrNotSent
	}
	if _, err := a.Admit(); err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	s.mu.Lock()
	attempt.arrivedAt = time.Now()
	s.mu.Unlock()
	if !s.wait(ctx, attempt, script.delay) {
		return nil, ctx.Err()
	}
	reply := answerReply(200, fmt.Sprint("answer ", n))
	switch script.end {
	case isLost:
		s.finish(attempt, false)
		return nil, errLost
	case fails:
		reply.Status = 500
	case rejects:
		reply = rejectionReply()
	}
	whole := reply.ReadBody
	reply.ReadBody = func() ([]byte, error) {
		if !s.wait(ctx, attempt, script.bodyDelay) {
			return nil, ctx.Err()
		}
		s.finish(attempt, script.end == answers)
		if script.end == breaksOff {
			return nil, errLost
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		attempt.holdsBody = true
		return whole()
	}
	reply.ReleaseBody = func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		attempt.holdsBody = false
	}
	if script.end == rejects {
		s.finish(attempt, false)
	}
	reply.Close = func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		attempt.closed = true
	}
	return reply, nil
}

// play sends the request of a play and returns what broke a promise, and when it was answered.
func (p plainPlay) play(t *testing.T) (violations []string, took time.Duration) {
	synctest.Test(t, func(*testing.T) {
		violate := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
		servers := &plainServers{scripts: p.scripts}
		b := newTestBed(8, nil)
		b.router.transport = Transport{Send: servers.send, Concurrent: !p.endsFirst}
		service := b.router.serviceState("s")
		for spent := p.spent; spent; {
			spent = service.budget.Spend()
		}
		request := newRequest(route(p.kind, p.maxAttempts, false))
		request.ContentKey = 7
		request.Route.Timeout = 20 * time.Second
		request.Deadline = request.Arrived.Add(request.Route.Timeout)
		for range minAnswerSamples {
			if p.warm {
				service.answerTimes.record(request.Route.Name, 10*time.Millisecond)
			}
		}
		gone := make(chan struct{})
		request.CallerGone = gone
		var left time.Time
		if p.leavesAfter > 0 {
			left = request.Arrived.Add(p.leavesAfter)
			time.AfterFunc(p.leavesAfter, func() { close(gone) })
		}
		request.CallerLeft = func() bool { return !left.IsZero() && !time.Now().Before(left) }
		result := b.router.Begin(request)
		ended := time.Now()
		took = ended.Sub(request.Arrived)
		servers.mu.Lock()
		for n, a := range servers.attempts {
			if a.reads {
				violate("attempt %d may read the request after its end", n)
			}
		}
		servers.mu.Unlock()
		result.Release()
		synctest.Wait()
		servers.mu.Lock()
		defer servers.mu.Unlock()

		over := request.Deadline
		if !left.IsZero() && left.Before(over) {
			over = left
		}
		runs, arrivals, inWindow := 0, 0, 0
		var firstAnswer time.Time
		for n, a := range servers.attempts {
			if !a.arrivedAt.IsZero() {
				arrivals++
				if a.arrivedAt.Sub(request.Arrived) < b.router.options.RetryBudget.Window {
					inWindow++
				}
				if a.script.end != rejects {
					runs++
				}
				if !a.arrivedAt.Before(over) {
					violate("attempt %d was sent after the end of the request", n)
				}
			}
			if a.answered && (firstAnswer.IsZero() || a.workedUntil.Before(firstAnswer)) {
				firstAnswer = a.workedUntil
			}
		}
		for n, a := range servers.attempts {
			sound := a.script.end == answers && !a.arrivedAt.IsZero()
			early := a.endedAt.Before(over) && (firstAnswer.IsZero() || a.endedAt.Before(firstAnswer))
			// An isolated request is recalled from all replicas.
			recalled := b.router.recorder.Counters()["recalled"] > 0 && b.router.isolator.Blocked(request.ContentKey, nil)
			if sound && !a.endedAt.IsZero() && early && !recalled {
				violate("attempt %d was ended %v after it was sent while its server was at work and no other had answered", n, a.endedAt.Sub(a.arrivedAt))
			}
			if !a.workedUntil.IsZero() && a.script.end != isLost && !a.closed {
				violate("attempt %d was left open", n)
			}
			if a.holdsBody {
				violate("the memory of the answer to attempt %d is not released", n)
			}
			replica := b.pool.ReplicaByID(a.replica)
			if running := replica.inFlight.Load(); running != 0 {
				violate("replica %s counts %d requests in flight", a.replica, running)
			}
			if backingOff, failureRate := replica.inBackoff(ended); sound && (backingOff || failureRate > 0) {
				violate("replica %s is sound and counts as failed", a.replica)
			}
		}
		if runs > max(1, p.maxAttempts) || p.kind == AtMostOnce && runs > 1 {
			violate("the request ran %d times", runs)
		}
		if retries := int(b.router.recorder.Counters()["retries"]); retries < arrivals-1 {
			violate("%d arrivals, but only %d retries were taken from the budget", arrivals, retries)
		}
		if p.spent && inWindow > 1 {
			violate("%d arrivals without a budget", inWindow)
		}
		if lost := b.router.recorder.Counters()["attempts.lost"]; b.router.isolator.Blocked(request.ContentKey, nil) && lost == 0 {
			violate("the request is isolated without a loss")
		}
		if len(b.router.waiting) > 0 {
			violate("%d requests are left as waiting", len(b.router.waiting))
		}
		switch {
		case result.Failure != nil && result.Failure.NotRun && runs > 0:
			violate("the request is said not to have run, but did")
		case result.Failure != nil && !firstAnswer.IsZero() && firstAnswer.Before(over.Add(-time.Millisecond)):
			violate("the request fails although it was answered: %v", result.Failure)
		case result.Failure == nil && result.Reply.Status < 300:
			n := 0
			_, err := fmt.Sscanf(string(result.Body), "answer %d", &n)
			if err != nil || !servers.attempts[n].answered {
				violate("the answer %q is not that of a replica", result.Body)
			}
			if ended.After(firstAnswer) {
				violate("the answer was held back for %v", ended.Sub(firstAnswer))
			}
		}
	})
	return violations, took
}

// drawPlay draws a play of servers that are sound, slow, lost before the head or in the body, that
// reject, fail, or are not reached, in any order.
func drawPlay(t *rapid.T) plainPlay {
	delay := rapid.SampledFrom([]time.Duration{0, 10 * time.Millisecond, 1199 * time.Millisecond, 1201 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond, 9 * time.Second, time.Hour})
	p := plainPlay{
		kind: rapid.SampledFrom([]RouteKind{Repeatable, Repeatable, Repeatable, AtMostOnce}).Draw(t, "kind"), maxAttempts: rapid.IntRange(1, 4).Draw(t, "maxAttempts"),
		spent: rapid.IntRange(0, 5).Draw(t, "spent") == 0, warm: rapid.Bool().Draw(t, "warm"),
		leavesAfter: rapid.SampledFrom([]time.Duration{0, 0, 0, time.Second, 1300 * time.Millisecond, 3 * time.Second, 10 * time.Second}).Draw(t, "leaves"),
	}
	for range rapid.IntRange(1, 6).Draw(t, "attempts") {
		p.scripts = append(p.scripts, plainScript{
			end: plainEnd(rapid.IntRange(0, int(plainEnds)-1).Draw(t, "end")), delay: delay.Draw(t, "delay"),
			admitDelay: rapid.SampledFrom([]time.Duration{0, 0, 5 * time.Millisecond, 1300 * time.Millisecond}).Draw(t, "admit"),
			bodyDelay:  rapid.SampledFrom([]time.Duration{0, 0, 20 * time.Millisecond, 2 * time.Second}).Draw(t, "body"),
		})
	}
	return p
}

// TestSlowPlainReplicaIsKeptUntilAnotherAnswers guards against requests that fail, or wait for a second
// run, because their replica was slow (LOST, BUDGET): whatever the replicas do, no sound one is
// given up before another has answered.
func TestSlowPlainReplicaIsKeptUntilAnotherAnswers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlay(rt)
		if violations, _ := p.play(t); len(violations) > 0 {
			rt.Fatalf("%+v:\n%s", p, strings.Join(violations, "\n"))
		}
	})
}

// TestCheckOfSlowReplicasCatchesEarlyEnd shows that the check above catches a router that ends a slow
// attempt first and looks for another one then.
func TestCheckOfSlowReplicasCatchesEarlyEnd(t *testing.T) {
	p := plainPlay{kind: Repeatable, maxAttempts: 2, scripts: []plainScript{{delay: 2 * time.Second}, {delay: 9 * time.Second}}, endsFirst: true}
	violations, took := p.play(t)
	assert.Check(t, len(violations) > 0)
	assert.Check(t, took > 9*time.Second)
	p.endsFirst = false
	violations, took = p.play(t)
	assert.DeepEqual(t, violations, []string(nil))
	assert.Equal(t, took, 2*time.Second)
}

// TestSlowAnswersThatNoOtherCanBeat guards against a retry budget that slow replicas use up (BUDGET): all
// take nine seconds, or no time is left for another answer, and no second one is asked.
func TestSlowAnswersThatNoOtherCanBeat(t *testing.T) {
	for _, tc := range []struct {
		name        string
		usual, left time.Duration
		attempts    int
	}{
		{"all are slow", 9 * time.Second, 20 * time.Second, 1},
		{"only this one is slow", 10 * time.Millisecond, 20 * time.Second, 2},
		{"slower than any other", 2 * time.Second, 20 * time.Second, 2},
		{"too little time is left", 2 * time.Second, 3500 * time.Millisecond, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestBed(4, nil)
				servers := &plainServers{scripts: []plainScript{{delay: 9 * time.Second}, {delay: 10 * time.Millisecond}}}
				b.router.transport = Transport{Send: servers.send, Concurrent: true}
				request := newRequest(route(Repeatable, 2, false))
				request.Deadline = request.Arrived.Add(tc.left)
				for range minAnswerSamples {
					b.router.serviceState("s").answerTimes.record("route", tc.usual)
				}
				b.router.Begin(request)
				assert.Equal(t, len(servers.attempts), tc.attempts)
			})
		})
	}
}

// slowFleetTime is how long slowFleet sends requests.
const slowFleetTime = 30 * time.Second

// slowFleet sends requests to eight replicas, whose time for an answer depends on
// the replica and the moment, and returns what came of them. Requests are sent once more at most.
func slowFleet(work func(replica string, since time.Duration) time.Duration) (arrivals map[string]int, again []time.Duration, failed int, mean time.Duration) {
	const interval = 20 * time.Millisecond
	const requests = int(slowFleetTime / interval)
	b := newTestBed(8, nil)
	began := time.Now()
	var mu sync.Mutex
	arrivals = map[string]int{}
	seen := map[string]bool{}
	b.router.transport = Transport{Concurrent: true, Send: func(ctx context.Context, a *Attempt) (*Reply, error) {
		if _, err := a.Admit(); err != nil {
			return nil, err
		}
		since := time.Since(began)
		mu.Lock()
		arrivals[a.ReplicaID]++
		if seen[a.Request.ID] {
			again = append(again, since)
		}
		seen[a.Request.ID] = true
		mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(work(a.ReplicaID, since)):
			return answerReply(200, "ok"), nil
		}
	}}
	var tasks sync.WaitGroup
	for n := range requests {
		tasks.Go(func() {
			request := newRequest(route(Repeatable, 2, false))
			request.ID = fmt.Sprint("q", n)
			request.Deadline = request.Arrived.Add(12 * time.Second)
			result := b.router.Begin(request)
			mu.Lock()
			defer mu.Unlock()
			mean += time.Since(request.Arrived) / time.Duration(requests)
			if result.Failure != nil {
				failed++
			}
		})
		<-time.After(interval)
	}
	tasks.Wait()
	return arrivals, again, failed, mean
}

// TestSlowFleetKeepsItsRetries guards against daemons that spend the whole retry budget as long as all
// replicas are slow (BUDGET): once the first slow answers have come, no request is sent again.
func TestSlowFleetKeepsItsRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slowFrom, slowTime = 5 * time.Second, 5 * time.Second
		_, again, failed, mean := slowFleet(func(_ string, since time.Duration) time.Duration {
			if since > slowFrom {
				return slowTime
			}
			return 10 * time.Millisecond
		})
		late := 0
		for _, at := range again {
			if at > slowFrom+slowTime+time.Second {
				late++
			}
		}
		t.Logf("sent again: %d, of these %d after the first slow answers; failed %d, mean %v", len(again), late, failed, mean)
		assert.Equal(t, failed, 0)
		assert.Equal(t, late, 0)
	})
}

// TestSilentPlainReplicaGetsFewRequests has one of eight replicas answer late or never: it is passed
// over although it does not count as failed, and tried again one request at a time.
func TestSilentPlainReplicaGetsFewRequests(t *testing.T) {
	for _, work := range []time.Duration{3 * time.Second, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			arrivals, again, failed, mean := slowFleet(func(replica string, _ time.Duration) time.Duration {
				if replica == "i-0" {
					return work
				}
				return 10 * time.Millisecond
			})
			t.Logf("after %v: %d requests reached the slow replica, sent again %d, failed %d, mean %v", work, arrivals["i-0"], len(again), failed, mean)
			assert.Equal(t, failed, 0)
			oneAtATime := int(slowFleetTime / (replyTimeoutTargets * newRequest(route(Repeatable, 2, false)).Route.LatencyTarget))
			assert.Check(t, arrivals["i-0"] > 1 && arrivals["i-0"] < oneAtATime)
		})
	}
}

// TestStreamOfTheSecondReplicaGoesOn guards against events that come twice: a stream without a prompt
// begins at the replica that was asked second, and is resumed behind what that has sent.
func TestStreamOfTheSecondReplicaGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(4, nil)
		var attempts atomic.Int32
		b.router.transport = Transport{Concurrent: true, Send: func(ctx context.Context, a *Attempt) (*Reply, error) {
			switch attempts.Add(1) {
			case 1:
				<-ctx.Done()
				return nil, ctx.Err()
			case 2:
				return streamReply(0, 1, errLost), nil
			}
			assert.Check(t, a.LastEventID == 1)
			return streamReply(2, 4, io.EOF), nil
		}}
		result := b.router.Begin(newRequest(route(Streaming, 3, true)))
		ids, err := drainStream(result.Stream)
		assert.ErrorIs(t, err, io.EOF)
		assert.DeepEqual(t, ids, []int64{0, 1, 2, 3, 4})
		assert.Equal(t, attempts.Load(), int32(3))
		assert.Check(t, result.Stream.dispatch.ctx.Err() != nil, "the request is left open")
	})
}
