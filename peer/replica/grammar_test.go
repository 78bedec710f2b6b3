package replica

import (
	"io"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The grammar of RFC 9112. A byte that is part of no character counts as one.
const (
	tokenForm = "[-!#$%&'*+.^_\x60|~0-9A-Za-z]+"
	fieldForm = tokenForm + `:[\t -~\x{80}-\x{10ffff}]*\r\n`
)

var (
	headForm    = regexp.MustCompile(`^HTTP/1\.[01] ([1-5][0-9]{2})(?: [\t -~\x{80}-\x{10ffff}]*)?\r\n((?:` + fieldForm + `)*)\r\n`)
	trailerForm = regexp.MustCompile(`^(?:` + fieldForm + `)*\r\n`)
	chunkForm   = regexp.MustCompile(`^([0-9A-Fa-f]+)(?:[\t ]*;[\t ]*` + tokenForm + `(?:[\t ]*=[\t ]*(?:` + tokenForm + `|"(?:[\t !#-\[\]-~\x{80}-\x{10ffff}]|\\[\t -~\x{80}-\x{10ffff}])*"))?)*\r\n`)
	nestedForm  = regexp.MustCompile(`.HTTP/1\.[01] [1-5][0-9]{2}[ \r]`)
)

// modelHead is a head as the grammar has it.
type modelHead struct {
	status int
	// id is the first one, "" if there is none.
	id string
	// length is -1 if there is none.
	length  int
	chunked bool
}

// parseModelHead returns the head that text begins with, and what follows it.
func parseModelHead(text string) (head modelHead, rest string, ok bool) {
	match := headForm.FindStringSubmatch(text)
	if match == nil || nestedForm.MatchString(match[0]) {
		return head, "", false
	}
	head.status, _ = strconv.Atoi(match[1])
	head.length = -1
	named := false
	for line := range strings.SplitSeq(strings.TrimSuffix(match[2], "\r\n"), "\r\n") {
		name, value, _ := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		switch strings.ToLower(name) {
		case strings.ToLower(idField):
			if !named {
				head.id, named = value, true
			}
		case "content-length":
			length, err := strconv.ParseUint(value, 10, 31)
			if err != nil || head.length >= 0 || strings.HasPrefix(value, "+") {
				return head, "", false
			}
			head.length = int(length)
		case "transfer-encoding":
			if head.chunked || !strings.EqualFold(value, "chunked") || strings.HasPrefix(text, "HTTP/1.0") {
				return head, "", false
			}
			head.chunked = true
		}
	}
	return head, text[len(match[0]):], true
}

// parseModelChunks returns a body in chunks that text begins with.
func parseModelChunks(text string) (string, bool) {
	body := ""
	for {
		match := chunkForm.FindStringSubmatch(text)
		if match == nil {
			return "", false
		}
		text = text[len(match[0]):]
		size, err := strconv.ParseUint(match[1], 16, 31)
		if err != nil {
			return "", false
		}
		if size == 0 {
			trailer := trailerForm.FindString(text)
			return body, trailer != "" && !nestedForm.MatchString(trailer)
		}
		if uint64(len(text)) < size+2 || text[size:size+2] != "\r\n" {
			return "", false
		}
		body, text = body+text[:size], text[size+2:]
	}
}

// parseModelAnswer returns the answer to the request "r" among the bytes that a server sends before it ends the
// connection, by a plain reading of the grammar.
func parseModelAnswer(text string) (status int, body string, ok bool) {
	for stale, interim := 0, 0; ; {
		head, rest, ok := parseModelHead(text)
		switch {
		case !ok:
			return 0, "", false
		case head.status < 200 && head.status != 101:
			if interim++; interim > maxInterimAnswers {
				return 0, "", false
			}
			text = rest
			continue
		case head.id == "r":
			body, ok := parseModelBody(&head, rest)
			return head.status, body, ok
		}
		if stale++; head.id == "" || stale > maxStaleAnswers || head.chunked || head.length < 0 || head.length > min(len(rest), maxStaleBodyBytes) {
			return 0, "", false
		}
		text, interim = rest[head.length:], 0
	}
}

// parseModelBody returns the body that follows a head.
func parseModelBody(head *modelHead, rest string) (string, bool) {
	switch {
	case head.status == 204 || head.status == 304:
		return "", true
	case head.chunked:
		return parseModelChunks(rest)
	case head.length < 0:
		return rest, true
	}
	if head.length > len(rest) {
		return "", false
	}
	return rest[:head.length], true
}

// checkExchange compares what a caller gets of the bytes that a server sends with the model.
func checkExchange(t *testing.T, text string) {
	t.Helper()
	wantStatus, wantBody, sound := parseModelAnswer(text)
	for _, atOnce := range []int{1, len(text) + 1} {
		status, body, err := exchangeCut(text, atOnce, io.EOF)
		assert.Equal(t, err == nil, sound, "%q: %v", text, err)
		if err == nil {
			assert.Equal(t, status, wantStatus, "%q", text)
			assert.Equal(t, string(body), wantBody, "%q", text)
		}
	}
}

// soundParts are complete parts of answers. A sequence of them may form an answer.
var soundParts = []string{
	"HTTP/1.1 200 OK\r\n", "HTTP/1.1 503 Service Unavailable\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 204\r\n", "HTTP/1.1 304 Not Modified\r\n", "HTTP/1.1 103 Early Hints\r\n", "HTTP/1.1 100 \r\n",
	idField + ": r\r\n", "x-test-id:r \r\n", idField + ": earlier\r\n", "Content-Length: 6\r\n", "Content-Length:0\r\n", "Transfer-Encoding: chunked\r\n", "X-A: b; c=\"d\"\r\n", "X-\xfc: 1\r\n", "X-A: \xfc\r\n",
	"\r\n", "booked", "6\r\nbooked\r\n", "3;a=\"b\\\"c\";d\r\nabc\r\n", "0\r\n", "0;a\r\n", "00\r\n", "X-Sum: 1\r\n",
	"HTTP/1.1 200 OK\r\n" + idField + ": r\r\nContent-Length: 6\r\n\r\nbooked",
	"HTTP/1.1 200 OK\r\n" + idField + ": r\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nbooked\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\n" + idField + ": r\r\nTransfer-Encoding: chunked\r\n\r\n6;a=b\r\nbooked\r\n0;c\r\nX-Sum: 1\r\n\r\n",
	"HTTP/1.1 503 Full\r\n" + idField + ": earlier\r\nContent-Length: 4\r\n\r\nfull",
	"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
}

// drawAnswer returns the bytes of a faulty server: parts of answers, some of them truncated or with one byte changed or
// missing.
func drawAnswer(random *rand.Rand) string {
	var text strings.Builder
	for range 1 + random.IntN(9) {
		part := soundParts[random.IntN(len(soundParts))]
		at := random.IntN(len(part))
		switch random.IntN(12) {
		case 0:
			part = part[:at]
		case 1:
			part = part[at:]
		case 2:
			part = part[:at] + part[at+1:]
		case 3:
			const others = "\x00\t\n\r :;\"\\,0aH\x7f\xfc"
			part = part[:at] + string(others[random.IntN(len(others))]) + part[at+1:]
		}
		text.WriteString(part)
	}
	return text.String()
}

// TestDrawnAnswersAreReadByTheGrammar guards against bytes that are taken for an answer, or for the body of one, which
// they are not by the grammar, and against sound answers that are refused.
func TestDrawnAnswersAreReadByTheGrammar(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	sound := 0
	for range 40_000 {
		text := drawAnswer(random)
		checkExchange(t, text)
		if _, _, ok := parseModelAnswer(text); ok {
			sound++
		}
	}
	assert.Assert(t, sound > 2_000, "%d sound answers", sound)
}

// FuzzExchange compares what a caller gets with a plain reading of the grammar.
func FuzzExchange(f *testing.F) {
	for _, part := range soundParts {
		f.Add(part)
	}
	for seed := range uint64(200) {
		f.Add(drawAnswer(rand.New(rand.NewPCG(seed, 3))))
	}
	f.Fuzz(checkExchange)
}
