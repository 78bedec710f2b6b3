package listener

import (
	"errors"
	"net"
	"time"
)

const (
	// minAcceptPause and maxAcceptPause bound the pause after accept has failed. It doubles with each
	// failure.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 100 * time.Millisecond
	// acceptFailureAge is how long a failure to accept counts: several of the longest pauses.
	acceptFailureAge = time.Second
)

// Persistent is a socket whose Accept fails only once the socket is closed. A process that lacks descriptors or
// memory has them again once connections have ended.
type Persistent struct {
	net.Listener
	// onFailure is called with each error of accept.
	onFailure func(error)
}

// NewPersistent returns a socket that accepts from another one.
func NewPersistent(socket net.Listener, onFailure func(error)) *Persistent {
	return &Persistent{Listener: socket, onFailure: onFailure}
}

// Accept implements net.Listener.
func (p *Persistent) Accept() (net.Conn, error) {
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

// Accepting reports whether connections are accepted.
func (l *Listener) Accepting() bool {
	failedAt := l.acceptFailedAt.Load()
	return !l.isClosed() && (failedAt == nil || time.Since(*failedAt) >= acceptFailureAge)
}

// acceptAll hands connections to the event loops until the socket is closed.
func (l *Listener) acceptAll() {
	for {
		accepted, err := l.socket.Accept()
		if err != nil {
			return
		}
		// This closes the accepted connection, also if it fails.
		if _, err := l.events.Enroll(accepted); err != nil {
			l.recordAcceptFailure(err)
		}
	}
}

// recordAcceptFailure records that a connection could not be accepted.
func (l *Listener) recordAcceptFailure(err error) {
	isFirst, now := l.Accepting(), time.Now()
	l.acceptFailedAt.Store(&now)
	if f := l.onAcceptFailed.Load(); f != nil && isFirst {
		(*f)(err)
	}
}
