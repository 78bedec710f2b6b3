package listener

import (
	"sync"
	"sync/atomic"
	"time"
)

// freeOutboundBytes is how many bytes may be outstanding for each client whatever is outstanding for
// others: an ordinary answer, and some events of a stream.
const freeOutboundBytes = 16 << 10

// OutboundLimit bounds what is outstanding for all clients of a listener together.
type OutboundLimit struct {
	// Bytes is how many bytes may be outstanding beyond freeOutboundBytes for each client.
	Bytes int
	// StallTimeout is how long a client that others wait for may take nothing before its connection is
	// closed.
	StallTimeout time.Duration
	// OnStalled is called for each connection that is closed for this reason.
	OnStalled func()
}

// outbound counts what is outstanding for all clients of a listener.
type outbound struct {
	// held is the sum of the conns' counted.
	held  atomic.Int64
	limit atomic.Pointer[OutboundLimit]

	// mu guards conns, those whose client has more than freeOutboundBytes outstanding.
	mu    sync.Mutex
	conns map[*conn]bool
}

// LimitOutbound bounds what is outstanding for all clients together. Without a limit only that of
// each client is bounded.
func (l *Listener) LimitOutbound(limit OutboundLimit) { l.outbound.limit.Store(&limit) }

// OutboundBytes returns how many bytes are outstanding for all clients.
func (l *Listener) OutboundBytes() int { return int(l.outbound.held.Load()) }

// full reports whether no client may have more than freeOutboundBytes outstanding now.
func (o *outbound) full() bool {
	limit := o.limit.Load()
	return limit != nil && o.held.Load() > int64(limit.Bytes)
}

// endStalled closes the connections of clients that have taken nothing for the stall timeout.
func (o *outbound) endStalled(limit *OutboundLimit) {
	o.mu.Lock()
	var stalled []*conn
	for c := range o.conns {
		stalled = append(stalled, c)
	}
	o.mu.Unlock()
	for _, c := range stalled {
		if c.endIfStalled(limit.StallTimeout) && limit.OnStalled != nil {
			limit.OnStalled()
		}
	}
}

// outstanding returns how many written bytes the client has not taken yet. The caller holds mu.
func (c *conn) outstanding() int {
	if c.ended {
		return 0
	}
	return c.queuedBytes + c.bufferedBytes
}

// countOutstanding brings the sum over all clients up to date. The caller holds mu.
func (c *conn) countOutstanding() {
	now := c.outstanding()
	if now < c.counted || c.counted == 0 {
		c.takenAt = time.Now()
	}
	wasLarge, large := c.counted > freeOutboundBytes, now > freeOutboundBytes
	c.outbound.held.Add(int64(now - c.counted))
	c.counted = now
	if wasLarge == large {
		return
	}
	c.outbound.mu.Lock()
	defer c.outbound.mu.Unlock()
	if large {
		c.outbound.conns[c] = true
	} else {
		delete(c.outbound.conns, c)
	}
}

// mayWrite reports whether there is room for another write. The caller holds mu.
func (c *conn) mayWrite() bool {
	outstanding := c.outstanding()
	return outstanding <= maxOutboundBytes && (outstanding <= freeOutboundBytes || !c.outbound.full())
}

// awaitRoom waits until there is room for another write, the connection has ended or its deadline for
// writes has passed. The caller holds mu.
func (c *conn) awaitRoom() {
	if c.mayWrite() {
		return
	}
	timer := time.AfterFunc(writeTimeout, c.markEnded)
	defer timer.Stop()
	c.awaitsRoom = true
	defer func() { c.awaitsRoom = false }()
	if limit := c.outbound.limit.Load(); limit != nil {
		c.watchStalls(limit)
	}
	for !c.mayWrite() && !c.ended && !expired(c.writeDeadline) {
		c.changed.Wait()
	}
}

// watchStalls looks for stalled clients after each stall timeout for as long as a write waits.
func (c *conn) watchStalls(limit *OutboundLimit) {
	time.AfterFunc(limit.StallTimeout, func() {
		if c.outbound.full() {
			c.outbound.endStalled(limit)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.changed.Broadcast()
		if c.awaitsRoom && !c.ended {
			c.watchStalls(limit)
		}
	})
}

// endIfStalled ends the connection if its client has taken nothing for the timeout.
func (c *conn) endIfStalled(timeout time.Duration) bool {
	c.mu.Lock()
	stalled := !c.ended && c.outstanding() > freeOutboundBytes && time.Since(c.takenAt) >= timeout
	c.mu.Unlock()
	if stalled {
		c.markEnded()
	}
	return stalled
}
