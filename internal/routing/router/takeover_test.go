package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	scriptedEvents      = 12
	scriptedMaxAttempts = 3
)

// streamScript says how a replica behaves in one attempt.
type streamScript struct {
	// headDelay is the time to the first event, pauses that before each later one.
	headDelay time.Duration
	pauses    []time.Duration
	// breakAt is the number of events after which the replica is lost, -1 if it is not.
	breakAt  int
	rejected bool
	// lost is set if the replica is lost before the head of its answer.
	lost bool
}

// scriptedReplicas plays scripts and records what breaks the promises of a stream.
type scriptedReplicas struct {
	// timeout is the silence after which reads fail, 0 for none: a router that ends a silent
	// attempt before it looks for another one.
	timeout time.Duration

	// mu guards the fields below.
	mu      sync.Mutex
	scripts []streamScript
	// open holds all attempts, in the order in which they began.
	open       []*scriptedStream
	violations []string
	// runs is the number of attempts that may have run, reached the replicas that got one.
	runs    int
	reached map[string]bool
}

// scriptedStream is one attempt at a replica.
type scriptedStream struct {
	ended  bool
	closed chan struct{}
	once   sync.Once
	// sent is the ID of the last event.
	sent int64
}

// begin plays the next script for an attempt.
func (s *scriptedReplicas) begin(ctx context.Context, a *Attempt) (*Reply, error) {
	if _, err := a.Admit(); err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	s.mu.Lock()
	script := streamScript{breakAt: -1}
	if len(s.scripts) > 0 {
		script, s.scripts = s.scripts[0], s.scripts[1:]
	}
	stream := &scriptedStream{closed: make(chan struct{}), sent: a.LastEventID}
	s.open = append(s.open, stream)
	if s.reached == nil {
		s.reached = make(map[string]bool)
	}
	s.reached[a.ReplicaID] = true
	if !script.rejected {
		s.runs++
	}
	s.mu.Unlock()
	switch {
	case script.rejected:
		stream.ended = true
		return rejectionReply(), nil
	case script.lost:
		stream.ended = true
		return nil, errLost
	}
	reply := answerReply(200, "")
	wait := func(d time.Duration) error {
		var silence <-chan time.Time
		if s.timeout > 0 && stream.sent > a.LastEventID {
			silence = time.After(s.timeout)
		}
		select {
		case <-time.After(d):
			return nil
		case <-silence:
			return errors.New("silent")
		case <-ctx.Done():
			return ctx.Err()
		case <-stream.closed:
			return errors.New("closed")
		}
	}
	count := 0
	reply.NextEvent = func() (Event, error) {
		pause := time.Duration(0)
		if count == 0 {
			pause = script.headDelay
		} else if count <= len(script.pauses) {
			pause = script.pauses[count-1]
		}
		if err := wait(pause); err != nil {
			return Event{}, err
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if count == script.breakAt {
			stream.ended = true
			return Event{}, errLost
		}
		if stream.sent == scriptedEvents {
			stream.ended = true
			return Event{}, io.EOF
		}
		count++
		stream.sent++
		return Event{Raw: []byte(fmt.Sprint(stream.sent)), ID: stream.sent}, nil
	}
	reply.Close = func() {
		stream.once.Do(func() {
			close(stream.closed)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.checkClose(stream)
		})
	}
	return reply, nil
}

// checkClose records a violation if a sound attempt was ended though no other had gone further.
func (s *scriptedReplicas) checkClose(closed *scriptedStream) {
	if closed.ended {
		return
	}
	for _, other := range s.open {
		if other != closed && other.sent > closed.sent || other.sent == scriptedEvents {
			return
		}
	}
	s.violations = append(s.violations, fmt.Sprintf("an attempt was ended after event %d while its replica was at work and no other continued", closed.sent))
}

// silencePlay plays scripts against a router.
type silencePlay struct {
	scripts []streamScript
	timeout time.Duration
	// maxReplicas is the limit of the route, 0 for none.
	maxReplicas int
}

// playSilence plays scripts against a router and returns what broke a promise.
func playSilence(t *testing.T, scripts []streamScript, timeout time.Duration) []string {
	return silencePlay{scripts: scripts, timeout: timeout}.run(t)
}

// run returns what broke a promise.
func (p silencePlay) run(t *testing.T) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		replicas := &scriptedReplicas{scripts: p.scripts, timeout: p.timeout}
		b := newTestBed(6, nil)
		b.router.transport = Transport{Send: replicas.begin, Concurrent: p.timeout == 0}
		request := modelRequest(route(Streaming, scriptedMaxAttempts, true), PromptPart{"a", 100})
		request.Route.MaxReplicas = p.maxReplicas
		request.Route.Timeout = time.Hour
		request.Deadline = request.Arrived.Add(time.Hour)
		result := b.router.Begin(request)
		if result.Stream == nil {
			return
		}
		expected := int64(0)
		for {
			event, err := result.Stream.Next()
			if err != nil {
				if complete := errors.Is(err, io.EOF); complete && expected != scriptedEvents+1 {
					violations = append(violations, fmt.Sprintf("the stream ends as complete before event %d", expected))
				}
				break
			}
			if event.ID != expected {
				violations = append(violations, fmt.Sprintf("event %d comes instead of %d", event.ID, expected))
			}
			expected = event.ID + 1
		}
		result.Stream.Close()
		synctest.Wait()
		replicas.mu.Lock()
		defer replicas.mu.Unlock()
		violations = append(violations, replicas.violations...)
		if retries := int(b.router.recorder.Counters()["retries"]); retries < len(replicas.open)-1 {
			violations = append(violations, fmt.Sprintf("%d attempts, but only %d retries were taken from the budget", len(replicas.open), retries))
		}
		if reached := len(replicas.reached); p.maxReplicas > 0 && reached > p.maxReplicas {
			violations = append(violations, fmt.Sprintf("the request reaches %d replicas of %d", reached, p.maxReplicas))
		}
		if replicas.runs > scriptedMaxAttempts {
			violations = append(violations, fmt.Sprintf("the request runs %d times", replicas.runs))
		}
		for i, stream := range replicas.open {
			select {
			case <-stream.closed:
			default:
				if !stream.ended {
					violations = append(violations, fmt.Sprintf("attempt %d is left open", i))
				}
			}
		}
	})
	return violations
}

// drawScripts draws the behaviour of up to four attempts: pauses shorter and longer than the silence
// after which another replica is asked, losses at any event, and rejections.
func drawScripts(t *rapid.T) []streamScript {
	pause := rapid.SampledFrom([]time.Duration{0, 10 * time.Millisecond, silenceTimeout - time.Millisecond, silenceTimeout + time.Millisecond, 1800 * time.Millisecond, 4 * time.Second})
	scripts := make([]streamScript, rapid.IntRange(1, 6).Draw(t, "attempts"))
	for i := range scripts {
		scripts[i] = streamScript{
			headDelay: pause.Draw(t, "head"), pauses: rapid.SliceOfN(pause, 0, scriptedEvents).Draw(t, "pauses"),
			breakAt: rapid.IntRange(-1, scriptedEvents).Draw(t, "break"), rejected: i > 0 && rapid.IntRange(0, 5).Draw(t, "rejected") == 0,
			lost: i > 0 && rapid.IntRange(0, 3).Draw(t, "lost") == 0,
		}
	}
	return scripts
}

// TestSilentStreamIsKeptUntilAnotherContinues guards against streams that are cut because their
// replica is silent for a while (LOST): under pauses, losses and rejections in any order no
// attempt ends while its replica is at work and no other has gone further, and events come
// once and in order.
func TestSilentStreamIsKeptUntilAnotherContinues(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if violations := playSilence(t, drawScripts(rt), 0); len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}

// TestCheckOfSilentStreamsCatchesEarlyEnd shows that the check above catches a router that ends a
// silent attempt first and looks for another one then.
func TestCheckOfSilentStreamsCatchesEarlyEnd(t *testing.T) {
	scripts := []streamScript{{pauses: []time.Duration{0, 1800 * time.Millisecond}, breakAt: -1}}
	assert.Check(t, len(playSilence(t, scripts, silenceTimeout)) > 0)
	assert.Check(t, len(playSilence(t, scripts, 0)) == 0)
}

// TestSilentStreamGoesOnWithoutAnother is the case of the review: the only replica that could take the
// stream has no room, and the silent one goes on after 1.8 s. It is whole, and the replica is not
// avoided.
func TestSilentStreamGoesOnWithoutAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := &scriptedReplicas{scripts: []streamScript{{pauses: []time.Duration{0, 1800 * time.Millisecond}, breakAt: -1}, {rejected: true}}}
		b := newTestBed(2, nil)
		b.router.transport = Transport{Send: replicas.begin, Concurrent: true}
		result := b.router.Begin(modelRequest(route(Streaming, 2, true), PromptPart{"a", 100}))
		silent := result.Stream.dispatch.choice.replica
		ids, err := drainStream(result.Stream)
		assert.ErrorIs(t, err, io.EOF)
		assert.Equal(t, len(ids), scriptedEvents+1)
		backingOff, _ := silent.inBackoff(time.Now())
		assert.Check(t, !backingOff)
	})
}

// TestSilentStreamIsTakenOver has a replica stop answering in a stream: another one continues it within
// the caller's timeout, and the exchange with the first is closed.
func TestSilentStreamIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := &scriptedReplicas{scripts: []streamScript{{pauses: []time.Duration{0, time.Hour}, breakAt: -1}, {headDelay: 100 * time.Millisecond, breakAt: -1}}}
		b := newTestBed(2, nil)
		b.router.transport = Transport{Send: replicas.begin, Concurrent: true}
		began := time.Now()
		ids, err := drainStream(b.router.Begin(modelRequest(route(Streaming, 2, true), PromptPart{"a", 100})).Stream)
		assert.ErrorIs(t, err, io.EOF)
		assert.Equal(t, len(ids), scriptedEvents+1)
		assert.Equal(t, time.Since(began), silenceTimeout+100*time.Millisecond)
		synctest.Wait()
		<-replicas.open[0].closed
	})
}

// TestRunsOfATakeUpThatIsCutShortCount guards against a request that runs at more replicas than its route
// allows (BUDGET): of a take-up that the silent replica ended by going on, one attempt counted,
// however many it had made.
func TestRunsOfATakeUpThatIsCutShortCount(t *testing.T) {
	silent := streamScript{pauses: []time.Duration{0, 4 * time.Second, time.Second}, breakAt: 3}
	assert.DeepEqual(t, playSilence(t, []streamScript{silent, {lost: true}, {headDelay: time.Hour}, {breakAt: -1}}, 0), []string(nil))
}
