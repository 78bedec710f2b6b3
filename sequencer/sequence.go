// Package sequencer makes sure that the tokens of a stream are passed on in order,
// once each and without gaps.
//
// A Sequence belongs to one request. Tokens may arrive from several attempts,
// late, twice or mixed up with those of another request; only the token with the
// next index, from the current attempt, is passed on.
package sequencer

import (
	"fmt"

	"github.com/joomcode/errorx"
)

var faults = errorx.NewNamespace("sequencer")

// Reasons for refusing a token, an end marker or an attempt.
var (
	// ErrOtherAttempt means that the token or end marker belongs to another attempt
	// than the current one.
	ErrOtherAttempt = faults.NewType("foreign").New("piece of another attempt")
	// ErrGap means that at least one token is missing before the given one.
	ErrGap = faults.NewType("gap").New("tokens missing")
	// ErrEnded means that a further token arrived after the end marker.
	ErrEnded = faults.NewType("ended").New("sequence already ended")
	// ErrTokenCount means that the end marker names another number of tokens than
	// were received.
	ErrTokenCount = faults.NewType("short").New("end mark before the last token")
	// ErrOtherWeightsVersion means that an attempt uses another weights version than
	// the stream is bound to.
	ErrOtherWeightsVersion = faults.NewType("version").New("weights version differs")
)

// Sequence is the state of one stream. It is used by one goroutine.
type Sequence struct {
	// attempt is the only attempt whose tokens are accepted.
	attempt string
	// version is the weights version of the stream. It is fixed by Resume or by the
	// first Begin and never changes.
	version string
	// next is the index of the next token; all below it have been passed on.
	next int
	// complete is set by the end marker and never cleared.
	complete bool
}

// New returns the sequence of a new stream.
func New() *Sequence { return &Sequence{} }

// Resume returns the sequence of a stream whose tokens below index first were delivered
// earlier and were made with the given weights version.
func Resume(first int, version string) *Sequence { return &Sequence{next: first, version: version} }

// NextIndex returns the index of the token expected next.
func (s *Sequence) NextIndex() int { return s.next }

// Complete reports whether the end marker was accepted, so that no token is missing.
func (s *Sequence) Complete() bool { return s.complete }

// WeightsVersion returns the weights version that the stream is bound to, or "" before
// the first attempt.
func (s *Sequence) WeightsVersion() string { return s.version }

// Begin makes attempt the current one. It fails if the stream is already bound
// to another weights version, since tokens of two versions must not be mixed.
func (s *Sequence) Begin(attempt, version string) error {
	if s.version != "" && s.version != version {
		return fmt.Errorf("begin attempt %s on %s: %w", attempt, version, ErrOtherWeightsVersion)
	}
	s.version = version
	s.attempt = attempt
	return nil
}

// Accept decides about the token of an attempt with the given index. It returns true if
// the token must be passed on, false and no error if it is a repeat to be dropped, and
// an error if it is refused. After any error but ErrOtherAttempt the attempt cannot be
// continued.
func (s *Sequence) Accept(attempt string, index int) (bool, error) {
	switch {
	case attempt != s.attempt:
		return false, ErrOtherAttempt
	case index < s.next:
		return false, nil
	case s.complete:
		return false, ErrEnded
	case index > s.next:
		return false, fmt.Errorf("token %d while expecting %d: %w", index, s.next, ErrGap)
	}
	s.next++
	return true, nil
}

// End accepts the end marker of an attempt, which names the total number of tokens. It
// returns an error if the attempt is not the current one or if the total differs from
// the number of tokens received.
func (s *Sequence) End(attempt string, total int) error {
	switch {
	case attempt != s.attempt:
		return ErrOtherAttempt
	case total != s.next:
		return fmt.Errorf("end mark names %d tokens, %d received: %w", total, s.next, ErrTokenCount)
	}
	s.complete = true
	return nil
}
