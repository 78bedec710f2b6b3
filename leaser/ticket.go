// Package leaser grants a limited number of tickets, each held under a lease in
// the platform's key-value service and each with a fencing token.
//
// A ticket is one key in the store, tied to a lease of its holder. The store's
// version of the key is the fencing token: it grows with every new holder. A
// holder measures its own lease by the monotonic clock, from before it requested or last
// renewed the lease, so a holder that was paused finds its ticket expired when it
// continues.
package leaser

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/joomcode/errorx"
)

var faults = errorx.NewNamespace("leaser")

// ErrNoTicketFree means that all tickets are held.
var ErrNoTicketFree = faults.NewType("none").New("no ticket free")

// Options are the times of a ticket's lease.
type Options struct {
	// TTL is the time to live of the lease, which is renewed every TTL/3.
	TTL time.Duration
	// Margin is how long before the lease expires in the store the holder considers
	// its ticket expired.
	Margin time.Duration
}

// DefaultOptions suit operations that take a few seconds.
var DefaultOptions = Options{TTL: 6 * time.Second, Margin: time.Second}

// Ticket is a ticket that was acquired, with the goroutine that renews its lease.
type Ticket struct {
	store   keeper.Store
	clock   timekeeper.Clock
	options Options
	key     string
	lease   string
	// fencingToken is the store's version of key; it exceeds that of every earlier
	// holder.
	fencingToken   uint64
	stopRenewal    context.CancelFunc
	renewalStopped chan struct{}

	// mu guards validUntil.
	mu sync.Mutex
	// validUntil is when the holder must consider the ticket expired.
	validUntil time.Time
}

// Acquire takes one of count tickets below prefix and renews it until Release, or
// returns ErrNoTicketFree. holder must be unique to the call, since it tells whether a
// write whose reply was lost took effect.
func Acquire(ctx context.Context, store keeper.Store, clock timekeeper.Clock, prefix, holder string, count int, options Options) (*Ticket, error) {
	sentAt := clock.Now()
	lease, err := store.Grant(ctx, options.TTL)
	if err != nil {
		return nil, fmt.Errorf("grant lease: %w", err)
	}
	for i := range count {
		key := fmt.Sprintf("%s/%d", prefix, i)
		fencingToken, err := writeTicket(ctx, store, key, holder, lease)
		if errors.Is(err, keeper.ErrConflict) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return newTicket(store, clock, options, key, lease, fencingToken, sentAt), nil
	}
	return nil, ErrNoTicketFree
}

// writeTicket writes one ticket key if no one holds it and returns its version. After a
// lost reply it reads the key back to find out whether the write took effect.
func writeTicket(ctx context.Context, store keeper.Store, key, holder, lease string) (uint64, error) {
	fencingToken, err := store.Swap(ctx, keeper.Swap{Key: key, Value: []byte(holder), Lease: lease})
	if err == nil {
		return fencingToken, nil
	}
	if !errors.Is(err, keeper.ErrUnknownOutcome) {
		return 0, fmt.Errorf("claim %s: %w", key, err)
	}
	entry, readErr := store.Get(ctx, key)
	if readErr == nil && string(entry.Value) == holder {
		return entry.Version, nil
	}
	return 0, fmt.Errorf("claim %s: %w", key, err)
}

// newTicket returns a ticket that was written and starts its renewal. The lease was
// requested at sentAt.
func newTicket(store keeper.Store, clock timekeeper.Clock, options Options, key, lease string, fencingToken uint64, sentAt time.Time) *Ticket {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Ticket{
		store: store, clock: clock, options: options, key: key, lease: lease, fencingToken: fencingToken,
		stopRenewal: cancel, renewalStopped: make(chan struct{}), validUntil: sentAt.Add(options.TTL - options.Margin),
	}
	go func() {
		defer close(t.renewalStopped)
		t.renew(ctx)
	}()
	return t
}

// FencingToken returns the fencing token of the ticket.
func (t *Ticket) FencingToken() uint64 { return t.fencingToken }

// Valid reports whether the ticket is still held. Call it immediately before
// each use, also after any wait.
func (t *Ticket) Valid() bool { return t.ValidFor(0) }

// ValidFor reports whether the ticket will still be held after d. An order to a
// receiver that does not check fencing tokens may be sent only if the ticket is valid
// for the time that the order may be in transit.
func (t *Ticket) ValidFor(d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Now().Add(d).Before(t.validUntil)
}

// Release ends the renewal and gives the ticket back. If the store is not reached, the
// ticket becomes free when its lease expires.
func (t *Ticket) Release(ctx context.Context) {
	t.stopRenewal()
	<-t.renewalStopped
	t.expire()
	_, _ = t.store.Swap(ctx, keeper.Swap{Key: t.key, Expected: t.fencingToken})
}

// expire makes the ticket invalid.
func (t *Ticket) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.validUntil = time.Time{}
}

// renew renews the lease until ctx ends or the lease is lost. A ticket that has expired
// here stays expired, even if the store renews its lease.
func (t *Ticket) renew(ctx context.Context) {
	for {
		select {
		case <-t.clock.After(t.options.TTL / 3):
		case <-ctx.Done():
			return
		}
		sentAt := t.clock.Now()
		err := t.store.Renew(ctx, t.lease)
		if errors.Is(err, keeper.ErrLeaseLost) {
			t.expire()
			return
		}
		if err == nil && t.Valid() {
			t.mu.Lock()
			t.validUntil = sentAt.Add(t.options.TTL - t.options.Margin)
			t.mu.Unlock()
		}
	}
}
