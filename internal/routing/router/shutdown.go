package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
)

const (
	// stoppingRetryAfter is when a caller may retry whose request this daemon can no longer
	// finish: other daemons take it at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// runSamples is how many runs of a route are remembered, for maxRunAge.
	runSamples = 128
	maxRunAge  = time.Minute
	// minUsualRuns is the number of remembered runs from which on usualRunShare of them tell how
	// long the next one usually takes, minLongestRuns that from which on the longest tells how long
	// it takes at most, if it may take longestRunMargin times as long.
	minUsualRuns     = 20
	usualRunShare    = 0.95
	minLongestRuns   = 50
	longestRunMargin = 1.5
	// maxRunRoutes bounds the number of routes in runTimes.
	maxRunRoutes = 4096
)

// shutdown is the planned end of the daemon.
type shutdown struct {
	// ended is done once the end has come, with ErrStopping as its cause. Requests that are not
	// answered then fail.
	ended  context.Context
	cancel context.CancelCauseFunc

	// mu guards the fields below.
	mu sync.Mutex
	// end is zero while the daemon is not stopping, or if that takes any time.
	end time.Time
	// reroutedAt is when load balancers send callers to other daemons.
	reroutedAt time.Time
}

func newShutdown() *shutdown {
	s := new(shutdown)
	s.ended, s.cancel = context.WithCancelCause(context.Background())
	return s
}

// Stop announces that the daemon stops serving when ctx ends, and that load balancers send callers
// elsewhere after the delay. From now on an attempt is sent only if it is expected to be over
// by the deadline of ctx: the caller can have the request served by another daemon. Requests that
// are still unanswered at the end of ctx fail, and streams break off.
func (r *Router) Stop(ctx context.Context, delay time.Duration) {
	r.shutdown.mu.Lock()
	defer r.shutdown.mu.Unlock()
	r.shutdown.end, _ = ctx.Deadline()
	r.shutdown.reroutedAt = r.clock.Now().Add(delay)
	context.AfterFunc(ctx, func() { r.shutdown.cancel(ErrStopping) })
}

// endsInTime reports whether an attempt that is sent now is expected to be over when the daemon
// stops. While load balancers do not know of the stop yet, what is usual counts: to refuse costs the
// callers more than a few runs that are cut short. Later only few come by themselves, and it is the
// longest run, or for a stream the deadline: one that is cut short cannot be answered any more.
func (d *dispatch) endsInTime() bool {
	s := d.router.shutdown
	s.mu.Lock()
	end, reroutedAt := s.end, s.reroutedAt
	s.mu.Unlock()
	if end.IsZero() {
		return true
	}
	now := d.router.clock.Now()
	expected, known := d.router.runTimes.usual(d.request.Route.Name)
	if !now.Before(reroutedAt) {
		expected, known = d.router.runTimes.longest(d.request.Route.Name)
		expected = time.Duration(longestRunMargin * float64(expected))
		known = known && d.request.Route.Kind != Streaming
	}
	if left := d.timeLeft(); !known || left < expected {
		expected = left
	}
	return !now.Add(expected).After(end)
}

// stoppingFailure returns the failure of a request that the daemon cannot finish before it stops.
func (d *dispatch) stoppingFailure() *Failure {
	return &Failure{Reason: ReasonStopping, NotRun: d.runAttempts == 0, RetryAfter: stoppingRetryAfter}
}

// runTimes remembers how long the recent requests of each route took, by the route's name. It is
// safe for concurrent use.
type runTimes struct {
	clock timekeeper.Clock

	// mu guards the fields below.
	mu sync.Mutex
	// running holds the requests that have not ended.
	running map[*run]bool
	// ended holds the latest runs of each route that have ended, the oldest first.
	ended map[string][]endedRun
}

// run is one request between its begin and its end.
type run struct {
	route   string
	begunAt time.Time
	// left is set if the caller has left before the end.
	left bool
}

// endedRun is a run that has ended.
type endedRun struct {
	at   time.Time
	took time.Duration
	// left is set if it would have taken longer, but its caller had left.
	left bool
}

func newRunTimes(clock timekeeper.Clock) *runTimes {
	return &runTimes{clock: clock, running: make(map[*run]bool), ended: make(map[string][]endedRun)}
}

// begin records that a request of a route begins.
func (t *runTimes) begin(route string) *run {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &run{route: route, begunAt: t.clock.Now()}
	t.running[r] = true
	return r
}

// end records that a request has ended. It counts only if a replica may have run it; one that was
// cut short counts with the time that it had.
func (t *runTimes) end(r *run, counts bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, r)
	if !counts {
		return
	}
	runs, found := t.ended[r.route]
	if !found && len(t.ended) >= maxRunRoutes {
		clear(t.ended)
	}
	if len(runs) >= runSamples {
		runs = slices.Delete(runs, 0, len(runs)-runSamples+1)
	}
	now := t.clock.Now()
	t.ended[r.route] = append(runs, endedRun{now, now.Sub(r.begunAt), r.left})
}

// usual returns how long a run of a route takes, but for a few of them, and false if too few are
// known to tell.
func (t *runTimes) usual(route string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	times := t.recent(route)
	if len(times) < minUsualRuns {
		return 0, false
	}
	slices.Sort(times)
	return times[int(usualRunShare*float64(len(times)-1))], true
}

// longest returns the longest run of a route, those that have not ended or whose callers have left
// included. It returns false if too few are known to tell.
func (t *runTimes) longest(route string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	times := t.recent(route)
	if len(times) < minLongestRuns {
		return 0, false
	}
	longest := slices.Max(times)
	for _, r := range t.ended[route] {
		if r.left && t.clock.Now().Sub(r.at) < maxRunAge {
			longest = max(longest, r.took)
		}
	}
	for r := range t.running {
		if r.route == route {
			longest = max(longest, t.clock.Now().Sub(r.begunAt))
		}
	}
	return longest, true
}

// recent returns how long the runs of a route took that have ended within maxRunAge and whose callers
// had not left. The caller holds mu.
func (t *runTimes) recent(route string) []time.Duration {
	var times []time.Duration
	now := t.clock.Now()
	for _, r := range t.ended[route] {
		if !r.left && now.Sub(r.at) < maxRunAge {
			times = append(times, r.took)
		}
	}
	return times
}
