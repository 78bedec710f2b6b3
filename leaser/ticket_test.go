package leaser_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/keyvalue"
	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/cyclamenward/cyclamenward/leaser"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// pausableProcess is a process whose lease renewals block while it is paused.
type pausableProcess struct {
	mu sync.Mutex
	// resumed is closed when the latest pause ends; nil before the first.
	resumed chan struct{}
}

// pause pauses the process for d and returns when it continues.
func (p *pausableProcess) pause(d time.Duration) {
	resumed := make(chan struct{})
	p.mu.Lock()
	p.resumed = resumed
	p.mu.Unlock()
	<-time.After(d)
	close(resumed)
}

// wait returns once the process is not paused.
func (p *pausableProcess) wait() {
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// wrap returns the store with a Renew that waits while the process is paused.
func (p *pausableProcess) wrap(store keeper.Store) keeper.Store {
	renew := store.Renew
	store.Renew = func(ctx context.Context, lease string) error {
		p.wait()
		return renew(ctx, lease)
	}
	return store
}

// activityLog records how many processes act under tickets at the same time, as the
// backend server that they act on would see it.
type activityLog struct {
	mu            sync.Mutex
	active        int
	maxActive     int
	fencingTokens []uint64
}

func (l *activityLog) enter(fencingToken uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active++
	l.maxActive = max(l.maxActive, l.active)
	l.fencingTokens = append(l.fencingTokens, fencingToken)
}

func (l *activityLog) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active--
}

// runProcess runs a process that takes tickets and acts only while its ticket is valid.
// One time in three it is paused first, mostly for longer than a lease.
func runProcess(random *rand.Rand, name string, store keeper.Store, l *activityLog) {
	process := &pausableProcess{}
	for i := range 30 {
		ticket, err := leaser.Acquire(context.Background(), process.wrap(store), timekeeper.System{}, "tickets/pool", fmt.Sprintf("%s-%d", name, i), 2, leaser.DefaultOptions)
		if err != nil {
			<-time.After(time.Duration(100+random.IntN(1000)) * time.Millisecond)
			continue
		}
		if random.IntN(3) == 0 {
			process.pause(time.Duration(random.IntN(20)) * time.Second)
		}
		for range 20 {
			if !ticket.Valid() {
				break
			}
			l.enter(ticket.FencingToken())
			<-time.After(500 * time.Millisecond)
			l.leave()
		}
		ticket.Release(context.Background())
	}
}

// runProcesses runs six processes that compete for two tickets, on a store that loses
// calls and replies, and returns their activity.
func runProcesses(t *testing.T, seed uint64) *activityLog {
	t.Helper()
	l := &activityLog{}
	synctest.Test(t, func(_ *testing.T) {
		state := keyvalue.New(timekeeper.System{}, seed)
		state.SetFaults(keyvalue.Faults{Delay: 3 * time.Millisecond, LostReplies: 0.05, LostCalls: 0.05})
		var group sync.WaitGroup
		for i := range 6 {
			group.Add(1)
			go func() {
				defer group.Done()
				runProcess(rand.New(rand.NewPCG(seed, uint64(i))), fmt.Sprintf("rival-%d", i), state.Store(), l)
			}()
		}
		group.Wait()
	})
	return l
}

// TestNeverMoreHoldersThanTickets checks that at most two processes act at once,
// although holders are paused past their leases and replies get lost.
func TestNeverMoreHoldersThanTickets(t *testing.T) {
	for seed := range uint64(10) {
		l := runProcesses(t, seed)
		assert.Assert(t, l.maxActive <= 2, "seed %d: %d at once", seed, l.maxActive)
		assert.Assert(t, len(l.fencingTokens) > 50, "seed %d: only %d uses", seed, len(l.fencingTokens))
	}
}

// TestCheckerCatchesUncheckedLeases checks that the activityLog counts too many holders
// if they do not check their leases after a pause, and does not if they do.
func TestCheckerCatchesUncheckedLeases(t *testing.T) {
	for _, checksLease := range []bool{true, false} {
		l := &activityLog{}
		synctest.Test(t, func(t *testing.T) {
			store := keyvalue.New(timekeeper.System{}, 1).Store()
			process := &pausableProcess{}
			act := func(ticket *leaser.Ticket) {
				if !checksLease || ticket.Valid() {
					l.enter(ticket.FencingToken())
				}
			}
			acquire := func(store keeper.Store, name string) *leaser.Ticket {
				ticket, err := leaser.Acquire(t.Context(), store, timekeeper.System{}, "tickets/pool", name, 2, leaser.DefaultOptions)
				assert.NilError(t, err)
				return ticket
			}
			first, second := acquire(process.wrap(store), "first"), acquire(store, "second")
			process.pause(2 * leaser.DefaultOptions.TTL)
			third := acquire(store, "third")
			for _, ticket := range []*leaser.Ticket{first, second, third} {
				act(ticket)
			}
			for _, ticket := range []*leaser.Ticket{first, second, third} {
				ticket.Release(t.Context())
			}
		})
		assert.Equal(t, l.maxActive > 2, !checksLease)
	}
}

// TestFencingTokensGrow checks that each holder has a higher fencing token than the one
// before, and that the ticket of a paused holder becomes free.
func TestFencingTokensGrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := keyvalue.New(timekeeper.System{}, 1)
		last := uint64(0)
		for i := range 5 {
			process := &pausableProcess{}
			ticket, err := leaser.Acquire(t.Context(), process.wrap(state.Store()), timekeeper.System{}, "tickets/pool", fmt.Sprint(i), 1, leaser.DefaultOptions)
			assert.NilError(t, err)
			assert.Assert(t, ticket.FencingToken() > last)
			last = ticket.FencingToken()
			_, err = leaser.Acquire(t.Context(), state.Store(), timekeeper.System{}, "tickets/pool", "other", 1, leaser.DefaultOptions)
			assert.ErrorIs(t, err, leaser.ErrNoTicketFree)
			process.pause(time.Minute)
			assert.Assert(t, !ticket.Valid())
			ticket.Release(t.Context())
		}
	})
}

// TestLostLeaseEndsItsTicket guards against two holders at a time (ONE): the store has lost the lease, as it
// may while it is down, another process takes the ticket, and the first holds it for valid until
// the time has passed for which it was granted.
func TestLostLeaseEndsItsTicket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := keyvalue.New(timekeeper.System{}, 1).Store()
		var lost atomic.Bool
		renew := store.Renew
		store.Renew = func(ctx context.Context, lease string) error {
			if lost.Load() {
				return keeper.ErrLeaseLost
			}
			return renew(ctx, lease)
		}
		ticket, err := leaser.Acquire(t.Context(), store, timekeeper.System{}, "tickets/pool", "first", 1, leaser.DefaultOptions)
		assert.NilError(t, err)
		<-time.After(leaser.DefaultOptions.TTL)
		assert.Check(t, ticket.Valid())
		lost.Store(true)
		<-time.After(leaser.DefaultOptions.TTL/3 + time.Millisecond)
		assert.Check(t, !ticket.Valid())
		ticket.Release(t.Context())
	})
}
