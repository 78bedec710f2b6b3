// Package verifier validates the heads, chunks and trailers of HTTP/1.1 answers (RFC 9112). HTTP libraries accept
// malformed ones, and heads that are joined from the parts of two answers.
package verifier

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
)

var faults = errorx.NewNamespace("verifier")

// Errors of a head.
var (
	// ErrMalformed means that bytes violate the grammar of HTTP/1.1.
	ErrMalformed = faults.NewType("malformed").New("no answer by the grammar of HTTP/1.1")
	// ErrNested means that a head contains a second status line. It may consist of a truncated head and the complete
	// head that follows it.
	ErrNested = faults.NewType("nested").New("status line within the head of an answer")
	// ErrTooLarge means that a head is larger than the buffer for it.
	ErrTooLarge = faults.NewType("tooLarge").New("head of an answer is too large")
)

const (
	// minStatus and maxStatus bound valid status codes (RFC 9110, section 15).
	minStatus, maxStatus = 100, 599
	// versionPrefix is the prefix of every status line.
	versionPrefix = "HTTP/1."
)

// ReadHead reads the head of an answer, if it conforms to the grammar. It returns io.EOF only if
// the connection ends before the first byte.
func ReadHead(reader *bufio.Reader, header *fasthttp.ResponseHeader) error {
	err := await(reader, func(received []byte) (int, error) {
		head, err := scanHead(received)
		return head.length, err
	})
	if err != nil {
		return fmt.Errorf("check head: %w", err)
	}
	if err := header.Read(reader); err != nil {
		return fmt.Errorf("parse head: %w", err)
	}
	return nil
}

// ReadTrailer reads the trailer of a chunked body, if it conforms to the grammar.
func ReadTrailer(reader *bufio.Reader, header *fasthttp.ResponseHeader) error {
	err := await(reader, func(received []byte) (int, error) {
		length, _, err := scanFields(received, true)
		return length, err
	})
	if err != nil {
		return fmt.Errorf("check trailer: %w", err)
	}
	if err := header.ReadTrailer(reader); err != nil {
		return fmt.Errorf("parse trailer: %w", err)
	}
	return nil
}

// await reads until scan finds a complete section in the buffered bytes.
func await(reader *bufio.Reader, scan func(received []byte) (length int, err error)) error {
	for n := 1; ; {
		if _, err := reader.Peek(n); err != nil {
			return incomplete(err, reader.Buffered() > 0)
		}
		received, err := reader.Peek(reader.Buffered())
		if err != nil {
			return err
		}
		if length, err := scan(received); err != nil || length > 0 {
			return err
		}
		n = len(received) + 1
	}
}

// incomplete returns the error of a read that ended within a section. partial is set if a part of it has arrived.
func incomplete(err error, partial bool) error {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return ErrTooLarge
	case errors.Is(err, io.EOF) && partial:
		return io.ErrUnexpectedEOF
	}
	return err
}

// head holds the properties of a head.
type head struct {
	// length is 0 if the head is incomplete.
	length, status int
	// encoded is set if the body has a transfer encoding.
	encoded bool
}

// scanHead scans the head that received begins with. It returns ErrMalformed or ErrNested as soon as that is certain.
func scanHead(received []byte) (head, error) {
	line, rest, whole := bytes.Cut(received, []byte{'\n'})
	if !whole {
		return head{}, checkBeginning(line)
	}
	status, err := parseStatusLine(line)
	if err != nil {
		return head{}, err
	}
	length, encoded, err := scanFields(rest, line[len(versionPrefix)] != '0')
	if length > 0 {
		length += len(received) - len(rest)
	}
	return head{length, status, encoded}, err
}

// scanFields returns the length of the fields that received begins with, including the empty line that ends them, or 0
// if they are incomplete. mayEncode is set if the body may have a transfer encoding, encoded if it has one. It returns
// ErrMalformed or ErrNested as soon as that is certain.
func scanFields(received []byte, mayEncode bool) (length int, encoded bool, err error) {
	rest := received
	for {
		line, after, whole := bytes.Cut(rest, []byte{'\n'})
		if !whole {
			return 0, encoded, nil
		}
		rest = after
		if string(line) == "\r" {
			return len(received) - len(rest), encoded, nil
		}
		name, err := parseField(line)
		if err != nil {
			return 0, encoded, err
		}
		if bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)) {
			if !mayEncode {
				return 0, encoded, fmt.Errorf("%w: field %.64q", ErrMalformed, line)
			}
			encoded = true
		}
	}
}

// parseField returns the name of a field in a line without its line feed.
func parseField(line []byte) ([]byte, error) {
	// Obsolete line folding (RFC 9112, section 5.2) is refused: a folded line begins with a blank.
	text, found := bytes.CutSuffix(line, []byte{'\r'})
	name, value, hasValue := bytes.Cut(text, []byte{':'})
	if !found || !hasValue || !isToken(name) || !isText(value) {
		return nil, fmt.Errorf("%w: field %.64q", ErrMalformed, line)
	}
	if holdsStatusLine(value) {
		return nil, fmt.Errorf("%w: field %.64q", ErrNested, line)
	}
	return name, nil
}

// tokenCharacters holds the characters of tokens, such as field names.
var tokenCharacters = func() (set [256]bool) {
	const others = "!#$%&'*+-.^_`|~"
	for c := range set {
		set[c] = c >= '0' && c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z' || strings.IndexByte(others, byte(c)) >= 0
	}
	return set
}()

// isToken reports whether text is a token.
func isToken(text []byte) bool {
	for _, c := range text {
		if !tokenCharacters[c] {
			return false
		}
	}
	return len(text) > 0
}

// checkBeginning checks the beginning of a status line.
func checkBeginning(line []byte) error {
	n := min(len(line), len(versionPrefix))
	if string(line[:n]) != versionPrefix[:n] {
		return fmt.Errorf("%w: it begins with %q", ErrMalformed, line[:n])
	}
	return nil
}

// parseStatusLine returns the status code of a status line without its line feed.
func parseStatusLine(line []byte) (int, error) {
	text, found := bytes.CutSuffix(line, []byte{'\r'})
	status, reason := splitStatusLine(text)
	if !found || status == 0 || !isText(reason) {
		return 0, fmt.Errorf("%w: status line %.64q", ErrMalformed, line)
	}
	if holdsStatusLine(reason) {
		return 0, fmt.Errorf("%w: status line %.64q", ErrNested, line)
	}
	return status, nil
}

// splitStatusLine returns the status and the reason in a status line without its line end, or a status of 0 if text is
// not a status line. The space before an empty reason is optional, since many servers omit it.
func splitStatusLine(text []byte) (status int, reason []byte) {
	version, rest, _ := bytes.Cut(text, []byte{' '})
	code, reason, _ := bytes.Cut(rest, []byte{' '})
	status = parseStatus(code)
	if string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0" || status < minStatus || status > maxStatus {
		return 0, nil
	}
	return status, reason
}

// holdsStatusLine reports whether a status line begins anywhere in text.
func holdsStatusLine(text []byte) bool {
	for {
		i := bytes.Index(text, []byte(versionPrefix))
		if i < 0 {
			return false
		}
		if status, _ := splitStatusLine(text[i:]); status != 0 {
			return true
		}
		text = text[i+len(versionPrefix):]
	}
}

// parseStatus returns the number of three digits, 0 for anything else.
func parseStatus(code []byte) int {
	if len(code) != 3 {
		return 0
	}
	status := 0
	for _, digit := range code {
		if digit < '0' || digit > '9' {
			return 0
		}
		status = 10*status + int(digit-'0')
	}
	return status
}

// isText reports whether text has no control characters except tabs.
func isText(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
