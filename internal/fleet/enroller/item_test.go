package enroller

import (
	"testing"

	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
	"gotest.tools/v3/assert"
)

// TestUnknownDaemonItemsCount has an item of another writer count as a daemon.
func TestUnknownDaemonItemsCount(t *testing.T) {
	table := replicator.New()
	table.Apply(replicator.Delta{Revision: 9, Complete: true, Items: []replicator.Item{
		{Key: "daemons/a", Value: []byte(`{"rank":7}`), Revision: 1}, {Key: "daemons/b", Value: []byte("["), Revision: 2}, {Key: "daemons/c", Revision: 3},
	}})
	ranks := Ranks(table.List("daemons/"))
	assert.Equal(t, len(ranks), 3)
	assert.Equal(t, ranks[0], uint64(7))
	assert.Check(t, ranks[1] != ranks[2] && ranks[1] != 0)
}
