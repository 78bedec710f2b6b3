// Package admitter records the attempts of one backend server and reports, for each,
// whether it ran.
//
// The table lives in the process beside the backend server. It is the only
// place that can prove that an attempt did not run: before the process sends a refusal,
// it records the attempt as a tombstone by Resolve, so a late copy of it is refused as
// well. The proof holds under one incarnation of the table. A process that restarts
// takes a new incarnation, and every attempt that names another one is refused, so an
// attempt cannot run twice across a restart either.
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
	// Answered means that the attempt ran to its end and was answered.
	Answered Outcome = "answered"
)

var faults = errorx.NewNamespace("admitter")

// Reasons for refusing an attempt. Each proves that the refused copy did not start the
// attempt.
var (
	// ErrOtherIncarnation means that the attempt names another incarnation of the table.
	ErrOtherIncarnation = faults.NewType("incarnation").New("attempt names another incarnation")
	// ErrGivenUp means that the attempt was given up before it arrived.
	ErrGivenUp = faults.NewType("tombstone").New("attempt was given up earlier")
	// ErrRepeated means that the attempt has been admitted before.
	ErrRepeated = faults.NewType("repeated").New("attempt was admitted earlier")
	// ErrFull means that the table has no room for another attempt, nor for its
	// tombstone, so a later copy of the attempt may be admitted.
	ErrFull = faults.NewType("full").New("attempt table is full")
	// ErrLeaving means that the backend server takes no new work.
	ErrLeaving = faults.NewType("leaving").New("backend server is leaving")
)

// record is what the table knows about one attempt. A tombstone is a record with the
// outcome NotRun.
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
	// time that a copy of an attempt can be in transit, which is the idle
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
	// records holds the attempts under this incarnation that are running, or that
	// ended or were given up within the last Limits.Retention, by attempt.
	records map[string]record
	// ended lists ended and given up attempts in the order in which they ended.
	ended []string
	// running counts the records in state Running.
	running int
	// leaving is set once and never cleared under this incarnation.
	leaving bool
}

// New returns an empty table under the given incarnation, which no other table may
// have used before.
func New(clock timekeeper.Clock, incarnation string, limits Limits) *Table {
	return &Table{clock: clock, incarnation: incarnation, limits: limits, records: make(map[string]record)}
}

// Incarnation returns the incarnation that attempts must name to be admitted.
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

// Admit records the attempt as running. Any error is a proof that this call did not
// start it. Except after ErrRepeated and ErrFull, the attempt does not run later under
// this incarnation either.
func (t *Table) Admit(attempt, incarnation string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if incarnation != t.incarnation {
		return fmt.Errorf("admit under %s: %w", incarnation, ErrOtherIncarnation)
	}
	t.dropExpired()
	if existing, ok := t.records[attempt]; ok {
		if existing.outcome == NotRun {
			return ErrGivenUp
		}
		return ErrRepeated
	}
	if len(t.records) >= t.limits.MaxRecords {
		return ErrFull
	}
	if t.leaving {
		t.recordEnded(attempt, NotRun)
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
	if existing, ok := t.records[attempt]; !ok || existing.outcome != Running {
		return
	}
	t.running--
	t.recordEnded(attempt, outcome)
}

// Resolve returns the outcome of an attempt. If the attempt has not arrived, it records
// a tombstone, so that the attempt never runs, and returns NotRun. If the table has no
// room for the tombstone or another incarnation, it returns Unknown.
func (t *Table) Resolve(attempt, incarnation string) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	if incarnation != t.incarnation {
		return Unknown
	}
	t.dropExpired()
	if existing, ok := t.records[attempt]; ok {
		return existing.outcome
	}
	if len(t.records) >= t.limits.MaxRecords {
		return Unknown
	}
	t.recordEnded(attempt, NotRun)
	return NotRun
}

// recordEnded records the final outcome of an attempt. The caller holds mu.
func (t *Table) recordEnded(attempt string, outcome Outcome) {
	t.records[attempt] = record{outcome: outcome, ended: t.clock.Now()}
	t.ended = append(t.ended, attempt)
}

// dropExpired removes attempts that ended Limits.Retention ago or earlier. The caller
// holds mu.
func (t *Table) dropExpired() {
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
