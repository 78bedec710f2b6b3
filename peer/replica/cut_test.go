package replica

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// cutConn is a connection on which a server sends bytes, a few at a time, and then ends it.
type cutConn struct {
	net.Conn
	unread string
	// atOnce is the number of bytes that a read returns at most.
	atOnce int
	end    error
}

func (c *cutConn) Read(p []byte) (int, error) {
	if c.unread == "" {
		return 0, c.end
	}
	n := copy(p[:min(len(p), c.atOnce)], c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

func (c *cutConn) Write(p []byte) (int, error) { return len(p), nil }

func (c *cutConn) Close() error { return nil }

func (c *cutConn) SetDeadline(time.Time) error { return nil }

func (c *cutConn) SetReadDeadline(time.Time) error { return nil }

// readCut returns the body of an answer of which only the given bytes arrive.
func readCut(text string, atOnce int, end error) ([]byte, error) {
	_, body, err := exchangeCut(text, atOnce, end)
	return body, err
}

// exchangeCut returns the status and the body of an answer of which only the given bytes arrive.
func exchangeCut(text string, atOnce int, end error) (status int, body []byte, err error) {
	c := newClient()
	c.dial = func(context.Context, string) (net.Conn, error) {
		return &cutConn{unread: text, atOnce: atOnce, end: end}, nil
	}
	answer, err := c.Do(context.Background(), request("192.0.2.1:80", "r", "x"))
	if err != nil {
		return 0, nil, err
	}
	defer answer.Close()
	body, err = answer.ReadAll(1 << 20)
	return answer.Header().StatusCode(), body, err
}

// TestAnswersCutAtAnyByteFail guards against answers that look whole though their replica stopped on the
// way (MIXED, ORDER): in the middle of the head, or of a body of each framing, with the end of
// the connection or with a reset. A body that ends with its connection is whole only if that
// is not reset.
func TestAnswersCutAtAnyByteFail(t *testing.T) {
	const body = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	fields := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + idField + ": r\r\nX-Seal: s\r\n"
	chunks := encodeChunk(body[:20]) + encodeChunk(body[20:])
	for _, tc := range []struct {
		name, head, body string
		// endsWithConnection is set if nothing but the end of the connection ends the body.
		endsWithConnection bool
	}{
		{"length", fields + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body, false},
		{"length first", "HTTP/1.1 200 OK\r\n" + fmt.Sprintf("Content-Length: %d\r\n", len(body)) + idField + ": r\r\n\r\n", body, false},
		{"chunks", fields + "Transfer-Encoding: chunked\r\n\r\n", chunks + "0\r\n\r\n", false},
		{"chunks with a trailer", fields + "Transfer-Encoding: chunked\r\n\r\n", chunks + "0\r\nX-Sum: 1\r\n\r\n", false},
		{"behind an interim answer", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + fields + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body, false},
		{"end of the connection", fields + "Connection: close\r\n\r\n", body, true},
		{"no content", "HTTP/1.1 204 No Content\r\n" + idField + ": r\r\n\r\n", "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			text := tc.head + tc.body
			for _, atOnce := range []int{1, 7, len(text)} {
				for cut := range len(text) + 1 {
					for _, end := range []error{io.EOF, syscall.ECONNRESET} {
						got, err := readCut(text[:cut], atOnce, end)
						whole := cut == len(text)
						if tc.endsWithConnection {
							whole = cut >= len(tc.head) && errors.Is(end, io.EOF)
						}
						assert.Equal(t, err == nil, whole, "%d of %d bytes, %d at once, then %v: %q, %v", cut, len(text), atOnce, end, got, err)
					}
				}
			}
		})
	}
}

// TestHeadsInPlaceOfABodyAreNoBody guards against streams that end as complete though their replica, or what
// stands before it, has begun another answer in the middle (ORDER): behind the last chunk its
// head was taken for a trailer.
func TestHeadsInPlaceOfABodyAreNoBody(t *testing.T) {
	head := "HTTP/1.1 500 Internal Server Error\r\n" + idField + ": r\r\nContent-Length: 8\r\n\r\noverload"
	start := "HTTP/1.1 200 OK\r\n" + idField + ": r\r\nTransfer-Encoding: chunked\r\n\r\n" + encodeChunk("id: 1\ndata: a\n\n")
	for _, between := range []string{"", "\r\n", "4\r\nid: ", "0\r\n"} {
		got, err := readCut(start+between+head, 1<<10, io.EOF)
		assert.Assert(t, err != nil && !strings.Contains(string(got), "HTTP/1.1"), "%q: %q", between, got)
	}
}
