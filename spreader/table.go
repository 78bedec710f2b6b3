// Package spreader distributes accepted configuration revisions to all daemons by
// gossip and never replaces a revision by an older one.
//
// Each daemon has a RevisionTable with the newest revision of every service that
// it knows. Readers get an immutable snapshot, which is replaced as a whole.
// Revisions arrive in four ways:
//
//   - One daemon of each region watches the store. A few standbys take over when its
//     reports stop. The other daemons get the revisions by periodic exchanges with
//     random peers.
//   - A daemon that receives a new revision exchanges with its neighbours at once.
//   - Every request of an entry to a sidecar carries the revision that the entry
//     decided by. If one of the two holds an older one, it exchanges with the other.
//   - A daemon that starts exchanges with its peers first, so it needs no store.
package spreader

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/zeebo/xxh3"
)

// ServiceRevision is one accepted revision of a service's configuration.
type ServiceRevision[T any] struct {
	Service  string
	Revision uint64
	// Text is the encoded configuration.
	Text []byte
	// Value is Text decoded; it must not be changed.
	Value T
	// base is the revision that this one replaced in this daemon's table, nil for
	// the first. Its own base is nil, so that older revisions can be freed.
	base *ServiceRevision[T]
}

// Snapshot holds what a table held at one moment. It is never changed.
type Snapshot[T any] struct {
	byService map[string]*ServiceRevision[T]
	// digest is a hash of all services and their revision numbers.
	digest uint64
}

// Get returns the revision held of a service, or nil.
func (s *Snapshot[T]) Get(service string) *ServiceRevision[T] { return s.byService[service] }

// Revision returns the revision number held of a service, or 0.
func (s *Snapshot[T]) Revision(service string) uint64 {
	if r := s.byService[service]; r != nil {
		return r.Revision
	}
	return 0
}

// Services returns the names of all services, sorted.
func (s *Snapshot[T]) Services() []string { return slices.Sorted(maps.Keys(s.byService)) }

// Revisions returns the revision number of every service.
func (s *Snapshot[T]) Revisions() map[string]uint64 {
	revisions := make(map[string]uint64, len(s.byService))
	for service, r := range s.byService {
		revisions[service] = r.Revision
	}
	return revisions
}

// Digest returns a hash of all services and their revision numbers. Snapshots with
// equal revisions have equal digests.
func (s *Snapshot[T]) Digest() uint64 { return s.digest }

// NewerThan returns the held revisions that are newer than the given revision
// numbers, sorted by service. A service without a number counts as revision 0.
func (s *Snapshot[T]) NewerThan(revisions map[string]uint64) []*ServiceRevision[T] {
	var newer []*ServiceRevision[T]
	for _, service := range s.Services() {
		if r := s.byService[service]; r.Revision > revisions[service] {
			newer = append(newer, r)
		}
	}
	return newer
}

// Lacks reports whether any of the given revision numbers is above the one held.
func (s *Snapshot[T]) Lacks(revisions map[string]uint64) bool {
	for service, revision := range revisions {
		if revision > s.Revision(service) {
			return true
		}
	}
	return false
}

// RevisionTable holds the newest known revision of every service. Snapshot takes no
// locks.
type RevisionTable[T any] struct {
	// decode checks and decodes the text of a revision.
	decode  func(text []byte) (T, error)
	current atomic.Pointer[Snapshot[T]]

	// mu is held while the snapshot is replaced.
	mu sync.Mutex
	// changed is closed and replaced whenever the snapshot is; guarded by mu.
	changed chan struct{}
}

// New returns an empty table. decode checks and decodes the text of a revision.
func New[T any](decode func(text []byte) (T, error)) *RevisionTable[T] {
	t := &RevisionTable[T]{decode: decode, changed: make(chan struct{})}
	t.current.Store(&Snapshot[T]{})
	return t
}

// Snapshot returns the current snapshot.
func (t *RevisionTable[T]) Snapshot() *Snapshot[T] { return t.current.Load() }

// Changed returns a channel that is closed at the next change of the table.
func (t *RevisionTable[T]) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Offer stores a revision if it is newer than the one held, and reports whether it
// did. A text that cannot be decoded is an error and is not stored.
func (t *RevisionTable[T]) Offer(service string, revision uint64, text []byte) (bool, error) {
	if t.Snapshot().Revision(service) >= revision {
		return false, nil
	}
	value, err := t.decode(text)
	if err != nil {
		return false, fmt.Errorf("decode %s revision %d: %w", service, revision, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.Snapshot()
	if old.Revision(service) >= revision {
		return false, nil
	}
	byService := maps.Clone(old.byService)
	if byService == nil {
		byService = make(map[string]*ServiceRevision[T])
	}
	byService[service] = &ServiceRevision[T]{Service: service, Revision: revision, Text: text, Value: value, base: old.Get(service).withoutBase()}
	next := &Snapshot[T]{byService: byService}
	next.digest = digest(next)
	t.current.Store(next)
	close(t.changed)
	t.changed = make(chan struct{})
	return true, nil
}

// withoutBase returns a copy whose base is nil, or nil for nil.
func (r *ServiceRevision[T]) withoutBase() *ServiceRevision[T] {
	if r == nil {
		return nil
	}
	copied := *r
	copied.base = nil
	return &copied
}

// digest hashes the services and revision numbers of a snapshot. A zero byte ends
// each name, so that different sets of revisions are encoded differently.
func digest[T any](s *Snapshot[T]) uint64 {
	var encoded []byte
	for _, service := range s.Services() {
		encoded = append(encoded, service...)
		encoded = append(encoded, 0)
		encoded = binary.BigEndian.AppendUint64(encoded, s.Revision(service))
	}
	return xxh3.Hash(encoded)
}
