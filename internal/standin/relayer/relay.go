// Package relayer is a proxy on the loopback for the connections of one link, which it delays, resets,
// silences or cuts in one direction.
package relayer

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Fault is what befalls the connections of a link.
type Fault int

// Faults.
const (
	// None passes everything on.
	None Fault = iota
	// Delays holds all bytes up for a time.
	Delays
	// Resets resets open and new connections.
	Resets
	// SilencesOpen drops all bytes of the connections that are open now, while new ones work.
	SilencesOpen
	// CutsForth drops the bytes to the target, CutsBack those from it.
	CutsForth
	CutsBack
	// Faults is the number of faults.
	Faults
)

var faultNames = [Faults]string{"none", "delays", "resets", "silences open", "cuts forth", "cuts back"}

func (f Fault) String() string { return faultNames[f] }

const (
	// delay is how long bytes are held up, dialTimeout the time to connect to the target.
	delay, dialTimeout = 300 * time.Millisecond, time.Second
	bufferBytes        = 16 << 10
)

// connection is a connection with its other half.
type connection struct {
	caller, target net.Conn
	// silent is set for good once the connection has been silenced. Guarded by mu of the relay.
	silent bool
}

// Relay passes connections on to a target.
type Relay struct {
	listener net.Listener
	target   string

	// mu guards the fields below.
	mu    sync.Mutex
	fault Fault
	open  map[*connection]bool
}

// New starts a relay at a free port of an IP address. Close ends it.
func New(ip, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("listen for relay to %s: %w", target, err)
	}
	r := &Relay{listener: listener, target: target, open: make(map[*connection]bool)}
	go func() {
		for {
			caller, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(caller)
		}
	}()
	return r, nil
}

// Address returns where the relay accepts connections.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetFault sets what befalls the connections from now on.
func (r *Relay) SetFault(fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
	for c := range r.open {
		switch fault {
		case Resets:
			c.reset()
		case SilencesOpen:
			c.silent = true
		}
	}
}

// ResetSilent resets the connections that have become silent.
func (r *Relay) ResetSilent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		if c.silent {
			c.reset()
		}
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.SetFault(Resets)
}

// reset closes both halves without waiting for what was written.
func (c *connection) reset() {
	for _, half := range []net.Conn{c.caller, c.target} {
		if tcp, ok := half.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = half.Close()
	}
}

// serve passes the bytes of one connection on.
func (r *Relay) serve(caller net.Conn) {
	target, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		_ = caller.Close()
		return
	}
	c := &connection{caller: caller, target: target}
	r.mu.Lock()
	r.open[c] = true
	if r.fault == Resets {
		c.reset()
	}
	r.mu.Unlock()
	var halves sync.WaitGroup
	halves.Go(func() { r.pass(c, caller, target, CutsForth) })
	halves.Go(func() { r.pass(c, target, caller, CutsBack) })
	halves.Wait()
	r.mu.Lock()
	delete(r.open, c)
	r.mu.Unlock()
}

// pass copies bytes in one direction, which the fault cut drops. What was dropped is lost for good,
// so the connection is silent from then on.
func (r *Relay) pass(c *connection, from, to net.Conn, cut Fault) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		r.mu.Lock()
		if n > 0 && r.fault == cut {
			c.silent = true
		}
		silent, fault := c.silent, r.fault
		r.mu.Unlock()
		if fault == Delays {
			<-time.After(delay)
		}
		if n > 0 && !silent {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}
