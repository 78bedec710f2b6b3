package engine

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAnswersWithInvalidStatusAreNoAnswers guards against an answer of a faulty engine with status 000 that
// counts as a 200.
func TestAnswersWithInvalidStatusAreNoAnswers(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		c := serve(t, func(id string, w io.Writer) {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 %s Trouble\r\n%s: %s\r\nConnection: close\r\n\r\n", status, HeaderRequestID, id)
			writeEvent(w, "token", id, 0)
			writeEvent(w, "end", id, 1)
		})
		tokens, err := generate(c, time.Second)
		assert.ErrorIs(t, err, ErrExchangeFailed, "%s: %d tokens", status, tokens)
	}
}

// TestAnswersWithMalformedFieldNamesAreNoAnswers guards against an answer in whose head the name of a field has a
// blank or a control character.
func TestAnswersWithMalformedFieldNamesAreNoAnswers(t *testing.T) {
	for _, field := range []string{"X A: 1", "X-A : 1", "Content-Length : 1", " X-A: 1", "\tX-A: 1", "\nX-A: 1", "\nContent-Length: 1", "X\x01A: 1"} {
		c := serve(t, func(id string, w io.Writer) {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\nConnection: close\r\n\r\n", HeaderRequestID, id, field)
			writeEvent(w, "token", id, 0)
			writeEvent(w, "end", id, 1)
		})
		tokens, err := generate(c, time.Second)
		assert.Check(t, errors.Is(err, ErrExchangeFailed), "%q: %d tokens, %v", field, tokens, err)
	}
}

// TestAnswersBehindCutAnswersAreNotJoinedToThem guards against the beginning of an answer that is read as one head
// with the answer behind it.
func TestAnswersBehindCutAnswersAreNotJoinedToThem(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OHTTP/1.1 503 Full", "HTTP/1.1 200 HTTP/1.1 503 Full", "HTTP/1.1 200 OK\r\nX-B: 1HTTP/1.1 503 Full", "HTTP/1.1 103 EarlyHTTP/1.1 200 OK"} {
		c := serve(t, func(id string, w io.Writer) {
			_, _ = fmt.Fprintf(w, "%s\r\n%s: %s\r\nConnection: close\r\n\r\n", head, HeaderRequestID, id)
			writeEvent(w, "token", id, 0)
			writeEvent(w, "end", id, 1)
		})
		tokens, err := generate(c, time.Second)
		assert.Check(t, errors.Is(err, ErrExchangeFailed), "%q: %d tokens, %v", head, tokens, err)
	}
}
