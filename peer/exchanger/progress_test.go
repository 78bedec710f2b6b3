package exchanger

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// serveSlowly answers one request with a body of the given size, in pieces with pauses
// between them.
func serveSlowly(conn net.Conn, size, piece int, pause time.Duration) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size); err != nil {
		return
	}
	for sent := 0; sent < size; sent += piece {
		if _, err := conn.Write([]byte(strings.Repeat("x", min(piece, size-sent)))); err != nil {
			return
		}
		<-time.After(pause)
	}
}

func getSlowly(t *testing.T, size, piece int, pause time.Duration) (answer *Answer, took time.Duration, err error) {
	t.Helper()
	c := newClient("store:80", 0, Limits{MaxAnswerBytes: 4 << 20}, func() (net.Conn, error) {
		client, server := net.Pipe()
		go serveSlowly(server, size, piece, pause)
		return client, nil
	})
	started := time.Now()
	answer, err = c.Do(started.Add(time.Second), Request{Method: http.MethodGet, Path: "/"})
	took = time.Since(started)
	c.http.CloseIdleConnections()
	<-time.After(2 * fasthttp.DefaultMaxIdleConnDuration) // The client's cleaner ends.
	return answer, took, err
}

// TestLargeAnswerOverSlowLinkIsRead guards against a daemon that can never read a large
// configuration: over its link of 1.25 MB/s the page took longer than the timeout of the
// call, so it was dropped and requested again.
func TestLargeAnswerOverSlowLinkIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answer, _, err := getSlowly(t, 1_400_000, 12_500, 10*time.Millisecond)
		assert.NilError(t, err)
		assert.Equal(t, len(answer.Body), 1_400_000)
	})
}

// TestDrippingAnswerTimesOut has an answer arrive at a few bytes a second.
func TestDrippingAnswerTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, took, err := getSlowly(t, 1_400_000, 10, 100*time.Millisecond)
		assert.Assert(t, err != nil)
		assert.Assert(t, took < 1500*time.Millisecond, "%v", took)
	})
}
