package replica

import (
	"io"
	"testing"

	"github.com/cyclamenward/cyclamenward/internal/wire/verifier"
	"gotest.tools/v3/assert"
)

// TestAnswersWithInvalidStatusAreNoAnswers guards against an answer of a faulty replica with status 000 that
// its caller gets as a 200, and against statuses beyond 599.
func TestAnswersWithInvalidStatusAreNoAnswers(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		text := "HTTP/1.1 " + status + " Trouble\r\n" + idField + ": r\r\nContent-Length: 6\r\n\r\nbooked"
		for _, before := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\n" + idField + ": earlier\r\nContent-Length: 0\r\n\r\n"} {
			got, err := readCut(before+text, 1<<10, io.EOF)
			assert.Check(t, err != nil, "%q: %q", before+text, got)
			assert.ErrorIs(t, err, verifier.ErrMalformed)
			assert.ErrorIs(t, err, ErrExchangeFailed)
		}
	}
}

// TestAnswersWithMalformedFieldNamesAreNoAnswers guards against an answer in whose head the name of a field has a
// blank or a control character: its caller got the line, or what follows it as the body.
func TestAnswersWithMalformedFieldNamesAreNoAnswers(t *testing.T) {
	const fields = "\r\n" + idField + ": r\r\n"
	for _, field := range []string{"X A: 1", "X-A : 1", "Content-Length : 1", " X-A: 1", "\tX-A: 1", "\nX-A: 1", "\nContent-Length: 1", "X\x01A: 1"} {
		for _, text := range []string{
			"HTTP/1.1 200 OK" + fields + field + "\r\nContent-Length: 6\r\n\r\nbooked",
			"HTTP/1.1 200 OK" + fields + field + "\r\n\r\nbooked",
			"HTTP/1.1 103 Early Hints\r\nX-B: 1\r\n" + field + "\r\n\r\nHTTP/1.1 200 OK" + fields + "Content-Length: 6\r\n\r\nbooked",
			"HTTP/1.1 200 OK" + fields + "Transfer-Encoding: chunked\r\n\r\n" + encodeChunk("booked") + "0\r\nX-B: 1\r\n" + field + "\r\n\r\n",
		} {
			got, err := readCut(text, 1<<10, io.EOF)
			assert.Check(t, err != nil, "%q: %q", text, got)
		}
	}
}
