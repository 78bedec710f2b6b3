package orderer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/zeebo/xxh3"
)

const (
	// lanesShare is the replicas for each one that loads at the same time. More
	// at once make all of them slower.
	lanesShare = 6
	// leastLanes is how many load at the same time in a small pool.
	leastLanes = 2
	// placeLimit is how long the place before may take before the next goes ahead
	// without it.
	placeLimit = 1500 * time.Millisecond
	// endingLimit is how long a replica is waited for whose load is held up by its
	// last requests. Until they end it slows no other load down.
	endingLimit = 700 * time.Millisecond
	// urgentFrom and urgentTo are the parts of the time in which requests may begin
	// on older weights, after which the first and the last of the queue load
	// whatever the others do.
	urgentFrom, urgentTo = 0.5, 0.7
	// maxPredecessors is how many replicas of the lane are looked at, the nearest first: of
	// several that are lost at once, the one behind them is waited for.
	maxPredecessors = 3
)

// LoadQueue is the order in which the replicas of a service load new weights.
type LoadQueue struct {
	// own is the place of the own replica.
	own         int
	lanes, size int
	// Predecessors holds the replicas that the own one waits for, the nearest first.
	Predecessors []router.Descriptor
}

// NewLoadQueue derives the order from the list. The availability zones take turns, so
// that none loses many replicas at once. It returns false if the own replica is
// not in the list.
func NewLoadQueue(list []router.Descriptor, service, ownAddress string) (LoadQueue, bool) {
	var order []router.Descriptor
	for _, d := range list {
		if d.Service == service && !d.Draining {
			order = append(order, d)
		}
	}
	rank := make(map[string]int)
	slices.SortFunc(order, func(a, b router.Descriptor) int { return cmp.Compare(xxh3.HashString(a.ID), xxh3.HashString(b.ID)) })
	inZone := make(map[string]int)
	for _, d := range order {
		rank[d.ID] = inZone[d.Zone]
		inZone[d.Zone]++
	}
	slices.SortStableFunc(order, func(a, b router.Descriptor) int {
		return cmp.Or(cmp.Compare(rank[a.ID], rank[b.ID]), cmp.Compare(a.Zone, b.Zone))
	})
	q := LoadQueue{size: len(order), lanes: min(max(leastLanes, len(order)/lanesShare), max(1, len(order)))}
	q.own = slices.IndexFunc(order, func(d router.Descriptor) bool { return d.Address == ownAddress })
	if q.own < 0 {
		return LoadQueue{}, false
	}
	for i := 1; i <= maxPredecessors; i++ {
		before := ((q.own-i*q.lanes)%q.size + q.size) % q.size
		if before == q.own {
			break
		}
		q.Predecessors = append(q.Predecessors, order[before])
	}
	return q, true
}

// place returns how many replicas of the lane go before the own one. Each version
// begins half way round from the one before it, so that the last replicas of a
// rollout that was cut short are not the last again.
func (q LoadQueue) place(version int) int {
	start := version % 2 * (q.size / 2)
	return (q.own - start + q.size) % q.size / q.lanes
}

// VersionAge is how long the sidecar has known of newer weights.
type VersionAge struct {
	// SinceWanted is the age of the wanted version, SinceSuperseded that of the first version
	// that is newer than the replica's.
	SinceWanted, SinceSuperseded time.Duration
	// OldWeightsTimeout is how long requests may begin on older weights.
	OldWeightsTimeout time.Duration
}

// Decide decides whether the own replica may load. state returns the last
// reported state of another replica, nil if none is recent.
func (q LoadQueue) Decide(wanted WantedVersion, state func(router.Descriptor) *router.State, age VersionAge) Decision {
	place := q.place(wanted.Version)
	share := urgentFrom + (urgentTo-urgentFrom)*float64(q.own)/float64(max(1, q.size))
	switch {
	case age.SinceSuperseded > time.Duration(share*float64(age.OldWeightsTimeout)):
		return Urgent
	case age.SinceWanted > time.Duration(place)*placeLimit:
		return Load
	}
	for i := range min(place, len(q.Predecessors)) {
		before := state(q.Predecessors[i])
		if before == nil || before.Phase == router.Unreachable {
			continue
		}
		switch {
		case before.WeightsVersions[wanted.Model] >= wanted.Version && before.Phase == router.Serving:
			return Load
		case before.Phase == router.Loading && before.Running > 0 && before.PhaseAge > endingLimit:
			return Load
		case before.Phase == router.Loading:
			return Prepare
		}
		return Wait
	}
	if place <= len(q.Predecessors) {
		return Load
	}
	return Wait
}
