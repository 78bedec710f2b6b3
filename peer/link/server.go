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

// Server accepts links. Each exchange is given to Handle in its own goroutine.
type Server struct {
	listener *quic.Listener
	handle   func(ctx context.Context, request *Request, stream *Stream)
	cancel   context.CancelFunc
	// connections counts accepted links.
	connections sync.WaitGroup
	// running counts the handlers.
	running *limiter.Gauge
}

// NewServer listens on the UDP address and starts to serve.
func NewServer(address string, tlsConfig *tls.Config, handle func(ctx context.Context, request *Request, stream *Stream)) (*Server, error) {
	config := tlsConfig.Clone()
	config.NextProtos = []string{protocol}
	listener, err := quic.ListenAddr(address, config, quicConfig())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: listener, handle: handle, cancel: cancel, running: limiter.NewGauge()}
	go func() {
		for {
			connection, err := listener.Accept(ctx)
			if err != nil {
				return
			}
			s.connections.Add(1)
			go func() {
				defer s.connections.Done()
				s.serve(ctx, connection)
			}()
		}
	}()
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Wait returns once no exchange is running, or ctx ends.
func (s *Server) Wait(ctx context.Context) error {
	if err := s.running.Wait(ctx); err != nil {
		return fmt.Errorf("wait for exchanges: %w", err)
	}
	return nil
}

// Close ends all links at once. Call Wait first to cut off nothing.
func (s *Server) Close() {
	s.cancel()
	_ = s.listener.Close()
	s.connections.Wait()
}

func (s *Server) serve(ctx context.Context, connection *quic.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = connection.CloseWithError(codeClosed, "closing") })
	defer stop()
	for {
		raw, err := connection.AcceptStream(ctx)
		if err != nil {
			return
		}
		s.running.Add()
		go func() {
			defer s.running.Done()
			s.exchange(ctx, &Stream{stream: raw})
		}()
	}
}

func (s *Server) exchange(ctx context.Context, stream *Stream) {
	var request Request
	stream.SetReadDeadline(time.Now().Add(SilenceTimeout))
	if err := stream.Receive(&request); err != nil {
		stream.Cancel()
		return
	}
	stream.SetReadDeadline(time.Time{})
	alive, cancel := context.WithCancel(ctx)
	defer cancel()
	stream.stayAlive(alive)
	s.handle(ctx, &request, stream)
	cancel()
	stream.CloseSend()
}
