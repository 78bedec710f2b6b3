package replica

import (
	"errors"
	"io"
	"testing"

	"github.com/cyclamenward/cyclamenward/internal/wire/answerer"
	"github.com/cyclamenward/cyclamenward/internal/wire/verifier"
	"gotest.tools/v3/assert"
)

// TestAnswersWithInvalidStatusAreNoAnswers guards against an answer of a faulty replica with status 000 that
// its caller gets as a 200, and against statuses beyond 599.
func TestAnswersWithInvalidStatusAreNoAnswers(t *testing.T) {
	for _, status := range answerer.InvalidStatuses {
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
	for _, field := range answerer.MalformedFields {
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

// nestedHeads consist of a truncated head and a second status line.
var nestedHeads = []string{
	"HTTP/1.1 503 ServiceHTTP/1.1 200 OK\r\n",
	"HTTP/1.1 503 HTTP/1.1 200 OK\r\n",
	"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: the queHTTP/1.1 200 OK\r\n",
	"HTTP/1.1 103 EarlyHTTP/1.1 200\r\n",
}

// TestAnswersBehindCutAnswersAreNotJoinedToThem guards against bookings that have run and are answered 503 with the
// promise that they have not (REFUSED): a replica in trouble wrote the beginning of an earlier refusal before its
// answer, and both were read as one head.
func TestAnswersBehindCutAnswersAreNotJoinedToThem(t *testing.T) {
	const body = "booked"
	answers := []string{
		"HTTP/1.1 200 OK\r\n" + idField + ": r\r\nContent-Length: 6\r\n\r\n" + body,
		"HTTP/1.1 200\r\nContent-Length: 6\r\n" + idField + ": r\r\n\r\n" + body,
		"HTTP/1.0 200 OK\r\n" + idField + ": r\r\n\r\n" + body,
		"HTTP/1.1 200 OK\r\n" + idField + ": r\r\nTransfer-Encoding: chunked\r\n\r\n" + encodeChunk(body) + "0\r\n\r\n",
	}
	refusal := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: the queue is full\r\nRetry-After: 1\r\n"
	for _, earlier := range []string{
		refusal + idField + ": earlier\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 \r\n" + idField + ": earlier\r\nContent-Length: 4\r\nX-Not-Run: full\r\n\r\nfull",
		"HTTP/1.0 429 Too Many Requests\r\n" + idField + ": earlier\r\nX-Not-Run: full\r\nContent-Length: 4\r\n\r\nfull",
		"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n",
	} {
		for _, answer := range answers {
			for cut := range len(earlier) + 1 {
				for _, atOnce := range []int{1, 1 << 10} {
					text := earlier[:cut] + answer
					status, got, err := exchangeCut(text, atOnce, io.EOF)
					if cut == 0 || cut == len(earlier) {
						assert.NilError(t, err, "%q", text)
						assert.Equal(t, status, 200, "%q", text)
						assert.Equal(t, string(got), body, "%q", text)
						continue
					}
					assert.Check(t, errors.Is(err, ErrExchangeFailed), "%q: status %d, %q, %v", text, status, got, err)
				}
			}
		}
	}
	for _, head := range nestedHeads {
		_, _, err := exchangeCut(head+idField+": r\r\nContent-Length: 6\r\n\r\n"+body, 1<<10, io.EOF)
		assert.ErrorIs(t, err, verifier.ErrNested, "%q", head)
	}
}

// TestAnswersInTrailersAreNoPartOfThem guards against an answer whose trailer was cut and counts as whole with the
// beginning of the next one.
func TestAnswersInTrailersAreNoPartOfThem(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\n" + idField + ": r\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, between := range []string{"0\r\n", "0\r\nX-Sum: 1", "0\r\nX-Sum: ", "0\r\nX-Sum: 1\r\n"} {
		got, err := readCut(answer+encodeChunk("booked")+between+answer+"0\r\n\r\n", 1<<10, io.EOF)
		assert.Check(t, errors.Is(err, ErrExchangeFailed), "%q: %q, %v", between, got, err)
	}
}
