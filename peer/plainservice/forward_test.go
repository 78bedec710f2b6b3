package plainservice

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cyclamenward/cyclamenward/peer/exchanger"
	"gotest.tools/v3/assert"
)

// TestCallsReachTheServiceUnchanged guards against services that run another call than the caller's
// (UNASKED): the HTTP library normalizes paths. Method, path, query and body arrive byte for
// byte.
func TestCallsReachTheServiceUnchanged(t *testing.T) {
	type received struct{ method, path, body string }
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	requests := make(chan received, 1)
	go func() {
		for {
			connection, err := l.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
				body, _ := io.ReadAll(request.Body)
				requests <- received{request.Method, request.RequestURI, string(body)}
				_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
			_ = connection.Close()
		}
	}()
	c := New(l.Addr().String(), exchanger.Memory{})
	for _, call := range []Call{
		{Method: "POST", Path: "/a//b/../c/%2F%2e;p=1/d+e?q=%20&q=+&&r", Body: []byte("two crates")},
		{Method: "GET", Path: "/"},
		{Method: "GET", Path: "/./a/%41?x=/../y"},
		{Method: "DELETE", Path: "/%25zz", Body: []byte("body")},
		{Method: "PUT", Path: "/a", Body: []byte("--x\r\n\r\n"), Headers: []Header{{"Content-Type", "multipart/form-data; boundary=x"}}},
		{Method: "OPTIONS", Path: "/a?"},
	} {
		call.RequestID, call.Timeout = "r", 5*time.Second
		_, err := c.Do(&call)
		assert.NilError(t, err)
		assert.Check(t, <-requests == received{call.Method, call.Path, string(call.Body)}, "%s", call.Path)
	}
}
