package verifier

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// chunkedHead is the head of an answer in chunks.
const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// assertRefused checks that a library does not receive a complete answer if its chunked body is malformed.
func assertRefused(t *testing.T, body string) {
	t.Helper()
	text := chunkedHead + body
	for _, reader := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
		got, err := readChecked(reader)
		assert.Assert(t, errors.Is(err, ErrMalformed) || errors.Is(err, ErrNested), "%q: %q, %v", text, got, err)
		assert.Assert(t, len(got) < len(text), "%q: %q", text, got)
	}
}

// readChunks returns a body in chunks that arrives in one piece, and byte by byte.
func readChunks(t *testing.T, text string) (string, error) {
	t.Helper()
	body, err := io.ReadAll(NewChunkedReader(bufio.NewReaderSize(strings.NewReader(text), 2*maxChunkLineBytes)))
	slowBody, slowErr := io.ReadAll(NewChunkedReader(bufio.NewReader(iotest.OneByteReader(strings.NewReader(text)))))
	assert.Equal(t, err == nil, slowErr == nil, "%q: %v, %v", text, err, slowErr)
	assert.Equal(t, string(body), string(slowBody), "%q", text)
	return string(body), err
}

// TestMalformedChunksAreNoBody guards against bodies that count as complete although their framing is malformed, such as
// a truncated chunk-size line that the status line of the next answer follows.
func TestMalformedChunksAreNoBody(t *testing.T) {
	for _, line := range []string{
		"", " ", "6 ", "6\t", " 6", "g", "+6", "-6", "0x6", "6_0", "6\r", "6\r\r", "ffffffffffffffff", "10000000000000000", "6HTTP/1.1 200 OK", "0HTTP/1.1 200 OK", "6;aHTTP/1.1 200 OK", "0;a=bHTTP/1.1 200 OK",
		"6;", "6;;a", "6;=b", "6;a=", "6;a b", "6;a=b c", "6;a=\"b", "6;a=\"b\"c", "6;a=\"b\\\"", "6;\x00", "6;a\x00", "6;a=\"\x00\"", "6;a=\"\\\x7f\"", "6;a ", "6;(a)", "6;a=\"b\\",
	} {
		for _, text := range []string{line + "\r\nbooked\r\n0\r\n", "3\r\nabc\r\n" + line + "\r\nbooked\r\n0\r\n"} {
			body, err := readChunks(t, text)
			assert.ErrorIs(t, err, ErrMalformed, "%q: %q", text, body)
			assertRefused(t, text+"\r\n")
		}
	}
	for _, text := range []string{"6\nbooked\r\n0\r\n", "6\r\nbooked\n0\r\n", "6\r\nbooked0\r\n", "6\r\nbookedx\r\n0\r\n", "6\r\nbooked\r\n0\n"} {
		body, err := readChunks(t, text)
		assert.ErrorIs(t, err, ErrMalformed, "%q: %q", text, body)
		assertRefused(t, text+"\r\n")
	}
	for _, field := range append(malformedFields, nestedLines...) {
		if field != "\n" {
			assertRefused(t, "6\r\nbooked\r\n0\r\n"+field+"\r\n\r\n")
		}
	}
}

// TestSoundChunksPass has lines of all forms that the grammar allows.
func TestSoundChunksPass(t *testing.T) {
	for _, line := range []string{"6", "06", "0000000000000000000006", "6;a", "6;a=b", "6 ; a = b", "6;a;b=c", "6;a=\"b\"", "6;a=\"\"", "6\t;a=\"\\\"; \xfc\"\t;b", "6;!#$%&'*+-.^_`|~09=1"} {
		for _, last := range []string{"0", "00", "0;a", "0 ;a=\"b\""} {
			text := "A\r\n0123456789\r\n" + line + "\r\nbooked\r\n" + last + "\r\n"
			body, err := readChunks(t, text)
			assert.NilError(t, err, "%q", text)
			assert.Equal(t, body, "0123456789booked")
			for _, trailer := range []string{"\r\n", "X-Sum: 1\r\nX-A: \xfc\r\n\r\n"} {
				answer := chunkedHead + text + trailer
				for _, reader := range []io.Reader{strings.NewReader(answer), iotest.OneByteReader(strings.NewReader(answer))} {
					got, err := readChecked(reader)
					assert.NilError(t, err, "%q", answer)
					assert.Equal(t, got, answer)
				}
			}
			for cut := range len(text) {
				_, err := readChunks(t, text[:cut])
				assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "%q", text[:cut])
			}
		}
	}
}

// TestChunksAreDeliveredAsTheyArrive guards against a chunk that is held back until the next one arrives.
func TestChunksAreDeliveredAsTheyArrive(t *testing.T) {
	client, server := net.Pipe()
	defer func() { _, _ = client.Close(), server.Close() }()
	reader := NewChunkedReader(bufio.NewReader(client))
	read := make(chan struct{})
	go func() {
		for _, part := range []string{"3\r\nabc", "\r\n3\r\nabc", "\r\n3\r\nabc"} {
			_, _ = io.WriteString(server, part)
			<-read
		}
	}()
	for range 3 {
		body := make([]byte, 16)
		n, err := reader.Read(body)
		assert.NilError(t, err)
		assert.Equal(t, string(body[:n]), "abc")
		read <- struct{}{}
	}
}

// TestChunkLinesAreBounded checks the limits of single chunk-size lines and of their total length.
func TestChunkLinesAreBounded(t *testing.T) {
	long := "1;" + strings.Repeat("a", 1<<10) + "\r\nb\r\n"
	_, err := readChunks(t, strings.Repeat(long, 8)+"0\r\n")
	assert.NilError(t, err)
	_, err = readChunks(t, strings.Repeat(long, 32)+"0\r\n")
	assert.ErrorIs(t, err, ErrTooLarge)
	tooLong := "1;" + strings.Repeat("a", maxChunkLineBytes) + "\r\nb\r\n0\r\n"
	_, err = readChunks(t, tooLong)
	assert.ErrorIs(t, err, ErrTooLarge)
	_, err = readChecked(strings.NewReader(chunkedHead + tooLong + "\r\n"))
	assert.ErrorIs(t, err, ErrTooLarge)
}

// TestAnswerAfterOneWithoutItsBodyIsWhole guards against an answer that is refused because the previous answer on the
// connection, to a HEAD request, announced a chunked body.
func TestAnswerAfterOneWithoutItsBodyIsWhole(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\n" + fields + "o\n"
	server := &serverConn{unread: strings.NewReader(chunkedHead)}
	conn := NewConn(server)
	for _, want := range []string{chunkedHead, answer, chunkedHead + "0\r\n\r\n", answer} {
		server.unread = strings.NewReader(want)
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\n\r\n")
		assert.NilError(t, err)
		got, err := io.ReadAll(conn)
		assert.NilError(t, err)
		assert.Equal(t, string(got), want)
	}
}
