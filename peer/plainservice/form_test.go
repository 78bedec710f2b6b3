package plainservice

import (
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
