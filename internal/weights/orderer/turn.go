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
)

// Queue is the order in which the replicas of a service load new weights.
type Queue struct {
	// own is the place of the own replica, before the one that it waits for.
	own, before int
	lanes, size int
	// Before is the replica that the own one waits for, nil if there is none.
	Before *router.Descriptor
}

// NewQueue derives the order from the list. The availability zones take turns, so
// that none loses many replicas at once. It returns false if the own replica is
// not in the list.
func NewQueue(list []router.Descriptor, service, ownAddress string) (Queue, bool) {
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
	q := Queue{size: len(order), lanes: min(max(leastLanes, len(order)/lanesShare), max(1, len(order)))}
	q.own = slices.IndexFunc(order, func(d router.Descriptor) bool { return d.Address == ownAddress })
	if q.own < 0 {
		return Queue{}, false
	}
	q.before = (q.own - q.lanes + q.size) % q.size
	if q.before != q.own {
		q.Before = &order[q.before]
	}
	return q, true
}

// place returns how many replicas of the lane go before the own one. Each version
// begins half way round from the one before it, so that the last replicas of a
// rollout that was cut short are not the last again.
func (q Queue) place(version int) int {
	start := version % 2 * (q.size / 2)
	return (q.own - start + q.size) % q.size / q.lanes
}

// Turn judges whether the own replica may load. before is the last word of the
// replica before it, nil if there is none that holds; age is how long the sidecar
// has known of the wanted version.
func (q Queue) Turn(wanted Wanted, before *router.State, age time.Duration) Turn {
	place := q.place(wanted.Version)
	if place == 0 || q.Before == nil {
		return Load
	}
	if before != nil {
		if before.Weights[wanted.Model] >= wanted.Version && before.Phase == router.Serving {
			return Load
		}
		if before.Phase == router.Loading {
			return Prepare
		}
	}
	if age > time.Duration(place)*placeLimit {
		return Load
	}
	return Wait
}
