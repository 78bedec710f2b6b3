package entry

import (
	"errors"
	"net"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cyclamenward/cyclamenward/admitter"
	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/internal/gateway/reserver"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/listener"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
)

// Header fields of callers' requests and of their answers.
const (
	headerRequestID      = "X-Request-Id"
	headerTimeout        = "X-Request-Timeout"
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-ID"
)

const (
	// pathServices is the prefix of the paths of plain calls, before the service's name.
	pathServices = "/services/"
	// maxIdempotencyKeyBytes bounds the length of an idempotency key.
	maxIdempotencyKeyBytes = 255
)

// requestIDPattern matches the request IDs that are accepted from callers.
var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// caller holds what is known of the caller of one request: the request ID, the hash of
// the API key, and the catalog that applies to the request.
type caller struct {
	requestID string
	keyHash   string
	catalog   *catalog
	// release releases the memory of the request's body and ends the request. It is called when the
	// request has been handled, or at the end of its stream if streaming is set.
	release   func()
	streaming bool
}

// handleCaller answers one request of a caller.
func (e *Entry) handleCaller(ctx *fasthttp.RequestCtx) {
	e.metrics.requests.Add(1)
	ended, releaseBody := e.stopper.Begin(ctx), e.bodies.Claim(&ctx.Request.Header, cap(ctx.Request.Body()))
	served := true
	c := &caller{requestID: string(ctx.Request.Header.Peek(headerRequestID)), catalog: e.currentCatalog(), release: func() {
		releaseBody()
		ended(served)
	}}
	defer func() {
		if !c.streaming {
			c.release()
		}
	}()
	if !requestIDPattern.MatchString(c.requestID) {
		c.requestID = uuid.NewString()
	}
	ctx.Response.Header.Set(headerRequestID, c.requestID)
	if p := e.dispatch(ctx, c); p != nil {
		served = false
		e.refuse(ctx, c, p)
	}
}

// refuse counts and logs a problem and writes it as the answer.
func (e *Entry) refuse(ctx *fasthttp.RequestCtx, c *caller, p *problem) {
	e.metrics.count(p.Outcome)
	p.RequestID = c.requestID
	e.logger.Info("entry: request refused.", "request", c.requestID, "status", p.Status, "code", p.Code, "outcome", p.Outcome, "detail", p.Detail)
	p.write(ctx)
}

// admitBody decides how much of the body of a request is read. It may wait for room. Of the body of a
// caller without a valid key little is read, since that is going to be refused.
func (e *Entry) admitBody(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	c := &caller{catalog: e.currentCatalog()}
	maxBytes := maxRequestBody
	if authenticate(header, c) != nil {
		maxBytes = reserver.FreeBytes
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: e.bodies.Admit(header, maxBytes, c.catalog.bodyPriorities[c.keyHash])}
}

// refuseUnreadable answers requests that could not be read.
func (e *Entry) refuseUnreadable(ctx *fasthttp.RequestCtx, err error) {
	header := &ctx.Request.Header
	e.bodies.RestoreHead(header)
	tooLarge := e.bodies.Refuse(header, maxRequestBody)
	p := notRunProblem(fasthttp.StatusBadRequest, codeBadRequest, err.Error())
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		p = notRunProblem(fasthttp.StatusRequestTimeout, codeBadRequest, "the request has not arrived in time")
	}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		p = authenticate(header, &caller{catalog: e.currentCatalog()})
		switch {
		case p != nil:
		case tooLarge:
			p = notRunProblem(fasthttp.StatusRequestEntityTooLarge, codeBadRequest, err.Error())
		default:
			p = notRunProblem(fasthttp.StatusServiceUnavailable, codeOverloaded, "there is no room for the body").withRetryAfter(bodyRetryAfter)
		}
	}
	p.write(ctx)
	ctx.SetConnectionClose()
}

// dispatch authenticates the caller and handles the request by its method and path.
func (e *Entry) dispatch(ctx *fasthttp.RequestCtx, c *caller) *problem {
	if p := authenticate(&ctx.Request.Header, c); p != nil {
		return p
	}
	path := string(ctx.Path())
	switch {
	case path == "/v1/models" && ctx.IsGet():
		writeModels(ctx, c)
		return nil
	case path == "/v1/chat/completions" && ctx.IsPost():
		return e.serveCompletion(ctx, c, true)
	case path == "/v1/completions" && ctx.IsPost():
		return e.serveCompletion(ctx, c, false)
	}
	if target, found := parseCallTarget(&ctx.Request); found {
		return e.forwardPlain(ctx, c, target)
	}
	return notRunProblem(fasthttp.StatusNotFound, codeNotFound, "no such path")
}

// authenticate sets the caller's key hash, or returns a problem if no service accepts the
// key.
func authenticate(header *fasthttp.RequestHeader, c *caller) *problem {
	headers := header.PeekAll(fasthttp.HeaderAuthorization)
	if len(headers) != 1 {
		return notRunProblem(fasthttp.StatusUnauthorized, codeUnauthorized, "exactly one Authorization header with a bearer key is needed")
	}
	key, ok := strings.CutPrefix(string(headers[0]), "Bearer ")
	if !ok || key == "" {
		return notRunProblem(fasthttp.StatusUnauthorized, codeUnauthorized, "a bearer key is needed")
	}
	c.keyHash = decoder.HashKey(key)
	if len(c.catalog.byKeyHash[c.keyHash]) == 0 {
		return notRunProblem(fasthttp.StatusUnauthorized, codeUnauthorized, "the key is not known")
	}
	return nil
}

// requestTimeout returns the timeout from the request's header, but at most the
// document's maximum. Without that header it returns the document's default.
func requestTimeout(ctx *fasthttp.RequestCtx, document *decoder.Document) (time.Duration, *problem) {
	text := string(ctx.Request.Header.Peek(headerTimeout))
	if text == "" {
		return document.Deadline.Default.Duration, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 {
		return 0, notRunProblem(fasthttp.StatusBadRequest, codeBadRequest, headerTimeout+" is not a duration such as 2.5s")
	}
	return min(timeout, document.Deadline.Max.Duration), nil
}

// acquireInFlight counts a request against the in-flight limit of its workspace until
// release is called, or returns a problem if the limit is reached.
func (e *Entry) acquireInFlight(s *service, workspace *decoder.Workspace) (release func(), p *problem) {
	name := s.document.Service + "/" + workspace.Name
	if !e.inFlight.Enter(name, workspace.MaxInFlight) {
		p := notRunProblem(fasthttp.StatusTooManyRequests, codeWorkspaceLimit, "the workspace has too many requests in flight")
		return nil, p.withRetryAfter(time.Second)
	}
	return func() { e.inFlight.Leave(name) }, nil
}

// findModel returns the service that serves the named model. A name such as
// "base:adapter" is split into the model and its adapter. The service is nil if there is
// none.
func (c *caller) findModel(name string) (s *service, adapter string) {
	base, adapter, _ := strings.Cut(name, ":")
	for _, s := range c.catalog.byKeyHash[c.keyHash] {
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

// newRouterRequest returns the router's request without its route and its message, which
// depend on the kind of request.
func (e *Entry) newRouterRequest(ctx *fasthttp.RequestCtx, c *caller, workspace *decoder.Workspace, timeout time.Duration) *router.Request {
	connection := ctx.Conn()
	arrived := listener.ReceivedAt(connection, e.clock.Now())
	return &router.Request{
		ID: c.requestID, Catalog: c.catalog.routing, Workspace: &router.Workspace{Name: workspace.Name, Dedicated: true},
		Arrived: arrived, Deadline: arrived.Add(timeout), LastEventID: -1, CallerGone: listener.Disconnected(connection),
		CallerLeft: func() bool { return listener.Left(connection) },
	}
}

// count increments the counter of a request outcome.
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
