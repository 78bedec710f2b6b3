// Package claimer makes sure that a request with an idempotency key runs at most
// once, however often and wherever it is repeated.
//
// A claim binds a key to the one attempt that may run. It is committed to the
// platform's key-value service before the attempt starts and is never given to
// another attempt, except after the holder has proved that the first did not
// run. Its only later states are answered, notRun and unknown.
//
// The keys of a service are spread over a fixed number of ranges. A range is a
// log in the store: a small tail that is replaced by compare-and-swap, and
// sealed chunks that the tail lists. Claims that arrive together share one
// write, so the number of store calls follows the number of ranges and not the
// number of claims or daemons. Every daemon may write to every range: the
// compare-and-swap on the tail orders the writers, so no lease is needed and a
// daemon that was paused cannot overwrite what was committed meanwhile.
package claimer

import (
	"time"

	"github.com/joomcode/errorx"
)

// State is what is known about the attempt that holds a claim.
type State string

// The states of a claim.
const (
	// Claimed means that the attempt may be running or may have run.
	Claimed State = "claimed"
	// Answered means that the attempt ran.
	Answered State = "answered"
	// NotRun means that the attempt did not run and never will; the key is free.
	NotRun State = "notRun"
	// Unknown means that it can no longer be found out whether the attempt ran.
	Unknown State = "unknown"
)

var faults = errorx.NewNamespace("claimer")

// Errors of Take. Each means that the claim was not granted to the proposed
// attempt, which must not run.
var (
	// ErrUnavailable means that the store could not confirm the claim.
	ErrUnavailable = faults.NewType("unavailable").New("claim could not be confirmed")
	// ErrFull means that the range already holds Options.MaxClaims claims.
	ErrFull = faults.NewType("full").New("claim range is full")
)

// Holder names the process that runs an attempt.
type Holder struct {
	// Sidecar is the name of the process.
	Sidecar string `cbor:"sidecar"`
	// Incarnation changes whenever the process restarts.
	Incarnation string `cbor:"incarnation"`
}

// Claim is one record of a range's log. The last record of a key is in force.
type Claim struct {
	// Key is the digest of workspace and idempotency key.
	Key string `cbor:"key"`
	// Digest is the digest of the request; a repeated request must have the same.
	Digest string `cbor:"digest"`
	// Attempt is the only attempt that may run under this claim.
	Attempt string `cbor:"attempt"`
	// Holder is the process that runs the attempt.
	Holder Holder `cbor:"holder"`
	State  State  `cbor:"state"`
	// ProposedAt is when the claim was proposed, by the wall clock of the holder.
	ProposedAt time.Time `cbor:"made"`
	// Answer is the answer of the attempt, if it has at most
	// Options.MaxAnswerBytes.
	Answer []byte `cbor:"answer,omitempty"`
}

// Options configures the claims of a service.
type Options struct {
	// Ranges is the number of logs that the keys are spread over. It must not
	// change during the life of a service, since it decides which log holds a key.
	Ranges int
	// Retention is how long a claim is remembered.
	Retention time.Duration
	// CommitInterval is the least time between two writes to one range.
	CommitInterval time.Duration
	// MaxClaims is the largest number of claims that one range holds.
	MaxClaims int
	// MaxAnswerBytes is the largest answer that is kept with a claim, in bytes.
	MaxAnswerBytes int
}

// DefaultOptions apply where the document of a service sets nothing else.
var DefaultOptions = Options{
	Ranges:         8,
	Retention:      24 * time.Hour,
	CommitInterval: 40 * time.Millisecond,
	MaxClaims:      100_000,
	MaxAnswerBytes: 1024,
}
