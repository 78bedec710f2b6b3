// Package stopper ends an HTTP server without cutting off requests.
//
// Load balancers notice late that a daemon stops, and other daemons may stop at the same time.
// The server therefore goes on accepting connections until no request runs and none arrives that
// it can serve.
package stopper

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/listener"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/valyala/fasthttp"
)

const (
	// answerMargin is the time before the limit at which requests that have not ended get their final answer.
	answerMargin = 200 * time.Millisecond
	// quietTime is how long no request may have arrived that is served before the listener is
	// closed. While all are refused, the process that follows serves callers better.
	quietTime = 300 * time.Millisecond
	// maxServingTime is how long requests that arrive after the delay keep the server accepting
	// connections.
	maxServingTime = 10 * time.Second
	// closeTime is the time after the limit in which the listener is closed if requests were cut off.
	closeTime = 100 * time.Millisecond
	// checkInterval is the interval at which it is checked whether requests run.
	checkInterval = 50 * time.Millisecond
)

// Stopper counts the requests of a server and stops it. It is safe for concurrent use.
type Stopper struct {
	server   *fasthttp.Server
	listener *listener.Listener
	// announce is called with a context that ends when requests must have ended, and the time
	// until which callers still connect to this daemon.
	announce func(ctx context.Context, delay time.Duration)
	clock    timekeeper.Clock

	// mu guards the fields below.
	mu sync.Mutex
	// stopping is set once Stop was called and is never cleared.
	stopping bool
	// running counts the requests between Begin and its result. The last one that was served had
	// arrived at servedAt.
	running  int
	servedAt time.Time
}

// refusal is the answer to a request that arrives on a connection which is being closed, but for the
// seconds after which the caller may come back. The request has not run.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: %g\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// Refusal returns the answer to a request that is not read, whose caller may come back after retryAfter.
func Refusal(retryAfter time.Duration) []byte { return fmt.Appendf(nil, refusal, retryAfter.Seconds()) }

// New returns the stopper of a server on a listener, neither of which serves yet. Callers whose
// connections are closed may come back after retryAfter. announce is called at the begin of a stop
// with a context that ends when requests must have ended, and the delay of Stop.
func New(server *fasthttp.Server, l *listener.Listener, retryAfter time.Duration, announce func(ctx context.Context, delay time.Duration), clock timekeeper.Clock) *Stopper {
	server.ConnState = listener.RecordState
	l.SetRefusal(Refusal(retryAfter))
	return &Stopper{server: server, listener: l, announce: announce, clock: clock}
}

// Stopping reports whether the server is going to stop.
func (s *Stopper) Stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// Begin counts a request that was read. If the server is going to stop, its answer closes the
// connection, so that the caller connects elsewhere. The returned function is called at its end.
func (s *Stopper) Begin(ctx *fasthttp.RequestCtx) func(served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	if s.stopping {
		ctx.SetConnectionClose()
	}
	begunAt := s.clock.Now()
	return func(served bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running--
		if served && begunAt.After(s.servedAt) {
			s.servedAt = begunAt
		}
	}
}

// Stop stops the server. It serves for the delay, and then until no request runs and none
// arrives that can be served. Requests that are being read or answered then have until the end of
// ctx. An error means that some were cut off. The listener is closed soon after ctx has ended.
func (s *Stopper) Stop(ctx context.Context, delay time.Duration) error {
	end, cancel := context.WithCancel(ctx)
	if limit, found := ctx.Deadline(); found {
		end, cancel = context.WithDeadline(ctx, limit.Add(-answerMargin))
	}
	defer cancel()
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.announce(end, delay)
	select {
	case <-s.clock.After(delay):
	case <-end.Done():
	}
	s.serveUntilQuiet(end)
	// Requests that have not arrived whole by then time out.
	defer context.AfterFunc(end, s.listener.EndReads)()
	err := s.server.ShutdownWithContext(ctx)
	if err != nil {
		err = fmt.Errorf("requests were cut off: %w", err)
	}
	closing := ctx
	if limit, found := ctx.Deadline(); found {
		// The listener is closed in any case, so that no caller connects to a process that ends.
		var cancelClosing context.CancelFunc
		closing, cancelClosing = context.WithDeadline(context.WithoutCancel(ctx), limit.Add(closeTime))
		defer cancelClosing()
	}
	if stopErr := s.listener.Stop(closing); stopErr != nil {
		err = errors.Join(err, stopErr)
	}
	return err
}

// serveUntilQuiet returns once no request runs and none that was served has arrived for quietTime,
// or no further ones are to be awaited.
func (s *Stopper) serveUntilQuiet(ctx context.Context) {
	until := s.clock.Now().Add(maxServingTime)
	for ctx.Err() == nil && s.clock.Now().Before(until) && !s.quiet() {
		select {
		case <-s.clock.After(checkInterval):
		case <-ctx.Done():
		}
	}
}

func (s *Stopper) quiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running == 0 && s.clock.Now().Sub(s.servedAt) >= quietTime
}
