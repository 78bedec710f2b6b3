package replica

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Answer is the answer to one request. It is used by one goroutine.
type Answer struct {
	client  *Client
	conn    *conn
	address string
	header  fasthttp.ResponseHeader
	// body yields the body without its framing. chunked and framed tell how it
	// ends: by a last chunk, by its length, or with the connection.
	body    io.Reader
	chunked bool
	framed  bool
	// whole is set once the body was read to its proper end.
	whole bool
	// skipped is set when an answer to an earlier request came first.
	skipped bool
	// written receives the result of a body that is written beside the reading.
	written chan error
	stop    func() bool
	closed  bool
}

// Header returns the status and the fields of the answer.
func (a *Answer) Header() *fasthttp.ResponseHeader { return &a.header }

// SetDeadline bounds the reads that follow.
func (a *Answer) SetDeadline(t time.Time) { _ = a.conn.SetReadDeadline(t) }

// readHead reads the answer's head, past answers to earlier requests.
func (a *Answer) readHead(idField, id string) error {
	for range maxStale + 1 {
		a.header.Reset()
		if err := a.header.Read(a.conn.reader); err != nil {
			return fmt.Errorf("read head: %w", err)
		}
		echoed := a.header.Peek(idField)
		if len(echoed) == 0 || string(echoed) == id {
			a.frame()
			return nil
		}
		a.skipped = true
		if err := discardStale(&a.header, a.conn.reader); err != nil {
			return fmt.Errorf("skip answer to another request: %w", err)
		}
	}
	return errors.New("only answers to other requests arrived")
}

func (a *Answer) frame() {
	switch length := a.header.ContentLength(); {
	case length >= 0:
		a.framed = true
		a.body = io.LimitReader(a.conn.reader, int64(length))
	case length == -1:
		a.framed, a.chunked = true, true
		a.body = httputil.NewChunkedReader(a.conn.reader)
	default:
		a.body = a.conn.reader
	}
}

// Read reads the body. io.EOF means that the body is whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err != io.EOF {
		if err != nil {
			err = fmt.Errorf("%w: read body: %w", ErrExchangeFailed, err)
		}
		return n, err
	}
	if err := a.finish(); err != nil {
		return n, fmt.Errorf("%w: end of body: %w", ErrExchangeFailed, err)
	}
	return n, io.EOF
}

// finish checks that the body ended as its framing says.
func (a *Answer) finish() error {
	if a.whole {
		return nil
	}
	if limited, ok := a.body.(*io.LimitedReader); ok && limited.N > 0 {
		return io.ErrUnexpectedEOF
	}
	for a.chunked {
		line, err := a.conn.reader.ReadSlice('\n')
		if err != nil {
			return fmt.Errorf("read trailer: %w", err)
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			break
		}
	}
	a.whole = true
	return nil
}

// ReadAll reads the whole body, at most limit bytes.
func (a *Answer) ReadAll(limit int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > limit {
		return nil, fmt.Errorf("%w: body is larger than %d bytes", ErrExchangeFailed, limit)
	}
	if !a.whole {
		if _, err := a.Read(make([]byte, 1)); err != io.EOF {
			return nil, fmt.Errorf("%w: body does not end", ErrExchangeFailed)
		}
	}
	return body, nil
}

// Close ends the exchange. The connection is kept only if nothing else can still
// arrive on it or leave on it.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	if a.stop() && a.reusable() {
		a.client.keep(a.address, a.conn, idleTime(string(a.header.Peek(fasthttp.HeaderKeepAlive))))
		return
	}
	if !a.whole {
		a.conn.reset()
		return
	}
	_ = a.conn.Close()
}

func (a *Answer) reusable() bool {
	if !a.whole || !a.framed || a.skipped || a.header.ConnectionClose() || a.conn.reader.Buffered() > 0 {
		return false
	}
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// Event is one event of a stream.
type Event struct {
	// Raw is the event as it was received, with its blank line.
	Raw []byte
	// ID is the event's id, -1 if it has none.
	ID int64
}

// errEventTooLarge bounds what is held of an event whose end has not arrived.
var errEventTooLarge = errors.New("event is too large")

// EventReader splits a body into events. Half an event is never returned.
type EventReader struct {
	source io.Reader
	// buffer holds what was read; events before next have been returned.
	buffer []byte
	next   int
	limit  int
}

// NewEventReader returns a splitter for bodies whose events have at most limit bytes.
func NewEventReader(source io.Reader, limit int) *EventReader {
	return &EventReader{source: source, limit: limit, buffer: make([]byte, 0, 1024)}
}

// Next returns the next event, valid until the next call. io.EOF means that the
// body ended whole and behind a whole event.
func (e *EventReader) Next() (Event, error) {
	for {
		if end := eventEnd(e.buffer[e.next:]); end > 0 {
			raw := e.buffer[e.next : e.next+end]
			e.next += end
			return Event{Raw: raw, ID: eventID(raw)}, nil
		}
		if err := e.fill(); err != nil {
			return Event{}, err
		}
	}
}

// fill reads more of the body.
func (e *EventReader) fill() error {
	if e.next > 0 {
		e.buffer = append(e.buffer[:0], e.buffer[e.next:]...)
		e.next = 0
	}
	if len(e.buffer) > e.limit {
		return errEventTooLarge
	}
	if cap(e.buffer)-len(e.buffer) < 512 {
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

// eventEnd returns the length of the first whole event, 0 if there is none.
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
