// Package scheduler spreads the loads of new weights over the time in which requests may begin on
// older ones, so that a service with little room misses few replicas at any time.
//
// The replicas of a service take turns round the load queue, in laps. Every sidecar derives its
// own turns from the queue and from when versions were named, without messages. A replica loads at
// most once a lap, the newest version as of then: the versions that were named and superseded in
// between are skipped, and no replica hurries to the next version while another one still waits
// for the one before.
package scheduler

import (
	"time"

	"github.com/cyclamenward/cyclamenward/internal/weights/orderer"
)

const (
	// lapShare is the share of the old-weights timeout in which every replica has a turn. The
	// rest is for the end of long requests, lost orders, and the load itself.
	lapShare = 0.7
	// postponementShare is the share of the old-weights timeout by which the first replica of a
	// lap may put its turn off while requests wait for it. It falls to 0 for the last one, so that
	// the turns only move closer together.
	postponementShare = 0.1
)

// Naming is a version of a model's weights and how long ago it was first seen.
type Naming struct {
	Version int
	Age     time.Duration
}

// Rollout is what a sidecar knows about the weights of a model when it decides.
type Rollout struct {
	// Index is the replica's place in the load queue, Size the length of the queue.
	Index, Size int
	// Namings holds the latest versions in ascending order; their ages descend. Earlier ones may be
	// forgotten.
	Namings []Naming
	// SinceSuperseded is how long ago the first version was seen that is newer than Current.
	SinceSuperseded time.Duration
	// Current is the version of the replica's weights.
	Current int
	// OldWeightsTimeout is how long requests may still begin on superseded weights.
	OldWeightsTimeout time.Duration
}

// Decide returns whether the replica may load the newest version now: Load from its turn on, and
// Urgent from when its turn may not be put off further.
func (r Rollout) Decide() orderer.Decision {
	superseded := r.supersededIndex()
	if superseded < 0 || r.Size <= 0 {
		return orderer.Wait
	}
	age, lap := r.Namings[superseded].Age, r.lap()
	turn := r.turn(superseded)
	remaining := 1 - float64(turn)/float64(lap)
	postponement := time.Duration(postponementShare * remaining * float64(r.OldWeightsTimeout))
	switch {
	case age >= turn+postponement || r.SinceSuperseded >= lap:
		return orderer.Urgent
	case age >= turn:
		return orderer.Load
	}
	return orderer.Wait
}

// Newest returns the newest version that was named, 0 if none was.
func (r Rollout) Newest() int {
	if len(r.Namings) == 0 {
		return 0
	}
	return r.Namings[len(r.Namings)-1].Version
}

// UntilTurn returns the time until the replica's turn, 0 if it has come or the replica needs none.
func (r Rollout) UntilTurn() time.Duration {
	superseded := r.supersededIndex()
	if superseded < 0 || r.Size <= 0 {
		return 0
	}
	return max(0, r.turn(superseded)-r.Namings[superseded].Age)
}

// supersededIndex returns the index of the first naming that is newer than the replica's weights,
// -1 if there is none.
func (r Rollout) supersededIndex() int {
	for i, naming := range r.Namings {
		if naming.Version > r.Current {
			return i
		}
	}
	return -1
}

func (r Rollout) lap() time.Duration {
	return max(1, time.Duration(lapShare*float64(r.OldWeightsTimeout)))
}

// turn returns how long after a naming the replica has its next turn: less than a lap. Laps go on
// without a break while versions follow each other within a lap, so that a replica whose turn was
// just before the naming waits for almost a lap.
func (r Rollout) turn(naming int) time.Duration {
	lap, first := r.lap(), naming
	for first > 0 && r.Namings[first-1].Age-r.Namings[first].Age <= lap {
		first--
	}
	// The order begins in the middle of the queue for odd versions: the replicas that were the last
	// of one succession of versions are not the last of the next.
	start := r.Namings[first].Version % 2 * (r.Size / 2)
	offset := time.Duration(float64(lap) * float64((r.Index-start+r.Size)%r.Size) / float64(r.Size))
	elapsed := (r.Namings[first].Age - r.Namings[naming].Age) % lap
	return (offset - elapsed + lap) % lap
}
