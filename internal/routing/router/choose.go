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
	// readAgainTime is what reading a shared token counts for that another replica
	// has read or is about to, besides its own time: it delays the requests behind.
	readAgainTime = 60 * time.Microsecond
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
	// parts is what is known of the shared parts under the scope.
	parts *parts
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

// choose returns the replica with the least expected time to the first event. The
// second result is false if no replica may take the request.
func (r *Router) choose(request *Request, service string, excluded []*Replica) (choice, bool) {
	list := r.pool.Service(service)
	best := choice{}
	found := false
	var known []*parts
	for _, allowed := range []Phase{Serving, Preparing} {
		for _, replica := range list {
			if contains(excluded, replica) {
				continue
			}
			c, ok := r.evaluate(request, service, replica, allowed, &known)
			if ok && (!found || c.cost < best.cost) {
				best, found = c, true
			}
		}
		if found {
			break
		}
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
func (r *Router) evaluate(request *Request, service string, replica *Replica, allowed Phase, known *[]*parts) (choice, bool) {
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
	c.cost += penalty + r.readTime(request, service, &c, known) + r.modelWait(request, service, replica, state)
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

// readTime is the expected time for reading the prompt or fetching parts of it. It
// fixes what the replica is expected to read and where it fetches from.
func (r *Router) readTime(request *Request, service string, c *choice, known *[]*parts) time.Duration {
	shared := request.Prompt.sharedParts()
	c.missing = request.Prompt.Tokens
	if len(shared) == 0 || c.weights == 0 {
		return r.tokensTime(c.missing)
	}
	for _, p := range *known {
		if p.scope == c.scope {
			c.parts = p
		}
	}
	if c.parts == nil {
		c.parts = r.lookUp(c.scope, shared)
		*known = append(*known, c.parts)
	}
	held := c.parts.held(c.replica)
	holder, fetched := r.nearest(c.parts, c.replica, held)
	last := len(shared) - 1
	total := c.parts.tokens[last]
	cost := time.Duration(0)
	switch {
	case held == total:
		c.reason = "cached"
	case fetched == total:
		c.reason = "fetch"
	case c.parts.reading[last] == c.replica:
		c.reason = "reading"
		fetched = total
	case c.parts.reading[last] == nil && r.home(service, request.Prompt.Model, c.parts.keys[last], c.weights, c.replica.descriptor.Load().Region) == c.replica:
		c.reason = "home"
	default:
		c.reason = "spill"
		cost = time.Duration(total-max(held, fetched)) * readAgainTime
	}
	if holder != nil {
		c.fetchFrom = holder
		cost += r.fetchTime(request, service, holder, c.replica, max(0, fetched-held))
	}
	c.missing = max(0, request.Prompt.Tokens-max(held, fetched))
	return cost + r.tokensTime(c.missing)
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
	if r.pool.Replica(holder.ID()) != holder {
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
