package fencer

import (
	"io"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/standin/keyvalue"
	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
	"github.com/cyclamenward/cyclamenward/leaser"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// TestOwnEarlierTicketIsReplaced takes a ticket in a process that is then killed: another
// process of the same host gets it at once, one of another host does not.
func TestOwnEarlierTicketIsReplaced(t *testing.T) {
	const app, prefix = "10.0.0.1:80", "orders/"
	state := keyvalue.New(timekeeper.System{}, 1)
	newProcess := func(node string) *Tickets {
		table := replicator.New()
		entries, err := state.Store().List(t.Context(), prefix)
		assert.NilError(t, err)
		delta := replicator.Delta{Revision: 1, Complete: true}
		for _, entry := range entries {
			delta.Items = append(delta.Items, replicator.Item{Key: entry.Key, Value: entry.Value, Revision: entry.Version})
		}
		table.Apply(delta)
		return NewTickets(TicketDependencies{Name: node, Prefix: prefix, Store: state.Store(), Get: table.Get, Clock: timekeeper.System{}, Logger: log.New(io.Discard)})
	}
	first, err := newProcess("a").Acquire(t.Context(), app, "10.0.0.9:70")
	assert.NilError(t, err)
	other := newProcess("b")
	holder, held := other.Holder(app)
	assert.Assert(t, held && holder.Name == "a" && holder.Address == "10.0.0.9:70" && strings.Count(holder.Attempt, "-") == 4)
	_, err = other.Acquire(t.Context(), app, "10.0.0.8:70")
	assert.ErrorIs(t, err, leaser.ErrNoTicketFree)
	second, err := newProcess("a").Acquire(t.Context(), app, "10.0.0.9:70")
	assert.NilError(t, err)
	assert.Assert(t, second.FencingToken() > first.FencingToken())
	second.Release(t.Context())
	first.Release(t.Context())
}
