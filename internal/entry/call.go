package entry

import (
	"fmt"
	"strings"

	"github.com/cyclamenward/cyclamenward/admitter"
	"github.com/cyclamenward/cyclamenward/claimer"
	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/valyala/fasthttp"
)

// forwardedHeaders are the only header fields that pass to and from plain services.
var forwardedHeaders = []string{fasthttp.HeaderContentType, fasthttp.HeaderAccept, fasthttp.HeaderAcceptLanguage}

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
	request := e.newRequest(ctx, c, workspace, limit)
	request.Route = s.once
	call := &link.PlainCall{
		Method:         string(ctx.Method()),
		Path:           withQuery(ctx, path),
		Headers:        passedHeaders(ctx),
		Body:           ctx.PostBody(),
		IdempotencyKey: key,
		Repeatable:     s.document.MayRepeat(string(ctx.Method()), path),
	}
	if call.Repeatable {
		request.Route = s.repeatable
	}
	if key != "" {
		// Requests of one range of keys go to the sidecar that holds the range's claims.
		request.Affinity = 1 + uint64(claimer.RangeOf(workspace.Name+"\x00"+key, s.document.Claims.Ranges))
	}
	request.Message = &payload{service: s, workspace: workspace, call: call}
	result := e.router.Begin(request)
	if p := problemOf(result); p != nil {
		return p
	}
	e.metrics.count(admitter.Answered)
	writeAnswer(ctx, result.Reply.Fields.(*link.PlainAnswer))
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
