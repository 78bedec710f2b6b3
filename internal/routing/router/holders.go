package router

import (
	"slices"
	"sync"

	"github.com/zeebo/xxh3"
)

const (
	// holderEntries bounds one generation of the memory; an entry takes some 100
	// bytes.
	holderEntries = 20_000
	// holdersPerPart is how many replicas are remembered for one part.
	holdersPerPart = 64
)

// PartKey names a prompt part under a cache scope.
func PartKey(scope, id string) uint64 {
	return xxh3.HashStringSeed(id, xxh3.HashString(scope))
}

// holders remembers which replicas have read which prompt parts, and which are
// about to. Entries that are not used for two generations are forgotten. It is
// safe for concurrent use.
type holders struct {
	// mu guards the fields below. The lists are replaced, never changed.
	mu    sync.Mutex
	parts *recent[[]*Replica]
	// reading holds the replica that got the first request with a part, until it
	// has read it.
	reading map[uint64]*Replica
}

func newHolders() *holders {
	return &holders{parts: newRecent[[]*Replica](holderEntries), reading: make(map[uint64]*Replica)}
}

// get returns the replicas that have the part, and the one that is reading it or
// nil.
func (h *holders) get(key uint64) (list []*Replica, reading *Replica) {
	h.mu.Lock()
	defer h.mu.Unlock()
	list, _ = h.parts.get(key)
	return list, h.reading[key]
}

// add remembers that a replica has the part.
func (h *holders) add(key uint64, replica *Replica) {
	h.mu.Lock()
	defer h.mu.Unlock()
	list, _ := h.parts.get(key)
	if slices.Contains(list, replica) {
		return
	}
	if len(list) >= holdersPerPart {
		list = list[1:]
	}
	h.parts.put(key, append(slices.Clip(list), replica))
}

// remove forgets that a replica has the part.
func (h *holders) remove(key uint64, replica *Replica) {
	h.mu.Lock()
	defer h.mu.Unlock()
	list, _ := h.parts.get(key)
	if i := slices.Index(list, replica); i >= 0 {
		h.parts.put(key, append(slices.Clip(list[:i]), list[i+1:]...))
	}
}

// begin notes that a replica got a request with a part that nobody has.
func (h *holders) begin(key uint64, replica *Replica) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reading[key] == nil {
		h.reading[key] = replica
	}
}

// end takes begin back.
func (h *holders) end(key uint64, replica *Replica) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reading[key] == replica {
		delete(h.reading, key)
	}
}
