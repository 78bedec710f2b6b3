// Package chooser decides which replica of a service gets a request.
//
// It does no input or output: callers pass in the replicas with their last
// reports, the request and the time, and get a choice with its reason.
//
// The cost of a replica is the expected time to the first token: the work in
// front of the request, the prefill of the blocks that are not cached there, and
// the network. Only a few candidates are compared:
//
//   - Replicas that are known to have blocks of the prompt cached. Every reply
//     tells how many leading blocks were cached, and a HolderIndex records this
//     with the incarnation of the engine.
//   - The homes of several prefixes of the prompt: the replicas that follow the
//     prefix's hash on a consistent-hashing ring. All entries (the daemons that
//     route requests) find the same homes without communication.
//   - A few random replicas.
//
// Load reports lag, so the tokens that the entry itself sent since the last report
// are added to the reported backlog.
package chooser

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"
)

// pointsPerReplica is the number of points of each replica on the hash ring.
// Several points spread the load more evenly than one.
const pointsPerReplica = 16

// Replica holds what is configured for one replica and does not change.
type Replica struct {
	// Name is unique within the pool.
	Name string
	// Address is where the replica's sidecar listens.
	Address string
	// AvailabilityZone and Region tell where the replica is.
	AvailabilityZone, Region string
}

// Report is what a replica's sidecar last reported about the replica.
type Report struct {
	// SidecarIncarnation and EngineIncarnation change when the sidecar or the
	// engine restarts.
	SidecarIncarnation string
	EngineIncarnation  string
	// WeightsVersion is the version that the engine serves, empty if the sidecar
	// has not reached the engine yet.
	WeightsVersion string
	// Leaving is set while the replica drains and takes no new requests.
	Leaving bool
	// BacklogTokens is the prefill work in front of a new request.
	BacklogTokens int
	// ReceivedAt is when the report arrived.
	ReceivedAt time.Time
}

// Status holds what changes about one replica. It is safe for concurrent use and
// takes no locks.
type Status struct {
	report atomic.Pointer[Report]
	// sentTokens counts the tokens sent since the last report.
	sentTokens atomic.Int64
	// avoidUntil is a time in Unix nanoseconds; 0 for none.
	avoidUntil atomic.Int64
	// index is the replica's index in the newest pool.
	index atomic.Int32
}

// Report returns the last report, or nil if there was none.
func (s *Status) Report() *Report { return s.report.Load() }

// SetReport stores a newer report and resets the count of sent tokens, which the
// report's backlog is taken to include.
func (s *Status) SetReport(report *Report) {
	s.report.Store(report)
	s.sentTokens.Store(0)
}

// AddSent counts tokens that were sent to the replica, until the next report.
func (s *Status) AddSent(tokens int) { s.sentTokens.Add(int64(tokens)) }

// Avoid makes Choose pass the replica over until the given time.
func (s *Status) Avoid(until time.Time) { s.avoidUntil.Store(until.UnixNano()) }

// Avoided reports whether the replica is passed over at the given time.
func (s *Status) Avoided(now time.Time) bool { return now.UnixNano() < s.avoidUntil.Load() }

// Pool holds the replicas of one service at one configuration revision. Only their
// statuses change. A new revision makes a new pool that keeps the statuses of the
// replicas that remain.
type Pool struct {
	replicas []Replica
	statuses []*Status
	// ring is the consistent-hashing ring: all points in ascending order of hash.
	ring []point
	// byName maps the names of replicas to their indexes.
	byName map[string]int
}

// point is one point of a replica on the ring.
type point struct {
	hash         uint64
	replicaIndex int32
}

// NewPool returns a pool of the replicas. A replica with the same name and address
// in earlier, which may be nil, keeps its status.
func NewPool(replicas []Replica, earlier *Pool) *Pool {
	p := &Pool{
		replicas: replicas,
		statuses: make([]*Status, len(replicas)),
		ring:     make([]point, 0, len(replicas)*pointsPerReplica),
		byName:   make(map[string]int, len(replicas)),
	}
	for i, replica := range replicas {
		p.byName[replica.Name] = i
		p.statuses[i] = earlier.statusOf(replica)
		p.statuses[i].index.Store(int32(i))
		seed := xxh3.HashString(replica.Name)
		for k := range pointsPerReplica {
			// The factor is 2^64 divided by the golden ratio, which spreads its multiples.
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
		return int(a.replicaIndex - b.replicaIndex)
	})
	return p
}

// statusOf returns the status of the replica with this name and address in the
// pool, or a new one. The pool may be nil.
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

// Replica returns the replica with index i.
func (p *Pool) Replica(i int) *Replica { return &p.replicas[i] }

// Status returns the status of the replica with index i.
func (p *Pool) Status(i int) *Status { return p.statuses[i] }

// Find returns the index of a replica by name, or -1.
func (p *Pool) Find(name string) int {
	if i, ok := p.byName[name]; ok {
		return i
	}
	return -1
}

// successor returns the position on the ring of the first point at or after hash,
// wrapping around at the end.
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

// Homes appends the homes of a hash to dst: the first n distinct replicas that
// follow it on the ring. The result depends on the replicas' names only, so all
// entries with the same pool get the same one.
func (p *Pool) Homes(dst []int, hash uint64, n int) []int {
	if len(p.ring) == 0 {
		return dst
	}
	start := len(dst)
	position := p.successor(mix(hash))
	for steps := 0; steps < len(p.ring) && len(dst)-start < n; steps++ {
		replicaIndex := int(p.ring[position].replicaIndex)
		if !slices.Contains(dst[start:], replicaIndex) {
			dst = append(dst, replicaIndex)
		}
		position = (position + 1) % len(p.ring)
	}
	return dst
}

// mix scrambles a hash so that nearby inputs land far apart. It is the finalizer of
// the 64-bit MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
