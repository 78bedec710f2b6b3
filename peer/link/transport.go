package link

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/limiter"
	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
	"github.com/quic-go/quic-go"
)

const (
	// maxMessageBytes bounds one message; the largest is a request body.
	maxMessageBytes = 8 << 20
	// keepAlivePeriod is how often a connection with open streams is probed.
	keepAlivePeriod = 900 * time.Millisecond
	// SilenceLimit is how long a connection may be silent before it is given up.
	SilenceLimit = 2 * time.Second
	// handshakeLimit bounds the set-up of a connection.
	handshakeLimit = time.Second
	// idleLimit is how long a connection without streams is kept.
	idleLimit  = 5 * time.Second
	maxStreams = 1 << 16
	// maxSessions bounds the TLS sessions kept for resumption.
	maxSessions = 1024
	protocol    = "cyclamenward/1"

	codeCanceled quic.StreamErrorCode      = 1
	codeClosed   quic.ApplicationErrorCode = 0
)

var faults = errorx.NewNamespace("link")

// Errors of the transport.
var (
	// ErrNotSent means that no byte of the request left: it did not run.
	ErrNotSent = faults.NewType("notSent").New("request was not sent")
	// ErrCanceled means that the other side gave the exchange up on purpose.
	ErrCanceled = faults.NewType("canceled").New("exchange was cancelled")
	// ErrTooLarge means that a message exceeds the limit.
	ErrTooLarge = faults.NewType("tooLarge").New("message too large")
)

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:       handshakeLimit,
		MaxIdleTimeout:             SilenceLimit,
		KeepAlivePeriod:            keepAlivePeriod,
		MaxIncomingStreams:         maxStreams,
		InitialStreamReceiveWindow: 64 << 10,
		MaxStreamReceiveWindow:     1 << 20,
		// Probes for larger packets would cost more than most exchanges.
		DisablePathMTUDiscovery: true,
	}
}

// Stream is one exchange. Its methods may be used by one reader and one writer.
type Stream struct {
	stream *quic.Stream
	onDone func()
	done   sync.Once
}

// Send writes one message.
func (s *Stream) Send(message any) error {
	body, err := cbor.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	if len(body) > maxMessageBytes {
		return ErrTooLarge
	}
	packet := make([]byte, 4+len(body))
	binary.BigEndian.PutUint32(packet, uint32(len(body)))
	copy(packet[4:], body)
	if _, err := s.stream.Write(packet); err != nil {
		return fmt.Errorf("write message: %w", translate(err))
	}
	return nil
}

// Receive reads one message into the value.
func (s *Stream) Receive(message any) error {
	var head [4]byte
	if _, err := io.ReadFull(s.stream, head[:]); err != nil {
		return fmt.Errorf("read length: %w", translate(err))
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxMessageBytes {
		return ErrTooLarge
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(s.stream, body); err != nil {
		return fmt.Errorf("read message: %w", translate(err))
	}
	if err := cbor.Unmarshal(body, message); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}

// Context ends when the stream is cancelled by the other side or its
// connection is lost. The cause tells which.
func (s *Stream) Context() context.Context { return s.stream.Context() }

// SetReadDeadline bounds the wait of the following Receive calls.
func (s *Stream) SetReadDeadline(deadline time.Time) {
	_ = s.stream.SetReadDeadline(deadline)
}

// CloseSend tells the other side that no message follows.
func (s *Stream) CloseSend() { _ = s.stream.Close() }

// Cancel gives the exchange up; the other side sees ErrCanceled.
func (s *Stream) Cancel() {
	s.stream.CancelRead(codeCanceled)
	s.stream.CancelWrite(codeCanceled)
	s.release()
}

func (s *Stream) release() {
	s.done.Do(func() {
		if s.onDone != nil {
			s.onDone()
		}
	})
}

// Canceled reports whether err says that the other side gave up on purpose, as
// opposed to a lost connection.
func Canceled(err error) bool { return errors.Is(translate(err), ErrCanceled) }

func translate(err error) error {
	var reset *quic.StreamError
	if errors.As(err, &reset) && reset.Remote && reset.ErrorCode == codeCanceled {
		return ErrCanceled
	}
	return err
}

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
	stream.SetReadDeadline(time.Now().Add(SilenceLimit))
	if err := stream.Receive(&request); err != nil {
		stream.Cancel()
		return
	}
	stream.SetReadDeadline(time.Time{})
	s.handle(ctx, &request, stream)
	stream.CloseSend()
}

// Client opens exchanges with other daemons, one connection per address.
// Connections are made on demand and closed when they have been without
// exchanges for a while, so the number held follows the traffic and not the
// size of the fleet.
type Client struct {
	tls *tls.Config
	udp *quic.Transport

	// mu guards the fields below and those of each held.
	mu          sync.Mutex
	connections map[string]*held
	// ended is the traffic of connections that are no longer in connections.
	ended  Traffic
	closed bool
}

// Traffic is a number of bytes on the network, without UDP and IP headers.
type Traffic struct {
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
}

func (t *Traffic) add(h *held) {
	select {
	case <-h.ready:
	default:
		return
	}
	if h.connection != nil {
		stats := h.connection.ConnectionStats()
		t.Sent += stats.BytesSent
		t.Received += stats.BytesReceived
	}
}

// Traffic returns the bytes of all connections so far.
func (c *Client) Traffic() Traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := c.ended
	for _, h := range c.connections {
		total.add(h)
	}
	return total
}

// held is one connection of a client.
type held struct {
	// ready is closed once connection or err is set.
	ready      chan struct{}
	connection *quic.Conn
	err        error
	// open counts the exchanges; guarded by Client.mu.
	open int
	// used is when open last became zero; guarded by Client.mu.
	used time.Time
}

// NewClient returns a client that presents the given certificate.
func NewClient(tlsConfig *tls.Config) (*Client, error) {
	config := tlsConfig.Clone()
	config.NextProtos = []string{protocol}
	// A later connection to the same daemon resumes the session without
	// certificates.
	config.ClientSessionCache = tls.NewLRUClientSessionCache(maxSessions)
	socket, err := net.ListenUDP("udp", &net.UDPAddr{})
	if err != nil {
		return nil, fmt.Errorf("open socket: %w", err)
	}
	return &Client{tls: config, udp: &quic.Transport{Conn: socket}, connections: make(map[string]*held)}, nil
}

// Len returns the number of connections held.
func (c *Client) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.connections)
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	for address, h := range c.connections {
		c.remove(address, h)
		c.closeHeld(h)
	}
	c.mu.Unlock()
	_ = c.udp.Close()
	_ = c.udp.Conn.Close()
}

// closeHeld ends a connection if it was made. The caller holds mu.
func (c *Client) closeHeld(h *held) {
	select {
	case <-h.ready:
		if h.connection != nil {
			_ = h.connection.CloseWithError(codeClosed, "unused")
		}
	default:
	}
}

// Open sends a request on a new exchange. An error that matches ErrNotSent
// proves that the request did not leave; after any other error it may have.
func (c *Client) Open(ctx context.Context, address string, request *Request) (*Stream, error) {
	stream, err := c.open(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("open exchange with %s: %w: %w", address, ErrNotSent, err)
	}
	if err := stream.Send(request); err != nil {
		stream.Cancel()
		return nil, fmt.Errorf("send to %s: %w", address, err)
	}
	stream.CloseSend()
	return stream, nil
}

// Ask sends a request and waits for a single frame.
func (c *Client) Ask(ctx context.Context, address string, request *Request) (*Frame, error) {
	stream, err := c.Open(ctx, address, request)
	if err != nil {
		return nil, err
	}
	defer stream.Cancel()
	if deadline, ok := ctx.Deadline(); ok {
		stream.SetReadDeadline(deadline)
	}
	var frame Frame
	if err := stream.Receive(&frame); err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	return &frame, nil
}

// Drop forgets the connection to an address, so that the next exchange uses a
// new one. Exchanges on the old connection continue.
func (c *Client) Drop(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.connections[address]; h != nil {
		c.remove(address, h)
	}
}

// remove forgets a connection and keeps its traffic. The caller holds mu.
func (c *Client) remove(address string, h *held) {
	delete(c.connections, address)
	c.ended.add(h)
}

func (c *Client) open(ctx context.Context, address string) (*Stream, error) {
	h, err := c.hold(ctx, address)
	if err != nil {
		return nil, err
	}
	raw, err := h.connection.OpenStreamSync(ctx)
	if err != nil {
		c.unhold(address, h)
		return nil, fmt.Errorf("open stream: %w", err)
	}
	return &Stream{stream: raw, onDone: func() { c.unhold(address, h) }}, nil
}

// hold returns a live connection to the address and counts one exchange on it.
func (c *Client) hold(ctx context.Context, address string) (*held, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, net.ErrClosed
	}
	h, ok := c.connections[address]
	if ok && h.dead() {
		c.remove(address, h)
		ok = false
	}
	if !ok {
		h = &held{ready: make(chan struct{})}
		c.connections[address] = h
		go c.dial(address, h)
	}
	h.open++
	c.mu.Unlock()
	select {
	case <-h.ready:
	case <-ctx.Done():
		c.unhold(address, h)
		return nil, fmt.Errorf("connect: %w", ctx.Err())
	}
	if h.err != nil {
		c.unhold(address, h)
		return nil, h.err
	}
	return h, nil
}

func (h *held) dead() bool {
	select {
	case <-h.ready:
		return h.err != nil || h.connection.Context().Err() != nil
	default:
		return false
	}
}

func (c *Client) dial(address string, h *held) {
	defer close(h.ready)
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		h.err = fmt.Errorf("parse address: %w", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeLimit)
	defer cancel()
	h.connection, h.err = c.udp.Dial(ctx, remote, c.tls, quicConfig())
}

// unhold ends one exchange and closes connections that are no longer used.
func (c *Client) unhold(address string, h *held) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h.open--
	h.used = time.Now()
	if h.open > 0 {
		return
	}
	time.AfterFunc(idleLimit, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if h.open == 0 && time.Since(h.used) >= idleLimit {
			if c.connections[address] == h {
				c.remove(address, h)
			}
			c.closeHeld(h)
		}
	})
}
