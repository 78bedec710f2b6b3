// Package sequencer lets a stream of tokens through only whole and in order.
//
// A Sequence belongs to one request. Pieces may arrive from several attempts,
// late, twice or crossed with those of another request; only the next index of
// the current attempt passes.
package sequencer

import (
	"fmt"

	"github.com/joomcode/errorx"
)

var faults = errorx.NewNamespace("sequencer")

// Errors that end or restrict a sequence.
var (
	// ErrOtherAttempt means that the piece belongs to another attempt.
	ErrOtherAttempt = faults.NewType("foreign").New("piece of another attempt")
	// ErrGap means that at least one token is missing before the piece.
	ErrGap = faults.NewType("gap").New("tokens missing")
	// ErrEnded means that a piece arrived after the end mark.
	ErrEnded = faults.NewType("ended").New("sequence already ended")
	// ErrTokenCount means that the end mark names more tokens than were received.
	ErrTokenCount = faults.NewType("short").New("end mark before the last token")
	// ErrOtherWeightsVersion means that a resumed attempt uses other weights.
	ErrOtherWeightsVersion = faults.NewType("version").New("weights version differs")
)

// Sequence is the state of one stream. It is used by one goroutine.
type Sequence struct {
	// attempt is the only attempt whose pieces are accepted.
	attempt string
	// weights is fixed by the first attempt that is accepted and never changes.
	weights string
	// next is the index of the next token; all below it have passed.
	next int
	// ended is set by the end mark and never cleared.
	ended bool
}

// New returns the sequence of a new stream.
func New() *Sequence { return &Sequence{} }

// Resume returns the sequence of a stream of which the tokens below first were
// delivered earlier on the given weights version.
func Resume(first int, weights string) *Sequence { return &Sequence{next: first, weights: weights} }

// NextIndex returns the index of the token expected next.
func (s *Sequence) NextIndex() int { return s.next }

// Complete reports whether the end mark was accepted.
func (s *Sequence) Complete() bool { return s.ended }

// WeightsVersion returns the version that the stream is bound to, or "".
func (s *Sequence) WeightsVersion() string { return s.weights }

// Begin makes attempt the current one. It fails if the stream is already bound
// to another weights version, since tokens of two versions must not be mixed.
func (s *Sequence) Begin(attempt, weights string) error {
	if s.weights != "" && s.weights != weights {
		return fmt.Errorf("begin attempt %s on %s: %w", attempt, weights, ErrOtherWeightsVersion)
	}
	s.weights = weights
	s.attempt = attempt
	return nil
}

// Accept decides about one token. It returns true if the token must be passed
// on, false if it is a repeat to be dropped, and an error if the attempt cannot
// be continued.
func (s *Sequence) Accept(attempt string, index int) (bool, error) {
	switch {
	case attempt != s.attempt:
		return false, ErrOtherAttempt
	case index < s.next:
		return false, nil
	case s.ended:
		return false, ErrEnded
	case index > s.next:
		return false, fmt.Errorf("token %d while expecting %d: %w", index, s.next, ErrGap)
	}
	s.next++
	return true, nil
}

// End checks the end mark, which names the total number of tokens.
func (s *Sequence) End(attempt string, total int) error {
	switch {
	case attempt != s.attempt:
		return ErrOtherAttempt
	case total != s.next:
		return fmt.Errorf("end mark names %d tokens, %d received: %w", total, s.next, ErrTokenCount)
	}
	s.ended = true
	return nil
}
