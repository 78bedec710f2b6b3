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
	// claimTimeout bounds the wait for a claim to be committed to the store.
	claimTimeout = 1500 * time.Millisecond
	// holderTimeout bounds the request to the sidecar that holds a claim.
	holderTimeout = time.Second
	// maxStoredAnswerBytes bounds the encoded answer that is stored with a claim. A larger
	// answer is left out; the claim then only records that the request ran.
	maxStoredAnswerBytes = 4 << 10
)

// call admits a request to the plain service, runs it as a job and relays its answer.
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
	s.relayJob(ctx, j, stream, 0)
}

// runCall runs an admitted call. A call that has an idempotency key and is not
// repeatable runs only if this attempt is granted the claim on the key.
func (s *Sidecar) runCall(ctx context.Context, j *job, document *decoder.Document) {
	call := j.request.Call
	if call.IdempotencyKey == "" || call.Repeatable {
		_, _ = s.forward(ctx, j)
		return
	}
	claims := s.claimsFor(document)
	key, digest := hashedKey(j.request), callDigest(call)
	takeCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim, err := claims.Take(takeCtx, key, digest, j.request.AttemptID)
	switch {
	case err != nil:
		s.fail(j, admitter.NotRun, link.CodeStoreUnavailable, err)
	case claim.Attempt != j.request.AttemptID:
		s.answerRepeatedKey(ctx, j, claims, claim, digest)
	default:
		state, storedAnswer := s.forward(ctx, j)
		claims.RecordOutcome(key, j.request.AttemptID, state, storedAnswer)
	}
}

// forward sends the call to the backend server once and ends the job. It returns how
// the call ended, and the encoded answer if there is one.
func (s *Sidecar) forward(ctx context.Context, j *job) (claimer.State, []byte) {
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline)
	if ctx.Err() != nil || remaining <= 0 {
		s.fail(j, admitter.NotRun, link.CodeDeadlineTooShort, context.DeadlineExceeded)
		return claimer.NotRun, nil
	}
	answer, err := s.plainService.Do(toServiceCall(j.request, remaining))
	switch {
	case err == nil:
		result := toLinkAnswer(answer)
		s.succeedCall(j, result)
		encoded, encodeErr := cbor.Marshal(result)
		if encodeErr != nil {
			return claimer.Answered, nil
		}
		return claimer.Answered, encoded
	case errors.Is(err, plainservice.ErrNotSent):
		s.fail(j, admitter.NotRun, link.CodeBackendServerFailed, err)
		return claimer.NotRun, nil
	default:
		s.fail(j, admitter.Unknown, link.CodeBackendServerFailed, err)
		return claimer.Unknown, nil
	}
}

// succeedCall ends a job with the answer of the plain service.
func (s *Sidecar) succeedCall(j *job, answer *link.PlainAnswer) {
	s.attempts.Finish(j.request.AttemptID, admitter.Answered)
	s.metrics.answered.Add(1)
	s.jobs.end(j, s.answerFrame(j, answer))
}

// answerFrame returns the frame that carries an answer of the plain service.
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

// answerRepeatedKey ends a job whose idempotency key was claimed by another attempt. The
// outcome in the frame says whether the request ran under that attempt; the job's own
// attempt did not run.
func (s *Sidecar) answerRepeatedKey(ctx context.Context, j *job, claims *claimer.Claims, claim claimer.Claim, digest string) {
	if claim.Digest != digest {
		s.failRepeatedKey(j, admitter.NotRun, link.CodeKeyReused, "the key was used with another request", 0)
		return
	}
	if claim.State == claimer.Claimed && claim.Holder.Incarnation == s.attempts.Incarnation() {
		if concluded, ok := claims.Await(ctx, claim.Key, claim.Attempt); ok {
			claim = concluded
		}
	}
	if claim.State == claimer.Claimed && claim.Holder.Incarnation != s.attempts.Incarnation() {
		s.askHolder(ctx, j, claim)
		return
	}
	s.answerFromClaim(j, claim)
}

// answerFromClaim ends a job with the answer or the state recorded in the claim.
func (s *Sidecar) answerFromClaim(j *job, claim claimer.Claim) {
	switch claim.State {
	case claimer.Answered:
		var stored link.PlainAnswer
		if len(claim.Answer) == 0 || cbor.Unmarshal(claim.Answer, &stored) != nil {
			s.failRepeatedKey(j, admitter.Answered, link.CodeKeyUnknownOutcome, "answered earlier; the answer is no longer held", 0)
			return
		}
		stored.Replayed = true
		s.attempts.Finish(j.request.AttemptID, admitter.NotRun)
		s.metrics.replayed.Add(1)
		s.jobs.end(j, s.answerFrame(j, &stored))
	case claimer.NotRun:
		s.failRepeatedKey(j, admitter.NotRun, link.CodeKeyPending, "the first request did not run", busyRetryAfter)
	case claimer.Claimed:
		s.failRepeatedKey(j, admitter.Unknown, link.CodeKeyPending, "the first request is running", busyRetryAfter)
	default:
		s.failRepeatedKey(j, admitter.Unknown, link.CodeKeyUnknownOutcome, "it is not known whether the first request ran", 0)
	}
}

// askHolder requests the answer of the attempt under the claim from the sidecar that holds
// the claim. It ends the job with that answer, or with a failure if there is none.
func (s *Sidecar) askHolder(ctx context.Context, j *job, claim claimer.Claim) {
	address := s.sidecarAddress(claim.Holder.Sidecar)
	frame, err := s.attachToHolder(ctx, address, j.request, claim)
	switch {
	case err == nil && frame.Kind == link.Answer && frame.Answer != nil:
		frame.Answer.Replayed = true
		s.attempts.Finish(j.request.AttemptID, admitter.NotRun)
		s.metrics.replayed.Add(1)
		s.jobs.end(j, s.answerFrame(j, frame.Answer))
	case err == nil && frame.Outcome == admitter.Answered:
		s.failRepeatedKey(j, admitter.Answered, link.CodeKeyUnknownOutcome, "answered earlier; the answer is no longer held", 0)
	default:
		s.failRepeatedKey(j, admitter.Unknown, link.CodeKeyUnknownOutcome, "it is not known whether the first request ran", 0)
	}
}

// attachToHolder sends an Attach request for the attempt that holds the claim and returns
// the first frame of the reply.
func (s *Sidecar) attachToHolder(ctx context.Context, address string, request *link.Request, claim claimer.Claim) (*link.Frame, error) {
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
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

// sidecarAddress returns the link address of a backend server's sidecar, or "" if the
// document does not list the server.
func (s *Sidecar) sidecarAddress(backendServer string) string {
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

// failRepeatedKey ends a job that did not run because another attempt claimed its
// idempotency key. outcome says whether the request ran under that other attempt.
func (s *Sidecar) failRepeatedKey(j *job, outcome admitter.Outcome, code link.Code, detail string, retryAfter time.Duration) {
	s.attempts.Finish(j.request.AttemptID, admitter.NotRun)
	s.logger.Info("sidecar: request failed because of a repeated idempotency key.", "request", j.request.RequestID, "workspace", j.request.Workspace, "outcome", outcome, "code", code)
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

// claimsFor returns the claims of the service and creates them at the first call.
func (s *Sidecar) claimsFor(document *decoder.Document) *claimer.Claims {
	s.claimsMu.Lock()
	defer s.claimsMu.Unlock()
	if s.claims == nil {
		options := claimer.DefaultOptions
		options.Ranges = document.Claims.Ranges
		options.Retention = document.Claims.Keep.Duration
		options.MaxAnswerBytes = maxStoredAnswerBytes
		holder := claimer.Holder{Sidecar: s.settings.BackendServer, Incarnation: s.attempts.Incarnation()}
		s.claims = claimer.New(s.store, s.clock, s.settings.Service, holder, options)
	}
	return s.claims
}

// currentClaims returns the claims of the service, or nil before the first claim.
func (s *Sidecar) currentClaims() *claimer.Claims {
	s.claimsMu.Lock()
	defer s.claimsMu.Unlock()
	return s.claims
}

// hashedKey returns the name under which the claim is stored. As a hash of workspace and
// idempotency key it does not reveal the key.
func hashedKey(request *link.Request) string {
	digest := sha256.Sum256([]byte(request.Workspace + "\x00" + request.Call.IdempotencyKey))
	return hex.EncodeToString(digest[:16])
}

// callDigest returns a hash of method, path and body, by which the reuse of a key for
// another request is detected.
func callDigest(call *link.PlainCall) string {
	hash := sha256.New()
	_, _ = fmt.Fprintf(hash, "%s\x00%s\x00", call.Method, call.Path)
	_, _ = hash.Write(call.Body)
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

// toServiceCall converts the call of a link request.
func toServiceCall(request *link.Request, timeout time.Duration) *plainservice.Call {
	call := &plainservice.Call{
		RequestID: request.RequestID,
		Method:    request.Call.Method,
		Path:      request.Call.Path,
		Body:      request.Call.Body,
		Timeout:   timeout,
	}
	for _, header := range request.Call.Headers {
		call.Headers = append(call.Headers, plainservice.Header(header))
	}
	return call
}

// toLinkAnswer converts an answer of the plain service.
func toLinkAnswer(answer *plainservice.Answer) *link.PlainAnswer {
	result := &link.PlainAnswer{Status: answer.Status, Body: answer.Body}
	for _, header := range answer.Headers {
		result.Headers = append(result.Headers, link.Header(header))
	}
	return result
}
