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
	// first is the Admitted frame of a model request, nil until it is known.
	first *link.Frame
	// tokens holds the answer of a model request from index request.From on.
	tokens []string
	// final ends the answer; nil while the attempt runs. It never changes again.
	final *link.Frame
	// ended is when final was set.
	ended time.Time
	// readers counts the attached connections.
	readers int
	// alone is when readers last became zero.
	alone time.Time
	// changed is closed and replaced whenever first, tokens or final change.
	changed chan struct{}
}

// notify wakes the readers. The caller holds mu.
func (j *job) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}

func (j *job) begin(first *link.Frame) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.first = first
	j.notify()
}

// add appends the token with the given index and reports whether it was the next.
func (j *job) add(index int, text string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if index != j.request.FirstTokenIndex+len(j.tokens) {
		return false
	}
	j.tokens = append(j.tokens, text)
	j.notify()
	return true
}

// total returns the number of tokens of the answer so far.
func (j *job) total() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.request.FirstTokenIndex + len(j.tokens)
}

func (j *job) finish(final *link.Frame, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.final != nil {
		return
	}
	j.final = final
	j.ended = now
	j.notify()
}

// view is what a reader has to send next.
type view struct {
	first   *link.Frame
	tokens  []string
	final   *link.Frame
	changed <-chan struct{}
}

// read returns what follows index.
func (j *job) read(index int) view {
	j.mu.Lock()
	defer j.mu.Unlock()
	v := view{first: j.first, final: j.final, changed: j.changed}
	if skip := index - j.request.FirstTokenIndex; skip >= 0 && skip < len(j.tokens) {
		v.tokens = j.tokens[skip:]
	}
	return v
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
	j.alone = now
}

// relay sends the answer from index on until its end. It returns an error if the
// connection is lost or the other side gives up.
func (j *job) relay(stream *link.Stream, index int) error {
	sentFirst := false
	for {
		v := j.read(index)
		if v.first != nil && !sentFirst {
			if err := stream.Send(v.first); err != nil {
				return err
			}
			sentFirst = true
		}
		for _, text := range v.tokens {
			frame := &link.Frame{Kind: link.Token, RequestID: j.request.RequestID, AttemptID: j.request.AttemptID, Index: index, Text: text}
			if err := stream.Send(frame); err != nil {
				return err
			}
			index++
		}
		if v.final != nil {
			return stream.Send(v.final)
		}
		select {
		case <-v.changed:
		case <-stream.Context().Done():
			return fmt.Errorf("stream: %w", context.Cause(stream.Context()))
		}
	}
}

// jobs holds the running and recently ended jobs.
type jobs struct {
	clock timekeeper.Clock
	// running counts the jobs without a final frame.
	running *limiter.Gauge

	// mu guards byAttempt.
	mu sync.Mutex
	// byAttempt holds every running job and those that ended within keepAnswer.
	byAttempt map[string]*job
}

func newJobs(clock timekeeper.Clock) *jobs {
	return &jobs{clock: clock, running: limiter.NewGauge(), byAttempt: make(map[string]*job)}
}

// add makes the job of an admitted attempt.
func (js *jobs) add(request *link.Request, cancel context.CancelFunc) *job {
	j := &job{request: request, cancel: cancel, changed: make(chan struct{}), alone: js.clock.Now()}
	js.mu.Lock()
	defer js.mu.Unlock()
	js.byAttempt[request.AttemptID] = j
	js.running.Add()
	return j
}

func (js *jobs) get(attempt string) *job {
	js.mu.Lock()
	defer js.mu.Unlock()
	return js.byAttempt[attempt]
}

// end records the final frame of a job.
func (js *jobs) end(j *job, final *link.Frame) {
	j.finish(final, js.clock.Now())
	js.running.Done()
}

// sweep drops ended jobs and cancels model requests that nobody is attached to.
func (js *jobs) sweep() {
	now := js.clock.Now()
	js.mu.Lock()
	defer js.mu.Unlock()
	for attempt, j := range js.byAttempt {
		j.mu.Lock()
		if j.final != nil && now.Sub(j.ended) > keepAnswer {
			delete(js.byAttempt, attempt)
		}
		if j.final == nil && j.request.Kind == link.Infer && j.readers == 0 && now.Sub(j.alone) > attachWindow {
			j.cancel()
		}
		j.mu.Unlock()
	}
}

func (js *jobs) cancelAll() {
	js.mu.Lock()
	defer js.mu.Unlock()
	for _, j := range js.byAttempt {
		j.cancel()
	}
}

func (js *jobs) len() int {
	js.mu.Lock()
	defer js.mu.Unlock()
	return len(js.byAttempt)
}
