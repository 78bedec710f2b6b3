package plainservice

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cyclamenward/cyclamenward/peer/exchanger"
	"gotest.tools/v3/assert"
)

// TestEndlessAnswersShareMemory guards against a sidecar that runs out of memory since its service
// answers many calls at the same time with bytes without end.
func TestEndlessAnswersShareMemory(t *testing.T) {
	const calls, room, endless = 32, 2 * maxAnswerBytes, 64 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			connection, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
					return
				}
				block := []byte(strings.Repeat("x", 32<<10))
				_, err := connection.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
				for sent := 0; err == nil && sent < endless; {
					var n int
					n, err = connection.Write(block)
					sent += n
				}
			}()
		}
	}()
	var reserved, most atomic.Int64
	memory := exchanger.Memory{
		Reserve: func(_ context.Context, bytes, _ int, _ time.Time) bool {
			now := reserved.Add(int64(bytes))
			if now > room {
				reserved.Add(-int64(bytes))
				return false
			}
			for old := most.Load(); now > old && !most.CompareAndSwap(old, now); old = most.Load() {
				continue
			}
			return true
		},
		Release: func(bytes int) { reserved.Add(-int64(bytes)) },
	}
	c := New(l.Addr().String(), memory)
	errs := make(chan error, calls)
	for range calls {
		go func() {
			_, err := c.Do(&Call{RequestID: "r", Method: http.MethodPost, Path: "/", Timeout: 10 * time.Second})
			errs <- err
		}()
	}
	for range calls {
		err := <-errs
		assert.ErrorIs(t, err, ErrUnknownOutcome)
		assert.Assert(t, errors.Is(err, exchanger.ErrTooLarge) || errors.Is(err, exchanger.ErrNoMemory), "%v", err)
	}
	assert.Assert(t, most.Load() > 0)
	assert.Equal(t, reserved.Load(), int64(0))
}
