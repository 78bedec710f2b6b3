package admitter_test

import "flag"

// The seed is fixed so that every run makes the same calls.
func init() { _ = flag.Set("rapid.seed", "1") }
