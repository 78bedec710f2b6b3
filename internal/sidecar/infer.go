package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/cyclamenward/cyclamenward/admitter"
	"github.com/cyclamenward/cyclamenward/chainer"
	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/limiter"
	"github.com/cyclamenward/cyclamenward/peer/engine"
	"github.com/cyclamenward/cyclamenward/peer/link"
)

// firstTokenSlack is added to the expected time before an engine counts as silent.
const firstTokenSlack = 5 * time.Second

// inference is one admitted model request.
type inference struct {
	job       *job
	scope     chainer.Scope
	chain     []chainer.Hash
	workspace *decoder.Workspace
	model     *decoder.Model
	// incarnation is the engine that the request was admitted for.
	incarnation string
	// total is the number of prompt tokens, and depth the number of leading
	// blocks that the engine's events show as cached.
	total, depth int
	// missing is the number of prompt tokens that are not known to be cached.
	missing int
}

// infer admits and runs a model request and relays its answer.
func (s *Sidecar) infer(ctx context.Context, request *link.Request, stream *link.Stream) {
	document := s.checkRequest(ctx, request, stream)
	if document == nil {
		return
	}
	work := s.checkInference(request, stream, document)
	if work == nil || !s.admit(request, stream) {
		return
	}
	runCtx, cancel := context.WithTimeout(context.Background(), request.Remaining)
	work.job = s.jobs.add(request, cancel)
	go func() {
		defer cancel()
		s.generate(runCtx, work)
	}()
	s.follow(ctx, work.job, stream, request.FirstTokenIndex)
}

// checkInference makes the checks of a model request. It answers the attempt
// itself and returns nil if the attempt must not run.
func (s *Sidecar) checkInference(request *link.Request, stream *link.Stream, document *decoder.Document) *inference {
	state := s.state.Load()
	waiting, running := s.queue.Len()
	switch {
	case request.Infer == nil || document.Model == nil:
		s.refuse(request, stream, link.CodeBadRequest, "not a model request", 0)
		return nil
	case state == nil || state.Loading:
		s.refuse(request, stream, link.CodeBackendServerFailed, "engine is not serving", busyRetry)
		return nil
	case request.Infer.WeightsVersion != state.WeightsVersion:
		s.refuse(request, stream, link.CodeWeightsNotServed, "engine serves "+state.WeightsVersion, 0)
		return nil
	case waiting+running >= document.Model.QueueLimit:
		s.refuse(request, stream, link.CodeQueueFull, "queue is full", busyRetry)
		return nil
	}
	work := s.plan(request, document, state.Incarnation)
	backlog := s.queue.Cost() + s.prefills.tokens()
	wait := expectedWait(backlog+work.missing, document.Model)
	if wait > request.Remaining {
		s.refuse(request, stream, link.CodeDeadlineTooShort, "expected wait "+wait.Round(time.Millisecond).String(), wait)
		return nil
	}
	return work
}

// plan works out what of the prompt has to be computed.
func (s *Sidecar) plan(request *link.Request, document *decoder.Document, incarnation string) *inference {
	infer := request.Infer
	scope := chainer.Scope{Workspace: request.Workspace, Model: infer.Model, Adapter: infer.Adapter, WeightsVersion: infer.WeightsVersion}
	work := &inference{
		scope:       scope,
		chain:       chainer.Chain(nil, scope, infer.Prompt),
		workspace:   findWorkspace(document, request.Workspace),
		model:       document.Model,
		incarnation: incarnation,
	}
	work.depth, _ = s.cacheIndex.Depth(incarnation, work.chain)
	work.total = chainer.EstimateTokens(len(infer.Prompt))
	work.missing = max(1, work.total-s.prefills.depth(work.chain, work.depth)*chainer.BlockTokens)
	return work
}

// expectedWait estimates the time to the first token behind so much prefill.
func expectedWait(tokens int, model *decoder.Model) time.Duration {
	return time.Duration(float64(tokens) / float64(model.PrefillTokensPerSecond) * float64(time.Second))
}

// generate runs an admitted request to its end.
func (s *Sidecar) generate(ctx context.Context, work *inference) {
	request := work.job.request
	missing, leave, err := s.prefills.enter(ctx, work.chain, work.total, work.depth)
	if err != nil {
		s.fail(work.job, admitter.NotRun, link.CodeDeadlineTooShort, err)
		return
	}
	defer leave(false)
	item := limiter.Item{Workspace: request.Workspace, Share: work.workspace.Share, Cost: missing, Priority: request.Priority}
	if err := s.queue.Acquire(ctx, item); err != nil {
		s.fail(work.job, admitter.NotRun, link.CodeDeadlineTooShort, err)
		return
	}
	defer s.queue.Release()
	err = s.engine.Generate(ctx, generation(work), s.firstLimit(work), func(event *engine.Event) error {
		return s.receive(work, event, leave)
	})
	switch {
	case err == nil:
	case errors.Is(err, engine.ErrRefused) || errors.Is(err, engine.ErrNotSent):
		s.wakeEngineLoop()
		s.fail(work.job, admitter.NotRun, link.CodeBackendServerFailed, err)
	default:
		s.wakeEngineLoop()
		s.fail(work.job, admitter.Unknown, link.CodeBackendServerFailed, err)
	}
}

// firstLimit is how long the engine may be silent before the first token: twice
// what its whole work in hand is expected to take, and some seconds.
func (s *Sidecar) firstLimit(work *inference) time.Duration {
	return firstTokenSlack + 2*expectedWait(s.prefills.tokens()+work.total, work.model)
}

func generation(work *inference) *engine.Generation {
	infer := work.job.request.Infer
	return &engine.Generation{
		RequestID:      work.job.request.AttemptID,
		Model:          infer.Model,
		Adapter:        infer.Adapter,
		WeightsVersion: infer.WeightsVersion,
		Incarnation:    work.incarnation,
		CacheSalt:      work.scope.Seed().String(),
		Prompt:         infer.Prompt,
		MaxTokens:      infer.MaxTokens,
		From:           work.job.request.FirstTokenIndex,
		Generated:      infer.Generated,
		Priority:       work.job.request.Priority,
	}
}

// receive takes one event of the engine. prefilled is called once the prompt has
// been computed.
func (s *Sidecar) receive(work *inference, event *engine.Event, prefilled func(computed bool)) error {
	request := work.job.request
	switch event.Type {
	case "admitted":
		if event.Incarnation != work.incarnation || event.WeightsVersion != request.Infer.WeightsVersion {
			return engine.ErrCrossed
		}
		s.metrics.cachedBlocks.Add(int64(event.CachedBlocks))
		s.metrics.promptBlocks.Add(int64(len(work.chain)))
		work.job.begin(s.admitted(request, event))
	case "token":
		prefilled(true)
		if !work.job.add(event.Index, event.Text) {
			return engine.ErrBroken
		}
	case "end":
		if event.Index != work.job.total() {
			return engine.ErrBroken
		}
		s.succeed(work.job)
	}
	return nil
}

func (s *Sidecar) admitted(request *link.Request, event *engine.Event) *link.Frame {
	return &link.Frame{
		Kind:           link.Admitted,
		RequestID:      request.RequestID,
		AttemptID:      request.AttemptID,
		WeightsVersion: event.WeightsVersion,
		Status:         s.status(),
	}
}

// succeed ends a model request with a whole answer.
func (s *Sidecar) succeed(j *job) {
	s.table.Finish(j.request.AttemptID, admitter.Answered)
	s.metrics.answered.Add(1)
	s.jobs.end(j, &link.Frame{
		Kind:      link.End,
		RequestID: j.request.RequestID,
		AttemptID: j.request.AttemptID,
		Index:     j.total(),
		Outcome:   admitter.Answered,
		Status:    s.status(),
	})
}

// fail ends an attempt without a whole answer.
func (s *Sidecar) fail(j *job, outcome admitter.Outcome, code link.Code, err error) {
	s.table.Finish(j.request.AttemptID, outcome)
	s.metrics.failed.Add(1)
	s.logger.Warn("sidecar: attempt failed.", "request", j.request.RequestID, "attempt", j.request.AttemptID, "outcome", outcome, "code", code, "err", err)
	s.jobs.end(j, &link.Frame{
		Kind:       link.Failure,
		RequestID:  j.request.RequestID,
		AttemptID:  j.request.AttemptID,
		Outcome:    outcome,
		Code:       code,
		Detail:     err.Error(),
		RetryAfter: busyRetry,
		Status:     s.status(),
	})
}
