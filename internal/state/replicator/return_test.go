package replicator_test

import (
	"fmt"
	"maps"
	"testing"

	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const configurationKey = "config"

// returningStore simulates a store that comes back from older copies of itself.
type returningStore struct {
	era, revision uint64
	items         map[string]replicator.Item
	// copies holds the contents after each write, with the revision.
	copies    []map[string]replicator.Item
	revisions []uint64
	// version is the newest version of the configuration that was written.
	version uint64
	// withoutEras has positions hold no era: a broken variant.
	withoutEras bool
}

func (s *returningStore) position(revision uint64) uint64 {
	if s.withoutEras {
		return revision
	}
	return replicator.Position(s.era, revision)
}

func (s *returningStore) write(key string, version uint64) {
	s.copies, s.revisions = append(s.copies, maps.Clone(s.items)), append(s.revisions, s.revision)
	s.revision++
	s.items[key] = replicator.Item{Key: key, Value: fmt.Appendf(nil, "%d/%d", s.era, s.revision), Revision: s.revision, Version: version}
}

func (s *returningStore) returnFrom(n int) {
	s.items, s.revision = maps.Clone(s.copies[n]), s.revisions[n]
	s.copies, s.revisions = s.copies[:n], s.revisions[:n]
	s.era++
}

// read returns the complete contents.
func (s *returningStore) read() replicator.Delta {
	delta := replicator.Delta{Revision: s.position(s.revision), Complete: true}
	for _, item := range s.items {
		item.Revision = s.position(item.Revision)
		delta.Items = append(delta.Items, item)
	}
	return delta
}

// checkReturns runs a random history of writes, late writes, returns, reads, late answers,
// exchanges between daemons and restarts. It returns what went wrong, "" for nothing.
func checkReturns(t *rapid.T, withoutEras bool) string {
	s := &returningStore{items: map[string]replicator.Item{}, withoutEras: withoutEras}
	tables := []*replicator.Table{replicator.New(), replicator.New(), replicator.New()}
	newest, versions := make([]uint64, len(tables)), make([]uint64, len(tables))
	var answers []replicator.Delta
	daemon := rapid.IntRange(0, len(tables)-1)
	s.write("a", 0)
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		d := daemon.Draw(t, "daemon")
		switch rapid.IntRange(0, 8).Draw(t, "step") {
		case 0, 1:
			s.write(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), 0)
		case 2:
			s.version++
			s.write(configurationKey, s.version)
		case 3:
			if s.version > 1 { // A write that was delayed until after a newer one.
				s.write(configurationKey, s.version-1)
			}
		case 4:
			s.returnFrom(rapid.IntRange(max(0, len(s.copies)-8), len(s.copies)-1).Draw(t, "copy"))
			s.write("a", 0)
		case 5:
			answers = append(answers, s.read())
			tables[d].Apply(answers[len(answers)-1])
		case 6:
			if len(answers) > 0 {
				tables[d].Apply(answers[rapid.IntRange(0, len(answers)-1).Draw(t, "answer")])
			}
		case 7:
			other := tables[daemon.Draw(t, "from")]
			tables[d].Apply(other.Since(tables[d].NewestRevision(), tables[d].OlderThan(other.Versions())...))
		case 8:
			tables[d] = replicator.New()
			newest[d], versions[d] = 0, 0
		}
		for i, table := range tables {
			item, _ := table.Get(configurationKey)
			if table.NewestRevision() < newest[i] {
				return "positions went back"
			}
			if item.Version < versions[i] {
				return "an older configuration came back"
			}
			newest[i], versions[i] = table.NewestRevision(), item.Version
		}
	}
	s.version++
	s.write(configurationKey, s.version)
	final := s.read()
	for i, table := range tables {
		table.Apply(final)
		for _, want := range final.Items {
			if got, found := table.Get(want.Key); !found || string(got.Value) != string(want.Value) {
				return fmt.Sprintf("daemon %d has %q of key %s, the store %q", i, got.Value, want.Key, want.Value)
			}
		}
		for _, item := range table.List("") {
			if _, found := s.items[item.Key]; !item.Removed && !found {
				return fmt.Sprintf("daemon %d has key %s, the store has not", i, item.Key)
			}
		}
	}
	return ""
}

// TestTablesFollowStoreThatReturnsFromCopies guards against daemons that ignore what a store
// writes after it has come back from an older copy.
func TestTablesFollowStoreThatReturnsFromCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { assert.Equal(t, checkReturns(t, false), "") })
}

// TestReturnCheckCatchesPositionsWithoutEras runs the check on positions that hold the
// revision only.
func TestReturnCheckCatchesPositionsWithoutEras(t *testing.T) {
	found := false
	rapid.Check(t, func(t *rapid.T) { found = checkReturns(t, true) != "" || found })
	assert.Assert(t, found)
}
