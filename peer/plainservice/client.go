// Package plainservice is an HTTP client for backend servers that are not model
// engines.
//
// Each call has a connection of its own, so that a late answer can never reach
// another request. The errors tell calls that did not run from calls that may have run.
package plainservice

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/wire/verifier"
	"github.com/cyclamenward/cyclamenward/peer/exchanger"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
)

const (
	dialTimeout = 500 * time.Millisecond
	// maxConnections is above the number of calls that a sidecar admits at once.
	maxConnections = 1 << 18
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 4 << 20
	// HeaderRequestID carries the request ID, which the backend server may echo.
	HeaderRequestID = "X-Request-Id"
)

var faults = errorx.NewNamespace("plainservice")

// Errors of a call.
var (
	// ErrNotSent means that no connection was made: the call did not run.
	ErrNotSent = faults.NewType("notSent").New("backend server was not reached")
	// ErrUnknownOutcome means that the call may or may not have run.
	ErrUnknownOutcome = faults.NewType("unknown").New("no whole answer")
)

// Header is one header field.
type Header struct {
	Name  string
	Value string
}

// Call is one request.
type Call struct {
	RequestID string
	Method    string
	Path      string
	Headers   []Header
	Body      []byte
	// Timeout bounds the exchange from connecting to the end of the answer.
	Timeout time.Duration
}

// Answer is a complete answer. The only header field it keeps is Content-Type.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Client sends calls to one backend server.
type Client struct {
	address string
	http    *fasthttp.Client
	limits  exchanger.Limits
	dial    func(address string) (net.Conn, error)
}

// New returns a client of the server at the given address, whose answers share the memory with others.
func New(address string, memory exchanger.Memory) *Client {
	c := &Client{address: address, limits: exchanger.Limits{MaxAnswerBytes: maxAnswerBytes, Memory: memory}}
	c.dial = func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, dialTimeout) }
	c.http = &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		MaxConnsPerHost:           maxConnections,
		// Paths are sent as they are, with the query that follows.
		DisablePathNormalizing: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
		Dial: func(addr string) (net.Conn, error) {
			conn, err := c.dial(addr)
			if err != nil {
				return nil, err
			}
			return verifier.NewConn(conn), nil
		},
	}
	return c
}

// Do sends the call once and returns the complete answer.
func (c *Client) Do(call *Call) (*Answer, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	uri := request.URI()
	uri.SetScheme("http")
	uri.SetHost(c.address)
	uri.SetPath(call.Path)
	request.Header.SetMethod(call.Method)
	for _, header := range call.Headers {
		request.Header.Set(header.Name, header.Value)
	}
	request.Header.Set(HeaderRequestID, call.RequestID)
	request.SetConnectionClose()
	request.SetBodyRaw(call.Body)
	response.StreamBody = true
	deadline := time.Now().Add(call.Timeout)
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return nil, fmt.Errorf("%s %s: %w", call.Method, call.Path, classifyError(err))
	}
	body, err := exchanger.ReadBody(response, c.limits, deadline)
	if err := errors.Join(err, response.CloseBodyStream()); err != nil {
		return nil, fmt.Errorf("%s %s: read body: %w: %w", call.Method, call.Path, ErrUnknownOutcome, err)
	}
	if echoed := string(response.Header.Peek(HeaderRequestID)); echoed != "" && echoed != call.RequestID {
		return nil, fmt.Errorf("answer of another request: %w", ErrUnknownOutcome)
	}
	answer := &Answer{Status: response.StatusCode(), Body: body}
	if contentType := response.Header.ContentType(); len(contentType) > 0 {
		answer.Headers = append(answer.Headers, Header{"Content-Type", string(contentType)})
	}
	return answer, nil
}

// classifyError adds ErrNotSent to errors that prove that nothing was sent, and
// ErrUnknownOutcome to all others.
func classifyError(err error) error {
	var opError *net.OpError
	if errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) || (errors.As(err, &opError) && opError.Op == "dial") {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
}
