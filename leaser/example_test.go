package leaser_test

import (
	"context"
	"fmt"

	"github.com/cyclamenward/cyclamenward/internal/standin/keyvalue"
	"github.com/cyclamenward/cyclamenward/leaser"
	"github.com/cyclamenward/cyclamenward/timekeeper"
)

// Two processes request the only ticket; the second gets none.
func Example() {
	store := keyvalue.New(timekeeper.System{}, 1).Store()
	ctx := context.Background()
	ticket, err := leaser.Acquire(ctx, store, timekeeper.System{}, "tickets/pool", "process-1", 1, leaser.DefaultOptions)
	fmt.Println(ticket.Valid(), err)
	_, err = leaser.Acquire(ctx, store, timekeeper.System{}, "tickets/pool", "process-2", 1, leaser.DefaultOptions)
	fmt.Println(err)
	ticket.Release(ctx)
	fmt.Println(ticket.Valid())
	// Output:
	// true <nil>
	// leaser.none: no ticket free
	// false
}
