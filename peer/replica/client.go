// Package replica is an HTTP/1.1 client for backend servers that are reached without
// a sidecar.
//
// A connection carries one exchange at a time and is kept for another only if all
// bytes that arrived on it belong to the last answer. Answers are matched to requests
// by an ID that the server echoes, so that a late answer is not taken for the answer
// to another request.
package replica

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

const (
	// readBufferBytes has room for the head of an answer, which is below 1 KB on both
	// sites, or for several events.
	readBufferBytes = 8 << 10
	// headBufferBytes has room for the head of a request and a small body, so that they
	// do not make the buffer grow.
	headBufferBytes = 2 << 10
	// maxInlineBodyBytes is the largest body that is written before the answer is read.
	// It fits the smallest TCP window, so that the write does not block when a server
	// answers before it has read the body.
	maxInlineBodyBytes = 4 << 10
	// defaultIdleTimeout applies to servers that send no timeout in Keep-Alive.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the server's idle timeout, so that the server does
	// not close the connection while a request is in transit.
	idleMargin = 500 * time.Millisecond
	// maxIdleConns bounds the idle connections to one server.
	maxIdleConns = 32
	// maxStaleAnswers bounds the answers to earlier requests that one exchange skips.
	maxStaleAnswers = 2
	// maxInterimAnswers bounds the interim answers, such as 100, before one final answer.
	maxInterimAnswers = 8
	// maxStaleBodyBytes is the largest body of an answer that is skipped.
	maxStaleBodyBytes = 64 << 10
	// freeBufferBytes of each answer need no reservation; ordinary ones stay within.
	freeBufferBytes = 64 << 10
	// writeEndTimeout bounds the write of a request body after the server has closed the connection.
	writeEndTimeout = 250 * time.Millisecond
	// memoryTimeout is how long an answer of unknown length waits for memory. Servers in
	// trouble may send bytes without end.
	memoryTimeout = time.Second
)

var faults = errorx.NewNamespace("replica")

// Errors of an exchange.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = faults.NewType("notSent").New("request was not sent")
	// ErrNoDescriptor means that this process could not open a connection since it lacks descriptors, ports or
	// memory. It says nothing about the server and comes with ErrNotSent.
	ErrNoDescriptor = faults.NewType("noDescriptor").New("no descriptor for a connection")
	// ErrExchangeFailed means that the exchange failed after at least part of the
	// request may have been sent.
	ErrExchangeFailed = faults.NewType("broken").New("exchange broke off")
)

// Memory is what answers that are held in memory take it from.
type Memory struct {
	// Reserve reserves bytes for the answer to a request of a priority, lower values first. It
	// waits until the deadline or until ctx ends, and reports whether there was room.
	Reserve func(ctx context.Context, bytes, priority int, deadline time.Time) bool
	// Release gives bytes back.
	Release func(bytes int)
}

// Request is one HTTP request with the time limits of its exchange.
type Request struct {
	// Address is the server's IP address and port.
	Address string
	// Method and Path, which includes the query, are sent unchanged.
	Method, Path string
	// Fields holds the header fields, the one with the ID included. The client adds
	// Content-Length.
	Fields []Field
	// BeforeSend is called once the connection is open, right before the first byte is sent. It
	// returns further header fields. After an error nothing is sent. It may be nil.
	BeforeSend func() ([]Field, error)
	Body       []byte
	// ID is echoed by the server in the header field that was given to New.
	ID string
	// ConnectTimeout is the limit for opening a connection.
	ConnectTimeout time.Duration
	// Deadline is the deadline of all reads and writes; Answer.SetDeadline replaces it
	// for reads.
	Deadline time.Time
	// Priority orders the answers that wait for memory, lower values first.
	Priority int
	// MaxIdleTime is how long a kept connection may have been idle to be reused. A
	// request that may not be repeated gets a shorter time, since the server may
	// have closed the connection meanwhile.
	MaxIdleTime time.Duration
}

// Field is one header field. Neither part contains a line break.
type Field struct {
	Name, Value string
}

// head returns the request line and the header fields as they are sent.
func (r *Request) head() []byte {
	head := make([]byte, 0, headBufferBytes)
	head = fmt.Appendf(head, "%s %s HTTP/1.1\r\n", r.Method, r.Path)
	for _, field := range r.Fields {
		head = append(append(append(append(head, field.Name...), ": "...), field.Value...), "\r\n"...)
	}
	if len(r.Body) > 0 || r.Method != fasthttp.MethodGet && r.Method != fasthttp.MethodHead {
		head = fmt.Appendf(head, "Content-Length: %d\r\n", len(r.Body))
	}
	return append(head, "\r\n"...)
}

// Client sends requests to servers and keeps idle connections to them for reuse. It is
// safe for concurrent use.
type Client struct {
	memory Memory
	// idField is the header field in which IDs are echoed.
	idField string
	clock   timekeeper.Clock
	dial    func(ctx context.Context, address string) (net.Conn, error)

	// maxConns bounds the open connections to all servers, 0 for no bound.
	maxConns int

	// mu guards the fields below.
	mu sync.Mutex
	// idle holds the idle connections by server address, the most recently used last.
	idle map[string][]*conn
	// open counts the connections that are open or being opened.
	open int
}

// conn is one connection to a server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleSince is set while the connection is idle, idleTimeout by the last answer.
	idleSince   time.Time
	idleTimeout time.Duration
	// unacknowledged is how many sent bytes the server had not acknowledged when the exchange
	// was aborted, -1 if it was not or the number is not known.
	unacknowledged atomic.Int64
	// release ends the count of the connection at its client.
	release func()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// newConn returns a connection without an exchange.
func newConn(netConn net.Conn, release func()) *conn {
	c := &conn{Conn: netConn, reader: bufio.NewReaderSize(netConn, readBufferBytes), idleTimeout: defaultIdleTimeout, release: sync.OnceFunc(release)}
	c.unacknowledged.Store(-1)
	return c
}

// abort resets the connection because the request's context has ended.
func (c *conn) abort() {
	c.unacknowledged.Store(countUnacknowledged(c.Conn))
	c.reset()
}

// countUnacknowledged returns how many sent bytes the other end has not acknowledged: they wait
// in a queue of this machine's link or are in transit. It returns -1 if that is not known.
func countUnacknowledged(c net.Conn) int64 {
	syscallConn, ok := c.(syscall.Conn)
	if !ok {
		return -1
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return -1
	}
	count := -1
	err = rawConn.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			count = n
		}
	})
	if err != nil {
		return -1
	}
	return int64(count)
}

// reset closes the connection with a TCP reset. Data that was not delivered yet is
// dropped and does not reach the server later.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// This fails only on a broken connection, which has no data left to send.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// New returns a client for servers that echo IDs in the given header field.
func New(idField string, memory Memory, clock timekeeper.Clock) *Client {
	dialer := &net.Dialer{KeepAlive: -1}
	return &Client{
		memory:  memory,
		idField: idField,
		clock:   clock,
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		idle: make(map[string][]*conn),
	}
}

// LimitConnections bounds the open connections to all servers, 0 for no bound. It must be called before Do.
func (c *Client) LimitConnections(limit int) { c.maxConns = limit }

// Do sends a request and reads the head of its answer. The caller must call
// Close on the answer. ErrNotSent is returned only if no byte was sent. If ctx ends
// before Close, the connection is reset.
func (c *Client) Do(ctx context.Context, request *Request) (*Answer, error) {
	connection, err := c.connect(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if request.BeforeSend != nil {
		fields, err := request.BeforeSend()
		if err != nil {
			c.keepIdle(request.Address, connection, connection.idleTimeout)
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		request.Fields = append(request.Fields, fields...)
	}
	answer := &Answer{ctx: ctx, client: c, conn: connection, address: request.Address, priority: request.Priority, deadline: request.Deadline}
	answer.stopReset = context.AfterFunc(ctx, connection.abort)
	_ = connection.SetDeadline(request.Deadline)
	if err := c.writeRequest(answer, request); err != nil {
		answer.Close()
		return nil, fmt.Errorf("%w: write: %w", ErrExchangeFailed, err)
	}
	if err := answer.readHead(c.idField, request); err != nil {
		answer.Close()
		if n := connection.unacknowledged.Load(); n >= 0 {
			err = fmt.Errorf("aborted with %d bytes not acknowledged: %w", n, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrExchangeFailed, err)
	}
	return answer, nil
}

// connect returns an idle connection that is still usable, or opens a new one.
func (c *Client) connect(ctx context.Context, request *Request) (*conn, error) {
	for {
		kept := c.takeIdle(request.Address, request.MaxIdleTime)
		if kept == nil {
			break
		}
		if isUsable(kept.Conn) {
			return kept, nil
		}
		_ = kept.Close()
	}
	surplus, reserved := c.reserve()
	if surplus != nil {
		_ = surplus.Close()
	}
	if !reserved {
		return nil, fmt.Errorf("connect to %s: %w: %d are in use", request.Address, ErrNoDescriptor, c.maxConns)
	}
	ctx, cancel := context.WithTimeout(ctx, request.ConnectTimeout)
	defer cancel()
	netConn, err := c.dial(ctx, request.Address)
	if err != nil {
		c.release()
		if isOwnLack(err) {
			err = fmt.Errorf("%w: %w", ErrNoDescriptor, err)
		}
		return nil, fmt.Errorf("connect to %s: %w", request.Address, err)
	}
	return newConn(netConn, c.release), nil
}

// isOwnLack reports whether a connection could not be opened for lack of something on this host.
func isOwnLack(err error) bool {
	return slices.ContainsFunc([]error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}, func(lack error) bool { return errors.Is(err, lack) })
}

// reserve counts a connection that is to be opened. At the limit it needs the place of one that is idle, which
// it returns to be closed first; without one it returns false.
func (c *Client) reserve() (surplus *conn, reserved bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.maxConns > 0 && c.open >= c.maxConns {
		if surplus = c.removeLongestIdle(); surplus == nil {
			return nil, false
		}
	}
	c.open++
	return surplus, true
}

// removeLongestIdle removes and returns the connection that has been idle for longest, nil if none is idle. The
// caller holds mu.
func (c *Client) removeLongestIdle() *conn {
	oldestAddress := ""
	for address, conns := range c.idle {
		if len(conns) > 0 && (oldestAddress == "" || conns[0].idleSince.Before(c.idle[oldestAddress][0].idleSince)) {
			oldestAddress = address
		}
	}
	if oldestAddress == "" {
		return nil
	}
	oldest := c.idle[oldestAddress][0]
	c.idle[oldestAddress] = c.idle[oldestAddress][1:]
	return oldest
}

// release ends the count of a connection.
func (c *Client) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

// takeIdle removes and returns the most recently used idle connection to a server. It
// returns nil if there is none or if it has been idle for too long.
func (c *Client) takeIdle(address string, maxIdleTime time.Duration) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[address]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	if c.clock.Now().Sub(last.idleSince) > min(maxIdleTime, last.idleTimeout) {
		return nil
	}
	conns[len(conns)-1] = nil
	c.idle[address] = conns[:len(conns)-1]
	return last
}

// keepIdle stores a connection for another exchange. It then closes the oldest idle
// connections to the server that have expired or exceed maxIdleConns.
func (c *Client) keepIdle(address string, connection *conn, idleTimeout time.Duration) {
	connection.idleSince, connection.idleTimeout = c.clock.Now(), idleTimeout
	_ = connection.SetDeadline(time.Time{})
	c.mu.Lock()
	conns := append(c.idle[address], connection)
	var surplus []*conn
	for len(conns) > 0 && (len(conns) > maxIdleConns || c.clock.Now().Sub(conns[0].idleSince) > conns[0].idleTimeout) {
		surplus = append(surplus, conns[0])
		conns = conns[1:]
	}
	c.idle[address] = conns
	c.mu.Unlock()
	for _, old := range surplus {
		_ = old.Close()
	}
}

// CloseExpired closes the idle connections whose idle timeout has passed.
func (c *Client) CloseExpired() {
	now := c.clock.Now()
	c.mu.Lock()
	var expired []*conn
	for address, conns := range c.idle {
		for len(conns) > 0 && now.Sub(conns[0].idleSince) > conns[0].idleTimeout {
			expired = append(expired, conns[0])
			conns = conns[1:]
		}
		if len(conns) == 0 {
			delete(c.idle, address)
		} else {
			c.idle[address] = conns
		}
	}
	c.mu.Unlock()
	for _, old := range expired {
		_ = old.Close()
	}
}

// writeRequest sends the request. A body that may not fit the connection's window is
// written in a goroutine while the answer is read, since a server may answer before it
// has read the body.
func (c *Client) writeRequest(answer *Answer, request *Request) error {
	head := request.head()
	if len(request.Body) <= maxInlineBodyBytes {
		_, err := answer.conn.Write(append(head, request.Body...))
		return err
	}
	if _, err := answer.conn.Write(head); err != nil {
		return err
	}
	answer.writeResult = make(chan error, 1)
	go func() {
		_, err := answer.conn.Write(request.Body)
		answer.writeResult <- err
	}()
	return nil
}

// isUsable reports whether an idle connection is still open and the server has sent
// nothing since the last answer. It peeks at the socket without blocking.
func isUsable(c net.Conn) bool {
	syscallConn, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	var peeked [1]byte
	err = rawConn.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && usable
}

// parseIdleTimeout returns the timeout in a Keep-Alive field less idleMargin, or
// defaultIdleTimeout if there is none.
func parseIdleTimeout(keepAlive string) time.Duration {
	for part := range strings.SplitSeq(keepAlive, ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdleTimeout
}

// discardStaleAnswer reads and discards the body of an answer to an earlier request.
func discardStaleAnswer(header *fasthttp.ResponseHeader, reader *bufio.Reader) error {
	length := header.ContentLength()
	if length < 0 || length > maxStaleBodyBytes {
		return errors.New("answer to another request without a usable length")
	}
	_, err := io.CopyN(io.Discard, reader, int64(length))
	return err
}
