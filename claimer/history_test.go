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

// operationKind is the kind of an operation of the history: a call of Take with its
// result, or a release.
type operationKind int

const (
	// granted means that the claim was granted to the attempt.
	granted operationKind = iota
	// heldByOther means that the claim of another attempt was returned.
	heldByOther
	// refused means that Take returned an error.
	refused
	// released means that the key was released because the attempt did not run.
	released
)

// operation is one operation on one key.
type operation struct {
	key  string
	kind operationKind
	// attempt is the attempt that was proposed or released.
	attempt string
	// returned is the attempt whose claim was returned, for heldByOther.
	returned string
}

// neverReturned is the return time of an operation that may take effect at any time
// after its call; it is later than every other time.
const neverReturned = int64(1) << 60

// claimModel is the specification. Its state is the attempt that holds the key, or ""
// if the key is free; only a release makes it free again. A refused proposal may hold
// the key for a while, until its release.
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
		case heldByOther:
			if holder == op.returned {
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

// recorder collects a history and, as the backend server would see it, which attempts
// ran.
type recorder struct {
	// tick is the logical clock that call and return times are taken from.
	tick atomic.Int64
	mu   sync.Mutex
	ops  []porcupine.Operation
	// runs holds the attempts that ran, by key.
	runs map[string][]string
}

func (r *recorder) recordOperation(client int, op operation, call, ret int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: op, Call: call, Return: ret})
}

func (r *recorder) recordRun(key, attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[key] = append(r.runs[key], attempt)
}

// schedule describes one seeded run of concurrent clients under faults.
type schedule struct {
	seed    uint64
	holders int
	clients int
	// calls is the number of claims that each client tries to take.
	calls int
	keys  int
	// wrapStore may replace functions of the store by broken ones.
	wrapStore func(keeper.Store) keeper.Store
}

// run runs the schedule in virtual time and returns the history and the number
// of faults injected.
func (s schedule) run(t *testing.T) (*recorder, int) {
	t.Helper()
	r := &recorder{runs: map[string][]string{}}
	faults := 0
	synctest.Test(t, func(_ *testing.T) {
		state := keyvalue.New(timekeeper.System{}, s.seed)
		store := s.wrapStore(state.Store())
		pool := &holderPool{store: store}
		for i := range s.holders {
			pool.claims = append(pool.claims, pool.start(i))
		}
		stop := make(chan struct{})
		var faultInjector, clientGroup sync.WaitGroup
		faultInjector.Add(1)
		go func() {
			defer faultInjector.Done()
			faults = s.injectFaults(state, pool, stop)
		}()
		for client := range s.clients {
			clientGroup.Add(1)
			go func() {
				defer clientGroup.Done()
				s.runClient(client, r, pool)
			}()
		}
		clientGroup.Wait()
		close(stop)
		faultInjector.Wait()
		state.SetFaults(keyvalue.Faults{})
		pool.close()
	})
	return r, faults
}

// holderPool holds the claims of several simulated processes; each process may be
// restarted.
type holderPool struct {
	store  keeper.Store
	mu     sync.Mutex
	claims []*claimer.Claims
	// starts counts the starts, to give each its own incarnation.
	starts int
}

func (h *holderPool) start(i int) *claimer.Claims {
	h.starts++
	options := claimer.DefaultOptions
	options.Ranges = 2
	holder := claimer.Holder{Sidecar: fmt.Sprintf("sidecar-%d", i), Incarnation: fmt.Sprintf("incarnation-%d", h.starts)}
	return claimer.New(h.store, timekeeper.System{}, "booking", holder, options)
}

func (h *holderPool) get(i int) *claimer.Claims {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.claims[i%len(h.claims)]
}

// restart replaces one holder by a new one under a new incarnation and closes the old
// one without a flush.
func (h *holderPool) restart(i int) {
	h.mu.Lock()
	old := h.claims[i]
	h.claims[i] = h.start(i)
	h.mu.Unlock()
	// Outside the lock: virtual time stands still while a goroutine waits for a mutex.
	old.Close()
}

func (h *holderPool) close() {
	for _, claims := range h.claims {
		claims.Close()
	}
}

// injectFaults changes the faults of the store and restarts holders at random intervals
// until stop, and returns how often. Several faults at once and the same fault twice in
// a row do occur.
func (s schedule) injectFaults(state *keyvalue.State, pool *holderPool, stop chan struct{}) int {
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
			pool.restart(random.IntN(s.holders))
		}
		state.SetFaults(faults)
	}
}

// runClient takes claims on few keys as a sidecar does: for each claim that is granted
// it runs the attempt or releases the claim.
func (s schedule) runClient(client int, r *recorder, pool *holderPool) {
	random := rand.New(rand.NewPCG(s.seed, uint64(100+client)))
	for i := range s.calls {
		key := fmt.Sprintf("key-%d", random.IntN(s.keys))
		attempt := fmt.Sprintf("attempt-%d-%d", client, i)
		claims := pool.get(random.IntN(s.holders))
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(50+random.IntN(1500))*time.Millisecond)
		call := r.tick.Add(1)
		claim, err := claims.Take(ctx, key, "digest", attempt)
		ret := r.tick.Add(1)
		cancel()
		switch {
		case err != nil:
			r.recordOperation(client, operation{key: key, kind: refused, attempt: attempt}, call, neverReturned)
			r.recordOperation(client, operation{key: key, kind: released, attempt: attempt}, call, neverReturned)
		case claim.Attempt != attempt:
			r.recordOperation(client, operation{key: key, kind: heldByOther, attempt: attempt, returned: claim.Attempt}, call, ret)
		default:
			r.recordOperation(client, operation{key: key, kind: granted, attempt: attempt}, call, ret)
			s.runOrRelease(client, random, r, claims, key, attempt)
		}
		<-time.After(time.Duration(random.IntN(50)) * time.Millisecond)
	}
}

// runOrRelease runs the granted attempt or, one time in four, releases its claim.
func (s schedule) runOrRelease(client int, random *rand.Rand, r *recorder, claims *claimer.Claims, key, attempt string) {
	if random.IntN(4) == 0 {
		call := r.tick.Add(1)
		claims.RecordOutcome(key, attempt, claimer.NotRun, nil)
		r.recordOperation(client, operation{key: key, kind: released, attempt: attempt}, call, neverReturned)
		return
	}
	// An attempt that is paused here for long may still run, since its claim is never
	// given to another attempt.
	<-time.After(time.Duration(random.IntN(3000)) * time.Millisecond)
	r.recordRun(key, attempt)
	claims.RecordOutcome(key, attempt, claimer.Answered, []byte("answer of "+attempt))
}

// unmodified is the schedule.wrapStore of a store that works as specified.
func unmodified(store keeper.Store) keeper.Store { return store }

// checkHistory returns an error if a key ran more than once or the operations are not
// linearizable.
func checkHistory(r *recorder) error {
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

// TestClaimsAreLinearizableUnderFaults checks that no key runs twice while the store
// loses calls and replies and holders restart.
func TestClaimsAreLinearizableUnderFaults(t *testing.T) {
	for seed := range uint64(20) {
		r, faults := schedule{seed: seed, holders: 3, clients: 8, calls: 60, keys: 16, wrapStore: unmodified}.run(t)
		assert.NilError(t, checkHistory(r), "seed %d", seed)
		assert.Assert(t, faults > 3, "seed %d", seed)
		t.Logf("seed %d: %d operations, %d faults, %d keys run", seed, len(r.ops), faults, len(r.runs))
	}
}

// TestCheckerCatchesUnconditionalWrites makes sure that the checker detects a
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
		r, _ := schedule{seed: seed, holders: 3, clients: 8, calls: 25, keys: 6, wrapStore: broken}.run(t)
		if checkHistory(r) != nil {
			caught++
		}
	}
	assert.Assert(t, caught > 0)
}
