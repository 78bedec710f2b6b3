package follower

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/timekeeper"
)

// Group follows a changing set of caches. It must be used by one goroutine only.
type Group struct {
	// connect returns what New needs to follow the cache at an address.
	connect   func(address string) (Poll, Sink)
	interval  time.Duration
	clock     timekeeper.Clock
	logger    *log.Logger
	followers map[string]*Follower
}

// NewGroup returns a group that follows no cache yet. connect is called for each address
// that is added; the other arguments are those of New.
func NewGroup(connect func(address string) (Poll, Sink), interval time.Duration, clock timekeeper.Clock, logger *log.Logger) *Group {
	return &Group{connect: connect, interval: interval, clock: clock, logger: logger, followers: make(map[string]*Follower)}
}

// SetAddresses starts following the caches at new addresses and stops following those at
// addresses that are not in the list.
func (g *Group) SetAddresses(addresses []string) {
	listed := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		listed[address] = true
		if g.followers[address] == nil {
			poll, sink := g.connect(address)
			g.followers[address] = New(poll, sink, g.interval, g.clock, g.logger)
		}
	}
	for address, f := range g.followers {
		if !listed[address] {
			f.Close()
			delete(g.followers, address)
		}
	}
}
