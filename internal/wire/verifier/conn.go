package verifier

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// readBytes is the size of a read within a head.
	readBytes = 4 << 10
	// maxHeadBytes bounds a head.
	maxHeadBytes = 8 << 10
)

// Conn validates the answers that an HTTP library reads from a connection: it returns the bytes of a head once the
// complete head is valid, and those of a chunked body as far as its framing is valid. It is not safe for concurrent use,
// except for Close.
type Conn struct {
	net.Conn
	// awaitsHead is set from a write until the head of its final answer is valid.
	awaitsHead bool
	// received holds bytes that were read ahead. The first checked bytes of it may be returned.
	received []byte
	checked  int
	// chunks scans the body if it is chunked, else it is nil.
	chunks *chunkScanner
}

// NewConn returns a Conn that reads from conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Dial opens a TCP connection to a server and returns it as NewConn does.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(address, timeout)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return NewConn(conn), nil
}

// Write implements net.Conn. It fails if excess bytes have arrived after the previous answer.
func (c *Conn) Write(p []byte) (int, error) {
	if len(c.received) > 0 {
		return 0, fmt.Errorf("%w: %d bytes behind an answer", ErrMalformed, len(c.received))
	}
	c.awaitsHead, c.chunks = true, nil
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	for c.awaitsHead {
		if err := c.checkHead(); err != nil {
			return 0, err
		}
	}
	if c.checked == 0 {
		n, err := c.Conn.Read(p)
		if err := c.scanBody(p[:n]); err != nil {
			return 0, err
		}
		return n, err
	}
	n := copy(p, c.received[:c.checked])
	c.received, c.checked = c.received[n:], c.checked-n
	return n, nil
}

// checkHead scans the next head, reading more of it if it is incomplete. The bytes received after a final head may be
// returned with it.
func (c *Conn) checkHead() error {
	head, err := scanHead(c.received[c.checked:])
	switch {
	case err != nil:
		return err
	case head.length == 0:
		return c.receive()
	case head.status < fasthttp.StatusOK && head.status != fasthttp.StatusSwitchingProtocols:
		c.checked += head.length
		return nil
	}
	if head.encoded {
		c.chunks = &chunkScanner{}
	}
	if err := c.scanBody(c.received[c.checked+head.length:]); err != nil {
		return err
	}
	c.awaitsHead, c.checked = false, len(c.received)
	return nil
}

// scanBody scans the next bytes of the body.
func (c *Conn) scanBody(p []byte) error {
	if c.chunks == nil {
		return nil
	}
	return c.chunks.scan(p)
}

// receive reads more of a head.
func (c *Conn) receive() error {
	if len(c.received) >= maxHeadBytes {
		return ErrTooLarge
	}
	length := len(c.received)
	c.received = slices.Grow(c.received, readBytes)
	n, err := c.Conn.Read(c.received[length:cap(c.received)])
	c.received = c.received[:length+n]
	if n > 0 {
		// The error comes again with the next read.
		return nil
	}
	if err == nil {
		return errors.New("read returned nothing")
	}
	return incomplete(err, length > 0)
}
