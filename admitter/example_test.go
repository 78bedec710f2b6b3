package admitter_test

import (
	"fmt"
	"time"

	"github.com/cyclamenward/cyclamenward/admitter"
	"github.com/cyclamenward/cyclamenward/timekeeper"
)

// An attempt that was given up before it arrived never runs.
func Example() {
	table := admitter.New(timekeeper.System{}, "incarnation-1", admitter.Limits{MaxRecords: 100, Retention: time.Minute})
	fmt.Println(table.Resolve("attempt-1", "incarnation-1"))
	fmt.Println(table.Admit("attempt-1", "incarnation-1"))
	fmt.Println(table.Admit("attempt-2", "incarnation-1"))
	fmt.Println(table.Resolve("attempt-2", "incarnation-1"))
	fmt.Println(table.Resolve("attempt-3", "incarnation-0"))
	// Output:
	// notRun
	// admitter.tombstone: attempt was given up earlier
	// <nil>
	// running
	// unknown
}
