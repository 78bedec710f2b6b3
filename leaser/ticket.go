// Package leaser hands out a small number of tickets, each held under a lease in
// the platform's key-value service and each with a fencing number.
//
// A ticket is one key in the store, tied to a lease of its holder. The store's
// version of the key is the fencing number: it grows with every new holder. A
// holder judges its own lease by the monotonic clock from before the renewal was
// sent, so a holder that was paused finds its ticket lapsed when it continues.
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

// Options are the times of a ticket.
type Options struct {
	// TTL is the time to live of the lease.
	TTL time.Duration
	// Margin is how much earlier than the store the holder gives up.
	Margin time.Duration
}

// DefaultOptions suit operations of some seconds.
var DefaultOptions = Options{TTL: 6 * time.Second, Margin: time.Second}

// Ticket is one held ticket.
type Ticket struct {
	store   keeper.Store
	clock   timekeeper.Clock
	options Options
	key     string
	lease   string
	// fence is the fencing number; it exceeds that of every earlier holder.
	fence  uint64
	cancel context.CancelFunc
	done   chan struct{}

	// mu guards until.
	mu sync.Mutex
	// until is when the holder must consider the ticket lapsed.
	until time.Time
}

// Acquire takes one of count tickets below prefix. holder must be unique to the
// call. It renews the ticket until Release.
func Acquire(ctx context.Context, store keeper.Store, clock timekeeper.Clock, prefix, holder string, count int, options Options) (*Ticket, error) {
	sent := clock.Now()
	lease, err := store.Grant(ctx, options.TTL)
	if err != nil {
		return nil, fmt.Errorf("grant lease: %w", err)
	}
	for i := range count {
		key := fmt.Sprintf("%s/%d", prefix, i)
		fence, err := claim(ctx, store, key, holder, lease)
		if errors.Is(err, keeper.ErrConflict) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return hold(store, clock, options, key, lease, fence, sent), nil
	}
	return nil, ErrNoTicketFree
}

// claim writes one ticket key and returns its version. A lost reply is resolved
// by reading back.
func claim(ctx context.Context, store keeper.Store, key, holder, lease string) (uint64, error) {
	fence, err := store.Swap(ctx, keeper.Swap{Key: key, Value: []byte(holder), Lease: lease})
	if err == nil {
		return fence, nil
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

func hold(store keeper.Store, clock timekeeper.Clock, options Options, key, lease string, fence uint64, sent time.Time) *Ticket {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Ticket{
		store: store, clock: clock, options: options, key: key, lease: lease, fence: fence,
		cancel: cancel, done: make(chan struct{}), until: sent.Add(options.TTL - options.Margin),
	}
	go func() {
		defer close(t.done)
		t.renew(ctx)
	}()
	return t
}

// FencingToken returns the fencing number.
func (t *Ticket) FencingToken() uint64 { return t.fence }

// Valid reports whether the ticket is still held. Call it immediately before
// each use, also after any wait.
func (t *Ticket) Valid() bool { return t.ValidFor(0) }

// ValidFor reports whether the ticket will still be held after d. Receivers that
// do not check fencing numbers must be given orders only with a margin for the
// time that an order spends on its way.
func (t *Ticket) ValidFor(d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Now().Add(d).Before(t.until)
}

// Release gives the ticket back. If the store is not reached, the ticket becomes
// free when its lease expires.
func (t *Ticket) Release(ctx context.Context) {
	t.cancel()
	<-t.done
	t.mu.Lock()
	t.until = time.Time{}
	t.mu.Unlock()
	_, _ = t.store.Swap(ctx, keeper.Swap{Key: t.key, Expected: t.fence})
}

func (t *Ticket) renew(ctx context.Context) {
	for {
		select {
		case <-t.clock.After(t.options.TTL / 3):
		case <-ctx.Done():
			return
		}
		sent := t.clock.Now()
		err := t.store.Renew(ctx, t.lease)
		if errors.Is(err, keeper.ErrLeaseLost) {
			return
		}
		if err == nil && t.Valid() {
			t.mu.Lock()
			t.until = sent.Add(t.options.TTL - t.options.Margin)
			t.mu.Unlock()
		}
	}
}
