package sequencer_test

import (
	"testing"

	"github.com/cyclamenward/cyclamenward/sequencer"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestOnlyCompleteStreamsPass gives a sequence random tokens and end markers of several
// attempts, some repeated, out of order or missing. It checks that only the next token of
// the current attempt is passed on and that a stream ends only if no token is missing.
func TestOnlyCompleteStreamsPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 8).Draw(t, "total")
		first := rapid.IntRange(0, total).Draw(t, "first")
		s := sequencer.Resume(first, "v1")
		current := ""
		delivered := first
		attempts := rapid.SampledFrom([]string{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				attempt := attempts.Draw(t, "attempt")
				version := rapid.SampledFrom([]string{"v1", "v1", "v2"}).Draw(t, "weights")
				err := s.Begin(attempt, version)
				if version != "v1" {
					assert.ErrorIs(t, err, sequencer.ErrOtherWeightsVersion)
					return
				}
				assert.NilError(t, err)
				current = attempt
			},
			"token": func(t *rapid.T) {
				attempt := attempts.Draw(t, "attempt")
				index := rapid.IntRange(0, total+1).Draw(t, "index")
				pass, err := s.Accept(attempt, index)
				if pass {
					assert.NilError(t, err)
					assert.Equal(t, attempt, current)
					assert.Equal(t, index, delivered)
					delivered++
				}
				if attempt != current {
					assert.ErrorIs(t, err, sequencer.ErrOtherAttempt)
				}
				if attempt == current && index > s.NextIndex() && !s.Complete() {
					assert.ErrorIs(t, err, sequencer.ErrGap)
				}
			},
			"end": func(t *rapid.T) {
				attempt := attempts.Draw(t, "attempt")
				claimedTotal := rapid.IntRange(0, total+1).Draw(t, "named")
				if s.End(attempt, claimedTotal) == nil {
					assert.Equal(t, attempt, current)
					assert.Equal(t, claimedTotal, delivered)
				}
			},
			"": func(t *rapid.T) { assert.Equal(t, s.NextIndex(), delivered) },
		})
	})
}
