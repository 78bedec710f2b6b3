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

// serve answers every connection with answer, which is given the request's id.
func serve(t *testing.T, answer func(id string, w io.Writer)) *Client {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			connection, err := l.Accept()
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
	return New(l.Addr().String())
}

func head(id string, w io.Writer) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\n", HeaderRequestID, id)
}

func event(w io.Writer, kind, id string, index int) {
	_, _ = fmt.Fprintf(w, "data: {\"type\":%q,\"requestID\":%q,\"index\":%d}\n\n", kind, id, index)
}

func generate(c *Client, firstLimit time.Duration) (tokens int, err error) {
	err = c.Generate(context.Background(), &GenerateRequest{RequestID: "own"}, firstLimit, func(e *Event) error {
		if e.Type == "token" {
			tokens++
		}
		return nil
	})
	return tokens, err
}

// TestLongPrefillIsNotSilence lets the engine compute a prompt for longer than it
// may be silent between tokens.
func TestLongPrefillIsNotSilence(t *testing.T) {
	c := serve(t, func(id string, w io.Writer) {
		head(id, w)
		event(w, "admitted", id, 0)
		<-time.After(200 * time.Millisecond)
		event(w, "token", id, 0)
		event(w, "end", id, 1)
	})
	c.progress = 50 * time.Millisecond
	tokens, err := generate(c, 10*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, tokens, 1)
	_, err = generate(c, 0)
	assert.ErrorIs(t, err, ErrExchangeFailed)
}

// TestSilenceBetweenTokensIsNoticed lets the connection go silent for good.
func TestSilenceBetweenTokensIsNoticed(t *testing.T) {
	released := make(chan struct{})
	defer close(released)
	c := serve(t, func(id string, w io.Writer) {
		head(id, w)
		event(w, "token", id, 0)
		<-released
	})
	c.progress = 50 * time.Millisecond
	tokens, err := generate(c, 10*time.Second)
	assert.ErrorIs(t, err, ErrExchangeFailed)
	assert.Equal(t, tokens, 1)
}

// TestAnswersOfOthersAreRefused covers crossed heads, crossed events and answers
// that end early.
func TestAnswersOfOthersAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(id string, w io.Writer)
		want   error
	}{
		"crossed head":  {func(_ string, w io.Writer) { head("other", w) }, ErrAnswerMismatch},
		"crossed event": {func(id string, w io.Writer) { head(id, w); event(w, "token", "other", 0) }, ErrAnswerMismatch},
		"early end":     {func(id string, w io.Writer) { head(id, w); event(w, "token", id, 0) }, ErrExchangeFailed},
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

// TestCancelEndsAtOnce checks that a cancelled request does not wait for the
// engine's next token.
func TestCancelEndsAtOnce(t *testing.T) {
	released := make(chan struct{})
	defer close(released)
	c := serve(t, func(id string, w io.Writer) {
		head(id, w)
		event(w, "token", id, 0)
		<-released
	})
	ctx, cancel := context.WithCancel(context.Background())
	err := c.Generate(ctx, &GenerateRequest{RequestID: "own"}, time.Minute, func(*Event) error {
		cancel()
		return nil
	})
	assert.ErrorIs(t, err, context.Canceled)
}
