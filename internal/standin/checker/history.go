// Package checker records what the callers, replicas and operators of a fleet see, and finds
// broken promises in it.
package checker

import (
	"fmt"
	"sync"
	"time"
)

// Kind says how often a request may run.
type Kind int

// Kinds of requests.
const (
	// AtMostOnce may run once.
	AtMostOnce Kind = iota
	// Repeatable may run again as a whole.
	Repeatable
	// Resumable is a stream that may be continued behind its last event.
	Resumable
)

// Request is what a caller sends.
type Request struct {
	ID, Machine, Method, Path, Body, Workspace string
	// Service is the service that the request is for.
	Service string
	// Prompt is the field of the parts of the prompt, "" for plain services.
	Prompt string
	// ContentType is "" if the request names none.
	ContentType string
	Kind        Kind
	// Events is the number of events of its stream, 0 if its answer is none.
	Events int
	// Timeout is the smaller one of the caller's deadline and the route's timeout.
	Timeout     time.Duration
	MaxAttempts int
	// Tokens is what the request takes of its workspace's quota.
	Tokens float64
	// Since and Until are the first and the last version of the configuration with its route,
	// 0 if all have it.
	Since, Until int
	SentAt       time.Time
}

// Arrival is what a replica gets.
type Arrival struct {
	ID, Replica, Method, Path, Body, Workspace, Prompt string
	// Authorization is the caller's key, which replicas must not get.
	Authorization string
	// After is the last event that the caller has, -1 if none.
	After int
	// Weights is the version of the replica's weights, 0 for plain services.
	Weights int
	// Deadline is how much time the replica is given, 0 if it is not named.
	Deadline time.Duration
	Runs     bool
	At       time.Time
}

// Run is one arrival at a replica.
type Run struct {
	Arrival
	history *History
	// Guarded by history.mu. brokeOff is set if the replica ended it early, and endedAt is zero
	// while it runs.
	endedAt  time.Time
	brokeOff bool
	// progressAt is when it made its first event.
	progressAt time.Time
	// pause is how long the replica wants nothing from the machine after endedAt.
	pause time.Duration
}

// Reject records that the replica does not run the request, and asks for a pause if it is not 0.
func (r *Run) Reject(pause time.Duration) {
	r.End(false)
	r.history.mu.Lock()
	defer r.history.mu.Unlock()
	r.pause = pause
}

// Progress records that the run made an event.
func (r *Run) Progress() {
	r.history.mu.Lock()
	defer r.history.mu.Unlock()
	if r.progressAt.IsZero() {
		r.progressAt = time.Now()
	}
}

// End records the end of the run. brokeOff says that the replica ended it early.
func (r *Run) End(brokeOff bool) {
	r.history.mu.Lock()
	defer r.history.mu.Unlock()
	r.endedAt, r.brokeOff = time.Now(), brokeOff
}

// Event is one event of a stream.
type Event struct {
	ID   int
	Data string
}

// Answer is what a caller gets.
type Answer struct {
	ID string
	// Status is 0 if the connection ended before the head.
	Status     int
	Seal, Body string
	Events     []Event
	// Complete is set if the answer ended as its protocol says.
	Complete bool
	// Whole is when the last byte of the request was sent, zero if it was not.
	Whole time.Time
	// RetryAfter is when a refused caller may come back, 0 if the answer does not say.
	RetryAfter time.Duration
	// Abandoned is set if the caller gave up first.
	Abandoned bool
	EndedAt   time.Time
}

// Disturbance is one fault that struck a target: a machine, a replica, or the store.
type Disturbance struct {
	Target, Fault string
	// Planned disturbances, such as SIGTERM, do not excuse a loss.
	Planned bool
	// To is zero while it lasts.
	From, To time.Time
}

// StoreTarget is the target of faults of the store.
const StoreTarget = "store"

// LinkTarget is the target of faults of the links to a replica.
func LinkTarget(replica string) string { return replica + "/link" }

// Version is a configuration or a version of weights that an operator wrote.
type Version struct {
	Number        int
	SentAt, AckAt time.Time
	// Quotas holds the quotas of a configuration by workspace.
	Quotas map[string]Quota
}

// Order is an order to a replica.
type Order struct {
	// Replica names one incarnation of a replica.
	Replica, Holder string
	Fence           uint64
	At              time.Time
}

// exchange is a request with all that is known of it.
type exchange struct {
	Request
	runs   []*Run
	answer *Answer
}

// History collects what is seen. Its methods can be called concurrently.
type History struct {
	bounds Bounds

	// mu guards the fields below and those of all runs.
	mu             sync.Mutex
	exchanges      map[string]*exchange
	order          []*exchange
	unknown        []*Run
	disturbances   []*Disturbance
	configurations []Version
	weights        []Version
	orders         []Order
	uses           []Use
	// left holds when the store acknowledged that a replica leaves.
	left map[string]time.Time
}

// New returns an empty history.
func New(bounds Bounds) *History {
	return &History{bounds: bounds, exchanges: make(map[string]*exchange), left: make(map[string]time.Time)}
}

// Send records that a caller begins to send a request.
func (h *History) Send(request Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := &exchange{Request: request}
	h.exchanges[request.ID] = x
	h.order = append(h.order, x)
}

// Arrive records that a request has reached a replica.
func (h *History) Arrive(arrival Arrival) *Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	run := &Run{Arrival: arrival, history: h}
	if x := h.exchanges[arrival.ID]; x != nil {
		x.runs = append(x.runs, run)
	} else {
		h.unknown = append(h.unknown, run)
	}
	return run
}

// Answer records what a caller got.
func (h *History) Answer(answer Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exchanges[answer.ID].answer = &answer
}

// Disturb records that a fault begins and returns a function that records its end.
func (h *History) Disturb(target, fault string, planned bool) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := &Disturbance{Target: target, Fault: fault, Planned: planned, From: time.Now()}
	h.disturbances = append(h.disturbances, d)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		d.To = time.Now()
	}
}

// Configure records a configuration, WantWeights a version of weights.
func (h *History) Configure(version Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configurations = append(h.configurations, version)
}

// WantWeights records that an operator named a version of weights.
func (h *History) WantWeights(version Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.weights = append(h.weights, version)
}

// RecordOrder records an order that a replica got.
func (h *History) RecordOrder(order Order) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.orders = append(h.orders, order)
}

// RecordUse records that a request used a cached part.
func (h *History) RecordUse(use Use) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.uses = append(h.uses, use)
}

// Leave records that the store acknowledged that a replica leaves.
func (h *History) Leave(replica string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.left[replica] = time.Now()
}

// calm reports whether no unplanned fault struck one of the targets in a span. The caller holds mu.
func (h *History) calm(from, to time.Time, targets ...string) bool {
	for _, d := range h.disturbances {
		if d.Planned || d.From.After(to) || !d.To.IsZero() && d.To.Before(from) {
			continue
		}
		for _, target := range targets {
			if d.Target == target {
				return false
			}
		}
	}
	return true
}

// stopBefore returns when the last SIGTERM before a time was sent to a machine. The caller holds mu.
func (h *History) stopBefore(machine string, at time.Time) (time.Time, bool) {
	for i := len(h.disturbances) - 1; i >= 0; i-- {
		if d := h.disturbances[i]; d.Target == machine && d.Fault == FaultStop && d.From.Before(at) {
			return d.From, d.To.IsZero() || d.To.After(at)
		}
	}
	return time.Time{}, false
}

// FaultStop is the name of a planned stop by SIGTERM, FaultCrash that of a crash of a model replica.
const (
	FaultStop  = "TERM"
	FaultCrash = "MODEL REPLICA RESTART"
)

// Faults returns a line for each fault that struck, in order.
func (h *History) Faults() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var lines []string
	for _, d := range h.disturbances {
		lines = append(lines, fmt.Sprintf("%s to %s %s: %s", d.From.Format(time.StampMicro), d.To.Format(time.StampMicro), d.Target, d.Fault))
	}
	return lines
}

// Summary counts requests, answers and faults.
type Summary struct {
	Requests, Answered, Refused, Cut int
	// Repeats counts the arrivals beyond the first of each request, Resumptions the runs that went
	// on with a stream. Orders and CacheUses count what ONE, STALE and WALL are about.
	Repeats, Resumptions, Orders, CacheUses int
	Budget                                  BudgetShares
	// Cuts counts the requests that ended without a complete answer, by what is known of them.
	Cuts   map[string]int
	Faults map[string]int
}

// Summary returns the counts up to now.
func (h *History) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := Summary{Requests: len(h.order), Orders: len(h.orders), CacheUses: len(h.uses), Faults: make(map[string]int)}
	for _, x := range h.order {
		switch {
		case x.answer == nil:
		case x.answer.Complete && x.answer.Status < 300:
			s.Answered++
		case x.answer.Complete:
			s.Refused++
		default:
			s.Cut++
		}
		s.Repeats += max(0, len(x.runs)-1)
		for _, run := range x.ran() {
			if run.After >= 0 {
				s.Resumptions++
			}
		}
	}
	for _, d := range h.disturbances {
		s.Faults[d.Fault]++
	}
	s.Budget, s.Cuts = h.budgetShares(), h.cuts()
	return s
}
