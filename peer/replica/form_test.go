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
