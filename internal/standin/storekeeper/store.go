// Package storekeeper is a stand-in for the metadata store of the users' platform.
package storekeeper

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Item is one key of the store, or the removal of a key.
type Item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl time.Duration
	end time.Time
}

// Outage is how the store fails.
type Outage int

// Outages.
const (
	// None means that the store serves.
	None Outage = iota
	// Refuses answers 503.
	Refuses
	// Hangs answers nothing.
	Hangs
	// Cuts closes connections without an answer.
	Cuts
)

// Store is a stand-in for the platform's store. It loses nothing, and its answers are
// linearizable.
type Store struct {
	pageItems int
	stop      chan struct{}

	// mu guards the fields below.
	mu       sync.Mutex
	items    map[string]Item
	history  []Item
	revision uint64
	// dropped is the last revision whose change is not in history.
	dropped   uint64
	leases    map[uint64]*lease
	nextLease uint64
	// changed is closed and replaced at each change, and at each change of the faults.
	changed chan struct{}
	outage  Outage
	// cutAfter is how long a watch waits until it is cut, 0 for no limit.
	cutAfter time.Duration
}

const (
	// firstRevision and firstLease are where the counters begin.
	firstRevision, firstLease = 100, 7000
	// expiryInterval is the interval at which ended leases are looked for.
	expiryInterval = 50 * time.Millisecond
	// maxPageBytes is the size of the values in one page.
	maxPageBytes = 1 << 20
	// DefaultPageItems is the number of items in a page.
	DefaultPageItems = 500
)

// New returns an empty store whose pages hold at most pageItems items. Close ends it.
func New(pageItems int) *Store {
	s := &Store{pageItems: pageItems, stop: make(chan struct{}), items: make(map[string]Item), leases: make(map[uint64]*lease), revision: firstRevision, nextLease: firstLease, changed: make(chan struct{})}
	go func() {
		ticker := time.NewTicker(expiryInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				s.expireLeases()
			case <-s.stop:
				return
			}
		}
	}()
	return s
}

// Close ends the store's goroutine.
func (s *Store) Close() { close(s.stop) }

// Put writes a key as the operator or a replica does, even during an outage.
func (s *Store) Put(key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(Item{Key: key, Value: text})
	return nil
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; found {
		s.write(Item{Key: key, Tombstone: true})
	}
}

// SetOutage makes calls of all machines fail in a way, or ends that.
func (s *Store) SetOutage(outage Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
	s.wake()
}

// CutWatches cuts each watch that has waited for a time, or ends that if the time is 0.
func (s *Store) CutWatches(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutAfter = after
	s.wake()
}

// DropHistory drops the changes up to now, so that older watches get 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.revision
	s.wake()
}

// wake ends the waits of watches. The caller holds mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write makes one change. The caller holds mu.
func (s *Store) write(i Item) {
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, found := s.items[i.Key]; found {
		i.Created = old.Created
	}
	if i.Tombstone {
		i.Created = 0
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	s.wake()
}

// expireLeases ends the leases that have run out.
func (s *Store) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and removes its keys. The caller holds mu.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.write(Item{Key: key, Tombstone: true})
		}
	}
}

// page returns the items behind a key. The caller holds mu.
func (s *Store) page(prefix, after string) (items []Item, more bool) {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && (after == "" || key > after) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size := []Item{}, 0
	for _, key := range keys {
		if len(items) >= s.pageItems || size > 0 && size+len(s.items[key].Value) > maxPageBytes {
			return items, true
		}
		items, size = append(items, s.items[key]), size+len(s.items[key].Value)
	}
	return items, false
}

// eventsAfter returns the changes below a prefix. The caller holds mu.
func (s *Store) eventsAfter(after uint64, prefix string) []Item {
	events := []Item{}
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(i Item, revision uint64) int { return int(i.Revision) - int(revision) })
	for _, i := range s.history[first:] {
		if strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events
}

// change is a transaction.
type change struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

// reservedPrefixes begin the keys that daemons may not write.
var reservedPrefixes = []string{"op/", "servers/"}

// reserved reports whether a change writes a key that daemons may not write.
func (c change) reserved() bool {
	keys := c.Remove
	for _, p := range c.Puts {
		keys = append(keys, p.Key)
	}
	return slices.ContainsFunc(keys, func(key string) bool {
		return slices.ContainsFunc(reservedPrefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
	})
}
