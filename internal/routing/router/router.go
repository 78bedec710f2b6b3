package router

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/metrics/recorder"
	"github.com/cyclamenward/cyclamenward/limiter"
	"github.com/cyclamenward/cyclamenward/timekeeper"
)

// Options are the fixed values of a router.
type Options struct {
	// Zone and Region are where the daemon is.
	Zone, Region string
	// PrefillTokensPerSecond is the speed at which a replica reads prompts while others
	// generate, before it is measured.
	PrefillTokensPerSecond float64
	// DelayPerRunningRequest is what each running request adds to the wait for a first event.
	DelayPerRunningRequest time.Duration
	// PlainRequestTime is the time of a usual request at a plain server.
	PlainRequestTime time.Duration
	// RetryBudgetRatio, RetryBudgetExtra and RetryWindow bound the repeats of each service:
	// this daemon's part of what all may send.
	RetryBudgetRatio, RetryBudgetExtra float64
	RetryBudgetWindow                  time.Duration
	// OldWeightsTimeout is how long after a newer version was named requests may
	// begin on older weights.
	OldWeightsTimeout time.Duration
	// SupersededAt returns when a newer version of a model was first named, false if
	// there is none.
	SupersededAt func(model string, version int) (time.Time, bool)
}

// Router serves the requests of one daemon. It is safe for concurrent use.
type Router struct {
	options   Options
	pool      *Pool
	transport Transport
	clock     timekeeper.Clock
	logger    *log.Logger
	recorder  *recorder.Recorder
	holders   *holders
	stored    *storedParts

	// mu guards services.
	mu       sync.Mutex
	services map[string]*service
}

// New returns a router for the replicas of the pool.
func New(options Options, pool *Pool, transport Transport, clock timekeeper.Clock, logger *log.Logger, metrics *recorder.Recorder) *Router {
	return &Router{
		options:   options,
		pool:      pool,
		transport: transport,
		clock:     clock,
		logger:    logger,
		recorder:  metrics,
		holders:   newHolders(),
		stored:    newStoredParts(),
		services:  make(map[string]*service),
	}
}

// service returns what was observed of a service.
func (r *Router) service(name string) *service {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil {
		s = newService(name, limiter.NewWindow(r.options.RetryBudgetRatio, r.options.RetryBudgetExtra, r.options.RetryBudgetWindow, r.clock))
		r.services[name] = s
	}
	return s
}

// Begin starts a request. The caller must call the Close of a stream, and nothing
// for other results.
func (r *Router) Begin(request *Request) *Result {
	r.recorder.Count("requests")
	u := newRun(r, request)
	result := u.begin()
	if result.Failure != nil {
		r.recorder.Count("failed." + string(result.Failure.Reason))
	}
	if result.Stream == nil {
		u.end()
	}
	return result
}

// UpdateCacheStore takes that a cache store has stored or dropped a part, by the name
// that PartKey gives.
func (r *Router) UpdateCacheStore(address string, key uint64, stored bool) {
	r.stored.change(address, key, stored)
}

// SetCacheStoreReachable takes whether a cache store answers. A store that begins to is taken
// as empty.
func (r *Router) SetCacheStoreReachable(address string, answers bool) { r.stored.set(address, answers) }

// UpdateReplicaCache takes what was added to and dropped from the cache of the replica at
// an address, by the names that PartKey gives.
func (r *Router) UpdateReplicaCache(address string, added, dropped []uint64) {
	replica := r.pool.ReplicaByAddress(address)
	if replica == nil {
		return
	}
	for _, key := range added {
		r.holders.add(key, replica)
	}
	for _, key := range dropped {
		r.holders.remove(key, replica)
	}
}
