package hosts

import (
	"testing"

	"github.com/cyclamenward/cyclamenward/internal/wire/answerer"
	"gotest.tools/v3/assert"
)

// TestAnswersWithInvalidStatusAreNoAnswers guards against an answer of a faulty platform with status 000 that
// counts as a 200.
func TestAnswersWithInvalidStatusAreNoAnswers(t *testing.T) {
	for _, status := range answerer.InvalidStatuses {
		address := answerer.ServeOnce(t, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 2\r\n\r\n[]")
		got, err := New(address).List()
		assert.Check(t, err != nil, "%s: %v", status, got)
	}
}

// TestAnswersWithMalformedFieldNamesAreNoAnswers guards against an answer in whose head the name of a field has a
// blank or a control character.
func TestAnswersWithMalformedFieldNamesAreNoAnswers(t *testing.T) {
	for _, field := range answerer.MalformedFields {
		address := answerer.ServeOnce(t, "HTTP/1.1 200 OK\r\nX-B: 1\r\n"+field+"\r\nContent-Length: 2\r\n\r\n[]")
		got, err := New(address).List()
		assert.Check(t, err != nil, "%q: %v", field, got)
	}
}

// TestAnswersBehindCutAnswersAreNotJoinedToThem guards against a truncated answer that is read as one head with the
// answer that follows it.
func TestAnswersBehindCutAnswersAreNotJoinedToThem(t *testing.T) {
	for _, head := range answerer.NestedHeads {
		got, err := New(answerer.ServeOnce(t, head+"\r\nContent-Length: 2\r\n\r\n[]")).List()
		assert.Check(t, err != nil, "%q: %v", head, got)
	}
}

// TestAnswersWithMalformedChunksAreNoAnswers guards against a chunked body that counts as complete although its last
// chunk or its trailer is malformed.
func TestAnswersWithMalformedChunksAreNoAnswers(t *testing.T) {
	for _, end := range answerer.MalformedChunkEnds {
		got, err := New(answerer.ServeOnce(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n[]\r\n"+end)).List()
		assert.Check(t, err != nil, "%q: %v", end, got)
	}
}
