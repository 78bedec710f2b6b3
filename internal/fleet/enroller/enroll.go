// Package enroller keeps an item for this daemon in the store, by which daemons without sidecars
// count each other. The item is tied to a lease, so that it outlives its daemon by minutes only.
package enroller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/cyclamenward/cyclamenward/timekeeper"
)

const (
	// firstDelay is how long a daemon runs before it enrolls: one that is restarted again and again
	// makes no calls. Daemons that have started together enroll over firstSpread, since each
	// item wakes everybody who watches the store.
	firstDelay, firstSpread = 10 * time.Second, time.Minute
	// leaseTime is the longest that the store grants, renewInterval a third of it.
	leaseTime     = 10 * time.Minute
	renewInterval = leaseTime / 3
	// retryDelay is the pause after a call that has failed.
	retryDelay = 30 * time.Second
	// callTimeout bounds one call.
	callTimeout = 2 * time.Second
	// maxEnrolled is the number of items from which on no daemon is added.
	maxEnrolled = 64
)

// Dependencies are what an Enroller needs.
type Dependencies struct {
	Store keeper.Store
	// Key and Value are those of this daemon's item.
	Key   string
	Value []byte
	// Wanted reports whether the item is needed.
	Wanted func() bool
	// Listed returns the number of all items, and whether this daemon's is one of them.
	Listed func() (items int, own bool)
	Clock  timekeeper.Clock
	Logger *log.Logger
}

// Enroller keeps the item until it is closed.
type Enroller struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// New returns an Enroller that has started.
func New(deps Dependencies) *Enroller {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Enroller{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(e.done)
		lease := ""
		for wait := firstDelay + rand.N(firstSpread); ; {
			select {
			case <-ctx.Done():
				return
			case <-deps.Clock.After(wait):
			}
			lease, wait = deps.keep(ctx, lease)
		}
	}()
	return e
}

// Close ends the calls. The item stays until its lease ends.
func (e *Enroller) Close() {
	e.cancel()
	<-e.done
}

// keep renews the lease of the item, or writes it again. It returns the lease, "" for none, and when to
// look again.
func (deps *Dependencies) keep(ctx context.Context, lease string) (string, time.Duration) {
	items, own := deps.Listed()
	if !deps.Wanted() || !own && items >= maxEnrolled {
		return "", renewInterval
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error = keeper.ErrLeaseLost
	if lease != "" && own {
		err = deps.Store.Renew(ctx, lease)
	}
	if errors.Is(err, keeper.ErrLeaseLost) {
		lease, err = deps.enroll(ctx)
	}
	if err != nil {
		deps.Logger.Warn("fleet: cannot enroll in the store.", "key", deps.Key, "err", err)
		return lease, retryDelay
	}
	return lease, renewInterval
}

// enroll writes the item under a new lease, in place of one that an earlier process has left.
func (deps *Dependencies) enroll(ctx context.Context) (lease string, err error) {
	entry, err := deps.Store.Get(ctx, deps.Key)
	if err != nil && !errors.Is(err, keeper.ErrNotFound) {
		return "", fmt.Errorf("read item: %w", err)
	}
	if lease, err = deps.Store.Grant(ctx, leaseTime); err != nil {
		return "", fmt.Errorf("grant lease: %w", err)
	}
	if _, err := deps.Store.Swap(ctx, keeper.Swap{Key: deps.Key, Value: deps.Value, Expected: entry.Version, Lease: lease}); err != nil {
		return "", fmt.Errorf("write item: %w", err)
	}
	return lease, nil
}
