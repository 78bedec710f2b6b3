package exchanger

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/wire/answerer"
	"gotest.tools/v3/assert"
)

// answering returns a connection to a server that answers one request with the given bytes.
func answering(text string) net.Conn {
	client, server := net.Pipe()
	go answerer.Answer(server, text)
	return client
}

// answerOf returns the answer of a server that sends the given bytes.
func answerOf(text string) (*Answer, error) {
	client := newClient("server:80", 0, Limits{MaxAnswerBytes: testLimit}, func() (net.Conn, error) { return answering(text), nil })
	defer client.http.CloseIdleConnections()
	return client.Do(time.Now().Add(5*time.Second), Request{Method: http.MethodGet, Path: "/"})
}

// TestAnswersWithInvalidStatusAreNoAnswers guards against an answer of a faulty server with status 000 that
// counts as a 200, such as that to an order.
func TestAnswersWithInvalidStatusAreNoAnswers(t *testing.T) {
	for _, status := range answerer.InvalidStatuses {
		answer, err := answerOf("HTTP/1.1 " + status + " Trouble\r\nContent-Length: 2\r\n\r\n{}")
		assert.Check(t, err != nil, "%s: %v", status, answer)
	}
}

// TestAnswersWithMalformedFieldNamesAreNoAnswers guards against an answer in whose head the name of a field has a
// blank or a control character.
func TestAnswersWithMalformedFieldNamesAreNoAnswers(t *testing.T) {
	for _, field := range answerer.MalformedFields {
		answer, err := answerOf("HTTP/1.1 200 OK\r\nX-B: 1\r\n" + field + "\r\nContent-Length: 2\r\n\r\n{}")
		assert.Check(t, err != nil, "%q: %v", field, answer)
	}
}

// TestAnswersBehindCutAnswersAreNotJoinedToThem guards against a truncated answer that is read as one head with the
// answer that follows it.
func TestAnswersBehindCutAnswersAreNotJoinedToThem(t *testing.T) {
	for _, head := range answerer.NestedHeads {
		answer, err := answerOf(head + "\r\nContent-Length: 2\r\n\r\n{}")
		assert.Check(t, err != nil, "%q: %v", head, answer)
	}
}

// TestAnswersWithMalformedChunksAreNoAnswers guards against a chunked body that counts as complete although its last
// chunk or its trailer is malformed.
func TestAnswersWithMalformedChunksAreNoAnswers(t *testing.T) {
	for _, end := range answerer.MalformedChunkEnds {
		answer, err := answerOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n" + end)
		assert.Check(t, err != nil, "%q: %v", end, answer)
	}
}
