package replicator_test

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"

	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// variant switches faults on that the machine must catch.
type variant struct {
	// pagesAsOfLast has a read of several pages count as complete as of its last page.
	pagesAsOfLast bool
	// copiesWithoutRevision has copies that do not carry the revision up to which they are
	// complete: they count as new as their receiver.
	copiesWithoutRevision bool
	// copiesNeverComplete has daemons pass on no complete contents, so that the removals of
	// which they learned by a read stay hidden.
	copiesNeverComplete bool
	// tombstonesCount has complete contents keep the keys of which they hold a tombstone.
	tombstonesCount bool
	// cutsCount has a watch that was cut go on from the store's revision.
	cutsCount bool
	// withoutEras has positions hold the revision only.
	withoutEras bool
}

// pagedStore is a store that is read in pages of two keys and watched from a position. It comes
// back from older copies of itself and forgets its history.
type pagedStore struct {
	variant
	era, revision uint64
	items         map[string]replicator.Item
	// history holds the changes after the revision forgottenUpTo.
	history       []replicator.Item
	forgottenUpTo uint64
	// copies holds the contents before each change, states those as of each position.
	copies []storeCopy
	states map[uint64]map[string]replicator.Item
	// changedAt holds the position of the last change of each key in each era.
	changedAt map[string]uint64
}

// keyOf names a key in the era of a position.
func (s *pagedStore) keyOf(position uint64, key string) string {
	return fmt.Sprint(replicator.EraOf(position), key)
}

func newPagedStore(v variant) *pagedStore {
	s := &pagedStore{variant: v, items: make(map[string]replicator.Item), states: make(map[uint64]map[string]replicator.Item), changedAt: make(map[string]uint64)}
	s.record()
	return s
}

// record records the contents as of the present position.
func (s *pagedStore) record() { s.states[s.position(s.revision)] = maps.Clone(s.items) }

// storeCopy is an older copy of the store.
type storeCopy struct {
	revision uint64
	items    map[string]replicator.Item
}

// position returns the position of a revision of the present era.
func (s *pagedStore) position(revision uint64) uint64 {
	if s.withoutEras {
		return revision
	}
	return replicator.Position(s.era, revision)
}

// positioned returns an item with its position as the revision.
func (s *pagedStore) positioned(item replicator.Item) replicator.Item {
	item.Revision = s.position(item.Revision)
	return item
}

func (s *pagedStore) change(key string, removed bool) {
	if s.items[key].Key == "" && removed {
		return
	}
	s.copies = append(s.copies, storeCopy{s.revision, maps.Clone(s.items)})
	s.revision++
	item := replicator.Item{Key: key, Value: fmt.Appendf(nil, "%d/%d", s.era, s.revision), Revision: s.revision, Removed: removed}
	if removed {
		item.Value = nil
		delete(s.items, key)
	} else {
		s.items[key] = item
	}
	s.history = append(s.history, item)
	s.changedAt[s.keyOf(s.position(s.revision), key)] = s.position(s.revision)
	s.record()
}

// returnFrom has the store come back from its nth copy, without any history.
func (s *pagedStore) returnFrom(n int) {
	s.revision, s.items = s.copies[n].revision, maps.Clone(s.copies[n].items)
	s.copies, s.history, s.forgottenUpTo = s.copies[:n], nil, s.revision
	s.era++
	s.record()
}

// forget drops the history up to now.
func (s *pagedStore) forget() { s.history, s.forgottenUpTo = nil, s.revision }

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
		items = append(items, s.positioned(s.items[key]))
	}
	return items, len(keys) > 2
}

// since returns what a watch from a position brings, at most n changes, and false if the store does
// not have that history.
func (s *pagedStore) since(position uint64, n int) (replicator.Delta, bool) {
	var delta replicator.Delta
	if !s.withoutEras && replicator.EraOf(position) != s.era || replicator.RevisionOf(position) < s.forgottenUpTo {
		return delta, false
	}
	for _, item := range s.history {
		if item.Revision > replicator.RevisionOf(position) && len(delta.Items) < n {
			delta.Items, delta.Revision = append(delta.Items, s.positioned(item)), s.position(item.Revision)
		}
	}
	return delta, true
}

// follower is a daemon's table with what the checks need.
type follower struct {
	table *replicator.Table
	// reading is the read of the store that is under way, nil if there is none, readingEra the
	// store's era when it began.
	reading    *replicator.Delta
	readingEra uint64
	// removedAt holds the positions at which keys were seen removed, newest the highest position of
	// the table.
	removedAt map[string]uint64
	newest    uint64
}

func newFollower() *follower {
	return &follower{table: replicator.New(), removedAt: make(map[string]uint64)}
}

// apply applies a delta and returns what went wrong.
func (f *follower) apply(s *pagedStore, delta replicator.Delta) string {
	f.table.Apply(delta)
	for _, item := range f.table.List("") {
		if removedAt, seen := f.removedAt[item.Key]; seen && !item.Removed && item.Revision <= removedAt {
			return fmt.Sprintf("%s at %d is back after its removal at %d", item.Key, item.Revision, removedAt)
		}
		if item.Removed {
			f.removedAt[item.Key] = max(f.removedAt[item.Key], item.Revision)
		}
	}
	if newest := f.table.NewestRevision(); newest < f.newest {
		return fmt.Sprintf("the table went back from %d to %d", f.newest, newest)
	}
	f.newest = f.table.NewestRevision()
	return f.incomplete(s)
}

// incomplete returns how the table differs from the store as of the position up to which it has all
// changes. Single items may be newer.
func (f *follower) incomplete(s *pagedStore) string {
	if !f.table.Filled() {
		return ""
	}
	state, items := s.states[f.newest], make(map[string]replicator.Item)
	for _, item := range f.table.List("") {
		items[item.Key] = item
		want, found := state[item.Key]
		if !item.Removed && item.Revision <= f.newest && (!found || string(want.Value) != string(item.Value)) {
			return fmt.Sprintf("it has %s as %s, as of %d the store had %q", item.Key, item.Value, f.newest, want.Value)
		}
	}
	for key, want := range state {
		// A read may miss what changed while it was under way; the watch that follows tells.
		changedSince := s.changedAt[s.keyOf(f.newest, key)] > f.newest
		if item, found := items[key]; (!found || item.Removed && item.Revision <= f.newest) && !changedSince {
			return fmt.Sprintf("it lacks %s with %s, which the store had as of %d", key, want.Value, f.newest)
		}
	}
	return ""
}

// readStep reads one page. The last one completes the read, as of the first one's position. A read
// during which the store has come back from a copy begins anew.
func (f *follower) readStep(s *pagedStore) string {
	if f.reading == nil || f.readingEra != s.era && !s.withoutEras {
		f.reading, f.readingEra = &replicator.Delta{Revision: s.position(s.revision), Complete: true}, s.era
	}
	last := ""
	if n := len(f.reading.Items); n > 0 {
		last = f.reading.Items[n-1].Key
	}
	items, more := s.page(last)
	f.reading.Items = append(f.reading.Items, items...)
	if !f.table.Filled() {
		if violation := f.apply(s, replicator.Delta{Items: items}); violation != "" {
			return violation
		}
	}
	if more {
		return ""
	}
	delta := *f.reading
	f.reading = nil
	if s.pagesAsOfLast {
		delta.Revision = s.position(s.revision)
	}
	return f.apply(s, delta)
}

// existing returns the items of the table whose tombstones are among the given ones.
func (f *follower) existing(items []replicator.Item) (kept []replicator.Item) {
	for _, item := range items {
		if own, found := f.table.Get(item.Key); found && item.Removed {
			kept = append(kept, own)
		}
	}
	return kept
}

// readAll reads all pages.
func (f *follower) readAll(s *pagedStore) string {
	for {
		if violation := f.readStep(s); violation != "" || f.reading == nil {
			return violation
		}
	}
}

// watch applies the answer to a watch, of at most n changes, or reads the store if it lacks the
// history. Of a watch that is cut nothing arrives.
func (f *follower) watch(s *pagedStore, n int, cut bool) string {
	if !f.table.Filled() {
		return ""
	}
	delta, found := s.since(f.table.NewestRevision(), n)
	switch {
	case !found:
		return f.readStep(s)
	case cut && s.cutsCount:
		return f.apply(s, replicator.Delta{Revision: s.position(s.revision)})
	case cut:
		return ""
	}
	return f.apply(s, delta)
}

// difference returns how a table differs from the store.
func (f *follower) difference(s *pagedStore) string {
	for _, item := range f.table.List("") {
		if want, found := s.items[item.Key]; !item.Removed && (!found || string(want.Value) != string(item.Value)) {
			return fmt.Sprintf("it has %s as %s, the store as %q", item.Key, item.Value, want.Value)
		}
	}
	for key := range s.items {
		if _, found := f.table.Get(key); !found {
			return "it lacks " + key
		}
	}
	return ""
}

// playTables draws what happens to a store and three daemons and returns what went wrong, "" for
// nothing.
func playTables(t *rapid.T, v variant) string {
	store := newPagedStore(v)
	daemons := []*follower{newFollower(), newFollower(), newFollower()}
	type copied struct {
		to    int
		delta replicator.Delta
	}
	var underWay []copied
	daemon := rapid.IntRange(0, len(daemons)-1)
	key := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g"})
	for range rapid.IntRange(0, 200).Draw(t, "steps") {
		violation := ""
		switch n := daemon.Draw(t, "daemon"); rapid.IntRange(0, 31).Draw(t, "step") {
		case 0, 1, 2, 3:
			store.change(key.Draw(t, "key"), false)
		case 4, 5, 6, 7:
			store.change(key.Draw(t, "key"), true)
		case 8, 9, 10:
			violation = daemons[n].readStep(store)
		case 11, 12:
			violation = daemons[n].readAll(store)
		case 13, 14:
			violation = daemons[n].watch(store, rapid.IntRange(1, 3).Draw(t, "changes"), false)
		case 15, 16:
			violation = daemons[n].watch(store, 1, true)
		case 17, 18, 19, 20, 21:
			from := daemons[daemon.Draw(t, "from")]
			delta := from.table.Since(daemons[n].table.NewestRevision())
			if v.copiesNeverComplete {
				delta.Complete = false
			}
			underWay = append(underWay, copied{n, delta})
		case 22, 23, 24, 25, 26:
			if len(underWay) > 0 {
				i := rapid.IntRange(0, len(underWay)-1).Draw(t, "message")
				if c := underWay[i]; c.delta.Revision > 0 {
					if v.copiesWithoutRevision {
						c.delta.Revision = max(c.delta.Revision, daemons[c.to].table.NewestRevision())
					}
					if v.tombstonesCount && c.delta.Complete {
						c.delta.Items = append(c.delta.Items, daemons[c.to].existing(c.delta.Items)...)
					}
					violation = daemons[c.to].apply(store, c.delta)
				}
				underWay = slices.Delete(underWay, i, i+1)
			}
		case 27:
			if len(underWay) > 0 {
				i := rapid.IntRange(0, len(underWay)-1).Draw(t, "lost")
				underWay = slices.Delete(underWay, i, i+1)
			}
		case 28, 29:
			daemons[n] = newFollower()
			underWay = slices.DeleteFunc(underWay, func(c copied) bool { return c.to == n })
		case 30:
			if len(store.copies) > 0 {
				store.returnFrom(rapid.IntRange(max(0, len(store.copies)-8), len(store.copies)-1).Draw(t, "copy"))
			}
		case 31:
			store.forget()
		}
		if violation != "" {
			return violation
		}
	}
	for n, d := range daemons {
		violation := ""
		// A read that is under way may be older than the store's history.
		for read := 0; read < 2 && violation == ""; read++ {
			if _, found := store.since(d.table.NewestRevision(), 1); !d.table.Filled() || !found {
				violation = d.readAll(store)
			}
		}
		if violation == "" {
			violation = d.watch(store, len(store.history), false)
		}
		if violation == "" {
			violation = d.difference(store)
		}
		if violation != "" {
			return fmt.Sprintf("in the end, daemon %d: %s", n, violation)
		}
	}
	return ""
}

// TestTablesFollowAPagedStore guards against removals that are missed between the pages of a read, and
// against removed keys that come back from an older copy of another daemon (DRAIN): three daemons
// read pages, watch, restart and send each other copies that arrive late, in any order, or never,
// while the store changes, cuts watches, forgets its history and comes back from older copies of
// itself. A key that a daemon has seen removed does not come back with an older change, no table
// goes back, and in the end all equal the store.
func TestTablesFollowAPagedStore(t *testing.T) {
	t.Cleanup(func() { assert.NilError(t, flag.Set("rapid.seed", "1")) })
	for seed := range 20 {
		assert.NilError(t, flag.Set("rapid.seed", strconv.Itoa(1+seed)))
		rapid.Check(t, func(rt *rapid.T) {
			if violation := playTables(rt, variant{}); violation != "" {
				rt.Fatal(violation)
			}
		})
	}
}

// TestTableMachineCatchesFaults runs the machine with each of the faults that were found.
func TestTableMachineCatchesFaults(t *testing.T) {
	t.Cleanup(func() { assert.NilError(t, flag.Set("rapid.seed", "1")) })
	for name, v := range map[string]variant{
		"pages as of the last":    {pagesAsOfLast: true},
		"copies without revision": {copiesWithoutRevision: true},
		"copies never complete":   {copiesNeverComplete: true},
		"tombstones count":        {tombstonesCount: true},
		"cuts count":              {cutsCount: true},
		"without eras":            {withoutEras: true},
	} {
		t.Run(name, func(t *testing.T) {
			caught := ""
			for seed := 0; seed < 40 && caught == ""; seed++ {
				assert.NilError(t, flag.Set("rapid.seed", strconv.Itoa(1+seed)))
				rapid.Check(t, func(rt *rapid.T) { caught = cmp.Or(caught, playTables(rt, v)) })
			}
			assert.Check(t, caught != "")
			t.Log(caught)
		})
	}
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
