package registrar_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cyclamenward/cyclamenward/internal/standin/keyvalue"
	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/cyclamenward/cyclamenward/registrar"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// applyInput is the input of one call of Apply. A call of Get has an empty one.
type applyInput struct {
	operationID string
	expected    uint64
}

// outcome is the result of a call of Apply or Get.
type outcome struct {
	// result is "read", "accepted", "conflict", "notWritten" or "unknown".
	result   string
	revision uint64
	text     string
}

// registerState is the state of the model: the current revision and the ID of the
// operation that made it, which is also the revision's text.
type registerState struct {
	revision    uint64
	operationID string
}

// neverReturned is the return time of a call that may take effect at any time after it
// was made; it is later than every other time.
const neverReturned = int64(1) << 60

// registerModel is the specification: a document is accepted only if the expected
// revision is current. A call with an unknown outcome may or may not take effect.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, output any) []any {
		current, in, out := state.(registerState), input.(applyInput), output.(outcome)
		next := registerState{in.expected + 1, in.operationID}
		switch out.result {
		case "read":
			if out.revision == current.revision && out.text == current.operationID {
				return []any{current}
			}
		case "accepted":
			if current.revision == in.expected && out.revision == next.revision {
				return []any{next}
			}
		case "conflict":
			if current.revision != in.expected {
				return []any{current}
			}
		case "notWritten":
			return []any{current}
		case "unknown":
			if current.revision == in.expected {
				return []any{current, next}
			}
			return []any{current}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// Operators draw the deadline of a call up to one of these. With the short one, a call often
// ends right after its reply was lost; with the long one, it finds out what became of its write.
const (
	shortPatience = 100 * time.Millisecond
	longPatience  = 1500 * time.Millisecond
)

// runOperators makes four operators apply documents to one service concurrently while
// the store is slow, down or loses calls and replies. It returns the history of the calls,
// the earlier revisions whose texts the store does not have and the number of faults injected.
func runOperators(t *testing.T, seed uint64, patience time.Duration, wrapStore func(keeper.Store) keeper.Store) (history []porcupine.Operation, lostTexts []uint64, faultCount int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		state := keyvalue.New(timekeeper.System{}, seed)
		var tick atomic.Int64
		var mu sync.Mutex
		var operatorGroup, faultInjector sync.WaitGroup
		stop := make(chan struct{})
		faultInjector.Add(1)
		go func() {
			defer faultInjector.Done()
			random := rand.New(rand.NewPCG(seed, 9))
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(10+random.IntN(100)) * time.Millisecond):
				}
				faultCount++
				faults := keyvalue.Faults{Delay: time.Duration(random.IntN(20)) * time.Millisecond}
				switch random.IntN(4) {
				case 0:
					faults.Down = true
				case 1:
					faults.LostReplies = 0.6
				case 2:
					faults.LostReplies, faults.LostCalls = 0.3, 0.3
				}
				state.SetFaults(faults)
			}
		}()
		for operator := range 4 {
			operatorGroup.Add(1)
			go func() {
				defer operatorGroup.Done()
				random := rand.New(rand.NewPCG(seed, uint64(operator)))
				register := registrar.New(wrapStore(state.Store()), timekeeper.System{})
				for i, tries := 0, 0; i < 12 && tries < 200; tries++ {
					operationID := fmt.Sprintf("operation-%d-%d", operator, i)
					start := tick.Add(1)
					record, err := register.Get(context.Background(), "service")
					end := tick.Add(1)
					if err != nil && !errors.Is(err, keeper.ErrNotFound) {
						<-time.After(20 * time.Millisecond)
						continue
					}
					i++
					read := outcome{result: "read"}
					if record != nil {
						read.revision, read.text = record.Revision, record.Text
					}
					mu.Lock()
					history = append(history, porcupine.Operation{ClientId: operator, Input: applyInput{}, Output: read, Call: start, Return: end})
					mu.Unlock()
					ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond+time.Duration(random.IntN(int(patience.Milliseconds())))*time.Millisecond)
					start = tick.Add(1)
					revision, err := register.Apply(ctx, "service", operationID, operationID, read.revision)
					end = tick.Add(1)
					cancel()
					out := outcome{result: "accepted", revision: revision}
					switch {
					case errors.Is(err, registrar.ErrConflict):
						out.result = "conflict"
					case errors.Is(err, registrar.ErrUnknownOutcome):
						out.result, end = "unknown", neverReturned
					case err != nil:
						out.result = "notWritten"
					}
					mu.Lock()
					history = append(history, porcupine.Operation{ClientId: operator, Input: applyInput{operationID, read.revision}, Output: out, Call: start, Return: end})
					mu.Unlock()
					<-time.After(time.Duration(random.IntN(100)) * time.Millisecond)
				}
			}()
		}
		operatorGroup.Wait()
		close(stop)
		faultInjector.Wait()
		state.SetFaults(keyvalue.Faults{})
		register := registrar.New(state.Store(), timekeeper.System{})
		record, err := register.Get(t.Context(), "service")
		assert.NilError(t, err)
		for _, earlier := range record.Earlier {
			if text, err := register.Text(t.Context(), "service", earlier.Revision); err != nil || text != earlier.OperationID {
				lostTexts = append(lostTexts, earlier.Revision)
			}
		}
	})
	return history, lostTexts, faultCount
}

// TestOperatorsRaceOnOneRegister checks that concurrent calls of Apply and Get are
// linearizable under faults, and that the texts of all earlier revisions are kept.
func TestOperatorsRaceOnOneRegister(t *testing.T) {
	for _, patience := range []time.Duration{longPatience, shortPatience} {
		for seed := range uint64(30) {
			history, lostTexts, faults := runOperators(t, seed, patience, func(store keeper.Store) keeper.Store { return store })
			assert.Equal(t, len(lostTexts), 0, "patience %v, seed %d: texts of revisions %v", patience, seed, lostTexts)
			result := porcupine.CheckOperationsTimeout(registerModel.ToModel(), history, time.Minute)
			assert.Equal(t, result, porcupine.Ok, "patience %v, seed %d", patience, seed)
			if seed%10 == 0 {
				t.Logf("patience %v, seed %d: %d operations, %d faults", patience, seed, len(history), faults)
			}
		}
	}
}

// TestCheckerCatchesRefusedWrites makes sure that the checker detects a store client
// that reports a lost reply as a write that did not happen.
func TestCheckerCatchesRefusedWrites(t *testing.T) {
	broken := func(store keeper.Store) keeper.Store {
		swap := store.Swap
		store.Swap = func(ctx context.Context, s keeper.Swap) (uint64, error) {
			version, err := swap(ctx, s)
			if errors.Is(err, keeper.ErrUnknownOutcome) {
				return 0, keeper.ErrUnavailable
			}
			return version, err
		}
		return store
	}
	caught := 0
	for seed := range uint64(30) {
		history, _, _ := runOperators(t, seed, shortPatience, broken)
		if porcupine.CheckOperationsTimeout(registerModel.ToModel(), history, time.Minute) == porcupine.Illegal {
			caught++
		}
	}
	assert.Assert(t, caught > 0)
}

// TestCheckerCatchesLostTexts makes sure that a store client is detected that reports a lost
// call of an earlier text as a write.
func TestCheckerCatchesLostTexts(t *testing.T) {
	broken := func(store keeper.Store) keeper.Store {
		swap := store.Swap
		store.Swap = func(ctx context.Context, s keeper.Swap) (uint64, error) {
			version, err := swap(ctx, s)
			if errors.Is(err, keeper.ErrUnknownOutcome) && strings.HasPrefix(s.Key, "history/") {
				return 0, nil
			}
			return version, err
		}
		return store
	}
	caught := 0
	for seed := range uint64(30) {
		if _, lostTexts, _ := runOperators(t, seed, longPatience, broken); len(lostTexts) > 0 {
			caught++
		}
	}
	assert.Assert(t, caught > 0)
}

// TestLostReplyIsResolvedByOperationID applies a document whose reply is lost and, after
// the next revision was accepted, applies it again with the same operation ID. It must
// get the revision that the first call made.
func TestLostReplyIsResolvedByOperationID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := keyvalue.New(timekeeper.System{}, 1)
		register := registrar.New(state.Store(), timekeeper.System{})
		state.SetFaults(keyvalue.Faults{LostReplies: 1})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, err := register.Apply(ctx, "service", "text", "operation", 0)
		assert.ErrorIs(t, err, registrar.ErrUnknownOutcome)
		state.SetFaults(keyvalue.Faults{})
		_, err = register.Apply(t.Context(), "service", "next", "other", 1)
		assert.NilError(t, err)
		revision, err := register.Apply(t.Context(), "service", "text", "operation", 0)
		assert.NilError(t, err)
		assert.Equal(t, revision, uint64(1))
		text, err := register.Text(t.Context(), "service", 1)
		assert.NilError(t, err)
		assert.Equal(t, text, "text")
	})
}

// TestHistorySurvivesLostCall has the store lose the call that keeps the text of the
// revision before, whose outcome then is unknown. The text is kept all the same.
func TestHistorySurvivesLostCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := keyvalue.New(timekeeper.System{}, 1).Store()
		swap, lost := store.Swap, false
		store.Swap = func(ctx context.Context, s keeper.Swap) (uint64, error) {
			if !lost && string(s.Value) == "first" {
				lost = true
				return 0, keeper.ErrUnknownOutcome
			}
			return swap(ctx, s)
		}
		register := registrar.New(store, timekeeper.System{})
		_, err := register.Apply(t.Context(), "service", "first", "a", 0)
		assert.NilError(t, err)
		_, err = register.Apply(t.Context(), "service", "second", "b", 1)
		assert.NilError(t, err)
		assert.Assert(t, lost)
		text, err := register.Text(t.Context(), "service", 1)
		assert.NilError(t, err)
		assert.Equal(t, text, "first")
	})
}
