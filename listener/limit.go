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
	// minEvictionAge is the idle time from which a connection may be evicted: the first request of a new one
	// is in transit.
	minEvictionAge = 500 * time.Millisecond
	// maxEvictionTries bounds the candidates for one eviction.
	maxEvictionTries = 16
	// maxRefused bounds the connections over the limit that are held open to receive the refusal. Further ones
	// stay in the accept backlog.
	maxRefused = 64
	// refusalTimeout is how long a connection over the limit may take to send a request.
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

// connLimiter counts the open connections of a listener.
type connLimiter struct {
	limit atomic.Pointer[ConnectionLimit]
	// now is time.Now.
	now func() time.Time
	// freed is sent, without waiting, when a counted connection is closed.
	freed chan struct{}

	// mu guards the fields below, and idleElement, idleSince and admitted of all conns. It is locked after their mu.
	mu sync.Mutex
	// open and refused count the connections within and beyond the limit.
	open, refused int
	// idle holds the connections that wait for a request, the longest waiting first.
	idle list.List
}

// admission is how a connection was admitted.
type admission int

const (
	// uncounted connections count nowhere, also if they did before.
	uncounted admission = iota
	// withinLimit connections are handed to the server.
	withinLimit
	// refused connections are beyond the limit and closed after their first bytes.
	refused
)

// grant passes an admission to the event loop that opens the connection.
type grant struct {
	admission admission
	// refusal is the answer of a refused connection.
	refusal *[]byte
	// opened is set once the connection is open, which then ends the admission when it is closed.
	opened bool
}

// LimitConnections bounds the open connections. Without a limit their number is not bounded.
func (l *Listener) LimitConnections(limit ConnectionLimit) { l.limiter.limit.Store(&limit) }

// Connections returns the number of open connections that count towards the limit.
func (l *Listener) Connections() int {
	l.limiter.mu.Lock()
	defer l.limiter.mu.Unlock()
	return l.limiter.open
}

// awaitCapacity waits until a connection can be admitted or refused, or the listener is closed.
func (l *Listener) awaitCapacity() {
	for !l.isClosed() {
		limit := l.limiter.limit.Load()
		l.limiter.mu.Lock()
		full := limit != nil && l.limiter.open >= limit.Connections && l.limiter.refused >= maxRefused
		l.limiter.mu.Unlock()
		if !full || l.evictIdle(limit) {
			return
		}
		l.recordDeclined()
		select {
		case <-l.limiter.freed:
		case <-l.closed:
		case <-time.After(maxAcceptPause):
		}
	}
}

// admit decides about a connection that was accepted.
func (l *Listener) admit() *grant {
	limit := l.limiter.limit.Load()
	g := l.limiter.acquire(limit)
	if g.admission == refused && l.evictIdle(limit) {
		l.limiter.free(g.admission)
		g = l.limiter.acquire(limit)
	}
	if g.admission == refused {
		l.recordDeclined()
		if limit.OnRefused != nil {
			limit.OnRefused()
		}
	}
	return g
}

// acquire counts a connection and returns how it is admitted.
func (cl *connLimiter) acquire(limit *ConnectionLimit) *grant {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if limit != nil && cl.open >= limit.Connections {
		cl.refused++
		return &grant{admission: refused, refusal: &limit.Refusal}
	}
	cl.open++
	return &grant{admission: withinLimit}
}

// free ends an admission.
func (cl *connLimiter) free(a admission) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.freeLocked(a)
}

// freeLocked is free for callers that hold mu.
func (cl *connLimiter) freeLocked(a admission) {
	switch a {
	case withinLimit:
		cl.open--
	case refused:
		cl.refused--
	default:
		return
	}
	select {
	case cl.freed <- struct{}{}:
	default:
	}
}

// release ends the admission of a connection that is closed. Further calls do nothing.
func (cl *connLimiter) release(c *conn) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.removeIdle(c)
	cl.freeLocked(c.admitted)
	c.admitted = uncounted
}

// setIdle records whether a connection waits for a request.
func (cl *connLimiter) setIdle(c *conn, idle bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.removeIdle(c)
	if idle && c.admitted == withinLimit {
		c.idleSince = cl.now()
		c.idleElement = cl.idle.PushBack(c)
	}
}

// removeIdle removes a connection from idle. The caller holds mu.
func (cl *connLimiter) removeIdle(c *conn) {
	if c.idleElement != nil {
		cl.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// longestIdle removes and returns the connection that has waited longest for a request, nil if none has for
// minEvictionAge.
func (cl *connLimiter) longestIdle() *conn {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	front := cl.idle.Front()
	if front == nil || cl.now().Sub(front.Value.(*conn).idleSince) < minEvictionAge {
		return nil
	}
	c := front.Value.(*conn)
	cl.removeIdle(c)
	return c
}

// evictIdle closes the connection that has waited longest for a request, and reports whether there was one.
func (l *Listener) evictIdle(limit *ConnectionLimit) bool {
	for range maxEvictionTries {
		c := l.limiter.longestIdle()
		if c == nil {
			return false
		}
		if !c.beginEviction() {
			continue
		}
		l.limiter.release(c)
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
		c.limiter.setIdle(c, c.idle && !c.ended)
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
	c.readTimer = time.AfterFunc(refusalTimeout, func() { _ = raw.Close() })
}

// enroll hands an accepted connection to an event loop, and closes it if that fails.
func (l *Listener) enroll(accepted net.Conn) error {
	if err := l.awaitDescriptor(accepted); err != nil {
		return errors.Join(err, accepted.Close())
	}
	g := l.admit()
	clearZones(accepted)
	_, err := l.events.EnrollContext(accepted, g)
	if !g.opened {
		l.limiter.free(g.admission)
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
