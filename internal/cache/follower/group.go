package follower

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/timekeeper"
)

// Group follows several caches, which may change. It is used by one goroutine.
type Group struct {
	connect   func(address string) (Poll, Sink)
	gather    time.Duration
	clock     timekeeper.Clock
	logger    *log.Logger
	followers map[string]*Follower
}

// NewGroup returns a group that follows nothing yet. connect is called for each cache
// that is new; the other arguments are those of New.
func NewGroup(connect func(address string) (Poll, Sink), gather time.Duration, clock timekeeper.Clock, logger *log.Logger) *Group {
	return &Group{connect: connect, gather: gather, clock: clock, logger: logger, followers: make(map[string]*Follower)}
}

// SetAddresses follows the caches at the addresses and no others.
func (g *Group) SetAddresses(addresses []string) {
	wanted := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		wanted[address] = true
		if g.followers[address] == nil {
			poll, sink := g.connect(address)
			g.followers[address] = New(poll, sink, g.gather, g.clock, g.logger)
		}
	}
	for address, f := range g.followers {
		if !wanted[address] {
			f.Close()
			delete(g.followers, address)
		}
	}
}
