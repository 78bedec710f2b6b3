package router

import (
	"fmt"
	"time"
)

// sharedParts returns the parts that other requests have too.
func (p *Prompt) sharedParts() []Part {
	if p == nil || len(p.Parts) < 2 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// lastShared returns the id of the last shared part, "" if there is none.
func (p *Prompt) lastShared() string {
	if shared := p.sharedParts(); len(shared) > 0 {
		return shared[len(shared)-1].ID
	}
	return ""
}

// parts is what is known of the shared parts of a prompt under one cache scope.
type parts struct {
	scope string
	// keys, tokens, known and reading have an element for each shared part: its
	// name, the tokens up to its end, the replicas that have it and the one that
	// is reading it.
	keys    []uint64
	tokens  []int
	known   [][]*Replica
	reading []*Replica
}

// lookUp returns what is known of a prompt's shared parts.
func (r *Router) lookUp(scope string, shared []Part) *parts {
	n := len(shared)
	p := &parts{scope: scope, keys: make([]uint64, n), tokens: make([]int, n), known: make([][]*Replica, n), reading: make([]*Replica, n)}
	sum := 0
	for i, part := range shared {
		sum += part.Tokens
		p.keys[i], p.tokens[i] = PartKey(scope, part.ID), sum
		p.known[i], p.reading[i] = r.holders.get(p.keys[i])
	}
	return p
}

// held returns how many tokens of the shared parts a replica has.
func (p *parts) held(replica *Replica) int {
	for i := len(p.known) - 1; i >= 0; i-- {
		if contains(p.known[i], replica) {
			return p.tokens[i]
		}
	}
	return 0
}

// cacheScope keeps cached parts of different weights and of dedicated workspaces
// apart. If the version is not known, nothing is shared.
func cacheScope(weights int, request *Request) string {
	switch {
	case weights == 0:
		return "request/" + request.ID
	case request.Workspace != nil && request.Workspace.Dedicated:
		return fmt.Sprintf("%s/%d/%s", request.Prompt.Model, weights, request.Workspace.Name)
	}
	return fmt.Sprintf("%s/%d", request.Prompt.Model, weights)
}

// nearest returns the replica with more of the shared parts than are held that has
// the fastest way to another, and how many tokens it has. It returns nil if none
// has more.
func (r *Router) nearest(p *parts, to *Replica, held int) (*Replica, int) {
	now := r.clock.Now()
	for i := len(p.known) - 1; i >= 0 && p.tokens[i] > held; i-- {
		var best *Replica
		for _, holder := range p.known[i] {
			if holder == to || !r.mayFetch(holder, now) {
				continue
			}
			if best == nil || fetchFactor(holder, to) < fetchFactor(best, to) {
				best = holder
			}
		}
		if best != nil {
			return best, p.tokens[i]
		}
	}
	return nil, held
}

// mayFetch reports whether a replica may be asked for cached parts. A dead one
// costs the asker some hundred milliseconds.
func (r *Router) mayFetch(holder *Replica, now time.Time) bool {
	if !r.pool.present(holder) {
		return false
	}
	if avoided, _ := holder.avoided(now); avoided {
		return false
	}
	state := holder.Fresh(now)
	return state == nil || state.Phase != Unreachable
}

// home returns the replica of a region at which all daemons expect the parts, by
// rendezvous hashing over the replicas that serve the version.
func (r *Router) home(service, model string, key uint64, weights int, region string) *Replica {
	var best *Replica
	var bestHash uint64
	now := r.clock.Now()
	for _, replica := range r.pool.Service(service) {
		d := replica.descriptor.Load()
		if d.Region != region || d.Draining || !r.pool.present(replica) || replica.Weights(model, now) != weights {
			continue
		}
		if hash := mix(replica.hash ^ key); best == nil || hash > bestHash {
			best, bestHash = replica, hash
		}
	}
	return best
}

// mix spreads the bits of x (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
