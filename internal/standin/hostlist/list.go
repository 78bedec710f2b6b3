// Package hostlist is a stand-in for the platform's list of hosts, which lags behind.
package hostlist

import (
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/responder"
	"github.com/cyclamenward/cyclamenward/peer/hosts"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/valyala/fasthttp"
)

// List is a list of hosts whose readers see changes only after a lag. It is safe for
// concurrent use.
type List struct {
	clock timekeeper.Clock
	lag   time.Duration

	// mu guards snapshots.
	mu sync.Mutex
	// snapshots holds every list that was set, the oldest first.
	snapshots []snapshot
}

// snapshot is a list of hosts and the time at which it was set.
type snapshot struct {
	setAt time.Time
	hosts []hosts.Host
}

// New returns an empty list with the given lag.
func New(clock timekeeper.Clock, lag time.Duration) *List { return &List{clock: clock, lag: lag} }

// Set replaces the hosts. Readers see them after the lag.
func (l *List) Set(list []hosts.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshots = append(l.snapshots, snapshot{setAt: l.clock.Now(), hosts: list})
}

// Hosts returns the newest list that is at least as old as the lag.
func (l *List) Hosts() ([]hosts.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	visible := []hosts.Host{}
	for _, s := range l.snapshots {
		if l.clock.Now().Sub(s.setAt) >= l.lag {
			visible = s.hosts
		}
	}
	return visible, nil
}

// Handler serves the list over HTTP. A POST replaces the hosts.
func Handler(l *List) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if ctx.IsPost() {
			var list []hosts.Host
			if responder.ReadJSON(ctx, &list) {
				l.Set(list)
			}
			return
		}
		visible, _ := l.Hosts()
		responder.WriteJSON(ctx, visible)
	}
}
