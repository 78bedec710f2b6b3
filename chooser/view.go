// Package chooser decides which replica gets a request.
//
// The package is pure: it is given typed views and the time, and returns a
// choice with its reason. It does no input or output.
//
// The cost of a replica is the expected time to the first token: the work in
// front of the request, the prefill of the blocks that are not cached there, and
// the network. The candidates are the replicas that all entries agree on without
// talking: for each of several prefix levels of the prompt, the successors of
// the level's hash on a ring. What a replica has cached is known from its own
// replies: every reply tells how deep the prompt was cached, and a bounded
// memory holds which replica answered for which block under which engine
// incarnation. Load reports lag, so the entry's own recent sends are counted on
// top of the last report.
package chooser

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"
)

// ringPoints is the number of points of one replica on the ring.
const ringPoints = 16

// Replica is the fixed part of what is known about one replica.
type Replica struct {
	// Name is unique within the pool.
	Name string
	// Address is where its sidecar listens.
	Address string
	// AvailabilityZone and Region tell where it is.
	AvailabilityZone, Region string
}

// Report is what a replica last said about itself.
type Report struct {
	SidecarIncarnation string
	EngineIncarnation  string
	WeightsVersion     string
	Leaving            bool
	// BacklogTokens is the prefill work in front of a new request.
	BacklogTokens int
	// ReceivedAt is when the report arrived.
	ReceivedAt time.Time
}

// Status is the changing part of what is known about one replica. Readers load
// the report without locks.
type Status struct {
	report atomic.Pointer[Report]
	// sent counts the tokens sent since the last report, decayed by reports.
	sent atomic.Int64
	// avoidUntil is a time in Unix nanoseconds; 0 for none.
	avoidUntil atomic.Int64
	// index is the replica's place in the newest pool.
	index atomic.Int32
}

// Report returns the last report, or nil.
func (s *Status) Report() *Report { return s.report.Load() }

// SetReport takes a newer report. Work that was sent before the report is
// contained in it.
func (s *Status) SetReport(report *Report) {
	s.report.Store(report)
	s.sent.Store(0)
}

// AddSent counts work that was sent to the replica and is not in a report yet.
func (s *Status) AddSent(tokens int) { s.sent.Add(int64(tokens)) }

// Avoid passes the replica over until the given time.
func (s *Status) Avoid(until time.Time) { s.avoidUntil.Store(until.UnixNano()) }

// Avoided reports whether the replica is passed over.
func (s *Status) Avoided(now time.Time) bool { return now.UnixNano() < s.avoidUntil.Load() }

// Pool is the replicas of one service at one configuration revision. It is
// immutable but for the statuses; a new revision makes a new pool that keeps the
// statuses of the replicas that stay.
type Pool struct {
	replicas []Replica
	statuses []*Status
	// ring holds points in ascending order of hash.
	ring []point
	// byName maps names to indexes.
	byName map[string]int
}

// point is one place on the ring.
type point struct {
	hash    uint64
	replica int32
}

// NewPool returns a pool. Statuses are taken over from earlier by name, if it is
// not nil.
func NewPool(replicas []Replica, earlier *Pool) *Pool {
	p := &Pool{
		replicas: replicas,
		statuses: make([]*Status, len(replicas)),
		ring:     make([]point, 0, len(replicas)*ringPoints),
		byName:   make(map[string]int, len(replicas)),
	}
	for i, replica := range replicas {
		p.byName[replica.Name] = i
		p.statuses[i] = earlier.statusOf(replica)
		p.statuses[i].index.Store(int32(i))
		seed := xxh3.HashString(replica.Name)
		for k := range ringPoints {
			p.ring = append(p.ring, point{mix(seed + uint64(k)*0x9e3779b97f4a7c15), int32(i)})
		}
	}
	slices.SortFunc(p.ring, func(a, b point) int {
		if a.hash < b.hash {
			return -1
		}
		if a.hash > b.hash {
			return 1
		}
		return int(a.replica - b.replica)
	})
	return p
}

// statusOf returns the status of a replica that stays at its address, or a new one.
func (p *Pool) statusOf(replica Replica) *Status {
	if p != nil {
		if i, ok := p.byName[replica.Name]; ok && p.replicas[i].Address == replica.Address {
			return p.statuses[i]
		}
	}
	return &Status{}
}

// Len returns the number of replicas.
func (p *Pool) Len() int { return len(p.replicas) }

// Replica returns one replica.
func (p *Pool) Replica(i int) *Replica { return &p.replicas[i] }

// Status returns the changing part of one replica.
func (p *Pool) Status(i int) *Status { return p.statuses[i] }

// Find returns the index of a replica by name, or -1.
func (p *Pool) Find(name string) int {
	if i, ok := p.byName[name]; ok {
		return i
	}
	return -1
}

// successor returns the position on the ring of the first point at or after hash.
func (p *Pool) successor(hash uint64) int {
	low, high := 0, len(p.ring)
	for low < high {
		middle := int(uint(low+high) >> 1)
		if p.ring[middle].hash < hash {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low % len(p.ring)
}

// Homes appends the first n distinct replicas for the hash to dst, in the order
// that all entries agree on.
func (p *Pool) Homes(dst []int, hash uint64, n int) []int {
	if len(p.ring) == 0 {
		return dst
	}
	first := len(dst)
	at := p.successor(mix(hash))
	for steps := 0; steps < len(p.ring) && len(dst)-first < n; steps++ {
		replica := int(p.ring[at].replica)
		if !slices.Contains(dst[first:], replica) {
			dst = append(dst, replica)
		}
		at = (at + 1) % len(p.ring)
	}
	return dst
}

// mix scrambles a hash so that nearby inputs land apart.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
