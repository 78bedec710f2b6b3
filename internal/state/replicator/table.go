// Package replicator keeps a copy of a part of the platform's store and lets
// daemons bring each other's copies up to date.
//
// A copy only moves forward: every item carries the store's revision of its last
// change, and an older change never replaces a newer one, wherever it comes from. The
// values of some keys also name a version of their own, which only increases. A write
// that was delayed until after a newer one has a higher revision and yet an older
// version; the value with the newer version is then kept.
package replicator

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
)

// maxTombstones bounds the removed items that are kept as tombstones, which report the
// removal to other daemons. When there are more, the older half is forgotten.
const maxTombstones = 1024

// Item is one key of the store with its value as of its last change.
type Item struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint,omitempty"`
	// Revision is the position of the change: the store's revision and era.
	Revision uint64 `cbor:"3,keyasint"`
	// Removed is set for a key that the store no longer has.
	Removed bool `cbor:"4,keyasint,omitempty"`
	// Version is the version that the value names, 0 if it names none.
	Version uint64 `cbor:"5,keyasint,omitempty"`
}

// versioned reports whether the item exists and its value names a version.
func (i Item) versioned() bool { return !i.Removed && i.Version > 0 }

// Delta holds the changes after a revision, or the complete contents of the store.
type Delta struct {
	// Revision is that of the newest change that the sender knows.
	Revision uint64 `cbor:"1,keyasint"`
	// Complete is set if Items holds all existing items: as of Revision, the store has
	// no other keys.
	Complete bool   `cbor:"2,keyasint,omitempty"`
	Items    []Item `cbor:"3,keyasint,omitempty"`
}

// ValueBytes returns the size of all values in the delta, in bytes.
func (d Delta) ValueBytes() int {
	sum := 0
	for _, item := range d.Items {
		sum += len(item.Value)
	}
	return sum
}

// Table is a copy of a part of the store. It is safe for concurrent use.
type Table struct {
	// mu guards the fields below.
	mu sync.Mutex
	// items holds the items by key, with those removed items that are kept as
	// tombstones.
	items map[string]Item
	// newestRevision is the revision up to which the table has all changes. Single items may
	// be newer.
	newestRevision uint64
	// forgottenUpTo is the revision up to which tombstones may have been forgotten.
	forgottenUpTo uint64
	// tombstones counts the removed items.
	tombstones int
	// versions holds the versions that existing values name, by key. It is replaced,
	// never changed.
	versions map[string]uint64
	// filled is set once a complete delta was applied.
	filled bool
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// New returns an empty table.
func New() *Table {
	return &Table{items: make(map[string]Item), versions: make(map[string]uint64), changed: make(chan struct{})}
}

// Apply applies a delta and reports whether it updated the table. Changes that are
// older than what the table has are ignored.
func (t *Table) Apply(delta Delta) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	updated := false
	older := t.filled && (!delta.Complete || delta.Revision < t.newestRevision)
	for _, item := range delta.Items {
		current, found := t.items[item.Key]
		if older && !item.Removed && (!found || current.Removed) && item.Revision <= t.newestRevision {
			// All changes up to newestRevision are known: the key was removed since.
			continue
		}
		updated = t.applyItem(item) || updated
	}
	if delta.Complete {
		updated = t.removeMissing(delta) || updated
		updated = updated || !t.filled
		t.filled = true
		if delta.Revision > t.newestRevision {
			// Keys that were created and removed since newestRevision left no tombstone.
			t.forgottenUpTo = max(t.forgottenUpTo, delta.Revision)
		}
	}
	t.newestRevision = max(t.newestRevision, delta.Revision)
	if updated {
		t.trimTombstones()
		close(t.changed)
		t.changed = make(chan struct{})
	}
	return updated
}

// applyItem applies one change and reports whether it updated the table. The removal of
// an unknown key is kept too: an older change that has the key may still arrive. The
// caller holds mu.
func (t *Table) applyItem(item Item) bool {
	current, found := t.items[item.Key]
	if found && current.versioned() && item.versioned() && current.Version != item.Version {
		item = newerVersion(current, item)
		if item.Version == current.Version && item.Revision == current.Revision {
			return false
		}
	} else if found && current.Revision >= item.Revision {
		return false
	}
	if found && current.Removed {
		t.tombstones--
	}
	if item.Removed {
		item.Value = nil
		t.tombstones++
	}
	t.items[item.Key] = item
	if current.versioned() || item.versioned() {
		t.updateVersion(item)
	}
	return true
}

// newerVersion returns, of two states of a key with different versions, the one with the
// newer version, at the higher of both revisions.
func newerVersion(a, b Item) Item {
	newer := a
	if b.Version > a.Version {
		newer = b
	}
	newer.Revision = max(a.Revision, b.Revision)
	return newer
}

// updateVersion updates versions after a change of an item. The caller holds mu.
func (t *Table) updateVersion(item Item) {
	versions := maps.Clone(t.versions)
	if item.versioned() {
		versions[item.Key] = item.Version
	} else {
		delete(versions, item.Key)
	}
	t.versions = versions
}

// Versions returns the versions that the values in the table name, by key. The caller
// must not change the map.
func (t *Table) Versions() map[string]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.versions
}

// RaiseVersion replaces the value of a key if it names an older version than the given
// one, by a value that encode returns. Keys that do not exist or whose values name no
// version are not changed.
func (t *Table) RaiseVersion(key string, version uint64, encode func() []byte) {
	item, found := t.Get(key)
	if found && item.versioned() && item.Version < version {
		t.Apply(Delta{Items: []Item{{Key: key, Value: encode(), Revision: item.Revision, Version: version}}})
	}
}

// OlderThan returns the keys whose values in the table name older versions than the
// given ones, sorted. Keys that the table does not have are not among them.
func (t *Table) OlderThan(versions map[string]uint64) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var keys []string
	for key, version := range versions {
		if own := t.versions[key]; own > 0 && own < version {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// removeMissing removes the keys that a complete delta does not have, except those that
// changed after it. An older copy of the store that was made before a value with a version
// was first written does not take that value back. It reports whether it removed any. The
// caller holds mu.
func (t *Table) removeMissing(delta Delta) bool {
	present := make(map[string]bool, len(delta.Items))
	for _, item := range delta.Items {
		if !item.Removed {
			present[item.Key] = true
		}
	}
	removed := false
	for key, item := range t.items {
		keptFromEarlierEra := item.versioned() && EraOf(item.Revision) < EraOf(delta.Revision)
		if !present[key] && !item.Removed && item.Revision <= delta.Revision && !keptFromEarlierEra {
			removed = t.applyItem(Item{Key: key, Revision: delta.Revision, Removed: true}) || removed
		}
	}
	return removed
}

// trimTombstones forgets the older half of the tombstones if there are too many. The
// caller holds mu.
func (t *Table) trimTombstones() {
	if t.tombstones <= maxTombstones {
		return
	}
	var removed []Item
	for _, item := range t.items {
		if item.Removed {
			removed = append(removed, item)
		}
	}
	slices.SortFunc(removed, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, item := range removed[:len(removed)/2] {
		t.forgottenUpTo = max(t.forgottenUpTo, item.Revision)
		delete(t.items, item.Key)
		t.tombstones--
	}
}

// Since returns the changes after a revision, and the given keys although they have not
// changed since. The delta is complete if removals since then may have been forgotten.
// It is empty until the table is filled.
func (t *Table) Since(revision uint64, keys ...string) Delta {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.filled {
		return Delta{}
	}
	delta := Delta{Revision: t.newestRevision, Complete: revision < t.forgottenUpTo}
	for _, item := range t.items {
		if item.Revision > revision || (delta.Complete && !item.Removed) || slices.Contains(keys, item.Key) {
			delta.Items = append(delta.Items, item)
		}
	}
	return delta
}

// Covers reports whether the changes after a revision are known singly: Since returns a delta
// that is not complete.
func (t *Table) Covers(revision uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.filled && revision >= t.forgottenUpTo
}

// NewestRevision returns the revision up to which the table has all changes, 0 until it
// is filled.
func (t *Table) NewestRevision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.filled {
		return 0
	}
	return t.newestRevision
}

// Filled reports whether a complete delta was applied. Before that, keys may be missing.
func (t *Table) Filled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.filled
}

// Get returns one existing item.
func (t *Table) Get(key string) (Item, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	item, found := t.items[key]
	return item, found && !item.Removed
}

// Len returns the number of existing items.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.items) - t.tombstones
}

// List returns the items whose keys begin with a prefix, sorted by key, including
// removed items that are kept as tombstones.
func (t *Table) List(prefix string) []Item {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Item
	for _, key := range slices.Sorted(maps.Keys(t.items)) {
		if strings.HasPrefix(key, prefix) {
			list = append(list, t.items[key])
		}
	}
	return list
}

// Changed returns a channel that is closed at the next change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}
