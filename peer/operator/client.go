package operator

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cyclamenward/cyclamenward/registrar"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
)

const (
	dialLimit = time.Second
	// callLimit bounds a call; an entry answers an application within it.
	callLimit = 10 * time.Second
)

var faults = errorx.NewNamespace("operator")

// ErrRefused means that the entry did not take the request.
var ErrRefused = faults.NewType("refused").New("entry refused")

// Client talks to the operator address of an entry.
type Client struct {
	address, token string
	http           *fasthttp.Client
}

// New returns a client that presents the operators' token.
func New(address, token string) *Client {
	return &Client{address: address, token: token, http: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		Dial:                      func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, dialLimit) },
	}}
}

// Apply sends a document. The result is Unknown if no answer arrives; the same
// operation id may then be applied again.
func (c *Client) Apply(service string, text []byte, match uint64, operation string) (*ApplyResponse, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPut)
	request.Header.Set(fasthttp.HeaderIfMatch, strconv.Quote(strconv.FormatUint(match, 10)))
	request.Header.Set(HeaderOperationID, operation)
	request.SetBody(text)
	status, body, _, err := c.do(request, PathServices+service)
	if err != nil {
		return &ApplyResponse{Result: Unknown, OperationID: operation}, nil
	}
	if status == fasthttp.StatusOK || status == fasthttp.StatusPreconditionFailed || status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusGatewayTimeout {
		var applied ApplyResponse
		if err := json.Unmarshal(body, &applied); err != nil {
			return nil, fmt.Errorf("decode answer: %w", err)
		}
		return &applied, nil
	}
	return nil, refusal(status, body)
}

// Validate asks the entry to check a document.
func (c *Client) Validate(text []byte) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBody(text)
	status, body, _, err := c.do(request, PathValidate)
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return refusal(status, body)
	}
	return nil
}

// Get returns the text and the revision of a service; revision 0 asks for the
// current one.
func (c *Client) Get(service string, revision uint64) (string, uint64, error) {
	path := PathServices + service
	if revision > 0 {
		path += "?revision=" + strconv.FormatUint(revision, 10)
	}
	body, tag, err := c.get(path)
	if err != nil {
		return "", 0, err
	}
	found, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return "", 0, fmt.Errorf("parse revision: %w", err)
	}
	return string(body), found, nil
}

// History returns the accepted revisions of a service, newest first.
func (c *Client) History(service string) ([]registrar.Summary, error) {
	body, _, err := c.get(PathServices + service + SuffixHistory)
	if err != nil {
		return nil, err
	}
	var history []registrar.Summary
	if err := json.Unmarshal(body, &history); err != nil {
		return nil, fmt.Errorf("decode history: %w", err)
	}
	return history, nil
}

// Status returns the revisions that every daemon has in force.
func (c *Client) Status() (*Status, error) {
	body, _, err := c.get(PathStatus)
	if err != nil {
		return nil, err
	}
	var status Status
	if err := json.Unmarshal(body, &status); err != nil {
		return nil, fmt.Errorf("decode status: %w", err)
	}
	return &status, nil
}

func (c *Client) get(path string) (body []byte, tag string, err error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	status, body, tag, err := c.do(request, path)
	if err != nil {
		return nil, "", err
	}
	if status != fasthttp.StatusOK {
		return nil, "", refusal(status, body)
	}
	return body, tag, nil
}

func (c *Client) do(request *fasthttp.Request, path string) (status int, body []byte, tag string, err error) {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.address + path)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	if err := c.http.DoTimeout(request, response, callLimit); err != nil {
		return 0, nil, "", fmt.Errorf("call %s: %w", path, err)
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), string(response.Header.Peek(fasthttp.HeaderETag)), nil
}

func refusal(status int, body []byte) error {
	var failure Failure
	if err := json.Unmarshal(body, &failure); err != nil {
		return fmt.Errorf("status %d: %w", status, ErrRefused)
	}
	if len(failure.Faults) > 0 {
		return fmt.Errorf("%s: %w", failure.Error, failure.Faults)
	}
	return fmt.Errorf("%s: %w", failure.Error, ErrRefused)
}
