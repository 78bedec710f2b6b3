package sidecar

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/limiter"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/cyclamenward/cyclamenward/timekeeper"
)

// job is one admitted attempt and the answer collected so far.
type job struct {
	request *link.Request
	cancel  context.CancelFunc

	// mu guards the fields below.
	mu sync.Mutex
	// admittedFrame is the Admitted frame of a model request, nil until the engine admits
	// it.
	admittedFrame *link.Frame
	// tokens holds the answer of a model request from index request.FirstTokenIndex on.
	tokens []string
	// finalFrame ends the answer; nil while the attempt runs. Once set it never changes.
	finalFrame *link.Frame
	// endedAt is when finalFrame was set.
	endedAt time.Time
	// readers counts the attached streams.
	readers int
	// detachedAt is when a reader last detached, or when the job was created.
	detachedAt time.Time
	// changed is closed and replaced whenever admittedFrame, tokens or finalFrame change.
	changed chan struct{}
}

// notify wakes the readers. The caller holds mu.
func (j *job) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}

func (j *job) setAdmitted(frame *link.Frame) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.admittedFrame = frame
	j.notify()
}

// addToken appends a token and returns false if its index is not the next one.
func (j *job) addToken(index int, text string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if index != j.request.FirstTokenIndex+len(j.tokens) {
		return false
	}
	j.tokens = append(j.tokens, text)
	j.notify()
	return true
}

// tokenCount returns the number of tokens of the whole answer so far, including those
// before request.FirstTokenIndex.
func (j *job) tokenCount() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.request.FirstTokenIndex + len(j.tokens)
}

// setFinal ends the answer, unless it has ended before.
func (j *job) setFinal(frame *link.Frame, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.finalFrame != nil {
		return
	}
	j.finalFrame = frame
	j.endedAt = now
	j.notify()
}

// jobSnapshot is the state of a job as one of its readers sees it: the frames, the tokens
// not sent yet, and the channel that is closed at the next change.
type jobSnapshot struct {
	admittedFrame *link.Frame
	tokens        []string
	finalFrame    *link.Frame
	changed       <-chan struct{}
}

// snapshot returns the state of the job with the tokens from index on.
func (j *job) snapshot(index int) jobSnapshot {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := jobSnapshot{admittedFrame: j.admittedFrame, finalFrame: j.finalFrame, changed: j.changed}
	if skip := index - j.request.FirstTokenIndex; skip >= 0 && skip < len(j.tokens) {
		s.tokens = j.tokens[skip:]
	}
	return s
}

func (j *job) attach() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readers++
}

func (j *job) detach(now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readers--
	j.detachedAt = now
}

// relay sends the answer from token index on until its end. It returns an error if the
// connection is lost or the peer cancels the stream.
func (j *job) relay(stream *link.Stream, index int) error {
	sentAdmitted := false
	for {
		s := j.snapshot(index)
		if s.admittedFrame != nil && !sentAdmitted {
			if err := stream.Send(s.admittedFrame); err != nil {
				return err
			}
			sentAdmitted = true
		}
		for _, text := range s.tokens {
			frame := &link.Frame{Kind: link.Token, RequestID: j.request.RequestID, AttemptID: j.request.AttemptID, Index: index, Text: text}
			if err := stream.Send(frame); err != nil {
				return err
			}
			index++
		}
		if s.finalFrame != nil {
			return stream.Send(s.finalFrame)
		}
		select {
		case <-s.changed:
		case <-stream.Context().Done():
			return fmt.Errorf("stream: %w", context.Cause(stream.Context()))
		}
	}
}

// jobTable holds the running and the recently ended jobs.
type jobTable struct {
	clock timekeeper.Clock
	// running counts the jobs without a final frame.
	running *limiter.WaitGroup

	// mu guards byAttempt.
	mu sync.Mutex
	// byAttempt maps attempt IDs to all running jobs and those that ended within
	// answerRetention.
	byAttempt map[string]*job
}

func newJobTable(clock timekeeper.Clock) *jobTable {
	return &jobTable{clock: clock, running: limiter.NewWaitGroup(), byAttempt: make(map[string]*job)}
}

// add creates the job of an admitted attempt.
func (t *jobTable) add(request *link.Request, cancel context.CancelFunc) *job {
	j := &job{request: request, cancel: cancel, changed: make(chan struct{}), detachedAt: t.clock.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byAttempt[request.AttemptID] = j
	t.running.Add()
	return j
}

// get returns the job of an attempt, or nil.
func (t *jobTable) get(attempt string) *job {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byAttempt[attempt]
}

// end records the final frame of a job.
func (t *jobTable) end(j *job, frame *link.Frame) {
	j.setFinal(frame, t.clock.Now())
	t.running.Done()
}

// sweep removes jobs whose answer was held for answerRetention, and cancels model
// requests that had no reader for detachedTimeout.
func (t *jobTable) sweep() {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for attempt, j := range t.byAttempt {
		j.mu.Lock()
		if j.finalFrame != nil && now.Sub(j.endedAt) > answerRetention {
			delete(t.byAttempt, attempt)
		}
		if j.finalFrame == nil && j.request.Kind == link.Infer && j.readers == 0 && now.Sub(j.detachedAt) > detachedTimeout {
			j.cancel()
		}
		j.mu.Unlock()
	}
}

func (t *jobTable) cancelAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, j := range t.byAttempt {
		j.cancel()
	}
}

func (t *jobTable) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byAttempt)
}
