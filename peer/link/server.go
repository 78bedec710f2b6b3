package link

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/limiter"
	"github.com/quic-go/quic-go"
)

// Server accepts links and runs the handler for each exchange in a goroutine of its
// own.
type Server struct {
	listener *quic.Listener
	handle   func(ctx context.Context, request *Request, stream *Stream)
	cancel   context.CancelFunc
	// connections counts the open links, for Close to wait for.
	connections sync.WaitGroup
	// runningHandlers counts the exchanges in progress, for Wait.
	runningHandlers *limiter.WaitGroup
}

// NewServer listens on the UDP address and serves until Close. handle is called with
// the request of each exchange; the exchange ends when it returns.
func NewServer(address string, tlsConfig *tls.Config, handle func(ctx context.Context, request *Request, stream *Stream)) (*Server, error) {
	config := tlsConfig.Clone()
	config.NextProtos = []string{alpnProtocol}
	listener, err := quic.ListenAddr(address, config, quicConfig())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: listener, handle: handle, cancel: cancel, runningHandlers: limiter.NewWaitGroup()}
	go func() {
		for {
			connection, err := listener.Accept(ctx)
			if err != nil {
				return
			}
			s.connections.Add(1)
			go func() {
				defer s.connections.Done()
				s.serveConnection(ctx, connection)
			}()
		}
	}()
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Wait returns once no exchange is in progress, or with an error if ctx ends first.
func (s *Server) Wait(ctx context.Context) error {
	if err := s.runningHandlers.Wait(ctx); err != nil {
		return fmt.Errorf("wait for exchanges: %w", err)
	}
	return nil
}

// Close closes all links at once, including those with exchanges in progress. Call
// Wait first to let these end.
func (s *Server) Close() {
	s.cancel()
	_ = s.listener.Close()
	s.connections.Wait()
}

// serveConnection serves the exchanges of one link until it is closed.
func (s *Server) serveConnection(ctx context.Context, connection *quic.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = connection.CloseWithError(codeClosed, "closing") })
	defer stop()
	for {
		quicStream, err := connection.AcceptStream(ctx)
		if err != nil {
			return
		}
		s.runningHandlers.Add()
		go func() {
			defer s.runningHandlers.Done()
			s.serveExchange(ctx, &Stream{stream: quicStream})
		}()
	}
}

// serveExchange receives the request of an exchange and runs the handler. It sends
// keep-alive frames until the handler returns.
func (s *Server) serveExchange(ctx context.Context, stream *Stream) {
	var request Request
	stream.SetReadDeadline(time.Now().Add(SilenceTimeout))
	if err := stream.Receive(&request); err != nil {
		stream.Cancel()
		return
	}
	stream.SetReadDeadline(time.Time{})
	keepAliveCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream.sendKeepAlives(keepAliveCtx)
	s.handle(ctx, &request, stream)
	cancel()
	stream.CloseSend()
}
