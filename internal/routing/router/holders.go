package router

import (
	"slices"
	"sync"

	"github.com/zeebo/xxh3"
)

const (
	// holderGenerationSize is the number of parts in one generation of the map of
	// holders; an entry takes some 100 bytes.
	holderGenerationSize = 20_000
	// maxHoldersPerPart is how many replicas are remembered as holders of one part.
	maxHoldersPerPart = 64
)

// PartKey returns the key of a prompt part in a cache scope, a hash of both.
func PartKey(scope, partID string) uint64 {
	return xxh3.HashStringSeed(partID, xxh3.HashString(scope))
}

// partHolders records which replicas have which prompt parts cached, and which are
// about to. Parts that are not used for two generations are forgotten. It is safe for
// concurrent use.
type partHolders struct {
	// mu guards the fields below. The slices in byPart are replaced, never changed.
	mu     sync.Mutex
	byPart *recentMap[[]*Replica]
	// prefilling holds, by part, the replica that got the first request with the part,
	// until it has prefilled it.
	prefilling map[uint64]*Replica
}

func newPartHolders() *partHolders {
	return &partHolders{byPart: newRecentMap[[]*Replica](holderGenerationSize), prefilling: make(map[uint64]*Replica)}
}

// get returns the replicas that have the part cached, and the one that is prefilling it
// or nil.
func (h *partHolders) get(key uint64) (replicas []*Replica, prefilling *Replica) {
	h.mu.Lock()
	defer h.mu.Unlock()
	replicas, _ = h.byPart.get(key)
	return replicas, h.prefilling[key]
}

// add records that a replica has the part cached. If there are too many holders, it
// replaces the oldest.
func (h *partHolders) add(key uint64, replica *Replica) {
	h.mu.Lock()
	defer h.mu.Unlock()
	replicas, _ := h.byPart.get(key)
	if slices.Contains(replicas, replica) {
		return
	}
	if len(replicas) >= maxHoldersPerPart {
		replicas = replicas[1:]
	}
	h.byPart.put(key, append(slices.Clip(replicas), replica))
}

// remove records that a replica no longer has the part.
func (h *partHolders) remove(key uint64, replica *Replica) {
	h.mu.Lock()
	defer h.mu.Unlock()
	replicas, _ := h.byPart.get(key)
	if rest, held := without(replicas, replica); held {
		h.byPart.put(key, rest)
	}
}

// without returns a copy of replicas without one of them, and whether it was among them.
func without(replicas []*Replica, replica *Replica) ([]*Replica, bool) {
	i := slices.Index(replicas, replica)
	if i < 0 {
		return replicas, false
	}
	return append(slices.Clip(replicas[:i]), replicas[i+1:]...), true
}

// removeAll records that a replica has no parts cached.
func (h *partHolders) removeAll(replica *Replica) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, generation := range []map[uint64][]*Replica{h.byPart.current, h.byPart.previous} {
		for key, replicas := range generation {
			if rest, held := without(replicas, replica); held {
				generation[key] = rest
			}
		}
	}
}

// beginPrefill records that a replica got a request with the part, unless another one
// is already prefilling it.
func (h *partHolders) beginPrefill(key uint64, replica *Replica) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.prefilling[key] == nil {
		h.prefilling[key] = replica
	}
}

// endPrefill ends what beginPrefill recorded for the replica.
func (h *partHolders) endPrefill(key uint64, replica *Replica) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.prefilling[key] == replica {
		delete(h.prefilling, key)
	}
}
