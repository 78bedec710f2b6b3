package operator

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/wire/verifier"
	"github.com/cyclamenward/cyclamenward/registrar"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
)

const (
	dialTimeout = time.Second
	// callTimeout bounds a call; an entry answers a request to apply a document within it.
	callTimeout = 10 * time.Second
	// maxAnswerBytes bounds an answer, such as the largest document or the status of all daemons.
	maxAnswerBytes = 16 << 20
)

var faults = errorx.NewNamespace("operator")

// ErrRefused means that the entry refused the request.
var ErrRefused = faults.NewType("refused").New("entry refused")

// Client sends requests to the operator address of an entry.
type Client struct {
	address, token string
	http           *fasthttp.Client
}

// New returns a client that authenticates with the operators' token.
func New(address, token string) *Client {
	return &Client{address: address, token: token, http: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxAnswerBytes,
		Dial:                      func(addr string) (net.Conn, error) { return verifier.Dial(addr, dialTimeout) },
	}}
}

// Apply submits a document to the entry as the next revision of a service. The result is
// Conflict unless expectedRevision is the current revision, 0 for a new service. It is
// Unknown also if no answer arrives. Apply may then be called again with the same
// operation ID.
func (c *Client) Apply(service string, document []byte, expectedRevision uint64, operationID string) (*ApplyResponse, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPut)
	request.Header.Set(fasthttp.HeaderIfMatch, strconv.Quote(strconv.FormatUint(expectedRevision, 10)))
	request.Header.Set(HeaderOperationID, operationID)
	request.SetBody(document)
	status, body, _, err := c.do(request, PathServices+service)
	if err != nil {
		return &ApplyResponse{Result: Unknown, OperationID: operationID}, nil
	}
	if status == fasthttp.StatusOK || status == fasthttp.StatusPreconditionFailed || status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusGatewayTimeout {
		var response ApplyResponse
		if err := json.Unmarshal(body, &response); err != nil {
			return nil, fmt.Errorf("decode answer: %w", err)
		}
		return &response, nil
	}
	return nil, refusalError(status, body)
}

// Validate has the entry check a document without accepting it.
func (c *Client) Validate(document []byte) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBody(document)
	status, body, _, err := c.do(request, PathValidate)
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return refusalError(status, body)
	}
	return nil
}

// Get returns the text and the revision of a service; revision 0 means the current one.
func (c *Client) Get(service string, revision uint64) (string, uint64, error) {
	path := PathServices + service
	if revision > 0 {
		path += "?revision=" + strconv.FormatUint(revision, 10)
	}
	body, etag, err := c.get(path)
	if err != nil {
		return "", 0, err
	}
	gotRevision, err := strconv.ParseUint(strings.Trim(etag, `"`), 10, 64)
	if err != nil {
		return "", 0, fmt.Errorf("parse revision: %w", err)
	}
	return string(body), gotRevision, nil
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

// Status returns the revisions that each daemon uses.
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

// get returns the body and the ETag of a path.
func (c *Client) get(path string) (body []byte, etag string, err error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	status, body, etag, err := c.do(request, path)
	if err != nil {
		return nil, "", err
	}
	if status != fasthttp.StatusOK {
		return nil, "", refusalError(status, body)
	}
	return body, etag, nil
}

// do completes a request with its URL and the operators' token and sends it.
func (c *Client) do(request *fasthttp.Request, path string) (status int, body []byte, etag string, err error) {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.address + path)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	if err := c.http.DoTimeout(request, response, callTimeout); err != nil {
		return 0, nil, "", fmt.Errorf("call %s: %w", path, err)
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), string(response.Header.Peek(fasthttp.HeaderETag)), nil
}

// refusalError returns the error that the body of a refusal describes.
func refusalError(status int, body []byte) error {
	var failure Failure
	if err := json.Unmarshal(body, &failure); err != nil {
		return fmt.Errorf("status %d: %w", status, ErrRefused)
	}
	if len(failure.Faults) > 0 {
		return fmt.Errorf("%s: %w", failure.Error, failure.Faults)
	}
	return fmt.Errorf("%s: %w", failure.Error, ErrRefused)
}
