package listener

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minAcceptPause and maxAcceptPause bound the pause after accept has failed. It doubles with each
	// failure.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 100 * time.Millisecond
	// declinedAge is how long a failure to accept and a refusal count: several of the longest pauses.
	declinedAge = time.Second
)

// RetryListener is a socket whose Accept fails only once the socket is closed. A process that lacks descriptors or
// memory has them again once connections have ended.
type RetryListener struct {
	net.Listener
	// onFailure is called with each error of accept.
	onFailure func(error)
}

// NewRetryListener returns a socket that accepts from another one.
func NewRetryListener(socket net.Listener, onFailure func(error)) *RetryListener {
	return &RetryListener{Listener: socket, onFailure: onFailure}
}

// Accept implements net.Listener.
func (p *RetryListener) Accept() (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		accepted, err := p.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return accepted, err
		}
		p.onFailure(err)
		time.Sleep(pause)
	}
}

// OnAcceptFailed has f called for the first of each series of failures to accept a connection.
func (l *Listener) OnAcceptFailed(f func(error)) { l.onAcceptFailed.Store(&f) }

// Accepting reports whether clients can connect: the listener is not closed, and within the last second none was
// refused and accept has not failed.
func (l *Listener) Accepting() bool {
	declinedAt := l.declinedAt.Load()
	return !l.isClosed() && (declinedAt == nil || time.Since(*declinedAt) >= declinedAge)
}

// acceptAll hands connections to the event loops until the socket is closed.
func (l *Listener) acceptAll() {
	for {
		l.awaitCapacity()
		accepted, err := l.socket.Accept()
		if err != nil {
			return
		}
		if err := l.enroll(accepted); err != nil {
			l.recordAcceptFailure(err)
		}
	}
}

// awaitDescriptor waits until a connection can be duplicated, which an event loop does to take it over. The client of
// one that had to be closed for lack of a descriptor would lose its request.
func (l *Listener) awaitDescriptor(accepted net.Conn) error {
	socket, err := accepted.(syscall.Conn).SyscallConn()
	if err != nil {
		return fmt.Errorf("socket of a connection: %w", err)
	}
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		var duplicated int
		var duplicateErr error
		if err := socket.Control(func(fd uintptr) { duplicated, duplicateErr = unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, 0) }); err != nil {
			return fmt.Errorf("duplicate a connection: %w", err)
		}
		if duplicateErr == nil {
			return unix.Close(duplicated)
		}
		l.recordAcceptFailure(duplicateErr)
		if l.isClosed() {
			return fmt.Errorf("duplicate a connection: %w", duplicateErr)
		}
		time.Sleep(pause)
	}
}

// recordAcceptFailure records that a connection could not be accepted.
func (l *Listener) recordAcceptFailure(err error) {
	isFirst := l.Accepting()
	l.recordDeclined()
	if f := l.onAcceptFailed.Load(); f != nil && isFirst {
		(*f)(err)
	}
}

// recordDeclined records that a client could not connect or was refused.
func (l *Listener) recordDeclined() {
	now := time.Now()
	l.declinedAt.Store(&now)
}
