package admitter_test

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cyclamenward/cyclamenward/admitter"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var limits = admitter.Limits{MaxRecords: 1000, Retention: time.Minute}

// TestTableAgainstModel drives one table by random calls and compares it with
// the specification: an attempt starts at most once, and what was called not run
// never starts.
func TestTableAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := admitter.New(timekeeper.System{}, "one", limits)
		started, final := map[string]bool{}, map[string]admitter.Outcome{}
		leaving := false
		attempt := rapid.Map(rapid.IntRange(0, 5), func(i int) string { return fmt.Sprintf("attempt-%d", i) })
		incarnation := rapid.SampledFrom([]string{"one", "one", "one", "two"})
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				a, i := attempt.Draw(t, "attempt"), incarnation.Draw(t, "incarnation")
				err := table.Admit(a, i)
				want := i == "one" && !started[a] && final[a] == "" && !leaving
				assert.Equal(t, err == nil, want, "%v", err)
				if err == nil {
					started[a] = true
				} else if errors.Is(err, admitter.ErrLeaving) {
					final[a] = admitter.NotRun
				}
			},
			"finish": func(t *rapid.T) {
				a := attempt.Draw(t, "attempt")
				outcome := rapid.SampledFrom([]admitter.Outcome{admitter.Answered, admitter.Unknown}).Draw(t, "outcome")
				table.Finish(a, outcome)
				if started[a] && final[a] == "" {
					final[a] = outcome
				}
			},
			"resolve": func(t *rapid.T) {
				a, i := attempt.Draw(t, "attempt"), incarnation.Draw(t, "incarnation")
				got := table.Resolve(a, i)
				switch {
				case i != "one":
					assert.Equal(t, got, admitter.Unknown)
				case final[a] != "":
					assert.Equal(t, got, final[a])
				case started[a]:
					assert.Equal(t, got, admitter.Running)
				default:
					assert.Equal(t, got, admitter.NotRun)
					final[a] = admitter.NotRun
				}
			},
			"leave": func(t *rapid.T) {
				leaving = leaving || rapid.IntRange(0, 9).Draw(t, "leave") == 0
				if leaving {
					table.Leave()
				}
			},
		})
	})
}

// call is one operation of a concurrent history on one attempt.
type call struct {
	attempt string
	resolve bool
}

// attemptModel: an attempt is new, started or given up.
var attemptModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, op := range history {
			a := op.Input.(call).attempt
			parts[a] = append(parts[a], op)
		}
		var result [][]porcupine.Operation
		for _, part := range parts {
			result = append(result, part)
		}
		return result
	},
	Init: func() any { return "new" },
	Step: func(state, input, output any) (bool, any) {
		if input.(call).resolve {
			switch state {
			case "new":
				return output == string(admitter.NotRun), "givenUp"
			case "givenUp":
				return output == string(admitter.NotRun), state
			default:
				return output == string(admitter.Running), state
			}
		}
		if output == "admitted" {
			return state == "new", "started"
		}
		return state != "new", state
	},
}

// table is what the concurrent check needs of a table.
type table interface {
	Admit(attempt, incarnation string) error
	Resolve(attempt, incarnation string) admitter.Outcome
}

// forgetful is a broken table that gives attempts up without a tombstone.
type forgetful struct{ *admitter.Table }

func (f forgetful) Resolve(attempt, incarnation string) admitter.Outcome {
	if err := f.Admit(attempt+"-probe", incarnation); err != nil {
		return admitter.Unknown
	}
	return admitter.NotRun
}

// race lets several connections carry copies of attempts while others give them up.
func race(t table) porcupine.CheckResult {
	var tick atomic.Int64
	var mu sync.Mutex
	var history []porcupine.Operation
	var group sync.WaitGroup
	for client := range 8 {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := range 50 {
				input := call{attempt: fmt.Sprintf("attempt-%d", i), resolve: (client+i)%3 == 0}
				start := tick.Add(1)
				output := ""
				if input.resolve {
					output = string(t.Resolve(input.attempt, "one"))
				} else if t.Admit(input.attempt, "one") == nil {
					output = "admitted"
				}
				end := tick.Add(1)
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: input, Output: output, Call: start, Return: end})
				mu.Unlock()
			}
		}()
	}
	group.Wait()
	return porcupine.CheckOperationsTimeout(attemptModel, history, time.Minute)
}

func TestConcurrentAttemptsAreLinearizable(t *testing.T) {
	for range 20 {
		assert.Equal(t, race(admitter.New(timekeeper.System{}, "one", limits)), porcupine.Ok)
	}
}

func TestCheckerCatchesMissingTombstones(t *testing.T) {
	assert.Equal(t, race(forgetful{admitter.New(timekeeper.System{}, "one", limits)}), porcupine.Illegal)
}

// TestTableIsBounded checks that ended attempts leave after their time, and that
// a full table refuses instead of forgetting.
func TestTableIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := admitter.New(timekeeper.System{}, "one", admitter.Limits{MaxRecords: 10, Retention: time.Minute})
		for i := range 10 {
			assert.NilError(t, table.Admit(fmt.Sprintf("a-%d", i), "one"))
		}
		assert.ErrorIs(t, table.Admit("more", "one"), admitter.ErrFull)
		assert.Equal(t, table.Resolve("other", "one"), admitter.Unknown)
		for i := range 10 {
			table.Finish(fmt.Sprintf("a-%d", i), admitter.Answered)
		}
		assert.ErrorIs(t, table.Admit("more", "one"), admitter.ErrFull)
		<-time.After(time.Minute)
		assert.NilError(t, table.Admit("more", "one"))
		assert.Equal(t, table.Len(), 1)
	})
}
