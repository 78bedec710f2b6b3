package stopper_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/gateway/stopper"
	"github.com/cyclamenward/cyclamenward/listener"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// TestNoConnectionIsOpenedAfterTheStop guards against callers whose connection is opened by a process that
// has stopped and neither reads nor refuses their requests (LOST): a stop that cut requests off had
// no time left for its listener.
func TestNoConnectionIsOpenedAfterTheStop(t *testing.T) {
	l, err := listener.New("127.0.0.1:0", 1<<20)
	assert.NilError(t, err)
	released, reached := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(released) })
	server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {
		close(reached)
		<-released
	}}
	s := stopper.New(server, l, time.Second, func(context.Context, time.Duration) {}, timekeeper.System{})
	go func() { _ = server.Serve(l) }()
	connection, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	_, err = fmt.Fprint(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	<-reached
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, s.Stop(ctx, 0), context.DeadlineExceeded)
	late, err := net.Dial("tcp", l.Addr().String())
	if err == nil {
		_ = late.Close()
	}
	assert.Check(t, err != nil, "a connection is opened")
}
