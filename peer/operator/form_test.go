package operator

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// serveOnce returns the address of a server that answers one request with the given bytes.
func serveOnce(t *testing.T, text string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = fmt.Fprint(conn, text)
		}
	}()
	return listener.Addr().String()
}

// TestAnswersWithInvalidStatusAreNoAnswers guards against an answer of a faulty entry with status 000 that
// counts as a 200.
func TestAnswersWithInvalidStatusAreNoAnswers(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		address := serveOnce(t, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 2\r\n\r\n{}")
		got, err := New(address, "token").Status()
		assert.Check(t, err != nil, "%s: %v", status, got)
	}
}

// TestAnswersWithMalformedFieldNamesAreNoAnswers guards against an answer in whose head the name of a field has a
// blank or a control character.
func TestAnswersWithMalformedFieldNamesAreNoAnswers(t *testing.T) {
	for _, field := range []string{"X A: 1", "X-A : 1", "Content-Length : 1", " X-A: 1", "\tX-A: 1", "\nX-A: 1", "\nContent-Length: 1", "X\x01A: 1"} {
		address := serveOnce(t, "HTTP/1.1 200 OK\r\nX-B: 1\r\n"+field+"\r\nContent-Length: 2\r\n\r\n{}")
		got, err := New(address, "token").Status()
		assert.Check(t, err != nil, "%q: %v", field, got)
	}
}

// TestAnswersBehindCutAnswersAreNotJoinedToThem guards against the beginning of an answer that is read as one head
// with the answer behind it.
func TestAnswersBehindCutAnswersAreNotJoinedToThem(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OHTTP/1.1 503 Full", "HTTP/1.1 200 HTTP/1.1 503 Full", "HTTP/1.1 200 OK\r\nX-B: 1HTTP/1.1 503 Full", "HTTP/1.1 103 EarlyHTTP/1.1 200 OK"} {
		got, err := New(serveOnce(t, head+"\r\nContent-Length: 2\r\n\r\n{}"), "token").Status()
		assert.Check(t, err != nil, "%q: %v", head, got)
	}
}

// TestAnswersWithMalformedChunksAreNoAnswers guards against a body in chunks that counts as whole with the beginning of
// the next answer, or with lines that are no chunks.
func TestAnswersWithMalformedChunksAreNoAnswers(t *testing.T) {
	for _, end := range []string{"000HTTP/1.1 200 OK\r\nX-B: 1\r\n\r\n", "0;aHTTP/1.1 200 OK\r\n\r\n", "0x\r\n\r\n", "0\r\nX A: 1\r\n\r\n", "0\r\nX-A: 1HTTP/1.1 200 OK\r\n\r\n"} {
		got, err := New(serveOnce(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"+end), "token").Status()
		assert.Check(t, err != nil, "%q: %v", end, got)
	}
}
