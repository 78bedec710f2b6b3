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
	// ReadTokensPerSecond is the speed at which a replica reads prompts while others
	// generate, before it is measured.
	ReadTokensPerSecond float64
	// RunningCost is what each running request adds to the wait for a first event.
	RunningCost time.Duration
	// PlainWork is the time of a usual request at a plain server.
	PlainWork time.Duration
	// RetryShare, RetryExtra and RetryWindow bound the repeats of each service:
	// this daemon's part of what all may send.
	RetryShare, RetryExtra float64
	RetryWindow            time.Duration
	// OldWeightsLimit is how long after a newer version was named requests may
	// begin on older weights.
	OldWeightsLimit time.Duration
	// Superseded returns when a newer version of a model was first named, false if
	// there is none.
	Superseded func(model string, version int) (time.Time, bool)
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
		s = newService(name, limiter.NewWindow(r.options.RetryShare, r.options.RetryExtra, r.options.RetryWindow, r.clock))
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

// LearnCacheStore takes that a cache store has stored or dropped a part, by the name
// that PartKey gives.
func (r *Router) LearnCacheStore(address string, key uint64, stored bool) {
	r.stored.change(address, key, stored)
}

// SetCacheStore takes whether a cache store answers. A store that begins to is taken
// as empty.
func (r *Router) SetCacheStore(address string, answers bool) { r.stored.set(address, answers) }

// LearnCache takes what was added to and dropped from the cache of the replica at
// an address, by the names that PartKey gives.
func (r *Router) LearnCache(address string, added, dropped []uint64) {
	replica := r.pool.At(address)
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
