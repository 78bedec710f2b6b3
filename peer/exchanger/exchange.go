// Package exchanger makes HTTP exchanges with one server, for the peers whose answers
// are read whole. Nothing is sent twice.
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

// ErrNotSent means that nothing of the request has left. Only a failed dial proves it.
var ErrNotSent = faults.NewType("notSent").New("request was not sent")

// maxConnections bounds the connections to one server.
const maxConnections = 16

// Field is one header field.
type Field struct{ Name, Value string }

// Request is what is sent.
type Request struct {
	Method, Path string
	Fields       []Field
	// JSON is the body, nil for none.
	JSON []byte
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Body   []byte
	header fasthttp.ResponseHeader
}

// Field returns the value of a header field, "" if there is none.
func (a *Answer) Field(name string) string { return string(a.header.Peek(name)) }

// Client holds the connections to one server. It is safe for concurrent use.
type Client struct{ http *fasthttp.HostClient }

// New returns a client for the server at an address. Connections are set up within
// dialLimit and used for at most maxAge, 0 for ever.
func New(address string, dialLimit, maxAge time.Duration) *Client {
	return &Client{http: &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  maxConnections,
		MaxConnDuration:           maxAge,
		MaxIdemponentCallAttempts: 1,
		RetryIf:                   func(*fasthttp.Request) bool { return false },
		Dial: func(addr string) (net.Conn, error) {
			return fasthttp.DialTimeout(addr, dialLimit)
		},
	}}
}

// Do sends a request and waits for its answer until the deadline.
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
		if unsent(err) {
			err = fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, fmt.Errorf("%s %s: %w", r.Method, r.Path, err)
	}
	answer := &Answer{Status: response.StatusCode(), Body: append([]byte(nil), response.Body()...)}
	response.Header.CopyTo(&answer.header)
	return answer, nil
}

func unsent(err error) bool {
	var op *net.OpError
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) || (errors.As(err, &op) && op.Op == "dial")
}
