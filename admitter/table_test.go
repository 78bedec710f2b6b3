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

// TestTableAgainstModel makes random calls to one table and compares the results with
// the specification: an attempt starts at most once, and an attempt reported as not
// run never starts.
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

// operation is one call of a concurrent history on one attempt: Resolve or Admit.
type operation struct {
	attempt string
	resolve bool
}

// attemptModel is the specification: an attempt is new, started or given up.
var attemptModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byAttempt := map[string][]porcupine.Operation{}
		for _, op := range history {
			a := op.Input.(operation).attempt
			byAttempt[a] = append(byAttempt[a], op)
		}
		var result [][]porcupine.Operation
		for _, part := range byAttempt {
			result = append(result, part)
		}
		return result
	},
	Init: func() any { return "new" },
	Step: func(state, input, output any) (bool, any) {
		if input.(operation).resolve {
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

// attemptTable is the part of admitter.Table that runConcurrently uses.
type attemptTable interface {
	Admit(attempt, incarnation string) error
	Resolve(attempt, incarnation string) admitter.Outcome
}

// tombstonelessTable is a broken table that gives attempts up without a tombstone.
type tombstonelessTable struct{ *admitter.Table }

// Resolve returns NotRun but leaves no tombstone for the attempt. It admits one under
// another name instead.
func (t tombstonelessTable) Resolve(attempt, incarnation string) admitter.Outcome {
	if err := t.Admit(attempt+"-probe", incarnation); err != nil {
		return admitter.Unknown
	}
	return admitter.NotRun
}

// runConcurrently makes eight clients admit and resolve the same attempts concurrently,
// and checks their history against attemptModel.
func runConcurrently(t attemptTable) porcupine.CheckResult {
	var tick atomic.Int64
	var mu sync.Mutex
	var history []porcupine.Operation
	var group sync.WaitGroup
	for client := range 8 {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := range 50 {
				input := operation{attempt: fmt.Sprintf("attempt-%d", i), resolve: (client+i)%3 == 0}
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

// TestConcurrentAttemptsAreLinearizable checks that concurrent calls never start an
// attempt twice or after it was given up.
func TestConcurrentAttemptsAreLinearizable(t *testing.T) {
	for range 20 {
		assert.Equal(t, runConcurrently(admitter.New(timekeeper.System{}, "one", limits)), porcupine.Ok)
	}
}

// TestCheckerCatchesMissingTombstones checks that runConcurrently detects a table that
// starts attempts after they were given up.
func TestCheckerCatchesMissingTombstones(t *testing.T) {
	assert.Equal(t, runConcurrently(tombstonelessTable{admitter.New(timekeeper.System{}, "one", limits)}), porcupine.Illegal)
}

// TestTableIsBounded checks that a full table refuses new attempts instead of dropping
// old ones early, and that ended attempts are dropped after the retention time.
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
