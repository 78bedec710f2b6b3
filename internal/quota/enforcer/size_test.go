package enforcer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// productAhead is the part of the slack by which entries of the platform may be ahead.
const productAhead = 0.5 * slack

// The kinds of longTailedCosts.
const (
	plainKind = iota
	shortKind
	longKind
)

// longTailed returns a lognormal cost.
func longTailed(random *rand.Rand, mean, spread, most float64) float64 {
	return min(most, mean*math.Exp(spread*random.NormFloat64()-spread*spread/2))
}

// longTailedCosts returns the kind of a request and what it costs: some cost next to nothing, and of the long ones
// the largest are several times their mean.
func longTailedCosts(random *rand.Rand) (kind int, cost float64) {
	switch n := random.IntN(100); {
	case n < 20:
		return plainKind, 200
	case n < 84:
		return shortKind, 600 + longTailed(random, 1800, 1.3, 6900)
	}
	return longKind, 500 + longTailed(random, 4900, 0.7, 14_600) + longTailed(random, 6600, 1.4, 54_600)
}

// longTailedMean is the mean of longTailedCosts.
var longTailedMean = func() float64 {
	random, draws, sum := rand.New(rand.NewPCG(1, 2)), 100_000, 0.0
	for range draws {
		_, cost := longTailedCosts(random)
		sum += cost
	}
	return sum / float64(draws)
}()

// newLongTailedFleet returns a fleet as the platform has it, with longTailedCosts.
func newLongTailedFleet(rate float64, seed uint64) *fleet {
	f := newFleet(23, 8, Quota{Rate: rate, Burst: rate, Unit: Tokens}, seed)
	f.ahead, f.drawCost, f.meanCost = productAhead, longTailedCosts, longTailedMean
	return f
}

// sentBySize returns the part of the requests of a kind that was sent: of all, of the largest tenth and of the
// fifth below it.
func sentBySize(asked []askedRequest, kind int) (all, largest, next float64) {
	sorted := slices.DeleteFunc(slices.Clone(asked), func(r askedRequest) bool { return r.kind != kind })
	slices.SortFunc(sorted, func(a, b askedRequest) int { return int(b.cost - a.cost) })
	share := func(part []askedRequest) float64 {
		sent := 0
		for _, r := range part {
			if r.sent {
				sent++
			}
		}
		return float64(sent) / float64(max(1, len(part)))
	}
	tenth := len(sorted) / 10
	return share(sorted), share(sorted[:tenth]), share(sorted[tenth : 3*tenth])
}

// TestLargeRequestsOfSmallQuotasAreServed guards against requests that are refused by their size: an entry's
// part of the burst is smaller than one of them, though the quota has room for all, or small requests
// take what would have become enough for a large one.
func TestLargeRequestsOfSmallQuotasAreServed(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{36_000, 63_000, 144_000, 300_000, 600_000, 1_760_000} {
		for _, asks := range []float64{0.55, 0.8, 3} {
			t.Run(fmt.Sprint(rate, asks), func(t *testing.T) {
				t.Parallel()
				f := newLongTailedFleet(rate, 1)
				f.startAll()
				f.run(6*time.Second, asks)
				f.asked = nil
				f.run(30*time.Second+time.Duration(3e6/rate)*time.Second, asks)
				for _, kind := range []int{shortKind, longKind} {
					all, largest, next := sentBySize(f.asked, kind)
					t.Logf("kind %d: %.3f sent, of the largest tenth %.3f, of the fifth below %.3f; worst window %.2f", kind, all, largest, next, f.worstWindow())
					assert.Check(t, largest >= all/2 && next >= all/2)
					if asks < 0.7 {
						assert.Check(t, all >= 0.98)
					}
				}
				plain, _, _ := sentBySize(f.asked, plainKind)
				t.Logf("plain: %.3f sent", plain)
				assert.Check(t, f.worstWindow() <= 1)
			})
		}
	}
}
