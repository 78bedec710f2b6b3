// Package replicator keeps a copy of a part of the platform's store and lets
// daemons bring each other's copies up to date.
//
// A copy only moves forward: every item carries the store's revision of its last
// change, and an older change never replaces a newer one, whoever brings it.
package replicator

import (
	"maps"
	"slices"
	"strings"
	"sync"
)

// maxTombstones bounds the removals that are remembered for other daemons.
const maxTombstones = 1024

// Item is one key of the store at its last change.
type Item struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint,omitempty"`
	// Revision is the store's revision at the change.
	Revision uint64 `cbor:"3,keyasint"`
	// Removed is set for a key that the store no longer has.
	Removed bool `cbor:"4,keyasint,omitempty"`
}

// Delta is what changed behind a revision.
type Delta struct {
	// Revision is the newest change that the sender knows.
	Revision uint64 `cbor:"1,keyasint"`
	// Complete is set if Items are all that exist; other keys were removed by then.
	Complete bool   `cbor:"2,keyasint,omitempty"`
	Items    []Item `cbor:"3,keyasint,omitempty"`
}

// Table is the copy. It is safe for concurrent use.
type Table struct {
	// mu guards the fields below.
	mu    sync.Mutex
	items map[string]Item
	// newest is the highest revision of a change that the table contains.
	newest uint64
	// floor is the revision up to which removals may have been forgotten.
	floor uint64
	// tombstones counts the removed items.
	tombstones int
	// filled is set once a whole copy was taken.
	filled bool
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// New returns an empty table.
func New() *Table {
	return &Table{items: make(map[string]Item), changed: make(chan struct{})}
}

// Apply takes a delta and reports whether it brought news. Changes that are older
// than what the table has are ignored.
func (t *Table) Apply(delta Delta) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	news := false
	for _, item := range delta.Items {
		news = t.put(item) || news
	}
	if delta.Complete {
		news = t.removeMissing(delta) || news
		news = news || !t.filled
		t.filled = true
	}
	t.newest = max(t.newest, delta.Revision)
	if news {
		t.trim()
		close(t.changed)
		t.changed = make(chan struct{})
	}
	return news
}

// put takes one change. The caller holds mu.
func (t *Table) put(item Item) bool {
	known, found := t.items[item.Key]
	if found && known.Revision >= item.Revision {
		return false
	}
	if item.Removed && !found {
		t.newest = max(t.newest, item.Revision)
		return false
	}
	if found && known.Removed {
		t.tombstones--
	}
	if item.Removed {
		item.Value = nil
		t.tombstones++
	}
	t.items[item.Key] = item
	t.newest = max(t.newest, item.Revision)
	return true
}

// removeMissing removes the keys that a whole copy does not have. The caller
// holds mu.
func (t *Table) removeMissing(delta Delta) bool {
	present := make(map[string]bool, len(delta.Items))
	for _, item := range delta.Items {
		present[item.Key] = true
	}
	removed := false
	for key, item := range t.items {
		if !present[key] && !item.Removed && item.Revision <= delta.Revision {
			removed = t.put(Item{Key: key, Revision: delta.Revision, Removed: true}) || removed
		}
	}
	return removed
}

// trim forgets the oldest removals. The caller holds mu.
func (t *Table) trim() {
	if t.tombstones <= maxTombstones {
		return
	}
	var removed []Item
	for _, item := range t.items {
		if item.Removed {
			removed = append(removed, item)
		}
	}
	slices.SortFunc(removed, func(a, b Item) int { return int(a.Revision) - int(b.Revision) })
	for _, item := range removed[:len(removed)/2] {
		t.floor = max(t.floor, item.Revision)
		delete(t.items, item.Key)
		t.tombstones--
	}
}

// Since returns what changed behind a revision. It is whole if removals since then
// may have been forgotten.
func (t *Table) Since(revision uint64) Delta {
	t.mu.Lock()
	defer t.mu.Unlock()
	delta := Delta{Revision: t.newest, Complete: revision <= t.floor}
	for _, item := range t.items {
		if item.Revision > revision || (delta.Complete && !item.Removed) {
			delta.Items = append(delta.Items, item)
		}
	}
	return delta
}

// NewestRevision returns the revision of the newest change, 0 before the first.
func (t *Table) NewestRevision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest
}

// Filled reports whether the table has been a whole copy.
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

// List returns the items below a prefix in the order of their keys, removed ones
// included.
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
