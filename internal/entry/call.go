package entry

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cyclamenward/cyclamenward/admitter"
	"github.com/cyclamenward/cyclamenward/claimer"
	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
)

// forwardedHeaders are the only header fields that pass to and from plain services.
var forwardedHeaders = []string{fasthttp.HeaderContentType, fasthttp.HeaderAccept, fasthttp.HeaderAcceptLanguage}

// callRun is one request to a plain service. It is used by one goroutine.
type callRun struct {
	entry     *Entry
	service   *service
	workspace *decoder.Workspace
	requestID string
	call      link.PlainCall
	until     time.Time
	// order lists the replicas to try, best first.
	order []int
	// corrections counts attempts that failed for outdated knowledge.
	corrections int
	last        *problem
}

// forward answers a request to a plain service.
func (e *Entry) forward(ctx *fasthttp.RequestCtx, c *caller, rest string) *problem {
	name, path, _ := strings.Cut(rest, "/")
	s := c.catalog.byName[name]
	if s == nil || s.document.Kind != decoder.PlainService || s.workspaces[c.keyHash] == nil {
		return notRun(fasthttp.StatusNotFound, codeNotFound, "no such service for this key")
	}
	workspace := s.workspaces[c.keyHash]
	limit, p := deadline(ctx, s.document)
	if p != nil {
		return p
	}
	key, p := idempotencyKey(ctx)
	if p != nil {
		return p
	}
	leave, p := e.enter(s, workspace)
	if p != nil {
		return p
	}
	defer leave()
	path = "/" + path
	r := &callRun{entry: e, service: s, workspace: workspace, requestID: c.requestID, until: e.clock.Now().Add(limit)}
	r.call = link.PlainCall{
		Method:         string(ctx.Method()),
		Path:           withQuery(ctx, path),
		Headers:        passedHeaders(ctx),
		Body:           ctx.PostBody(),
		IdempotencyKey: key,
		Repeatable:     s.document.MayRepeat(string(ctx.Method()), path),
	}
	e.retries.Earn()
	r.order = r.replicas()
	answer, p := r.run()
	if p != nil {
		return p
	}
	e.metrics.count(admitter.Answered)
	writeAnswer(ctx, answer)
	return nil
}

func idempotencyKey(ctx *fasthttp.RequestCtx) (string, *problem) {
	values := ctx.Request.Header.PeekAll(headerIdempotencyKey)
	switch {
	case len(values) == 0:
		return "", nil
	case len(values) > 1:
		return "", notRun(fasthttp.StatusBadRequest, codeBadRequest, "more than one "+headerIdempotencyKey)
	case len(values[0]) == 0 || len(values[0]) > maxKeyLength:
		return "", notRun(fasthttp.StatusBadRequest, codeBadRequest, fmt.Sprintf("%s must have 1 to %d bytes", headerIdempotencyKey, maxKeyLength))
	}
	return string(values[0]), nil
}

func withQuery(ctx *fasthttp.RequestCtx, path string) string {
	if query := ctx.URI().QueryString(); len(query) > 0 {
		return path + "?" + string(query)
	}
	return path
}

func passedHeaders(ctx *fasthttp.RequestCtx) []link.Header {
	var headers []link.Header
	for _, name := range forwardedHeaders {
		if value := ctx.Request.Header.Peek(name); len(value) > 0 {
			headers = append(headers, link.Header{Name: name, Value: string(value)})
		}
	}
	return headers
}

func writeAnswer(ctx *fasthttp.RequestCtx, answer *link.PlainAnswer) {
	ctx.SetStatusCode(answer.Status)
	for _, header := range answer.Headers {
		ctx.Response.Header.Set(header.Name, header.Value)
	}
	if answer.Replayed {
		ctx.Response.Header.Set("Idempotency-Replayed", "true")
	}
	ctx.SetBody(answer.Body)
}

// replicas returns the order in which replicas are tried. Requests with a key go
// to the replica that all entries agree on for the key's range, so that its
// sidecar already holds the range's claims.
func (r *callRun) replicas() []int {
	pool := r.service.pool
	hash := random()
	if r.call.IdempotencyKey != "" {
		hash = uint64(claimer.RangeOf(r.workspace.Name+"\x00"+r.call.IdempotencyKey, r.service.document.Claims.Ranges))
	}
	return pool.Homes(nil, hash, pool.Len())
}

// run tries until there is an answer or a final problem.
func (r *callRun) run() (*link.PlainAnswer, *problem) {
	for len(r.order) > 0 {
		if r.entry.timeLeft(r.until) <= 0 {
			break
		}
		index := r.order[0]
		if r.unusable(index) {
			r.order = r.order[1:]
			continue
		}
		frame, p := r.attempt(index)
		if p == nil && frame.Kind == link.Answer && frame.Answer != nil {
			return frame.Answer, nil
		}
		if p == nil {
			p = r.afterFailure(index, frame)
		}
		if p != nil {
			return nil, p
		}
	}
	if r.last != nil {
		return nil, r.last
	}
	return nil, notRun(fasthttp.StatusServiceUnavailable, codeNoBackend, "no backend server can take the request").retryAfter(time.Second)
}

func (r *callRun) unusable(index int) bool {
	status := r.service.pool.Status(index)
	report := status.Report()
	return status.Avoided(r.entry.clock.Now()) || (report != nil && report.Leaving)
}

// attempt sends the call once. It returns the final frame, or a problem if that
// is final. (nil, nil) is never returned.
func (r *callRun) attempt(index int) (*link.Frame, *problem) {
	e, replica := r.entry, r.service.pool.Replica(index)
	e.metrics.attempts.Add(1)
	request := &link.Request{
		Kind:               link.Call,
		RequestID:          r.requestID,
		AttemptID:          uuid.NewString(),
		Service:            r.service.document.Service,
		Workspace:          r.workspace.Name,
		Revision:           r.service.revised.Revision,
		SidecarIncarnation: r.service.incarnationOf(index),
		Sender:             e.common.Identity().LinkAddress,
		Remaining:          e.timeLeft(r.until),
		Priority:           r.workspace.Priority,
		Call:               &r.call,
	}
	e.logger.Info("route: chose replica.", "request", r.requestID, "service", r.service.document.Service, "workspace", r.workspace.Name,
		"backendServer", replica.Name, "reason", "home", "attempt", request.AttemptID, "revision", request.Revision, "keyed", r.call.IdempotencyKey != "")
	ctx, cancel := context.WithDeadline(context.Background(), r.until)
	defer cancel()
	frame, err := e.common.Client().Ask(ctx, replica.Address, request)
	if errors.Is(err, link.ErrNotSent) {
		return r.notReached(index, err), nil
	}
	if err != nil || frame.AttemptID != request.AttemptID || frame.RequestID != r.requestID {
		return r.ask(ctx, index, request, err)
	}
	e.learn(r.service, index, frame.News)
	return frame, nil
}

// notReached makes the failure of an attempt that was never sent.
func (r *callRun) notReached(index int, err error) *link.Frame {
	e, replica := r.entry, r.service.pool.Replica(index)
	e.logger.Warn("route: sidecar not reached.", "request", r.requestID, "backendServer", replica.Name, "err", err)
	e.common.Client().Drop(replica.Address)
	r.service.pool.Status(index).Avoid(e.clock.Now().Add(avoidAfterLoss))
	return &link.Frame{Kind: link.Failure, Outcome: admitter.NotRun, Code: codeNoBackend, Detail: "sidecar not reached", RetryAfter: time.Second}
}

// ask learns over a new connection what became of an attempt whose exchange
// broke off. If that cannot be told, the outcome is unknown.
func (r *callRun) ask(ctx context.Context, index int, request *link.Request, cause error) (*link.Frame, *problem) {
	e, replica := r.entry, r.service.pool.Replica(index)
	e.logger.Warn("route: exchange broke off.", "request", r.requestID, "attempt", request.AttemptID, "err", cause)
	e.common.Client().Drop(replica.Address)
	e.metrics.reattached.Add(1)
	again := *request
	again.Kind, again.Call = link.Attach, nil
	frame, err := e.common.Client().Ask(ctx, replica.Address, &again)
	if err == nil && frame.AttemptID == request.AttemptID {
		return frame, nil
	}
	r.service.pool.Status(index).Avoid(e.clock.Now().Add(avoidAfterLoss))
	return &link.Frame{Kind: link.Failure, Outcome: admitter.Unknown, Code: link.CodeBackend, Detail: "the backend server was lost"}, nil
}

// afterFailure decides what follows a failure. nil means that another attempt is
// due; its replica is the first in order.
func (r *callRun) afterFailure(index int, frame *link.Frame) *problem {
	r.last = fromFrame(frame)
	switch {
	case frame.Code == link.CodeRevision || frame.Code == link.CodeIncarnation:
		return r.correct(index, frame)
	case !r.mayTryElsewhere(frame):
		return r.last
	}
	r.order = r.order[1:]
	if !r.entry.retries.Spend() {
		return r.last
	}
	r.entry.metrics.retries.Add(1)
	return nil
}

// correct tries the same replica again with better knowledge.
func (r *callRun) correct(index int, frame *link.Frame) *problem {
	e := r.entry
	e.metrics.corrections.Add(1)
	if r.corrections++; r.corrections > maxCorrections || frame.Outcome != admitter.NotRun {
		return r.last
	}
	if frame.Code == link.CodeRevision {
		ctx, cancel := context.WithTimeout(context.Background(), attachLimit)
		defer cancel()
		e.common.CatchUp(ctx, r.service.pool.Replica(index).Address)
		r.adopt(e.current().byName[r.service.document.Service])
	}
	return nil
}

// adopt goes on under a newer revision if it still knows the workspace.
func (r *callRun) adopt(newer *service) {
	if newer == nil || newer.document.Kind != decoder.PlainService {
		return
	}
	if workspace := newer.workspaceNamed(r.workspace.Name); workspace != nil {
		r.service, r.workspace = newer, workspace
		r.order = r.replicas()
	}
}

// mayTryElsewhere reports whether another replica may get the call. A call that
// may not be repeated goes elsewhere only if it is proved that it did not run and
// its key is free.
func (r *callRun) mayTryElsewhere(frame *link.Frame) bool {
	switch frame.Code {
	case link.CodeKeyReused, link.CodeKeyPending, link.CodeKeyUnknown, link.CodeBadRequest, link.CodeStore, link.CodeDeadline:
		return false
	}
	return frame.Outcome == admitter.NotRun || (r.call.Repeatable && frame.Outcome == admitter.Unknown)
}
