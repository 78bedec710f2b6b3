package listener_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cyclamenward/cyclamenward/listener"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"
)

const fullAnswer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// limitedServer is a server with a limit of connections, and its clients.
type limitedServer struct {
	t        testingT
	listener *listener.Listener
	server   *fasthttp.Server
	limit    int
	// elapsed is how far the listener's clock is ahead, in nanoseconds.
	elapsed          atomic.Int64
	evicted, refused atomic.Int32
	// begun receives the path of each request below /run/, which is answered once its channel in finish is
	// closed.
	begun  chan string
	finish sync.Map
	// idle holds the clients that wait, the longest waiting first, and running those whose request runs.
	idle, running []*limitedClient
	requests      int
}

// limitedClient is a client of a limitedServer and the path of its request.
type limitedClient struct {
	net.Conn
	reader *bufio.Reader
	path   string
	// readable is closed once something can be read, or the connection has ended.
	readable chan struct{}
}

// testingT is what *testing.T and *rapid.T have in common.
type testingT interface {
	assert.TestingT
	poll.TestingT
	Helper()
}

func newLimitedServer(t testingT, limit int) *limitedServer {
	l, err := listener.New("127.0.0.1:0", 1<<20)
	assert.NilError(t, err)
	c := &limitedServer{t: t, listener: l, limit: limit, begun: make(chan string)}
	listener.SetNow(l, func() time.Time { return time.Now().Add(time.Duration(c.elapsed.Load())) })
	l.SetRefusal([]byte(fullAnswer))
	l.LimitConnections(listener.ConnectionLimit{Connections: limit, Refusal: []byte(fullAnswer), OnEvicted: func() { c.evicted.Add(1) }, OnRefused: func() { c.refused.Add(1) }})
	// Idle workers hold the buffers of a server that has stopped.
	c.server = &fasthttp.Server{MaxIdleWorkerDuration: 10 * time.Millisecond, ConnState: listener.RecordState, CloseOnShutdown: true, Handler: func(ctx *fasthttp.RequestCtx) {
		if path := string(ctx.Path()); strings.HasPrefix(path, "/run/") {
			finish, _ := c.finish.Load(path)
			c.begun <- path
			<-finish.(chan struct{})
		}
	}}
	go func() { _ = c.server.Serve(l) }()
	return c
}

// await waits until something holds.
func (c *limitedServer) await(what string, holds func() bool) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if !holds() {
			return poll.Continue("%s", what)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(20*time.Second))
}

// pass lets time pass, after which any connection that waits for a request may be closed.
func (c *limitedServer) pass() {
	c.t.Helper()
	c.await("the server waits for requests and has sent its answers", func() bool {
		return listener.Idle(c.listener) == len(c.idle) && c.listener.OutboundBytes() == 0
	})
	c.elapsed.Add(int64(time.Minute))
}

// connect connects a client.
func (c *limitedServer) connect() *limitedClient {
	c.t.Helper()
	connection, err := net.Dial("tcp", c.listener.Addr().String())
	assert.NilError(c.t, err)
	assert.NilError(c.t, connection.SetDeadline(time.Now().Add(20*time.Second)))
	return &limitedClient{Conn: connection, reader: bufio.NewReader(connection)}
}

// read reads an answer.
func (c *limitedServer) read(client *limitedClient) int {
	c.t.Helper()
	<-client.readable
	response, err := http.ReadResponse(client.reader, nil)
	assert.NilError(c.t, err)
	return response.StatusCode
}

// begin sends a request that runs until end, and reports whether it runs; else it was refused.
func (c *limitedServer) begin(client *limitedClient) bool {
	c.t.Helper()
	c.requests++
	client.path = fmt.Sprintf("/run/%d", c.requests)
	c.finish.Store(client.path, make(chan struct{}))
	_, err := io.WriteString(client, "GET "+client.path+" HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(c.t, err)
	client.readable = make(chan struct{})
	go func() {
		defer close(client.readable)
		_, _ = client.reader.Peek(1)
	}()
	select {
	case <-c.begun:
		c.running = append(c.running, client)
		return true
	case <-client.readable:
		assert.Equal(c.t, c.read(client), http.StatusServiceUnavailable)
		_ = client.Close()
		return false
	case <-time.After(20 * time.Second):
		assert.Assert(c.t, false, "a request neither runs nor is refused")
		return false
	}
}

// end ends the request of the running client with an index, which must get its answer.
func (c *limitedServer) end(i int) {
	c.t.Helper()
	client := c.running[i]
	c.running = append(c.running[:i:i], c.running[i+1:]...)
	finish, _ := c.finish.LoadAndDelete(client.path)
	close(finish.(chan struct{}))
	assert.Equal(c.t, c.read(client), http.StatusOK)
	c.idle = append(c.idle, client)
	c.await("the server waits for requests", func() bool { return listener.Idle(c.listener) == len(c.idle) })
}

// add has a new client send a request. It must run if there is a place or another client can give its own up:
// the one that has waited longest, whose connection must then be closed.
func (c *limitedServer) add() {
	c.t.Helper()
	full, mayEvict := len(c.running)+len(c.idle) >= c.limit, len(c.idle) > 0
	client := c.connect()
	runs := c.begin(client)
	assert.Equal(c.t, runs, !full || mayEvict, "%d running, %d idle, limit %d", len(c.running), len(c.idle), c.limit)
	assert.Check(c.t, c.listener.Connections() <= c.limit)
	if runs && full {
		_, err := c.idle[0].reader.Peek(1)
		assert.ErrorIs(c.t, err, io.EOF)
		c.leave(0)
	}
	if !runs {
		assert.Check(c.t, !c.listener.Accepting(), "a listener that refuses clients says that it accepts them")
	}
}

// leave closes the idle client with an index.
func (c *limitedServer) leave(i int) {
	c.t.Helper()
	_ = c.idle[i].Close()
	c.idle = append(c.idle[:i:i], c.idle[i+1:]...)
	c.await("places are given up", func() bool { return c.listener.Connections() == len(c.idle)+len(c.running) })
}

// close ends all requests and the server. Connections must be counted until then and no longer.
func (c *limitedServer) close() {
	c.t.Helper()
	for len(c.running) > 0 {
		c.end(0)
	}
	for len(c.idle) > 0 {
		c.leave(0)
	}
	c.await("all connections are closed", func() bool { return listener.Refused(c.listener) == 0 })
	assert.NilError(c.t, c.server.ShutdownWithContext(context.Background()))
	assert.NilError(c.t, c.listener.Stop(context.Background()))
}

// TestConnectionsStayWithinTheirLimit guards against a process that runs out of descriptors since its callers
// leave their connections open (LOST): the one that has waited longest makes room, never one with a request, and
// who gets no place is refused at once.
func TestConnectionsStayWithinTheirLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newLimitedServer(t, rapid.IntRange(1, 5).Draw(t, "limit"))
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			c.pass()
			switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
			case step < 5:
				c.add()
			case step < 7 && len(c.running) > 0:
				c.end(rapid.IntRange(0, len(c.running)-1).Draw(t, "running"))
			case step == 7 && len(c.idle) > 0:
				c.leave(rapid.IntRange(0, len(c.idle)-1).Draw(t, "idle"))
			case step == 8 && len(c.idle) > 0:
				i := rapid.IntRange(0, len(c.idle)-1).Draw(t, "idle")
				client := c.idle[i]
				c.idle = append(c.idle[:i:i], c.idle[i+1:]...)
				assert.Assert(t, c.begin(client), "a request on an open connection is refused")
			}
		}
		c.close()
	})
}

// TestNewConnectionsAreNotClosedForOthers guards against clients that take each other's place before their first
// request arrives.
func TestNewConnectionsAreNotClosedForOthers(t *testing.T) {
	c := newLimitedServer(t, 1)
	first := c.connect()
	c.await("the first client has a place", func() bool { return listener.Idle(c.listener) == 1 })
	second := c.connect()
	assert.Assert(t, !c.begin(second))
	assert.Check(t, !c.listener.Accepting())
	assert.Assert(t, c.begin(first))
	assert.Equal(t, c.evicted.Load(), int32(0))
	c.close()
}

// TestClientsBeyondTheLimitWaitInTheKernel guards against refused clients that together take what descriptors are
// left: only some are open at once, and each is closed if it sends nothing.
func TestClientsBeyondTheLimitWaitInTheKernel(t *testing.T) {
	const clients = 200
	c := newLimitedServer(t, 1)
	assert.Assert(t, c.begin(c.connect()))
	most := 0
	connections := make([]*limitedClient, clients)
	for i := range connections {
		connections[i] = c.connect()
		most = max(most, listener.Refused(c.listener))
	}
	c.await("some are refused", func() bool { return listener.Refused(c.listener) > 0 })
	assert.Check(t, most <= listener.MaxRefused, "%d open beyond the limit", most)
	for _, connection := range connections {
		_, err := connection.reader.Peek(1)
		assert.Check(t, errors.Is(err, io.EOF), "%v", err)
		_ = connection.Close()
	}
	assert.Equal(t, c.refused.Load(), int32(clients))
	c.close()
}
