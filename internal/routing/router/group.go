package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

const (
	// surveyAll is the largest group that is looked at whole for each decision; one more
	// replica costs some 0.2 microseconds.
	surveyAll = 64
	// nearSamples and anySamples are how many replicas of a larger group are drawn at
	// random from the daemon's own region and from all.
	nearSamples, anySamples = 16, 8
	// holderSamples is how many holders of a prompt's deepest known part are looked at.
	holderSamples = 12
	// homeSteps is how many replicas of a ring are tried for a home, since some may be
	// draining or on other weights.
	homeSteps = 4
)

// group is the replicas of one service. It is immutable.
type group struct {
	list []*Replica
	// all and regions hold the replicas by their hashes, of large groups only.
	all     ring
	regions map[string]ring
}

// ring is a list of replicas by their hashes.
type ring []*Replica

// sort makes the rings of a large group.
func (g *group) sort() {
	if len(g.list) <= surveyAll {
		return
	}
	g.all = slices.Clone(g.list)
	slices.SortFunc(g.all, func(a, b *Replica) int { return cmp.Compare(a.hash, b.hash) })
	g.regions = make(map[string]ring)
	for _, replica := range g.all {
		region := replica.descriptor.Load().Region
		g.regions[region] = append(g.regions[region], replica)
	}
}

// from returns the place of the first replica whose hash is not below the key's.
func (r ring) from(key uint64) int {
	i, _ := slices.BinarySearchFunc(r, mix(key), func(replica *Replica, hash uint64) int { return cmp.Compare(replica.hash, hash) })
	return i
}

// lookAtAll looks at all replicas of a small group.
func (s *survey) lookAtAll(g *group) {
	for _, replica := range g.list {
		s.look(replica)
	}
	if s.request.Affinity == 0 {
		return
	}
	most := uint64(0)
	for i := range s.candidates {
		replica := s.candidates[i].replica
		if hash := mix(replica.hash ^ s.request.Affinity); s.candidates[i].usable && (s.home == nil || hash > most) {
			s.home, most = replica, hash
		}
	}
}

// sample looks at some replicas of a large group: those that are likely to have the
// prompt, the home of the affinity, the preferred one, and some at random. The cost of a
// decision does not grow with the group.
func (s *survey) sample(g *group) {
	s.group = g
	if s.request.PreferredReplicaID != "" {
		s.add(s.router.pool.ReplicaByID(s.request.PreferredReplicaID))
	}
	if near := g.regions[s.router.options.Region]; len(near) > 0 {
		for range nearSamples {
			s.add(near[rand.IntN(len(near))])
		}
	}
	for range anySamples {
		s.add(g.list[rand.IntN(len(g.list))])
	}
	if s.request.Affinity != 0 {
		s.addHome(g)
	}
	if s.request.Prompt == nil {
		return
	}
	for i, drawn := 0, len(s.candidates); i < drawn; i++ {
		if weights := s.candidates[i].weights; weights != 0 {
			s.parts(weights)
		}
	}
}

// addHome looks at the replicas behind the affinity's place on the ring; the first that
// is usable is the home.
func (s *survey) addHome(g *group) {
	start := g.all.from(s.request.Affinity)
	for step := range homeSteps {
		if c := s.add(g.all[(start+step)%len(g.all)]); c != nil && c.usable {
			s.home = c.replica
			return
		}
	}
}

// add looks at a replica once. It returns nil for one that has left.
func (s *survey) add(replica *Replica) *candidate {
	if replica == nil {
		return nil
	}
	for i := range s.candidates {
		if s.candidates[i].replica == replica {
			return &s.candidates[i]
		}
	}
	if !s.look(replica) {
		return nil
	}
	return &s.candidates[len(s.candidates)-1]
}

// addHolders looks at replicas that have or are reading the deepest known part.
func (s *survey) addHolders(p *parts) {
	for i := len(p.keys) - 1; i >= 0; i-- {
		s.add(p.reading[i])
		known := p.known[i]
		if len(known) == 0 {
			continue
		}
		start := rand.IntN(len(known))
		for n := range min(holderSamples, len(known)) {
			s.add(known[(start+n)%len(known)])
		}
		return
	}
}

// findRingHomes chooses a home on the ring of each region.
func (s *survey) findRingHomes(p *parts, key uint64) {
	for region, members := range s.group.regions {
		start := members.from(key)
		for step := range min(homeSteps, len(members)) {
			c := s.add(members[(start+step)%len(members)])
			if c != nil && c.usable && c.weights == p.weights {
				p.homes = append(p.homes, home{region: region, replica: c.replica})
				break
			}
		}
	}
}
