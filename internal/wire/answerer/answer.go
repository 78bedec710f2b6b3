// Package answerer provides malformed HTTP/1.1 answers, and a server that sends them, to tests of HTTP clients.
package answerer

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Parts of malformed answers (RFC 9112).
var (
	// InvalidStatuses are status codes outside of 100 to 599.
	InvalidStatuses = []string{"000", "001", "099", "600", "999"}
	// MalformedFields are lines that are not valid fields, without the line end.
	MalformedFields = []string{"X A: 1", "X-A : 1", "Content-Length : 1", " X-A: 1", "\tX-A: 1", "\nX-A: 1", "\nContent-Length: 1", "X\x01A: 1"}
	// NestedHeads begin with a truncated head that a second status line follows, without the line end of that.
	NestedHeads = []string{"HTTP/1.1 200 OHTTP/1.1 503 Full", "HTTP/1.1 200 HTTP/1.1 503 Full", "HTTP/1.1 200 OK\r\nX-B: 1HTTP/1.1 503 Full", "HTTP/1.1 103 EarlyHTTP/1.1 200 OK"}
	// MalformedChunkEnds are last chunks with a malformed size line or trailer.
	MalformedChunkEnds = []string{"000HTTP/1.1 200 OK\r\nX-B: 1\r\n\r\n", "0;aHTTP/1.1 200 OK\r\n\r\n", "0x\r\n\r\n", "0\r\nX A: 1\r\n\r\n", "0\r\nX-A: 1HTTP/1.1 200 OK\r\n\r\n"}
)

// ServeOnce returns the address of a server that answers one request with the given bytes.
func ServeOnce(t testing.TB, answer string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			Answer(conn, answer)
		}
	}()
	return listener.Addr().String()
}

// Answer reads one request from a connection, answers it with the given bytes and closes the connection.
func Answer(conn net.Conn, answer string) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
		_, _ = fmt.Fprint(conn, answer)
	}
}
