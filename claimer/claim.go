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
// sealed chunks that the tail names. Claims that arrive together share one
// write, so the number of store calls follows the number of ranges and not the
// number of claims or daemons. Every daemon may write to every range: the
// compare-and-swap on the tail orders the writers, so no lease is needed and a
// daemon that was paused cannot overwrite what came after it.
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
	// Unknown means that nobody can tell any more whether the attempt ran.
	Unknown State = "unknown"
)

var faults = errorx.NewNamespace("claimer")

// Errors of Take. Each proves that the proposed attempt was granted nothing.
var (
	// ErrUnavailable means that the store could not confirm the claim.
	ErrUnavailable = faults.NewType("unavailable").New("claim could not be confirmed")
	// ErrFull means that the range holds as many claims as it may.
	ErrFull = faults.NewType("full").New("claim range is full")
)

// Holder names the process that runs an attempt.
type Holder struct {
	// Sidecar is the name of the process.
	Sidecar string `cbor:"sidecar"`
	// Incarnation changes whenever the process restarts.
	Incarnation string `cbor:"incarnation"`
}

// Claim is one record of a log. The last record of a key is in force.
type Claim struct {
	// Key is the digest of workspace and idempotency key.
	Key string `cbor:"key"`
	// Digest is the digest of the request; a repeat must have the same.
	Digest string `cbor:"digest"`
	// Attempt is the only attempt that may run under this claim.
	Attempt string `cbor:"attempt"`
	Holder  Holder `cbor:"holder"`
	State   State  `cbor:"state"`
	// ProposedAt is when the claim was proposed, by the wall clock of the holder.
	ProposedAt time.Time `cbor:"made"`
	// Answer is the holder's answer, if it is small enough to keep.
	Answer []byte `cbor:"answer,omitempty"`
}

// Options bounds a set of claims.
type Options struct {
	// Ranges is the number of logs. It must not change during the life of a service.
	Ranges int
	// Retention is how long a claim is remembered.
	Retention time.Duration
	// CommitInterval is the least time between two writes to one range.
	CommitInterval time.Duration
	// MaxClaims bounds the claims held of one range.
	MaxClaims int
	// MaxAnswerBytes is the largest answer that is kept with a claim, in bytes.
	MaxAnswerBytes int
}

// DefaultOptions are the bounds for a service whose document is silent.
var DefaultOptions = Options{
	Ranges:         8,
	Retention:      24 * time.Hour,
	CommitInterval: 40 * time.Millisecond,
	MaxClaims:      100_000,
	MaxAnswerBytes: 1024,
}
