package sidecar

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cyclamenward/cyclamenward/admitter"
	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/peer/link"
)

// busyRetryAfter is the RetryAfter of refusals and failures that are likely to be
// temporary.
const busyRetryAfter = time.Second

// refuse answers an attempt with a refusal. The attempt is first recorded as given up,
// so that a copy of it that arrives later is refused as well.
func (s *Sidecar) refuse(request *link.Request, stream *link.Stream, code link.Code, detail string, retryAfter time.Duration) {
	s.sendRefusal(request, stream, s.refusalFrame(request, code, detail, retryAfter))
}

// sendRefusal records the attempt as given up and sends the frame.
func (s *Sidecar) sendRefusal(request *link.Request, stream *link.Stream, frame *link.Frame) {
	s.recordGivenUp(request, frame)
	s.logger.Info("sidecar: refused attempt.", "request", request.RequestID, "attempt", request.AttemptID, "workspace", request.Workspace, "code", frame.Code, "detail", frame.Detail)
	_ = stream.Send(frame)
}

// recordGivenUp records a tombstone for the attempt. If an earlier copy of it was
// admitted, the frame gets that copy's outcome and CodeAttemptRepeated instead. Nothing
// is recorded for an attempt that was meant for another incarnation of the sidecar.
func (s *Sidecar) recordGivenUp(request *link.Request, frame *link.Frame) {
	if request.SidecarIncarnation != s.attempts.Incarnation() {
		return
	}
	frame.Outcome = s.attempts.Resolve(request.AttemptID, request.SidecarIncarnation)
	if frame.Outcome != admitter.NotRun {
		frame.Code = link.CodeAttemptRepeated
	}
}

// checkRequest makes the checks that are common to all attempts, and first fetches the
// service document if the sender has a newer one. It returns the document, or refuses
// the attempt and returns nil.
func (s *Sidecar) checkRequest(ctx context.Context, request *link.Request, stream *link.Stream) *decoder.Document {
	current := s.document()
	if current == nil || current.Revision < request.Revision {
		s.common.CatchUp(ctx, request.SenderAddress)
		current = s.document()
	}
	switch {
	case request.AttemptID == "" || request.RequestID == "":
		s.refuse(request, stream, link.CodeBadRequest, "attempt without ids", 0)
		return nil
	case current == nil || request.Service != s.settings.Service:
		s.refuse(request, stream, link.CodeUnknownService, "service not known here", busyRetryAfter)
		return nil
	case request.Revision < current.Revision:
		s.refuse(request, stream, link.CodeRevisionOutdated, "decided on an earlier revision", 0)
		return nil
	case request.SidecarIncarnation != s.attempts.Incarnation():
		s.refuse(request, stream, link.CodeIncarnationChanged, "sidecar was restarted", 0)
		return nil
	case s.attempts.Leaving() || !listsBackendServer(current.Value, s.settings.BackendServer):
		s.refuse(request, stream, link.CodeLeaving, "backend server is leaving", 0)
		return nil
	case findWorkspace(current.Value, request.Workspace) == nil:
		s.refuse(request, stream, link.CodeBadRequest, "workspace not in the document", 0)
		return nil
	}
	return current.Value
}

// admit records the attempt as running. It returns false if the attempt must not run;
// its stream has then been answered or canceled.
func (s *Sidecar) admit(request *link.Request, stream *link.Stream) bool {
	err := s.attempts.Admit(request.AttemptID, request.SidecarIncarnation)
	switch {
	case err == nil:
		s.metrics.admitted.Add(1)
		return true
	case errors.Is(err, admitter.ErrRepeated):
		// An earlier copy of the attempt was admitted, so a refusal of this copy could be
		// taken for a proof that the attempt did not run.
		stream.Cancel()
	case errors.Is(err, admitter.ErrGivenUp):
		s.refuse(request, stream, link.CodeAttemptGivenUp, "attempt was given up", 0)
	case errors.Is(err, admitter.ErrLeaving):
		s.refuse(request, stream, link.CodeLeaving, "backend server is leaving", 0)
	case errors.Is(err, admitter.ErrFull):
		s.refuse(request, stream, link.CodeQueueFull, "attempt table is full", busyRetryAfter)
	default:
		s.refuse(request, stream, link.CodeIncarnationChanged, err.Error(), 0)
	}
	return false
}

// attach sends the rest of the answer of an earlier attempt on a new stream. An attempt
// that has not arrived yet is recorded as given up, which proves that it never runs.
func (s *Sidecar) attach(ctx context.Context, request *link.Request, stream *link.Stream) {
	j := s.jobs.get(request.AttemptID)
	if j != nil && j.request.Workspace == request.Workspace && request.FirstTokenIndex >= j.request.FirstTokenIndex {
		s.logger.Info("sidecar: attached to an earlier attempt.", "request", request.RequestID, "attempt", request.AttemptID, "from", request.FirstTokenIndex)
		s.relayJob(ctx, j, stream, request.FirstTokenIndex)
		return
	}
	frame := s.refusalFrame(request, link.CodeUnknownAttempt, "no answer held for the attempt", 0)
	frame.Outcome = admitter.Unknown
	if j == nil {
		frame.Outcome = s.attempts.Resolve(request.AttemptID, request.SidecarIncarnation)
	}
	_ = stream.Send(frame)
}

// relayJob sends the answer of a job on one stream, from the given token index on. If
// the peer cancels the stream on purpose, the job is canceled too if it is a model
// request; a call to a plain service runs to its end.
func (s *Sidecar) relayJob(_ context.Context, j *job, stream *link.Stream, firstTokenIndex int) {
	j.attach()
	defer func() { j.detach(s.clock.Now()) }()
	if err := j.relay(stream, firstTokenIndex); link.IsCanceled(err) && j.request.Kind == link.Infer {
		j.cancel()
	}
}

// listsBackendServer reports whether the document still names the backend server.
func listsBackendServer(document *decoder.Document, name string) bool {
	return slices.ContainsFunc(document.BackendServers, func(b decoder.BackendServer) bool { return b.Name == name })
}

// findWorkspace returns the workspace with the given name, or nil.
func findWorkspace(document *decoder.Document, name string) *decoder.Workspace {
	i := slices.IndexFunc(document.Workspaces, func(w decoder.Workspace) bool { return w.Name == name })
	if i < 0 {
		return nil
	}
	return &document.Workspaces[i]
}
