// Package listener lets fasthttp serve connections whose sockets are owned by gnet.
//
// gnet reads and writes; each connection is handed to the HTTP library
// as a net.Conn. Buffers are bounded in both directions: a client that sends more than
// maxAheadBytes ahead of what the server has read is taken off gnet's event loop and read
// at the pace of the server, and a write waits while a slow client has more than
// maxOutboundBytes outstanding, or more than its part of what may be outstanding for all clients.
package listener

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

const (
	// maxOutboundBytes is how many bytes may be outstanding for a client before writes
	// wait.
	maxOutboundBytes = 256 << 10
	// writeTimeout bounds the wait of one write for a client that does not read. It
	// applies to each write on its own, so that a stream may last for any time.
	writeTimeout = 30 * time.Second
	// outboundPollInterval is how often gnet's outbound buffer is checked until it is
	// empty.
	outboundPollInterval = 5 * time.Millisecond
	// closeTimeout bounds how long closing a connection waits for a slow client.
	closeTimeout = 10 * time.Second
	// maxPendingConnections is the number of open connections that may wait for Accept;
	// further ones are closed.
	maxPendingConnections = 1024
)

// Listener implements net.Listener for connections whose events gnet handles.
type Listener struct {
	gnet.BuiltinEventEngine
	// socket is accepted from by the listener itself: gnet closes all connections when accept fails.
	socket net.Listener
	events *gnet.Client
	// maxInboundBytes is how many received bytes may wait to be read per connection.
	maxInboundBytes int
	// pending holds open connections that wait for Accept.
	pending chan net.Conn
	// openMu is held while a connection is added to pending or closed is closed, so that none is
	// added after that.
	openMu sync.Mutex
	// closed is closed by Close.
	closed chan struct{}
	// acceptEnded is closed once no further connection is accepted.
	acceptEnded chan struct{}
	// declinedAt is when a client last was refused or could not be accepted, nil if none was.
	// onAcceptFailed is called for the first of a series of failures to accept.
	declinedAt     atomic.Pointer[time.Time]
	onAcceptFailed atomic.Pointer[func(error)]
	// detached holds the connections that were taken off the event loop.
	detached sync.Map
	// refusal is what a client gets whose request is not read any more, nil for nothing.
	refusal atomic.Pointer[[]byte]
	// conns holds the open connections. readsEnded is set once their reads fail; openMu guards it.
	conns      sync.Map
	readsEnded bool
	// outbound counts what is outstanding for all clients.
	outbound outbound
	// limiter bounds the open connections.
	limiter connLimiter
}

// New listens on a TCP address. A client that sends ahead while its last answer is not taken yet is
// disconnected when more than maxInboundBytes wait to be read.
func New(address string, maxInboundBytes int) (*Listener, error) {
	// Connections are kept alive by their servers' own timeouts.
	config := net.ListenConfig{KeepAlive: -1}
	socket, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return newListener(socket, maxInboundBytes)
}

// newListener returns a listener that accepts from a socket, which it closes.
func newListener(socket net.Listener, maxInboundBytes int) (*Listener, error) {
	l := &Listener{
		maxInboundBytes: maxInboundBytes,
		pending:         make(chan net.Conn, maxPendingConnections),
		closed:          make(chan struct{}),
		acceptEnded:     make(chan struct{}),
		outbound:        outbound{conns: make(map[*conn]bool)},
		limiter:         connLimiter{now: time.Now, freed: make(chan struct{}, 1)},
	}
	l.socket = NewRetryListener(socket, l.recordAcceptFailure)
	var err error
	// Accepted sockets have TCP_NODELAY already.
	if l.events, err = gnet.NewClient(l, gnet.WithMulticore(true), gnet.WithLogger(discardLogger{}), gnet.WithTCPNoDelay(gnet.TCPDelay)); err == nil {
		err = l.events.Start()
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("start event loops of %s: %w", socket.Addr(), err), socket.Close())
	}
	go func() {
		defer close(l.acceptEnded)
		l.acceptAll()
	}()
	return l, nil
}

// SetRefusal sets the answer to requests that arrive on idle connections while these are closed.
func (l *Listener) SetRefusal(answer []byte) { l.refusal.Store(&answer) }

// RecordState records whether a connection of a listener waits for a request, as the server says.
func RecordState(c net.Conn, state fasthttp.ConnState) {
	own, ok := c.(*conn)
	if !ok {
		return
	}
	own.mu.Lock()
	defer own.mu.Unlock()
	own.idle, own.readWhileIdle = state == fasthttp.StateNew || state == fasthttp.StateIdle, false
	own.limiter.setIdle(own, own.idle)
}

// EndReads makes all reads time out that would wait for clients, so that requests which have not
// arrived are answered as such. Bytes that were received can still be read.
func (l *Listener) EndReads() {
	l.openMu.Lock()
	l.readsEnded = true
	l.openMu.Unlock()
	l.conns.Range(func(c, _ any) bool {
		c.(*conn).endReads()
		return true
	})
}

// OnOpen implements gnet.EventHandler.
func (l *Listener) OnOpen(raw gnet.Conn) ([]byte, gnet.Action) {
	c := &conn{raw: raw, fd: raw.Fd(), local: raw.LocalAddr(), remote: raw.RemoteAddr(), maxInboundBytes: l.maxInboundBytes, refusal: &l.refusal, outbound: &l.outbound, limiter: &l.limiter, disconnected: make(chan struct{})}
	c.changed = sync.NewCond(&c.mu)
	if g, ok := raw.Context().(*grant); ok {
		c.admitted, g.opened = g.admission, true
		if g.admission == refused {
			l.refuse(raw, c, g.refusal)
		}
	}
	raw.SetContext(c)
	if c.refusing {
		return nil, gnet.None
	}
	l.openMu.Lock()
	defer l.openMu.Unlock()
	if l.isClosed() {
		return nil, gnet.Close
	}
	c.readsEnded = l.readsEnded
	select {
	case l.pending <- c:
		l.conns.Store(c, true)
		return nil, gnet.None
	default:
		return nil, gnet.Close
	}
}

func (l *Listener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// OnTraffic implements gnet.EventHandler.
func (l *Listener) OnTraffic(raw gnet.Conn) gnet.Action {
	c, ok := raw.Context().(*conn)
	if !ok {
		return gnet.Close
	}
	data, err := raw.Next(-1)
	if err != nil {
		return gnet.Close
	}
	if c.isRefusing() {
		_, _ = raw.Write(*c.refusal.Load())
		return gnet.Close
	}
	if !c.appendInbound(data) {
		return gnet.Close
	}
	if c.unread() > maxAheadBytes && l.detach(raw, c) {
		// This closes the descriptor of the event loop only.
		return gnet.Close
	}
	return gnet.None
}

// OnClose implements gnet.EventHandler.
func (l *Listener) OnClose(raw gnet.Conn, _ error) gnet.Action {
	if c, ok := raw.Context().(*conn); ok && !c.isDetached() {
		c.markEnded()
		if c.isRefusing() {
			_ = c.SetReadDeadline(time.Time{})
		}
		l.conns.Delete(c)
		l.limiter.release(c)
	}
	return gnet.None
}

// Accept implements net.Listener. After Close it still returns the connections that were opened
// before.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.pending:
		return c, nil
	case <-l.closed:
	}
	select {
	case c := <-l.pending:
		return c, nil
	default:
		return nil, net.ErrClosed
	}
}

// Close stops opening connections; open ones continue until Stop.
func (l *Listener) Close() error {
	l.openMu.Lock()
	defer l.openMu.Unlock()
	if !l.isClosed() {
		close(l.closed)
	}
	return nil
}

// Stop closes the socket and every connection. It waits for that until ctx ends.
func (l *Listener) Stop(ctx context.Context) error {
	_ = l.Close()
	l.detached.Range(func(c, _ any) bool {
		_ = c.(*conn).direct.Close()
		return true
	})
	if err := l.socket.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("stop listener: %w", err)
	}
	stopped := make(chan error, 1)
	go func() {
		// The event loops must run for as long as connections are handed to them.
		<-l.acceptEnded
		stopped <- l.events.Stop()
	}()
	select {
	case err := <-stopped:
		if err != nil {
			return fmt.Errorf("stop listener: %w", err)
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("stop listener: %w", ctx.Err())
	}
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.socket.Addr() }

// conn implements net.Conn for one gnet connection.
type conn struct {
	raw             gnet.Conn
	local, remote   net.Addr
	maxInboundBytes int
	// refusal is that of the listener.
	refusal *atomic.Pointer[[]byte]
	// disconnected is closed when ended is set.
	disconnected chan struct{}
	// limiter is that of the listener; its mu guards the three fields below. idleElement is the connection's
	// element of idle, nil if it does not wait for a request, else it has since idleSince.
	limiter     *connLimiter
	admitted    admission
	idleElement *list.Element
	idleSince   time.Time

	// mu guards the fields below; changed is broadcast whenever one changes for which a
	// reader or writer may wait, and when a deadline passes.
	mu      sync.Mutex
	changed *sync.Cond
	// fd is the socket's file descriptor. It may belong to another file once the connection
	// has ended.
	fd int
	// direct is the connection itself once it was taken off the event loop, else nil.
	direct *net.TCPConn
	// inbound holds received bytes that were not read yet.
	inbound []byte
	// receivedAt is when bytes were last added to inbound.
	receivedAt time.Time
	// queuedBytes counts bytes passed to gnet's event loop that it has not processed yet.
	queuedBytes int
	// bufferedBytes counts bytes in gnet's outbound buffer, which a slow client has not
	// taken yet.
	bufferedBytes int
	// outbound is that of the listener, in which counted bytes are counted for this connection. takenAt is
	// when the client last took some.
	outbound *outbound
	counted  int
	takenAt  time.Time
	// awaitsRoom is set while a write waits.
	awaitsRoom bool
	// pollScheduled is set while a check of the outbound buffer is scheduled.
	pollScheduled bool
	// ended is set once the connection has ended and is never cleared.
	ended bool
	// idle is set while the connection waits for a request, readWhileIdle once the server has read
	// some of that. refusing is set once an idle connection is closed, and never cleared.
	idle, readWhileIdle, refusing bool
	// readsEnded is set once reads time out that would wait, and never cleared.
	readsEnded bool
	// readDeadline and writeDeadline are zero when there is none.
	readDeadline, writeDeadline time.Time
	readTimer, writeTimer       *time.Timer
	// readExpired is set once the current readDeadline was found to have passed, and inTime is how many
	// bytes of inbound had been received by then: those may still be read.
	readExpired bool
	inTime      int
}

// appendInbound adds received bytes to inbound, or returns false if they would exceed
// maxInboundBytes.
func (c *conn) appendInbound(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.inbound)+len(data) > c.maxInboundBytes {
		return false
	}
	c.inbound = append(c.inbound, data...)
	c.receivedAt = time.Now()
	c.changed.Broadcast()
	return true
}

// unread returns the number of received bytes that wait to be read.
func (c *conn) unread() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.inbound)
}

// isDetached reports whether the connection was taken off the event loop.
func (c *conn) isDetached() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.direct != nil
}

// markEnded records that the connection has ended and wakes all waiters.
func (c *conn) markEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.ended = true
		c.countOutstanding()
		close(c.disconnected)
	}
	c.changed.Broadcast()
}

// Disconnected returns a channel that is closed when the client's connection has ended,
// also while a request on it is being answered. For a connection of another listener
// it is nil, so that receiving from it blocks forever.
func Disconnected(c net.Conn) <-chan struct{} {
	if own, ok := c.(*conn); ok {
		return own.disconnected
	}
	return nil
}

// Left reports whether the client has closed or reset its connection. Unlike Disconnected it
// does not depend on the event loop, which reads a close behind a request only later. It is
// false for a connection of another listener.
func Left(c net.Conn) bool {
	own, ok := c.(*conn)
	return ok && own.left()
}

func (c *conn) left() bool {
	select {
	case <-c.disconnected:
		return true
	default:
	}
	c.mu.Lock()
	fd := c.fd
	c.mu.Unlock()
	var peeked [1]byte
	n, _, err := unix.Recvfrom(fd, peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case n > 0, errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
		return false
	}
	// Any other result is the end of this connection, also if the descriptor is that of
	// another file by now.
	return true
}

// ReceivedAt returns when the last bytes of the client were received: a request that they complete
// may have waited since. It returns now if that is not known.
func ReceivedAt(c net.Conn, now time.Time) time.Time {
	own, ok := c.(*conn)
	if !ok {
		return now
	}
	own.mu.Lock()
	defer own.mu.Unlock()
	if own.receivedAt.IsZero() || own.receivedAt.After(now) {
		return now
	}
	return own.receivedAt
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.inbound) == 0 {
		if c.ended {
			return 0, io.EOF
		}
		if c.readsEnded || expired(c.readDeadline) {
			return 0, os.ErrDeadlineExceeded
		}
		c.changed.Wait()
	}
	if c.readExpired && c.inTime == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	n := copy(p, c.inbound)
	if c.readExpired {
		n = min(n, c.inTime)
		c.inTime -= n
	}
	c.inbound = c.inbound[n:]
	c.readWhileIdle = c.readWhileIdle || c.idle
	if len(c.inbound) == 0 {
		c.inbound = nil
	}
	if c.direct != nil {
		c.changed.Broadcast()
	}
	return n, nil
}

// Write implements net.Conn. It waits while more than maxOutboundBytes are outstanding, and
// fails and ends the connection if that takes writeTimeout. It returns once the bytes are
// passed to the event loop.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.awaitRoom()
	if c.ended {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	if expired(c.writeDeadline) {
		c.mu.Unlock()
		return 0, os.ErrDeadlineExceeded
	}
	if c.direct != nil {
		deadline := c.writeDeadline
		c.mu.Unlock()
		return c.writeDirect(p, deadline)
	}
	c.queuedBytes += len(p)
	c.countOutstanding()
	c.mu.Unlock()
	data := append([]byte(nil), p...)
	callback := func(raw gnet.Conn, err error) error {
		c.updateOutbound(raw, len(data), err)
		return nil
	}
	if err := c.raw.AsyncWrite(data, callback); err != nil {
		return 0, fmt.Errorf("write: %w", err)
	}
	return len(p), nil
}

// updateOutbound runs in the event loop after it has processed n queued bytes, and with n
// 0 when the outbound buffer is polled. It updates the counts and wakes writers.
func (c *conn) updateOutbound(raw gnet.Conn, n int, err error) {
	if err != nil || raw == nil {
		c.markEnded()
		return
	}
	bufferedBytes := raw.OutboundBuffered()
	c.mu.Lock()
	c.queuedBytes -= n
	c.bufferedBytes = bufferedBytes
	c.countOutstanding()
	wasScheduled := c.pollScheduled
	c.pollScheduled = bufferedBytes > 0
	c.changed.Broadcast()
	c.mu.Unlock()
	if bufferedBytes > 0 && !wasScheduled {
		c.schedulePoll()
	}
}

// schedulePoll schedules a check of the outbound buffer after outboundPollInterval. The
// check schedules the next one unless the buffer is empty.
func (c *conn) schedulePoll() {
	time.AfterFunc(outboundPollInterval, func() {
		_ = c.raw.Wake(func(raw gnet.Conn, err error) error {
			c.mu.Lock()
			c.pollScheduled = false
			c.mu.Unlock()
			c.updateOutbound(raw, 0, err)
			return nil
		})
	})
}

// isRefusing reports whether a request that arrives now is refused.
func (c *conn) isRefusing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusing
}

// endReads makes reads time out that would wait.
func (c *conn) endReads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsEnded = true
	c.changed.Broadcast()
}

// refuseUnread answers a request that has arrived on an idle connection, which is being closed.
func (c *conn) refuseUnread() {
	c.mu.Lock()
	c.refusing = c.idle && c.refusal.Load() != nil
	unread := c.refusing && (len(c.inbound) > 0 || c.readWhileIdle)
	c.mu.Unlock()
	if unread {
		_, _ = c.Write(*c.refusal.Load())
	}
}

// Close implements net.Conn. It waits at most closeTimeout for the client to take bytes
// already written.
func (c *conn) Close() error {
	deadline := time.Now().Add(closeTimeout)
	_ = c.SetWriteDeadline(deadline)
	c.refuseUnread()
	c.mu.Lock()
	for c.queuedBytes+c.bufferedBytes > 0 && !c.ended && !expired(c.writeDeadline) {
		c.changed.Wait()
	}
	c.setTimer(&c.readTimer, time.Time{})
	c.setTimer(&c.writeTimer, time.Time{})
	direct := c.direct
	c.mu.Unlock()
	c.markEnded()
	if direct != nil {
		return c.closeDirect()
	}
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
	c.readDeadline, c.readExpired = t, false
	c.setTimer(&c.readTimer, t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	c.setTimer(&c.writeTimer, t)
	return nil
}

// setTimer replaces the timer by one that wakes waiters at t, or by none if t is zero.
// The caller holds mu.
func (c *conn) setTimer(timer **time.Timer, t time.Time) {
	if *timer != nil {
		(*timer).Stop()
		*timer = nil
	}
	if !t.IsZero() {
		*timer = time.AfterFunc(time.Until(t), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if !c.readExpired && expired(c.readDeadline) {
				c.readExpired, c.inTime = true, len(c.inbound)
			}
			c.changed.Broadcast()
		})
	}
	c.changed.Broadcast()
}

// expired reports whether a deadline has passed; a zero one never does.
func expired(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }

// discardLogger discards gnet's own log messages.
type discardLogger struct{}

func (discardLogger) Debugf(string, ...any) {}
func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(string, ...any) {}
