package arbiter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// longTailed returns a function that draws lengths of prompts with a mean and a lognormal spread.
func longTailed(mean, spread, most float64) func(*rand.Rand) int {
	return func(random *rand.Rand) int {
		return int(min(most, max(1, mean*math.Exp(spread*random.NormFloat64()-spread*spread/2))))
	}
}

// servedBySize returns the part of the prompts that was sent: of all, of the largest tenth and of the
// fifth below it.
func servedBySize(prompts []prompt) (all, largest, next float64) {
	sorted := slices.Clone(prompts)
	slices.SortFunc(sorted, func(a, b prompt) int { return b.tokens - a.tokens })
	share := func(part []prompt) float64 {
		sent := 0
		for _, p := range part {
			if p.sent {
				sent++
			}
		}
		return float64(sent) / float64(max(1, len(part)))
	}
	tenth := len(sorted) / 10
	return share(sorted), share(sorted[:tenth]), share(sorted[tenth : 3*tenth])
}

// TestLargestPromptsOfAKindAreServed guards against the largest prompts of a kind of request being
// refused by their size: of no drawn mix of sizes, kinds and workspaces may the largest tenth of a kind,
// or the fifth below it, be sent less than half as often as the whole kind.
func TestLargestPromptsOfAKindAreServed(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		spread := rapid.Float64Range(0.3, 1.5).Draw(t, "spread")
		// What all kinds ask together, as a multiple of what the replica prefills.
		asked := rapid.Float64Range(1.1, 3).Draw(t, "asked")
		urgentShare := rapid.Float64Range(0.1, 0.6).Draw(t, "urgent")
		hotShare := rapid.Float64Range(0, 0.6).Draw(t, "hot")
		streams := []stream{
			{rank: 0, tokens: 1000, drawTokens: longTailed(1000, min(spread, 1), 6000), target: 400 * time.Millisecond, perSecond: asked * urgentShare * tokensPerSecond / 1000, workspace: "a"},
		}
		const mean = 4000
		perSecond := asked * (1 - urgentShare) * tokensPerSecond / mean
		workspaces := 4
		for i := range workspaces {
			part := (1 - hotShare) / float64(workspaces)
			if i == 0 {
				part += hotShare
			}
			streams = append(streams, stream{rank: 2, drawTokens: longTailed(mean, spread, 30_000), target: 1500 * time.Millisecond, perSecond: part * perSecond, workspace: fmt.Sprint(i)})
		}
		l := newLoad(streams, nil)
		l.play()
		all, largest, next := servedBySize(l.prompts[0])
		assert.Assert(t, largest >= all/2 && next >= all/2, "urgent: %.3f of all, %.3f of the largest tenth, %.3f of the fifth below", all, largest, next)
		all, largest, next = servedBySize(slices.Concat(l.prompts[1:]...))
		assert.Assert(t, largest >= all/2 && next >= all/2, "less urgent: %.3f of all, %.3f of the largest tenth, %.3f of the fifth below", all, largest, next)
	})
}

// TestSizeThatCountsIsCaught plays a variant in which the size of a request counts against it.
func TestSizeThatCountsIsCaught(t *testing.T) {
	played := func(configure func(*settings)) (all, largest float64) {
		streams := []stream{{rank: 0, drawTokens: longTailed(1000, 1, 6000), target: 400 * time.Millisecond, perSecond: 40, workspace: "a"}}
		for i, perSecond := range []float64{80, 12, 12, 12} {
			streams = append(streams, stream{rank: 2, drawTokens: longTailed(4000, 1.5, 30_000), target: 1500 * time.Millisecond, perSecond: perSecond, workspace: fmt.Sprint(i)})
		}
		l := newLoad(streams, configure)
		l.play()
		all, largest, _ = servedBySize(slices.Concat(l.prompts[1:]...))
		t.Logf("%.3f of all, %.3f of the largest tenth", all, largest)
		return all, largest
	}
	all, largest := played(nil)
	assert.Assert(t, largest >= all/2)
	all, largest = played(func(s *settings) { s.sizeCounts = true })
	assert.Assert(t, largest < all/2, "the check does not catch that size counts")
}
