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

// Client opens exchanges with other daemons over a pool with one QUIC connection
// per address. Connections are made on demand and closed after
// unusedConnectionTimeout without exchanges, so their number follows the traffic
// and not the size of the fleet.
type Client struct {
	tls       *tls.Config
	transport *quic.Transport

	// mu guards the fields below, and exchanges and idleSince of each pooled
	// connection.
	mu          sync.Mutex
	connections map[string]*pooledConnection
	// closedTraffic sums the traffic of connections that were removed from
	// connections, each up to its removal.
	closedTraffic Traffic
	closed        bool
}

// Traffic counts the bytes of QUIC packets sent and received, without UDP and IP
// headers.
type Traffic struct {
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
}

// addConnection adds the bytes of a connection. A connection whose handshake is
// unfinished or has failed adds nothing.
func (t *Traffic) addConnection(pc *pooledConnection) {
	select {
	case <-pc.ready:
	default:
		return
	}
	if pc.connection != nil {
		stats := pc.connection.ConnectionStats()
		t.Sent += stats.BytesSent
		t.Received += stats.BytesReceived
	}
}

// Traffic returns the bytes of all connections so far. Of a connection that was removed
// from the pool it counts those up to the removal.
func (c *Client) Traffic() Traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := c.closedTraffic
	for _, pc := range c.connections {
		total.addConnection(pc)
	}
	return total
}

// pooledConnection is a client's connection to one address, which may still be in
// its handshake.
type pooledConnection struct {
	// ready is closed once connection or err is set.
	ready      chan struct{}
	connection *quic.Conn
	err        error
	// exchanges counts the open exchanges; guarded by Client.mu.
	exchanges int
	// idleSince is when an exchange last ended; guarded by Client.mu.
	idleSince time.Time
}

// NewClient returns a client that uses the given certificates and opens its own UDP
// socket. Call Close to release it.
func NewClient(tlsConfig *tls.Config) (*Client, error) {
	config := tlsConfig.Clone()
	config.NextProtos = []string{alpnProtocol}
	// With this cache, a later connection can resume a TLS session without sending
	// certificates.
	config.ClientSessionCache = tls.NewLRUClientSessionCache(maxTLSSessions)
	socket, err := net.ListenUDP("udp", &net.UDPAddr{})
	if err != nil {
		return nil, fmt.Errorf("open socket: %w", err)
	}
	return &Client{tls: config, transport: &quic.Transport{Conn: socket}, connections: make(map[string]*pooledConnection)}, nil
}

// Len returns the number of connections in the pool.
func (c *Client) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.connections)
}

// Close closes all connections and the socket, and refuses further exchanges.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	for address, pc := range c.connections {
		c.remove(address, pc)
		c.closeConnection(pc)
	}
	c.mu.Unlock()
	_ = c.transport.Close()
	_ = c.transport.Conn.Close()
}

// closeConnection closes a connection if its handshake has succeeded. The caller holds
// mu.
func (c *Client) closeConnection(pc *pooledConnection) {
	select {
	case <-pc.ready:
		if pc.connection != nil {
			_ = pc.connection.CloseWithError(codeClosed, "unused")
		}
	default:
	}
}

// Open sends a request on a new exchange and returns the stream for the reply. An
// error that matches ErrNotSent proves that no part of the request was sent; after
// any other error the peer may have received it.
func (c *Client) Open(ctx context.Context, address string, request *Request) (*Stream, error) {
	stream, err := c.openStream(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("open exchange with %s: %w: %w", address, ErrNotSent, err)
	}
	if request.BeforeSend != nil {
		if err := request.BeforeSend(request); err != nil {
			stream.Cancel()
			return nil, fmt.Errorf("open exchange with %s: %w: %w", address, ErrNotSent, err)
		}
	}
	if err := stream.Send(request); err != nil {
		stream.Cancel()
		c.DropConnection(address)
		return nil, fmt.Errorf("send to %s: %w", address, err)
	}
	stream.CloseSend()
	return stream, nil
}

// RoundTrip sends a request, returns the first frame of the reply and cancels the
// exchange. It returns soon after ctx has ended.
func (c *Client) RoundTrip(ctx context.Context, address string, request *Request) (*Frame, error) {
	stream, err := c.Open(ctx, address, request)
	if err != nil {
		return nil, err
	}
	defer stream.Cancel()
	defer context.AfterFunc(ctx, stream.Cancel)()
	if deadline, ok := ctx.Deadline(); ok {
		stream.SetReadDeadline(deadline)
	}
	var frame Frame
	if err := stream.Receive(&frame); err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	return &frame, nil
}

// DropConnection takes the connection to an address out of the pool, so that the next
// exchange uses a new one. Exchanges on the old connection continue.
func (c *Client) DropConnection(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if pc := c.connections[address]; pc != nil {
		c.remove(address, pc)
	}
}

// remove takes a connection out of the pool and keeps its traffic count. The caller
// holds mu.
func (c *Client) remove(address string, pc *pooledConnection) {
	delete(c.connections, address)
	c.closedTraffic.addConnection(pc)
}

// openStream opens a stream that releases its connection when it is canceled.
func (c *Client) openStream(ctx context.Context, address string) (*Stream, error) {
	pc, err := c.acquire(ctx, address)
	if err != nil {
		return nil, err
	}
	quicStream, err := pc.connection.OpenStreamSync(ctx)
	if err != nil {
		c.release(address, pc)
		return nil, fmt.Errorf("open stream: %w", err)
	}
	return &Stream{stream: quicStream, silenceTimeout: SilenceTimeout, onRelease: func() { c.release(address, pc) }}, nil
}

// acquire returns a live connection to the address, dials it if there is none, and
// counts one exchange on it until release.
func (c *Client) acquire(ctx context.Context, address string) (*pooledConnection, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, net.ErrClosed
	}
	pc, ok := c.connections[address]
	if ok && pc.failedOrClosed() {
		c.remove(address, pc)
		ok = false
	}
	if !ok {
		pc = &pooledConnection{ready: make(chan struct{})}
		c.connections[address] = pc
		go c.dial(address, pc)
	}
	pc.exchanges++
	c.mu.Unlock()
	select {
	case <-pc.ready:
	case <-ctx.Done():
		c.release(address, pc)
		return nil, fmt.Errorf("connect: %w", ctx.Err())
	}
	if pc.err != nil {
		c.release(address, pc)
		return nil, pc.err
	}
	return pc, nil
}

// failedOrClosed reports whether the handshake failed or the connection has ended
// since.
func (pc *pooledConnection) failedOrClosed() bool {
	select {
	case <-pc.ready:
		return pc.err != nil || pc.connection.Context().Err() != nil
	default:
		return false
	}
}

// dial makes the connection and sets connection or err of pc.
func (c *Client) dial(address string, pc *pooledConnection) {
	defer close(pc.ready)
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		pc.err = fmt.Errorf("parse address: %w", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	pc.connection, pc.err = c.transport.Dial(ctx, remote, c.tls, quicConfig())
}

// release ends one exchange. If it was the last one of its connection and no other
// follows within unusedConnectionTimeout, the connection is closed.
func (c *Client) release(address string, pc *pooledConnection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pc.exchanges--
	pc.idleSince = time.Now()
	if pc.exchanges > 0 {
		return
	}
	time.AfterFunc(unusedConnectionTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if pc.exchanges == 0 && time.Since(pc.idleSince) >= unusedConnectionTimeout {
			if c.connections[address] == pc {
				c.remove(address, pc)
			}
			c.closeConnection(pc)
		}
	})
}
