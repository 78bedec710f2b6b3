// Package store is the client of the platform's key-value service, whose protocol is HTTP
// with JSON bodies. It maps every failure to the errors of package keeper, which tell
// whether nothing was written or whether that is unknown.
package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/cyclamenward/cyclamenward/peer/exchanger"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
)

const (
	// callTimeout bounds one call; the service answers in milliseconds.
	callTimeout = 500 * time.Millisecond
	// maxAnswerBytes bounds an answer; a list has all entries.
	maxAnswerBytes = 64 << 20
	// watchMargin is how long after its wait a watch may still answer.
	watchMargin = time.Second
	// requestIDHeader carries an ID that the service echoes.
	requestIDHeader = "X-Request-Id"
)

// Paths of the service.
const (
	PathGet   = "/v1/get"
	PathList  = "/v1/list"
	PathSwap  = "/v1/swap"
	PathWatch = "/v1/watch"
	PathGrant = "/v1/lease/grant"
	PathRenew = "/v1/lease/renew"
)

// Query is the body of every call; each path uses some of its fields.
type Query struct {
	Key    string `json:"key,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
	// Expected is the version that the key must have for a write, 0 if it must not exist.
	Expected uint64 `json:"expected,omitempty"`
	Lease    string `json:"lease,omitempty"`
	// After is the version above which a watch returns entries.
	After uint64        `json:"after,omitempty"`
	Wait  time.Duration `json:"waitNanoseconds,omitempty"`
	TTL   time.Duration `json:"ttlNanoseconds,omitempty"`
}

// Reply is the body of every successful answer.
type Reply struct {
	Entries  []keeper.Entry `json:"entries,omitempty"`
	Revision uint64         `json:"revision,omitempty"`
	Lease    string         `json:"lease,omitempty"`
}

// client holds the connections to one service.
type client struct{ http *exchanger.Client }

// New returns a Store that calls the service at the given address.
func New(address string) keeper.Store {
	c := &client{http: exchanger.New(address, callTimeout, 0, exchanger.Limits{MaxAnswerBytes: maxAnswerBytes})}
	return keeper.Store{Get: c.get, List: c.list, Swap: c.swap, Watch: c.watch, Grant: c.grant, Renew: c.renew}
}

func (c *client) get(ctx context.Context, key string) (keeper.Entry, error) {
	reply, err := c.call(ctx, PathGet, Query{Key: key}, callTimeout)
	if err != nil {
		return keeper.Entry{}, fmt.Errorf("get %s: %w", key, toReadError(err))
	}
	if len(reply.Entries) != 1 {
		return keeper.Entry{}, fmt.Errorf("get %s: %w", key, keeper.ErrNotFound)
	}
	return reply.Entries[0], nil
}

func (c *client) list(ctx context.Context, prefix string) ([]keeper.Entry, error) {
	reply, err := c.call(ctx, PathList, Query{Prefix: prefix}, callTimeout)
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, toReadError(err))
	}
	return reply.Entries, nil
}

func (c *client) swap(ctx context.Context, swap keeper.Swap) (uint64, error) {
	query := Query{Key: swap.Key, Value: swap.Value, Delete: swap.Value == nil, Expected: swap.Expected, Lease: swap.Lease}
	reply, err := c.call(ctx, PathSwap, query, callTimeout)
	if err != nil {
		return 0, fmt.Errorf("swap %s: %w", swap.Key, err)
	}
	return reply.Revision, nil
}

// watch returns at once when ctx ends. The call then continues in its goroutine until it
// is answered or times out, since the HTTP library cannot interrupt it.
func (c *client) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]keeper.Entry, uint64, error) {
	type result struct {
		reply *Reply
		err   error
	}
	done := make(chan result, 1)
	go func() {
		reply, err := c.call(ctx, PathWatch, Query{Prefix: prefix, After: after, Wait: wait}, wait+watchMargin)
		done <- result{reply, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			return nil, 0, fmt.Errorf("watch %s: %w", prefix, toReadError(r.err))
		}
		return r.reply.Entries, r.reply.Revision, nil
	case <-ctx.Done():
		return nil, 0, fmt.Errorf("watch %s: %w: %w", prefix, keeper.ErrUnavailable, ctx.Err())
	}
}

func (c *client) grant(ctx context.Context, ttl time.Duration) (string, error) {
	reply, err := c.call(ctx, PathGrant, Query{TTL: ttl}, callTimeout)
	if err != nil {
		return "", fmt.Errorf("grant lease: %w", err)
	}
	return reply.Lease, nil
}

func (c *client) renew(ctx context.Context, lease string) error {
	if _, err := c.call(ctx, PathRenew, Query{Lease: lease}, callTimeout); err != nil {
		return fmt.Errorf("renew lease: %w", err)
	}
	return nil
}

// toReadError maps an unknown outcome to unavailability. It is for reads, which change
// nothing.
func toReadError(err error) error {
	if errors.Is(err, keeper.ErrUnknownOutcome) {
		return fmt.Errorf("%w: %w", keeper.ErrUnavailable, err)
	}
	return err
}

// call sends a query and decodes its reply, within timeout and the deadline of ctx.
func (c *client) call(ctx context.Context, path string, query Query, timeout time.Duration) (*Reply, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", keeper.ErrUnavailable, err)
	}
	deadline := time.Now().Add(timeout)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	body, err := json.Marshal(query)
	if err != nil {
		return nil, fmt.Errorf("encode query: %w", err)
	}
	id := uuid.NewString()
	answer, err := c.http.Do(deadline, exchanger.Request{Method: fasthttp.MethodPost, Path: path, Fields: []exchanger.Field{{Name: requestIDHeader, Value: id}}, JSON: body})
	switch {
	case errors.Is(err, exchanger.ErrNotSent):
		return nil, fmt.Errorf("%w: %w", keeper.ErrUnavailable, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", keeper.ErrUnknownOutcome, err)
	case answer.Field(requestIDHeader) != id:
		return nil, fmt.Errorf("reply to another call: %w", keeper.ErrUnknownOutcome)
	}
	return decodeReply(answer)
}

// decodeReply returns the reply, or the error that the status stands for.
func decodeReply(answer *exchanger.Answer) (*Reply, error) {
	switch answer.Status {
	case fasthttp.StatusOK:
	case fasthttp.StatusNotFound:
		return nil, keeper.ErrNotFound
	case fasthttp.StatusConflict:
		return nil, keeper.ErrConflict
	case fasthttp.StatusGone:
		return nil, keeper.ErrLeaseLost
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return nil, keeper.ErrUnavailable
	default:
		return nil, fmt.Errorf("status %d: %w", answer.Status, keeper.ErrUnknownOutcome)
	}
	var reply Reply
	if err := json.Unmarshal(answer.Body, &reply); err != nil {
		return nil, fmt.Errorf("decode reply: %w: %w", keeper.ErrUnknownOutcome, err)
	}
	return &reply, nil
}
