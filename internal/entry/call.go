package entry

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/cyclamenward/cyclamenward/admitter"
	"github.com/cyclamenward/cyclamenward/claimer"
	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/internal/gateway/reserver"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/valyala/fasthttp"
)

// forwardedHeaders are the header fields copied from a caller's request to a plain
// service. No other field of the request is passed on.
var forwardedHeaders = []string{fasthttp.HeaderContentType, fasthttp.HeaderAccept, fasthttp.HeaderAcceptLanguage}

// callTarget is what a caller's request names under /services/.
type callTarget struct {
	// service is the name of the service, path the path that follows, and query the rest of the
	// target from the question mark on; all as the caller sent them.
	service, path, query string
	// normalizedPath is the path with its escapes decoded and without its dot segments. A
	// service may take it for the path.
	normalizedPath string
}

// parseCallTarget returns what a request names under /services/, and false if that is nothing.
func parseCallTarget(request *fasthttp.Request) (callTarget, bool) {
	uri := request.URI()
	rest, found := strings.CutPrefix(string(uri.PathOriginal()), pathServices)
	if !found {
		return callTarget{}, false
	}
	var t callTarget
	t.service, t.path, _ = strings.Cut(rest, "/")
	t.path = "/" + t.path
	t.normalizedPath = "/" + strings.TrimPrefix(strings.TrimPrefix(string(uri.Path()), pathServices+t.service), "/")
	if sent := request.Header.RequestURI(); bytes.IndexByte(sent, '?') >= 0 {
		t.query = string(sent[bytes.IndexByte(sent, '?'):])
	}
	return t, true
}

// mayRepeat reports whether a call may be sent more than once, however the service reads its path.
func (t callTarget) mayRepeat(document *decoder.Document, method string) bool {
	return document.MayRepeat(method, t.path) && document.MayRepeat(method, t.normalizedPath)
}

// forwardPlain sends a caller's request to a plain service and writes the service's answer.
func (e *Entry) forwardPlain(ctx *fasthttp.RequestCtx, c *caller, target callTarget) *problem {
	s := c.catalog.byName[target.service]
	if s == nil || s.document.Kind != decoder.PlainService || s.workspaceByKeyHash[c.keyHash] == nil {
		return notRunProblem(fasthttp.StatusNotFound, codeNotFound, "no such service for this key")
	}
	workspace := s.workspaceByKeyHash[c.keyHash]
	timeout, p := requestTimeout(ctx, s.document)
	if p != nil {
		return p
	}
	key, p := idempotencyKey(ctx)
	if p != nil {
		return p
	}
	release, p := e.acquireInFlight(s, workspace)
	if p != nil {
		return p
	}
	defer release()
	request := e.newRouterRequest(ctx, c, workspace, timeout)
	request.Route = s.onceRoute
	call := &link.PlainCall{
		Method:         string(ctx.Method()),
		Path:           target.path + target.query,
		Headers:        requestHeaders(ctx),
		Body:           ctx.PostBody(),
		IdempotencyKey: key,
		Repeatable:     target.mayRepeat(s.document, string(ctx.Method())),
	}
	if call.Repeatable {
		request.Route = s.repeatableRoute
	}
	if key != "" {
		// A sidecar holds the idempotency claims of a whole range of keys, so all requests
		// with keys of one range are sent to the same sidecar.
		request.Affinity = 1 + uint64(claimer.RangeOf(workspace.Name+"\x00"+key, s.document.Claims.Ranges))
	}
	request.Message = &payload{service: s, workspace: workspace, call: call}
	result := e.router.Begin(request)
	if p := problemFromResult(result); p != nil {
		return p
	}
	e.metrics.count(admitter.Answered)
	writePlainAnswer(ctx, result.Reply.Fields.(*link.PlainAnswer), e.memory)
	return nil
}

func idempotencyKey(ctx *fasthttp.RequestCtx) (string, *problem) {
	values := ctx.Request.Header.PeekAll(headerIdempotencyKey)
	switch {
	case len(values) == 0:
		return "", nil
	case len(values) > 1:
		return "", notRunProblem(fasthttp.StatusBadRequest, codeBadRequest, "more than one "+headerIdempotencyKey)
	case len(values[0]) == 0 || len(values[0]) > maxIdempotencyKeyBytes:
		return "", notRunProblem(fasthttp.StatusBadRequest, codeBadRequest, fmt.Sprintf("%s must have 1 to %d bytes", headerIdempotencyKey, maxIdempotencyKeyBytes))
	}
	return string(values[0]), nil
}

func requestHeaders(ctx *fasthttp.RequestCtx) []link.Header {
	var headers []link.Header
	for _, name := range forwardedHeaders {
		if value := ctx.Request.Header.Peek(name); len(value) > 0 {
			headers = append(headers, link.Header{Name: name, Value: string(value)})
		}
	}
	return headers
}

// writePlainAnswer writes a service's answer. A large one takes memory until it is written.
func writePlainAnswer(ctx *fasthttp.RequestCtx, answer *link.PlainAnswer, memory *reserver.Budget) {
	ctx.SetStatusCode(answer.Status)
	for _, header := range answer.Headers {
		ctx.Response.Header.Set(header.Name, header.Value)
	}
	if answer.Replayed {
		ctx.Response.Header.Set("Idempotency-Replayed", "true")
	}
	size := len(answer.Body)
	if size <= reserver.FreeBytes {
		ctx.SetBody(answer.Body)
		return
	}
	memory.TakeAnswer(size)
	ctx.SetBodyStream(reserver.NewBody(answer.Body, func() { memory.ReleaseAnswer(size) }), size)
}
