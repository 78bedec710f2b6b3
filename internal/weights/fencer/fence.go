// Package fencer gives out the fencing tokens of load orders to one replica and makes
// sure that only one daemon sends it orders at a time.
//
// A sidecar that has been the only one to send orders since its replica started needs no
// coordination: the revisions of the store at which versions were wanted are its tokens.
// Any other daemon, such as an entry in place of a lost sidecar or a sidecar that was
// restarted, first takes a ticket in the store. The revision at which it took the ticket
// exceeds all earlier ones. Tokens of both kinds differ in parity, so that no two
// daemons ever use the same one.
package fencer

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/leaser"
	"github.com/cyclamenward/cyclamenward/timekeeper"
)

const (
	// acquireInterval is the time between two attempts to take the ticket.
	acquireInterval = time.Second
	// acquireTimeout bounds one attempt: two calls to the store.
	acquireTimeout = 2 * time.Second
	// orderTransitTime is how long the ticket must still be valid when an order is sent.
	orderTransitTime = 500 * time.Millisecond
)

// Dependencies are the functions and services that a fencer uses.
type Dependencies struct {
	// Acquire takes the replica's ticket, or returns leaser.ErrNoTicketFree.
	Acquire func(ctx context.Context) (*leaser.Ticket, error)
	// HeldByOther reports whether another daemon is known to hold the ticket.
	HeldByOther func() bool
	// HandoverDelay is how long after taking the ticket no order is sent: two daemons
	// must not take turns within that time.
	HandoverDelay time.Duration
	Clock         timekeeper.Clock
	Logger        *log.Logger
}

// Fencer decides whether orders may be sent to one replica, and with which token. It is
// safe for concurrent use.
type Fencer struct {
	deps Dependencies

	// mu guards the fields below.
	mu sync.Mutex
	// ticket is nil until it is taken. needsTicket is set once another daemon has been
	// seen to send orders or to hold the ticket, and stays set.
	ticket      *leaser.Ticket
	needsTicket bool
	// acquiredAt is when the ticket was taken, triedAt when the last attempt began.
	acquiredAt, triedAt time.Time
	closed              bool
}

// New returns the fencer of a replica's own sidecar.
func New(deps Dependencies) *Fencer { return &Fencer{deps: deps} }

// NewHolder returns the fencer of a daemon that has taken the replica's ticket, at
// acquiredAt.
func NewHolder(deps Dependencies, ticket *leaser.Ticket, acquiredAt time.Time) *Fencer {
	return &Fencer{deps: deps, ticket: ticket, acquiredAt: acquiredAt, needsTicket: true}
}

// Token returns the fencing token for orders of a version that was wanted at a revision
// of the store. The second result is false if no order may be sent now. foreign is set if
// the replica has accepted orders of other daemons since it started.
func (f *Fencer) Token(revision uint64, foreign bool) (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	heldByOther := f.deps.HeldByOther()
	f.needsTicket = f.needsTicket || foreign || heldByOther
	now := f.deps.Clock.Now()
	switch {
	case !f.needsTicket:
		return 2*revision + 1, true
	case f.ticket != nil && f.ticket.ValidFor(orderTransitTime):
		return 2 * f.ticket.FencingToken(), now.Sub(f.acquiredAt) >= f.deps.HandoverDelay
	case !heldByOther && !f.closed && now.Sub(f.triedAt) >= acquireInterval:
		f.triedAt = now
		go f.acquire()
	}
	return 0, false
}

// acquire makes one attempt to take the ticket.
func (f *Fencer) acquire() {
	ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
	defer cancel()
	ticket, err := f.deps.Acquire(ctx)
	if err != nil {
		f.deps.Logger.Info("weights: no ticket for orders.", "err", err)
		return
	}
	f.deps.Logger.Info("weights: took the ticket for orders.", "revision", ticket.FencingToken())
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		go release(ticket)
		return
	}
	f.ticket, f.acquiredAt = ticket, f.deps.Clock.Now()
}

// Valid reports whether the fencer holds a valid ticket.
func (f *Fencer) Valid() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ticket != nil && f.ticket.Valid()
}

// Close gives the ticket back, if there is one. No token is given out afterwards.
func (f *Fencer) Close() {
	f.mu.Lock()
	ticket := f.ticket
	f.ticket, f.needsTicket, f.closed = nil, true, true
	f.mu.Unlock()
	if ticket != nil {
		release(ticket)
	}
}

func release(ticket *leaser.Ticket) {
	ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
	defer cancel()
	ticket.Release(ctx)
}

// Holder describes a daemon that holds a ticket, as stored in the ticket's key.
type Holder struct {
	// Name is the daemon's name.
	Name string `json:"name"`
	// Address is where it reports the replica's state to other daemons.
	Address string `json:"address"`
	// Attempt is unique to the attempt to take the ticket.
	Attempt string `json:"attempt"`
}
