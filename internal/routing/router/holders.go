package router

import (
	"sync"

	"github.com/zeebo/xxh3"
)

const (
	// holderEntries bounds one generation of the memory; an entry takes some 60
	// bytes.
	holderEntries = 20_000
	// holdersPerPart is how many replicas are remembered for one part.
	holdersPerPart = 4
)

// holders remembers which replicas have read which prompt parts. Entries that are
// not used for two generations are forgotten. It is safe for concurrent use.
type holders struct {
	// mu guards the generations.
	mu       sync.Mutex
	current  map[uint64]*[holdersPerPart]*Replica
	previous map[uint64]*[holdersPerPart]*Replica
}

func newHolders() *holders {
	return &holders{current: make(map[uint64]*[holdersPerPart]*Replica)}
}

// partKey names a part with all parts before it under one cache scope.
func partKey(scope string, parts []Part) uint64 {
	key := xxh3.HashString(scope)
	for _, part := range parts {
		key = xxh3.HashStringSeed(part.ID, key)
	}
	return key
}

// get returns the replicas that have the part.
func (h *holders) get(key uint64) [holdersPerPart]*Replica {
	h.mu.Lock()
	defer h.mu.Unlock()
	if list := h.current[key]; list != nil {
		return *list
	}
	if list := h.previous[key]; list != nil {
		h.store(key, list)
		return *list
	}
	return [holdersPerPart]*Replica{}
}

// add remembers a replica. The one that was added first is forgotten for it.
func (h *holders) add(key uint64, replica *Replica) {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.current[key]
	if list == nil {
		if list = h.previous[key]; list == nil {
			list = new([holdersPerPart]*Replica)
		}
		h.store(key, list)
	}
	for i, known := range list {
		if known == replica {
			return
		}
		if known == nil {
			list[i] = replica
			return
		}
	}
	copy(list[:], list[1:])
	list[holdersPerPart-1] = replica
}

// remove forgets that a replica has the part.
func (h *holders) remove(key uint64, replica *Replica) {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.current[key]
	if list == nil {
		return
	}
	kept := 0
	for _, known := range list {
		if known != nil && known != replica {
			list[kept] = known
			kept++
		}
	}
	clear(list[kept:])
}

// store begins a new generation if the current one is full. The caller holds mu.
func (h *holders) store(key uint64, list *[holdersPerPart]*Replica) {
	if len(h.current) >= holderEntries {
		h.previous, h.current = h.current, make(map[uint64]*[holdersPerPart]*Replica)
	}
	h.current[key] = list
}
