package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cyclamenward/cyclamenward/admitter"
	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/cyclamenward/cyclamenward/sequencer"
	"github.com/google/uuid"
)

const (
	// maxCorrections is how often an attempt is sent again to a sidecar that refused it
	// because of outdated information and reported the current information.
	maxCorrections = 3
	// attachTimeout bounds the time to attach to an attempt over a new connection, or to
	// fetch a newer configuration: it suffices for a round trip between regions and a
	// handshake, with some margin.
	attachTimeout = 600 * time.Millisecond
)

// payload is the message of a router request: what to send to the sidecars, and the state
// of the answer. It is not safe for concurrent use.
type payload struct {
	service   *service
	workspace *decoder.Workspace
	// inference is set for model requests, call for plain calls.
	inference *link.Inference
	call      *link.PlainCall

	// sequence checks the order of an answer's tokens. generated holds the accepted tokens
	// from index firstIndex on; firstIndex is above 0 if the caller resumed the answer.
	sequence   *sequencer.Sequence
	generated  []string
	firstIndex int
	// heldAttempt is the attempt named by the caller's last event ID, which its sidecar may
	// still hold. It is nil if there is none or once the router has sent an attempt.
	heldAttempt *resumePoint
	// replicaID, incarnation and attempt identify the attempt whose answer is being read.
	replicaID, incarnation, attempt string
}

// exchange is a model attempt running at a sidecar.
type exchange struct {
	entry   *Entry
	payload *payload
	attempt *router.Attempt
	ctx     context.Context
	stream  *link.Stream
	// deadline bounds the wait for the next frame.
	deadline time.Time
}

// transport returns the router's transport, which sends attempts to sidecars.
func (e *Entry) transport() router.Transport {
	return router.Transport{Send: func(ctx context.Context, a *router.Attempt) (*router.Reply, error) {
		m := a.Request.Message.(*payload)
		if m.call != nil {
			return e.sendCall(ctx, m, a)
		}
		return e.sendInference(ctx, m, a)
	}}
}

// sendInference sends a model request and waits until the sidecar admits it. For a resumed
// answer it first tries to attach to the earlier attempt.
func (e *Entry) sendInference(ctx context.Context, m *payload, a *router.Attempt) (*router.Reply, error) {
	x := &exchange{entry: e, payload: m, attempt: a, ctx: ctx, deadline: a.Request.Deadline}
	if m.heldAttempt != nil {
		held := m.heldAttempt
		m.heldAttempt = nil
		if replicaID(held.Service, held.BackendServer) == a.ReplicaID {
			m.attempt, m.incarnation, m.replicaID = held.Attempt, held.SidecarIncarnation, a.ReplicaID
			err := x.attach()
			if err == nil {
				e.metrics.reattached.Add(1)
				return x.answerReply(), nil
			}
			e.logger.Info("entry: attaching to the attempt to resume failed.", "request", a.Request.ID, "attempt", held.Attempt, "err", err)
		}
	}
	version := m.sequence.WeightsVersion()
	if version == "" {
		version = m.service.weightsVersions.Version(a.WeightsVersion)
	}
	if version == "" {
		version = m.service.document.Model.WeightsVersion
	}
	for corrections := 0; ; corrections++ {
		frame, err := x.openStream(version)
		if err != nil {
			return nil, err
		}
		if frame.Kind == link.Admitted {
			if err := m.sequence.Begin(m.attempt, frame.WeightsVersion); err != nil {
				x.stream.Cancel()
				return nil, fmt.Errorf("begin answer: %w", err)
			}
			return x.answerReply(), nil
		}
		x.stream.Cancel()
		if frame.Kind != link.Failure {
			return nil, fmt.Errorf("frame %q before admission", frame.Kind)
		}
		servedVersion := ""
		if frame.Status != nil {
			servedVersion = frame.Status.WeightsVersion
		}
		// An answer that has begun must continue on the same weights version.
		boundVersion := m.sequence.WeightsVersion()
		if corrections >= maxCorrections || !e.applyCorrection(ctx, m, a, frame) || (frame.Code == link.CodeWeightsNotServed && (servedVersion == "" || (boundVersion != "" && servedVersion != boundVersion))) {
			return e.handleFailure(m, a, frame)
		}
		if frame.Code == link.CodeWeightsNotServed {
			version = servedVersion
		}
	}
}

// openStream sends the request to the sidecar and returns the first frame.
func (x *exchange) openStream(version string) (*link.Frame, error) {
	e, m, a := x.entry, x.payload, x.attempt
	inference := *m.inference
	inference.WeightsVersion = version
	// Without the tokens below firstIndex the generated tokens would be incomplete.
	if m.firstIndex == 0 {
		inference.Generated = m.generated
	}
	request := e.newLinkRequest(m, a, link.Infer)
	request.FirstTokenIndex, request.Infer = m.sequence.NextIndex(), &inference
	stream, err := e.common.Client().Open(x.ctx, a.Address, request)
	if err != nil {
		return nil, e.openFailed(a, err)
	}
	stream.SetReadDeadline(x.deadline)
	x.stream = stream
	m.attempt, m.incarnation, m.replicaID = request.AttemptID, request.SidecarIncarnation, a.ReplicaID
	var frame link.Frame
	stop := context.AfterFunc(x.ctx, stream.Cancel)
	err = stream.Receive(&frame)
	stop()
	if err != nil {
		stream.Cancel()
		if x.ctx.Err() == nil {
			e.common.Client().DropConnection(a.Address)
		}
		return nil, fmt.Errorf("await admission: %w", err)
	}
	if frame.AttemptID != m.attempt || frame.RequestID != a.Request.ID {
		stream.Cancel()
		return nil, fmt.Errorf("await admission: %w", sequencer.ErrOtherAttempt)
	}
	e.recordStatus(m.service, a.Address, frame.Status)
	return &frame, nil
}

// newLinkRequest returns a link request with a new attempt ID.
func (e *Entry) newLinkRequest(m *payload, a *router.Attempt, kind link.RequestKind) *link.Request {
	return &link.Request{
		Kind:               kind,
		RequestID:          a.Request.ID,
		AttemptID:          uuid.NewString(),
		Service:            m.service.document.Service,
		Workspace:          m.workspace.Name,
		Revision:           m.service.revision.Revision,
		SidecarIncarnation: e.incarnationOf(a.Address),
		SenderAddress:      e.common.Identity().LinkAddress,
		Priority:           m.workspace.Priority,
		BeforeSend: func(request *link.Request) error {
			remaining, err := a.Admit()
			request.Remaining = remaining
			return err
		},
	}
}

// openFailed drops the connection to the sidecar and returns the error for the router,
// which is router.ErrNotSent if nothing was sent.
func (e *Entry) openFailed(a *router.Attempt, err error) error {
	if errors.Is(err, router.ErrExpired) || errors.Is(err, router.ErrStopping) || errors.Is(err, router.ErrOutdated) {
		return fmt.Errorf("%w: %w", router.ErrNotSent, err)
	}
	e.common.Client().DropConnection(a.Address)
	if errors.Is(err, link.ErrNotSent) {
		return fmt.Errorf("%w: %w", router.ErrNotSent, err)
	}
	return err
}

// applyCorrection updates the outdated information for which a sidecar refused an attempt.
// It returns false if the attempt failed for another reason or the update is not usable.
func (e *Entry) applyCorrection(ctx context.Context, m *payload, a *router.Attempt, frame *link.Frame) bool {
	if frame.Outcome != admitter.NotRun {
		return false
	}
	switch frame.Code {
	case link.CodeRevisionOutdated:
		ctx, cancel := context.WithTimeout(ctx, attachTimeout)
		defer cancel()
		e.common.CatchUp(ctx, a.Address)
		if !m.switchRevision(e.currentCatalog().byName[m.service.document.Service]) {
			return false
		}
	case link.CodeIncarnationChanged, link.CodeWeightsNotServed:
		// recordStatus has already stored the status from the frame.
	default:
		return false
	}
	e.metrics.corrections.Add(1)
	return true
}

// switchRevision continues the request with a newer revision of the service. It returns
// false if that revision is missing, is of another kind or lacks the workspace.
func (m *payload) switchRevision(newer *service) bool {
	if newer == nil || newer.document.Kind != m.service.document.Kind {
		return false
	}
	workspace := newer.workspaceByName(m.workspace.Name)
	if workspace == nil {
		return false
	}
	m.service, m.workspace = newer, workspace
	return true
}

// handleFailure turns a failure frame into a reply or an error for the router.
func (e *Entry) handleFailure(m *payload, a *router.Attempt, frame *link.Frame) (*router.Reply, error) {
	e.logger.Info("entry: sidecar reported a failure.", "request", a.Request.ID, "replica", a.ReplicaID, "code", frame.Code, "outcome", frame.Outcome, "detail", frame.Detail)
	reply := e.newReply(a)
	reply.Status = problemFromFrame(frame).Status
	switch {
	case isFinal(frame.Code, m.call != nil):
		reply.Fields = problemFromFrame(frame)
	case frame.Outcome == admitter.NotRun:
		reply.NotRun, reply.RetryAfter = true, frame.RetryAfter
	default:
		return nil, fmt.Errorf("backend server failed: %s: %s", frame.Code, frame.Detail)
	}
	return reply, nil
}

// isFinal reports whether a failure must be returned to the caller without trying another
// replica: no replica would answer differently, or a call with an idempotency key must
// stay at the sidecar that holds the key. call is set for plain calls.
func isFinal(code link.Code, call bool) bool {
	switch code {
	case link.CodeBadRequest:
		return true
	case link.CodeKeyReused, link.CodeKeyPending, link.CodeKeyUnknownOutcome, link.CodeStoreUnavailable, link.CodeDeadlineTooShort:
		return call
	}
	return false
}

// newReply returns a reply without content.
func (e *Entry) newReply(a *router.Attempt) *router.Reply {
	return &router.Reply{
		Running: -1, Queued: -1, ReplicaID: a.ReplicaID,
		ReadBody: func() ([]byte, error) { return nil, nil },
		Close:    func() {}, SetDeadline: func(time.Time) {},
	}
}

// answerReply returns the head of an answer whose attempt has been admitted.
func (x *exchange) answerReply() *router.Reply {
	reply := x.entry.newReply(x.attempt)
	reply.Status = 200
	reply.WeightsVersion = x.payload.service.weightsVersions.Number(x.payload.sequence.WeightsVersion())
	// A frame marks the end, and the sequence tells which token is next.
	reply.NextEvent, reply.EndMarked = x.nextEvent, true
	reply.Close = func() { x.stream.Cancel() }
	reply.SetDeadline = func(deadline time.Time) {
		x.deadline = deadline
		x.stream.SetReadDeadline(deadline)
	}
	return reply
}

// nextEvent reads the next token. It replaces a broken connection as long as the sidecar
// holds the attempt.
func (x *exchange) nextEvent() (router.Event, error) {
	e, m := x.entry, x.payload
	for {
		var frame link.Frame
		stop := context.AfterFunc(x.ctx, x.giveUp(x.stream))
		err := x.stream.Receive(&frame)
		stop()
		if err != nil {
			if !x.reattach(err) {
				return router.Event{}, fmt.Errorf("read answer: %w", err)
			}
			continue
		}
		switch frame.Kind {
		case link.Token:
			pass, err := m.sequence.Accept(frame.AttemptID, frame.Index)
			if err != nil {
				return router.Event{}, fmt.Errorf("read answer: %w", err)
			}
			if pass {
				m.generated = append(m.generated, frame.Text)
				return router.Event{Raw: []byte(frame.Text), ID: int64(frame.Index)}, nil
			}
		case link.End:
			e.recordStatus(m.service, x.attempt.Address, frame.Status)
			if err := m.sequence.End(frame.AttemptID, frame.Index); err != nil {
				return router.Event{}, fmt.Errorf("end answer: %w", err)
			}
			return router.Event{}, io.EOF
		case link.Failure:
			e.recordStatus(m.service, x.attempt.Address, frame.Status)
			return router.Event{}, fmt.Errorf("backend server failed: %s: %s", frame.Code, frame.Detail)
		default:
			return router.Event{}, fmt.Errorf("unexpected frame %q", frame.Kind)
		}
	}
}

// giveUp returns what ends an exchange once the context of its attempt has ended. The sidecar goes on if
// that is because this entry stops: the caller may take the answer up at another one.
func (x *exchange) giveUp(stream *link.Stream) func() {
	return func() {
		if errors.Is(context.Cause(x.ctx), router.ErrStopping) {
			stream.Abandon()
			return
		}
		stream.Cancel()
	}
}

// reattach replaces a broken connection. It returns false if the attempt was canceled,
// the deadline has passed, or attaching fails, for instance because the sidecar no longer
// holds the attempt.
func (x *exchange) reattach(cause error) bool {
	e, a := x.entry, x.attempt
	if x.ctx.Err() != nil || !e.clock.Now().Before(x.deadline) {
		return false
	}
	e.common.Client().DropConnection(a.Address)
	x.stream.Cancel()
	if err := x.attach(); err != nil {
		e.logger.Warn("entry: connection lost and attempt not reattached.", "request", a.Request.ID, "attempt", x.payload.attempt, "err", errors.Join(cause, err))
		return false
	}
	e.metrics.reattached.Add(1)
	return true
}

// attach opens a new connection over which the rest of the current attempt's answer is
// read.
func (x *exchange) attach() error {
	e, m, a := x.entry, x.payload, x.attempt
	attachCtx, cancel := context.WithTimeout(x.ctx, attachTimeout)
	defer cancel()
	stream, err := e.common.Client().Open(attachCtx, a.Address, &link.Request{
		Kind:               link.Attach,
		RequestID:          a.Request.ID,
		AttemptID:          m.attempt,
		Service:            m.service.document.Service,
		Workspace:          m.workspace.Name,
		SidecarIncarnation: m.incarnation,
		FirstTokenIndex:    m.sequence.NextIndex(),
	})
	if err != nil {
		return fmt.Errorf("attach: %w", err)
	}
	var frame link.Frame
	stream.SetReadDeadline(time.Now().Add(attachTimeout))
	stop := context.AfterFunc(x.ctx, x.giveUp(stream))
	err = stream.Receive(&frame)
	stop()
	if err != nil || frame.Kind != link.Admitted || frame.AttemptID != m.attempt {
		stream.Cancel()
		return fmt.Errorf("attach: first frame %q: %w", frame.Kind, errors.Join(err, sequencer.ErrOtherAttempt))
	}
	if err := m.sequence.Begin(m.attempt, frame.WeightsVersion); err != nil {
		stream.Cancel()
		return fmt.Errorf("attach: %w", err)
	}
	stream.SetReadDeadline(x.deadline)
	x.stream = stream
	return nil
}

// sendCall sends a plain call and waits for its whole answer.
func (e *Entry) sendCall(ctx context.Context, m *payload, a *router.Attempt) (*router.Reply, error) {
	for corrections := 0; ; corrections++ {
		frame, err := e.sendCallOnce(ctx, m, a)
		if err != nil {
			return nil, err
		}
		if frame.Kind == link.Answer && frame.Answer != nil {
			reply := e.newReply(a)
			reply.Status, reply.Fields = frame.Answer.Status, frame.Answer
			reply.ReadBody = func() ([]byte, error) { return frame.Answer.Body, nil }
			return reply, nil
		}
		if frame.Kind != link.Failure {
			return nil, fmt.Errorf("unexpected frame %q", frame.Kind)
		}
		if corrections >= maxCorrections || !e.applyCorrection(ctx, m, a, frame) {
			return e.handleFailure(m, a, frame)
		}
	}
}

// sendCallOnce sends a plain call to the sidecar once. If the connection breaks, it
// requests the outcome of the call over a new one.
func (e *Entry) sendCallOnce(ctx context.Context, m *payload, a *router.Attempt) (*link.Frame, error) {
	request := e.newLinkRequest(m, a, link.Call)
	request.Call = m.call
	frame, err := e.common.Client().RoundTrip(ctx, a.Address, request)
	if errors.Is(err, link.ErrNotSent) {
		return nil, e.openFailed(a, err)
	}
	if err == nil && frame.AttemptID == request.AttemptID && frame.RequestID == a.Request.ID {
		e.recordStatus(m.service, a.Address, frame.Status)
		return frame, nil
	}
	if ctx.Err() != nil {
		return nil, fmt.Errorf("await answer: %w", errors.Join(err, ctx.Err()))
	}
	e.logger.Warn("entry: no usable answer to a call; asking for its outcome.", "request", a.Request.ID, "attempt", request.AttemptID, "err", err)
	e.common.Client().DropConnection(a.Address)
	request.Kind, request.Call, request.BeforeSend = link.Attach, nil, nil
	frame, attachErr := e.common.Client().RoundTrip(ctx, a.Address, request)
	if attachErr != nil || frame.AttemptID != request.AttemptID {
		return nil, fmt.Errorf("ask for the outcome: %w", errors.Join(err, attachErr, sequencer.ErrOtherAttempt))
	}
	e.metrics.reattached.Add(1)
	e.recordStatus(m.service, a.Address, frame.Status)
	return frame, nil
}
