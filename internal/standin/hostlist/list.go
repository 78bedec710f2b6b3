// Package hostlist is a stand-in for the platform's lagging list of hosts.
package hostlist

import (
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/responder"
	"github.com/cyclamenward/cyclamenward/peer/hosts"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/valyala/fasthttp"
)

// List serves the hosts as they were some time ago.
type List struct {
	clock timekeeper.Clock
	lag   time.Duration

	// mu guards versions.
	mu sync.Mutex
	// versions holds what was set, oldest first.
	versions []version
}

type version struct {
	at    time.Time
	hosts []hosts.Host
}

// New returns an empty list that lags by the given time.
func New(clock timekeeper.Clock, lag time.Duration) *List { return &List{clock: clock, lag: lag} }

// Set changes the hosts; readers see it after the lag.
func (l *List) Set(list []hosts.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, version{at: l.clock.Now(), hosts: list})
}

// Hosts returns what readers see now.
func (l *List) Hosts() ([]hosts.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := []hosts.Host{}
	for _, v := range l.versions {
		if l.clock.Now().Sub(v.at) >= l.lag {
			seen = v.hosts
		}
	}
	return seen, nil
}

// Handler serves the list over HTTP; a POST sets it.
func Handler(l *List) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if ctx.IsPost() {
			var list []hosts.Host
			if responder.ReadJSON(ctx, &list) {
				l.Set(list)
			}
			return
		}
		seen, _ := l.Hosts()
		responder.WriteJSON(ctx, seen)
	}
}
