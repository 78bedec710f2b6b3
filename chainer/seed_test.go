package chainer_test

import "flag"

// The seed is fixed so that every run draws the same inputs.
func init() { _ = flag.Set("rapid.seed", "1") }
