package reserver

import (
	"fmt"
	"io"
	"sync"
)

// writeBytes is how much of a body is written at once, so that a client that does not read makes
// the writer wait.
const writeBytes = 64 << 10

// Body is the body of an answer that takes memory until it is closed. The HTTP library closes it
// once it is written or the connection has ended.
type Body struct {
	unread  []byte
	release func()
	once    sync.Once
}

// NewBody returns a body that calls release when it is closed for the first time.
func NewBody(body []byte, release func()) *Body { return &Body{unread: body, release: release} }

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if len(b.unread) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// WriteTo implements io.WriterTo.
func (b *Body) WriteTo(w io.Writer) (written int64, err error) {
	for len(b.unread) > 0 {
		n, err := w.Write(b.unread[:min(writeBytes, len(b.unread))])
		written += int64(n)
		b.unread = b.unread[n:]
		if err != nil {
			return written, fmt.Errorf("write body: %w", err)
		}
	}
	return written, nil
}

// Close implements io.Closer.
func (b *Body) Close() error {
	b.once.Do(b.release)
	return nil
}
