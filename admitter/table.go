// Package admitter keeps the attempts of one backend server and tells, for each,
// whether it ran.
//
// The table lives in the process beside the backend server. It is the only
// place that can prove that an attempt did not run: an attempt that was refused
// is recorded as a tombstone before the refusal is sent, so a late copy of it is
// refused as well. The proof holds under one incarnation of the table. A process
// that restarts takes a new incarnation, and every attempt that names an older
// one is refused, so an attempt cannot run twice across a restart either.
package admitter

import (
	"fmt"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/joomcode/errorx"
)

// Outcome is what is known about an attempt.
type Outcome string

// The outcomes of an attempt.
const (
	// Unknown means that the attempt may or may not have run.
	Unknown Outcome = "unknown"
	// NotRun means that the attempt did not run and never will.
	NotRun Outcome = "notRun"
	// Running means that the attempt was started and has not ended.
	Running Outcome = "running"
	// Answered means that the attempt ran and its answer is known.
	Answered Outcome = "answered"
)

var faults = errorx.NewNamespace("admitter")

// Reasons for refusing an attempt. Each is a proof that the attempt did not run.
var (
	// ErrOtherIncarnation means that the attempt names another incarnation of the table.
	ErrOtherIncarnation = faults.NewType("incarnation").New("attempt names another incarnation")
	// ErrGivenUp means that the attempt was given up before it arrived.
	ErrGivenUp = faults.NewType("tombstone").New("attempt was given up earlier")
	// ErrRepeated means that the attempt has been admitted before.
	ErrRepeated = faults.NewType("repeated").New("attempt was admitted earlier")
	// ErrFull means that the table has no room for another attempt.
	ErrFull = faults.NewType("full").New("attempt table is full")
	// ErrLeaving means that the backend server takes no new work.
	ErrLeaving = faults.NewType("leaving").New("backend server is leaving")
)

// record is one attempt in the table.
type record struct {
	outcome Outcome
	// ended is when the outcome became final; zero while running.
	ended time.Time
}

// Limits bounds the table.
type Limits struct {
	// MaxRecords is the largest number of attempts and tombstones kept.
	MaxRecords int
	// Retention is how long an ended attempt is kept. It must exceed the longest
	// time that a copy of an attempt can spend on the way, which is the idle
	// timeout of the connection that carries it plus the deadline of a request.
	Retention time.Duration
}

// Table holds the attempts of one incarnation. It is safe for concurrent use.
type Table struct {
	clock       timekeeper.Clock
	incarnation string
	limits      Limits

	// mu guards the fields below.
	mu sync.Mutex
	// records holds every attempt that was admitted or given up under this
	// incarnation within the last Limits.Keep.
	records map[string]record
	// ended lists ended attempts in the order in which they ended.
	ended []string
	// running counts the records in state Running.
	running int
	// leaving is set once and never cleared under this incarnation.
	leaving bool
}

// New returns an empty table under the given incarnation, which must never have
// been used before.
func New(clock timekeeper.Clock, incarnation string, limits Limits) *Table {
	return &Table{clock: clock, incarnation: incarnation, limits: limits, records: make(map[string]record)}
}

// Incarnation returns the incarnation under which the table decides.
func (t *Table) Incarnation() string { return t.incarnation }

// Leave refuses all new attempts from now on.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// Leaving reports whether Leave was called.
func (t *Table) Leaving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving
}

// Running returns the number of attempts that have started and not ended.
func (t *Table) Running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running
}

// Len returns the number of attempts and tombstones held.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// Admit records the attempt as running. Any error is a proof that this call did
// not start it; except for ErrRepeated, the attempt never runs later either.
func (t *Table) Admit(attempt, incarnation string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if incarnation != t.incarnation {
		return fmt.Errorf("admit under %s: %w", incarnation, ErrOtherIncarnation)
	}
	t.expire()
	if known, ok := t.records[attempt]; ok {
		if known.outcome == NotRun {
			return ErrGivenUp
		}
		return ErrRepeated
	}
	if len(t.records) >= t.limits.MaxRecords {
		return ErrFull
	}
	if t.leaving {
		t.end(attempt, NotRun)
		return ErrLeaving
	}
	t.records[attempt] = record{outcome: Running}
	t.running++
	return nil
}

// Finish records how an admitted attempt ended. NotRun may be given only if
// nothing of the attempt reached the backend server.
func (t *Table) Finish(attempt string, outcome Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.records[attempt]; !ok || known.outcome != Running {
		return
	}
	t.running--
	t.end(attempt, outcome)
}

// Resolve tells what became of an attempt and, if it has not arrived, records a
// tombstone so that it never runs. Without room for the tombstone the outcome is
// Unknown.
func (t *Table) Resolve(attempt, incarnation string) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	if incarnation != t.incarnation {
		return Unknown
	}
	t.expire()
	if known, ok := t.records[attempt]; ok {
		return known.outcome
	}
	if len(t.records) >= t.limits.MaxRecords {
		return Unknown
	}
	t.end(attempt, NotRun)
	return NotRun
}

// end records a final outcome. The caller holds mu.
func (t *Table) end(attempt string, outcome Outcome) {
	t.records[attempt] = record{outcome: outcome, ended: t.clock.Now()}
	t.ended = append(t.ended, attempt)
}

// expire drops ended attempts that are older than Limits.Keep. The caller holds mu.
func (t *Table) expire() {
	now := t.clock.Now()
	dropped := 0
	for _, attempt := range t.ended {
		if now.Sub(t.records[attempt].ended) < t.limits.Retention {
			break
		}
		delete(t.records, attempt)
		dropped++
	}
	t.ended = t.ended[dropped:]
}
