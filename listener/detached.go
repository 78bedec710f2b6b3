package listener

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/panjf2000/gnet/v2"
)

const (
	// maxAheadBytes is how many received bytes may wait to be read on a connection before it is
	// taken off the event loop, which reads whatever arrives.
	maxAheadBytes = 128 << 10
	// readChunkBytes is how much is read from a detached connection at once.
	readChunkBytes = 32 << 10
	// lingerTimeout is how long a detached connection is read on after its last answer: a close
	// with bytes left unread would reset it, and the client might lose the answer.
	lingerTimeout = 2 * time.Second
)

// detach takes a connection off the event loop whose client sends ahead of the server. From then
// on it is read at the pace of the server, so that the rest waits in the kernel. It returns
// false if that is not possible now, as answers are on their way through the event loop.
func (l *Listener) detach(raw gnet.Conn, c *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.queuedBytes+c.bufferedBytes > 0 || raw.OutboundBuffered() > 0 {
		return false
	}
	direct, fd, err := duplicate(raw)
	if err != nil {
		return false
	}
	c.direct, c.fd = direct, fd
	l.detached.Store(c, true)
	go func() {
		defer func() {
			l.detached.Delete(c)
			l.conns.Delete(c)
			l.limiter.release(c)
		}()
		c.receive()
	}()
	return true
}

// duplicate returns a connection of its own for the socket of a gnet connection, and its
// descriptor.
func duplicate(raw gnet.Conn) (*net.TCPConn, int, error) {
	duplicated, err := raw.Dup()
	if err != nil {
		return nil, 0, fmt.Errorf("duplicate descriptor: %w", err)
	}
	file := os.NewFile(uintptr(duplicated), "client")
	defer func() { _ = file.Close() }()
	netConn, err := net.FileConn(file)
	if err != nil {
		return nil, 0, fmt.Errorf("connection of descriptor: %w", err)
	}
	direct, ok := netConn.(*net.TCPConn)
	if !ok {
		return nil, 0, errors.Join(errors.New("socket is not of TCP"), netConn.Close())
	}
	socket, err := direct.SyscallConn()
	if err != nil {
		return nil, 0, errors.Join(err, direct.Close())
	}
	fd := -1
	if err := socket.Control(func(descriptor uintptr) { fd = int(descriptor) }); err != nil {
		return nil, 0, errors.Join(err, direct.Close())
	}
	return direct, fd, nil
}

// receive reads a detached connection until it ends, as long as no more than maxAheadBytes wait.
func (c *conn) receive() {
	chunk := make([]byte, readChunkBytes)
	for {
		c.mu.Lock()
		for len(c.inbound) >= maxAheadBytes && !c.ended {
			c.changed.Wait()
		}
		ended := c.ended
		c.mu.Unlock()
		if ended {
			return
		}
		n, err := c.direct.Read(chunk)
		if n > 0 && !c.appendInbound(chunk[:n]) || err != nil {
			c.markEnded()
			return
		}
	}
}

// writeDirect writes to a detached connection.
func (c *conn) writeDirect(p []byte, deadline time.Time) (int, error) {
	if limit := time.Now().Add(writeTimeout); deadline.IsZero() || limit.Before(deadline) {
		deadline = limit
	}
	if err := c.direct.SetWriteDeadline(deadline); err != nil {
		return 0, fmt.Errorf("set deadline: %w", err)
	}
	n, err := c.direct.Write(p)
	if err != nil {
		c.markEnded()
		return n, fmt.Errorf("write: %w", err)
	}
	return n, nil
}

// closeDirect closes a detached connection. What the client still sends is discarded for a while.
func (c *conn) closeDirect() error {
	if err := c.direct.CloseWrite(); err != nil {
		return errors.Join(err, c.direct.Close())
	}
	go func() {
		_ = c.direct.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, c.direct)
		_ = c.direct.Close()
	}()
	return nil
}
