package hosts

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// serveOnce returns the address of a server that answers one request with the given bytes.
func serveOnce(t *testing.T, text string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = fmt.Fprint(conn, text)
		}
	}()
	return listener.Addr().String()
}

// TestAnswersWithInvalidStatusAreNoAnswers guards against an answer of a faulty platform with status 000 that
// counts as a 200.
func TestAnswersWithInvalidStatusAreNoAnswers(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		address := serveOnce(t, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 2\r\n\r\n[]")
		got, err := New(address).List()
		assert.Check(t, err != nil, "%s: %v", status, got)
	}
}
