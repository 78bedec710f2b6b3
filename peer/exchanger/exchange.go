// Package exchanger is an HTTP client for one server, used by peer packages that read
// each answer into memory at once. It never sends a request twice.
package exchanger

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
)

var faults = errorx.NewNamespace("exchanger")

// ErrNotSent means that no byte of the request was sent. Only a failure to get a
// connection proves it.
var ErrNotSent = faults.NewType("notSent").New("request was not sent")

const (
	// maxConnections bounds the connections to one server.
	maxConnections = 16
	// minBytesPerSecond is the rate at which large answers must arrive: a tenth of the
	// slowest links.
	minBytesPerSecond = 100_000
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

// Client holds the connections to one server. It is safe for concurrent use.
type Client struct{ http *fasthttp.HostClient }

// New returns a client for the server at an address. Connections are opened within
// dialTimeout and used for at most maxConnAge, 0 for no limit.
func New(address string, dialTimeout, maxConnAge time.Duration) *Client {
	return newClient(address, maxConnAge, func() (net.Conn, error) { return fasthttp.DialTimeout(address, dialTimeout) })
}

func newClient(address string, maxConnAge time.Duration, dial func() (net.Conn, error)) *Client {
	return &Client{http: &fasthttp.HostClient{
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
			return &progressConn{Conn: conn}, nil
		},
	}}
}

// progressConn is a connection whose read deadline moves by the time that the bytes which
// arrive take at minBytesPerSecond. It is used by one goroutine at a time.
type progressConn struct {
	net.Conn
	readDeadline time.Time
}

// SetDeadline implements net.Conn.
func (c *progressConn) SetDeadline(t time.Time) error {
	c.readDeadline = t
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *progressConn) SetReadDeadline(t time.Time) error {
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *progressConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.readDeadline.IsZero() {
		return n, err
	}
	c.readDeadline = c.readDeadline.Add(time.Duration(n) * time.Second / minBytesPerSecond)
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
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		if isNotSent(err) {
			err = fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, fmt.Errorf("%s %s: %w", r.Method, r.Path, err)
	}
	answer := &Answer{Status: response.StatusCode(), Body: append([]byte(nil), response.Body()...)}
	response.Header.CopyTo(&answer.header)
	return answer, nil
}

// isNotSent reports whether an error proves that nothing was sent.
func isNotSent(err error) bool {
	var opError *net.OpError
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) || (errors.As(err, &opError) && opError.Op == "dial")
}
