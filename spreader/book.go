// Package spreader brings accepted revisions to every daemon and never back.
//
// Each daemon has a Book: an immutable snapshot of the newest revision of every
// service, replaced whole. A book moves forward only. Revisions reach it on four
// ways: a few daemons watch the store and the others hear of it by exchanges
// with random peers; a daemon that receives something new notifies peers at once;
// every message between daemons carries the revision it was decided on; and a
// daemon that starts asks its peers before the store, so it needs no store.
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

// ServiceRevision is one accepted revision with its decoded form.
type ServiceRevision[T any] struct {
	Service  string
	Revision uint64
	Text     []byte
	// Value is Text decoded; it must not be changed.
	Value T
	// base is the revision that this one replaced here, nil for the first. Its
	// own base is nil.
	base *ServiceRevision[T]
}

// Snapshot is the state of a book at one moment. It is never changed.
type Snapshot[T any] struct {
	revised map[string]*ServiceRevision[T]
	digest  uint64
}

// Get returns the revision held of a service, or nil.
func (s *Snapshot[T]) Get(service string) *ServiceRevision[T] { return s.revised[service] }

// Revision returns the revision number held of a service, or 0.
func (s *Snapshot[T]) Revision(service string) uint64 {
	if r := s.revised[service]; r != nil {
		return r.Revision
	}
	return 0
}

// Services returns the names of all services, sorted.
func (s *Snapshot[T]) Services() []string { return slices.Sorted(maps.Keys(s.revised)) }

// Revisions returns the revision number of every service.
func (s *Snapshot[T]) Revisions() map[string]uint64 {
	revisions := make(map[string]uint64, len(s.revised))
	for service, r := range s.revised {
		revisions[service] = r.Revision
	}
	return revisions
}

// Digest is equal for two snapshots with equal revisions.
func (s *Snapshot[T]) Digest() uint64 { return s.digest }

// NewerThan returns what the snapshot holds above the given revisions.
func (s *Snapshot[T]) NewerThan(than map[string]uint64) []*ServiceRevision[T] {
	var newer []*ServiceRevision[T]
	for _, service := range s.Services() {
		if r := s.revised[service]; r.Revision > than[service] {
			newer = append(newer, r)
		}
	}
	return newer
}

// Lacks reports whether the given revisions hold anything above the snapshot.
func (s *Snapshot[T]) Lacks(revisions map[string]uint64) bool {
	for service, revision := range revisions {
		if revision > s.Revision(service) {
			return true
		}
	}
	return false
}

// RevisionTable holds the newest known revision of every service. Reading is free of
// locks.
type RevisionTable[T any] struct {
	decode  func(text []byte) (T, error)
	current atomic.Pointer[Snapshot[T]]

	// mu is held while the snapshot is replaced.
	mu sync.Mutex
	// changed is closed and replaced whenever the snapshot is; guarded by mu.
	changed chan struct{}
}

// New returns an empty book. decode checks and decodes a text.
func New[T any](decode func(text []byte) (T, error)) *RevisionTable[T] {
	b := &RevisionTable[T]{decode: decode, changed: make(chan struct{})}
	b.current.Store(&Snapshot[T]{})
	return b
}

// Snapshot returns the current state.
func (b *RevisionTable[T]) Snapshot() *Snapshot[T] { return b.current.Load() }

// Changed returns a channel that is closed at the next change.
func (b *RevisionTable[T]) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Offer takes a revision if it is above the one held and reports whether it did.
func (b *RevisionTable[T]) Offer(service string, revision uint64, text []byte) (bool, error) {
	if b.Snapshot().Revision(service) >= revision {
		return false, nil
	}
	value, err := b.decode(text)
	if err != nil {
		return false, fmt.Errorf("decode %s revision %d: %w", service, revision, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.Snapshot()
	if old.Revision(service) >= revision {
		return false, nil
	}
	revised := maps.Clone(old.revised)
	if revised == nil {
		revised = make(map[string]*ServiceRevision[T])
	}
	revised[service] = &ServiceRevision[T]{Service: service, Revision: revision, Text: text, Value: value, base: old.Get(service).withoutBase()}
	next := &Snapshot[T]{revised: revised}
	next.digest = digest(next)
	b.current.Store(next)
	close(b.changed)
	b.changed = make(chan struct{})
	return true, nil
}

func (r *ServiceRevision[T]) withoutBase() *ServiceRevision[T] {
	if r == nil {
		return nil
	}
	copied := *r
	copied.base = nil
	return &copied
}

func digest[T any](s *Snapshot[T]) uint64 {
	var text []byte
	for _, service := range s.Services() {
		text = append(text, service...)
		text = append(text, 0)
		text = binary.BigEndian.AppendUint64(text, s.Revision(service))
	}
	return xxh3.Hash(text)
}
