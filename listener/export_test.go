package listener

import (
	"errors"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// MaxRefused is how many connections beyond the limit may be open.
const MaxRefused = maxRefused

// StallLoop stops the event loop of a connection, as on a machine that gives the process no
// processor time, until resume is called. It returns once the loop stands still.
func StallLoop(c net.Conn) (resume func()) {
	stalled, resumed := make(chan struct{}), make(chan struct{})
	_ = c.(*conn).raw.Wake(func(gnet.Conn, error) error {
		close(stalled)
		<-resumed
		return nil
	})
	<-stalled
	return func() { close(resumed) }
}

// CloseArrived reports whether the kernel has the client's close or reset behind all data that was
// read.
func CloseArrived(c net.Conn) bool {
	var peeked [1]byte
	n, _, err := unix.Recvfrom(c.(*conn).raw.Fd(), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
}

// NewOn returns a listener that accepts from a socket.
func NewOn(socket net.Listener) (*Listener, error) { return newListener(socket, 1<<20) }

// SetNow sets the clock by which connections wait for requests.
func SetNow(l *Listener, now func() time.Time) {
	l.limiter.mu.Lock()
	defer l.limiter.mu.Unlock()
	l.limiter.now = now
}

// Idle returns the number of connections that wait for a request.
func Idle(l *Listener) int {
	l.limiter.mu.Lock()
	defer l.limiter.mu.Unlock()
	return l.limiter.idle.Len()
}

// Refused returns the number of open connections beyond the limit.
func Refused(l *Listener) int {
	l.limiter.mu.Lock()
	defer l.limiter.mu.Unlock()
	return l.limiter.refused
}

// Detached returns the number of connections that are off the event loop.
func Detached(l *Listener) int {
	count := 0
	l.detached.Range(func(any, any) bool {
		count++
		return true
	})
	return count
}

// Pending returns the number of open connections that wait for Accept.
func Pending(l *Listener) int { return len(l.pending) }

// Unread returns the number of received bytes of a connection that the server has not read.
func Unread(c net.Conn) int { return c.(*conn).unread() }
