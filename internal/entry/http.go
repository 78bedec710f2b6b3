package entry

import (
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cyclamenward/cyclamenward/admitter"
	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/listener"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
)

// Header names of requests and answers.
const (
	headerRequestID      = "X-Request-Id"
	headerTimeout        = "X-Request-Timeout"
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-ID"
)

const (
	pathServices = "/services/"
	// maxKeyLength bounds an idempotency key, in bytes.
	maxKeyLength = 255
)

// requestIDForm is what a caller may give as a request id.
var requestIDForm = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// caller is an authenticated request.
type caller struct {
	requestID string
	keyHash   string
	catalog   *catalog
}

// handle answers one request of a caller.
func (e *Entry) handle(ctx *fasthttp.RequestCtx) {
	e.metrics.requests.Add(1)
	if e.draining.Load() {
		ctx.SetConnectionClose()
	}
	c := &caller{requestID: string(ctx.Request.Header.Peek(headerRequestID)), catalog: e.current()}
	if !requestIDForm.MatchString(c.requestID) {
		c.requestID = uuid.NewString()
	}
	ctx.Response.Header.Set(headerRequestID, c.requestID)
	if p := e.route(ctx, c); p != nil {
		e.refuse(ctx, c, p)
	}
}

// refuse answers with a problem.
func (e *Entry) refuse(ctx *fasthttp.RequestCtx, c *caller, p *problem) {
	e.metrics.count(p.Outcome)
	p.RequestID = c.requestID
	e.logger.Info("entry: refused request.", "request", c.requestID, "status", p.Status, "code", p.Code, "outcome", p.Outcome, "detail", p.Detail)
	p.write(ctx)
}

// refuseUnreadable answers requests that the HTTP library could not read.
func (e *Entry) refuseUnreadable(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	if strings.Contains(err.Error(), "body size exceeds") {
		status = fasthttp.StatusRequestEntityTooLarge
	}
	notRun(status, codeBadRequest, err.Error()).write(ctx)
	ctx.SetConnectionClose()
}

func (e *Entry) route(ctx *fasthttp.RequestCtx, c *caller) *problem {
	if p := authenticate(ctx, c); p != nil {
		return p
	}
	path := string(ctx.Path())
	switch {
	case path == "/v1/models" && ctx.IsGet():
		listModels(ctx, c)
		return nil
	case path == "/v1/chat/completions" && ctx.IsPost():
		return e.complete(ctx, c, true)
	case path == "/v1/completions" && ctx.IsPost():
		return e.complete(ctx, c, false)
	case strings.HasPrefix(path, pathServices):
		return e.forward(ctx, c, strings.TrimPrefix(path, pathServices))
	}
	return notRun(fasthttp.StatusNotFound, codeNotFound, "no such path")
}

// authenticate finds out which services the caller's key opens.
func authenticate(ctx *fasthttp.RequestCtx, c *caller) *problem {
	headers := ctx.Request.Header.PeekAll(fasthttp.HeaderAuthorization)
	if len(headers) != 1 {
		return notRun(fasthttp.StatusUnauthorized, codeUnauthorized, "exactly one Authorization header with a bearer key is needed")
	}
	key, ok := strings.CutPrefix(string(headers[0]), "Bearer ")
	if !ok || key == "" {
		return notRun(fasthttp.StatusUnauthorized, codeUnauthorized, "a bearer key is needed")
	}
	c.keyHash = decoder.HashKey(key)
	if len(c.catalog.byKey[c.keyHash]) == 0 {
		return notRun(fasthttp.StatusUnauthorized, codeUnauthorized, "the key is not known")
	}
	return nil
}

// deadline returns the time that the caller allows, within the document's limits.
func deadline(ctx *fasthttp.RequestCtx, document *decoder.Document) (time.Duration, *problem) {
	text := string(ctx.Request.Header.Peek(headerTimeout))
	if text == "" {
		return document.Deadline.Default.Duration, nil
	}
	limit, err := time.ParseDuration(text)
	if err != nil || limit <= 0 {
		return 0, notRun(fasthttp.StatusBadRequest, codeBadRequest, headerTimeout+" is not a duration such as 2.5s")
	}
	return min(limit, document.Deadline.Max.Duration), nil
}

// enter counts a request against its workspace.
func (e *Entry) enter(s *service, workspace *decoder.Workspace) (leave func(), p *problem) {
	name := s.document.Service + "/" + workspace.Name
	if !e.inFlight.Enter(name, workspace.MaxInFlight) {
		p := notRun(fasthttp.StatusTooManyRequests, codeTooManyOwn, "the workspace has too many requests in flight")
		return nil, p.retryAfter(time.Second)
	}
	return func() { e.inFlight.Leave(name) }, nil
}

// findModel returns the service that serves the model, or the model and adapter
// of a name such as "base:adapter".
func (c *caller) findModel(name string) (s *service, adapter string) {
	base, adapter, _ := strings.Cut(name, ":")
	for _, s := range c.catalog.byKey[c.keyHash] {
		model := s.document.Model
		if model == nil || model.Name != base {
			continue
		}
		if adapter == "" || slices.Contains(model.Adapters, adapter) {
			return s, adapter
		}
	}
	return nil, ""
}

// newRequest returns what the router has to know of any request but its route and
// message.
func (e *Entry) newRequest(ctx *fasthttp.RequestCtx, c *caller, workspace *decoder.Workspace, limit time.Duration) *router.Request {
	now := e.clock.Now()
	return &router.Request{
		ID: c.requestID, Catalog: c.catalog.routing, Workspace: &router.Workspace{Name: workspace.Name, Dedicated: true},
		Arrived: now, Deadline: now.Add(limit), LastEventID: -1, CallerGone: listener.Disconnected(ctx.Conn()),
	}
}

// count adds one to the outcome's counter.
func (m *metrics) count(outcome admitter.Outcome) {
	switch outcome {
	case admitter.NotRun:
		m.notRun.Add(1)
	case admitter.Answered:
		m.answered.Add(1)
	default:
		m.unknown.Add(1)
	}
}
