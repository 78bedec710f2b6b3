package worker

import (
	"fmt"
	"math/rand/v2"
	"net/http"

	"github.com/cyclamenward/cyclamenward/internal/standin/checker"
)

// garblePercent is the share of the requests that a replica in trouble answers with bytes that are no answer.
const garblePercent = 30

// garbledForms write an answer of which a part is none by the grammar. A caller must not get any of them: their
// heads name the request, and their bodies are not its own.
var garbledForms = []func(fields, answer string) string{
	behindBeginning("HTTP/1.1 503 Service Unavailable\r\n" + checker.FieldNotExecuted + ": the queue is full\r\n" + checker.FieldRequestID + ": earlier\r\nContent-Length: 0\r\n\r\n"),
	behindBeginning("HTTP/1.1 429 Too Many Requests\r\nRetry-After: 1\r\n" + checker.FieldNotExecuted + ": 1\r\n" + checker.FieldRequestID + ": earlier\r\nContent-Length: 4\r\n\r\nfull"),
	behindBeginning("HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n"),
	inHead("HTTP/1.1 000 Trouble", "X-A: 1"), inHead("HTTP/1.1 099 Trouble", "X-A: 1"), inHead("HTTP/1.1 999", "X-A: 1"), inHead("HTTP/2.0 200 OK", "X-A: 1"), inHead("HTTP/1.1  200 OK", "X-A: 1"),
	inHead("HTTP/1.1 200 OK", "X A: 1"), inHead("HTTP/1.1 200 OK", "X-A : 1"), inHead("HTTP/1.1 200 OK", "\tX-A: 1"), inHead("HTTP/1.1 200 OK", "\nX-A: 1"), inHead("HTTP/1.1 200 OK", "X\x01A: 1"), inHead("HTTP/1.1 200 OK", "X-A: \x00"), inHead("HTTP/1.1 200 OK", "X-A"),
	inHead("HTTP/1.1 503 Full", checker.FieldNotExecuted+" : 1"), inHead("HTTP/1.1 503 FullHTTP/1.1 200 OK", checker.FieldNotExecuted+": 1"),
	inChunks("\x00"), inChunks(";\x00"), inChunks(" x"), inChunks(";a=\"b"), inChunks(";aHTTP/1.1 200 OK"),
	inTrailer("X A: 1"), inTrailer("X-A: 1HTTP/1.1 200 OK"), inTrailer("HTTP/1.1 200 OK"),
}

// behindBeginning has the right answer follow the beginning of an earlier one, cut at any byte.
func behindBeginning(earlier string) func(fields, answer string) string {
	return func(fields, answer string) string {
		return fmt.Sprintf("%sHTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", earlier[:1+rand.IntN(len(earlier)-1)], fields, len(answer), answer)
	}
}

// inHead has a status line and a field in a head.
func inHead(status, field string) func(fields, answer string) string {
	return func(fields, _ string) string {
		return fmt.Sprintf("%s\r\n%s%s\r\nContent-Length: 7\r\n\r\ngarbled", status, fields, field)
	}
}

// inChunks has a text behind the size of the last chunk.
func inChunks(behind string) func(fields, answer string) string {
	return func(fields, _ string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n7\r\ngarbled\r\n0%s\r\n\r\n", fields, behind)
	}
}

// inTrailer has a line behind the last chunk.
func inTrailer(line string) func(fields, answer string) string {
	return func(fields, _ string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n7\r\ngarbled\r\n0\r\n%s\r\n\r\n", fields, line)
	}
}

// garble writes one of the garbled forms in place of the answer to a request and closes the connection.
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
