package claimer_test

import (
	"context"
	"fmt"

	"github.com/cyclamenward/cyclamenward/claimer"
	"github.com/cyclamenward/cyclamenward/internal/standin/keyvalue"
	"github.com/cyclamenward/cyclamenward/timekeeper"
)

// Two processes get a request with the same key; only the first may run it.
func Example() {
	store := keyvalue.New(timekeeper.System{}, 1).Store()
	first := claimer.New(store, timekeeper.System{}, "booking", claimer.Holder{Sidecar: "a", Incarnation: "a1"}, claimer.DefaultOptions)
	second := claimer.New(store, timekeeper.System{}, "booking", claimer.Holder{Sidecar: "b", Incarnation: "b1"}, claimer.DefaultOptions)
	defer first.Close()
	defer second.Close()

	ctx := context.Background()
	claim, err := first.Take(ctx, "key", "digest of the request", "attempt-1")
	fmt.Println(claim.Attempt, claim.State, err)
	first.RecordOutcome("key", "attempt-1", claimer.Answered, []byte("booked"))
	if err := first.Flush(ctx); err != nil {
		fmt.Println(err)
	}

	claim, err = second.Take(ctx, "key", "digest of the request", "attempt-2")
	fmt.Println(claim.Attempt, claim.State, string(claim.Answer), err)
	// Output:
	// attempt-1 claimed <nil>
	// attempt-1 answered booked <nil>
}
