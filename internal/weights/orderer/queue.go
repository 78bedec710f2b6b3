package orderer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/zeebo/xxh3"
)

const (
	// replicasPerLane determines the number of lanes in a large pool. The replicas
	// of a lane load one after another, so that one per lane loads at a time. More
	// loads at once make all of them slower.
	replicasPerLane = 6
	// minLanes is the number of lanes in a small pool.
	minLanes = 2
	// predecessorTimeout is how long a replica waits for each replica ahead of it in
	// its lane, counted from when the version was wanted: with three ahead, it may load
	// after three timeouts at the latest.
	predecessorTimeout = 1500 * time.Millisecond
	// runningRequestsTimeout is how long a replica waits for a predecessor whose
	// load is delayed by its last running requests. Until these end, the
	// predecessor's load does not slow down other loads.
	runningRequestsTimeout = 700 * time.Millisecond
	// urgentShareFirst and urgentShareLast are the shares of the old-weights timeout
	// after which the first and the last replica of the queue load regardless of the
	// others. The shares of the replicas between them rise evenly.
	urgentShareFirst, urgentShareLast = 0.5, 0.7
	// maxPredecessors is how many predecessors in its lane a replica considers, the
	// nearest first: if several are unreachable at once, it waits for the nearest
	// that is not.
	maxPredecessors = 3
)

// LoadQueue is the order in which the replicas of a service load new weights, as seen
// by one of them, the own replica. It has several lanes, which load in parallel: with
// three lanes, each replica follows the one three places before it in the queue, which
// wraps around.
type LoadQueue struct {
	// ownIndex is the index of the own replica in the queue.
	ownIndex int
	// lanes is the number of lanes; size is the length of the queue.
	lanes, size int
	// Predecessors holds the replicas before the own one in its lane, the nearest
	// first, up to maxPredecessors.
	Predecessors []router.Descriptor
}

// NewLoadQueue derives the queue of a service from the list of all replicas; the own
// replica is the one at ownAddress. The order depends on the replicas' IDs and zones
// only, so that all sidecars derive the same one. The availability zones alternate,
// so that none loses many replicas at once. The second result is false if the own
// replica is not in the list.
func NewLoadQueue(list []router.Descriptor, service, ownAddress string) (LoadQueue, bool) {
	var members []router.Descriptor
	for _, d := range list {
		if d.Service == service && !d.Draining {
			members = append(members, d)
		}
	}
	indexInZone := make(map[string]int)
	slices.SortFunc(members, func(a, b router.Descriptor) int { return cmp.Compare(xxh3.HashString(a.ID), xxh3.HashString(b.ID)) })
	zoneCounts := make(map[string]int)
	for _, d := range members {
		indexInZone[d.ID] = zoneCounts[d.Zone]
		zoneCounts[d.Zone]++
	}
	slices.SortStableFunc(members, func(a, b router.Descriptor) int {
		return cmp.Or(cmp.Compare(indexInZone[a.ID], indexInZone[b.ID]), cmp.Compare(a.Zone, b.Zone))
	})
	q := LoadQueue{size: len(members), lanes: min(max(minLanes, len(members)/replicasPerLane), max(1, len(members)))}
	q.ownIndex = slices.IndexFunc(members, func(d router.Descriptor) bool { return d.Address == ownAddress })
	if q.ownIndex < 0 {
		return LoadQueue{}, false
	}
	for i := 1; i <= maxPredecessors; i++ {
		index := ((q.ownIndex-i*q.lanes)%q.size + q.size) % q.size
		if index == q.ownIndex {
			break
		}
		q.Predecessors = append(q.Predecessors, members[index])
	}
	return q, true
}

// Place returns the own replica's index in the queue and the length of the queue.
func (q LoadQueue) Place() (index, size int) { return q.ownIndex, q.size }

// lanePosition returns how many replicas of its lane are ahead of the own one in the
// rollout of a version. Odd versions start in the middle of the queue and even ones at
// its front, so that the last replicas of a rollout that was cut short are not last in
// the next one.
func (q LoadQueue) lanePosition(version int) int {
	start := version % 2 * (q.size / 2)
	return (q.ownIndex - start + q.size) % q.size / q.lanes
}

// VersionAge holds how long the sidecar has known of weights that are newer than the
// replica's.
type VersionAge struct {
	// SinceWanted is how long the sidecar has known the wanted version,
	// SinceSuperseded how long the first version that is newer than the replica's.
	SinceWanted, SinceSuperseded time.Duration
	// OldWeightsTimeout is how long requests may still begin on superseded weights.
	OldWeightsTimeout time.Duration
}

// Decide returns whether the own replica may load the wanted version. It waits for the
// nearest reachable predecessor, unless the wait has become too long. If none of
// Predecessors is reachable, it waits only if more replicas than these are ahead in the
// lane. stateOf returns the last reported state of another replica, nil if none is
// recent.
func (q LoadQueue) Decide(wanted WantedVersion, stateOf func(router.Descriptor) *router.State, age VersionAge) Decision {
	position := q.lanePosition(wanted.Version)
	urgentShare := urgentShareFirst + (urgentShareLast-urgentShareFirst)*float64(q.ownIndex)/float64(max(1, q.size))
	switch {
	case age.SinceSuperseded > time.Duration(urgentShare*float64(age.OldWeightsTimeout)):
		return Urgent
	case age.SinceWanted > time.Duration(position)*predecessorTimeout:
		return Load
	}
	for i := range min(position, len(q.Predecessors)) {
		state := stateOf(q.Predecessors[i])
		if state == nil || state.Phase == router.Unreachable {
			continue
		}
		switch {
		case state.WeightsVersions[wanted.Model] >= wanted.Version && state.Phase == router.Serving:
			return Load
		case state.Phase == router.Loading && state.Running > 0 && state.PhaseAge > runningRequestsTimeout:
			return Load
		case state.Phase == router.Loading:
			return Prepare
		}
		return Wait
	}
	if position <= len(q.Predecessors) {
		return Load
	}
	return Wait
}
