package router

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/metrics/recorder"
	"github.com/cyclamenward/cyclamenward/internal/quota/enforcer"
	"github.com/cyclamenward/cyclamenward/internal/routing/isolator"
	"github.com/cyclamenward/cyclamenward/internal/routing/pinner"
	"github.com/cyclamenward/cyclamenward/limiter"
	"github.com/cyclamenward/cyclamenward/timekeeper"
)

// Options are the fixed settings of a router.
type Options struct {
	// Zone and Region are the location of the daemon.
	Zone, Region string
	// PrefillTokensPerSecond is the assumed speed at which a replica prefills prompts
	// while it generates for others. The measured pace of each service scales it.
	PrefillTokensPerSecond float64
	// DelayPerRunningRequest is what each running request adds to the expected time to
	// a first event.
	DelayPerRunningRequest time.Duration
	// ReplicaSpeeds has the speed of each replica count in what is expected of it, for services
	// whose replicas report the load of their hosts. Else the pace of the whole service counts.
	ReplicaSpeeds bool
	// OnHostLoad is called for each answer that names the load of its replica's host; it may be nil.
	OnHostLoad func()
	// PlainRequestTime is how long a plain server, one without a model, works on a
	// typical request.
	PlainRequestTime time.Duration
	// RetryBudget bounds the retries to each service that all daemons send.
	RetryBudget limiter.BudgetLimits
	// RetryShare returns the part of the budget's extra retries that is this daemon's; nil
	// means all of it.
	RetryShare func() float64
	// StartedAt is when the daemon started, zero if no daemon that ran on its host before has
	// used the same budget.
	StartedAt time.Time
	// OldWeightsTimeout is how long after a newer version was first named requests may
	// still start on older weights.
	OldWeightsTimeout time.Duration
	// SupersededAt returns when a version newer than the given one was first named for
	// the model, and false if there is no newer one.
	SupersededAt func(model string, version int) (time.Time, bool)
	// LoadAware reports whether requests are spread over older and current weights by how many
	// replicas have each, and no prompts are read first at replicas that are about to load; nil
	// means that current weights are always preferred.
	LoadAware func() bool
	// RecordStream has other daemons record which software version began a stream, FindStream
	// asks them. They may be nil.
	RecordStream func(pinner.Record)
	FindStream   func(context.Context, pinner.Query) pinner.Origin
	// Quotas holds requests to the quotas of their workspaces; nil means that these have none.
	Quotas *enforcer.Enforcer
	// UpdateList brings the list of replicas up to the moment of the call and reports whether that
	// was possible; nil means that the list is always current.
	UpdateList func(context.Context) bool
	// SharesRoom reports whether the requests to a service are arbitrated between ranks and
	// workspaces when there is not room for all; nil means that none are.
	SharesRoom func(service string) bool
	// PacedStarts reports whether the replicas of a service are paced after a start or recovery; nil
	// means that none are.
	PacedStarts func(service string) bool
}

// Router chooses replicas for the requests of one daemon and sends the requests to
// them. It is safe for concurrent use.
type Router struct {
	options   Options
	pool      *Pool
	transport Transport
	clock     timekeeper.Clock
	logger    *log.Logger
	recorder  *recorder.Recorder
	// holders records which replicas have cached which prompt parts.
	holders *partHolders
	// stored records which prompt parts the cache stores have.
	stored *storedParts
	// isolator decides which prompt parts are not sent because replicas crash on them.
	isolator *isolator.Isolator
	// streams holds which software version began the streams of this daemon.
	streams *pinner.Registry
	// shutdown is the planned end of the daemon, runTimes how long requests take.
	shutdown *shutdown
	runTimes *runTimes

	// mu guards services.
	mu       sync.Mutex
	services map[string]*serviceState

	// waitingMu guards waiting: the requests that wait for the head of an answer.
	waitingMu sync.Mutex
	waiting   map[*dispatch]bool
}

// New returns a router for the replicas of the pool.
func New(options Options, pool *Pool, transport Transport, clock timekeeper.Clock, logger *log.Logger, metrics *recorder.Recorder) *Router {
	if options.RetryShare == nil {
		options.RetryShare = func() float64 { return 1 }
	}
	r := &Router{
		options:   options,
		pool:      pool,
		transport: transport,
		clock:     clock,
		logger:    logger,
		recorder:  metrics,
		holders:   newPartHolders(),
		stored:    newStoredParts(),
		isolator:  isolator.New(clock),
		streams:   pinner.New(clock),
		shutdown:  newShutdown(),
		runTimes:  newRunTimes(clock),
		services:  make(map[string]*serviceState),
		waiting:   make(map[*dispatch]bool),
	}
	r.isolator.OnIsolated(r.recallIsolated)
	r.paceStarts()
	return r
}

// Isolator returns the isolator of prompt parts on which replicas crash. Daemons that
// exchange its reports decide on the evidence of all.
func (r *Router) Isolator() *isolator.Isolator { return r.isolator }

// Streams returns the records of which software version began this daemon's streams.
func (r *Router) Streams() *pinner.Registry { return r.streams }

// serviceState returns the state of the named service and creates it on first use.
func (r *Router) serviceState(name string) *serviceState {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil {
		s = newServiceState(name, limiter.NewWindowedBudget(r.options.RetryBudget, r.options.RetryShare, r.options.StartedAt, r.clock), r.clock)
		r.services[name] = s
	}
	return s
}

// Begin sends a request to replicas until one answers, and returns its whole answer, a
// stream that has begun, or a failure. The caller must call Close on Result.Stream if
// that is set, else Release on the result once it does not need the body.
func (r *Router) Begin(request *Request) *Result {
	r.recorder.Count("requests")
	d := newDispatch(r, request)
	var result *Result
	if failure := d.pinTakenUpStream(); failure != nil {
		result = d.failureResult(failure)
	} else {
		result = d.sendUntilAnswered()
	}
	if result.Failure != nil {
		r.recorder.Count("failed." + string(result.Failure.Reason))
	}
	if result.Stream == nil {
		d.run.left = result.Failure != nil && result.Failure.Reason == ReasonCallerGone
		d.release()
	}
	if d.fallback != nil && d.fallback != result {
		d.fallback.Release()
	}
	return result
}

// UpdateCacheStore records that a cache store has stored or dropped the prompt part
// with a key from PartKey.
func (r *Router) UpdateCacheStore(address string, key uint64, stored bool) {
	r.stored.update(address, key, stored)
}

// SetCacheStoreReachable records whether a cache store answers. A store that becomes
// reachable is assumed to be empty.
func (r *Router) SetCacheStoreReachable(address string, up bool) { r.stored.setReachable(address, up) }

// UpdateReplicaCache records which prompt parts, by their keys from PartKey, were added
// to and dropped from the cache of the replica at an address. If complete is set, the
// cache has no other parts than those added.
func (r *Router) UpdateReplicaCache(address string, added, dropped []uint64, complete bool) {
	replica := r.pool.ReplicaByAddress(address)
	if replica == nil {
		return
	}
	if complete {
		r.holders.removeAll(replica)
	}
	for _, key := range added {
		r.holders.add(key, replica)
	}
	for _, key := range dropped {
		r.holders.remove(key, replica)
	}
}
