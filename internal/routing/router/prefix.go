package router

import (
	"fmt"
	"slices"
	"time"
)

// sharedParts returns the parts that other requests may have too, all but the last.
func (p *Prompt) sharedParts() []PromptPart {
	if p == nil || len(p.Parts) < 2 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// lastShared returns the ID of the last shared part, "" if there is none.
func (p *Prompt) lastShared() string {
	if shared := p.sharedParts(); len(shared) > 0 {
		return shared[len(shared)-1].ID
	}
	return ""
}

// sharedPrefix is the sequence of shared parts of a prompt on one weights version, with
// the replicas that have them.
type sharedPrefix struct {
	weightsVersion int
	cacheScope     string
	// keys, endTokens, holders and prefilling have an element for each shared part: its
	// key from PartKey, the number of prompt tokens up to its end, the replicas that
	// have it cached and the replica that is prefilling it, or nil.
	keys       []uint64
	endTokens  []int
	holders    [][]*Replica
	prefilling []*Replica
	// sources has the best source of each zone for each part whose holders were compared,
	// for which sourcesKnown is set.
	sources      [][]transferSource
	sourcesKnown []bool
	// homes holds the home of the prompt in each region. It is derived from the key of
	// the last shared part, or of the first if it is unknown which parts are shared.
	homes []home
}

// home is the replica of a region that all daemons prefer for a prompt, so that its
// parts are cached there. hash is its rendezvous hash; it is 0 if the home was found on
// a ring.
type home struct {
	region  string
	replica *Replica
	hash    uint64
}

// sharedPrefix returns the shared prefix on a weights version. On first use in the
// selection it looks up the prefix's holders and homes.
func (s *selection) sharedPrefix(weightsVersion int) *sharedPrefix {
	for _, p := range s.prefixes {
		if p.weightsVersion == weightsVersion {
			return p
		}
	}
	p := s.request.sharedPrefix(weightsVersion)
	p.lookUpHolders(s.router.holders)
	s.prefixes = append(s.prefixes, p)
	s.findHomes(p)
	if s.largeGroup != nil {
		s.addHolders(p)
	}
	return p
}

// sharedPrefix returns the shared prefix on a weights version. The keys are kept for
// later attempts of the request.
func (r *Request) sharedPrefix(weightsVersion int) *sharedPrefix {
	for _, p := range r.prefixes {
		if p.weightsVersion == weightsVersion {
			return p
		}
	}
	shared := r.Prompt.sharedParts()
	n := len(shared)
	p := &sharedPrefix{weightsVersion: weightsVersion, cacheScope: cacheScope(weightsVersion, r), keys: make([]uint64, n), endTokens: make([]int, n), holders: make([][]*Replica, n), prefilling: make([]*Replica, n), sources: make([][]transferSource, n), sourcesKnown: make([]bool, n)}
	sum := 0
	for i, part := range shared {
		sum += part.Tokens
		p.keys[i], p.endTokens[i] = PartKey(p.cacheScope, part.ID), sum
	}
	r.prefixes = append(r.prefixes, p)
	return p
}

// lookUpHolders sets which replicas have the parts or are prefilling them, and clears
// the sources and homes.
func (p *sharedPrefix) lookUpHolders(h *partHolders) {
	p.homes = p.homes[:0]
	clear(p.sourcesKnown)
	for i, key := range p.keys {
		p.holders[i], p.prefilling[i] = h.get(key)
	}
}

// findHomes chooses the homes by rendezvous hashing over the candidates that serve the
// version; in large groups on the rings of the regions.
func (s *selection) findHomes(p *sharedPrefix) {
	if len(p.keys) == 0 {
		return
	}
	key := p.keys[len(p.keys)-1]
	if s.request.Prompt.SharingUnknown {
		// The last parts may not be shared at all; the first is shared by the most
		// requests.
		key = p.keys[0]
	}
	if s.largeGroup != nil {
		s.findRingHomes(p, key)
		return
	}
	if s.loadAware {
		s.findSharedHomes(p)
		return
	}
	for i := range s.candidates {
		c := &s.candidates[i]
		if c.weightsVersion == p.weightsVersion {
			p.proposeHome(home{region: c.descriptor.Region, replica: c.replica, hash: mix(c.replica.hash ^ key)})
		}
	}
}

// proposeHome makes h the home of its region if its hash is the highest so far.
func (p *sharedPrefix) proposeHome(h home) {
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

// isHome reports whether the replica is the home in its region.
func (p *sharedPrefix) isHome(replica *Replica) bool {
	for _, h := range p.homes {
		if h.replica == replica {
			return true
		}
	}
	return false
}

// cachedTokens returns how many tokens of the prefix a replica has cached.
func (p *sharedPrefix) cachedTokens(replica *Replica) int {
	for i := len(p.holders) - 1; i >= 0; i-- {
		if slices.Contains(p.holders[i], replica) {
			return p.endTokens[i]
		}
	}
	return 0
}

// prefillingTokens returns how many tokens of the prefix a replica will have cached
// once its current prefills are done.
func (p *sharedPrefix) prefillingTokens(replica *Replica) int {
	for i := len(p.prefilling) - 1; i >= 0; i-- {
		if p.prefilling[i] == replica {
			return p.endTokens[i]
		}
	}
	return 0
}

// knownTokens returns how many tokens of the prefix any replica has cached or is
// prefilling.
func (p *sharedPrefix) knownTokens() int {
	for i := len(p.keys) - 1; i >= 0; i-- {
		if len(p.holders[i]) > 0 || p.prefilling[i] != nil {
			return p.endTokens[i]
		}
	}
	return 0
}

// cacheScope returns the scope of the request's cached parts. It separates weights
// versions and dedicated workspaces; if the version is unknown, nothing is shared. The scope of
// the other workspaces names the dedicated ones: parts that a workspace has cached before it
// became dedicated are not found afterwards.
func cacheScope(weightsVersion int, request *Request) string {
	switch {
	case weightsVersion == 0:
		return "request/" + request.ID
	case request.Workspace != nil && request.Workspace.Dedicated:
		return fmt.Sprintf("%s/%d/%s", request.Prompt.Model, weightsVersion, request.Workspace.Name)
	}
	common := fmt.Sprintf("%s/%d", request.Prompt.Model, weightsVersion)
	if request.Catalog.dedicated != "" {
		return common + "#" + request.Catalog.dedicated
	}
	return common
}

// canFetchFrom reports whether cached parts may be fetched from a replica. A fetch from
// an unreachable one delays the request by some hundred milliseconds.
func (r *Router) canFetchFrom(holder *Replica, now time.Time) bool {
	if !r.pool.takesRequests(holder, holder.descriptor.Load()) {
		return false
	}
	if backingOff, _ := holder.inBackoff(now); backingOff {
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
