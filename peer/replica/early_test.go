package replica

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// unframedHead is the head of an answer that only the end of the connection ends.
const unframedHead = "HTTP/1.1 200 OK\r\n" + idField + ": r\r\n\r\n"

// earlyConn is a connection on which a server sends bytes and ends it while the body of the request is
// being written. The write of the body returns what finish does.
type earlyConn struct {
	cutConn
	writes int
	finish func(c *earlyConn) error
	// writeDeadline receives the first deadline that is set for writes.
	writeDeadline chan time.Time
}

func (c *earlyConn) Write(p []byte) (int, error) {
	if c.writes++; c.writes == 1 {
		return len(p), nil
	}
	return len(p), c.finish(c)
}

func (c *earlyConn) SetWriteDeadline(t time.Time) error {
	select {
	case c.writeDeadline <- t:
	default:
	}
	return nil
}

// TestAnswerThatEndsBeforeItsRequestIsNotWhole guards against the beginning of an early answer without a length
// that is taken for the whole since the write of the request body has received the reset of the connection
// (MIXED).
func TestAnswerThatEndsBeforeItsRequestIsNotWhole(t *testing.T) {
	for name, tc := range map[string]struct {
		finish func(*earlyConn) error
		whole  bool
	}{
		"reset":     {func(*earlyConn) error { return syscall.ECONNRESET }, false},
		"closed":    {func(*earlyConn) error { return syscall.EPIPE }, false},
		"not taken": {func(c *earlyConn) error { <-c.writeDeadline; return os.ErrDeadlineExceeded }, false},
		"taken":     {func(*earlyConn) error { return nil }, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newClient()
			c.dial = func(context.Context, string) (net.Conn, error) {
				return &earlyConn{cutConn: cutConn{unread: unframedHead + "part", atOnce: 1 << 10, end: io.EOF}, finish: tc.finish, writeDeadline: make(chan time.Time, 1)}, nil
			}
			answer, err := c.Do(context.Background(), request("192.0.2.1:80", "r", strings.Repeat("x", 2*maxInlineBodyBytes)))
			assert.NilError(t, err)
			defer answer.Close()
			got, err := answer.ReadAll(1 << 20)
			assert.Equal(t, err == nil, tc.whole, "%q, %v", got, err)
			if !tc.whole {
				assert.ErrorIs(t, err, ErrExchangeFailed)
				_, err = answer.Read(make([]byte, 1))
				assert.ErrorIs(t, err, ErrExchangeFailed)
			}
		})
	}
}

// TestResetEarlyAnswerIsNotWhole has a server answer a long upload at once with a 200 that has no length, send a
// part of the body and reset the connection.
func TestResetEarlyAnswerIsNotWhole(t *testing.T) {
	address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = reader.ReadString('\n')
		_, _ = io.WriteString(conn, unframedHead+"part")
		_, _ = io.CopyN(io.Discard, conn, 64<<10)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
	body := strings.Repeat("x", 8<<20)
	c := newClient()
	for range 20 {
		answer, err := c.Do(context.Background(), request(address, "r", body))
		if err != nil {
			assert.ErrorIs(t, err, ErrExchangeFailed)
			continue
		}
		got, err := answer.ReadAll(1 << 20)
		assert.ErrorIs(t, err, ErrExchangeFailed, "%q", got)
		answer.Close()
	}
}
