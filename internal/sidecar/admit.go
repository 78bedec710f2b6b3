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

// busyRetry is when a new try may succeed after a refusal for lack of room.
const busyRetry = time.Second

// refuse sends a refusal. The attempt is recorded as given up first, so that a
// late copy of it is refused as well.
func (s *Sidecar) refuse(request *link.Request, stream *link.Stream, code link.Code, detail string, retryAfter time.Duration) {
	s.sendRefusal(request, stream, s.refusal(request, code, detail, retryAfter))
}

// sendRefusal gives the attempt up and sends the frame.
func (s *Sidecar) sendRefusal(request *link.Request, stream *link.Stream, frame *link.Frame) {
	s.giveUp(request, frame)
	s.logger.Info("sidecar: refused attempt.", "request", request.RequestID, "attempt", request.AttemptID, "workspace", request.Workspace, "code", frame.Code, "detail", frame.Detail)
	_ = stream.Send(frame)
}

// giveUp records a tombstone for the attempt. If an earlier copy of it was
// admitted, the frame says so instead of "not run".
func (s *Sidecar) giveUp(request *link.Request, frame *link.Frame) {
	if request.SidecarIncarnation != s.table.Incarnation() {
		return
	}
	frame.Outcome = s.table.Resolve(request.AttemptID, request.SidecarIncarnation)
	if frame.Outcome != admitter.NotRun {
		frame.Code = link.CodeAttemptRepeated
	}
}

// checkRequest makes the checks that are common to all attempts. It answers the
// attempt itself and returns nil if the attempt must not run.
func (s *Sidecar) checkRequest(ctx context.Context, request *link.Request, stream *link.Stream) *decoder.Document {
	revised := s.document()
	if revised == nil || revised.Revision < request.Revision {
		s.common.CatchUp(ctx, request.SenderAddress)
		revised = s.document()
	}
	switch {
	case request.AttemptID == "" || request.RequestID == "":
		s.refuse(request, stream, link.CodeBadRequest, "attempt without ids", 0)
		return nil
	case revised == nil || request.Service != s.settings.Service:
		s.refuse(request, stream, link.CodeUnknownService, "service not known here", busyRetry)
		return nil
	case request.Revision < revised.Revision:
		s.refuse(request, stream, link.CodeRevisionOutdated, "decided on an earlier revision", 0)
		return nil
	case request.SidecarIncarnation != s.table.Incarnation():
		s.refuse(request, stream, link.CodeIncarnationChanged, "sidecar was restarted", 0)
		return nil
	case s.table.Leaving() || !listed(revised.Value, s.settings.BackendServer):
		s.refuse(request, stream, link.CodeLeaving, "backend server is leaving", 0)
		return nil
	case findWorkspace(revised.Value, request.Workspace) == nil:
		s.refuse(request, stream, link.CodeBadRequest, "workspace not in the document", 0)
		return nil
	}
	return revised.Value
}

// admit records the attempt as running. It answers the attempt itself and
// returns false if the attempt must not run.
func (s *Sidecar) admit(request *link.Request, stream *link.Stream) bool {
	err := s.table.Admit(request.AttemptID, request.SidecarIncarnation)
	switch {
	case err == nil:
		s.metrics.admitted.Add(1)
		return true
	case errors.Is(err, admitter.ErrRepeated):
		// The first copy of the attempt runs; this one must not speak for it.
		stream.Cancel()
	case errors.Is(err, admitter.ErrTombstone):
		s.refuse(request, stream, link.CodeAttemptGivenUp, "attempt was given up", 0)
	case errors.Is(err, admitter.ErrLeaving):
		s.refuse(request, stream, link.CodeLeaving, "backend server is leaving", 0)
	case errors.Is(err, admitter.ErrFull):
		s.refuse(request, stream, link.CodeQueueFull, "attempt table is full", busyRetry)
	default:
		s.refuse(request, stream, link.CodeIncarnationChanged, err.Error(), 0)
	}
	return false
}

// attach sends the rest of an attempt's answer over a new connection. An attempt
// that has not arrived is given up, which proves that it did not run.
func (s *Sidecar) attach(ctx context.Context, request *link.Request, stream *link.Stream) {
	j := s.jobs.get(request.AttemptID)
	if j != nil && j.request.Workspace == request.Workspace && request.FirstTokenIndex >= j.request.FirstTokenIndex {
		s.logger.Info("sidecar: attached again.", "request", request.RequestID, "attempt", request.AttemptID, "from", request.FirstTokenIndex)
		s.follow(ctx, j, stream, request.FirstTokenIndex)
		return
	}
	frame := s.refusal(request, link.CodeUnknownAttempt, "no answer held for the attempt", 0)
	frame.Outcome = admitter.Unknown
	if j == nil {
		frame.Outcome = s.table.Resolve(request.AttemptID, request.SidecarIncarnation)
	}
	_ = stream.Send(frame)
}

// follow relays a job to one connection and cancels the job if the other side
// gives it up on purpose.
func (s *Sidecar) follow(_ context.Context, j *job, stream *link.Stream, from int) {
	j.attach()
	defer func() { j.detach(s.clock.Now()) }()
	if err := j.relay(stream, from); link.IsCanceled(err) && j.request.Kind == link.Infer {
		j.cancel()
	}
}

// listed reports whether the document still names the backend server.
func listed(document *decoder.Document, name string) bool {
	return slices.ContainsFunc(document.BackendServers, func(b decoder.BackendServer) bool { return b.Name == name })
}

func findWorkspace(document *decoder.Document, name string) *decoder.Workspace {
	i := slices.IndexFunc(document.Workspaces, func(w decoder.Workspace) bool { return w.Name == name })
	if i < 0 {
		return nil
	}
	return &document.Workspaces[i]
}
