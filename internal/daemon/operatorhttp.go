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

// maxOperatorBody bounds the body of an operator request.
const maxOperatorBody = 1 << 20

// OperatorServer serves health, metrics and, on an entry, the operator's API.
type OperatorServer struct {
	listener *listener.Listener
	server   *fasthttp.Server
	ready    atomic.Bool
	done     chan struct{}
}

// NewOperatorServer listens on the TCP address. Requests for other paths go to
// next, which may be nil.
func NewOperatorServer(address string, next fasthttp.RequestHandler) (*OperatorServer, error) {
	l, err := listener.New(address, 2*maxOperatorBody)
	if err != nil {
		return nil, fmt.Errorf("operator address: %w", err)
	}
	s := &OperatorServer{listener: l, done: make(chan struct{})}
	s.server = &fasthttp.Server{
		Name:               "cyclamenward",
		MaxRequestBodySize: maxOperatorBody,
		ReadTimeout:        5 * time.Second,
		IdleTimeout:        30 * time.Second,
		CloseOnShutdown:    true,
		Handler:            s.handler(next),
	}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(l)
	}()
	return s, nil
}

// SetReady tells the balancer whether to send requests.
func (s *OperatorServer) SetReady(ready bool) { s.ready.Store(ready) }

// Addr returns the address on which the server listens.
func (s *OperatorServer) Addr() net.Addr { return s.listener.Addr() }

// Close ends the server.
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

func (s *OperatorServer) handler(next fasthttp.RequestHandler) fasthttp.RequestHandler {
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

// WriteJSON answers with a JSON body.
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

// PublishMetric makes a metric visible unless the name is taken, which happens when a
// test starts several daemons in one process.
func PublishMetric(name string, value func() any) {
	if expvar.Get(name) == nil {
		expvar.Publish(name, expvar.Func(value))
	}
}
