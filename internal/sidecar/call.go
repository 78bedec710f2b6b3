package sidecar

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/cyclamenward/cyclamenward/admitter"
	"github.com/cyclamenward/cyclamenward/claimer"
	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/cyclamenward/cyclamenward/peer/plainservice"
	"github.com/fxamacker/cbor/v2"
)

const (
	// claimLimit bounds the wait for a claim to be committed.
	claimLimit = 1500 * time.Millisecond
	// holderLimit bounds the question to the holder of a claim.
	holderLimit = time.Second
	// maxKeptAnswer is the largest answer kept with a claim, in bytes.
	maxKeptAnswer = 4 << 10
)

// call admits and runs a request to the plain service and relays its answer.
func (s *Sidecar) call(ctx context.Context, request *link.Request, stream *link.Stream) {
	document := s.checkRequest(ctx, request, stream)
	if document == nil {
		return
	}
	if request.Call == nil || document.Claims == nil {
		s.refuse(request, stream, link.CodeBadRequest, "not a request to a plain service", 0)
		return
	}
	if !s.admit(request, stream) {
		return
	}
	runCtx, cancel := context.WithTimeout(context.Background(), request.Remaining)
	j := s.jobs.add(request, cancel)
	go func() {
		defer cancel()
		s.runCall(runCtx, j, document)
	}()
	s.follow(ctx, j, stream, 0)
}

// runCall runs an admitted call, under a claim if it must not be repeated.
func (s *Sidecar) runCall(ctx context.Context, j *job, document *decoder.Document) {
	call := j.request.Call
	if call.IdempotencyKey == "" || call.Repeatable {
		_, _ = s.forward(ctx, j)
		return
	}
	claims := s.claimsOf(document)
	key, digest := claimKey(j.request), callDigest(call)
	takeCtx, cancel := context.WithTimeout(ctx, claimLimit)
	defer cancel()
	claim, err := claims.Take(takeCtx, key, digest, j.request.AttemptID)
	switch {
	case err != nil:
		s.fail(j, admitter.NotRun, link.CodeStoreUnavailable, err)
	case claim.Attempt != j.request.AttemptID:
		s.repeat(ctx, j, claims, claim, digest)
	default:
		state, answer := s.forward(ctx, j)
		claims.Conclude(key, j.request.AttemptID, state, answer)
	}
}

// forward sends the call to the backend server once and ends the job.
func (s *Sidecar) forward(ctx context.Context, j *job) (claimer.State, []byte) {
	deadline, _ := ctx.Deadline()
	limit := time.Until(deadline)
	if ctx.Err() != nil || limit <= 0 {
		s.fail(j, admitter.NotRun, link.CodeDeadlineTooShort, context.DeadlineExceeded)
		return claimer.NotRun, nil
	}
	answer, err := s.plain.Do(plainCall(j.request, limit))
	switch {
	case err == nil:
		result := plainAnswer(answer)
		s.answer(j, result)
		kept, encodeErr := cbor.Marshal(result)
		if encodeErr != nil {
			return claimer.Answered, nil
		}
		return claimer.Answered, kept
	case errors.Is(err, plainservice.ErrNotSent):
		s.fail(j, admitter.NotRun, link.CodeBackendServerFailed, err)
		return claimer.NotRun, nil
	default:
		s.fail(j, admitter.Unknown, link.CodeBackendServerFailed, err)
		return claimer.Unknown, nil
	}
}

// answer ends a job with a whole answer of the plain service.
func (s *Sidecar) answer(j *job, answer *link.PlainAnswer) {
	s.table.Finish(j.request.AttemptID, admitter.Answered)
	s.metrics.answered.Add(1)
	s.jobs.end(j, s.answerFrame(j, answer))
}

func (s *Sidecar) answerFrame(j *job, answer *link.PlainAnswer) *link.Frame {
	return &link.Frame{
		Kind:      link.Answer,
		RequestID: j.request.RequestID,
		AttemptID: j.request.AttemptID,
		Answer:    answer,
		Outcome:   admitter.Answered,
		Status:    s.status(),
	}
}

// repeat ends a job whose key belongs to another attempt. The outcome that it
// tells is the outcome of the key, not of this job's own attempt, which did not
// run.
func (s *Sidecar) repeat(ctx context.Context, j *job, claims *claimer.Claims, claim claimer.Claim, digest string) {
	if claim.Digest != digest {
		s.failKey(j, admitter.NotRun, link.CodeKeyReused, "the key was used with another request", 0)
		return
	}
	if claim.State == claimer.Claimed && claim.Holder.Incarnation == s.table.Incarnation() {
		if ended, ok := claims.Await(ctx, claim.Key, claim.Attempt); ok {
			claim = ended
		}
	}
	if claim.State == claimer.Claimed && claim.Holder.Incarnation != s.table.Incarnation() {
		s.askHolder(ctx, j, claim)
		return
	}
	s.replay(j, claim)
}

// replay ends a job with what the claim says.
func (s *Sidecar) replay(j *job, claim claimer.Claim) {
	switch claim.State {
	case claimer.Answered:
		var kept link.PlainAnswer
		if len(claim.Answer) == 0 || cbor.Unmarshal(claim.Answer, &kept) != nil {
			s.failKey(j, admitter.Answered, link.CodeKeyUnknownOutcome, "answered earlier; the answer is no longer held", 0)
			return
		}
		kept.Replayed = true
		s.table.Finish(j.request.AttemptID, admitter.NotRun)
		s.metrics.replayed.Add(1)
		s.jobs.end(j, s.answerFrame(j, &kept))
	case claimer.NotRun:
		s.failKey(j, admitter.NotRun, link.CodeKeyPending, "the first request did not run", busyRetry)
	case claimer.Claimed:
		s.failKey(j, admitter.Unknown, link.CodeKeyPending, "the first request is running", busyRetry)
	default:
		s.failKey(j, admitter.Unknown, link.CodeKeyUnknownOutcome, "it is not known whether the first request ran", 0)
	}
}

// askHolder asks the sidecar that holds the claim what became of it.
func (s *Sidecar) askHolder(ctx context.Context, j *job, claim claimer.Claim) {
	address := s.addressOf(claim.Holder.Sidecar)
	frame, err := s.askAttempt(ctx, address, j.request, claim)
	switch {
	case err == nil && frame.Kind == link.Answer && frame.Answer != nil:
		frame.Answer.Replayed = true
		s.table.Finish(j.request.AttemptID, admitter.NotRun)
		s.metrics.replayed.Add(1)
		s.jobs.end(j, s.answerFrame(j, frame.Answer))
	case err == nil && frame.Outcome == admitter.Answered:
		s.failKey(j, admitter.Answered, link.CodeKeyUnknownOutcome, "answered earlier; the answer is no longer held", 0)
	default:
		s.failKey(j, admitter.Unknown, link.CodeKeyUnknownOutcome, "it is not known whether the first request ran", 0)
	}
}

func (s *Sidecar) askAttempt(ctx context.Context, address string, request *link.Request, claim claimer.Claim) (*link.Frame, error) {
	ctx, cancel := context.WithTimeout(ctx, holderLimit)
	defer cancel()
	frame, err := s.common.Client().RoundTrip(ctx, address, &link.Request{
		Kind:               link.Attach,
		RequestID:          request.RequestID,
		AttemptID:          claim.Attempt,
		Service:            request.Service,
		Workspace:          request.Workspace,
		SidecarIncarnation: claim.Holder.Incarnation,
	})
	if err != nil {
		return nil, fmt.Errorf("ask holder of the claim: %w", err)
	}
	return frame, nil
}

func (s *Sidecar) addressOf(backendServer string) string {
	document := s.document()
	if document == nil {
		return ""
	}
	for _, server := range document.Value.BackendServers {
		if server.Name == backendServer {
			return server.Sidecar
		}
	}
	return ""
}

// failKey ends a job that did not run because of its key.
func (s *Sidecar) failKey(j *job, outcome admitter.Outcome, code link.Code, detail string, retryAfter time.Duration) {
	s.table.Finish(j.request.AttemptID, admitter.NotRun)
	s.logger.Info("sidecar: repeated key.", "request", j.request.RequestID, "workspace", j.request.Workspace, "outcome", outcome, "code", code)
	s.jobs.end(j, &link.Frame{
		Kind:       link.Failure,
		RequestID:  j.request.RequestID,
		AttemptID:  j.request.AttemptID,
		Outcome:    outcome,
		Code:       code,
		Detail:     detail,
		RetryAfter: retryAfter,
		Status:     s.status(),
	})
}

// claimsOf returns the claims of the service, made at the first use.
func (s *Sidecar) claimsOf(document *decoder.Document) *claimer.Claims {
	s.claimsMu.Lock()
	defer s.claimsMu.Unlock()
	if s.claims == nil {
		options := claimer.DefaultOptions
		options.Ranges = document.Claims.Ranges
		options.Keep = document.Claims.Keep.Duration
		options.MaxAnswer = maxKeptAnswer
		holder := claimer.Holder{Sidecar: s.settings.BackendServer, Incarnation: s.table.Incarnation()}
		s.claims = claimer.New(s.store, s.clock, s.settings.Service, holder, options)
	}
	return s.claims
}

func (s *Sidecar) currentClaims() *claimer.Claims {
	s.claimsMu.Lock()
	defer s.claimsMu.Unlock()
	return s.claims
}

// claimKey names the caller's key without revealing it.
func claimKey(request *link.Request) string {
	digest := sha256.Sum256([]byte(request.Workspace + "\x00" + request.Call.IdempotencyKey))
	return hex.EncodeToString(digest[:16])
}

func callDigest(call *link.PlainCall) string {
	hash := sha256.New()
	_, _ = fmt.Fprintf(hash, "%s\x00%s\x00", call.Method, call.Path)
	_, _ = hash.Write(call.Body)
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

func plainCall(request *link.Request, limit time.Duration) *plainservice.Call {
	call := &plainservice.Call{
		RequestID: request.RequestID,
		Method:    request.Call.Method,
		Path:      request.Call.Path,
		Body:      request.Call.Body,
		Limit:     limit,
	}
	for _, header := range request.Call.Headers {
		call.Headers = append(call.Headers, plainservice.Header(header))
	}
	return call
}

func plainAnswer(answer *plainservice.Answer) *link.PlainAnswer {
	result := &link.PlainAnswer{Status: answer.Status, Body: answer.Body}
	for _, header := range answer.Headers {
		result.Headers = append(result.Headers, link.Header(header))
	}
	return result
}
