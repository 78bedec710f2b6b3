package plainservice

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/wire/answerer"
	"github.com/cyclamenward/cyclamenward/peer/exchanger"
	"gotest.tools/v3/assert"
)

// answerOf returns the answer of a service that sends the given bytes.
func answerOf(text string) (*Answer, error) {
	c := New("192.0.2.1:80", exchanger.Memory{})
	c.dial = func(string) (net.Conn, error) { return &cutConn{unread: text}, nil }
	return c.Do(&Call{RequestID: "r", Method: "POST", Path: "/", Timeout: time.Second})
}

// TestAnswersWithInvalidStatusAreNoAnswers guards against an answer of a faulty service with status 000 that
// its caller gets as a 200.
func TestAnswersWithInvalidStatusAreNoAnswers(t *testing.T) {
	for _, status := range answerer.InvalidStatuses {
		answer, err := answerOf("HTTP/1.1 " + status + " Trouble\r\nContent-Length: 6\r\n\r\nbooked")
		assert.ErrorIs(t, err, ErrUnknownOutcome, "%s: %v", status, answer)
	}
}

// TestAnswersWithMalformedFieldNamesAreNoAnswers guards against an answer in whose head the name of a field has a
// blank or a control character: its caller got what follows that line as the body.
func TestAnswersWithMalformedFieldNamesAreNoAnswers(t *testing.T) {
	for _, field := range answerer.MalformedFields {
		answer, err := answerOf("HTTP/1.1 200 OK\r\nX-B: 1\r\n" + field + "\r\nContent-Length: 6\r\n\r\nbooked")
		assert.Check(t, errors.Is(err, ErrUnknownOutcome), "%q: %v", field, answer)
	}
}

// TestAnswersBehindCutAnswersAreNotJoinedToThem guards against a truncated answer that is read as one head with the
// answer that follows it.
func TestAnswersBehindCutAnswersAreNotJoinedToThem(t *testing.T) {
	for _, head := range answerer.NestedHeads {
		answer, err := answerOf(head + "\r\nContent-Length: 6\r\n\r\nbooked")
		assert.Check(t, errors.Is(err, ErrUnknownOutcome), "%q: %v", head, answer)
	}
}

// TestAnswersWithMalformedChunksAreNoAnswers guards against a chunked body that counts as complete although its last
// chunk or its trailer is malformed.
func TestAnswersWithMalformedChunksAreNoAnswers(t *testing.T) {
	for _, end := range answerer.MalformedChunkEnds {
		answer, err := answerOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nbooked\r\n" + end)
		assert.Check(t, errors.Is(err, ErrUnknownOutcome), "%q: %v", end, answer)
	}
}
