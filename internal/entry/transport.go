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
	// maxCorrections is how often one attempt is sent again to a sidecar that refused it
	// for outdated knowledge, which it corrected.
	maxCorrections = 3
	// attachLimit bounds the try to reach an attempt over a new connection: a round trip
	// between regions and a handshake, with room.
	attachLimit = 600 * time.Millisecond
)

// payload is what a request carries to sidecars. It is used by one goroutine.
type payload struct {
	service   *service
	workspace *decoder.Workspace
	// infer is set for model requests and call for calls of plain services.
	infer *link.Inference
	call  *link.PlainCall

	// sequence checks the tokens of a model answer. generated holds those that passed,
	// from index first on, which is above 0 behind a caller's resumption.
	sequence  *sequencer.Sequence
	generated []string
	first     int
	// held is an attempt of a caller's earlier request that a sidecar may still hold.
	held *resumePoint
	// replica, incarnation and attempt are where the answer comes from.
	replica, incarnation, attempt string
}

// exchange is one attempt under way at a sidecar.
type exchange struct {
	entry   *Entry
	payload *payload
	attempt *router.Attempt
	ctx     context.Context
	stream  *link.Stream
	// deadline is when the stream counts as silent.
	deadline time.Time
}

// transport reaches replicas by way of their sidecars.
func (e *Entry) transport() router.Transport {
	return router.Transport{Send: func(ctx context.Context, a *router.Attempt) (*router.Reply, error) {
		m := a.Request.Message.(*payload)
		if m.call != nil {
			return e.sendCall(ctx, m, a)
		}
		return e.sendInference(ctx, m, a)
	}}
}

// sendInference sends a model request and waits until it is admitted.
func (e *Entry) sendInference(ctx context.Context, m *payload, a *router.Attempt) (*router.Reply, error) {
	x := &exchange{entry: e, payload: m, attempt: a, ctx: ctx, deadline: a.Request.Deadline}
	if m.held != nil {
		held := m.held
		m.held = nil
		if replicaID(held.Service, held.BackendServer) == a.ReplicaID {
			m.attempt, m.incarnation, m.replica = held.Attempt, held.SidecarIncarnation, a.ReplicaID
			err := x.attach()
			if err == nil {
				e.metrics.reattached.Add(1)
				return x.reply(), nil
			}
			e.logger.Info("entry: attempt is no longer held.", "request", a.Request.ID, "attempt", held.Attempt, "err", err)
		}
	}
	version := m.sequence.WeightsVersion()
	if version == "" {
		version = m.service.versions.Version(a.WeightsVersion)
	}
	if version == "" {
		version = m.service.document.Model.WeightsVersion
	}
	for corrections := 0; ; corrections++ {
		frame, err := x.open(version)
		if err != nil {
			return nil, err
		}
		if frame.Kind == link.Admitted {
			if err := m.sequence.Begin(m.attempt, frame.WeightsVersion); err != nil {
				x.stream.Cancel()
				return nil, fmt.Errorf("begin answer: %w", err)
			}
			return x.reply(), nil
		}
		x.stream.Cancel()
		if frame.Kind != link.Failure {
			return nil, fmt.Errorf("frame %q before admission", frame.Kind)
		}
		served := ""
		if frame.Status != nil {
			served = frame.Status.WeightsVersion
		}
		bound := m.sequence.WeightsVersion()
		if corrections >= maxCorrections || !e.correct(m, a, frame) || (frame.Code == link.CodeWeightsNotServed && (served == "" || (bound != "" && served != bound))) {
			return e.refused(m, a, frame)
		}
		if frame.Code == link.CodeWeightsNotServed {
			version = served
		}
	}
}

// open sends the request to the sidecar and reads the first frame.
func (x *exchange) open(version string) (*link.Frame, error) {
	e, m, a := x.entry, x.payload, x.attempt
	infer := *m.infer
	infer.WeightsVersion = version
	if m.first == 0 {
		infer.Generated = m.generated
	}
	request := e.newLinkRequest(m, a, link.Infer)
	request.FirstTokenIndex, request.Infer = m.sequence.Next(), &infer
	stream, err := e.common.Client().Open(x.ctx, a.Address, request)
	if err != nil {
		return nil, e.notReached(a, err)
	}
	stream.SetReadDeadline(x.deadline)
	x.stream = stream
	m.attempt, m.incarnation, m.replica = request.AttemptID, request.SidecarIncarnation, a.ReplicaID
	var frame link.Frame
	if err := stream.Receive(&frame); err != nil {
		stream.Cancel()
		e.common.Client().DropConnection(a.Address)
		return nil, fmt.Errorf("await admission: %w", err)
	}
	if frame.AttemptID != m.attempt || frame.RequestID != a.Request.ID {
		stream.Cancel()
		return nil, fmt.Errorf("await admission: %w", sequencer.ErrForeign)
	}
	e.observe(m.service, a.Address, frame.Status)
	return &frame, nil
}

// newLinkRequest returns a request for a new attempt.
func (e *Entry) newLinkRequest(m *payload, a *router.Attempt, kind link.RequestKind) *link.Request {
	return &link.Request{
		Kind:               kind,
		RequestID:          a.Request.ID,
		AttemptID:          uuid.NewString(),
		Service:            m.service.document.Service,
		Workspace:          m.workspace.Name,
		Revision:           m.service.revised.Revision,
		SidecarIncarnation: e.incarnationOf(a.Address),
		SenderAddress:      e.common.Identity().LinkAddress,
		Remaining:          a.Request.Deadline.Sub(e.clock.Now()),
		Priority:           m.workspace.Priority,
	}
}

// notReached judges an exchange that could not be opened.
func (e *Entry) notReached(a *router.Attempt, err error) error {
	e.common.Client().DropConnection(a.Address)
	if errors.Is(err, link.ErrNotSent) {
		return fmt.Errorf("%w: %w", router.ErrNotSent, err)
	}
	return err
}

// correct updates the knowledge for which a sidecar refused an attempt. It returns
// false if the attempt was refused for another reason.
func (e *Entry) correct(m *payload, a *router.Attempt, frame *link.Frame) bool {
	if frame.Outcome != admitter.NotRun {
		return false
	}
	switch frame.Code {
	case link.CodeRevisionOutdated:
		ctx, cancel := context.WithTimeout(context.Background(), attachLimit)
		defer cancel()
		e.common.CatchUp(ctx, a.Address)
		if !m.adopt(e.current().byName[m.service.document.Service]) {
			return false
		}
	case link.CodeIncarnationChanged, link.CodeWeightsNotServed:
		// The frame's status was observed.
	default:
		return false
	}
	e.metrics.corrections.Add(1)
	return true
}

// adopt goes on under a newer revision. It returns false if that does not know the
// workspace any more.
func (m *payload) adopt(newer *service) bool {
	if newer == nil || newer.document.Kind != m.service.document.Kind {
		return false
	}
	workspace := newer.workspaceNamed(m.workspace.Name)
	if workspace == nil {
		return false
	}
	m.service, m.workspace = newer, workspace
	return true
}

// refused judges a failure that the sidecar reported.
func (e *Entry) refused(m *payload, a *router.Attempt, frame *link.Frame) (*router.Reply, error) {
	e.logger.Info("entry: sidecar refused.", "request", a.Request.ID, "replica", a.ReplicaID, "code", frame.Code, "outcome", frame.Outcome, "detail", frame.Detail)
	reply := e.newReply(a)
	reply.Status = fromFrame(frame).Status
	switch {
	case final(frame.Code, m.call != nil):
		reply.Fields = fromFrame(frame)
	case frame.Outcome == admitter.NotRun:
		reply.NotRun, reply.RetryAfter = true, frame.RetryAfter
	default:
		return nil, fmt.Errorf("backend server failed: %s: %s", frame.Code, frame.Detail)
	}
	return reply, nil
}

// final reports whether a refusal is the caller's answer: no other replica would say
// otherwise, or a keyed call must stay where its key is.
func final(code link.Code, call bool) bool {
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

// reply is the head of an admitted answer.
func (x *exchange) reply() *router.Reply {
	reply := x.entry.newReply(x.attempt)
	reply.Status = 200
	reply.WeightsVersion = x.payload.service.versions.Number(x.payload.sequence.WeightsVersion())
	reply.NextEvent = x.next
	reply.Close = func() { x.stream.Cancel() }
	reply.SetDeadline = func(deadline time.Time) {
		x.deadline = deadline
		x.stream.SetReadDeadline(deadline)
	}
	return reply
}

// next reads the next token. A broken connection is replaced as long as the sidecar
// holds the attempt.
func (x *exchange) next() (router.Event, error) {
	e, m := x.entry, x.payload
	for {
		var frame link.Frame
		if err := x.stream.Receive(&frame); err != nil {
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
			e.observe(m.service, x.attempt.Address, frame.Status)
			if err := m.sequence.End(frame.AttemptID, frame.Index); err != nil {
				return router.Event{}, fmt.Errorf("end answer: %w", err)
			}
			return router.Event{}, io.EOF
		case link.Failure:
			e.observe(m.service, x.attempt.Address, frame.Status)
			return router.Event{}, fmt.Errorf("backend server failed: %s: %s", frame.Code, frame.Detail)
		default:
			return router.Event{}, fmt.Errorf("unexpected frame %q", frame.Kind)
		}
	}
}

// reattach replaces a broken connection. It returns false if the attempt is not held
// any more, was given up, or is silent.
func (x *exchange) reattach(cause error) bool {
	e, a := x.entry, x.attempt
	if x.ctx.Err() != nil || !e.clock.Now().Before(x.deadline) {
		return false
	}
	e.common.Client().DropConnection(a.Address)
	x.stream.Cancel()
	if err := x.attach(); err != nil {
		e.logger.Warn("entry: exchange broke off.", "request", a.Request.ID, "attempt", x.payload.attempt, "err", errors.Join(cause, err))
		return false
	}
	e.metrics.reattached.Add(1)
	return true
}

// attach reads the current attempt's answer over a new connection.
func (x *exchange) attach() error {
	e, m, a := x.entry, x.payload, x.attempt
	dial, cancel := context.WithTimeout(x.ctx, attachLimit)
	defer cancel()
	stream, err := e.common.Client().Open(dial, a.Address, &link.Request{
		Kind:               link.Attach,
		RequestID:          a.Request.ID,
		AttemptID:          m.attempt,
		Service:            m.service.document.Service,
		Workspace:          m.workspace.Name,
		SidecarIncarnation: m.incarnation,
		FirstTokenIndex:    m.sequence.Next(),
	})
	if err != nil {
		return fmt.Errorf("attach: %w", err)
	}
	var frame link.Frame
	stream.SetReadDeadline(time.Now().Add(attachLimit))
	if err := stream.Receive(&frame); err != nil || frame.Kind != link.Admitted || frame.AttemptID != m.attempt {
		stream.Cancel()
		return fmt.Errorf("attach: first frame %q: %w", frame.Kind, errors.Join(err, sequencer.ErrForeign))
	}
	if err := m.sequence.Begin(m.attempt, frame.WeightsVersion); err != nil {
		stream.Cancel()
		return fmt.Errorf("attach: %w", err)
	}
	stream.SetReadDeadline(x.deadline)
	x.stream = stream
	return nil
}

// sendCall sends a call of a plain service and waits for its whole answer.
func (e *Entry) sendCall(ctx context.Context, m *payload, a *router.Attempt) (*router.Reply, error) {
	for corrections := 0; ; corrections++ {
		frame, err := e.ask(ctx, m, a)
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
		if corrections >= maxCorrections || !e.correct(m, a, frame) {
			return e.refused(m, a, frame)
		}
	}
}

// ask sends a call once. If the exchange breaks off, the outcome is asked for over a
// new connection.
func (e *Entry) ask(ctx context.Context, m *payload, a *router.Attempt) (*link.Frame, error) {
	request := e.newLinkRequest(m, a, link.Call)
	request.Call = m.call
	frame, err := e.common.Client().RoundTrip(ctx, a.Address, request)
	if errors.Is(err, link.ErrNotSent) {
		return nil, e.notReached(a, err)
	}
	if err == nil && frame.AttemptID == request.AttemptID && frame.RequestID == a.Request.ID {
		e.observe(m.service, a.Address, frame.Status)
		return frame, nil
	}
	e.logger.Warn("entry: exchange broke off.", "request", a.Request.ID, "attempt", request.AttemptID, "err", err)
	e.common.Client().DropConnection(a.Address)
	request.Kind, request.Call = link.Attach, nil
	frame, again := e.common.Client().RoundTrip(ctx, a.Address, request)
	if again != nil || frame.AttemptID != request.AttemptID {
		return nil, fmt.Errorf("ask for the outcome: %w", errors.Join(err, again, sequencer.ErrForeign))
	}
	e.metrics.reattached.Add(1)
	e.observe(m.service, a.Address, frame.Status)
	return frame, nil
}
