package sequencer_test

import (
	"testing"

	"github.com/cyclamenward/cyclamenward/sequencer"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestOnlyWholeStreamsPass feeds a sequence with frames of several attempts,
// repeated, reordered, missing and foreign, and checks that what passes is always
// the next token and that a stream is whole only if nothing is missing.
func TestOnlyWholeStreamsPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 8).Draw(t, "total")
		first := rapid.IntRange(0, total).Draw(t, "first")
		s := sequencer.Resume(first, "v1")
		current := ""
		passed := first
		attempts := rapid.SampledFrom([]string{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				attempt := attempts.Draw(t, "attempt")
				weights := rapid.SampledFrom([]string{"v1", "v1", "v2"}).Draw(t, "weights")
				err := s.Begin(attempt, weights)
				if weights != "v1" {
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
					assert.Equal(t, index, passed)
					passed++
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
				named := rapid.IntRange(0, total+1).Draw(t, "named")
				if s.End(attempt, named) == nil {
					assert.Equal(t, attempt, current)
					assert.Equal(t, named, passed)
				}
			},
			"": func(t *rapid.T) { assert.Equal(t, s.NextIndex(), passed) },
		})
	})
}
