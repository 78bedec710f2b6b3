package daemon

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/cyclamenward/cyclamenward/listener"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"
)

// Paths of the operator address that every daemon serves.
const (
	PathLive    = "/livez"
	PathReady   = "/readyz"
	PathMetrics = "/debug/vars"
)

// maxOperatorBodyBytes bounds the body of an operator request, in bytes.
const maxOperatorBodyBytes = 1 << 20

// OperatorServer serves health checks, metrics and, on an entry, the operators' API.
type OperatorServer struct {
	listener *listener.Listener
	server   *fasthttp.Server
	ready    atomic.Bool
	done     chan struct{}
}

// NewOperatorServer starts a server on the TCP address. It passes requests for other paths
// than the health and metrics paths to next; if next is nil, they are not found.
func NewOperatorServer(address string, next fasthttp.RequestHandler) (*OperatorServer, error) {
	l, err := listener.New(address, 2*maxOperatorBodyBytes)
	if err != nil {
		return nil, fmt.Errorf("operator address: %w", err)
	}
	s := &OperatorServer{listener: l, done: make(chan struct{})}
	s.server = &fasthttp.Server{
		Name:               "cyclamenward",
		MaxRequestBodySize: maxOperatorBodyBytes,
		ReadTimeout:        5 * time.Second,
		IdleTimeout:        30 * time.Second,
		CloseOnShutdown:    true,
		Handler:            s.newHandler(next),
	}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(l)
	}()
	return s, nil
}

// SetReady sets the answer to readiness checks. The server starts as not ready.
func (s *OperatorServer) SetReady(ready bool) { s.ready.Store(ready) }

// Addr returns the address on which the server listens.
func (s *OperatorServer) Addr() net.Addr { return s.listener.Addr() }

// Close shuts the server down and waits for running requests until ctx is done.
func (s *OperatorServer) Close(ctx context.Context) error {
	if err := s.server.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut operator server down: %w", err)
	}
	if err := s.listener.Stop(ctx); err != nil {
		return fmt.Errorf("stop operator listener: %w", err)
	}
	<-s.done
	return nil
}

func (s *OperatorServer) newHandler(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case PathLive:
			ctx.SetBodyString("live\n")
		case PathReady:
			if !s.ready.Load() {
				ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
				ctx.SetBodyString("not ready\n")
				return
			}
			ctx.SetBodyString("ready\n")
		case PathMetrics:
			expvarhandler.ExpvarHandler(ctx)
		default:
			if next == nil {
				ctx.SetStatusCode(fasthttp.StatusNotFound)
				return
			}
			next(ctx)
		}
	}
}

// WriteJSON writes an answer with the status and the value as JSON body.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}

// PublishMetric publishes a metric under /debug/vars. It does nothing if the name is taken,
// which happens when a test starts several daemons in one process.
func PublishMetric(name string, value func() any) {
	if expvar.Get(name) == nil {
		expvar.Publish(name, expvar.Func(value))
	}
}
