package spreader_test

import (
	"fmt"

	"github.com/cyclamenward/cyclamenward/spreader"
)

// A book moves forward only, whatever arrives.
func ExampleRevisionTable() {
	book := spreader.New(func(text []byte) (string, error) { return string(text), nil })
	for _, revision := range []uint64{2, 1, 3, 2} {
		taken, err := book.Offer("service", revision, []byte(fmt.Sprintf("text %d", revision)))
		fmt.Println(taken, err, book.Snapshot().Get("service").Value)
	}
	// Output:
	// true <nil> text 2
	// false <nil> text 2
	// true <nil> text 3
	// false <nil> text 3
}
