package numberer_test

import (
	"testing"

	"github.com/cyclamenward/cyclamenward/internal/weights/numberer"
	"gotest.tools/v3/assert"
)

// TestWantedVersionsGrow wants a version, another and the first again, and meets one
// that was never wanted.
func TestWantedVersionsGrow(t *testing.T) {
	n := numberer.New()
	n.SetWanted("v1")
	first := n.Number("v1")
	n.SetWanted("v1")
	assert.Equal(t, n.Number("v1"), first)
	n.SetWanted("v2")
	assert.Assert(t, n.Number("v2") > first)
	met := n.Number("v0")
	assert.Assert(t, met > 0 && met < first)
	assert.Equal(t, n.Version(met), "v0")
	n.SetWanted("v1")
	assert.Assert(t, n.Number("v1") > n.Number("v2"), "weights that are rolled back to are the newest")
	assert.Equal(t, n.Version(first), "v1", "replicas that were met before keep their number")
	assert.Equal(t, n.Number(""), 0)
	assert.Equal(t, n.Version(0), "")
}
