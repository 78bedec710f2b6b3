// Package engine speaks the protocol of the model engines: HTTP with JSON
// bodies and server-sent events.
//
// Each exchange has a connection of its own, so that a late answer can never
// reach another request. A connection that makes no progress within a bound is
// given up.
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

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
)

const (
	dialLimit = 500 * time.Millisecond
	// progressLimit is how long an engine may send nothing while it works.
	progressLimit = 5 * time.Second
	// maxAnswerBytes bounds an answer that is read whole.
	maxAnswerBytes = 16 << 20
	// HeaderRequestID carries the request id both ways.
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
	// ErrExchangeFailed means that the exchange ended early.
	ErrExchangeFailed = faults.NewType("broken").New("engine exchange broke off")
	// ErrAnswerMismatch means that the answer belongs to another request.
	ErrAnswerMismatch = faults.NewType("crossed").New("answer of another request")
)

// GenerateRequest asks for tokens.
type GenerateRequest struct {
	RequestID string `json:"requestID"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	// WeightsVersion must be the one the engine serves, or it refuses.
	WeightsVersion string `json:"weightsVersion"`
	// Incarnation must be the engine's, or it refuses; empty for any.
	Incarnation string `json:"incarnation,omitempty"`
	// CacheSalt separates the caches of different scopes.
	CacheSalt string `json:"cacheSalt"`
	Prompt    []byte `json:"prompt"`
	MaxTokens int    `json:"maxTokens"`
	// FirstTokenIndex is the index of the first token wanted.
	FirstTokenIndex int `json:"from,omitempty"`
	// Generated holds the tokens before From.
	Generated []string `json:"generated,omitempty"`
	Priority  int      `json:"priority,omitempty"`
}

// Event is one message of the answer stream.
type Event struct {
	// Type is "admitted", "token" or "end".
	Type           string `json:"type"`
	RequestID      string `json:"requestID"`
	Index          int    `json:"index,omitempty"`
	Text           string `json:"text,omitempty"`
	CachedBlocks   int    `json:"cachedBlocks,omitempty"`
	Incarnation    string `json:"incarnation,omitempty"`
	WeightsVersion string `json:"weightsVersion,omitempty"`
}

// State is what an engine reports about itself; its load figures lag.
type State struct {
	Incarnation    string `json:"incarnation"`
	Model          string `json:"model"`
	WeightsVersion string `json:"weightsVersion"`
	Loading        bool   `json:"loading,omitempty"`
	Running        int    `json:"running"`
	Queued         int    `json:"queued"`
	BacklogTokens  int    `json:"backlogTokens"`
}

// CacheEvent tells that a block was stored or removed.
type CacheEvent struct {
	// Sequence counts the events of one incarnation without gaps, from 1.
	Sequence uint64 `json:"sequence"`
	Removed  bool   `json:"removed,omitempty"`
	// Block is the hexadecimal block hash.
	Block string `json:"block"`
}

// CacheEvents is one batch of events, or a whole list after a re-read.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events,omitempty"`
	// Complete is set if Blocks lists the complete cache as of Sequence.
	Complete bool     `json:"whole,omitempty"`
	Blocks   []string `json:"blocks,omitempty"`
	Sequence uint64   `json:"sequence"`
}

// LoadOrder asks an engine to serve other weights.
type LoadOrder struct {
	WeightsVersion string `json:"weightsVersion"`
	// FencingToken is the fencing number; engines that check refuse a lower one.
	FencingToken uint64 `json:"fence"`
}

// Client talks to one engine.
type Client struct {
	address string
	// progress is how long an engine may send nothing while it works.
	progress time.Duration
}

// New returns a client of the engine at the given address.
func New(address string) *Client { return &Client{address: address, progress: progressLimit} }

// exchange is one request with its answer on a connection of its own.
type exchange struct {
	connection net.Conn
	// limit is how long a single read or write may make no progress.
	limit    time.Duration
	response fasthttp.Response
}

// Read implements io.Reader for the HTTP library.
func (e *exchange) Read(p []byte) (int, error) {
	_ = e.connection.SetReadDeadline(time.Now().Add(e.limit))
	return e.connection.Read(p)
}

// Write implements io.Writer for the HTTP library.
func (e *exchange) Write(p []byte) (int, error) {
	_ = e.connection.SetWriteDeadline(time.Now().Add(e.limit))
	return e.connection.Write(p)
}

// body returns the rest of the answer.
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

// Generate runs a request and gives each event to receive, in the order sent.
// It returns nil after the end event. Until the first token the engine may be
// silent for firstLimit, and from then on for its progress limit. Cancelling ctx closes
// the connection, which tells the engine to stop.
func (c *Client) Generate(ctx context.Context, generation *GenerateRequest, firstLimit time.Duration, receive func(*Event) error) error {
	x, err := c.post(PathCompletions, generation.RequestID, generation, max(firstLimit, c.progress))
	if err != nil {
		return fmt.Errorf("generate: %w", err)
	}
	defer x.close()
	stop := context.AfterFunc(ctx, func() { _ = x.connection.Close() })
	defer stop()
	reader := bufio.NewReader(x.body())
	for {
		event, err := readEvent(reader)
		if ctx.Err() != nil {
			return fmt.Errorf("generate: %w", ctx.Err())
		}
		if err != nil {
			return fmt.Errorf("generate: %w: %w", ErrExchangeFailed, err)
		}
		if event.RequestID != generation.RequestID {
			return fmt.Errorf("generate: %w", ErrAnswerMismatch)
		}
		if event.Type == "token" {
			x.limit = c.progress
		}
		if err := receive(event); err != nil {
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
	if err := c.ask(PathState, struct{}{}, &state); err != nil {
		return nil, fmt.Errorf("read state: %w", err)
	}
	return &state, nil
}

// ReadCacheEvents reads the cache events after the given sequence of an incarnation. If
// they are no longer held, or whole is asked for, the answer lists the cache.
func (c *Client) ReadCacheEvents(incarnation string, after uint64, whole bool) (*CacheEvents, error) {
	query := struct {
		Incarnation string `json:"incarnation"`
		After       uint64 `json:"after"`
		Whole       bool   `json:"whole"`
	}{incarnation, after, whole}
	var events CacheEvents
	if err := c.ask(PathCacheEvents, query, &events); err != nil {
		return nil, fmt.Errorf("read cache events: %w", err)
	}
	return &events, nil
}

// SendOrder gives an order. ErrRefused means that the engine did not take it.
func (c *Client) SendOrder(order LoadOrder) error {
	var taken struct{}
	if err := c.ask(PathOrders, order, &taken); err != nil {
		return fmt.Errorf("give order: %w", err)
	}
	return nil
}

func (c *Client) ask(path string, query, answer any) error {
	x, err := c.post(path, "", query, c.progress)
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

// post sends one request on a connection of its own and returns a successful
// exchange whose body has not been read.
func (c *Client) post(path, requestID string, message any, limit time.Duration) (*exchange, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	connection, err := fasthttp.DialTimeout(c.address, dialLimit)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	x := &exchange{connection: connection, limit: limit}
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
		line, err := reader.ReadBytes('\n')
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
