package listener_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/cyclamenward/cyclamenward/listener"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// shutDownUnderRequests shuts a server down by the last of as many requests as there are clients, all
// on idle connections. It returns how many clients got no answer though their request had been received:
// else the kernel resets the connection.
func shutDownUnderRequests(t *testing.T, clients int) (unanswered int) {
	t.Helper()
	l, err := listener.New("127.0.0.1:0", 1<<20)
	assert.NilError(t, err)
	stopped := make(chan error, 1)
	l.SetRefusal([]byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
	server := &fasthttp.Server{CloseOnShutdown: true, ConnState: listener.RecordState}
	server.Handler = func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/stop" {
			go func() { stopped <- server.ShutdownWithContext(context.Background()) }()
			runtime.Gosched()
		}
	}
	go func() { _ = server.Serve(l) }()
	connections, readers := make([]net.Conn, clients), make([]*bufio.Reader, clients)
	for i := range clients {
		connections[i], err = net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = connections[i].Close() }()
		assert.NilError(t, connections[i].SetDeadline(time.Now().Add(20*time.Second)))
		readers[i] = bufio.NewReader(connections[i])
		_, err = io.WriteString(connections[i], "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		_, err = http.ReadResponse(readers[i], nil)
		assert.NilError(t, err)
	}
	for i, connection := range connections {
		path := "/second"
		if i == clients-1 {
			path = "/stop"
		}
		_, err = io.WriteString(connection, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
	}
	for _, reader := range readers {
		if _, err := http.ReadResponse(reader, nil); err != nil && !errors.Is(err, syscall.ECONNRESET) {
			unanswered++
		}
	}
	assert.NilError(t, <-stopped)
	assert.NilError(t, l.Stop(context.Background()))
	return unanswered
}

// TestShutdownAnswersRequestsOnIdleConnections guards against the failure in which a server that was shut
// down closed connections as idle on which a request had been received (LOST).
func TestShutdownAnswersRequestsOnIdleConnections(t *testing.T) {
	const rounds, clients = 10, 32
	// One thread, so that requests that were received are still to be read when the shutdown begins.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	unanswered := 0
	for range rounds {
		unanswered += shutDownUnderRequests(t, clients)
	}
	assert.Equal(t, unanswered, 0)
}
