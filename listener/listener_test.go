package listener_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"

	"github.com/cyclamenward/cyclamenward/listener"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// serve runs an HTTP server on a listener and returns its address.
func serve(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	l, err := listener.New("127.0.0.1:0", 1<<20)
	assert.NilError(t, err)
	server := &fasthttp.Server{Handler: handler, CloseOnShutdown: true}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l)
	}()
	t.Cleanup(func() {
		assert.Check(t, server.ShutdownWithContext(context.Background()))
		assert.Check(t, l.Stop(context.Background()))
		<-done
	})
	return l.Addr().String()
}

// TestSlowReaderIsBounded streams far more than maxOutboundBytes to a client that does
// not read yet, and checks that the server waits instead of buffering it all, and that
// the whole stream arrives once the client reads.
func TestSlowReaderIsBounded(t *testing.T) {
	const lines = 400_000
	line := strings.Repeat("x", 90)
	progress := make(chan int, 1)
	address := serve(t, func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			for i := range lines {
				_, _ = fmt.Fprintf(w, "%d %s\n", i, line)
				if w.Flush() != nil {
					return
				}
				if i == 1000 {
					progress <- i
				}
			}
		})
	})
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	_, err = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	assert.NilError(t, err)
	<-progress
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	// Socket buffers hold some megabytes each way; the process itself must not hold
	// the rest of the 37 MB.
	assert.Assert(t, memory.HeapAlloc < 16<<20, "%d bytes held", memory.HeapAlloc)
	body, err := io.ReadAll(connection)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(body, []byte(fmt.Sprintf("%d %s\n", lines-1, line))))
	assert.Assert(t, bytes.HasSuffix(body, []byte("0\r\n\r\n")))
}

// TestFloodingClientIsDisconnected sends more than maxInboundBytes while the handler is
// busy and checks that the server ends the connection.
func TestFloodingClientIsDisconnected(t *testing.T) {
	busy, release := make(chan struct{}), make(chan struct{})
	address := serve(t, func(*fasthttp.RequestCtx) {
		close(busy)
		<-release
	})
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	_, err = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	<-busy
	flood := bytes.Repeat([]byte("y"), 64<<10)
	sent := 0
	for err == nil && sent < 64<<20 {
		var n int
		n, err = connection.Write(flood)
		sent += n
	}
	close(release)
	assert.Assert(t, err != nil, "the server took %d bytes", sent)
}

// TestPipelinedAnswersKeepTheirOrder sends several requests without waiting and checks
// that the answers arrive in the order of the requests.
func TestPipelinedAnswersKeepTheirOrder(t *testing.T) {
	address := serve(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBody(ctx.Path()) })
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	for i := range 20 {
		_, err = fmt.Fprintf(connection, "GET /%d HTTP/1.1\r\nHost: x\r\n\r\n", i)
		assert.NilError(t, err)
	}
	reader := bufio.NewReader(connection)
	for i := range 20 {
		var response fasthttp.Response
		assert.NilError(t, response.Read(reader))
		assert.Equal(t, string(response.Body()), fmt.Sprintf("/%d", i))
	}
}

// TestOpenConnectionHasNotLeft checks that a caller that waits for its answer, or has sent another
// request already, does not count as one that has left.
func TestOpenConnectionHasNotLeft(t *testing.T) {
	left := make(chan bool, 4)
	address := serve(t, func(ctx *fasthttp.RequestCtx) { left <- listener.Left(ctx.Conn()) })
	for _, requests := range []int{1, 2} {
		connection, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		_, err = io.WriteString(connection, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", requests))
		assert.NilError(t, err)
		for range requests {
			assert.Check(t, !<-left)
		}
		assert.NilError(t, connection.Close())
	}
}
