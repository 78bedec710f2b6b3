package replicator_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// pagedStore is a store that is read in pages of two keys and watched from a revision.
type pagedStore struct {
	revision uint64
	items    map[string]replicator.Item
	history  []replicator.Item
}

func (s *pagedStore) change(key string, removed bool) {
	if s.items[key].Key == "" && removed {
		return
	}
	s.revision++
	item := replicator.Item{Key: key, Value: []byte(fmt.Sprint(s.revision)), Revision: s.revision, Removed: removed}
	if removed {
		item.Value = nil
		delete(s.items, key)
	} else {
		s.items[key] = item
	}
	s.history = append(s.history, item)
}

// page returns the next keys after one.
func (s *pagedStore) page(after string) (items []replicator.Item, more bool) {
	var keys []string
	for key := range s.items {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys[:min(2, len(keys))] {
		items = append(items, s.items[key])
	}
	return items, len(keys) > 2
}

// since returns what a watch from a revision brings, at most n changes.
func (s *pagedStore) since(revision uint64, n int) replicator.Delta {
	var delta replicator.Delta
	for _, item := range s.history {
		if item.Revision > revision && len(delta.Items) < n {
			delta.Items, delta.Revision = append(delta.Items, item), item.Revision
		}
	}
	return delta
}

// follower is a daemon's table with what the checks need.
type follower struct {
	table *replicator.Table
	// reading is the read of the store that is under way, nil if there is none.
	reading *replicator.Delta
	more    bool
	// removedAt holds the revisions at which keys were seen removed.
	removedAt map[string]uint64
}

func newFollower() *follower {
	return &follower{table: replicator.New(), removedAt: make(map[string]uint64)}
}

// apply applies a delta and returns what went wrong.
func (f *follower) apply(delta replicator.Delta) string {
	f.table.Apply(delta)
	for _, item := range f.table.List("") {
		if removedAt, seen := f.removedAt[item.Key]; seen && !item.Removed && item.Revision <= removedAt {
			return fmt.Sprintf("%s at %d is back after its removal at %d", item.Key, item.Revision, removedAt)
		}
		if item.Removed {
			f.removedAt[item.Key] = max(f.removedAt[item.Key], item.Revision)
		}
	}
	return ""
}

// readStep reads one page. The last one completes the read, as of the first one's revision.
func (f *follower) readStep(s *pagedStore) string {
	if f.reading == nil {
		f.reading = &replicator.Delta{Revision: s.revision, Complete: true}
	}
	last := ""
	if n := len(f.reading.Items); n > 0 {
		last = f.reading.Items[n-1].Key
	}
	items, more := s.page(last)
	f.reading.Items = append(f.reading.Items, items...)
	if !f.table.Filled() {
		if violation := f.apply(replicator.Delta{Items: items}); violation != "" {
			return violation
		}
	}
	if more {
		return ""
	}
	delta := *f.reading
	f.reading = nil
	return f.apply(delta)
}

// TestTablesFollowAPagedStore guards against removals that are missed between the pages of a read, and
// against removed keys that come back from an older copy of another daemon (DRAIN): three daemons
// read pages, watch, restart and send each other copies that arrive late, in any order, while the
// store changes. A key that a daemon has seen removed does not come back, and in the end all tables
// equal the store.
func TestTablesFollowAPagedStore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := &pagedStore{items: make(map[string]replicator.Item)}
		daemons := []*follower{newFollower(), newFollower(), newFollower()}
		type copied struct {
			to    int
			delta replicator.Delta
		}
		var underWay []copied
		check := func(violation string) {
			if violation != "" {
				rt.Fatal(violation)
			}
		}
		daemon := rapid.IntRange(0, len(daemons)-1)
		key := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g"})
		for range rapid.IntRange(0, 120).Draw(rt, "steps") {
			switch n := daemon.Draw(rt, "daemon"); rapid.IntRange(0, 7).Draw(rt, "step") {
			case 0, 1:
				store.change(key.Draw(rt, "key"), false)
			case 2:
				store.change(key.Draw(rt, "key"), true)
			case 3:
				check(daemons[n].readStep(store))
			case 4:
				if daemons[n].table.Filled() {
					check(daemons[n].apply(store.since(daemons[n].table.NewestRevision(), rapid.IntRange(1, 3).Draw(rt, "changes"))))
				}
			case 5:
				from := daemons[daemon.Draw(rt, "from")]
				underWay = append(underWay, copied{n, from.table.Since(daemons[n].table.NewestRevision())})
			case 6:
				if len(underWay) > 0 {
					i := rapid.IntRange(0, len(underWay)-1).Draw(rt, "message")
					if c := underWay[i]; c.delta.Revision > 0 {
						check(daemons[c.to].apply(c.delta))
					}
					underWay = slices.Delete(underWay, i, i+1)
				}
			case 7:
				daemons[n] = newFollower()
				underWay = slices.DeleteFunc(underWay, func(c copied) bool { return c.to == n })
			}
		}
		for n, d := range daemons {
			for !d.table.Filled() {
				check(d.readStep(store))
			}
			check(d.apply(store.since(d.table.NewestRevision(), len(store.history))))
			for _, item := range d.table.List("") {
				if !item.Removed && store.items[item.Key].Revision != item.Revision {
					rt.Fatalf("daemon %d has %s at %d, the store at %d", n, item.Key, item.Revision, store.items[item.Key].Revision)
				}
			}
			for key := range store.items {
				if _, found := d.table.Get(key); !found {
					rt.Fatalf("daemon %d lacks %s", n, key)
				}
			}
		}
	})
}

// TestOlderCopyBringsNoRemovedKeyBack has a daemon that is complete get an older copy of another one,
// which has a key that was removed before this daemon started.
func TestOlderCopyBringsNoRemovedKeyBack(t *testing.T) {
	for _, complete := range []bool{true, false} {
		table := replicator.New()
		table.Apply(replicator.Delta{Revision: 20, Complete: true, Items: []replicator.Item{{Key: "b", Revision: 12}}})
		table.Apply(replicator.Delta{Revision: 15, Complete: complete, Items: []replicator.Item{{Key: "a", Revision: 5}, {Key: "b", Revision: 12}}})
		_, found := table.Get("a")
		assert.Check(t, !found, "complete %v", complete)
		table.Apply(replicator.Delta{Revision: 30, Complete: true, Items: []replicator.Item{{Key: "a", Revision: 5}, {Key: "b", Revision: 12}}})
		_, found = table.Get("a")
		assert.Check(t, found, "a newer read of the store shows what exists")
	}
}

// TestReadHidesNoRemovalFromOthers guards against removals that a daemon cannot pass on because it
// learned of them by a complete read, which names only what exists: another daemon that is behind
// that read gets complete contents.
func TestReadHidesNoRemovalFromOthers(t *testing.T) {
	behind, restarted := replicator.New(), replicator.New()
	behind.Apply(replicator.Delta{Revision: 68, Complete: true, Items: []replicator.Item{{Key: "a", Revision: 60}, {Key: "b", Revision: 61}}})
	restarted.Apply(replicator.Delta{Revision: 69, Complete: true, Items: []replicator.Item{{Key: "b", Revision: 61}}})
	behind.Apply(restarted.Since(behind.NewestRevision()))
	_, found := behind.Get("a")
	assert.Check(t, !found)
	assert.Check(t, !restarted.Since(69).Complete, "a daemon that is not behind needs none")
}
