package verifier

import (
	"bufio"
	"io"
	"net"
	"regexp"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// fields end a head.
const fields = "Content-Length: 2\r\nX-A: 1\r\n\r\n"

// malformedStatusLines are no status lines by the grammar.
var malformedStatusLines = []string{
	"HTTP/1.1 000 Trouble", "HTTP/1.1 099 Trouble", "HTTP/1.1 600 Trouble", "HTTP/1.1 999", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK",
	"HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 OK\r", "HTTP/1.1 200 OK\x7f",
	"HTTP/1.2 200 OK", "HTTP/2.0 200 OK", "HTTP/9.9 200 OK", "HTTP/1.1", "http/1.1 200 OK", " HTTP/1.1 200 OK", "\r\nHTTP/1.1 200 OK", "ICY 200 OK", "garbage", "",
}

// soundStatusLines are status lines by the grammar, or lack the space before an empty reason.
var soundStatusLines = []string{"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 503 Service Unavailable", "HTTP/1.1 599 \t\xfcber", "HTTP/1.1 226  two  spaces"}

// readHead reads a head that arrives in one piece, and byte by byte.
func readHead(t *testing.T, head string) (*fasthttp.ResponseHeader, error) {
	t.Helper()
	var header, slowHeader fasthttp.ResponseHeader
	err := ReadHead(bufio.NewReader(strings.NewReader(head)), &header)
	slowErr := ReadHead(bufio.NewReader(iotest.OneByteReader(strings.NewReader(head))), &slowHeader)
	assert.Equal(t, err == nil, slowErr == nil, "%q: %v, %v", head, err, slowErr)
	return &header, err
}

// serverConn is a connection on which the server's bytes have arrived.
type serverConn struct {
	net.Conn
	unread io.Reader
}

func (c *serverConn) Read(p []byte) (int, error) { return c.unread.Read(p) }

func (c *serverConn) Write(p []byte) (int, error) { return len(p), nil }

// readChecked returns what a library reads on a Conn after a request.
func readChecked(answer io.Reader) (string, error) {
	conn := NewConn(&serverConn{unread: answer})
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\n\r\n"); err != nil {
		return "", err
	}
	got, err := io.ReadAll(conn)
	return string(got), err
}

// TestMalformedStatusLinesAreNoAnswers guards against answers with a status such as 000, which the library
// takes for a 200.
func TestMalformedStatusLinesAreNoAnswers(t *testing.T) {
	for _, line := range malformedStatusLines {
		for _, before := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
			text := before + line + "\r\n" + fields + "ok"
			got, err := readChecked(strings.NewReader(text))
			assert.ErrorIs(t, err, ErrMalformed, "%q: %q", text, got)
			assert.Equal(t, got, "", "%q", text)
		}
		_, err := readHead(t, line+"\r\n"+fields)
		assert.ErrorIs(t, err, ErrMalformed, "%q", line)
	}
	for _, line := range soundStatusLines {
		_, err := readHead(t, line+"\r\n"+fields)
		assert.NilError(t, err, "%q", line)
		text := "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + line + "\r\n" + fields + "ok"
		for _, reader := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
			got, err := readChecked(reader)
			assert.NilError(t, err, "%q", line)
			assert.Equal(t, got, text)
		}
	}
}

// malformedFields are no fields by the grammar, or of forms that may be refused.
var malformedFields = func() []string {
	fields := []string{": 1", "X-A", "X-A : 1", "X A: 1", " X-A: 1", "\tX-A: 1", "X-A\t: 1", "Content-Length : 1", " Content-Length: 1", "\nX-A: 1", "X-A: 1\n", "X-A: 1\nX-B: 2", "X-A: 1\r", "\n", "X-\xfc: 1", "X(A): 1"}
	for c := range byte(' ') {
		fields = append(fields, "X"+string(c)+"A: 1", string(c)+"X-A: 1", "X-A"+string(c)+": 1", string(c)+"Content-Length: 1")
		if c != '\t' {
			fields = append(fields, "X-A: 1"+string(c)+"2")
		}
	}
	return append(fields, "X\x7fA: 1", "X-A: \x7f")
}()

// TestMalformedFieldsAreNoAnswers guards against heads in which the name of a field has a blank or a control
// character: the library passes such a line on, takes its length for the real one, or takes what follows for the
// body.
func TestMalformedFieldsAreNoAnswers(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	for _, field := range malformedFields {
		for _, head := range []string{status + field + "\r\n" + fields, status + "X-B: 1\r\n" + field + "\r\n" + fields, status + "X-B: 1\r\n" + field + "\r\n\r\n"} {
			_, err := readHead(t, head)
			assert.ErrorIs(t, err, ErrMalformed, "%q", head)
			for _, text := range []string{head + "ok", "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\n" + status + fields + "ok"} {
				got, err := readChecked(strings.NewReader(text))
				assert.ErrorIs(t, err, ErrMalformed, "%q: %q", text, got)
				assert.Equal(t, got, "", "%q", text)
			}
		}
		var trailer fasthttp.ResponseHeader
		assert.ErrorIs(t, ReadTrailer(bufio.NewReader(strings.NewReader(field+"\r\n\r\n")), &trailer), ErrMalformed, "%q", field)
	}
	_, err := readHead(t, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	assert.ErrorIs(t, err, ErrMalformed)
}

// nestedLines end with the status line of another answer.
var nestedLines = []string{
	"X-A: the queHTTP/1.1 200 OK", "X-A: HTTP/1.1 200 OK", "X-A:HTTP/1.0 503 ", "X-A: 1HTTP/1.1 200", "X-A: HTTP/1.HTTP/1.1 200 OK", "X-A: HTTP/1.1 HTTP/1.1 200 OK",
	"X-A: HTTP/1.1 200 OHTTP/1.1 200 OK", "X-A: 1HTTP/1.1 100 Continue", "X-A: 1HTTP/1.1 599 a b",
}

// TestHeadsWithinHeadsAreNoAnswers guards against a head truncated at any byte that is read as one with the head that
// follows it.
func TestHeadsWithinHeadsAreNoAnswers(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	for _, line := range nestedLines {
		heads := []string{
			status + line + "\r\n" + fields, status + "X-B: 1\r\n" + line + "\r\n" + fields, "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + fields,
			"HTTP/1.1 503" + strings.TrimPrefix(line, "X-A:") + "\r\n" + fields, "HTTP/1.1 503 Service" + strings.TrimPrefix(line, "X-A: ") + "\r\n" + fields,
		}
		for _, head := range heads {
			if strings.HasPrefix(head, "HTTP/1.1 503H") {
				// The space after the status is missing.
				continue
			}
			_, err := readHead(t, head)
			assert.ErrorIs(t, err, ErrNested, "%q", head)
			got, err := readChecked(strings.NewReader(head + "ok"))
			assert.ErrorIs(t, err, ErrNested, "%q: %q", head, got)
			assert.Equal(t, got, "", "%q", head)
		}
		var trailer fasthttp.ResponseHeader
		assert.ErrorIs(t, ReadTrailer(bufio.NewReader(strings.NewReader(line+"\r\n\r\n")), &trailer), ErrNested, "%q", line)
	}
}

// TestSoundFieldsPass has fields of all forms that the grammar allows.
func TestSoundFieldsPass(t *testing.T) {
	for _, field := range []string{
		"X-A:", "X-A:1", "x-a:\t 1 \t", "!#$%&'*+-.^_`|~09: \xfc \"(,/:;<=>?@[\\]{}", "X-A: a\tb", "X-Cookie: a=b; c", "1: 2",
		"Via: 1.1 a, HTTP/1.1 b", "Upgrade: HTTP/2.0, HTTP/1.1", "X-A: HTTP/1.1 2000 OK", "X-A: HTTP/1.1 20", "X-A: HTTP/1.2 200 OK", "X-A: HTTP/1.1  200", "X-A: HTTP/2 200 OK", "X-A: HTTP/1.",
	} {
		header, err := readHead(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n"+fields)
		assert.NilError(t, err, "%q", field)
		assert.Equal(t, header.ContentLength(), 2)
		var trailer fasthttp.ResponseHeader
		assert.NilError(t, ReadTrailer(bufio.NewReader(strings.NewReader(field+"\r\n\r\n")), &trailer), "%q", field)
	}
}

// TestGarbageFailsBeforeItsEnd guards against a wait for the end of a head that is none.
func TestGarbageFailsBeforeItsEnd(t *testing.T) {
	for _, text := range []string{"g", "HTTP/2", "HTTP/1.1 000 Trouble\r\n"} {
		client, server := net.Pipe()
		go func() { _, _ = io.WriteString(server, text) }()
		_ = client.SetReadDeadline(time.Now().Add(5 * time.Second))
		var header fasthttp.ResponseHeader
		assert.ErrorIs(t, ReadHead(bufio.NewReader(client), &header), ErrMalformed, "%q", text)
		_, _ = client.Close(), server.Close()
	}
}

// TestCutHeadsAreNoAnswers cuts a head at each byte.
func TestCutHeadsAreNoAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + fields
	for cut := range len(head) {
		var header fasthttp.ResponseHeader
		want := io.ErrUnexpectedEOF
		if cut == 0 {
			want = io.EOF
		}
		assert.ErrorIs(t, ReadHead(bufio.NewReader(strings.NewReader(head[:cut])), &header), want)
		_, err := readChecked(strings.NewReader(head[:cut]))
		assert.Equal(t, err == nil, cut == 0, "cut at %d: %v", cut, err)
	}
}

// TestLargeHeadsAreRefused sends fields without end.
func TestLargeHeadsAreRefused(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: 1\r\n", 4<<10)
	_, err := readHead(t, text)
	assert.ErrorIs(t, err, ErrTooLarge)
	_, err = readChecked(strings.NewReader(text))
	assert.ErrorIs(t, err, ErrTooLarge)
}

// TestBytesBehindAnAnswerEndTheConnection guards against a second answer that is taken for that to the next
// request on a kept connection.
func TestBytesBehindAnAnswerEndTheConnection(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\n" + fields + "ok"
	conn := NewConn(&serverConn{unread: strings.NewReader(answer + answer)})
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\n\r\n")
	assert.NilError(t, err)
	_, err = io.ReadFull(conn, make([]byte, len(answer)))
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\n\r\n")
	assert.ErrorIs(t, err, ErrMalformed)
}

// latin1 returns the bytes of s as the characters with these numbers.
func latin1(s string) string {
	var text strings.Builder
	for i := range len(s) {
		text.WriteRune(rune(s[i]))
	}
	return text.String()
}

// FuzzHead has a head read by the library only if it conforms to the grammar, whole and byte by byte alike.
func FuzzHead(f *testing.F) {
	for _, line := range append(malformedStatusLines, soundStatusLines...) {
		f.Add(line + "\r\n" + fields)
	}
	for _, field := range malformedFields {
		f.Add("HTTP/1.1 200 OK\r\n" + field + "\r\n" + fields)
	}
	for _, line := range nestedLines {
		f.Add("HTTP/1.1 200 OK\r\n" + line + "\r\n" + fields)
		f.Add("HTTP/1.1 200 " + line + "\r\n" + fields)
	}
	nested := regexp.MustCompile(`.HTTP/1\.[01] [1-5][0-9]{2}[ \r]`)
	model := regexp.MustCompile(`^(?s:HTTP/1\.[01] [1-5][0-9]{2}(?: [\t -~\x{80}-\x{ff}]*)?\r\n(?:[-!#$%&'*+.^_\x60|~0-9A-Za-z]+:[\t -~\x{80}-\x{ff}]*\r\n)*\r\n)`)
	f.Fuzz(func(t *testing.T, head string) {
		header, err := readHead(t, head)
		if err == nil {
			status := header.StatusCode()
			assert.Assert(t, status >= minStatus && status <= maxStatus, "%q", head)
			text := model.FindString(latin1(head))
			assert.Assert(t, text != "", "%q", head)
			assert.Assert(t, !nested.MatchString(text), "%q", head)
		}
	})
}
