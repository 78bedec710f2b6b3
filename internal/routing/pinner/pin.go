// Package pinner remembers which version of the replicas' software began a stream, so that the
// stream goes on at that version only.
//
// The daemon that passes on the first event of a stream records its version, and has a few
// others record it too. One that is asked to continue a stream asks these. What they do not
// know follows only if a single version has served for as long as the stream can have run.
package pinner

import (
	"slices"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/zeebo/xxh3"
)

const (
	// RefreshInterval is how often a stream that goes on is recorded again.
	RefreshInterval = 15 * time.Second
	// generationTime is for how long records are kept at least: a caller that takes a stream up
	// does so within seconds.
	generationTime = 2 * RefreshInterval
	// maxGenerationRecords bounds the records of a generation, at some 50 bytes each: those of 30
	// s at 1,000 streams a second.
	maxGenerationRecords = 32 << 10
)

// Key returns the key of a stream of a workspace that began with the request of the given ID.
func Key(workspace, requestID string) uint64 {
	return xxh3.HashStringSeed(requestID, xxh3.HashString(workspace))
}

// Record says which version of the software began a stream.
type Record struct {
	Key     uint64 `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
}

// Registry holds records for a while. It is safe for concurrent use.
type Registry struct {
	clock timekeeper.Clock

	// mu guards the fields below.
	mu sync.Mutex
	// current holds the records since rotatedAt, previous those of the generation before.
	current, previous map[uint64]string
	rotatedAt         time.Time
}

// New returns an empty registry.
func New(clock timekeeper.Clock) *Registry {
	return &Registry{clock: clock, current: make(map[uint64]string), rotatedAt: clock.Now()}
}

// Add adds a record, or keeps one that is there for longer. A stream's version never changes: one
// that another record names is ignored.
func (r *Registry) Add(record Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate()
	if known, found := r.find(record.Key); found {
		record.Version = known
	}
	r.current[record.Key] = record.Version
}

// Find returns the version of a stream, and false if it is not known.
func (r *Registry) Find(key uint64) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate()
	return r.find(key)
}

func (r *Registry) find(key uint64) (string, bool) {
	version, found := r.current[key]
	if !found {
		version, found = r.previous[key]
	}
	return version, found
}

// rotate begins a new generation if the current one is old or full.
func (r *Registry) rotate() {
	age := r.clock.Now().Sub(r.rotatedAt)
	if age < generationTime && len(r.current) < maxGenerationRecords {
		return
	}
	r.previous, r.current = r.current, make(map[uint64]string)
	if age >= 2*generationTime {
		r.previous = nil
	}
	r.rotatedAt = r.clock.Now()
}

// Len returns the number of records.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.current) + len(r.previous)
}

// Query asks which version began a stream of a service that has run for no longer than Within.
type Query struct {
	Key     uint64        `cbor:"1,keyasint"`
	Service string        `cbor:"2,keyasint"`
	Within  time.Duration `cbor:"3,keyasint"`
}

// Origin is what one or several daemons know of the version that began a stream.
type Origin struct {
	// Version is the stream's version if Recorded is set.
	Version  string `cbor:"1,keyasint,omitempty"`
	Recorded bool   `cbor:"2,keyasint,omitempty"`
	// Serving holds the versions that have served within the time of the query, as far as is
	// known, sorted; Observed is set if that is known for all of the time.
	Serving  []string `cbor:"3,keyasint,omitempty"`
	Observed bool     `cbor:"4,keyasint,omitempty"`
}

// Merge adds what another daemon knows.
func (o *Origin) Merge(other Origin) {
	if !o.Recorded {
		o.Version, o.Recorded = other.Version, other.Recorded
	}
	o.Serving = slices.Concat(o.Serving, other.Serving)
	slices.Sort(o.Serving)
	o.Serving = slices.Compact(o.Serving)
	o.Observed = o.Observed || other.Observed
}

// Decide returns the version at which the stream may go on, "" if the replicas name none. It
// returns false if the version is not known.
func (o *Origin) Decide() (string, bool) {
	switch {
	case o.Recorded:
		return o.Version, true
	case len(o.Serving) == 1 && (o.Observed || o.Serving[0] == ""):
		return o.Serving[0], true
	}
	return "", false
}
