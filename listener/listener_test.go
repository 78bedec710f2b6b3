package listener_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cyclamenward/cyclamenward/listener"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// serve runs an HTTP server on a listener and returns its address.
func serve(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	return serveOn(t, handler).Addr().String()
}

// serveOn runs an HTTP server and returns its listener.
func serveOn(t *testing.T, handler fasthttp.RequestHandler) *listener.Listener {
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
	return l
}

// heldBytes returns the size of what the process holds.
func heldBytes() int64 {
	var memory runtime.MemStats
	// Pools keep what they hold over one collection.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapAlloc)
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
	// Socket buffers hold some megabytes each way; the process itself must not hold
	// the rest of the 37 MB.
	held := heldBytes()
	assert.Assert(t, held < 16<<20, "%d bytes held", held)
	body, err := io.ReadAll(connection)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(body, []byte(fmt.Sprintf("%d %s\n", lines-1, line))))
	assert.Assert(t, bytes.HasSuffix(body, []byte("0\r\n\r\n")))
}

// TestFloodingClientIsHeldBack sends far more than a server reads while its handler is busy: the server
// takes what its socket buffers and maxAheadBytes hold, and the client cannot go on.
func TestFloodingClientIsHeldBack(t *testing.T) {
	before := heldBytes()
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
		assert.NilError(t, connection.SetWriteDeadline(time.Now().Add(time.Second)))
		var n int
		n, err = connection.Write(flood)
		sent += n
	}
	assert.Assert(t, err != nil, "the server took %d bytes", sent)
	held := heldBytes() - before
	assert.Check(t, held < 16<<20, "%d bytes held", held)
	close(release)
}

// TestLargeBodiesWaitInTheKernel guards against a process that is killed for its memory as many clients send
// large bodies at once (LOST): bodies that the server does not read yet are not received. They
// arrive whole once it does, its answers arrive, and it sees clients that leave.
func TestLargeBodiesWaitInTheKernel(t *testing.T) {
	const clients, size = 32, 2 << 20
	before := heldBytes()
	read, left := make(chan struct{}), make(chan struct{}, 1)
	l, err := listener.New("127.0.0.1:0", 4<<20)
	assert.NilError(t, err)
	server := &fasthttp.Server{
		MaxRequestBodySize: size,
		HeaderReceived: func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
			<-read
			return fasthttp.RequestConfig{}
		},
		Handler: func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) == "/leave" {
				<-listener.Disconnected(ctx.Conn())
				left <- struct{}{}
				return
			}
			sum := 0
			for _, b := range ctx.Request.Body() {
				sum += int(b)
			}
			ctx.SetBodyString(fmt.Sprint(sum))
		},
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		assert.Check(t, server.ShutdownWithContext(context.Background()))
		assert.Check(t, l.Stop(context.Background()))
		heldBytes()
	})
	body := bytes.Repeat([]byte{1}, size)
	answers := make(chan string, clients)
	for range clients {
		connection, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = connection.Close() }()
		go func() {
			reader := bufio.NewReader(connection)
			for range 2 {
				_, _ = fmt.Fprintf(connection, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size)
				_, _ = connection.Write(body)
				var response fasthttp.Response
				if err := response.Read(reader); err != nil {
					answers <- err.Error()
					return
				}
				answers <- string(response.Body())
			}
		}()
	}
	leaving, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	go func() {
		_, _ = fmt.Fprintf(leaving, "POST /leave HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size)
		_, _ = leaving.Write(body)
		_ = leaving.Close()
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if listener.Detached(l) < clients {
			return poll.Continue("%d connections are off the event loop", listener.Detached(l))
		}
		return poll.Success()
	})
	held := heldBytes() - before
	assert.Check(t, held < 24<<20, "%d bytes held of %d", held, clients*size)
	close(read)
	for range 2 * clients {
		assert.Equal(t, <-answers, fmt.Sprint(size))
	}
	<-left
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

// TestOpenConnectionsAreAcceptedAfterClose guards against requests that end without an answer
// because their connections were open, but not accepted yet, when the listener was closed (LOST).
func TestOpenConnectionsAreAcceptedAfterClose(t *testing.T) {
	const clients = 50
	l, err := listener.New("127.0.0.1:0", 1<<20)
	assert.NilError(t, err)
	for range clients {
		connection, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = connection.Close() }()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if listener.Pending(l) < clients {
			return poll.Continue("not all connections are open")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(20*time.Second))
	assert.NilError(t, l.Close())
	accepted := 0
	for {
		if _, err := l.Accept(); err != nil {
			assert.ErrorIs(t, err, net.ErrClosed)
			break
		}
		accepted++
	}
	assert.Equal(t, accepted, clients)
	assert.NilError(t, l.Stop(context.Background()))
}

// TestRequestOnConnectionThatIsClosedIsRefused guards against requests that have arrived on an idle
// connection and end without an answer because it is closed in this moment (LOST).
func TestRequestOnConnectionThatIsClosedIsRefused(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	for name, serverReads := range map[string]bool{"the server has not read it": false, "the server has read it": true} {
		t.Run(name, func(t *testing.T) {
			l, err := listener.New("127.0.0.1:0", 1<<20)
			assert.NilError(t, err)
			l.SetRefusal([]byte(refusal))
			client, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = client.Close() }()
			served, err := l.Accept()
			assert.NilError(t, err)
			listener.RecordState(served, fasthttp.StateIdle)
			_, err = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			assert.NilError(t, err)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if listener.Unread(served) == 0 {
					return poll.Continue("the request is under way")
				}
				return poll.Success()
			}, poll.WithDelay(time.Millisecond), poll.WithTimeout(20*time.Second))
			if serverReads {
				_, err = served.Read(make([]byte, 1<<10))
				assert.NilError(t, err)
			}
			assert.NilError(t, served.Close())
			answer, err := io.ReadAll(client)
			assert.NilError(t, err)
			assert.Equal(t, string(answer), refusal)
			assert.NilError(t, l.Stop(context.Background()))
		})
	}
}

// TestRequestThatHasNotArrivedInTimeIsRefused guards against callers whose requests are still being read
// at the end of a planned stop and who get no answer (LOST).
func TestRequestThatHasNotArrivedInTimeIsRefused(t *testing.T) {
	l, err := listener.New("127.0.0.1:0", 1<<20)
	assert.NilError(t, err)
	read := make(chan struct{})
	server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}, HeaderReceived: func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
		close(read)
		return fasthttp.RequestConfig{}
	}, ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			ctx.SetStatusCode(fasthttp.StatusRequestTimeout)
		}
	}}
	go func() { _ = server.Serve(l) }()
	client, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = client.Close() }()
	_, err = io.WriteString(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf")
	assert.NilError(t, err)
	<-read
	l.EndReads()
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	assert.NilError(t, server.Shutdown())
	assert.NilError(t, l.Stop(context.Background()))
}
