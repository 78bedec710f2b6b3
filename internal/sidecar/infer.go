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

// firstTokenSlack is added to the time allowed for prefill before an engine that sends no
// token counts as failed.
const firstTokenSlack = 5 * time.Second

// inference is a model request that has passed all checks, with what is needed to run
// it.
type inference struct {
	job *job
	// scope holds what requests must have in common to share cached blocks.
	scope chainer.Scope
	// chain holds the hashes of the prompt's whole blocks in order.
	chain     []chainer.Hash
	workspace *decoder.Workspace
	model     *decoder.Model
	// engineIncarnation is the incarnation of the engine for which the request was
	// checked.
	engineIncarnation string
	// promptTokens is the estimated length of the prompt, and cachedBlocks the number of
	// leading blocks of chain that are cached according to the engine's events.
	promptTokens, cachedBlocks int
	// uncachedTokens is the number of prompt tokens to prefill: those after the leading
	// blocks that are cached or were computed recently.
	uncachedTokens int
}

// infer admits a model request, runs it as a job and relays its answer.
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
		s.runInference(runCtx, work)
	}()
	s.relayJob(ctx, work.job, stream, request.FirstTokenIndex)
}

// checkInference makes the checks that are particular to model requests. It returns the
// planned inference, or refuses the attempt and returns nil.
func (s *Sidecar) checkInference(request *link.Request, stream *link.Stream, document *decoder.Document) *inference {
	state := s.engineState.Load()
	waiting, running := s.queue.Len()
	switch {
	case request.Infer == nil || document.Model == nil:
		s.refuse(request, stream, link.CodeBadRequest, "not a model request", 0)
		return nil
	case state == nil || state.Loading:
		s.refuse(request, stream, link.CodeBackendServerFailed, "engine is not serving", busyRetryAfter)
		return nil
	case request.Infer.WeightsVersion != state.WeightsVersion:
		s.refuse(request, stream, link.CodeWeightsNotServed, "engine serves "+state.WeightsVersion, 0)
		return nil
	case waiting+running >= document.Model.QueueLimit:
		s.refuse(request, stream, link.CodeQueueFull, "queue is full", busyRetryAfter)
		return nil
	}
	work := s.planInference(request, document, state.Incarnation)
	backlog := s.queue.WaitingCost() + s.prefills.backlog()
	wait := expectedWait(backlog+work.uncachedTokens, document.Model)
	if wait > request.Remaining {
		s.refuse(request, stream, link.CodeDeadlineTooShort, "expected wait "+wait.Round(time.Millisecond).String(), wait)
		return nil
	}
	return work
}

// planInference computes the block hashes of the prompt and how much of it is cached.
func (s *Sidecar) planInference(request *link.Request, document *decoder.Document, incarnation string) *inference {
	infer := request.Infer
	scope := chainer.Scope{Workspace: request.Workspace, Model: infer.Model, Adapter: infer.Adapter, WeightsVersion: infer.WeightsVersion}
	work := &inference{
		scope:             scope,
		chain:             chainer.Chain(nil, scope, infer.Prompt),
		workspace:         findWorkspace(document, request.Workspace),
		model:             document.Model,
		engineIncarnation: incarnation,
	}
	work.cachedBlocks, _ = s.cacheIndex.Depth(incarnation, work.chain)
	work.promptTokens = chainer.EstimateTokens(len(infer.Prompt))
	work.uncachedTokens = max(1, work.promptTokens-s.prefills.cachedBlocks(work.chain, work.cachedBlocks)*chainer.BlockTokens)
	return work
}

// expectedWait estimates how long the engine takes to prefill this many tokens.
func expectedWait(tokens int, model *decoder.Model) time.Duration {
	return time.Duration(float64(tokens) / float64(model.PrefillTokensPerSecond) * float64(time.Second))
}

// runInference runs an admitted request until its job has ended. It waits for other
// requests that compute the same prefix and for a slot in the queue first.
func (s *Sidecar) runInference(ctx context.Context, work *inference) {
	request := work.job.request
	uncachedTokens, endPrefill, err := s.prefills.start(ctx, work.chain, work.promptTokens, work.cachedBlocks)
	if err != nil {
		s.fail(work.job, admitter.NotRun, link.CodeDeadlineTooShort, err)
		return
	}
	defer endPrefill(false)
	item := limiter.Item{Workspace: request.Workspace, Share: work.workspace.Share, Cost: uncachedTokens, Priority: request.Priority}
	if err := s.queue.Acquire(ctx, item); err != nil {
		s.fail(work.job, admitter.NotRun, link.CodeDeadlineTooShort, err)
		return
	}
	defer s.queue.Release()
	err = s.engine.Generate(ctx, newGeneration(work), s.firstTokenTimeout(work), func(event *engine.Event) error {
		return s.handleEvent(work, event, endPrefill)
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

// firstTokenTimeout returns how long the engine may be silent before the first token:
// twice the expected time of all registered prefills and of this whole prompt, plus
// firstTokenSlack.
func (s *Sidecar) firstTokenTimeout(work *inference) time.Duration {
	return firstTokenSlack + 2*expectedWait(s.prefills.backlog()+work.promptTokens, work.model)
}

// newGeneration returns the request in the form that the engine takes.
func newGeneration(work *inference) *engine.GenerateRequest {
	infer := work.job.request.Infer
	return &engine.GenerateRequest{
		RequestID:       work.job.request.AttemptID,
		Model:           infer.Model,
		Adapter:         infer.Adapter,
		WeightsVersion:  infer.WeightsVersion,
		Incarnation:     work.engineIncarnation,
		CacheSalt:       work.scope.Seed().String(),
		Prompt:          infer.Prompt,
		MaxTokens:       infer.MaxTokens,
		FirstTokenIndex: work.job.request.FirstTokenIndex,
		Generated:       infer.Generated,
		Priority:        work.job.request.Priority,
	}
}

// handleEvent adds one event of the engine to the job. The first token shows that the
// prompt was computed, so endPrefill is called then.
func (s *Sidecar) handleEvent(work *inference, event *engine.Event, endPrefill func(computed bool)) error {
	request := work.job.request
	switch event.Type {
	case "admitted":
		if event.Incarnation != work.engineIncarnation || event.WeightsVersion != request.Infer.WeightsVersion {
			return engine.ErrAnswerMismatch
		}
		s.metrics.cachedBlocks.Add(int64(event.CachedBlocks))
		s.metrics.promptBlocks.Add(int64(len(work.chain)))
		work.job.setAdmitted(s.admittedFrame(request, event))
	case "token":
		endPrefill(true)
		if event.Index >= request.Infer.MaxTokens || !work.job.addToken(event.Index, event.Text) {
			return engine.ErrExchangeFailed
		}
	case "end":
		if event.Index != work.job.tokenCount() {
			return engine.ErrExchangeFailed
		}
		s.succeedInference(work.job)
	}
	return nil
}

// admittedFrame returns the frame that starts the answer to a model request.
func (s *Sidecar) admittedFrame(request *link.Request, event *engine.Event) *link.Frame {
	return &link.Frame{
		Kind:           link.Admitted,
		RequestID:      request.RequestID,
		AttemptID:      request.AttemptID,
		WeightsVersion: event.WeightsVersion,
		Status:         s.status(),
	}
}

// succeedInference ends the job of a model request whose answer is complete.
func (s *Sidecar) succeedInference(j *job) {
	s.attempts.Finish(j.request.AttemptID, admitter.Answered)
	s.metrics.answered.Add(1)
	s.jobs.end(j, &link.Frame{
		Kind:      link.End,
		RequestID: j.request.RequestID,
		AttemptID: j.request.AttemptID,
		Index:     j.tokenCount(),
		Outcome:   admitter.Answered,
		Status:    s.status(),
	})
}

// fail ends a job without a complete answer.
func (s *Sidecar) fail(j *job, outcome admitter.Outcome, code link.Code, err error) {
	s.attempts.Finish(j.request.AttemptID, outcome)
	s.metrics.failed.Add(1)
	s.logger.Warn("sidecar: attempt failed.", "request", j.request.RequestID, "attempt", j.request.AttemptID, "outcome", outcome, "code", code, "err", err)
	s.jobs.end(j, &link.Frame{
		Kind:       link.Failure,
		RequestID:  j.request.RequestID,
		AttemptID:  j.request.AttemptID,
		Outcome:    outcome,
		Code:       code,
		Detail:     err.Error(),
		RetryAfter: busyRetryAfter,
		Status:     s.status(),
	})
}
