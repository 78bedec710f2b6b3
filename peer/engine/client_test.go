package engine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serve returns the client of a server that calls answer with the ID of the request
// on each connection.
func serve(t *testing.T, answer func(id string, w io.Writer)) *Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(connection))
				if err == nil {
					answer(request.Header.Get(HeaderRequestID), connection)
				}
			}()
		}
	}()
	return New(listener.Addr().String())
}

func writeHead(id string, w io.Writer) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\n", HeaderRequestID, id)
}

func writeEvent(w io.Writer, eventType, id string, index int) {
	_, _ = fmt.Fprintf(w, "data: {\"type\":%q,\"requestID\":%q,\"index\":%d}\n\n", eventType, id, index)
}

func generate(c *Client, firstTokenTimeout time.Duration) (tokens int, err error) {
	err = c.Generate(context.Background(), &GenerateRequest{RequestID: "own"}, firstTokenTimeout, func(e *Event) error {
		if e.Type == "token" {
			tokens++
		}
		return nil
	})
	return tokens, err
}

// TestLongPrefillDoesNotTimeOut sends the first token after the client's timeout. The
// request fails only without a longer firstTokenTimeout.
func TestLongPrefillDoesNotTimeOut(t *testing.T) {
	c := serve(t, func(id string, w io.Writer) {
		writeHead(id, w)
		writeEvent(w, "admitted", id, 0)
		<-time.After(200 * time.Millisecond)
		writeEvent(w, "token", id, 0)
		writeEvent(w, "end", id, 1)
	})
	c.timeout = 50 * time.Millisecond
	tokens, err := generate(c, 10*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, tokens, 1)
	_, err = generate(c, 0)
	assert.ErrorIs(t, err, ErrExchangeFailed)
}

// TestSilenceBetweenTokensTimesOut sends nothing after the first token.
func TestSilenceBetweenTokensTimesOut(t *testing.T) {
	released := make(chan struct{})
	defer close(released)
	c := serve(t, func(id string, w io.Writer) {
		writeHead(id, w)
		writeEvent(w, "token", id, 0)
		<-released
	})
	c.timeout = 50 * time.Millisecond
	tokens, err := generate(c, 10*time.Second)
	assert.ErrorIs(t, err, ErrExchangeFailed)
	assert.Equal(t, tokens, 1)
}

// TestFailedExchanges covers heads and events with another request's ID, answers that
// end early or do not arrive, refusals and failed dials.
func TestFailedExchanges(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(id string, w io.Writer)
		want   error
	}{
		"other id in head":  {func(_ string, w io.Writer) { writeHead("other", w) }, ErrAnswerMismatch},
		"other id in event": {func(id string, w io.Writer) { writeHead(id, w); writeEvent(w, "token", "other", 0) }, ErrAnswerMismatch},
		"early end":         {func(id string, w io.Writer) { writeHead(id, w); writeEvent(w, "token", id, 0) }, ErrExchangeFailed},
		"refusal": {func(id string, w io.Writer) {
			_, _ = io.WriteString(w, strings.Replace("HTTP/1.1 409 Conflict\r\n"+HeaderRequestID+": ID\r\nContent-Length: 0\r\n\r\n", "ID", id, 1))
		}, ErrRefused},
		"no answer": {func(string, io.Writer) {}, ErrExchangeFailed},
	} {
		_, err := generate(serve(t, c.answer), time.Second)
		assert.Check(t, err != nil, name)
		assert.ErrorIs(t, err, c.want, name)
	}
	_, err := generate(New("127.0.0.1:9"), time.Second)
	assert.ErrorIs(t, err, ErrNotSent)
}

// TestCancelEndsGenerateAtOnce checks that a canceled request does not wait for the
// engine's next token.
func TestCancelEndsGenerateAtOnce(t *testing.T) {
	released := make(chan struct{})
	defer close(released)
	c := serve(t, func(id string, w io.Writer) {
		writeHead(id, w)
		writeEvent(w, "token", id, 0)
		<-released
	})
	ctx, cancel := context.WithCancel(context.Background())
	err := c.Generate(ctx, &GenerateRequest{RequestID: "own"}, time.Minute, func(*Event) error {
		cancel()
		return nil
	})
	assert.ErrorIs(t, err, context.Canceled)
}

// TestEndlessLineIsNotKept guards against a sidecar that runs out of memory since its engine sends a
// line of an event stream without end.
func TestEndlessLineIsNotKept(t *testing.T) {
	const most = 64 << 20
	sent := make(chan int, 1)
	c := serve(t, func(id string, w io.Writer) {
		writeHead(id, w)
		writeEvent(w, "admitted", id, 0)
		block, total := []byte(strings.Repeat("x", 32<<10)), 0
		for total < most {
			n, err := w.Write(block)
			total += n
			if err != nil {
				break
			}
		}
		sent <- total
	})
	_, err := generate(c, time.Second)
	assert.ErrorIs(t, err, ErrExchangeFailed)
	n := <-sent
	assert.Assert(t, n < most, "%d bytes were read", n)
}
