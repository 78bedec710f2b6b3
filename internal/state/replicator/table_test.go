package replicator_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// store simulates the platform's store with its whole history.
type store struct {
	revision uint64
	items    map[string]replicator.Item
	history  []replicator.Item
}

func (s *store) put(key, value string, removed bool) {
	s.revision++
	item := replicator.Item{Key: key, Value: []byte(value), Revision: s.revision, Removed: removed}
	if removed {
		item.Value = nil
		delete(s.items, key)
	} else {
		s.items[key] = item
	}
	s.history = append(s.history, item)
}

func (s *store) completeDelta() replicator.Delta {
	delta := replicator.Delta{Revision: s.revision, Complete: true}
	for _, item := range s.items {
		delta.Items = append(delta.Items, item)
	}
	return delta
}

func (s *store) since(revision uint64) replicator.Delta {
	delta := replicator.Delta{Revision: s.revision}
	for _, item := range s.history {
		if item.Revision > revision {
			delta.Items = append(delta.Items, item)
		}
	}
	return delta
}

// existing returns the items that a table has, as key=value.
func existing(t *replicator.Table) []string {
	var list []string
	for _, item := range t.List("") {
		if !item.Removed {
			list = append(list, item.Key+"="+string(item.Value))
		}
	}
	return list
}

// TestCopiesOnlyMoveForward gives tables complete reads of the store, watched changes
// and each other's deltas, also old ones and repeatedly, in any order. No item ever goes
// back to an older revision, and in the end all tables agree with the store.
func TestCopiesOnlyMoveForward(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{items: map[string]replicator.Item{}}
		tables := []*replicator.Table{replicator.New(), replicator.New(), replicator.New()}
		var earlierDeltas []replicator.Delta
		seenRevisions := make([]map[string]uint64, len(tables))
		for i := range seenRevisions {
			seenRevisions[i] = map[string]uint64{}
		}
		apply := func(i int, delta replicator.Delta) {
			tables[i].Apply(delta)
			for _, item := range tables[i].List("") {
				assert.Assert(t, item.Revision >= seenRevisions[i][item.Key], "%s went back", item.Key)
				seenRevisions[i][item.Key] = item.Revision
			}
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(tables)-1).Draw(t, "table")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				key := fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key"))
				_, found := s.items[key]
				s.put(key, fmt.Sprint(step), found && rapid.Bool().Draw(t, "remove"))
			case 2:
				apply(i, s.completeDelta())
			case 3:
				if tables[i].Filled() {
					apply(i, s.since(tables[i].NewestRevision()))
				}
			case 4:
				j := rapid.IntRange(0, len(tables)-1).Draw(t, "from")
				if tables[j].Filled() {
					delta := tables[j].Since(tables[i].NewestRevision())
					earlierDeltas = append(earlierDeltas, delta)
					apply(i, delta)
				}
			case 5:
				if len(earlierDeltas) > 0 && tables[i].Filled() {
					delta := rapid.SampledFrom(earlierDeltas).Draw(t, "old")
					delta.Complete = false
					apply(i, replicator.Delta{Items: delta.Items})
				}
			}
		}
		var want []string
		for key, item := range s.items {
			want = append(want, key+"="+string(item.Value))
		}
		slices.Sort(want)
		for i, table := range tables {
			apply(i, s.completeDelta())
			assert.DeepEqual(t, existing(table), want)
		}
	})
}

// TestOldCompleteCopyRemovesNothingNewer applies a complete read of the store that is
// older than a change the table already has: the new key stays.
func TestOldCompleteCopyRemovesNothingNewer(t *testing.T) {
	table := replicator.New()
	table.Apply(replicator.Delta{Revision: 9, Items: []replicator.Item{{Key: "new", Revision: 9}}})
	table.Apply(replicator.Delta{Revision: 5, Complete: true})
	_, found := table.Get("new")
	assert.Assert(t, found)
	assert.Equal(t, table.NewestRevision(), uint64(9))
}

// TestForgottenRemovalsMakeDeltasComplete removes more keys than there are tombstones: a
// delta without the forgotten removals would leave removed keys in the other table.
func TestForgottenRemovalsMakeDeltasComplete(t *testing.T) {
	table, other := replicator.New(), replicator.New()
	s := &store{items: map[string]replicator.Item{}}
	for i := range 3000 {
		s.put(fmt.Sprint(i), "v", false)
	}
	table.Apply(s.completeDelta())
	other.Apply(s.completeDelta())
	for i := range 2999 {
		s.put(fmt.Sprint(i), "", true)
		table.Apply(replicator.Delta{Revision: s.revision, Items: s.history[len(s.history)-1:]})
	}
	delta := table.Since(other.NewestRevision())
	assert.Assert(t, delta.Complete)
	other.Apply(delta)
	assert.DeepEqual(t, existing(other), []string{"2999=v"})
}

// TestVersionsNeverGoBack writes versions of one key to the store, some of them late,
// after newer ones. Daemons read the store, watch it, restart with an empty table and
// exchange changes and versions. In no table does the version ever decrease, nor the
// revision, which is a fencing token. A table that has exchanged versions with another
// one has at least that one's version.
func TestVersionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{items: map[string]replicator.Item{}}
		put := func(version uint64) {
			s.put("version", fmt.Sprint(version), false)
			item := s.items["version"]
			item.Version = version
			s.items["version"], s.history[len(s.history)-1] = item, item
		}
		tables := []*replicator.Table{replicator.New(), replicator.New(), replicator.New()}
		seen := make([]replicator.Item, len(tables))
		check := func(i int) {
			item, _ := tables[i].Get("version")
			assert.Assert(t, item.Version >= seen[i].Version && item.Revision >= seen[i].Revision, "from %v to %v", seen[i], item)
			assert.Equal(t, tables[i].Versions()["version"], item.Version)
			if item.Version > 0 {
				assert.Equal(t, string(item.Value), fmt.Sprint(item.Version))
			}
			seen[i] = item
		}
		newest := uint64(1)
		put(newest)
		var delayed []uint64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(tables)-1).Draw(t, "table")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				newest++
				if rapid.Bool().Draw(t, "delayed") {
					delayed = append(delayed, newest)
				} else {
					put(newest)
				}
			case 1:
				if len(delayed) > 0 {
					put(delayed[0])
					delayed = delayed[1:]
				}
			case 2:
				s.put("other", "", false)
			case 3:
				tables[i].Apply(s.completeDelta())
			case 4:
				if tables[i].Filled() {
					tables[i].Apply(s.since(tables[i].NewestRevision()))
				}
			case 5:
				j := rapid.IntRange(0, len(tables)-1).Draw(t, "from")
				if !tables[i].Filled() || !tables[j].Filled() {
					continue
				}
				keys := tables[i].OlderThan(tables[j].Versions())
				if tables[j].NewestRevision() > tables[i].NewestRevision() || len(keys) > 0 {
					tables[i].Apply(tables[j].Since(tables[i].NewestRevision(), keys...))
				}
				assert.Assert(t, tables[i].Versions()["version"] >= tables[j].Versions()["version"])
			case 6:
				tables[i], seen[i] = replicator.New(), replicator.Item{}
			}
			check(i)
		}
	})
}

// TestReplicaVersionsRaiseStoredOnes has replicas report versions: a newer one replaces
// the stored value under its revision, others and unknown keys change nothing.
func TestReplicaVersionsRaiseStoredOnes(t *testing.T) {
	table := replicator.New()
	table.Apply(replicator.Delta{Revision: 8, Complete: true, Items: []replicator.Item{{Key: "m", Value: []byte("3"), Revision: 7, Version: 3}, {Key: "plain", Revision: 8}}})
	for _, version := range []uint64{2, 4, 3} {
		for _, key := range []string{"m", "plain", "unknown"} {
			table.RaiseVersion(key, version, func() []byte { return []byte(fmt.Sprint(version)) })
		}
	}
	item, _ := table.Get("m")
	assert.DeepEqual(t, item, replicator.Item{Key: "m", Value: []byte("4"), Revision: 7, Version: 4})
	assert.DeepEqual(t, existing(table), []string{"m=4", "plain="})
	assert.Equal(t, table.NewestRevision(), uint64(8))
}

// TestRemovalOfUnknownKeyIsKept receives the removal of a key before the older change
// that added it, as daemons with different peers do: the key stays removed.
func TestRemovalOfUnknownKeyIsKept(t *testing.T) {
	table := replicator.New()
	table.Apply(replicator.Delta{Revision: 5, Complete: true})
	table.Apply(replicator.Delta{Items: []replicator.Item{{Key: "a", Revision: 9, Removed: true}}})
	table.Apply(replicator.Delta{Items: []replicator.Item{{Key: "a", Value: []byte("1"), Revision: 6}}})
	_, found := table.Get("a")
	assert.Assert(t, !found)
}

// TestCompleteCopyRemovesWhatItHasTombstonesOf guards against removals that are missed for good
// (DRAIN): a key that was written after a read had begun is in the table, another daemon passes on
// complete contents in which the key has an older tombstone, and the table counts as complete.
func TestCompleteCopyRemovesWhatItHasTombstonesOf(t *testing.T) {
	sender, table := replicator.New(), replicator.New()
	sender.Apply(replicator.Delta{Revision: 1, Complete: true, Items: []replicator.Item{{Key: "a", Revision: 1}}})
	// Between the pages of these reads the key was written at 5 and removed at 6.
	table.Apply(replicator.Delta{Revision: 3, Complete: true, Items: []replicator.Item{{Key: "a", Revision: 5}, {Key: "b", Revision: 3}}})
	sender.Apply(replicator.Delta{Revision: 4, Complete: true, Items: []replicator.Item{{Key: "b", Revision: 3}}})
	sender.Apply(replicator.Delta{Revision: 6, Complete: true, Items: []replicator.Item{{Key: "b", Revision: 3}}})
	copied := sender.Since(table.NewestRevision())
	assert.Check(t, copied.Complete)
	table.Apply(copied)
	assert.Equal(t, table.NewestRevision(), uint64(6))
	_, found := table.Get("a")
	assert.Check(t, !found)
	_, found = table.Get("b")
	assert.Check(t, found)
}

// TestOlderCopyBringsNoKeyBackOverATombstone guards against removed keys that come back from an older
// copy (DRAIN): the key was removed, written and removed again, the second time unseen between two
// complete reads, and the copy is of the time between.
func TestOlderCopyBringsNoKeyBackOverATombstone(t *testing.T) {
	for _, complete := range []bool{true, false} {
		table := replicator.New()
		table.Apply(replicator.Delta{Revision: 1, Complete: true, Items: []replicator.Item{{Key: "a", Revision: 1}}})
		table.Apply(replicator.Delta{Revision: 2, Complete: true})
		table.Apply(replicator.Delta{Revision: 4, Complete: true})
		table.Apply(replicator.Delta{Revision: 3, Complete: complete, Items: []replicator.Item{{Key: "a", Revision: 3}}})
		_, found := table.Get("a")
		assert.Check(t, !found, "complete %v", complete)
		table.Apply(replicator.Delta{Revision: 5, Items: []replicator.Item{{Key: "a", Revision: 5}}})
		_, found = table.Get("a")
		assert.Check(t, found, "it was written again")
	}
}
