// Package gateway serves callers over HTTP and passes their requests to a router. A
// Protocol defines how requests and answers are encoded.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/gateway/reserver"
	"github.com/cyclamenward/cyclamenward/internal/gateway/stopper"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/listener"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/valyala/fasthttp"
)

const (
	// readTimeout bounds the time in which a whole request must arrive.
	readTimeout = 10 * time.Second
	// maxBodyBytes bounds the body of a request, even if the configuration allows more.
	maxBodyBytes = 16 << 20
	// bodyRetryAfter is when a caller may come back whose body found no room: bodies are held for
	// as long as their requests take.
	bodyRetryAfter = time.Second
	// closedRetryAfter is when a caller may come back whose connection is closed in a planned stop:
	// other daemons take its request at once.
	closedRetryAfter = 50 * time.Millisecond
	// fullRetryAfter is when a caller may come back whose connection finds no room: others are closed as
	// requests end, and the load balancer turns to other daemons within two seconds.
	fullRetryAfter = time.Second
	// maxHeadBytes bounds the request line and header fields of a request. Operators may
	// allow callers 16 KB of them, and the HTTP library adds no margin of its own.
	maxHeadBytes = 20 << 10
	// maxInboundBytes bounds the bytes received on a connection and not yet read. It must
	// exceed the largest request.
	maxInboundBytes = maxBodyBytes + 64<<10
	// stallTimeout is how long a caller for whom others wait may take nothing of its answer: replicas
	// cut answers off that are left unread for some seconds.
	stallTimeout = 5 * time.Second
	// shutdownMargin is the part of the grace period that is left for the end of the
	// process after Drain.
	shutdownMargin = 400 * time.Millisecond
)

// Protocol defines how requests and answers are encoded.
type Protocol struct {
	// MaxBody returns how many bytes the body of a request may have, by its head, and the priority
	// of the request, lower values first; for one that is going to be refused at most those that
	// are read without a reservation.
	MaxBody func(header *fasthttp.RequestHeader) (bytes, priority int)
	// Parse reads a request whose last bytes were received at arrived. It returns false if
	// it has already answered the request, for instance with an error.
	Parse func(ctx *fasthttp.RequestCtx, arrived time.Time) (*router.Request, bool)
	// WriteHead writes the status and the header fields of a replica's answer.
	WriteHead func(ctx *fasthttp.RequestCtx, reply *router.Reply)
	// WriteFailure writes the answer to a request that no replica has answered.
	WriteFailure func(ctx *fasthttp.RequestCtx, failure *router.Failure)
}

// Settings are the settings of a gateway, which stay fixed while it runs.
type Settings struct {
	// Address is the TCP address on which callers connect.
	Address string
	// ReadyAddress is the TCP address on which the load balancer checks readiness.
	ReadyAddress string
	// IdleTimeout is how long a caller's connection is kept open between requests.
	IdleTimeout time.Duration
	// ShutdownDelay is how long a draining gateway keeps serving, so that the load
	// balancer detects first that it is not ready.
	ShutdownDelay time.Duration
	// Grace is the grace period: the time from SIGTERM to the end of the process.
	Grace time.Duration
	// Memory is what the bodies of all requests and the answers take together.
	Memory *reserver.Budget
	// Connections bounds the open connections of callers, 0 for no such bound.
	Connections int
	// OutboundBytes bounds what all callers together have not taken yet of their answers, 0 for no such bound.
	OutboundBytes int
}

// Gateway is an HTTP server for callers, with a second server for readiness checks.
type Gateway struct {
	settings          Settings
	protocol          Protocol
	router            *router.Router
	canServe          func() bool
	clock             timekeeper.Clock
	logger            *log.Logger
	callerListener    *listener.Listener
	readinessListener *listener.Listener
	callerServer      *fasthttp.Server
	readinessServer   *fasthttp.Server
	bodies            *reserver.Reserver
	stopper           *stopper.Stopper
}

// New starts a gateway, which serves until Drain is called. canServe reports whether
// requests can be served apart from draining; Ready depends on it.
func New(settings Settings, protocol Protocol, r *router.Router, canServe func() bool, clock timekeeper.Clock, logger *log.Logger) (*Gateway, error) {
	g := &Gateway{settings: settings, protocol: protocol, router: r, canServe: canServe, bodies: reserver.New(settings.Memory, clock), clock: clock, logger: logger}
	var err error
	if g.callerListener, err = listener.New(settings.Address, maxInboundBytes); err != nil {
		return nil, fmt.Errorf("caller address: %w", err)
	}
	g.callerListener.OnAcceptFailed(func(err error) { logger.Error("gateway: cannot accept connections.", "err", err) })
	if settings.Connections > 0 {
		g.callerListener.LimitConnections(listener.ConnectionLimit{Connections: settings.Connections, Refusal: stopper.Refusal(fullRetryAfter), OnRefused: func() {
			logger.Info("gateway: connection refused, requests run on all others.", "open", settings.Connections)
		}})
	}
	if settings.OutboundBytes > 0 {
		g.callerListener.LimitOutbound(listener.OutboundLimit{Bytes: settings.OutboundBytes, StallTimeout: stallTimeout, OnStalled: func() {
			logger.Info("gateway: connection closed, its caller takes nothing of its answer.", "after", stallTimeout)
		}})
	}
	if g.readinessListener, err = listener.New(settings.ReadyAddress, 64<<10); err != nil {
		return nil, fmt.Errorf("ready address: %w", err)
	}
	g.callerServer = &fasthttp.Server{
		Handler:            g.handle,
		HeaderReceived:     g.admitBody,
		ErrorHandler:       g.refuseUnread,
		MaxRequestBodySize: maxBodyBytes,
		ReadBufferSize:     maxHeadBytes,
		// Connections release buffers of that size between requests.
		ReduceMemoryUsage: true,
		ReadTimeout:       readTimeout,
		IdleTimeout:       settings.IdleTimeout,
		CloseOnShutdown:   true,
		// A form that is parsed here would be written anew, and differently, for the replica.
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		Logger:                       discardLogger{},
	}
	g.readinessServer = &fasthttp.Server{Handler: g.handleReady, ReadTimeout: readTimeout, IdleTimeout: readTimeout, NoDefaultServerHeader: true, Logger: discardLogger{}}
	g.stopper = stopper.New(g.callerServer, g.callerListener, closedRetryAfter, r.Stop, clock)
	go func() { g.serve(g.callerServer, g.callerListener) }()
	go func() { g.serve(g.readinessServer, g.readinessListener) }()
	return g, nil
}

// serve runs a server until it ends, and logs its error if the gateway is not draining.
func (g *Gateway) serve(server *fasthttp.Server, l *listener.Listener) {
	if err := server.Serve(l); err != nil && !g.stopper.Stopping() {
		g.logger.Error("gateway: server ended.", "address", l.Addr(), "err", err)
	}
}

// Ready reports whether the gateway accepts connections, can serve requests and is not draining.
func (g *Gateway) Ready() bool {
	return !g.stopper.Stopping() && g.canServe() && g.callerListener.Accepting()
}

// handleReady answers a readiness check.
func (g *Gateway) handleReady(ctx *fasthttp.RequestCtx) {
	if !g.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// admitBody decides how much of the body of a request is read. It may wait for room.
func (g *Gateway) admitBody(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	maxBytes, priority := g.maxBody(header)
	return fasthttp.RequestConfig{MaxRequestBodySize: max(1, g.bodies.Admit(header, maxBytes, priority))}
}

// maxBody returns how many bytes the body of a request may have, and the priority of the request
// if the body needs a reservation.
func (g *Gateway) maxBody(header *fasthttp.RequestHeader) (bytes, priority int) {
	if length := header.ContentLength(); length >= 0 && length <= reserver.FreeBytes || length < -1 {
		return reserver.FreeBytes, 0
	}
	bytes, priority = g.protocol.MaxBody(header)
	return min(maxBodyBytes, bytes), priority
}

// refuseUnread answers a request that could not be read. Its connection is closed then.
func (g *Gateway) refuseUnread(ctx *fasthttp.RequestCtx, err error) {
	header := &ctx.Request.Header
	g.bodies.RestoreHead(header)
	maxBytes, _ := g.maxBody(header)
	tooLarge := g.bodies.Refuse(header, maxBytes)
	var timeout net.Error
	switch {
	case !errors.Is(err, fasthttp.ErrBodyTooLarge):
		switch small := new(fasthttp.ErrSmallBuffer); {
		case errors.As(err, &small):
			ctx.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
		case errors.As(err, &timeout) && timeout.Timeout():
			ctx.SetStatusCode(fasthttp.StatusRequestTimeout)
		default:
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
		}
	case !g.parses(ctx):
	case tooLarge:
		ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
	default:
		g.logger.Info("gateway: body refused, there is no room for it.", "bytes", header.ContentLength(), "reserved", g.settings.Memory.Reserved())
		g.protocol.WriteFailure(ctx, &router.Failure{Reason: router.ReasonOverload, NotRun: true, RetryAfter: bodyRetryAfter})
	}
}

// parses reports whether a request would be taken but for its body, else answers it.
func (g *Gateway) parses(ctx *fasthttp.RequestCtx) bool {
	ctx.Request.ResetBody()
	_, ok := g.protocol.Parse(ctx, g.clock.Now())
	return ok
}

// handle answers one request of a caller.
func (g *Gateway) handle(ctx *fasthttp.RequestCtx) {
	handled := g.clock.Now()
	ended, releaseBody := g.stopper.Begin(ctx), g.bodies.Claim(&ctx.Request.Header, cap(ctx.Request.Body()))
	served, streaming := false, false
	release := func() {
		releaseBody()
		ended(served)
	}
	defer func() {
		if !streaming {
			release()
		}
	}()
	arrived := listener.ReceivedAt(ctx.Conn(), handled)
	request, ok := g.protocol.Parse(ctx, arrived)
	if !ok {
		return
	}
	connection := ctx.Conn()
	request.CallerGone = listener.Disconnected(connection)
	request.CallerLeft = func() bool { return listener.Left(connection) }
	waited := handled.Sub(arrived)
	result := g.router.Begin(request)
	switch {
	case result.Failure != nil:
		g.logger.Info("request: failed.", "request", request.ID, "route", request.Route.Name, "reason", result.Failure.Reason,
			"notRun", result.Failure.NotRun, "waited", waited, "took", g.clock.Now().Sub(arrived))
		g.protocol.WriteFailure(ctx, result.Failure)
	case result.Stream != nil:
		g.protocol.WriteHead(ctx, result.Reply)
		served, streaming = true, true
		ctx.SetBodyStream(&streamBody{gateway: g, request: request, stream: result.Stream, waited: waited, release: release}, -1)
	default:
		g.protocol.WriteHead(ctx, result.Reply)
		served = true
		if len(result.Body) > reserver.FreeBytes {
			ctx.SetBodyStream(reserver.NewBody(result.Body, result.Release), len(result.Body))
		} else {
			ctx.SetBody(result.Body)
			result.Release()
		}
		g.logger.Info("request: answered.", "request", request.ID, "route", request.Route.Name, "status", result.Reply.Status, "waited", waited, "took", g.clock.Now().Sub(arrived))
	}
}

// streamBody is a response body that relays the events of a stream as they arrive. After
// an error the connection is closed without the last chunk, so that the caller can tell
// that the stream is incomplete.
type streamBody struct {
	gateway *Gateway
	request *router.Request
	stream  *router.EventStream
	// waited is the time between the receipt of the request and its handling.
	waited     time.Duration
	unread     []byte
	eventCount int
	err        error
	// release releases the memory of the request's body and ends the request.
	release func()
}

// Read implements io.Reader. It waits for the next event once the current one has been
// read.
func (s *streamBody) Read(p []byte) (int, error) {
	if len(s.unread) == 0 {
		event, err := s.stream.Next()
		if err != nil {
			s.err = err
			return 0, err
		}
		s.eventCount++
		s.unread = event.Raw
	}
	n := copy(p, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

// Close implements io.Closer. It closes the stream and logs how it ended.
func (s *streamBody) Close() error {
	s.stream.Close()
	s.release()
	complete := errors.Is(s.err, io.EOF)
	fields := append(s.stream.LogFields(), "request", s.request.ID, "route", s.request.Route.Name, "whole", complete, "events", s.eventCount, "waited", s.waited, "took", s.gateway.clock.Now().Sub(s.request.Arrived))
	if s.err != nil && !complete {
		fields = append(fields, "err", s.err)
	}
	s.gateway.logger.Info("request: stream ended.", fields...)
	return nil
}

// Drain stops the gateway. It makes the gateway not ready at once but lets it serve for the
// shutdown delay, and then for as long as requests run or arrive. What cannot end within the
// grace period is refused, so that another daemon can serve it.
func (g *Gateway) Drain() {
	ctx, cancel := context.WithDeadline(context.Background(), g.clock.Now().Add(g.settings.Grace-shutdownMargin))
	defer cancel()
	g.logger.Info("gateway: stopping.")
	if err := g.stopper.Stop(ctx, g.settings.ShutdownDelay); err != nil {
		g.logger.Warn("gateway: callers were cut off by the end of the grace period.", "err", err)
	}
}

// discardLogger drops the log messages of the HTTP library, since they contain callers'
// addresses.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
