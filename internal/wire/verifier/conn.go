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

// Conn is a connection to a server whose answers a library reads: it yields the bytes of a head only
// once the whole head conforms to the grammar, and those of a body in chunks only if the lines among them
// do. One goroutine at a time may use it, but for Close.
type Conn struct {
	net.Conn
	// awaitsHead is set from a write until the head of the final answer to it has been checked.
	awaitsHead bool
	// received holds bytes that were read ahead. The first checked of them may be returned.
	received []byte
	checked  int
	// chunks scans the body if it is sent in chunks; nil if it is not.
	chunks *chunkScanner
}

// NewConn returns a connection that checks the answers on another one.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Dial opens a TCP connection to a server and returns it as NewConn does.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(address, timeout)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return NewConn(conn), nil
}

// Write implements net.Conn. It fails if bytes have arrived behind the answer before.
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

// checkHead checks the next head. What has arrived behind that of a final answer may be returned, too.
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

// scanBody scans bytes behind the head.
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
