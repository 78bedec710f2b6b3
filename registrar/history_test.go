package registrar_test

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
	"github.com/cyclamenward/cyclamenward/internal/standin/keyvalue"
	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/cyclamenward/cyclamenward/registrar"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// applied is the input of one application; a read has no operation.
type applied struct {
	operation string
	match     uint64
}

// outcome is what the operator was told.
type outcome struct {
	result   string
	revision uint64
	text     string
}

// current is the state of the register in the model.
type current struct {
	revision  uint64
	operation string
}

// never is a return time after every call.
const never = int64(1) << 60

var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{current{}} },
	Step: func(state, input, output any) []any {
		now, in, out := state.(current), input.(applied), output.(outcome)
		next := current{in.match + 1, in.operation}
		switch out.result {
		case "read":
			if out.revision == now.revision && out.text == now.operation {
				return []any{now}
			}
		case "accepted":
			if now.revision == in.match && out.revision == next.revision {
				return []any{next}
			}
		case "conflict":
			if now.revision != in.match {
				return []any{now}
			}
		case "notWritten":
			return []any{now}
		case "unknown":
			if now.revision == in.match {
				return []any{now, next}
			}
			return []any{now}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// race lets operators edit one service at once while the store misbehaves.
func race(t *testing.T, seed uint64, change func(keeper.Store) keeper.Store) ([]porcupine.Operation, int) {
	t.Helper()
	var history []porcupine.Operation
	faultCount := 0
	synctest.Test(t, func(_ *testing.T) {
		state := keyvalue.New(timekeeper.System{}, seed)
		var tick atomic.Int64
		var mu sync.Mutex
		var group, chaos sync.WaitGroup
		stop := make(chan struct{})
		chaos.Add(1)
		go func() {
			defer chaos.Done()
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
			group.Add(1)
			go func() {
				defer group.Done()
				random := rand.New(rand.NewPCG(seed, uint64(operator)))
				register := registrar.New(change(state.Store()), timekeeper.System{})
				for i, tries := 0, 0; i < 12 && tries < 200; tries++ {
					operation := fmt.Sprintf("operation-%d-%d", operator, i)
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
					history = append(history, porcupine.Operation{ClientId: operator, Input: applied{}, Output: read, Call: start, Return: end})
					mu.Unlock()
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(20+random.IntN(1500))*time.Millisecond)
					start = tick.Add(1)
					revision, err := register.Apply(ctx, "service", operation, operation, read.revision)
					end = tick.Add(1)
					cancel()
					out := outcome{result: "accepted", revision: revision}
					switch {
					case errors.Is(err, registrar.ErrConflict):
						out.result = "conflict"
					case errors.Is(err, registrar.ErrUnknownOutcome):
						out.result, end = "unknown", never
					case err != nil:
						out.result = "notWritten"
					}
					mu.Lock()
					history = append(history, porcupine.Operation{ClientId: operator, Input: applied{operation, read.revision}, Output: out, Call: start, Return: end})
					mu.Unlock()
					<-time.After(time.Duration(random.IntN(100)) * time.Millisecond)
				}
			}()
		}
		group.Wait()
		close(stop)
		chaos.Wait()
	})
	return history, faultCount
}

func TestOperatorsRaceOnOneRegister(t *testing.T) {
	for seed := range uint64(30) {
		history, faults := race(t, seed, func(store keeper.Store) keeper.Store { return store })
		assert.Equal(t, porcupine.CheckOperationsTimeout(registerModel.ToModel(), history, time.Minute), porcupine.Ok, "seed %d", seed)
		if seed%10 == 0 {
			t.Logf("seed %d: %d operations, %d faults", seed, len(history), faults)
		}
	}
}

// TestCheckerCatchesRefusedWrites makes sure that the checker notices a store
// client that takes a lost reply for a refusal.
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
		history, _ := race(t, seed, broken)
		if porcupine.CheckOperationsTimeout(registerModel.ToModel(), history, time.Minute) == porcupine.Illegal {
			caught++
		}
	}
	assert.Assert(t, caught > 0)
}

// TestLostReplyIsResolvedByOperationID applies a document whose reply is lost and
// asks again with the same id.
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
