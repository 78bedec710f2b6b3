package router

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/zeebo/xxh3"
)

const (
	// stateLife is how long a reported state is valid: three of the longest periods.
	stateLife = time.Second
	// avoidLeast and avoidMost bound how long a replica is left out after a
	// failure. The bound of the first lets a restarted replica serve soon.
	avoidLeast = 300 * time.Millisecond
	avoidMost  = 3 * time.Second
	// failureWeight is the weight of one answer in the failure rate.
	failureWeight = 0.1
)

// PriorityLevels is the number of ranks that requests may have; 0 is first.
const PriorityLevels = 10

// Descriptor is what the list of replicas says of one.
type Descriptor struct {
	ID      string
	Service string
	// Address is the replica's IP address and port.
	Address string
	Zone    string
	Region  string
	Slots   int
	// Draining replicas get no new request.
	Draining bool
	// StartUnixMilli distinguishes incarnations with the same id, in Unix milliseconds; 0 if unknown.
	StartUnixMilli int64
	// WarmUpRemaining is how much longer the replica is slow after its start.
	WarmUpRemaining time.Duration
	// WeightsVersions is the version of each model.
	WeightsVersions map[string]int
}

// LatestByAddress returns the list without the entries whose address a replica has that
// started later. Entries of ended replicas lapse only after a while.
func LatestByAddress(list []Descriptor) []Descriptor {
	last := make(map[string]int64, len(list))
	for _, d := range list {
		last[d.Address] = max(last[d.Address], d.StartUnixMilli)
	}
	var current []Descriptor
	for _, d := range list {
		if d.StartUnixMilli == last[d.Address] {
			current = append(current, d)
		}
	}
	return current
}

// Phase is what a replica can do.
type Phase int

// The phases of a replica.
const (
	// Serving replicas take requests.
	Serving Phase = iota
	// Preparing replicas finish long requests and take short ones, since new weights
	// are loaded soon.
	Preparing
	// Loading replicas take no requests: they load weights or begin to at once.
	Loading
	// Unreachable replicas do not answer their own sidecar.
	Unreachable
)

// State is what a replica or its sidecar last reported.
type State struct {
	Phase Phase
	// PhaseAge is how long the phase has lasted.
	PhaseAge time.Duration
	// StartUnixMilli distinguishes incarnations with the same id, in Unix milliseconds.
	StartUnixMilli int64
	// WeightsVersions is the version of each model.
	WeightsVersions map[string]int
	// Running and Queued count requests of all callers.
	Running, Queued int
	// BacklogTokens is how many prompt tokens all daemons have sent that the replica has
	// not read yet, by priority.
	BacklogTokens [PriorityLevels]int
	// MemoryUsed is the memory that cannot be freed, in tokens.
	MemoryUsed int
	// ReceivedAt is when the state arrived.
	ReceivedAt time.Time
}

// Replica is one backend server as the router sees it.
type Replica struct {
	descriptor atomic.Pointer[Descriptor]
	// state is nil before the first report.
	state atomic.Pointer[State]
	// hash spreads homes.
	hash uint64
	// ended is set once another replica or incarnation was found at the address.
	ended atomic.Bool
	// waiting is what this daemon's requests at the replica, before their first
	// event, have it read, by priority.
	waiting [PriorityLevels]atomic.Int64
	// reported is what this daemon last reported of waiting to the replica's sidecar.
	reported [PriorityLevels]atomic.Int64
	// running counts this daemon's requests at the replica.
	running atomic.Int64

	// mu guards the fields below.
	mu sync.Mutex
	// avoidUntil is when the replica may be used again after failures in a row.
	avoidUntil time.Time
	failures   int
	// failureRate is the share of recent requests that failed.
	failureRate float64
	// weights is the newest version of each model by answers.
	weights map[string]int
	// attempts holds what ends the attempts that another replica can take over.
	attempts map[*run]context.CancelFunc
}

// ID returns the replica's id.
func (r *Replica) ID() string { return r.descriptor.Load().ID }

// Address returns the replica's IP address and port.
func (r *Replica) Address() string { return r.descriptor.Load().Address }

// State returns what the replica or its sidecar last reported, or nil.
func (r *Replica) State() *State { return r.state.Load() }

// WeightsVersion returns the version of a model, 0 if it is not known. A recent
// report of the replica's sidecar takes precedence over the list, answers and older
// reports, of which the newest version counts.
func (r *Replica) WeightsVersion(model string, now time.Time) int {
	if state := r.FreshState(now); state != nil && state.WeightsVersions[model] > 0 {
		return state.WeightsVersions[model]
	}
	reported := 0
	if state := r.state.Load(); state != nil {
		reported = state.WeightsVersions[model]
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.descriptor.Load().WeightsVersions[model], r.weights[model], reported)
}

// learnWeights takes the version that an answer names.
func (r *Replica) learnWeights(model string, version int) {
	if version <= 0 || model == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if version > r.weights[model] {
		if r.weights == nil {
			r.weights = make(map[string]int)
		}
		r.weights[model] = version
	}
}

// failed leaves the replica out for a while that doubles with each failure.
func (r *Replica) failed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failureRate += failureWeight * (1 - r.failureRate)
	pause := avoidLeast << min(r.failures, 4)
	r.failures++
	r.avoidUntil = now.Add(min(pause, avoidMost))
}

// answered ends the leaving out.
func (r *Replica) answered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = 0
	r.failureRate -= failureWeight * r.failureRate
	r.avoidUntil = time.Time{}
}

func (r *Replica) avoided(now time.Time) (bool, float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.avoidUntil), r.failureRate
}

// Pool is the replicas of all services.
type Pool struct {
	clock timekeeper.Clock
	// view is replaced whole.
	view atomic.Pointer[view]
	// mu is held while the view is replaced.
	mu sync.Mutex
}

// view is immutable but for the replicas' own state.
type view struct {
	byID      map[string]*Replica
	byAddress map[string]*Replica
	byService map[string]*group
}

// NewPool returns an empty pool.
func NewPool(clock timekeeper.Clock) *Pool {
	p := &Pool{clock: clock}
	p.view.Store(&view{})
	return p
}

// SetReplicas replaces the list. A replica that started again under its id begins anew.
func (p *Pool) SetReplicas(list []Descriptor) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.view.Load()
	next := &view{byID: make(map[string]*Replica, len(list)), byAddress: make(map[string]*Replica, len(list)), byService: make(map[string]*group)}
	for _, descriptor := range list {
		replica := old.byID[descriptor.ID]
		if replica == nil || replica.descriptor.Load().StartUnixMilli != descriptor.StartUnixMilli || replica.Address() != descriptor.Address {
			replica = &Replica{hash: xxh3.HashString(descriptor.ID)}
		}
		replica.descriptor.Store(&descriptor)
		next.add(replica)
		next.group(descriptor.Service).list = append(next.group(descriptor.Service).list, replica)
	}
	for _, g := range next.byService {
		g.sort()
	}
	p.view.Store(next)
}

// group returns the group of a service, a new one if there is none.
func (v *view) group(service string) *group {
	g := v.byService[service]
	if g == nil {
		g = new(group)
		v.byService[service] = g
	}
	return g
}

// add puts a replica into the view. Of several at one address the one that started
// last is there; the entries of the others have not lapsed yet.
func (v *view) add(replica *Replica) {
	d := replica.descriptor.Load()
	v.byID[d.ID] = replica
	if other := v.byAddress[d.Address]; other != nil && !other.ended.Load() {
		if replica.ended.Load() || other.descriptor.Load().StartUnixMilli > d.StartUnixMilli {
			return
		}
	}
	v.byAddress[d.Address] = replica
}

// MarkEnded notes that a replica is not at its address any more.
func (p *Pool) MarkEnded(replica *Replica) {
	if !replica.ended.CompareAndSwap(false, true) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.view.Load()
	next := &view{byID: old.byID, byService: old.byService, byAddress: maps.Clone(old.byAddress)}
	delete(next.byAddress, replica.Address())
	for _, other := range old.byID {
		if other.Address() == replica.Address() && !other.ended.Load() {
			next.add(other)
		}
	}
	p.view.Store(next)
}

// present reports whether the replica is the one at its address.
func (p *Pool) present(replica *Replica) bool {
	return !replica.ended.Load() && p.view.Load().byAddress[replica.Address()] == replica
}

// group returns the replicas of a service.
func (p *Pool) group(service string) *group {
	if g := p.view.Load().byService[service]; g != nil {
		return g
	}
	return new(group)
}

// ReplicaByID returns a replica by id, or nil.
func (p *Pool) ReplicaByID(id string) *Replica { return p.view.Load().byID[id] }

// ReplicaByAddress returns the replica at an address, or nil.
func (p *Pool) ReplicaByAddress(address string) *Replica { return p.view.Load().byAddress[address] }

// BacklogToReport returns the prompt tokens that this daemon has sent to the replica at an
// address and that are not read yet, by priority, and notes that this is
// reported to its sidecar.
func (p *Pool) BacklogToReport(address string) (waiting [PriorityLevels]int) {
	replica := p.ReplicaByAddress(address)
	if replica == nil {
		return waiting
	}
	for i := range waiting {
		tokens := replica.waiting[i].Load()
		replica.reported[i].Store(tokens)
		waiting[i] = int(tokens)
	}
	return waiting
}

// Len returns the number of replicas.
func (p *Pool) Len() int { return len(p.view.Load().byID) }

// UpdateState stores the state that the sidecar of the replica at an address reports.
func (p *Pool) UpdateState(address string, state State) {
	replica := p.view.Load().byAddress[address]
	if replica == nil {
		return
	}
	if known := replica.descriptor.Load().StartUnixMilli; known != 0 && state.StartUnixMilli != 0 && state.StartUnixMilli != known {
		if state.StartUnixMilli > known {
			p.MarkEnded(replica)
		}
		return
	}
	state.ReceivedAt = p.clock.Now()
	replica.state.Store(&state)
	if state.Phase == Unreachable {
		replica.abandon()
	}
}

// watch notes what ends an attempt once the replica's own sidecar does not reach
// it. The result ends the watching.
func (r *Replica) watch(u *run, cancel context.CancelFunc) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts == nil {
		r.attempts = make(map[*run]context.CancelFunc)
	}
	r.attempts[u] = cancel
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.attempts, u)
	}
}

// abandon ends the attempts that another replica can take over.
func (r *Replica) abandon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cancel := range r.attempts {
		cancel()
	}
	clear(r.attempts)
}

// String returns the name of the phase in logs.
func (p Phase) String() string {
	switch p {
	case Serving:
		return "serving"
	case Preparing:
		return "preparing"
	case Loading:
		return "loading"
	default:
		return "unreachable"
	}
}
