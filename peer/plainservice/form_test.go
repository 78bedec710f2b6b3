package plainservice

import (
	"errors"
	"net"
	"testing"
	"time"

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
	for _, status := range []string{"000", "099", "600", "999"} {
		answer, err := answerOf("HTTP/1.1 " + status + " Trouble\r\nContent-Length: 6\r\n\r\nbooked")
		assert.ErrorIs(t, err, ErrUnknownOutcome, "%s: %v", status, answer)
	}
}

// TestAnswersWithMalformedFieldNamesAreNoAnswers guards against an answer in whose head the name of a field has a
// blank or a control character: its caller got what follows that line as the body.
func TestAnswersWithMalformedFieldNamesAreNoAnswers(t *testing.T) {
	for _, field := range []string{"X A: 1", "X-A : 1", "Content-Length : 1", " X-A: 1", "\tX-A: 1", "\nX-A: 1", "\nContent-Length: 1", "X\x01A: 1"} {
		answer, err := answerOf("HTTP/1.1 200 OK\r\nX-B: 1\r\n" + field + "\r\nContent-Length: 6\r\n\r\nbooked")
		assert.Check(t, errors.Is(err, ErrUnknownOutcome), "%q: %v", field, answer)
	}
}

// TestAnswersBehindCutAnswersAreNotJoinedToThem guards against the beginning of an answer that is read as one head
// with the answer behind it.
func TestAnswersBehindCutAnswersAreNotJoinedToThem(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OHTTP/1.1 503 Full", "HTTP/1.1 200 HTTP/1.1 503 Full", "HTTP/1.1 200 OK\r\nX-B: 1HTTP/1.1 503 Full", "HTTP/1.1 103 EarlyHTTP/1.1 200 OK"} {
		answer, err := answerOf(head + "\r\nContent-Length: 6\r\n\r\nbooked")
		assert.Check(t, errors.Is(err, ErrUnknownOutcome), "%q: %v", head, answer)
	}
}

// TestAnswersWithMalformedChunksAreNoAnswers guards against a body in chunks that counts as whole with the beginning of
// the next answer, or with lines that are no chunks.
func TestAnswersWithMalformedChunksAreNoAnswers(t *testing.T) {
	for _, end := range []string{"000HTTP/1.1 200 OK\r\nX-B: 1\r\n\r\n", "0;aHTTP/1.1 200 OK\r\n\r\n", "0x\r\n\r\n", "0\r\nX A: 1\r\n\r\n", "0\r\nX-A: 1HTTP/1.1 200 OK\r\n\r\n"} {
		answer, err := answerOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nbooked\r\n" + end)
		assert.Check(t, errors.Is(err, ErrUnknownOutcome), "%q: %v", end, answer)
	}
}
