package router

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
)

// leavingMemory is how long it is remembered that a replica leaves: longer than replicas
// take to leave.
const leavingMemory = 10 * time.Minute

// LeavingSource is how it was learned that a replica leaves.
type LeavingSource string

// The sources of a replica's leaving.
const (
	// LeavingByAnswer means that an answer of the replica to this daemon says so.
	LeavingByAnswer LeavingSource = "answer"
	// LeavingByPeer means that another daemon has reported it.
	LeavingByPeer LeavingSource = "peer"
)

// Incarnation identifies one start of a replica. In what is known of replicas that leave it
// stands for all starts up to this one.
type Incarnation struct {
	ID             string `cbor:"1,keyasint"`
	StartUnixMilli int64  `cbor:"2,keyasint,omitempty"`
}

// leavingEntry is what is known of a replica that leaves.
type leavingEntry struct {
	// lastStartUnixMilli is the last start of the incarnations that leave.
	lastStartUnixMilli int64
	// since is when the replica was first known to leave.
	since time.Time
}

// LeavingReplica reports to other daemons that a replica has said that it leaves.
type LeavingReplica struct {
	Incarnation
	// Ago is how long ago it said so first.
	Ago time.Duration `cbor:"3,keyasint"`
}

// incarnation returns the replica's incarnation.
func (d *Descriptor) incarnation() Incarnation {
	return Incarnation{ID: d.ID, StartUnixMilli: d.StartUnixMilli}
}

// LeavingRegistry remembers which replicas leave. A replica that leaves does so until its ID
// is seen as a new incarnation, whatever the list or other daemons say meanwhile. It is
// safe for concurrent use.
type LeavingRegistry struct {
	clock timekeeper.Clock
	// entries holds the replicas that leave by ID. It is replaced, never changed.
	entries atomic.Pointer[map[string]leavingEntry]
	// version counts the changes.
	version atomic.Uint64
	// mu is held while entries is replaced.
	mu sync.Mutex
}

// NewLeavingRegistry returns an empty registry.
func NewLeavingRegistry(clock timekeeper.Clock) *LeavingRegistry {
	l := &LeavingRegistry{clock: clock}
	l.entries.Store(&map[string]leavingEntry{})
	return l
}

// Record records that a replica leaves, and reports whether that was not known.
func (l *LeavingRegistry) Record(replica Incarnation) bool { return l.record(replica, l.clock.Now()) }

func (l *LeavingRegistry) record(replica Incarnation, at time.Time) bool {
	if l.Leaves(replica) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	next := maps.Clone(*l.entries.Load())
	maps.DeleteFunc(next, func(_ string, e leavingEntry) bool { return now.Sub(e.since) >= leavingMemory })
	next[replica.ID] = leavingEntry{lastStartUnixMilli: replica.StartUnixMilli, since: at}
	l.entries.Store(&next)
	l.version.Add(1)
	return true
}

// Leaves reports whether a replica is known to leave.
func (l *LeavingRegistry) Leaves(replica Incarnation) bool {
	entry, found := (*l.entries.Load())[replica.ID]
	return found && replica.StartUnixMilli <= entry.lastStartUnixMilli
}

// Version changes with the contents.
func (l *LeavingRegistry) Version() uint64 { return l.version.Load() }

// Report returns the replicas that leave, for other daemons.
func (l *LeavingRegistry) Report() []LeavingReplica {
	now := l.clock.Now()
	var list []LeavingReplica
	for id, entry := range *l.entries.Load() {
		list = append(list, LeavingReplica{Incarnation: Incarnation{ID: id, StartUnixMilli: entry.lastStartUnixMilli}, Ago: now.Sub(entry.since)})
	}
	return list
}

// Merge records what another daemon reports and returns the replicas that were not known to
// leave.
func (l *LeavingRegistry) Merge(report []LeavingReplica) []Incarnation {
	var added []Incarnation
	for _, replica := range report {
		if replica.Ago >= 0 && replica.Ago < leavingMemory && l.record(replica.Incarnation, l.clock.Now().Add(-replica.Ago)) {
			added = append(added, replica.Incarnation)
		}
	}
	return added
}

// recordLeaving records that an answer of the current attempt's replica says that the replica
// leaves. An answer of another replica at its address does not count.
func (d *dispatch) recordLeaving(reply *Reply) {
	replica := d.choice.replica
	if !reply.Leaving || reply.WrongReplica && reply.ReplicaID != replica.ID() {
		return
	}
	d.router.pool.recordLeaving(replica, d.router.logger)
}
