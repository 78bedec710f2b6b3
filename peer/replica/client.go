// Package replica speaks HTTP/1.1 to a backend server without a sidecar between.
//
// A connection carries one exchange at a time and is kept for another only if
// every byte of the last answer belonged to it. Answers are matched to requests
// by an id that the server echoes, so that a late answer meets no other request.
package replica

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
)

const (
	// readBuffer holds the head of an answer, which is below 1 KB on both sites, or
	// some events.
	readBuffer = 8 << 10
	// headSize holds the head of a request and a small body without growing.
	headSize = 2 << 10
	// inlineBody is the largest body that is written before the answer is read.
	// It fits the smallest window of a connection, so that the write cannot wait
	// for a server that answers early.
	inlineBody = 4 << 10
	// defaultIdle is how long a connection is kept for a server that names no time.
	defaultIdle = 4 * time.Second
	// idleMargin is left of the server's own idle time, for a request on its way.
	idleMargin = 500 * time.Millisecond
	// maxIdle bounds the kept connections to one server.
	maxIdle = 32
	// maxStale bounds the answers to earlier requests that one exchange skips.
	maxStale = 2
	// maxStaleBody bounds the body of an answer that is skipped.
	maxStaleBody = 64 << 10
)

var faults = errorx.NewNamespace("replica")

// Errors of an exchange.
var (
	// ErrNotSent means that no byte of the request has left.
	ErrNotSent = faults.NewType("notSent").New("request was not sent")
	// ErrExchangeFailed means that the exchange broke off after the request was sent.
	ErrExchangeFailed = faults.NewType("broken").New("exchange broke off")
)

// Request is one exchange.
type Request struct {
	// Address is the server's IP address and port.
	Address string
	// Method and Path are sent as they are.
	Method, Path string
	// Fields is the rest of the head; the client adds the length of the body.
	Fields []Field
	Body   []byte
	// ID is echoed by the server in the field that the client was made for.
	ID string
	// ConnectTimeout bounds the connecting.
	ConnectTimeout time.Duration
	// Deadline ends the exchange.
	Deadline time.Time
	// MaxIdleTime is how long a kept connection may have been idle to be used. A
	// request that may not be repeated gets a shorter one, since the server may
	// have closed the connection.
	MaxIdleTime time.Duration
}

// Field is one header field. Neither part contains a line break.
type Field struct {
	Name, Value string
}

// head returns the head of the message.
func (r *Request) head() []byte {
	head := make([]byte, 0, headSize)
	head = fmt.Appendf(head, "%s %s HTTP/1.1\r\n", r.Method, r.Path)
	for _, field := range r.Fields {
		head = append(append(append(append(head, field.Name...), ": "...), field.Value...), "\r\n"...)
	}
	if len(r.Body) > 0 || r.Method != fasthttp.MethodGet && r.Method != fasthttp.MethodHead {
		head = fmt.Appendf(head, "Content-Length: %d\r\n", len(r.Body))
	}
	return append(head, "\r\n"...)
}

// Client keeps connections to servers. It is safe for concurrent use.
type Client struct {
	// idField is the header field in which ids are echoed.
	idField string
	clock   timekeeper.Clock
	dial    func(ctx context.Context, address string) (net.Conn, error)

	// mu guards idle.
	mu sync.Mutex
	// idle holds the kept connections, the one used last at the end.
	idle map[string][]*conn
}

// conn is one connection to a server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleSince and idleLimit are set while the connection is kept.
	idleSince time.Time
	idleLimit time.Duration
}

// reset closes the connection so that bytes which are held up on the way are lost
// and do not reach the server after all.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// A connection that has failed already cannot be set; it holds nothing.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// New returns a client for servers that echo ids in the given header field.
func New(idField string, clock timekeeper.Clock) *Client {
	dialer := &net.Dialer{KeepAlive: -1}
	return &Client{
		idField: idField,
		clock:   clock,
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		idle: make(map[string][]*conn),
	}
}

// Do sends a request and reads the head of its answer. The caller must call
// Close on the answer. ErrNotSent is returned only if no byte has left.
func (c *Client) Do(ctx context.Context, request *Request) (*Answer, error) {
	connection, err := c.connect(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	answer := &Answer{client: c, conn: connection, address: request.Address}
	answer.stop = context.AfterFunc(ctx, connection.reset)
	_ = connection.SetDeadline(request.Deadline)
	if err := c.write(answer, request); err != nil {
		answer.Close()
		return nil, fmt.Errorf("%w: write: %w", ErrExchangeFailed, err)
	}
	if err := answer.readHead(c.idField, request.ID); err != nil {
		answer.Close()
		return nil, fmt.Errorf("%w: %w", ErrExchangeFailed, err)
	}
	return answer, nil
}

// connect takes a kept connection or opens one.
func (c *Client) connect(ctx context.Context, request *Request) (*conn, error) {
	for {
		kept := c.take(request.Address, request.MaxIdleTime)
		if kept == nil {
			break
		}
		if quietConn(kept.Conn) {
			return kept, nil
		}
		_ = kept.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, request.ConnectTimeout)
	defer cancel()
	raw, err := c.dial(ctx, request.Address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", request.Address, err)
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// take removes the most recently used connection to a server.
func (c *Client) take(address string, limit time.Duration) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	if c.clock.Now().Sub(last.idleSince) > min(limit, last.idleLimit) {
		return nil
	}
	list[len(list)-1] = nil
	c.idle[address] = list[:len(list)-1]
	return last
}

// keep stores a connection for another exchange.
func (c *Client) keep(address string, connection *conn, limit time.Duration) {
	connection.idleSince, connection.idleLimit = c.clock.Now(), limit
	_ = connection.SetDeadline(time.Time{})
	c.mu.Lock()
	list := append(c.idle[address], connection)
	var surplus []*conn
	for len(list) > 0 && (len(list) > maxIdle || c.clock.Now().Sub(list[0].idleSince) > list[0].idleLimit) {
		surplus = append(surplus, list[0])
		list = list[1:]
	}
	c.idle[address] = list
	c.mu.Unlock()
	for _, old := range surplus {
		_ = old.Close()
	}
}

// CloseExpired closes the connections that have been idle for too long.
func (c *Client) CloseExpired() {
	now := c.clock.Now()
	c.mu.Lock()
	var expired []*conn
	for address, list := range c.idle {
		for len(list) > 0 && now.Sub(list[0].idleSince) > list[0].idleLimit {
			expired = append(expired, list[0])
			list = list[1:]
		}
		if len(list) == 0 {
			delete(c.idle, address)
		} else {
			c.idle[address] = list
		}
	}
	c.mu.Unlock()
	for _, old := range expired {
		_ = old.Close()
	}
}

// write sends the request. A body that may not fit the connection's window is
// written beside the reading of the answer, since a server may answer before it
// has read the body.
func (c *Client) write(answer *Answer, request *Request) error {
	head := request.head()
	if len(request.Body) <= inlineBody {
		_, err := answer.conn.Write(append(head, request.Body...))
		return err
	}
	if _, err := answer.conn.Write(head); err != nil {
		return err
	}
	answer.written = make(chan error, 1)
	go func() {
		_, err := answer.conn.Write(request.Body)
		answer.written <- err
	}()
	return nil
}

// quietConn reports whether a kept connection is open and has sent nothing since
// its last answer.
func quietConn(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var probe [1]byte
	err = rc.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// idleTime returns how long a server keeps an idle connection, less a margin.
func idleTime(keepAlive string) time.Duration {
	for part := range strings.SplitSeq(keepAlive, ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdle
}

// discardStale reads an answer to an earlier request away.
func discardStale(header *fasthttp.ResponseHeader, reader *bufio.Reader) error {
	length := header.ContentLength()
	if length < 0 || length > maxStaleBody {
		return errors.New("answer to another request without a usable length")
	}
	_, err := io.CopyN(io.Discard, reader, int64(length))
	return err
}
