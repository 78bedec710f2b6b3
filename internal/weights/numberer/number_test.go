package numberer_test

import (
	"testing"

	"github.com/cyclamenward/cyclamenward/internal/weights/numberer"
	"gotest.tools/v3/assert"
)

// TestNewlyWantedVersionGetsHighestNumber wants a version, another and the first again:
// each gets the highest number. A version that was never wanted gets a lower one.
func TestNewlyWantedVersionGetsHighestNumber(t *testing.T) {
	n := numberer.New()
	n.SetWanted("v1")
	first := n.Number("v1")
	n.SetWanted("v1")
	assert.Equal(t, n.Number("v1"), first)
	n.SetWanted("v2")
	assert.Assert(t, n.Number("v2") > first)
	other := n.Number("v0")
	assert.Assert(t, other > 0 && other < first)
	assert.Equal(t, n.Version(other), "v0")
	n.SetWanted("v1")
	assert.Assert(t, n.Number("v1") > n.Number("v2"), "a version that is rolled back to is the newest")
	assert.Equal(t, n.Version(first), "v1", "the old number still stands for the version")
	assert.Equal(t, n.Number(""), 0)
	assert.Equal(t, n.Version(0), "")
}
