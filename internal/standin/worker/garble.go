package worker

import (
	"fmt"
	"math/rand/v2"
	"net/http"

	"github.com/cyclamenward/cyclamenward/internal/standin/checker"
)

// garblePercent is the share of the requests to which a faulty replica sends a malformed answer.
const garblePercent = 30

// garbledForms hold the kinds of malformed answers. None may reach a caller: all have the ID of the request and a valid
// seal, and most have a body of another request.
var garbledForms = []func(fields, answer string) string{
	afterTruncated("HTTP/1.1 503 Service Unavailable\r\n" + checker.FieldNotExecuted + ": the queue is full\r\n" + checker.FieldRequestID + ": earlier\r\nContent-Length: 0\r\n\r\n"),
	afterTruncated("HTTP/1.1 429 Too Many Requests\r\nRetry-After: 1\r\n" + checker.FieldNotExecuted + ": 1\r\n" + checker.FieldRequestID + ": earlier\r\nContent-Length: 4\r\n\r\nfull"),
	afterTruncated("HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n"),
	inHead("HTTP/1.1 000 Trouble", "X-A: 1"), inHead("HTTP/1.1 099 Trouble", "X-A: 1"), inHead("HTTP/1.1 999", "X-A: 1"), inHead("HTTP/2.0 200 OK", "X-A: 1"), inHead("HTTP/1.1  200 OK", "X-A: 1"),
	inHead("HTTP/1.1 200 OK", "X A: 1"), inHead("HTTP/1.1 200 OK", "X-A : 1"), inHead("HTTP/1.1 200 OK", "\tX-A: 1"), inHead("HTTP/1.1 200 OK", "\nX-A: 1"), inHead("HTTP/1.1 200 OK", "X\x01A: 1"), inHead("HTTP/1.1 200 OK", "X-A: \x00"), inHead("HTTP/1.1 200 OK", "X-A"),
	inHead("HTTP/1.1 503 Full", checker.FieldNotExecuted+" : 1"), inHead("HTTP/1.1 503 FullHTTP/1.1 200 OK", checker.FieldNotExecuted+": 1"),
	inChunks("\x00"), inChunks(";\x00"), inChunks(" x"), inChunks(";a=\"b"), inChunks(";aHTTP/1.1 200 OK"),
	inTrailer("X A: 1"), inTrailer("X-A: 1HTTP/1.1 200 OK"), inTrailer("HTTP/1.1 200 OK"),
}

// afterTruncated returns the valid answer after an earlier one that is truncated at a random byte.
func afterTruncated(earlier string) func(fields, answer string) string {
	return func(fields, answer string) string {
		return fmt.Sprintf("%sHTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", earlier[:1+rand.IntN(len(earlier)-1)], fields, len(answer), answer)
	}
}

// inHead returns an answer with the given status line and field.
func inHead(status, field string) func(fields, answer string) string {
	return func(fields, _ string) string {
		return fmt.Sprintf("%s\r\n%s%s\r\nContent-Length: 7\r\n\r\ngarbled", status, fields, field)
	}
}

// inChunks returns a chunked answer with a suffix after the size of the last chunk.
func inChunks(suffix string) func(fields, answer string) string {
	return func(fields, _ string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n7\r\ngarbled\r\n0%s\r\n\r\n", fields, suffix)
	}
}

// inTrailer returns a chunked answer with the given line in its trailer.
func inTrailer(line string) func(fields, answer string) string {
	return func(fields, _ string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n7\r\ngarbled\r\n0\r\n%s\r\n\r\n", fields, line)
	}
}

// garble sends a malformed answer to a request and closes the connection.
func (w *Worker) garble(out http.ResponseWriter, id string, form int) {
	hijacker, ok := out.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	fields := checker.FieldRequestID + ": " + id + "\r\n" + checker.FieldSeal + ": " + checker.Seal(w.options.ID, id) + "\r\n"
	_, _ = fmt.Fprint(conn, garbledForms[form%len(garbledForms)](fields, checker.AnswerTo(id)))
}
