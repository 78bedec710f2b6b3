package router

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
)

const (
	// stoppingRetryAfter is when a caller may retry whose request this daemon can no longer
	// finish: other daemons take it at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// runTimeWindow is the time for which run times are remembered, at least; at most twice
	// as long.
	runTimeWindow = 30 * time.Second
	// runTimeMargin is how much longer a run may take than the longest that is remembered.
	runTimeMargin = 2
	// minRuns is the number of remembered runs from which on the longest of them tells how long
	// the next may take.
	minRuns = 50
)

// shutdown is the planned end of the daemon.
type shutdown struct {
	// ended is done once the end has come. Requests that are not answered then fail.
	ended  context.Context
	cancel context.CancelFunc

	// mu guards end.
	mu sync.Mutex
	// end is zero while the daemon is not stopping, or if that takes any time.
	end time.Time
}

func newShutdown() *shutdown {
	s := new(shutdown)
	s.ended, s.cancel = context.WithCancel(context.Background())
	return s
}

// at returns the end, and false if there is none.
func (s *shutdown) at() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.end, !s.end.IsZero()
}

// Stop announces that the daemon stops serving when ctx ends. From now on an attempt is sent only
// if it is expected to be over by the deadline of ctx: the caller can have the request served by
// another daemon. Requests that are still unanswered at the end of ctx fail, and streams break
// off.
func (r *Router) Stop(ctx context.Context) {
	r.shutdown.mu.Lock()
	defer r.shutdown.mu.Unlock()
	r.shutdown.end, _ = ctx.Deadline()
	context.AfterFunc(ctx, r.shutdown.cancel)
}

// endsInTime reports whether an attempt that is sent now is expected to be over when the daemon
// stops.
func (d *dispatch) endsInTime() bool {
	end, stopping := d.router.shutdown.at()
	if !stopping {
		return true
	}
	expected := d.timeLeft()
	if longest, known := d.router.runTimes.longest(d.request.Route.Name); known {
		expected = min(expected, runTimeMargin*longest)
	}
	return !d.router.clock.Now().Add(expected).After(end)
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
	// current holds the runs since rotatedAt, previous those of the window before.
	current, previous map[string]runSummary
	rotatedAt         time.Time
}

// run is one request between its begin and its end.
type run struct {
	route   string
	begunAt time.Time
}

// runSummary is the number of some runs and the longest of them.
type runSummary struct {
	count   int
	longest time.Duration
}

func (s runSummary) add(other runSummary) runSummary {
	return runSummary{count: s.count + other.count, longest: max(s.longest, other.longest)}
}

func newRunTimes(clock timekeeper.Clock) *runTimes {
	return &runTimes{clock: clock, running: make(map[*run]bool), current: make(map[string]runSummary), rotatedAt: clock.Now()}
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
	t.rotate()
	t.current[r.route] = t.current[r.route].add(runSummary{count: 1, longest: t.clock.Now().Sub(r.begunAt)})
}

// longest returns the longest remembered run of a route, those that have not ended included. It
// returns false if there are too few to tell.
func (t *runTimes) longest(route string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate()
	summary := t.current[route].add(t.previous[route])
	for r := range t.running {
		if r.route == route {
			summary.longest = max(summary.longest, t.clock.Now().Sub(r.begunAt))
		}
	}
	return summary.longest, summary.count >= minRuns
}

// rotate starts a new window if the current one is over. The caller holds mu.
func (t *runTimes) rotate() {
	age := t.clock.Now().Sub(t.rotatedAt)
	if age < runTimeWindow {
		return
	}
	t.previous = t.current
	if age >= 2*runTimeWindow {
		t.previous = nil
	}
	t.current, t.rotatedAt = make(map[string]runSummary), t.clock.Now()
}
