package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

const (
	// fullScanLimit is the size of the largest group in which every replica is a
	// candidate for each choice; one more replica costs some 0.2 microseconds.
	fullScanLimit = 64
	// regionSamples and globalSamples are how many replicas of a larger group are drawn
	// at random from the daemon's own region and from all regions.
	regionSamples, globalSamples = 16, 8
	// holderSamples is how many holders of a prompt's longest known prefix become
	// candidates.
	holderSamples = 12
	// maxHomeSteps is how many replicas of a ring are tried as home, since some may be
	// draining or on another weights version.
	maxHomeSteps = 4
)

// group holds the replicas of one service. It is immutable.
type group struct {
	replicas []*Replica
	// globalRing holds all replicas and regionRings those of each region. They are set
	// for large groups only.
	globalRing  ring
	regionRings map[string]ring
}

// ring is a consistent-hashing ring: replicas sorted by their hashes.
type ring []*Replica

// buildRings sets the rings of a large group.
func (g *group) buildRings() {
	if len(g.replicas) <= fullScanLimit {
		return
	}
	g.globalRing = slices.Clone(g.replicas)
	slices.SortFunc(g.globalRing, func(a, b *Replica) int { return cmp.Compare(a.hash, b.hash) })
	g.regionRings = make(map[string]ring)
	for _, replica := range g.globalRing {
		region := replica.descriptor.Load().Region
		g.regionRings[region] = append(g.regionRings[region], replica)
	}
}

// startIndex returns the index of the first replica whose hash is not below that of the
// key. It is the length of the ring if there is none, which callers take modulo the
// length.
func (r ring) startIndex(key uint64) int {
	i, _ := slices.BinarySearchFunc(r, mix(key), func(replica *Replica, hash uint64) int { return cmp.Compare(replica.hash, hash) })
	return i
}

// scanAll makes all replicas of a small group candidates and finds the affinity home by
// rendezvous hashing.
func (s *selection) scanAll(g *group) {
	for _, replica := range g.replicas {
		s.addCandidate(replica)
	}
	if s.request.Affinity == 0 {
		return
	}
	maxHash := uint64(0)
	for i := range s.candidates {
		replica := s.candidates[i].replica
		if hash := mix(replica.hash ^ s.request.Affinity); s.candidates[i].eligible && (s.affinityHome == nil || hash > maxHash) {
			s.affinityHome, maxHash = replica, hash
		}
	}
}

// sample makes some replicas of a large group candidates: those that are likely to have
// the prompt cached, the affinity home, the preferred one and some at random. The cost
// of a choice does not grow with the group.
func (s *selection) sample(g *group) {
	s.largeGroup = g
	if s.request.PreferredReplicaID != "" {
		s.candidateFor(s.router.pool.ReplicaByID(s.request.PreferredReplicaID))
	}
	if sameRegion := g.regionRings[s.router.options.Region]; len(sameRegion) > 0 {
		for range regionSamples {
			s.candidateFor(sameRegion[rand.IntN(len(sameRegion))])
		}
	}
	for range globalSamples {
		s.candidateFor(g.replicas[rand.IntN(len(g.replicas))])
	}
	if s.request.Affinity != 0 {
		s.addAffinityHome(g)
	}
	if s.request.Prompt == nil {
		return
	}
	// Looking up the shared prefix adds its holders and homes to the candidates.
	for i, sampled := 0, len(s.candidates); i < sampled; i++ {
		if version := s.candidates[i].weightsVersion; version != 0 {
			s.sharedPrefix(version)
		}
	}
}

// addAffinityHome tries the replicas that follow the affinity's place on the ring; the
// first eligible one is the affinity home.
func (s *selection) addAffinityHome(g *group) {
	start := g.globalRing.startIndex(s.request.Affinity)
	for step := range maxHomeSteps {
		if c := s.candidateFor(g.globalRing[(start+step)%len(g.globalRing)]); c != nil && c.eligible {
			s.affinityHome = c.replica
			return
		}
	}
}

// candidateFor returns the candidate of a replica and adds it if needed. It returns nil
// for a nil replica or one that is draining or has left.
func (s *selection) candidateFor(replica *Replica) *candidate {
	if replica == nil {
		return nil
	}
	for i := range s.candidates {
		if s.candidates[i].replica == replica {
			return &s.candidates[i]
		}
	}
	if !s.addCandidate(replica) {
		return nil
	}
	return &s.candidates[len(s.candidates)-1]
}

// addHolders makes some replicas candidates that have the longest cached part of the
// prefix, and those that are prefilling as much of it or more.
func (s *selection) addHolders(p *sharedPrefix) {
	for i := len(p.keys) - 1; i >= 0; i-- {
		s.candidateFor(p.prefilling[i])
		holders := p.holders[i]
		if len(holders) == 0 {
			continue
		}
		start := rand.IntN(len(holders))
		for n := range min(holderSamples, len(holders)) {
			s.candidateFor(holders[(start+n)%len(holders)])
		}
		return
	}
}

// findRingHomes sets the home in each region, the first eligible replica on its ring
// that serves the version.
func (s *selection) findRingHomes(p *sharedPrefix, key uint64) {
	for region, members := range s.largeGroup.regionRings {
		start := members.startIndex(key)
		for step := range min(maxHomeSteps, len(members)) {
			c := s.candidateFor(members[(start+step)%len(members)])
			if c != nil && c.eligible && c.weightsVersion == p.weightsVersion && !s.losesCache(c) {
				p.homes = append(p.homes, home{region: region, replica: c.replica})
				break
			}
		}
	}
}
