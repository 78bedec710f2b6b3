package plainservice

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cyclamenward/cyclamenward/peer/exchanger"
	"gotest.tools/v3/assert"
)

// cutConn is a connection on which a server sends bytes and then ends it.
type cutConn struct {
	net.Conn
	unread string
}

func (c *cutConn) Read(p []byte) (int, error) {
	if c.unread == "" {
		return 0, io.EOF
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

func (c *cutConn) Write(p []byte) (int, error) { return len(p), nil }

func (c *cutConn) Close() error { return nil }

func (c *cutConn) SetDeadline(time.Time) error { return nil }

func (c *cutConn) SetReadDeadline(time.Time) error { return nil }

func (c *cutConn) SetWriteDeadline(time.Time) error { return nil }

func (c *cutConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

func (c *cutConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// TestAnswersCutAtAnyByteFail guards against answers that look whole though the service stopped in the
// middle of their head or body (MIXED).
func TestAnswersCutAtAnyByteFail(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nbooked",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nboo\r\n3\r\nked\r\n0\r\n\r\n",
	} {
		for cut := range len(text) + 1 {
			t.Run(fmt.Sprint(name, cut), func(t *testing.T) {
				c := New("192.0.2.1:80", exchanger.Memory{})
				c.dial = func(string) (net.Conn, error) { return &cutConn{unread: text[:cut]}, nil }
				answer, err := c.Do(&Call{RequestID: "r", Method: "POST", Path: "/", Timeout: time.Second})
				if cut < len(text) {
					assert.ErrorIs(t, err, ErrUnknownOutcome)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, string(answer.Body), "booked")
			})
		}
	}
}
