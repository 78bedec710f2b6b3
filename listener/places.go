package listener

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

const (
	// minEvictionAge is how long a connection must have waited for a request to be closed for another:
	// the first request of a new one is in transit.
	minEvictionAge = 500 * time.Millisecond
	// maxEvictionTries bounds the connections that are looked at for one to close.
	maxEvictionTries = 16
	// maxRefused is how many connections beyond the limit may be open to be told so. Further clients wait
	// in the kernel.
	maxRefused = 64
	// refusalTimeout is how long a connection beyond the limit may take to send a request.
	refusalTimeout = time.Second
)

// ConnectionLimit bounds the open connections of a listener.
type ConnectionLimit struct {
	// Connections is how many may be open at once. The one that has waited longest for a request is closed
	// when a client connects beyond it.
	Connections int
	// Refusal is the answer to requests on connections for which none could be closed.
	Refusal []byte
	// OnEvicted is called for each connection that was closed for another, OnRefused for each client that is
	// refused. Either may be nil.
	OnEvicted, OnRefused func()
}

// places holds the connections of a listener that count towards its limit.
type places struct {
	limit atomic.Pointer[ConnectionLimit]
	// now is time.Now.
	now func() time.Time
	// freed is sent, without waiting, when a place or a connection beyond the limit is given up.
	freed chan struct{}

	// mu guards the fields below, and place, idleSince and admitted of all conns. It is locked after their mu.
	mu sync.Mutex
	// open and refused count the connections that have a place and those beyond the limit.
	open, refused int
	// idle holds the connections that wait for a request, the longest waiting first.
	idle list.List
}

// admission is how a connection was admitted.
type admission int

const (
	// notAdmitted connections count nowhere, also if they did before.
	notAdmitted admission = iota
	// placed connections have a place.
	placed
	// refused connections are beyond the limit and closed after their first bytes.
	refused
)

// ticket passes an admission to the event loop, which redeems it for a connection.
type ticket struct {
	admission admission
	refusal   *[]byte
	redeemed  bool
}

// LimitConnections bounds the open connections. Without a limit their number is not bounded.
func (l *Listener) LimitConnections(limit ConnectionLimit) { l.places.limit.Store(&limit) }

// Connections returns the number of open connections that count towards the limit.
func (l *Listener) Connections() int {
	l.places.mu.Lock()
	defer l.places.mu.Unlock()
	return l.places.open
}

// awaitPlace waits until a connection can be admitted or refused, or the listener is closed.
func (l *Listener) awaitPlace() {
	for !l.isClosed() {
		limit := l.places.limit.Load()
		l.places.mu.Lock()
		full := limit != nil && l.places.open >= limit.Connections && l.places.refused >= maxRefused
		l.places.mu.Unlock()
		if !full || l.evictIdle(limit) {
			return
		}
		l.recordDeclined()
		select {
		case <-l.places.freed:
		case <-l.closed:
		case <-time.After(maxAcceptPause):
		}
	}
}

// admit decides about a connection that was accepted.
func (l *Listener) admit() *ticket {
	limit := l.places.limit.Load()
	t := l.places.take(limit)
	if t.admission == refused && l.evictIdle(limit) {
		l.places.giveBack(t.admission)
		t = l.places.take(limit)
	}
	if t.admission == refused {
		l.recordDeclined()
		if limit.OnRefused != nil {
			limit.OnRefused()
		}
	}
	return t
}

// take counts a connection and returns how it is admitted.
func (p *places) take(limit *ConnectionLimit) *ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit != nil && p.open >= limit.Connections {
		p.refused++
		return &ticket{admission: refused, refusal: &limit.Refusal}
	}
	p.open++
	return &ticket{admission: placed}
}

// giveBack ends the count of an admission.
func (p *places) giveBack(a admission) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.giveBackLocked(a)
}

// giveBackLocked is giveBack for callers that hold mu.
func (p *places) giveBackLocked(a admission) {
	switch a {
	case placed:
		p.open--
	case refused:
		p.refused--
	default:
		return
	}
	select {
	case p.freed <- struct{}{}:
	default:
	}
}

// release ends the count of a connection that is closed. Further calls do nothing.
func (p *places) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeIdle(c)
	p.giveBackLocked(c.admitted)
	c.admitted = notAdmitted
}

// setIdle records whether a connection waits for a request.
func (p *places) setIdle(c *conn, idle bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeIdle(c)
	if idle && c.admitted == placed {
		c.idleSince = p.now()
		c.place = p.idle.PushBack(c)
	}
}

// removeIdle removes a connection from idle. The caller holds mu.
func (p *places) removeIdle(c *conn) {
	if c.place != nil {
		p.idle.Remove(c.place)
		c.place = nil
	}
}

// longestIdle removes and returns the connection that has waited longest for a request, nil if none has for
// minEvictionAge.
func (p *places) longestIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	front := p.idle.Front()
	if front == nil || p.now().Sub(front.Value.(*conn).idleSince) < minEvictionAge {
		return nil
	}
	c := front.Value.(*conn)
	p.removeIdle(c)
	return c
}

// evictIdle closes the connection that has waited longest for a request, and reports whether there was one.
func (l *Listener) evictIdle(limit *ConnectionLimit) bool {
	for range maxEvictionTries {
		c := l.places.longestIdle()
		if c == nil {
			return false
		}
		if !c.beginEviction() {
			continue
		}
		l.places.release(c)
		_ = c.Close()
		if limit.OnEvicted != nil {
			limit.OnEvicted()
		}
		return true
	}
	return false
}

// beginEviction reports whether the connection may be closed: no request has begun to arrive, and the client has
// taken its last answer. A request that arrives from then on is refused.
func (c *conn) beginEviction() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.ended || c.readWhileIdle || len(c.inbound) > 0 || c.outstanding() > 0 || hasBytes(c.fd) {
		c.places.setIdle(c, c.idle && !c.ended)
		return false
	}
	c.refusing = c.refusal.Load() != nil
	return true
}

// hasBytes reports whether bytes were received on a socket that have not been read.
func hasBytes(fd int) bool {
	var peeked [1]byte
	n, _, err := unix.Recvfrom(fd, peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n > 0 || errors.Is(err, unix.EINTR)
}

// refuse has a connection beyond the limit closed after its first bytes, or after refusalTimeout. It runs in the
// event loop.
func (l *Listener) refuse(raw gnet.Conn, c *conn, refusal *[]byte) {
	c.refusal = new(atomic.Pointer[[]byte])
	c.refusal.Store(refusal)
	c.refusing = true
	time.AfterFunc(refusalTimeout, func() { _ = raw.Close() })
}

// enroll hands an accepted connection to an event loop, and closes it if that fails.
func (l *Listener) enroll(accepted net.Conn) error {
	t := l.admit()
	clearZones(accepted)
	_, err := l.events.EnrollContext(accepted, t)
	if !t.redeemed {
		l.places.giveBack(t.admission)
	}
	return err
}

// clearZones removes the zones of IPv6 from a connection's addresses: gnet reuses their memory as its own.
func clearZones(accepted net.Conn) {
	for _, address := range []net.Addr{accepted.LocalAddr(), accepted.RemoteAddr()} {
		if tcp, ok := address.(*net.TCPAddr); ok {
			tcp.Zone = ""
		}
	}
}
