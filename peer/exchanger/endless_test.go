package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

const (
	// endlessBytes is how much a faulty server of these tests sends at most.
	endlessBytes = 64 << 20
	testLimit    = 1 << 20
)

// serveEndlessly answers one request with a head and then repeats a piece until the client closes
// the connection or endlessBytes were read. It returns the number of bytes of it that were read.
func serveEndlessly(conn net.Conn, head, piece string) (sent int) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return 0
	}
	if _, err := conn.Write([]byte(head)); err != nil {
		return 0
	}
	block := bytes.Repeat([]byte(piece), max(1, (32<<10)/len(piece)))
	for sent < endlessBytes {
		n, err := conn.Write(block)
		sent += n
		if err != nil {
			return sent
		}
	}
	return sent
}

// TestEndlessAnswerIsNotKept guards against a daemon that runs out of memory since a faulty server
// sends bytes without end, in a head or in a body.
func TestEndlessAnswerIsNotKept(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		head, piece string
		// most is how many bytes may be read.
		most int
	}{
		"announced length":   {ok + "Content-Length: 4000000000\r\n\r\n", "x", 128 << 10},
		"chunks":             {ok + "Transfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n", 3 * testLimit},
		"one endless chunk":  {ok + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n", "x", 2 * testLimit},
		"chunk extension":    {ok + "Transfer-Encoding: chunked\r\n\r\n8;", "x", 3 * testLimit},
		"until close":        {ok + "\r\n", "x", 2 * testLimit},
		"head fields":        {ok, "A: b\r\n", testLimit},
		"one head field":     {ok + "A: ", "x", testLimit},
		"status line":        {"HTTP/1.1 200 ", "x", testLimit},
		"interim answers":    {"", "HTTP/1.1 102 Processing\r\n\r\n", testLimit},
		"bytes of no answer": {"", "x", testLimit},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				read := make(chan int, 1)
				client := newClient("server:80", 0, Limits{MaxAnswerBytes: testLimit}, func() (net.Conn, error) {
					client, server := net.Pipe()
					go func() { read <- serveEndlessly(server, c.head, c.piece) }()
					return client, nil
				})
				_, err := client.Do(time.Now().Add(time.Second), Request{Method: http.MethodGet, Path: "/"})
				n := <-read
				client.http.CloseIdleConnections()
				<-time.After(2 * fasthttp.DefaultMaxIdleConnDuration) // The client's cleaner ends.
				assert.Assert(t, err != nil)
				assert.Assert(t, n <= c.most, "%d bytes were read", n)
			})
		})
	}
}

// TestAnswersShareMemory guards against many answers that are each within the limit and together
// take more memory than there is.
func TestAnswersShareMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		free, released := 300<<10, 0
		limits := Limits{MaxAnswerBytes: testLimit, Memory: Memory{Reserve: func(_ context.Context, n, _ int, _ time.Time) bool {
			if n > free {
				return false
			}
			free -= n
			return true
		}, Release: func(n int) { released += n }}}
		get := func(size int) error {
			client := newClient("server:80", 0, limits, func() (net.Conn, error) {
				client, server := net.Pipe()
				go serveSlowly(server, size, 64<<10, time.Microsecond)
				return client, nil
			})
			answer, err := client.Do(time.Now().Add(time.Second), Request{Method: http.MethodGet, Path: "/"})
			if err == nil {
				assert.Equal(t, len(answer.Body), size)
			}
			client.http.CloseIdleConnections()
			<-time.After(2 * fasthttp.DefaultMaxIdleConnDuration)
			return err
		}
		assert.NilError(t, get(freeBytes/2))
		assert.Equal(t, free, 300<<10)
		assert.NilError(t, get(200<<10))
		assert.ErrorIs(t, get(600<<10), ErrNoMemory)
		assert.Equal(t, 300<<10-free, released)
	})
}

// TestTruncatedAnswerIsAnError has the connection end within the body of an answer.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"announced length": "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf",
		"chunk":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n14\r\nhalf",
		"last chunk":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := newClient("server:80", 0, Limits{MaxAnswerBytes: testLimit}, func() (net.Conn, error) { return answering(text), nil })
				_, err := client.Do(time.Now().Add(time.Second), Request{Method: http.MethodGet, Path: "/"})
				assert.Assert(t, err != nil)
				client.http.CloseIdleConnections()
				<-time.After(2 * fasthttp.DefaultMaxIdleConnDuration)
			})
		})
	}
}
