package replica

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/wire/verifier"
	"github.com/valyala/fasthttp"
)

// Answer holds the head of one answer and reads its body from the connection. It is
// not safe for concurrent use.
type Answer struct {
	// ctx is that of the request.
	ctx     context.Context
	client  *Client
	conn    *conn
	address string
	header  fasthttp.ResponseHeader
	// body yields the body without its framing. chunked is set if a last chunk ends
	// it, delimited if a last chunk or its length does. Otherwise it ends when the
	// connection is closed.
	body      io.Reader
	chunked   bool
	delimited bool
	// complete is set once the body was read to the end that its framing announces.
	complete bool
	// skippedStale is set if an answer to an earlier request was skipped.
	skippedStale bool
	// writeResult receives the result of writing a request body in a goroutine; nil if
	// the body was written before the answer was read.
	writeResult chan error
	// stopReset cancels the reset of the connection at the end of the request's
	// context. It returns false if the reset has begun.
	stopReset func() bool
	closed    bool
	// priority and deadline are those of the request.
	priority int
	deadline time.Time
	// reserved is what the answer takes of the memory for answers. bodyReturned is set once
	// ReadAll has returned the body, whose memory is released by ReleaseBody.
	reserved     int
	bodyReturned bool
}

// reserve raises what the answer takes of the memory for answers, if it holds the given number of
// bytes. It waits for room until the deadline, and returns an error if there is none.
func (a *Answer) reserve(bytes int, deadline time.Time) error {
	added := bytes - freeBufferBytes - a.reserved
	if added <= 0 {
		return nil
	}
	if !a.client.memory.Reserve(a.ctx, added, a.priority, deadline) {
		return fmt.Errorf("%w: no memory for %d bytes of an answer", ErrExchangeFailed, bytes)
	}
	a.reserved += added
	return nil
}

// grow reserves memory for an answer whose length is not known.
func (a *Answer) grow(bytes int) error {
	deadline := a.client.clock.Now().Add(memoryTimeout)
	if a.deadline.Before(deadline) {
		deadline = a.deadline
	}
	return a.reserve(bytes, deadline)
}

// ReleaseBody releases the memory of a body that ReadAll has returned.
func (a *Answer) ReleaseBody() {
	if a.reserved > 0 {
		a.client.memory.Release(a.reserved)
		a.reserved = 0
	}
}

// Header returns the status and the header fields of the answer.
func (a *Answer) Header() *fasthttp.ResponseHeader { return &a.header }

// SetDeadline sets the deadline of the reads that follow.
func (a *Answer) SetDeadline(t time.Time) { _ = a.conn.SetReadDeadline(t) }

// readHead reads the head of the answer to a request. It skips up to maxStaleAnswers answers
// that carry another ID. An answer without an ID is not known to be that to this request.
func (a *Answer) readHead(idField string, request *Request) error {
	for range maxStaleAnswers + 1 {
		if err := a.readFinalHead(); err != nil {
			return fmt.Errorf("read head: %w", err)
		}
		echoedID := a.header.Peek(idField)
		if string(echoedID) == request.ID {
			a.selectBodyReader(request.Method)
			return nil
		}
		if len(echoedID) == 0 {
			return fmt.Errorf("answer with status %d names no request", a.header.StatusCode())
		}
		a.skippedStale = true
		if err := discardStaleAnswer(&a.header, a.conn.reader); err != nil {
			return fmt.Errorf("skip answer to another request: %w", err)
		}
	}
	return errors.New("only answers to other requests arrived")
}

// readFinalHead reads a head. It skips up to maxInterimAnswers interim ones, which have no body.
func (a *Answer) readFinalHead() error {
	for range maxInterimAnswers + 1 {
		a.header.Reset()
		if err := verifier.ReadHead(a.conn.reader, &a.header); err != nil {
			return err
		}
		if status := a.header.StatusCode(); status >= fasthttp.StatusOK || status == fasthttp.StatusSwitchingProtocols {
			return nil
		}
	}
	return errors.New("only interim answers arrived")
}

// selectBodyReader sets body according to the framing that the head announces.
func (a *Answer) selectBodyReader(method string) {
	switch length, status := a.header.ContentLength(), a.header.StatusCode(); {
	case method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		a.delimited = true
		a.body = io.LimitReader(a.conn.reader, 0)
	case length >= 0:
		a.delimited = true
		a.body = io.LimitReader(a.conn.reader, int64(length))
	case length == -1:
		a.delimited, a.chunked = true, true
		a.body = verifier.NewChunkedReader(a.conn.reader)
	default:
		a.body = a.conn.reader
	}
}

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err != io.EOF {
		if err != nil {
			err = fmt.Errorf("%w: read body: %w", ErrExchangeFailed, err)
		}
		return n, err
	}
	if err := a.verifyBodyEnd(); err != nil {
		return n, fmt.Errorf("%w: end of body: %w", ErrExchangeFailed, err)
	}
	return n, io.EOF
}

// verifyBodyEnd checks that the body ended where its framing says, and reads the
// trailer of a chunked body.
func (a *Answer) verifyBodyEnd() error {
	if a.complete {
		return nil
	}
	if limited, ok := a.body.(*io.LimitedReader); ok && limited.N > 0 {
		return io.ErrUnexpectedEOF
	}
	if a.chunked {
		var trailer fasthttp.ResponseHeader
		if err := verifier.ReadTrailer(a.conn.reader, &trailer); err != nil {
			return err
		}
	}
	if !a.delimited {
		if err := a.awaitWrite(); err != nil {
			return fmt.Errorf("request body was not written whole: %w", err)
		}
	}
	a.complete = true
	return nil
}

// awaitWrite returns the result of writing the request body after the server has closed the connection. The
// operating system reports a connection reset to only one call: if the write received it, the read returned
// io.EOF. A server that closes the connection before it has read the body resets it.
func (a *Answer) awaitWrite() error {
	if a.writeResult == nil {
		return nil
	}
	deadline := a.client.clock.Now().Add(writeEndTimeout)
	if a.deadline.Before(deadline) {
		deadline = a.deadline
	}
	_ = a.conn.SetWriteDeadline(deadline)
	err := <-a.writeResult
	// Further reads need the result, too.
	a.writeResult <- err
	return err
}

// ReadAll reads the complete body. A body of more than maxBytes bytes is an error. The caller must
// call ReleaseBody once it does not need the body.
func (a *Answer) ReadAll(maxBytes int) ([]byte, error) {
	size := 512
	if limited, ok := a.body.(*io.LimitedReader); ok && limited.N > freeBufferBytes {
		if limited.N > int64(maxBytes) {
			return nil, fmt.Errorf("%w: body of %d bytes is larger than %d bytes", ErrExchangeFailed, limited.N, maxBytes)
		}
		// One byte more than the body, so that its end is found without growing.
		size = int(limited.N) + 1
		if err := a.reserve(size, a.deadline); err != nil {
			return nil, err
		}
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			if err := a.grow(2 * cap(body)); err != nil {
				return nil, err
			}
			body = slices.Grow(body, cap(body))
		}
		n, err := a.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxBytes:
			return nil, fmt.Errorf("%w: body is larger than %d bytes", ErrExchangeFailed, maxBytes)
		case err == io.EOF:
			a.bodyReturned = true
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// Close ends the exchange. The connection is kept for reuse only if nothing of this
// exchange can still arrive or leave on it. It is reset if the answer is incomplete.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	if !a.bodyReturned {
		a.ReleaseBody()
	}
	if a.stopReset() && a.reusable() {
		a.client.keepIdle(a.address, a.conn, parseIdleTimeout(string(a.header.Peek(fasthttp.HeaderKeepAlive))))
		return
	}
	if !a.complete {
		a.conn.reset()
		return
	}
	_ = a.conn.Close()
}

// reusable reports whether the connection may carry another exchange: the answer is
// complete, nothing else has arrived, and the request was written.
func (a *Answer) reusable() bool {
	if !a.complete || !a.delimited || a.skippedStale || a.header.ConnectionClose() || a.conn.reader.Buffered() > 0 {
		return false
	}
	if a.writeResult == nil {
		return true
	}
	select {
	case err := <-a.writeResult:
		return err == nil
	default:
		return false
	}
}

// Event is one server-sent event.
type Event struct {
	// Raw is the event as it was received, with the blank line that ends it.
	Raw []byte
	// ID is the event's ID, -1 if it has none that is a non-negative number.
	ID int64
}

// errEventTooLarge means that an event's end did not arrive within maxEventBytes.
var errEventTooLarge = errors.New("event is too large")

// EventReader splits a body into events. It never returns part of an event.
type EventReader struct {
	source io.Reader
	// reserve is called before the buffer grows.
	reserve func(bytes int) error
	// buffer holds bytes of the body; the first consumed bytes were returned as events.
	buffer        []byte
	consumed      int
	maxEventBytes int
}

// NewEventReader returns a reader of a body whose events have at most maxEventBytes bytes.
func NewEventReader(source io.Reader, maxEventBytes int) *EventReader {
	e := &EventReader{source: source, reserve: func(int) error { return nil }, maxEventBytes: maxEventBytes, buffer: make([]byte, 0, 1024)}
	if answer, ok := source.(*Answer); ok {
		e.reserve = answer.grow
	}
	return e
}

// Next returns the next event, valid until the next call. It returns io.EOF only if
// the body is complete and ends with a complete event.
func (e *EventReader) Next() (Event, error) {
	for {
		if end := eventEnd(e.buffer[e.consumed:]); end > 0 {
			raw := e.buffer[e.consumed : e.consumed+end]
			e.consumed += end
			return Event{Raw: raw, ID: eventID(raw)}, nil
		}
		if err := e.fill(); err != nil {
			return Event{}, err
		}
	}
}

// fill drops the events that were returned and reads more of the body.
func (e *EventReader) fill() error {
	if e.consumed > 0 {
		e.buffer = append(e.buffer[:0], e.buffer[e.consumed:]...)
		e.consumed = 0
	}
	if len(e.buffer) > e.maxEventBytes {
		return errEventTooLarge
	}
	if cap(e.buffer)-len(e.buffer) < 512 {
		if err := e.reserve(2 * cap(e.buffer)); err != nil {
			return err
		}
		grown := make([]byte, len(e.buffer), 2*cap(e.buffer))
		copy(grown, e.buffer)
		e.buffer = grown
	}
	n, err := e.source.Read(e.buffer[len(e.buffer):cap(e.buffer)])
	e.buffer = e.buffer[:len(e.buffer)+n]
	if n > 0 {
		return nil
	}
	if err == io.EOF && len(bytes.TrimSpace(e.buffer)) > 0 {
		return fmt.Errorf("%w: stream ends within an event", ErrExchangeFailed)
	}
	return err
}

// eventEnd returns the length of the first complete event in b, 0 if there is none.
func eventEnd(b []byte) int {
	for start := 0; start < len(b); {
		i := bytes.IndexByte(b[start:], '\n')
		if i < 0 {
			return 0
		}
		if line := bytes.TrimRight(b[start:start+i], "\r"); len(line) == 0 && start > 0 {
			return start + i + 1
		}
		start += i + 1
	}
	return 0
}

// eventID returns the first valid ID of an event, -1 if there is none.
func eventID(raw []byte) int64 {
	for line := range bytes.Lines(raw) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil && id >= 0 {
			return id
		}
	}
	return -1
}
