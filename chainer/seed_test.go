package chainer_test

import "flag"

// The seed is fixed so that the verdict is the same at each run.
func init() { _ = flag.Set("rapid.seed", "1") }
