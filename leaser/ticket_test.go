package leaser_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/keyvalue"
	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/cyclamenward/cyclamenward/leaser"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// pausable is a process whose store calls stand still while it is paused.
type pausable struct {
	mu     sync.Mutex
	paused chan struct{}
}

func (p *pausable) pause(d time.Duration) {
	gate := make(chan struct{})
	p.mu.Lock()
	p.paused = gate
	p.mu.Unlock()
	<-time.After(d)
	close(gate)
}

func (p *pausable) wait() {
	p.mu.Lock()
	gate := p.paused
	p.mu.Unlock()
	if gate != nil {
		<-gate
	}
}

func (p *pausable) wrap(store keeper.Store) keeper.Store {
	renew := store.Renew
	store.Renew = func(ctx context.Context, lease string) error {
		p.wait()
		return renew(ctx, lease)
	}
	return store
}

// ledger is the backend's view of who acts at the same time.
type ledger struct {
	mu     sync.Mutex
	active int
	most   int
	fences []uint64
}

func (l *ledger) enter(fence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active++
	l.most = max(l.most, l.active)
	l.fences = append(l.fences, fence)
}

func (l *ledger) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active--
}

// rival is a process that takes tickets, is paused for longer than a lease at
// times, and acts only while its ticket is valid.
func rival(random *rand.Rand, name string, store keeper.Store, l *ledger) {
	process := &pausable{}
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

func contest(t *testing.T, seed uint64) *ledger {
	t.Helper()
	l := &ledger{}
	synctest.Test(t, func(_ *testing.T) {
		state := keyvalue.New(timekeeper.System{}, seed)
		state.SetFaults(keyvalue.Faults{Delay: 3 * time.Millisecond, LostReplies: 0.05, LostCalls: 0.05})
		var group sync.WaitGroup
		for i := range 6 {
			group.Add(1)
			go func() {
				defer group.Done()
				rival(rand.New(rand.NewPCG(seed, uint64(i))), fmt.Sprintf("rival-%d", i), state.Store(), l)
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
		l := contest(t, seed)
		assert.Assert(t, l.most <= 2, "seed %d: %d at once", seed, l.most)
		assert.Assert(t, len(l.fences) > 50, "seed %d: only %d uses", seed, len(l.fences))
	}
}

// TestCheckerCatchesUncheckedLeases makes sure that the ledger notices a holder
// that does not look at its lease after a pause, and that one that does is not
// counted.
func TestCheckerCatchesUncheckedLeases(t *testing.T) {
	for _, looks := range []bool{true, false} {
		l := &ledger{}
		synctest.Test(t, func(t *testing.T) {
			store := keyvalue.New(timekeeper.System{}, 1).Store()
			paused := &pausable{}
			act := func(ticket *leaser.Ticket) {
				if !looks || ticket.Valid() {
					l.enter(ticket.FencingToken())
				}
			}
			acquire := func(store keeper.Store, name string) *leaser.Ticket {
				ticket, err := leaser.Acquire(t.Context(), store, timekeeper.System{}, "tickets/pool", name, 2, leaser.DefaultOptions)
				assert.NilError(t, err)
				return ticket
			}
			first, second := acquire(paused.wrap(store), "first"), acquire(store, "second")
			paused.pause(2 * leaser.DefaultOptions.TTL)
			third := acquire(store, "third")
			for _, ticket := range []*leaser.Ticket{first, second, third} {
				act(ticket)
			}
			for _, ticket := range []*leaser.Ticket{first, second, third} {
				ticket.Release(t.Context())
			}
		})
		assert.Equal(t, l.most > 2, !looks)
	}
}

// TestFencesGrow checks that a later holder has a higher fencing number, and
// that a ticket of a holder that died becomes free.
func TestFencesGrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := keyvalue.New(timekeeper.System{}, 1)
		last := uint64(0)
		for i := range 5 {
			process := &pausable{}
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
