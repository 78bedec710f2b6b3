// Package engine is the client of the model engines, whose protocol is HTTP with JSON
// bodies and server-sent events.
//
// Each exchange has a connection of its own, so that a late answer can never
// reach another request. An exchange fails if its connection makes no progress
// within a timeout.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/wire/verifier"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
)

const (
	dialTimeout = 500 * time.Millisecond
	// progressTimeout is how long an engine may send nothing during an exchange.
	// Generate may allow more until the first token.
	progressTimeout = 5 * time.Second
	// maxAnswerBytes bounds an answer that is read into memory at once.
	maxAnswerBytes = 16 << 20
	// maxLineBytes bounds a line of an event stream; an event has the text of one token.
	maxLineBytes = 4 << 10
	// HeaderRequestID carries the request ID, which the engine echoes.
	HeaderRequestID = "X-Request-Id"
)

// Paths of an engine.
const (
	PathCompletions = "/v1/completions"
	PathState       = "/v1/state"
	PathCacheEvents = "/v1/cacheEvents"
	PathOrders      = "/v1/orders"
)

var faults = errorx.NewNamespace("engine")

// Errors of an exchange.
var (
	// ErrNotSent means that no connection was made: the engine did nothing.
	ErrNotSent = faults.NewType("notSent").New("engine was not reached")
	// ErrRefused means that the engine refused before doing anything.
	ErrRefused = faults.NewType("refused").New("engine refused")
	// ErrExchangeFailed means that the exchange failed after the engine was reached.
	ErrExchangeFailed = faults.NewType("broken").New("engine exchange broke off")
	// ErrAnswerMismatch means that the answer does not match the request, for example
	// because its request ID differs.
	ErrAnswerMismatch = faults.NewType("crossed").New("answer of another request")
)

// GenerateRequest is a request to generate tokens for a prompt.
type GenerateRequest struct {
	RequestID string `json:"requestID"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	// WeightsVersion must be the one that the engine serves, or it refuses.
	WeightsVersion string `json:"weightsVersion"`
	// Incarnation must be the engine's, or it refuses; empty matches any.
	Incarnation string `json:"incarnation,omitempty"`
	// CacheSalt is the hexadecimal seed of the block hashes. It differs between scopes,
	// so that they share no cached blocks.
	CacheSalt string `json:"cacheSalt"`
	Prompt    []byte `json:"prompt"`
	MaxTokens int    `json:"maxTokens"`
	// FirstTokenIndex is the index of the first token wanted.
	FirstTokenIndex int `json:"from,omitempty"`
	// Generated holds the tokens before FirstTokenIndex.
	Generated []string `json:"generated,omitempty"`
	Priority  int      `json:"priority,omitempty"`
}

// Event is one message of the answer stream.
type Event struct {
	// Type is "admitted", "token" or "end".
	Type      string `json:"type"`
	RequestID string `json:"requestID"`
	// Index is the index of the token, in the end event the number of tokens.
	Index int    `json:"index,omitempty"`
	Text  string `json:"text,omitempty"`
	// CachedBlocks, Incarnation and WeightsVersion are set in the admitted event.
	CachedBlocks   int    `json:"cachedBlocks,omitempty"`
	Incarnation    string `json:"incarnation,omitempty"`
	WeightsVersion string `json:"weightsVersion,omitempty"`
}

// State is what an engine reports about itself. Running, Queued and BacklogTokens may
// be out of date.
type State struct {
	Incarnation    string `json:"incarnation"`
	Model          string `json:"model"`
	WeightsVersion string `json:"weightsVersion"`
	Loading        bool   `json:"loading,omitempty"`
	Running        int    `json:"running"`
	Queued         int    `json:"queued"`
	BacklogTokens  int    `json:"backlogTokens"`
}

// CacheEvent reports that the engine's cache stored a block or, if Removed is set,
// removed it.
type CacheEvent struct {
	// Sequence numbers the events of one incarnation from 1 without gaps.
	Sequence uint64 `json:"sequence"`
	Removed  bool   `json:"removed,omitempty"`
	// Block is the hexadecimal block hash.
	Block string `json:"block"`
}

// CacheEvents is a batch of events or, if Complete is set, the list of all blocks.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events,omitempty"`
	// Complete is set if Blocks lists the complete cache as of Sequence.
	Complete bool     `json:"whole,omitempty"`
	Blocks   []string `json:"blocks,omitempty"`
	Sequence uint64   `json:"sequence"`
}

// LoadOrder tells an engine to load and serve a weights version.
type LoadOrder struct {
	WeightsVersion string `json:"weightsVersion"`
	// FencingToken is the fencing token of the order; engines that check it refuse one
	// below the highest that they have seen.
	FencingToken uint64 `json:"fence"`
}

// Client sends requests to one engine.
type Client struct {
	address string
	// timeout is progressTimeout except in tests.
	timeout time.Duration
}

// New returns a client of the engine at the given address.
func New(address string) *Client { return &Client{address: address, timeout: progressTimeout} }

// exchange is one request with its answer on a connection of its own.
type exchange struct {
	connection net.Conn
	// ioTimeout bounds each read and each write.
	ioTimeout time.Duration
	response  fasthttp.Response
}

// Read implements io.Reader for the HTTP library. It applies ioTimeout.
func (e *exchange) Read(p []byte) (int, error) {
	_ = e.connection.SetReadDeadline(time.Now().Add(e.ioTimeout))
	return e.connection.Read(p)
}

// Write implements io.Writer for the HTTP library. It applies ioTimeout.
func (e *exchange) Write(p []byte) (int, error) {
	_ = e.connection.SetWriteDeadline(time.Now().Add(e.ioTimeout))
	return e.connection.Write(p)
}

// body returns a reader of the answer's body.
func (e *exchange) body() io.Reader {
	if stream := e.response.BodyStream(); stream != nil {
		return stream
	}
	return bytes.NewReader(e.response.Body())
}

func (e *exchange) close() {
	_ = e.response.CloseBodyStream()
	_ = e.connection.Close()
}

// Generate sends a request and calls handleEvent for each event in the order sent.
// It returns nil after the end event. An error from handleEvent ends the exchange and is
// returned. Until the first token the engine may send nothing for the longer of
// firstTokenTimeout and progressTimeout, from then on for progressTimeout. Canceling
// ctx closes the connection, which tells the engine to stop.
func (c *Client) Generate(ctx context.Context, request *GenerateRequest, firstTokenTimeout time.Duration, handleEvent func(*Event) error) error {
	x, err := c.post(PathCompletions, request.RequestID, request, max(firstTokenTimeout, c.timeout))
	if err != nil {
		return fmt.Errorf("generate: %w", err)
	}
	defer x.close()
	stop := context.AfterFunc(ctx, func() { _ = x.connection.Close() })
	defer stop()
	reader := bufio.NewReaderSize(x.body(), maxLineBytes)
	for {
		event, err := readEvent(reader)
		if ctx.Err() != nil {
			return fmt.Errorf("generate: %w", ctx.Err())
		}
		if err != nil {
			return fmt.Errorf("generate: %w: %w", ErrExchangeFailed, err)
		}
		if event.RequestID != request.RequestID {
			return fmt.Errorf("generate: %w", ErrAnswerMismatch)
		}
		if event.Type == "token" {
			x.ioTimeout = c.timeout
		}
		if err := handleEvent(event); err != nil {
			return err
		}
		if event.Type == "end" {
			return nil
		}
	}
}

// State reads the engine's report about itself.
func (c *Client) State() (*State, error) {
	var state State
	if err := c.callJSON(PathState, struct{}{}, &state); err != nil {
		return nil, fmt.Errorf("read state: %w", err)
	}
	return &state, nil
}

// ReadCacheEvents reads the cache events after the given sequence number of an
// incarnation. If the engine no longer holds them, or complete is set, the answer lists
// the complete cache instead.
func (c *Client) ReadCacheEvents(incarnation string, after uint64, complete bool) (*CacheEvents, error) {
	query := struct {
		Incarnation string `json:"incarnation"`
		After       uint64 `json:"after"`
		Complete    bool   `json:"whole"`
	}{incarnation, after, complete}
	var events CacheEvents
	if err := c.callJSON(PathCacheEvents, query, &events); err != nil {
		return nil, fmt.Errorf("read cache events: %w", err)
	}
	return &events, nil
}

// SendOrder sends a load order. ErrRefused means that the engine did not accept it.
func (c *Client) SendOrder(order LoadOrder) error {
	var ignored struct{}
	if err := c.callJSON(PathOrders, order, &ignored); err != nil {
		return fmt.Errorf("send order: %w", err)
	}
	return nil
}

// callJSON posts a request to path and decodes the JSON answer.
func (c *Client) callJSON(path string, request, answer any) error {
	x, err := c.post(path, "", request, c.timeout)
	if err != nil {
		return err
	}
	defer x.close()
	body, err := io.ReadAll(io.LimitReader(x.body(), maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrExchangeFailed, err)
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return fmt.Errorf("decode answer: %w: %w", ErrExchangeFailed, err)
	}
	return nil
}

// post sends one request on a connection of its own. It returns the exchange if the
// head of the answer reports success; the body is still to be read.
func (c *Client) post(path, requestID string, message any, ioTimeout time.Duration) (*exchange, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	connection, err := verifier.Dial(c.address, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	x := &exchange{connection: connection, ioTimeout: ioTimeout}
	if err := x.send(c.address, path, requestID, body); err != nil {
		x.close()
		return nil, fmt.Errorf("%w: %w", ErrExchangeFailed, err)
	}
	if err := checkHead(&x.response, requestID); err != nil {
		x.close()
		return nil, err
	}
	return x, nil
}

// send writes the request and reads the head of the answer.
func (e *exchange) send(address, path, requestID string, body []byte) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + address + path)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set(HeaderRequestID, requestID)
	request.SetConnectionClose()
	request.SetBodyRaw(body)
	writer := bufio.NewWriter(e)
	if err := request.Write(writer); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	if err := writer.Flush(); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	e.response.StreamBody = true
	if err := e.response.Read(bufio.NewReader(e)); err != nil {
		return fmt.Errorf("read head: %w", err)
	}
	return nil
}

// checkHead returns an error unless the head carries the request ID and status 200.
func checkHead(response *fasthttp.Response, requestID string) error {
	if string(response.Header.Peek(HeaderRequestID)) != requestID {
		return ErrAnswerMismatch
	}
	switch code := response.StatusCode(); {
	case code == fasthttp.StatusOK:
		return nil
	case code == fasthttp.StatusConflict || code == fasthttp.StatusServiceUnavailable:
		return fmt.Errorf("status %d: %w", code, ErrRefused)
	default:
		return fmt.Errorf("status %d: %w", code, ErrExchangeFailed)
	}
}

// readEvent reads one server-sent event with a JSON body.
func readEvent(reader *bufio.Reader) (*Event, error) {
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return nil, fmt.Errorf("read line: %w", err)
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok {
			continue
		}
		var event Event
		if err := json.Unmarshal(data, &event); err != nil {
			return nil, fmt.Errorf("decode event: %w", err)
		}
		return &event, nil
	}
}
