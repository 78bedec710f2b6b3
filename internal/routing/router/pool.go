package router

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/routing/divider"
	"github.com/cyclamenward/cyclamenward/internal/routing/gauger"
	"github.com/cyclamenward/cyclamenward/internal/routing/pacer"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/zeebo/xxh3"
)

const (
	// stateTTL is how long a reported state is valid: three of the longest report
	// intervals.
	stateTTL = time.Second
	// minBackoff and maxBackoff bound how long a replica gets no requests after a
	// failure. The first backoff is short so that a restarted replica serves soon.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 3 * time.Second
	// disputeTimeout is how long the server at an address must have named an earlier start than the newest entry
	// there before another entry with that start holds. Reports are late by less.
	disputeTimeout = 2 * time.Second
	// removedMemory is how long a replica that is no longer in the list is remembered: as long
	// as it may have asked for a pause.
	removedMemory = maxReplicaPause
	// failureRateWeight is the weight of one answer in the moving average of the
	// failure rate.
	failureRateWeight = 0.1
)

// PriorityLevels is the number of ranks of requests; rank 0 is served first.
const PriorityLevels = 10

// Descriptor is one entry in the list of replicas.
type Descriptor struct {
	ID      string
	Service string
	// Address is the replica's IP address and port.
	Address string
	Zone    string
	Region  string
	// Slots is how many requests the replica runs at once.
	Slots int
	// Draining replicas get no new requests.
	Draining bool
	// StartUnixMilli is when the replica started, in Unix milliseconds, 0 if unknown.
	// It distinguishes incarnations with the same ID.
	StartUnixMilli int64
	// WarmUpRemaining is how much longer the replica is slow after its start.
	WarmUpRemaining time.Duration
	// SoftwareVersion is the version of the replica's software, "" if unknown. Versions have no
	// order.
	SoftwareVersion string
	// WeightsVersions maps each model to its weights version.
	WeightsVersions map[string]int
}

// LatestByAddress returns the list with only the entries of the replica that started
// last at each address. Entries of ended replicas expire only after a while. At the address own, whose
// replica says that it started at ownStart unless that is 0, the entry with that start is kept if there is one.
func LatestByAddress(list []Descriptor, own string, ownStart int64) []Descriptor {
	latestStart := make(map[string]int64, len(list))
	for _, d := range list {
		latestStart[d.Address] = max(latestStart[d.Address], d.StartUnixMilli)
	}
	if ownStart != 0 && slices.ContainsFunc(list, func(d Descriptor) bool { return d.Address == own && d.StartUnixMilli == ownStart }) {
		latestStart[own] = ownStart
	}
	var current []Descriptor
	for _, d := range list {
		if d.StartUnixMilli == latestStart[d.Address] {
			current = append(current, d)
		}
	}
	return current
}

// ModelReplicas returns the entries of replicas that serve models, one for each address: one that does not drain if
// there is one.
func ModelReplicas(list []Descriptor) []Descriptor {
	var replicas []Descriptor
	indexes := make(map[string]int, len(list))
	for _, d := range list {
		if len(d.WeightsVersions) == 0 {
			continue
		}
		i, found := indexes[d.Address]
		switch {
		case !found:
			indexes[d.Address] = len(replicas)
			replicas = append(replicas, d)
		case replicas[i].Draining && !d.Draining:
			replicas[i] = d
		}
	}
	return replicas
}

// Phase tells which requests a replica takes.
type Phase int

// The phases of a replica.
const (
	// Serving replicas take all requests.
	Serving Phase = iota
	// Preparing replicas are about to load new weights: they finish long requests and
	// take short ones.
	Preparing
	// Loading replicas take no requests: they load weights or are about to.
	Loading
	// Unreachable replicas do not answer their own sidecar.
	Unreachable
)

// State is the last report of a replica or its sidecar.
type State struct {
	Phase Phase
	// PhaseAge is how long the phase has lasted.
	PhaseAge time.Duration
	// StartUnixMilli is when the replica started, in Unix milliseconds, 0 if unknown.
	StartUnixMilli int64
	// WeightsVersions maps each model to its weights version.
	WeightsVersions map[string]int
	// Running and Queued count the requests of all callers.
	Running, Queued int
	// BacklogTokens is the number of prompt tokens, by priority, that all daemons have
	// sent to the replica and that it has not prefilled yet.
	BacklogTokens [PriorityLevels]int
	// MemoryUsed is the memory in use that cannot be freed, in tokens.
	MemoryUsed int
	// TransferQueue is how long the replica's link is busy with the transfers of cached
	// parts that all daemons have requested.
	TransferQueue time.Duration
	// Speed is what the sidecar reports about the replica's speed.
	Speed gauger.Shared
	// ReceivedAt is when the report arrived.
	ReceivedAt time.Time
}

// Replica is one backend server as the router sees it.
type Replica struct {
	descriptor atomic.Pointer[Descriptor]
	// state is nil before the first report.
	state atomic.Pointer[State]
	// hash is the hash of the replica's ID. It determines for which prompts and
	// affinities the replica is the home.
	hash uint64
	// pausedUntil is until when the replica wants nothing from this daemon, in Unix
	// nanoseconds; 0 before it has asked for a pause.
	pausedUntil atomic.Int64
	// ended is set once another replica or incarnation was found at the address.
	ended atomic.Bool
	// disputed is set while the server at the address says that another entry describes it. The pool's mu is
	// held while it changes.
	disputed atomic.Bool
	// listedAt is when the replica was first listed, with its incarnation.
	listedAt time.Time
	// backlogTokens is the number of tokens, by priority, that the replica must prefill
	// for this daemon's requests, until the first event of each.
	backlogTokens [PriorityLevels]atomic.Int64
	// reportedBacklog is backlogTokens as last reported to the replica's sidecar.
	reportedBacklog [PriorityLevels]atomic.Int64
	// stateBacklog is backlogTokens as the last state arrived.
	stateBacklog [PriorityLevels]atomic.Int64
	// inFlight counts this daemon's requests in flight at the replica.
	inFlight atomic.Int64
	// transfers are those of cached parts from and to the replica that this daemon has
	// requested.
	transfers transferLog

	// gauge estimates how slow the replica is.
	gauge gauger.Gauge

	// passedOver counts the slow attempts since the last answer that another replica has answered
	// first.
	passedOver atomic.Int32

	// pacer holds the replica's limit after a start or recovery. It is nil until the first.
	pacer atomic.Pointer[pacer.Pacer]

	// mu guards the fields below.
	mu sync.Mutex
	// backoffUntil is when the replica may get requests again after consecutive
	// failures.
	backoffUntil        time.Time
	consecutiveFailures int
	// answeredAt is when the replica last answered a request. While passedOver is not 0, a new
	// request is expected to wait for passedOverWait until passedOverUntil, and as long as another
	// is in flight.
	answeredAt, passedOverUntil time.Time
	passedOverWait              time.Duration
	// failureRate is a moving average of the share of failed requests.
	failureRate float64
	// answeredVersions is the newest version of each model's weights that the replica's
	// answers have named.
	answeredVersions map[string]int
	// failoverAttempts holds what ends the attempts that another replica
	// can take over.
	failoverAttempts map[*dispatch]func()
}

// ID returns the replica's ID.
func (r *Replica) ID() string { return r.descriptor.Load().ID }

// Address returns the replica's IP address and port.
func (r *Replica) Address() string { return r.descriptor.Load().Address }

// State returns what the replica or its sidecar last reported, or nil.
func (r *Replica) State() *State { return r.state.Load() }

// WeightsVersion returns the version of a model's weights on the replica, 0 if unknown.
// A recent report of its sidecar takes precedence; otherwise it is the newest version
// in the list, the answers and the older report.
func (r *Replica) WeightsVersion(model string, now time.Time) int {
	if state := r.FreshState(now); state != nil && state.WeightsVersions[model] > 0 {
		return state.WeightsVersions[model]
	}
	reportedVersion := 0
	if state := r.state.Load(); state != nil {
		reportedVersion = state.WeightsVersions[model]
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.descriptor.Load().WeightsVersions[model], r.answeredVersions[model], reportedVersion)
}

// recordWeightsVersion records the version that an answer names.
func (r *Replica) recordWeightsVersion(model string, version int) {
	if version <= 0 || model == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if version > r.answeredVersions[model] {
		if r.answeredVersions == nil {
			r.answeredVersions = make(map[string]int)
		}
		r.answeredVersions[model] = version
	}
}

// recordFailure starts a backoff whose length doubles with each consecutive failure, and returns
// their number.
func (r *Replica) recordFailure(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failureRate += failureRateWeight * (1 - r.failureRate)
	backoff := minBackoff << min(r.consecutiveFailures, 4)
	r.consecutiveFailures++
	r.backoffUntil = now.Add(min(backoff, maxBackoff))
	return r.consecutiveFailures
}

// recordSuccess ends the backoff.
func (r *Replica) recordSuccess(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answeredAt = now
	r.passedOver.Store(0)
	r.consecutiveFailures = 0
	r.failureRate -= failureRateWeight * r.failureRate
	r.backoffUntil = time.Time{}
}

// recordPassedOver records that another replica has answered a request first that was sent at
// sentAt. A replica that has answered others since then is sound: that request takes long.
func (r *Replica) recordPassedOver(now, sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answeredAt.After(sentAt) {
		return
	}
	r.passedOverWait = now.Sub(sentAt)
	r.passedOverUntil = now.Add(min(minBackoff<<min(r.passedOver.Load(), 4), maxBackoff))
	r.passedOver.Add(1)
}

// slowness returns how much longer than others the replica is expected to take for an answer. Of a
// replica that was passed over, one request at a time finds out whether it still is slow.
func (r *Replica) slowness(clock timekeeper.Clock) time.Duration {
	if r.passedOver.Load() == 0 {
		return 0
	}
	now := clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.passedOverUntil) || r.inFlight.Load() > 0 {
		return r.passedOverWait
	}
	return 0
}

// inBackoff reports whether the replica is in a backoff, and returns its failure rate.
func (r *Replica) inBackoff(now time.Time) (bool, float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.backoffUntil), r.failureRate
}

// Pool holds the replicas of all services. It is safe for concurrent use.
type Pool struct {
	clock timekeeper.Clock
	// leaving holds the replicas that have said that they leave.
	leaving *LeavingRegistry
	// limits holds this daemon's shares of the limits that replicas name.
	limits *divider.Divider
	// pacing has replicas be paced after a start or recovery.
	pacing pacingSwitch
	// view is never changed, only replaced.
	view atomic.Pointer[view]
	// onBacklog is called with the address of a replica when this daemon's backlog there
	// has changed. It is nil until OnBacklog is called.
	onBacklog atomic.Pointer[func(address string)]
	// mu is held while the view is replaced, and guards removed.
	mu sync.Mutex
	// removed holds replicas that are no longer in the list, by ID, with when they were
	// removed. What is known of them holds if they come back.
	removed map[string]removedReplica
	// software holds the software versions of each service's replicas. It is guarded by mu.
	software map[string]*softwareLog
	// servedSince holds since when the list has replicas of each service. It is guarded by mu.
	servedSince map[string]time.Time
	// currentAt is when the list of replicas was last known to be current. It is guarded by mu.
	currentAt time.Time
}

// removedReplica is a replica that was removed from the list at a time.
type removedReplica struct {
	*Replica
	at time.Time
}

// view indexes the replicas. The indexes are immutable; the replicas in them change.
type view struct {
	byID      map[string]*Replica
	byAddress map[string]*Replica
	byService map[string]*group
}

// NewPool returns an empty pool.
func NewPool(clock timekeeper.Clock) *Pool {
	p := &Pool{clock: clock, leaving: NewLeavingRegistry(clock), limits: divider.New(clock), removed: make(map[string]removedReplica), software: make(map[string]*softwareLog), servedSince: make(map[string]time.Time)}
	p.view.Store(&view{})
	return p
}

// SetReplicas replaces the list of replicas. A replica that has restarted under its ID
// or moved to another address is treated as a new one. A list that names an earlier start
// of a replica than one before is out of date in this: the later start holds.
func (p *Pool) SetReplicas(list []Descriptor) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordSoftware(list)
	old := p.view.Load()
	next := &view{byID: make(map[string]*Replica, len(list)), byAddress: make(map[string]*Replica, len(list)), byService: make(map[string]*group)}
	for _, descriptor := range list {
		replica := p.knownReplica(old, descriptor.ID)
		if replica != nil {
			descriptor.StartUnixMilli = max(descriptor.StartUnixMilli, replica.descriptor.Load().StartUnixMilli)
		}
		if replica == nil || replica.descriptor.Load().StartUnixMilli != descriptor.StartUnixMilli || replica.Address() != descriptor.Address {
			last := replica
			replica = &Replica{hash: xxh3.HashString(descriptor.ID), listedAt: p.clock.Now()}
			replica.descriptor.Store(&descriptor)
			p.noteStart(replica, last, old)
		}
		if descriptor.Draining {
			p.leaving.Record(descriptor.incarnation())
		}
		replica.descriptor.Store(&descriptor)
		next.add(replica)
		next.group(descriptor.Service).replicas = append(next.group(descriptor.Service).replicas, replica)
	}
	for _, g := range next.byService {
		g.buildRings()
	}
	p.view.Store(next)
	now := p.clock.Now()
	p.recordServices(next, now)
	for id, replica := range old.byID {
		if next.byID[id] == nil {
			p.removed[id] = removedReplica{Replica: replica, at: now}
		}
	}
	maps.DeleteFunc(p.removed, func(id string, r removedReplica) bool {
		return next.byID[id] != nil || now.Sub(r.at) >= removedMemory
	})
}

// knownReplica returns the replica with an ID in a view, or one that was removed recently, or
// nil. The caller holds mu.
func (p *Pool) knownReplica(v *view, id string) *Replica {
	if replica := v.byID[id]; replica != nil {
		return replica
	}
	return p.removed[id].Replica
}

// group returns the group of a service and adds it if needed.
func (v *view) group(service string) *group {
	g := v.byService[service]
	if g == nil {
		g = new(group)
		v.byService[service] = g
	}
	return g
}

// add adds a replica to the view. If there are several at one address, byAddress holds
// the one that started last; the entries of the others have not expired yet. One that is disputed does not count.
func (v *view) add(replica *Replica) {
	d := replica.descriptor.Load()
	v.byID[d.ID] = replica
	if other := v.byAddress[d.Address]; other != nil && !other.outOfPlace() {
		if replica.outOfPlace() || other.descriptor.Load().StartUnixMilli > d.StartUnixMilli {
			return
		}
	}
	v.byAddress[d.Address] = replica
}

// disputes reports whether a report of the server at the replica's address is not of this replica, or is although it was
// disputed.
func (r *Replica) disputes(state *State) bool {
	start := r.descriptor.Load().StartUnixMilli
	return start != 0 && state.StartUnixMilli != 0 && (start != state.StartUnixMilli || r.disputed.Load())
}

// outOfPlace reports whether the replica is known not to be the one at its address.
func (r *Replica) outOfPlace() bool { return r.ended.Load() || r.disputed.Load() }

// MarkEnded records that a replica is no longer at its address.
func (p *Pool) MarkEnded(replica *Replica) {
	if !replica.ended.CompareAndSwap(false, true) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshAddress(replica.Address())
}

// refreshAddress brings byAddress up to date for an address. The caller holds mu.
func (p *Pool) refreshAddress(address string) {
	old := p.view.Load()
	next := &view{byID: old.byID, byService: old.byService, byAddress: maps.Clone(old.byAddress)}
	delete(next.byAddress, address)
	for _, other := range old.byID {
		if other.Address() == address && !other.outOfPlace() {
			next.add(other)
		}
	}
	p.view.Store(next)
}

// settle decides between the entries at an address by a report of its server that does not fit current, which
// may be nil. It returns the replica that the report is of if that was not the one at the address.
func (p *Pool) settle(address string, current *Replica, state *State) *Replica {
	p.mu.Lock()
	defer p.mu.Unlock()
	named := p.startedAt(address, state.StartUnixMilli)
	switch {
	case current == nil && (named == nil || !named.disputed.Load()):
		return nil // The list does not have the replica yet, or not any more.
	case current == nil, current == named:
		named.disputed.Store(false)
	case state.StartUnixMilli > current.descriptor.Load().StartUnixMilli:
		current.ended.Store(true)
		if named != nil {
			named.disputed.Store(false)
		}
		p.refreshAddress(address)
		return nil
	case named == nil, state.Phase == Unreachable, p.clock.Now().Sub(current.listedAt) < disputeTimeout:
		// The report may be older than the entry.
		return nil
	default:
		p.dispute(address, named)
	}
	p.refreshAddress(address)
	return named
}

// dispute has named hold at an address in place of all entries that its server has had time to confirm. The caller
// holds mu.
func (p *Pool) dispute(address string, named *Replica) {
	named.disputed.Store(false)
	for _, replica := range p.view.Load().byID {
		if replica != named && replica.Address() == address && p.clock.Now().Sub(replica.listedAt) >= disputeTimeout {
			replica.disputed.Store(true)
		}
	}
}

// startedAt returns the listed replica at an address that started at start, nil if there is none or it has ended. The
// caller holds mu.
func (p *Pool) startedAt(address string, start int64) *Replica {
	for _, replica := range p.view.Load().byID {
		if replica.Address() == address && replica.descriptor.Load().StartUnixMilli == start && !replica.ended.Load() {
			return replica
		}
	}
	return nil
}

// isCurrent reports whether the replica is the one at its address.
func (p *Pool) isCurrent(replica *Replica) bool {
	return !replica.outOfPlace() && p.view.Load().byAddress[replica.Address()] == replica
}

// takesRequests reports whether a replica gets new requests as far as is known: it does not
// leave and is the one at its address.
func (p *Pool) takesRequests(replica *Replica, descriptor *Descriptor) bool {
	return !descriptor.Draining && p.isCurrent(replica) && !p.leaving.Leaves(descriptor.incarnation())
}

// Leaving returns the registry of replicas that leave.
func (p *Pool) Leaving() *LeavingRegistry { return p.leaving }

// Limits returns this daemon's shares of the limits that replicas name.
func (p *Pool) Limits() *divider.Divider { return p.limits }

// RecordLeaving records that the replica at an address has said that it leaves.
func (p *Pool) RecordLeaving(address string, logger *log.Logger) {
	if replica := p.ReplicaByAddress(address); replica != nil {
		p.recordLeaving(replica, logger)
	}
}

// recordLeaving records that a replica, which may not be in the list, has said that it leaves.
func (p *Pool) recordLeaving(replica *Replica, logger *log.Logger) {
	descriptor := replica.descriptor.Load()
	if p.leaving.Leaves(descriptor.incarnation()) {
		return
	}
	// The list may not have the replica's latest start yet, and answers do not name it. A
	// start after now is of another incarnation.
	leaving := descriptor.incarnation()
	leaving.StartUnixMilli = max(leaving.StartUnixMilli, p.clock.Now().UnixMilli())
	if p.leaving.Record(leaving) {
		logger.Info("route: replica leaves.", "replica", descriptor.ID, "started", descriptor.StartUnixMilli, "source", LeavingByAnswer)
	}
}

// group returns the replicas of a service, an empty group if there are none.
func (p *Pool) group(service string) *group {
	if g := p.view.Load().byService[service]; g != nil {
		return g
	}
	return new(group)
}

// ReplicaByID returns the replica with an ID, or nil.
func (p *Pool) ReplicaByID(id string) *Replica { return p.view.Load().byID[id] }

// ReplicaByAddress returns the replica at an address, or nil.
func (p *Pool) ReplicaByAddress(address string) *Replica { return p.view.Load().byAddress[address] }

// OnBacklog sets the function that is called with the address of a replica when this
// daemon's backlog or transfers there have changed. It must not block.
func (p *Pool) OnBacklog(f func(address string)) { p.onBacklog.Store(&f) }

// addBacklog adds tokens, which may be negative, to this daemon's backlog at a replica.
func (p *Pool) addBacklog(replica *Replica, priority, tokens int) {
	replica.backlogTokens[priority].Add(int64(tokens))
	if tokens != 0 {
		p.notifyBacklog(replica)
	}
}

// addTransfer records a transfer of cached parts that this daemon has requested and that
// keeps the links of both replicas busy.
func (p *Pool) addTransfer(source, target *Replica, duration time.Duration) {
	for _, replica := range []*Replica{source, target} {
		replica.transfers.add(p.clock.Now(), duration)
		p.notifyBacklog(replica)
	}
}

// notifyBacklog calls onBacklog.
func (p *Pool) notifyBacklog(replica *Replica) {
	if f := p.onBacklog.Load(); f != nil {
		(*f)(replica.Address())
	}
}

// TransfersToReport returns the total duration of the transfers that this daemon has ever
// requested from and to the replica at an address, and records them as reported.
func (p *Pool) TransfersToReport(address string) time.Duration {
	replica := p.ReplicaByAddress(address)
	if replica == nil {
		return 0
	}
	return replica.transfers.report()
}

// BacklogToReport returns this daemon's backlog at the replica at an address, in prompt
// tokens by priority, and records it as reported to the replica's sidecar.
func (p *Pool) BacklogToReport(address string) (backlog [PriorityLevels]int) {
	replica := p.ReplicaByAddress(address)
	if replica == nil {
		return backlog
	}
	for i := range backlog {
		tokens := replica.backlogTokens[i].Load()
		replica.reportedBacklog[i].Store(tokens)
		backlog[i] = int(tokens)
	}
	return backlog
}

// Len returns the number of replicas.
func (p *Pool) Len() int { return len(p.view.Load().byID) }

// UpdateState stores a report of the sidecar of the replica at an address. A report
// about an older incarnation is ignored, unless the list still has that and has had the newer one for
// disputeTimeout: then the newer entry is wrong. One about a newer incarnation ends the replica.
func (p *Pool) UpdateState(address string, state State) {
	replica := p.view.Load().byAddress[address]
	if replica == nil || replica.disputes(&state) {
		if replica = p.settle(address, replica, &state); replica == nil {
			return
		}
	}
	state.ReceivedAt = p.clock.Now()
	for i := range replica.stateBacklog {
		replica.stateBacklog[i].Store(replica.backlogTokens[i].Load())
	}
	p.notePhase(replica, replica.state.Swap(&state), &state)
	replica.gauge.RecordShared(state.Speed, state.ReceivedAt)
	if state.Phase == Unreachable && state.StartUnixMilli != 0 {
		// A sidecar that names no start has had no report yet.
		replica.cancelFailoverAttempts()
	}
}

// recordLoad records the load that an answer names. What else a recent report says is kept, with
// its age. Answers name no start, so a state with one is from a report.
func (r *Replica) recordLoad(running, queued int, now time.Time) {
	for {
		current := r.state.Load()
		state := State{ReceivedAt: now}
		if current != nil && now.Sub(current.ReceivedAt) < stateTTL && current.StartUnixMilli != 0 {
			state = *current
		}
		state.Running, state.Queued = running, queued
		if r.state.CompareAndSwap(current, &state) {
			return
		}
	}
}

// registerFailover registers a function of an attempt, which is called once when
// the replica's sidecar reports the replica as unreachable. The returned function
// removes the registration.
func (r *Replica) registerFailover(d *dispatch, onUnreachable func()) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failoverAttempts == nil {
		r.failoverAttempts = make(map[*dispatch]func())
	}
	r.failoverAttempts[d] = onUnreachable
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.failoverAttempts, d)
	}
}

// cancelFailoverAttempts has the attempts end that another replica can take over.
func (r *Replica) cancelFailoverAttempts() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, onUnreachable := range r.failoverAttempts {
		onUnreachable()
	}
	clear(r.failoverAttempts)
}

// String returns the name of the phase for logs.
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
