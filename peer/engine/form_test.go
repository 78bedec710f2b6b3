package engine

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/wire/answerer"
	"gotest.tools/v3/assert"
)

// streamAfter answers a request with a head, whose format has the ID of the request, and a stream of one token.
func streamAfter(format string) func(id string, w io.Writer) {
	return func(id string, w io.Writer) {
		_, _ = fmt.Fprintf(w, format+"\r\nConnection: close\r\n\r\n", HeaderRequestID+": "+id)
		writeEvent(w, "token", id, 0)
		writeEvent(w, "end", id, 1)
	}
}

// TestAnswersWithInvalidStatusAreNoAnswers guards against an answer of a faulty engine with status 000 that
// counts as a 200.
func TestAnswersWithInvalidStatusAreNoAnswers(t *testing.T) {
	for _, status := range answerer.InvalidStatuses {
		tokens, err := generate(serve(t, streamAfter("HTTP/1.1 "+status+" Trouble\r\n%s")), time.Second)
		assert.ErrorIs(t, err, ErrExchangeFailed, "%s: %d tokens", status, tokens)
	}
}

// TestAnswersWithMalformedFieldNamesAreNoAnswers guards against an answer in whose head the name of a field has a
// blank or a control character.
func TestAnswersWithMalformedFieldNamesAreNoAnswers(t *testing.T) {
	for _, field := range answerer.MalformedFields {
		tokens, err := generate(serve(t, streamAfter("HTTP/1.1 200 OK\r\n%s\r\n"+field)), time.Second)
		assert.Check(t, errors.Is(err, ErrExchangeFailed), "%q: %d tokens, %v", field, tokens, err)
	}
}

// TestAnswersBehindCutAnswersAreNotJoinedToThem guards against a truncated answer that is read as one head with the
// answer that follows it.
func TestAnswersBehindCutAnswersAreNotJoinedToThem(t *testing.T) {
	for _, head := range answerer.NestedHeads {
		tokens, err := generate(serve(t, streamAfter(head+"\r\n%s")), time.Second)
		assert.Check(t, errors.Is(err, ErrExchangeFailed), "%q: %d tokens, %v", head, tokens, err)
	}
}
