// Package keeper describes the platform's small key-value service as the
// coordination packages see it: values with versions, compare-and-swap, leases
// and watches, and errors that distinguish a write that did not happen from one
// whose outcome is unknown.
//
// The package has no transport. A Store is a struct whose function fields are set
// by the peer package that implements the platform's protocol, or by a fake in a
// test.
package keeper

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

var faults = errorx.NewNamespace("keeper")

// Errors returned by the functions of a Store.
var (
	// ErrConflict means that the version did not match; nothing was written.
	ErrConflict = faults.NewType("conflict").New("version conflict")
	// ErrNotFound means that the key has no value.
	ErrNotFound = faults.NewType("notFound").New("no such key")
	// ErrUnavailable means that the store did not accept the call: nothing was written.
	ErrUnavailable = faults.NewType("unavailable").New("store unavailable")
	// ErrUnknownOutcome means that the reply was lost: a write may have taken effect.
	ErrUnknownOutcome = faults.NewType("unknown").New("outcome unknown")
	// ErrLeaseLost means that the lease has expired or never existed.
	ErrLeaseLost = faults.NewType("leaseLost").New("lease lost")
)

// Entry is one key with its value.
type Entry struct {
	// Key is the full name of the entry.
	Key string
	// Value is the stored value, at most one megabyte.
	Value []byte
	// Version is the store's revision at the last write of the key. The store's
	// revision grows with each write to any key, so that a version is never reused,
	// not even after a deletion.
	Version uint64
}

// Swap is one conditional write.
type Swap struct {
	// Key is the full name of the entry.
	Key string
	// Value is the new value; nil deletes the entry.
	Value []byte
	// Expected is the version that the key must have; 0 means that it must not exist.
	Expected uint64
	// Lease ties the entry to a lease; the store deletes it when the lease
	// expires. Empty means that the entry stays.
	Lease string
}

// Store gives access to the key-value service. Each call counts against the
// service's rate limit; a Watch counts once, however long it waits.
type Store struct {
	// Get returns one entry, or ErrNotFound.
	Get func(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose keys start with prefix, in key order.
	List func(ctx context.Context, prefix string) ([]Entry, error)
	// Swap makes a conditional write and returns the new version. After
	// ErrUnknownOutcome the caller must read the entry back to find out whether the
	// write took effect.
	Swap func(ctx context.Context, swap Swap) (uint64, error)
	// Watch waits until an entry whose key starts with prefix has a version above
	// after, or until wait has elapsed. It returns the changed entries (deletions
	// excluded) and the store's revision.
	Watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Entry, uint64, error)
	// Grant creates a lease with the given time to live and returns its ID.
	Grant func(ctx context.Context, ttl time.Duration) (string, error)
	// Renew restarts the time to live of a lease, or returns ErrLeaseLost.
	Renew func(ctx context.Context, lease string) error
}
