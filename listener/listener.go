// Package listener lets fasthttp serve connections whose sockets are owned by gnet.
//
// gnet accepts, reads and writes; each connection is handed to the HTTP library
// as a net.Conn. Both directions are bounded: a client that sends more than a
// request's worth ahead is cut off, and a write waits while a slow client has
// too much outstanding.
package listener

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

const (
	// outboundLimit is how many bytes may wait for a slow client.
	outboundLimit = 256 << 10
	// slowLimit bounds the wait of one write for a client that does not read. It
	// holds for each write, so that a stream may last as long as it likes.
	slowLimit = 30 * time.Second
	// drainPoll is how often a full outbound buffer is looked at again.
	drainPoll = 5 * time.Millisecond
	// closeLimit bounds how long Close waits for a slow client.
	closeLimit = 10 * time.Second
	// backlog is the number of accepted connections that may wait for the server.
	backlog = 1024
)

// Listener is a net.Listener over a gnet engine.
type Listener struct {
	gnet.BuiltinEventEngine
	address net.Addr
	// inboundLimit is how many bytes a client may send ahead.
	inboundLimit int
	accepted     chan net.Conn
	booted       chan struct{}
	engine       gnet.Engine
	closed       chan struct{}
	closeOnce    sync.Once
	stopped      chan struct{}
	failed       error
}

// New listens on a TCP address. inboundLimit must exceed the largest request.
func New(address string, inboundLimit int) (*Listener, error) {
	resolved, err := reserve(address)
	if err != nil {
		return nil, err
	}
	l := &Listener{
		address:      resolved,
		inboundLimit: inboundLimit,
		accepted:     make(chan net.Conn, backlog),
		booted:       make(chan struct{}),
		closed:       make(chan struct{}),
		stopped:      make(chan struct{}),
	}
	go func() {
		l.failed = gnet.Run(l, "tcp://"+resolved.String(), gnet.WithMulticore(true), gnet.WithReuseAddr(true), gnet.WithLogger(quiet{}), gnet.WithTCPNoDelay(gnet.TCPNoDelay))
		close(l.stopped)
	}()
	select {
	case <-l.booted:
		return l, nil
	case <-l.stopped:
		return nil, fmt.Errorf("listen on %s: %w", address, l.failed)
	}
}

// reserve turns port 0 into a free port, since gnet does not tell which it chose.
func reserve(address string) (net.Addr, error) {
	probe, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	defer func() { _ = probe.Close() }()
	return probe.Addr(), nil
}

// OnBoot implements gnet.EventHandler.
func (l *Listener) OnBoot(engine gnet.Engine) gnet.Action {
	l.engine = engine
	close(l.booted)
	return gnet.None
}

// OnOpen implements gnet.EventHandler.
func (l *Listener) OnOpen(raw gnet.Conn) ([]byte, gnet.Action) {
	c := &conn{raw: raw, local: raw.LocalAddr(), remote: raw.RemoteAddr(), inboundLimit: l.inboundLimit, gone: make(chan struct{})}
	c.changed = sync.NewCond(&c.mu)
	raw.SetContext(c)
	select {
	case <-l.closed:
		return nil, gnet.Close
	default:
	}
	select {
	case l.accepted <- c:
		return nil, gnet.None
	default:
		return nil, gnet.Close
	}
}

// OnTraffic implements gnet.EventHandler.
func (l *Listener) OnTraffic(raw gnet.Conn) gnet.Action {
	c, ok := raw.Context().(*conn)
	if !ok {
		return gnet.Close
	}
	data, err := raw.Next(-1)
	if err != nil || !c.deliver(data) {
		return gnet.Close
	}
	return gnet.None
}

// OnClose implements gnet.EventHandler.
func (l *Listener) OnClose(raw gnet.Conn, _ error) gnet.Action {
	if c, ok := raw.Context().(*conn); ok {
		c.end()
	}
	return gnet.None
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops accepting; open connections continue until Stop.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Stop ends the engine and with it every connection.
func (l *Listener) Stop(ctx context.Context) error {
	_ = l.Close()
	if err := l.engine.Stop(ctx); err != nil {
		return fmt.Errorf("stop listener: %w", err)
	}
	<-l.stopped
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.address }

// conn is one connection.
type conn struct {
	raw           gnet.Conn
	local, remote net.Addr
	inboundLimit  int
	// gone is closed when ended is set.
	gone chan struct{}

	// mu guards the fields below; changed is signalled whenever one changes.
	mu      sync.Mutex
	changed *sync.Cond
	// inbound holds received bytes that were not read yet.
	inbound []byte
	// queued counts bytes given to the event loop that it has not taken yet.
	queued int
	// buffered counts bytes that the event loop holds for a slow client.
	buffered int
	// watched is set while a look at the outbound buffer is scheduled.
	watched bool
	// ended is set when the connection is gone and never cleared.
	ended bool
	// readDeadline and writeDeadline are zero when there is none.
	readDeadline, writeDeadline time.Time
	readTimer, writeTimer       *time.Timer
}

// deliver takes received bytes and reports whether the client kept its bound.
func (c *conn) deliver(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.inbound)+len(data) > c.inboundLimit {
		return false
	}
	c.inbound = append(c.inbound, data...)
	c.changed.Broadcast()
	return true
}

func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.ended = true
		close(c.gone)
	}
	c.changed.Broadcast()
}

// Disconnected returns a channel that is closed when the client's connection has ended,
// also while a request on it is being answered. It is nil, and so never ready,
// for a connection of another listener.
func Disconnected(c net.Conn) <-chan struct{} {
	if own, ok := c.(*conn); ok {
		return own.gone
	}
	return nil
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.inbound) == 0 {
		if c.ended {
			return 0, io.EOF
		}
		if passed(c.readDeadline) {
			return 0, os.ErrDeadlineExceeded
		}
		c.changed.Wait()
	}
	n := copy(p, c.inbound)
	c.inbound = c.inbound[n:]
	if len(c.inbound) == 0 {
		c.inbound = nil
	}
	return n, nil
}

// Write implements net.Conn. It returns once the bytes are accepted for sending
// and waits while too many are outstanding.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.queued+c.buffered > outboundLimit {
		timer := time.AfterFunc(slowLimit, c.end)
		defer timer.Stop()
	}
	for c.queued+c.buffered > outboundLimit && !c.ended && !passed(c.writeDeadline) {
		c.changed.Wait()
	}
	if c.ended {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	if passed(c.writeDeadline) {
		c.mu.Unlock()
		return 0, os.ErrDeadlineExceeded
	}
	c.queued += len(p)
	c.mu.Unlock()
	data := append([]byte(nil), p...)
	taken := func(raw gnet.Conn, err error) error {
		c.taken(raw, len(data), err)
		return nil
	}
	if err := c.raw.AsyncWrite(data, taken); err != nil {
		return 0, fmt.Errorf("write: %w", err)
	}
	return len(p), nil
}

// taken runs in the event loop after it took n bytes.
func (c *conn) taken(raw gnet.Conn, n int, err error) {
	if err != nil || raw == nil {
		c.end()
		return
	}
	left := raw.OutboundBuffered()
	c.mu.Lock()
	c.queued -= n
	c.buffered = left
	watched := c.watched
	c.watched = left > 0
	c.changed.Broadcast()
	c.mu.Unlock()
	if left > 0 && !watched {
		c.watch()
	}
}

// watch looks at the outbound buffer again after a delay, until it is empty.
func (c *conn) watch() {
	time.AfterFunc(drainPoll, func() {
		_ = c.raw.Wake(func(raw gnet.Conn, err error) error {
			c.mu.Lock()
			c.watched = false
			c.mu.Unlock()
			c.taken(raw, 0, err)
			return nil
		})
	})
}

// Close implements net.Conn. Bytes already written are sent first, unless the
// client does not take them within a bound.
func (c *conn) Close() error {
	limit := time.Now().Add(closeLimit)
	_ = c.SetWriteDeadline(limit)
	c.mu.Lock()
	for c.queued+c.buffered > 0 && !c.ended && !passed(c.writeDeadline) {
		c.changed.Wait()
	}
	c.schedule(&c.readTimer, time.Time{})
	c.schedule(&c.writeTimer, time.Time{})
	c.mu.Unlock()
	c.end()
	if err := c.raw.Close(); err != nil {
		return fmt.Errorf("close: %w", err)
	}
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	c.schedule(&c.readTimer, t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	c.schedule(&c.writeTimer, t)
	return nil
}

// schedule wakes waiters at the deadline. The caller holds mu.
func (c *conn) schedule(timer **time.Timer, t time.Time) {
	if *timer != nil {
		(*timer).Stop()
		*timer = nil
	}
	if !t.IsZero() {
		*timer = time.AfterFunc(time.Until(t), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.changed.Broadcast()
		})
	}
	c.changed.Broadcast()
}

func passed(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }

// quiet drops gnet's own messages.
type quiet struct{}

func (quiet) Debugf(string, ...any) {}
func (quiet) Infof(string, ...any)  {}
func (quiet) Warnf(string, ...any)  {}
func (quiet) Errorf(string, ...any) {}
func (quiet) Fatalf(string, ...any) {}
