package verifier

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
)

const (
	// maxChunkLineBytes bounds a chunk-size line.
	maxChunkLineBytes = 4 << 10
	// maxOverheadBytes bounds the accumulated length of chunk-size lines in excess of allowedOverhead plus twice the
	// size of each chunk.
	maxOverheadBytes, allowedOverhead = 16 << 10, 16
	// lineEnd terminates the data of a chunk.
	lineEnd = "\r\n"
)

// ChunkedReader decodes a chunked body and validates its framing. It stops after the last chunk, before the trailer.
type ChunkedReader struct {
	reader *bufio.Reader
	// remaining is the number of bytes left in the chunk. endsChunk is set until the line end after the chunk is read.
	remaining uint64
	endsChunk bool
	// overhead is the accumulated excess length of chunk-size lines.
	overhead int
	// err is the result of all further reads.
	err error
}

// NewChunkedReader returns a reader of the chunked body that begins at the next byte of reader.
func NewChunkedReader(reader *bufio.Reader) *ChunkedReader { return &ChunkedReader{reader: reader} }

// Read implements io.Reader. It returns available data without waiting for the next chunk.
func (r *ChunkedReader) Read(p []byte) (int, error) {
	if len(p) == 0 || r.err != nil {
		return 0, r.err
	}
	if r.remaining == 0 {
		if r.err = r.beginChunk(); r.err != nil {
			return 0, r.err
		}
	}
	n, err := r.reader.Read(p[:min(uint64(len(p)), r.remaining)])
	r.remaining -= uint64(n)
	r.endsChunk = r.remaining == 0
	if err != nil {
		r.err = incomplete(err, true)
	}
	return n, r.err
}

// beginChunk reads the end of the previous chunk and the next chunk-size line. It returns io.EOF for the last chunk.
func (r *ChunkedReader) beginChunk() error {
	if r.endsChunk {
		end, err := r.reader.Peek(len(lineEnd))
		if err != nil {
			return fmt.Errorf("read end of chunk: %w", incomplete(err, true))
		}
		if string(end) != lineEnd {
			return fmt.Errorf("%w: %q behind a chunk", ErrMalformed, end)
		}
		_, _ = r.reader.Discard(len(lineEnd))
		r.endsChunk = false
	}
	line, err := r.reader.ReadSlice('\n')
	if err != nil {
		return fmt.Errorf("read size of chunk: %w", incomplete(err, true))
	}
	if r.remaining, err = parseChunkLine(line[:len(line)-1]); err != nil {
		return err
	}
	if r.remaining == 0 {
		return io.EOF
	}
	r.overhead += len(line) - allowedOverhead
	r.overhead = max(0, r.overhead-2*int(min(r.remaining, maxOverheadBytes)))
	if len(line) > maxChunkLineBytes || r.overhead > maxOverheadBytes {
		return fmt.Errorf("%w: lines of chunks", ErrTooLarge)
	}
	return nil
}

// chunkScanner validates the framing and the trailer of a chunked body incrementally.
type chunkScanner struct {
	// remaining is the number of bytes left in the chunk. endsChunk is set until the line end after the chunk is scanned.
	remaining uint64
	endsChunk bool
	// inTrailer is set after the last chunk, done after the trailer.
	inTrailer, done bool
	// line holds an incomplete line.
	line []byte
}

// scan scans the next bytes.
func (s *chunkScanner) scan(p []byte) error {
	for len(p) > 0 && !s.done {
		if s.remaining > 0 {
			n := min(uint64(len(p)), s.remaining)
			p, s.remaining = p[n:], s.remaining-n
			continue
		}
		part, rest, whole := bytes.Cut(p, []byte{'\n'})
		if len(s.line)+len(part) > maxChunkLineBytes {
			return fmt.Errorf("%w: line among chunks", ErrTooLarge)
		}
		s.line = append(s.line, part...)
		if !whole {
			return nil
		}
		if err := s.scanLine(s.line); err != nil {
			return err
		}
		p, s.line = rest, s.line[:0]
	}
	return nil
}

// scanLine scans a line without its line feed.
func (s *chunkScanner) scanLine(line []byte) error {
	isEmpty := string(line) == "\r"
	switch {
	case s.inTrailer && isEmpty:
		s.done = true
	case s.inTrailer:
		if _, err := parseField(line); err != nil {
			return fmt.Errorf("check trailer: %w", err)
		}
	case s.endsChunk && !isEmpty:
		return fmt.Errorf("%w: %.64q behind a chunk", ErrMalformed, line)
	case s.endsChunk:
		s.endsChunk = false
	default:
		size, err := parseChunkLine(line)
		if err != nil {
			return err
		}
		s.remaining, s.endsChunk, s.inTrailer = size, size > 0, size == 0
	}
	return nil
}

// parseChunkLine returns the size in a chunk-size line without its line feed.
func parseChunkLine(line []byte) (uint64, error) {
	text, found := bytes.CutSuffix(line, []byte{'\r'})
	digits, extensions := text, []byte(nil)
	if i := bytes.IndexAny(text, "; \t"); i >= 0 {
		digits, extensions = text[:i], text[i:]
	}
	size, err := strconv.ParseUint(string(digits), 16, 63)
	if err != nil || !found || !areExtensions(extensions) {
		return 0, fmt.Errorf("%w: size of chunk %.64q", ErrMalformed, line)
	}
	return size, nil
}

// areExtensions reports whether text is a possibly empty sequence of chunk extensions.
func areExtensions(text []byte) bool {
	for len(text) > 0 {
		var ok bool
		if text, ok = cutSeparator(text, ';'); !ok {
			return false
		}
		if text, ok = cutToken(text); !ok {
			return false
		}
		rest, ok := cutSeparator(text, '=')
		if !ok {
			continue
		}
		if text, ok = cutToken(rest); ok {
			continue
		}
		if text, ok = cutQuoted(rest); !ok {
			return false
		}
	}
	return true
}

// cutSeparator removes a leading separator and the blanks around it.
func cutSeparator(text []byte, separator byte) ([]byte, bool) {
	rest := bytes.TrimLeft(text, " \t")
	if len(rest) == 0 || rest[0] != separator {
		return text, false
	}
	return bytes.TrimLeft(rest[1:], " \t"), true
}

// cutToken removes a leading token.
func cutToken(text []byte) ([]byte, bool) {
	n := 0
	for n < len(text) && tokenCharacters[text[n]] {
		n++
	}
	return text[n:], n > 0
}

// cutQuoted removes a leading quoted string.
func cutQuoted(text []byte) ([]byte, bool) {
	if len(text) == 0 || text[0] != '"' {
		return text, false
	}
	for i := 1; i < len(text); i++ {
		switch {
		case text[i] == '"':
			return text[i+1:], isText(text[1:i])
		case text[i] == '\\':
			i++
		}
	}
	return text, false
}
