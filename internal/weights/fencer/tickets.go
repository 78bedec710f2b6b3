package fencer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/cyclamenward/cyclamenward/leaser"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/google/uuid"
)

// TicketDependencies are the functions and services that tickets need.
type TicketDependencies struct {
	// Name is the daemon's name, which its later processes share.
	Name string
	// Prefix precedes the address of a replica in the keys of tickets.
	Prefix string
	Store  keeper.Store
	// Get returns an item of the own copy of the store.
	Get func(key string) (replicator.Item, bool)
	// HandoverDelay is that of the fencers.
	HandoverDelay time.Duration
	Clock         timekeeper.Clock
	Logger        *log.Logger
}

// Tickets takes the tickets for orders to replicas, each of which one daemon holds at a time.
type Tickets struct{ deps TicketDependencies }

// NewTickets returns the tickets of a daemon.
func NewTickets(deps TicketDependencies) *Tickets { return &Tickets{deps: deps} }

// key returns the key of the only ticket of the replica at an address.
func (t *Tickets) key(address string) string { return t.deps.Prefix + address + "/0" }

// Holder returns the daemon that holds the ticket of the replica at an address, by the own copy of the
// store. The second result is false if none does.
func (t *Tickets) Holder(address string) (Holder, bool) {
	item, found := t.deps.Get(t.key(address))
	if !found {
		return Holder{}, false
	}
	var holder Holder
	if err := json.Unmarshal(item.Value, &holder); err != nil {
		t.deps.Logger.Warn("weights: cannot decode the holder of a ticket.", "key", item.Key, "err", err)
		return Holder{}, false
	}
	return holder, true
}

// Acquire takes the ticket of the replica at an address. The other daemons reach this one, in its role as
// the replica's sidecar, at listenAddress.
func (t *Tickets) Acquire(ctx context.Context, address, listenAddress string) (*leaser.Ticket, error) {
	if earlier, held := t.Holder(address); held && earlier.Name == t.deps.Name {
		// An earlier process of this host held the ticket; its lease may last for seconds.
		item, _ := t.deps.Get(t.key(address))
		if _, err := t.deps.Store.Swap(ctx, keeper.Swap{Key: item.Key, Expected: item.Revision}); err != nil {
			return nil, fmt.Errorf("give back an earlier ticket: %w", err)
		}
	}
	holder, err := json.Marshal(Holder{Name: t.deps.Name, Address: listenAddress, Attempt: uuid.NewString()})
	if err != nil {
		return nil, fmt.Errorf("encode holder: %w", err)
	}
	return leaser.Acquire(ctx, t.deps.Store, t.deps.Clock, t.deps.Prefix+address, string(holder), 1, leaser.DefaultOptions)
}

// Fencer returns the fencer of the own sidecar of the replica at an address.
func (t *Tickets) Fencer(address, listenAddress string) *Fencer {
	return New(t.dependencies(address, listenAddress))
}

// Hold takes the ticket of the replica at an address and returns the fencer that holds it.
func (t *Tickets) Hold(ctx context.Context, address, listenAddress string) (*Fencer, error) {
	ticket, err := t.Acquire(ctx, address, listenAddress)
	if err != nil {
		return nil, fmt.Errorf("take the ticket: %w", err)
	}
	return NewHolder(t.dependencies(address, listenAddress), ticket, t.deps.Clock.Now()), nil
}

// dependencies returns what the fencer of a replica needs.
func (t *Tickets) dependencies(address, listenAddress string) Dependencies {
	return Dependencies{
		Acquire: func(ctx context.Context) (*leaser.Ticket, error) { return t.Acquire(ctx, address, listenAddress) },
		HeldByOther: func() bool {
			holder, held := t.Holder(address)
			return held && holder.Name != t.deps.Name
		},
		HandoverDelay: t.deps.HandoverDelay,
		Clock:         t.deps.Clock,
		Logger:        t.deps.Logger,
	}
}
