package entry

import (
	"testing"

	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/spreader"
	"gotest.tools/v3/assert"
)

// TestBodiesWaitByTheMostUrgentWorkspace guards against bodies that wait in the wrong order: in
// documents higher priorities go first, and a key may belong to workspaces of several services.
func TestBodiesWaitByTheMostUrgentWorkspace(t *testing.T) {
	c := newCatalog(1)
	for name, workspaces := range map[string][]decoder.Workspace{
		"s": {{Name: "w", Priority: -5, KeyHashes: []string{"one", "both"}}},
		"t": {{Name: "x", Priority: 7, KeyHashes: []string{"both"}}, {Name: "y", KeyHashes: []string{"other"}}},
	} {
		document := &decoder.Document{Service: name, Workspaces: workspaces}
		c.add(name, newService(&spreader.ServiceRevision[*decoder.Document]{Value: document}, nil))
	}
	assert.DeepEqual(t, c.bodyPriorities, map[string]int{"one": 5, "both": -7, "other": 0})
	assert.Equal(t, len(c.byKeyHash["both"]), 2)
}
