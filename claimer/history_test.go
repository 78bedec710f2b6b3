package claimer_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cyclamenward/cyclamenward/claimer"
	"github.com/cyclamenward/cyclamenward/internal/standin/keyvalue"
	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// kind tells what an operation of the history did.
type kind int

const (
	granted kind = iota
	// other means that the claim of another attempt was returned.
	other
	// refused means that the attempt was told that it was granted nothing.
	refused
	// released means that the attempt proved that it did not run.
	released
)

// operation is one operation on one key.
type operation struct {
	key     string
	kind    kind
	attempt string
	// seen is the attempt whose claim was returned.
	seen string
}

// never is a return time after every call.
const never = int64(1) << 60

// claimModel is the specification: a key is free or held by one attempt, and it
// becomes free again only by a release. A refused proposal may hold the key for
// a while, until its release.
var claimModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(operation).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Step: func(state, input, _ any) []any {
		holder, op := state.(string), input.(operation)
		switch op.kind {
		case granted:
			if holder == "" {
				return []any{op.attempt}
			}
			return nil
		case other:
			if holder == op.seen {
				return []any{holder}
			}
			return nil
		case refused:
			if holder == "" {
				return []any{"", op.attempt}
			}
			return []any{holder}
		default:
			if holder == op.attempt {
				return []any{""}
			}
			return []any{holder}
		}
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(input, _ any) string {
		return fmt.Sprintf("%+v", input)
	},
}

// recorder collects a history and the backend server's own record of runs.
type recorder struct {
	tick atomic.Int64
	mu   sync.Mutex
	ops  []porcupine.Operation
	runs map[string][]string
}

func (r *recorder) add(client int, op operation, call, ret int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: op, Call: call, Return: ret})
}

func (r *recorder) run(key, attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[key] = append(r.runs[key], attempt)
}

// schedule is one seeded run of concurrent clients under faults.
type schedule struct {
	seed    uint64
	holders int
	clients int
	calls   int
	keys    int
	// store may replace the store's functions by broken ones.
	store func(keeper.Store) keeper.Store
}

// play runs the schedule in virtual time and returns the history and the number
// of faults brought about.
func (s schedule) play(t *testing.T) (*recorder, int) {
	t.Helper()
	r := &recorder{runs: map[string][]string{}}
	faults := 0
	synctest.Test(t, func(_ *testing.T) {
		state := keyvalue.New(timekeeper.System{}, s.seed)
		store := s.store(state.Store())
		fleet := &holders{store: store}
		for i := range s.holders {
			fleet.list = append(fleet.list, fleet.start(i))
		}
		stop := make(chan struct{})
		var chaos, group sync.WaitGroup
		chaos.Add(1)
		go func() {
			defer chaos.Done()
			faults = s.disturb(state, fleet, stop)
		}()
		for client := range s.clients {
			group.Add(1)
			go func() {
				defer group.Done()
				s.client(client, r, fleet)
			}()
		}
		group.Wait()
		close(stop)
		chaos.Wait()
		state.SetFaults(keyvalue.Faults{})
		fleet.close()
	})
	return r, faults
}

// holders are the processes that take claims; each may be restarted.
type holders struct {
	store keeper.Store
	mu    sync.Mutex
	list  []*claimer.Claims
	next  int
}

func (h *holders) start(i int) *claimer.Claims {
	h.next++
	options := claimer.DefaultOptions
	options.Ranges = 2
	holder := claimer.Holder{Sidecar: fmt.Sprintf("sidecar-%d", i), Incarnation: fmt.Sprintf("incarnation-%d", h.next)}
	return claimer.New(h.store, timekeeper.System{}, "booking", holder, options)
}

func (h *holders) get(i int) *claimer.Claims {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.list[i%len(h.list)]
}

// restart kills one holder and starts it under a new incarnation.
func (h *holders) restart(i int) {
	h.mu.Lock()
	old := h.list[i]
	h.list[i] = h.start(i)
	h.mu.Unlock()
	// Outside the lock: virtual time stands still while a goroutine waits for it.
	old.Close()
}

func (h *holders) close() {
	for _, claims := range h.list {
		claims.Close()
	}
}

// disturb changes the faults of the store and kills holders until stop, several
// faults at once and the same fault twice in a row included.
func (s schedule) disturb(state *keyvalue.State, fleet *holders, stop chan struct{}) int {
	random := rand.New(rand.NewPCG(s.seed, 7))
	count := 0
	for {
		select {
		case <-stop:
			return count
		case <-time.After(time.Duration(20+random.IntN(400)) * time.Millisecond):
		}
		count++
		faults := keyvalue.Faults{Delay: time.Duration(random.IntN(8)) * time.Millisecond}
		switch random.IntN(5) {
		case 0:
			faults.Down = true
		case 1:
			faults.LostReplies = 0.5
		case 2:
			faults.LostReplies, faults.LostCalls = 0.4, 0.3
		case 3:
			fleet.restart(random.IntN(s.holders))
		}
		state.SetFaults(faults)
	}
}

// client takes claims on few keys and behaves as a sidecar does: it runs what it
// was granted, and releases it when it did not run it.
func (s schedule) client(client int, r *recorder, fleet *holders) {
	random := rand.New(rand.NewPCG(s.seed, uint64(100+client)))
	for i := range s.calls {
		key := fmt.Sprintf("key-%d", random.IntN(s.keys))
		attempt := fmt.Sprintf("attempt-%d-%d", client, i)
		claims := fleet.get(random.IntN(s.holders))
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(50+random.IntN(1500))*time.Millisecond)
		call := r.tick.Add(1)
		claim, err := claims.Take(ctx, key, "digest", attempt)
		ret := r.tick.Add(1)
		cancel()
		switch {
		case err != nil:
			r.add(client, operation{key: key, kind: refused, attempt: attempt}, call, never)
			r.add(client, operation{key: key, kind: released, attempt: attempt}, call, never)
		case claim.Attempt != attempt:
			r.add(client, operation{key: key, kind: other, attempt: attempt, seen: claim.Attempt}, call, ret)
		default:
			r.add(client, operation{key: key, kind: granted, attempt: attempt}, call, ret)
			s.use(client, random, r, claims, key, attempt)
		}
		<-time.After(time.Duration(random.IntN(50)) * time.Millisecond)
	}
}

// use runs the granted attempt, or proves that it did not run.
func (s schedule) use(client int, random *rand.Rand, r *recorder, claims *claimer.Claims, key, attempt string) {
	if random.IntN(4) == 0 {
		call := r.tick.Add(1)
		claims.RecordOutcome(key, attempt, claimer.NotRun, nil)
		r.add(client, operation{key: key, kind: released, attempt: attempt}, call, never)
		return
	}
	// A holder that is paused here for long still runs, since its claim is
	// never given to another.
	<-time.After(time.Duration(random.IntN(3000)) * time.Millisecond)
	r.run(key, attempt)
	claims.RecordOutcome(key, attempt, claimer.Answered, []byte("answer of "+attempt))
}

func sound(store keeper.Store) keeper.Store { return store }

// check returns what is wrong with a history.
func check(r *recorder) error {
	for key, runs := range r.runs {
		if len(runs) > 1 {
			return fmt.Errorf("%s ran %d times: %v", key, len(runs), runs)
		}
	}
	if porcupine.CheckOperationsTimeout(claimModel.ToModel(), r.ops, time.Minute) == porcupine.Illegal {
		return errors.New("history is not linearizable")
	}
	return nil
}

func TestClaimsAreLinearizableUnderFaults(t *testing.T) {
	for seed := range uint64(20) {
		r, faults := schedule{seed: seed, holders: 3, clients: 8, calls: 60, keys: 16, store: sound}.play(t)
		assert.NilError(t, check(r), "seed %d", seed)
		assert.Assert(t, faults > 3, "seed %d", seed)
		t.Logf("seed %d: %d operations, %d faults, %d keys run", seed, len(r.ops), faults, len(r.runs))
	}
}

// TestCheckerCatchesUnconditionalWrites makes sure that the checker notices a
// store whose writes do not compare versions.
func TestCheckerCatchesUnconditionalWrites(t *testing.T) {
	broken := func(store keeper.Store) keeper.Store {
		swap := store.Swap
		store.Swap = func(ctx context.Context, s keeper.Swap) (uint64, error) {
			if entry, err := store.Get(ctx, s.Key); err == nil {
				s.Expected = entry.Version
			} else {
				s.Expected = 0
			}
			return swap(ctx, s)
		}
		return store
	}
	caught := 0
	for seed := range uint64(5) {
		r, _ := schedule{seed: seed, holders: 3, clients: 8, calls: 25, keys: 6, store: broken}.play(t)
		if check(r) != nil {
			caught++
		}
	}
	assert.Assert(t, caught > 0)
}
