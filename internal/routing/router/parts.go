package router

import (
	"fmt"
	"slices"
	"time"
)

// sharedParts returns the parts that other requests have too.
func (p *Prompt) sharedParts() []PromptPart {
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

// parts is what is known of the shared parts of a prompt on one version of the
// weights.
type parts struct {
	weights int
	scope   string
	// keys, tokens, known and reading have an element for each shared part: its
	// name, the tokens up to its end, the replicas that have it and the one that
	// is reading it.
	keys    []uint64
	tokens  []int
	known   [][]*Replica
	reading []*Replica
	// homes holds the home of the prompt in each region: that of its last shared part, or
	// of the first if the parts are guessed.
	homes []home
}

// home is the replica of a region at which all daemons expect a part.
type home struct {
	region  string
	replica *Replica
	hash    uint64
}

// parts returns what is known of the prompt on a version of the weights.
func (s *survey) parts(weights int) *parts {
	for _, p := range s.scopes {
		if p.weights == weights {
			return p
		}
	}
	p := s.request.parts(weights)
	p.lookUp(s.router.holders)
	s.scopes = append(s.scopes, p)
	s.findHomes(p)
	if s.group != nil {
		s.addHolders(p)
	}
	return p
}

// parts returns the names of the shared parts on a version of the weights. They are kept
// for further decisions about the request.
func (r *Request) parts(weights int) *parts {
	for _, p := range r.scopes {
		if p.weights == weights {
			return p
		}
	}
	shared := r.Prompt.sharedParts()
	n := len(shared)
	p := &parts{weights: weights, scope: cacheScope(weights, r), keys: make([]uint64, n), tokens: make([]int, n), known: make([][]*Replica, n), reading: make([]*Replica, n)}
	sum := 0
	for i, part := range shared {
		sum += part.Tokens
		p.keys[i], p.tokens[i] = PartKey(p.scope, part.ID), sum
	}
	r.scopes = append(r.scopes, p)
	return p
}

// lookUp finds out who has the parts.
func (p *parts) lookUp(h *holders) {
	p.homes = p.homes[:0]
	for i, key := range p.keys {
		p.known[i], p.reading[i] = h.get(key)
	}
}

// findHomes chooses the homes by rendezvous hashing over the replicas that serve
// the version; in large groups on rings.
func (s *survey) findHomes(p *parts) {
	if len(p.keys) == 0 {
		return
	}
	key := p.keys[len(p.keys)-1]
	if s.request.Prompt.SharingUnknown {
		// The last parts may be the request's own, the first has the most company.
		key = p.keys[0]
	}
	if s.group != nil {
		s.findRingHomes(p, key)
		return
	}
	for i := range s.candidates {
		c := &s.candidates[i]
		if c.weights == p.weights {
			p.propose(home{region: c.descriptor.Region, replica: c.replica, hash: mix(c.replica.hash ^ key)})
		}
	}
}

func (p *parts) propose(h home) {
	for i := range p.homes {
		if p.homes[i].region == h.region {
			if h.hash > p.homes[i].hash {
				p.homes[i] = h
			}
			return
		}
	}
	p.homes = append(p.homes, h)
}

// isHome reports whether the replica is the home of its region.
func (p *parts) isHome(replica *Replica) bool {
	for _, h := range p.homes {
		if h.replica == replica {
			return true
		}
	}
	return false
}

// held returns how many tokens of the shared parts a replica has.
func (p *parts) held(replica *Replica) int {
	for i := len(p.known) - 1; i >= 0; i-- {
		if slices.Contains(p.known[i], replica) {
			return p.tokens[i]
		}
	}
	return 0
}

// read returns how many tokens of the shared parts a replica is reading.
func (p *parts) read(replica *Replica) int {
	for i := len(p.reading) - 1; i >= 0; i-- {
		if p.reading[i] == replica {
			return p.tokens[i]
		}
	}
	return 0
}

// anywhere returns how many tokens of the shared parts any replica has or is reading.
func (p *parts) anywhere() int {
	for i := len(p.keys) - 1; i >= 0; i-- {
		if len(p.known[i]) > 0 || p.reading[i] != nil {
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
func (s *survey) nearest(p *parts, to *Replica, held int) (*Replica, int) {
	for i := len(p.known) - 1; i >= 0 && p.tokens[i] > held; i-- {
		var best *Replica
		for _, holder := range p.known[i] {
			if holder == to || !s.router.mayFetch(holder, s.now) {
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
	state := holder.FreshState(now)
	return state == nil || state.Phase != Unreachable
}

// mix spreads the bits of x (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
