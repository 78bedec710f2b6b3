package exchanger

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// answering returns a connection to a server that answers one request with the given bytes.
func answering(text string) net.Conn {
	client, server := net.Pipe()
	go func() {
		defer func() { _ = server.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
			_, _ = fmt.Fprint(server, text)
		}
	}()
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
	for _, status := range []string{"000", "099", "600", "999"} {
		answer, err := answerOf("HTTP/1.1 " + status + " Trouble\r\nContent-Length: 2\r\n\r\n{}")
		assert.Check(t, err != nil, "%s: %v", status, answer)
	}
}

// TestAnswersWithMalformedFieldNamesAreNoAnswers guards against an answer in whose head the name of a field has a
// blank or a control character.
func TestAnswersWithMalformedFieldNamesAreNoAnswers(t *testing.T) {
	for _, field := range []string{"X A: 1", "X-A : 1", "Content-Length : 1", " X-A: 1", "\tX-A: 1", "\nX-A: 1", "\nContent-Length: 1", "X\x01A: 1"} {
		answer, err := answerOf("HTTP/1.1 200 OK\r\nX-B: 1\r\n" + field + "\r\nContent-Length: 2\r\n\r\n{}")
		assert.Check(t, err != nil, "%q: %v", field, answer)
	}
}

// TestAnswersBehindCutAnswersAreNotJoinedToThem guards against the beginning of an answer that is read as one head
// with the answer behind it.
func TestAnswersBehindCutAnswersAreNotJoinedToThem(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OHTTP/1.1 503 Full", "HTTP/1.1 200 HTTP/1.1 503 Full", "HTTP/1.1 200 OK\r\nX-B: 1HTTP/1.1 503 Full", "HTTP/1.1 103 EarlyHTTP/1.1 200 OK"} {
		answer, err := answerOf(head + "\r\nContent-Length: 2\r\n\r\n{}")
		assert.Check(t, err != nil, "%q: %v", head, answer)
	}
}

// TestAnswersWithMalformedChunksAreNoAnswers guards against a body in chunks that counts as whole with the beginning of
// the next answer, or with lines that are no chunks.
func TestAnswersWithMalformedChunksAreNoAnswers(t *testing.T) {
	for _, end := range []string{"000HTTP/1.1 200 OK\r\nX-B: 1\r\n\r\n", "0;aHTTP/1.1 200 OK\r\n\r\n", "0x\r\n\r\n", "0\r\nX A: 1\r\n\r\n", "0\r\nX-A: 1HTTP/1.1 200 OK\r\n\r\n"} {
		answer, err := answerOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n" + end)
		assert.Check(t, err != nil, "%q: %v", end, answer)
	}
}
