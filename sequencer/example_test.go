package sequencer_test

import (
	"fmt"

	"github.com/cyclamenward/cyclamenward/sequencer"
)

// A second attempt continues a stream after the first was lost.
func Example() {
	s := sequencer.New()
	_ = s.Begin("attempt-1", "v1")
	fmt.Println(s.Accept("attempt-1", 0))
	_ = s.Begin("attempt-2", "v1")
	fmt.Println(s.Accept("attempt-1", 1))
	fmt.Println(s.Accept("attempt-2", 0))
	fmt.Println(s.Accept("attempt-2", 1))
	fmt.Println(s.End("attempt-2", 2), s.Complete())
	// Output:
	// true <nil>
	// false sequencer.foreign: piece of another attempt
	// false <nil>
	// true <nil>
	// <nil> true
}
