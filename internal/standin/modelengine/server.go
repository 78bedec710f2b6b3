package modelengine

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"

	"github.com/cyclamenward/cyclamenward/internal/standin/responder"
	"github.com/cyclamenward/cyclamenward/peer/engine"
	"github.com/valyala/fasthttp"
)

// Paths for tests, in addition to those of package engine. PathFaults sets the faults,
// PathOrderList returns the weights versions of the accepted load orders.
const (
	PathFaults    = "/faults"
	PathOrderList = "/orderList"
)

// Handler serves the engine's API and the paths for tests over HTTP.
func Handler(e *Engine) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set(engine.HeaderRequestID, string(ctx.Request.Header.Peek(engine.HeaderRequestID)))
		switch string(ctx.Path()) {
		case engine.PathCompletions:
			serveGeneration(ctx, e)
		case engine.PathState:
			responder.WriteJSON(ctx, e.State())
		case engine.PathCacheEvents:
			serveEvents(ctx, e)
		case engine.PathOrders:
			serveOrder(ctx, e)
		case PathOrderList:
			responder.WriteJSON(ctx, e.OrderedVersions())
		case PathFaults:
			var faults Faults
			if responder.ReadJSON(ctx, &faults) {
				e.SetFaults(faults)
			}
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
}

// serveEvents answers with cache events or the complete list of blocks.
func serveEvents(ctx *fasthttp.RequestCtx, e *Engine) {
	var query struct {
		Incarnation string `json:"incarnation"`
		After       uint64 `json:"after"`
		Complete    bool   `json:"whole"`
	}
	if responder.ReadJSON(ctx, &query) {
		responder.WriteJSON(ctx, e.Events(query.Incarnation, query.After, query.Complete))
	}
}

// serveOrder passes on a load order, or answers with status 409 if it is refused.
func serveOrder(ctx *fasthttp.RequestCtx, e *Engine) {
	var order engine.LoadOrder
	if !responder.ReadJSON(ctx, &order) {
		return
	}
	if err := e.OrderLoad(order); err != nil {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	responder.WriteJSON(ctx, struct{}{})
}

// serveGeneration streams the events of one request, or answers with status 409 if it is
// refused. It takes over the connection, so that a crash closes it in the middle of the
// response.
func serveGeneration(ctx *fasthttp.RequestCtx, e *Engine) {
	var request engine.GenerateRequest
	if !responder.ReadJSON(ctx, &request) {
		return
	}
	events := make(chan engine.Event)
	result := make(chan error, 1)
	readerGone := make(chan struct{})
	go func() {
		result <- e.Generate(&request, func(event engine.Event) error {
			select {
			case events <- event:
				return nil
			case <-readerGone:
				return errors.New("reader is gone")
			}
		})
		close(events)
	}()
	nextEvent, ok := <-events
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	ctx.SetContentType("text/event-stream")
	requestID := string(ctx.Request.Header.Peek(engine.HeaderRequestID))
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(connection net.Conn) {
		defer close(readerGone)
		defer func() { _ = connection.Close() }()
		w := bufio.NewWriter(connection)
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\nConnection: close\r\n\r\n", engine.HeaderRequestID, requestID)
		for ok := true; ok; nextEvent, ok = <-events {
			body, err := json.Marshal(nextEvent)
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(w, "data: %s\n\n", body)
			if w.Flush() != nil {
				return
			}
		}
	})
}
