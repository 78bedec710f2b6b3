package announcer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEntriesWithFastLinksWatchTheStore orders entries by rank: those with low ranks watch the
// store.
func TestEntriesWithFastLinksWatchTheStore(t *testing.T) {
	for i := range 50 {
		fast, slow := fmt.Sprint("edge-fast-", i), fmt.Sprint("edge-slow-", i)
		assert.Assert(t, Rank(fast, 200) < Rank(slow, 10))
		assert.Assert(t, Rank(slow, 10) < Rank(fast, 0), "an unknown rate comes last")
		assert.Assert(t, Rank(fast, 200) != Rank(slow, 200))
	}
}
