package spreader_test

import (
	"fmt"

	"github.com/cyclamenward/cyclamenward/spreader"
)

// A table never replaces a revision by an older one, in whatever order they arrive.
func ExampleRevisionTable() {
	table := spreader.New(func(text []byte) (string, error) { return string(text), nil })
	for _, revision := range []uint64{2, 1, 3, 2} {
		accepted, err := table.Offer("service", revision, []byte(fmt.Sprintf("text %d", revision)))
		fmt.Println(accepted, err, table.Snapshot().Get("service").Value)
	}
	// Output:
	// true <nil> text 2
	// false <nil> text 2
	// true <nil> text 3
	// false <nil> text 3
}
