package replica

import "flag"

// CI runs the same cases each time.
func init() { _ = flag.Set("rapid.seed", "1") }
