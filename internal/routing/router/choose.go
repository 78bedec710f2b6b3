package router

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// zoneCost is a round trip to another availability zone of the region, with
	// the price of its bytes.
	zoneCost = 4 * time.Millisecond
	// regionCost is a round trip to another region, with the price of its bytes.
	regionCost = 60 * time.Millisecond
	// fetchSetup is what a transfer of cached parts costs besides its bytes.
	fetchSetup = 8 * time.Millisecond
	// zoneFetch and regionFetch are how many times as long a transfer takes
	// between availability zones and between regions.
	zoneFetch, regionFetch = 2, 10
	// unknownShare is the share of a home's parts that is expected to be read
	// there anew when nothing is known of it.
	unknownShare = 0.3
	// failurePenalty is the cost of a replica that fails every request.
	failurePenalty = 600 * time.Millisecond
	// coldPenalty is the cost of a replica that has just started.
	coldPenalty = 60 * time.Millisecond
	// fullPenalty is the cost of a replica without room for the request, which
	// would preempt others.
	fullPenalty = 400 * time.Millisecond
	// tieSpread keeps daemons that know the same from choosing the same.
	tieSpread = 3 * time.Millisecond
	// oldWeightsGrace is how long after a newer version is named answers on older
	// weights are as good.
	oldWeightsGrace = 1300 * time.Millisecond
	// oldWeightsPenalty is the cost of weights that are older for longer.
	oldWeightsPenalty = 150 * time.Millisecond
)

// Weights is the version of a model that the operators want.
type Weights struct {
	Version int
	// Since is when this daemon learnt of it.
	Since time.Time
}

// choice is a decision about one attempt.
type choice struct {
	replica *Replica
	// weights is the version that the attempt asks for, 0 for any.
	weights int
	scope   string
	// shared names the shared parts of the prompt under the scope, 0 if there
	// are none.
	shared uint64
	// missing is how many tokens the replica is expected to read.
	missing int
	// fetchFrom has the parts that the replica lacks, or is nil.
	fetchFrom *Replica
	cost      time.Duration
	reason    string
}

// sharedParts returns the parts that other requests have too.
func (p *Prompt) sharedParts() []Part {
	if p == nil || len(p.Parts) < 2 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

func tokensOf(parts []Part) int {
	sum := 0
	for _, part := range parts {
		sum += part.Tokens
	}
	return sum
}

// choose returns the replica with the least expected time to the first event. The
// second result is false if no replica may take the request.
func (r *Router) choose(request *Request, service string, excluded []*Replica) (choice, bool) {
	list := r.pool.Service(service)
	best := choice{}
	found := false
	for _, allowed := range []Phase{Serving, Preparing} {
		for _, replica := range list {
			if contains(excluded, replica) {
				continue
			}
			c, ok := r.evaluate(request, service, replica, allowed)
			if ok && (!found || c.cost < best.cost) {
				best, found = c, true
			}
		}
		if found {
			break
		}
	}
	if found && best.shared != 0 {
		best.fetchFrom = r.fetchSource(request, service, &best)
	}
	return best, found
}

func contains(list []*Replica, replica *Replica) bool {
	for _, other := range list {
		if other == replica {
			return true
		}
	}
	return false
}

// evaluate returns the cost of one replica, or false if it may not be used.
func (r *Router) evaluate(request *Request, service string, replica *Replica, allowed Phase) (choice, bool) {
	now := r.clock.Now()
	descriptor := replica.descriptor.Load()
	avoided, failureRate := replica.avoided(now)
	if descriptor.Draining || avoided {
		return choice{}, false
	}
	state := replica.Fresh(now)
	if state != nil && state.Phase > allowed {
		return choice{}, false
	}
	c := choice{replica: replica}
	c.cost = r.distance(descriptor) + time.Duration(failureRate*float64(failurePenalty)) + time.Duration(rand.Int64N(int64(tieSpread)))
	if descriptor.ColdFor > 0 {
		c.cost += coldPenalty
	}
	if request.Prompt == nil {
		c.cost += r.plainWait(replica, descriptor, state)
		return c, true
	}
	penalty, ok := r.weightsPenalty(request, replica, &c, now)
	if !ok {
		return choice{}, false
	}
	c.cost += penalty + r.readTime(request, service, replica, &c) + r.modelWait(request, service, replica, state)
	return c, true
}

// Fresh returns the replica's last word if it is recent, else nil.
func (r *Replica) Fresh(now time.Time) *State {
	if state := r.state.Load(); state != nil && now.Sub(state.At) < stateLife {
		return state
	}
	return nil
}

func (r *Router) distance(d *Descriptor) time.Duration {
	switch {
	case d.Zone == r.options.Zone:
		return 0
	case d.Region == r.options.Region:
		return zoneCost
	}
	return regionCost
}

// plainWait is the expected wait for a slot of a plain server.
func (r *Router) plainWait(replica *Replica, d *Descriptor, state *State) time.Duration {
	busy := replica.running.Load()
	if state != nil {
		busy = max(busy, int64(state.Running+state.Queued))
	}
	slots := int64(max(1, d.Slots))
	wait := time.Duration(busy) * r.options.PlainWork / time.Duration(4*slots)
	if busy >= slots {
		wait += time.Duration(busy-slots+1) * r.options.PlainWork / time.Duration(slots)
	}
	return wait
}

// weightsPenalty fixes the version that the attempt asks for. It returns false if
// the replica's weights are too old to begin a request on.
func (r *Router) weightsPenalty(request *Request, replica *Replica, c *choice, now time.Time) (time.Duration, bool) {
	model := request.Prompt.Model
	c.weights = replica.Weights(model)
	c.scope = cacheScope(c.weights, request)
	wanted := r.options.Wanted(model)
	if c.weights == 0 || c.weights >= wanted.Version {
		return 0, true
	}
	age := now.Sub(wanted.Since)
	switch {
	case age >= r.options.OldWeightsLimit:
		return 0, false
	case age >= oldWeightsGrace:
		return oldWeightsPenalty, true
	}
	return 0, true
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

// readTime is the expected time for reading the prompt or fetching it.
func (r *Router) readTime(request *Request, service string, replica *Replica, c *choice) time.Duration {
	shared := request.Prompt.sharedParts()
	sharedTokens := tokensOf(shared)
	c.missing = request.Prompt.Tokens
	if sharedTokens == 0 || c.weights == 0 {
		return r.tokensTime(c.missing)
	}
	c.shared = partKey(c.scope, shared)
	known := r.holders.get(c.shared)
	unique := max(0, request.Prompt.Tokens-sharedTokens)
	if contains(known[:], replica) {
		c.missing, c.reason = unique, "cached"
		return r.tokensTime(unique)
	}
	if holder := r.nearest(known[:], replica); holder != nil {
		c.missing, c.reason = unique, "fetch"
		return r.tokensTime(unique) + r.fetchTime(request, service, holder, replica, sharedTokens)
	}
	c.missing = unique + int(unknownShare*float64(sharedTokens))
	if r.home(service, request.Prompt.Model, c.shared, c.weights, replica.descriptor.Load().Region) == replica {
		c.reason = "home"
		return r.tokensTime(c.missing)
	}
	c.reason = "spill"
	return r.tokensTime(c.missing) + 2*fetchSetup
}

func (r *Router) tokensTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / r.options.ReadTokensPerSecond * float64(time.Second))
}

// fetchTime is the time of a transfer of cached tokens.
func (r *Router) fetchTime(request *Request, service string, from, to *Replica, tokens int) time.Duration {
	engine := r.engine(request, service)
	if engine == nil || engine.LinkBitsPerSecond <= 0 {
		return fetchSetup
	}
	seconds := float64(tokens) * engine.TokenBytes * 8 / engine.LinkBitsPerSecond
	return fetchSetup + time.Duration(seconds*float64(fetchFactor(from, to))*float64(time.Second))
}

func fetchFactor(a, b *Replica) int {
	from, to := a.descriptor.Load(), b.descriptor.Load()
	switch {
	case from.Zone == to.Zone:
		return 1
	case from.Region == to.Region:
		return zoneFetch
	}
	return regionFetch
}

// nearest returns the holder with the fastest way to a replica, or nil.
func (r *Router) nearest(known []*Replica, to *Replica) *Replica {
	var best *Replica
	now := r.clock.Now()
	for _, holder := range known {
		if holder == nil || holder == to || !r.mayFetch(holder, now) {
			continue
		}
		if best == nil || fetchFactor(holder, to) < fetchFactor(best, to) {
			best = holder
		}
	}
	return best
}

// mayFetch reports whether a replica may be asked for cached parts. A dead one
// costs the asker some hundred milliseconds.
func (r *Router) mayFetch(holder *Replica, now time.Time) bool {
	if r.pool.Replica(holder.ID()) != holder {
		return false
	}
	if avoided, _ := holder.avoided(now); avoided {
		return false
	}
	state := holder.Fresh(now)
	return state == nil || state.Phase != Unreachable
}

// fetchSource returns the replica that most likely has the shared parts that the
// chosen one lacks, or nil.
func (r *Router) fetchSource(request *Request, service string, c *choice) *Replica {
	if c.reason == "cached" {
		return nil
	}
	known := r.holders.get(c.shared)
	if holder := r.nearest(known[:], c.replica); holder != nil {
		return holder
	}
	region := c.replica.descriptor.Load().Region
	now := r.clock.Now()
	if home := r.home(service, request.Prompt.Model, c.shared, c.weights, region); home != nil && home != c.replica && r.mayFetch(home, now) {
		return home
	}
	for _, other := range r.options.Regions {
		if other == region {
			continue
		}
		if home := r.home(service, request.Prompt.Model, c.shared, c.weights, other); home != nil && r.mayFetch(home, now) {
			return home
		}
	}
	return nil
}

// home returns the replica of a region at which all daemons expect the parts, by
// rendezvous hashing over the replicas that serve the version.
func (r *Router) home(service, model string, key uint64, weights int, region string) *Replica {
	var best *Replica
	var bestHash uint64
	for _, replica := range r.pool.Service(service) {
		d := replica.descriptor.Load()
		if d.Region != region || d.Draining || replica.Weights(model) != weights {
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

// modelWait is the expected time before the replica begins to read the prompt.
func (r *Router) modelWait(request *Request, service string, replica *Replica, state *State) time.Duration {
	waiting := float64(replica.waitingTokens.Load())
	running := replica.running.Load()
	if state != nil {
		others := max(0, int64(state.Queued)-replica.unstarted.Load())
		waiting += float64(others) * r.meanMissing()
		running = max(running, int64(state.Running))
	}
	wait := r.tokensTime(int(waiting))
	wait += time.Duration(running) * r.options.RunningCost
	if engine := r.engine(request, service); engine != nil && state != nil {
		if state.MemoryUsed+request.Prompt.Tokens+request.Prompt.Output > engine.MemoryTokens || running >= int64(engine.Slots) {
			wait += fullPenalty
		}
	}
	return wait
}

func (r *Router) engine(request *Request, service string) *Engine {
	if s := request.Catalog.Service(service); s != nil {
		return s.Engine
	}
	return nil
}
