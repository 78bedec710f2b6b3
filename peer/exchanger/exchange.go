// Package exchanger is an HTTP client for one server, used by peer packages that read
// each answer into memory at once. It never sends a request twice.
package exchanger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/wire/verifier"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
)

var faults = errorx.NewNamespace("exchanger")

// Errors of an exchange.
var (
	// ErrNotSent means that no byte of the request was sent. Only a failure to get a
	// connection proves it.
	ErrNotSent = faults.NewType("notSent").New("request was not sent")
	// ErrTooLarge means that the body of the answer exceeds Limits.MaxAnswerBytes.
	ErrTooLarge = faults.NewType("tooLarge").New("answer is too large")
	// ErrNoMemory means that there was no memory for the body of the answer.
	ErrNoMemory = faults.NewType("noMemory").New("no memory for the answer")
)

const (
	// maxConnections bounds the connections to one server.
	maxConnections = 16
	// minBytesPerSecond is the rate at which large answers must arrive: a tenth of the
	// slowest links.
	minBytesPerSecond = 100_000
	// minBodyBytes is the buffer for a body of unknown length.
	minBodyBytes = 4 << 10
	// framingFactor is how many times as long as its body an answer may be, for the head and the
	// sizes of chunks.
	framingFactor = 2
	// freeBytes of each body need no reservation; ordinary ones stay within.
	freeBytes = 64 << 10
)

// Field is one header field.
type Field struct{ Name, Value string }

// Request is one HTTP request.
type Request struct {
	Method, Path string
	Fields       []Field
	// JSON is the body, nil for none.
	JSON []byte
}

// Answer is a complete answer.
type Answer struct {
	Status int
	Body   []byte
	header fasthttp.ResponseHeader
}

// Field returns the value of a header field, "" if there is none.
func (a *Answer) Field(name string) string { return string(a.header.Peek(name)) }

// Memory is what the bodies of answers take while they are read. Small ones take none.
type Memory struct {
	// Reserve reserves bytes for the answer to a request of a priority, lower values first. It
	// waits until the deadline or until ctx ends, and reports whether there was room. If it is nil, there
	// always is.
	Reserve func(ctx context.Context, bytes, priority int, deadline time.Time) bool
	// Release gives bytes back.
	Release func(bytes int)
}

// Limits bound what answers take of this process.
type Limits struct {
	// MaxAnswerBytes is the largest body of an answer.
	MaxAnswerBytes int
	Memory         Memory
}

// Client holds the connections to one server. It is safe for concurrent use.
type Client struct {
	http   *fasthttp.HostClient
	limits Limits
}

// New returns a client for the server at an address. Connections are opened within
// dialTimeout and used for at most maxConnAge, 0 for no limit.
func New(address string, dialTimeout, maxConnAge time.Duration, limits Limits) *Client {
	return newClient(address, maxConnAge, limits, func() (net.Conn, error) { return fasthttp.DialTimeout(address, dialTimeout) })
}

func newClient(address string, maxConnAge time.Duration, limits Limits, dial func() (net.Conn, error)) *Client {
	return &Client{limits: limits, http: &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  maxConnections,
		MaxConnDuration:           maxConnAge,
		MaxIdemponentCallAttempts: 1,
		RetryIf:                   func(*fasthttp.Request) bool { return false },
		Dial: func(string) (net.Conn, error) {
			conn, err := dial()
			if err != nil {
				return nil, err
			}
			return verifier.NewConn(&progressConn{Conn: conn, maxProgress: limits.MaxAnswerBytes}), nil
		},
	}}
}

// progressConn is a connection whose read deadline moves by the time that the bytes which
// arrive take at minBytesPerSecond. It is used by one goroutine at a time.
type progressConn struct {
	net.Conn
	readDeadline time.Time
	// progress is the number of bytes that were read since the deadline was set. The deadline moves
	// by maxProgress of them at most, and reads fail after framingFactor times as many.
	progress, maxProgress int
}

// SetDeadline implements net.Conn.
func (c *progressConn) SetDeadline(t time.Time) error {
	c.readDeadline, c.progress = t, 0
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *progressConn) SetReadDeadline(t time.Time) error {
	c.readDeadline, c.progress = t, 0
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *progressConn) Read(p []byte) (int, error) {
	if c.progress > framingFactor*c.maxProgress {
		return 0, ErrTooLarge
	}
	n, err := c.Conn.Read(p)
	moved := max(0, min(n, c.maxProgress-c.progress))
	c.progress += n
	if moved == 0 || c.readDeadline.IsZero() {
		return n, err
	}
	c.readDeadline = c.readDeadline.Add(time.Duration(moved) * time.Second / minBytesPerSecond)
	return n, errors.Join(err, c.Conn.SetReadDeadline(c.readDeadline))
}

// Do sends a request once and waits for its answer until the deadline. An answer that is
// still arriving then is read on, as long as it comes at minBytesPerSecond or more.
func (c *Client) Do(deadline time.Time, r Request) (*Answer, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.http.Addr + r.Path)
	request.Header.SetMethod(r.Method)
	for _, field := range r.Fields {
		request.Header.Set(field.Name, field.Value)
	}
	if r.JSON != nil {
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(r.JSON)
	}
	response.StreamBody = true
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		if isNotSent(err) {
			err = fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, fmt.Errorf("%s %s: %w", r.Method, r.Path, err)
	}
	body, err := ReadBody(response, c.limits, deadline)
	if err != nil {
		response.SetConnectionClose()
	}
	if err := errors.Join(err, response.CloseBodyStream()); err != nil {
		return nil, fmt.Errorf("%s %s: read body: %w", r.Method, r.Path, err)
	}
	answer := &Answer{Status: response.StatusCode(), Body: body}
	response.Header.CopyTo(&answer.header)
	return answer, nil
}

// ReadBody reads the whole body of an answer whose StreamBody is set, within the limits. The deadline
// is that for memory; the connection has one for reads.
func ReadBody(response *fasthttp.Response, limits Limits, deadline time.Time) ([]byte, error) {
	size := minBodyBytes
	if length := response.Header.ContentLength(); length > limits.MaxAnswerBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, length)
	} else if length >= 0 {
		// One byte more than the body, so that its end is found without growing.
		size = length + 1
	}
	reserved := 0
	defer func() {
		if reserved > 0 {
			limits.Memory.Release(reserved)
		}
	}()
	reserve := func(size int) error {
		added := size - freeBytes - reserved
		if limits.Memory.Reserve == nil || added <= 0 {
			return nil
		}
		if !limits.Memory.Reserve(context.Background(), added, 0, deadline) {
			return fmt.Errorf("%w: %d bytes", ErrNoMemory, size)
		}
		reserved += added
		return nil
	}
	if err := reserve(size); err != nil {
		return nil, err
	}
	body, stream := make([]byte, 0, size), response.BodyStream()
	if stream == nil {
		return append(body, response.Body()...), nil
	}
	for {
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limits.MaxAnswerBytes:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
		if len(body) == cap(body) {
			if err := reserve(2 * cap(body)); err != nil {
				return nil, err
			}
			body = slices.Grow(body, cap(body))
		}
	}
}

// isNotSent reports whether an error proves that nothing was sent.
func isNotSent(err error) bool {
	var opError *net.OpError
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) || (errors.As(err, &opError) && opError.Op == "dial")
}
