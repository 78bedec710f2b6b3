// Package gateway serves callers over HTTP for a router. What requests and answers
// look like on the wire is left to a Protocol.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/listener"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/valyala/fasthttp"
)

const (
	// readLimit bounds the time in which a request must arrive.
	readLimit = 10 * time.Second
	// maxBody bounds a body whatever the configuration says.
	maxBody = 16 << 20
	// headLimit bounds the head of a request. Operators may allow callers 16 KB, to
	// which the library adds nothing.
	headLimit = 20 << 10
	// inboundLimit is how far ahead a caller may send.
	inboundLimit = maxBody + 64<<10
	// finishMargin is left of the grace time for ending.
	finishMargin = 400 * time.Millisecond
)

// Protocol is how requests and answers look on the wire.
type Protocol struct {
	// Parse reads a request. A false result means that it was answered.
	Parse func(ctx *fasthttp.RequestCtx, arrived time.Time) (*router.Request, bool)
	// WriteHead writes the status and the fields of a replica's answer.
	WriteHead func(ctx *fasthttp.RequestCtx, reply *router.Reply)
	// WriteFailure answers a request that no replica has answered.
	WriteFailure func(ctx *fasthttp.RequestCtx, failure *router.Failure)
}

// Settings are the fixed values of a gateway.
type Settings struct {
	// Address is where callers connect.
	Address string
	// ReadyAddress is where the balancer asks whether to send callers here.
	ReadyAddress string
	// IdleTimeout is how long a caller's connection is kept between requests.
	IdleTimeout time.Duration
	// ShutdownDelay is how long a stopping gateway goes on serving while the balancer
	// notices.
	ShutdownDelay time.Duration
	// Grace is the time from SIGTERM to the end of the process.
	Grace time.Duration
}

// Gateway serves until it is drained.
type Gateway struct {
	settings  Settings
	wire      Protocol
	router    *router.Router
	known     func() bool
	clock     timekeeper.Clock
	logger    *log.Logger
	callers   *listener.Listener
	balancers *listener.Listener
	server    *fasthttp.Server
	readiness *fasthttp.Server
	stopping  atomic.Bool
}

// New starts a gateway. known tells whether a request could be served.
func New(settings Settings, wire Protocol, r *router.Router, known func() bool, clock timekeeper.Clock, logger *log.Logger) (*Gateway, error) {
	g := &Gateway{settings: settings, wire: wire, router: r, known: known, clock: clock, logger: logger}
	var err error
	if g.callers, err = listener.New(settings.Address, inboundLimit); err != nil {
		return nil, fmt.Errorf("caller address: %w", err)
	}
	if g.balancers, err = listener.New(settings.ReadyAddress, 64<<10); err != nil {
		return nil, fmt.Errorf("ready address: %w", err)
	}
	g.server = &fasthttp.Server{
		Handler:            g.handle,
		MaxRequestBodySize: maxBody,
		ReadBufferSize:     headLimit,
		// Buffers of that size are not kept for connections between requests.
		ReduceMemoryUsage:     true,
		ReadTimeout:           readLimit,
		IdleTimeout:           settings.IdleTimeout,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		Logger:                quiet{},
	}
	g.readiness = &fasthttp.Server{Handler: g.handleReady, ReadTimeout: readLimit, IdleTimeout: readLimit, NoDefaultServerHeader: true, Logger: quiet{}}
	go func() { g.serve(g.server, g.callers) }()
	go func() { g.serve(g.readiness, g.balancers) }()
	return g, nil
}

// serve runs a server until its listener is closed.
func (g *Gateway) serve(server *fasthttp.Server, l *listener.Listener) {
	if err := server.Serve(l); err != nil && !g.stopping.Load() {
		g.logger.Error("gateway: server ended.", "address", l.Addr(), "err", err)
	}
}

// Ready reports whether new callers would be served.
func (g *Gateway) Ready() bool { return !g.stopping.Load() && g.known() }

func (g *Gateway) handleReady(ctx *fasthttp.RequestCtx) {
	if !g.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (g *Gateway) handle(ctx *fasthttp.RequestCtx) {
	arrived := g.clock.Now()
	if g.stopping.Load() {
		ctx.SetConnectionClose()
	}
	request, ok := g.wire.Parse(ctx, arrived)
	if !ok {
		return
	}
	request.CallerGone = listener.Disconnected(ctx.Conn())
	result := g.router.Begin(request)
	switch {
	case result.Failure != nil:
		g.logger.Info("request: failed.", "request", request.ID, "route", request.Route.Name, "reason", result.Failure.Reason,
			"notRun", result.Failure.NotRun, "took", g.clock.Now().Sub(arrived))
		g.wire.WriteFailure(ctx, result.Failure)
	case result.Stream != nil:
		g.wire.WriteHead(ctx, result.Reply)
		ctx.SetBodyStream(&streamBody{gateway: g, request: request, relay: result.Stream}, -1)
	default:
		g.wire.WriteHead(ctx, result.Reply)
		ctx.SetBody(result.Body)
		g.logger.Info("request: answered.", "request", request.ID, "route", request.Route.Name, "status", result.Reply.Status, "took", g.clock.Now().Sub(arrived))
	}
}

// streamBody passes the events of a stream on as they come. An error ends the
// connection without the last chunk, so that the caller sees that the stream is
// not whole.
type streamBody struct {
	gateway *Gateway
	request *router.Request
	relay   *router.EventStream
	rest    []byte
	events  int
	err     error
}

// Read implements io.Reader.
func (s *streamBody) Read(p []byte) (int, error) {
	if len(s.rest) == 0 {
		event, err := s.relay.Next()
		if err != nil {
			s.err = err
			return 0, err
		}
		s.events++
		s.rest = event.Raw
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

// Close implements io.Closer.
func (s *streamBody) Close() error {
	s.relay.Close()
	whole := errors.Is(s.err, io.EOF)
	fields := append(s.relay.LogFields(), "request", s.request.ID, "route", s.request.Route.Name, "whole", whole, "events", s.events, "took", s.gateway.clock.Now().Sub(s.request.Arrived))
	if s.err != nil && !whole {
		fields = append(fields, "err", s.err)
	}
	s.gateway.logger.Info("request: stream ended.", fields...)
	return nil
}

// Drain ends the gateway: the balancer is notified first, then running requests end.
func (g *Gateway) Drain() {
	end := g.clock.Now().Add(g.settings.Grace - finishMargin)
	g.stopping.Store(true)
	g.logger.Info("gateway: stopping.")
	<-g.clock.After(g.settings.ShutdownDelay)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := g.server.ShutdownWithContext(ctx); err != nil {
		g.logger.Warn("gateway: requests were cut off by the end of the grace time.", "err", err)
	}
	if err := g.callers.Stop(ctx); err != nil {
		g.logger.Warn("gateway: callers' connections were cut off.", "err", err)
	}
}

// quiet drops the HTTP library's own messages, which name callers' addresses.
type quiet struct{}

func (quiet) Printf(string, ...any) {}
