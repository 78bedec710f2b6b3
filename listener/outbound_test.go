package listener

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// bareConn returns a connection of a listener for which no socket is needed.
func bareConn(o *outbound) *conn {
	c := &conn{maxInboundBytes: 1 << 10, outbound: o, disconnected: make(chan struct{})}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// hold sets how much is outstanding for the client.
func (c *conn) hold(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queuedBytes = bytes
	c.countOutstanding()
	c.changed.Broadcast()
}

// newOutbound returns the counts of a listener with a limit, and the number of stalled clients.
func newOutbound(bytes int) (*outbound, *int) {
	o, stalled := &outbound{conns: make(map[*conn]bool)}, new(int)
	o.limit.Store(&OutboundLimit{Bytes: bytes, StallTimeout: 5 * time.Second, OnStalled: func() { *stalled++ }})
	return o, stalled
}

// TestStalledClientMakesRoomForOthers guards against clients that read nothing and so hold up the answers of
// those that read slowly: the former are closed, the latter are not.
func TestStalledClientMakesRoomForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, stalled := newOutbound(100 << 10)
		silent, slow, idle := bareConn(o), bareConn(o), bareConn(o)
		silent.hold(90 << 10)
		slow.hold(30 << 10)
		idle.hold(freeOutboundBytes)
		written := make(chan struct{})
		go func() {
			slow.mu.Lock()
			defer slow.mu.Unlock()
			slow.awaitRoom()
			close(written)
		}()
		<-time.After(3 * time.Second)
		slow.hold(28 << 10)
		synctest.Wait()
		slow.mu.Lock()
		awaitsRoom := slow.awaitsRoom
		slow.mu.Unlock()
		assert.Check(t, awaitsRoom)
		<-time.After(4 * time.Second)
		<-written
		assert.Check(t, silent.ended && !slow.ended && !idle.ended)
		assert.Equal(t, *stalled, 1)
		assert.Equal(t, o.held.Load(), int64(28<<10+freeOutboundBytes))
	})
}

// TestOrdinaryAnswersNeedNoRoom guards against slow readers that hold up clients with ordinary answers.
func TestOrdinaryAnswersNeedNoRoom(t *testing.T) {
	o, _ := newOutbound(100 << 10)
	silent, other := bareConn(o), bareConn(o)
	silent.hold(200 << 10)
	other.hold(freeOutboundBytes)
	assert.Check(t, other.mayWrite() && !silent.mayWrite())
	other.hold(freeOutboundBytes + 1)
	assert.Check(t, !other.mayWrite())
	silent.markEnded()
	assert.Check(t, other.mayWrite())
}

// TestManySlowReadersAreBoundedTogether guards against a process whose memory runs out because many clients
// read nothing of long streams at once. One that reads gets the whole of its stream meanwhile.
func TestManySlowReadersAreBoundedTogether(t *testing.T) {
	const clients, limit, lines = 24, 256 << 10, 100_000
	l, err := New("127.0.0.1:0", 1<<20)
	assert.NilError(t, err)
	l.LimitOutbound(OutboundLimit{Bytes: limit, StallTimeout: time.Hour})
	line := strings.Repeat("x", 90) + "\n"
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			for range lines {
				if _, err := io.WriteString(w, line); err != nil {
					return
				}
			}
		})
	}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l)
	}()
	dial := func() net.Conn {
		connection, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		_, err = fmt.Fprint(connection, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		assert.NilError(t, err)
		return connection
	}
	var silent []net.Conn
	for range clients {
		silent = append(silent, dial())
	}
	reader := dial()
	received, most, chunk := 0, 0, make([]byte, 64<<10)
	for {
		n, err := reader.Read(chunk)
		received, most = received+n, max(most, l.OutboundBytes())
		if err != nil {
			break
		}
	}
	assert.Check(t, received >= lines*len(line), "%d bytes", received)
	// One write of the HTTP library may go beyond.
	assert.Check(t, most <= limit+(clients+1)*2*freeOutboundBytes, "%d bytes", most)
	for _, connection := range silent {
		_ = connection.Close()
	}
	assert.Check(t, server.ShutdownWithContext(context.Background()))
	assert.Check(t, l.Stop(context.Background()))
	<-done
}
