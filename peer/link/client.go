package link

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

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
		c.DropConnection(address)
		return nil, fmt.Errorf("send to %s: %w", address, err)
	}
	stream.CloseSend()
	return stream, nil
}

// RoundTrip sends a request and waits for a single frame.
func (c *Client) RoundTrip(ctx context.Context, address string, request *Request) (*Frame, error) {
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

// DropConnection forgets the connection to an address, so that the next exchange uses a
// new one. Exchanges on the old connection continue.
func (c *Client) DropConnection(address string) {
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
	return &Stream{stream: raw, silence: SilenceTimeout, onDone: func() { c.unhold(address, h) }}, nil
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
