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

// Paths for tests, beside those of package engine.
const (
	PathFaults    = "/faults"
	PathOrderList = "/orderList"
)

// Handler serves an engine over HTTP.
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

func serveEvents(ctx *fasthttp.RequestCtx, e *Engine) {
	var query struct {
		Incarnation string `json:"incarnation"`
		After       uint64 `json:"after"`
		Whole       bool   `json:"whole"`
	}
	if responder.ReadJSON(ctx, &query) {
		responder.WriteJSON(ctx, e.Events(query.Incarnation, query.After, query.Whole))
	}
}

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

// serveGeneration streams the events of one request. A crash closes the
// connection without an end.
func serveGeneration(ctx *fasthttp.RequestCtx, e *Engine) {
	var generation engine.GenerateRequest
	if !responder.ReadJSON(ctx, &generation) {
		return
	}
	events := make(chan engine.Event)
	failed := make(chan error, 1)
	gone := make(chan struct{})
	go func() {
		failed <- e.Generate(&generation, func(event engine.Event) error {
			select {
			case events <- event:
				return nil
			case <-gone:
				return errors.New("reader is gone")
			}
		})
		close(events)
	}()
	first, ok := <-events
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	ctx.SetContentType("text/event-stream")
	requestID := string(ctx.Request.Header.Peek(engine.HeaderRequestID))
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(connection net.Conn) {
		defer close(gone)
		defer func() { _ = connection.Close() }()
		w := bufio.NewWriter(connection)
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\nConnection: close\r\n\r\n", engine.HeaderRequestID, requestID)
		for ok := true; ok; first, ok = <-events {
			body, err := json.Marshal(first)
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
