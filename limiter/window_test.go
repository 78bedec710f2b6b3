package limiter_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/limiter"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestWindowedBudgetHoldsInEverySpan takes every retry that the budget allows, at changing
// request rates, and checks that no span of the window's length has more retries than its
// requests, or those of a span up to one window earlier, allow.
func TestWindowedBudgetHoldsInEverySpan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rates := rapid.SliceOfN(rapid.IntRange(0, 40), 8, 8).Draw(rt, "rates")
		synctest.Test(t, func(*testing.T) {
			const span = 10 * time.Second
			budget := newBudget(time.Time{})
			var requests, retries []time.Duration
			start := time.Now()
			for _, rate := range rates {
				for range 50 {
					for range rate / 10 {
						budget.Earn()
						requests = append(requests, time.Since(start))
					}
					for budget.Spend() {
						retries = append(retries, time.Since(start))
					}
					<-time.After(100 * time.Millisecond)
				}
			}
			count := func(times []time.Duration, from, to time.Duration) (n int) {
				for _, at := range times {
					if at >= from && at < to {
						n++
					}
				}
				return n
			}
			for from := time.Duration(0); from < 40*time.Second; from += time.Second {
				retryCount := count(retries, from, from+span)
				requestCount := max(count(requests, from, from+span), count(requests, from-span/2, from+span/2), count(requests, from-span, from))
				assert.Assert(rt, float64(retryCount) <= 0.2*float64(requestCount)+5, "%d retries of %d requests from %v", retryCount, requestCount, from)
			}
		})
	})
}

// TestWindowedBudgetCountsRetriesForAWholeWindow guards against retries that pile up beyond the
// budget (BUDGET): one at the end of a step left the window up to a step early, so that a span
// of its length had twice what it may have. Spans begin at any moment.
func TestWindowedBudgetCountsRetriesForAWholeWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pauses := rapid.SliceOfN(rapid.IntRange(1, 1100), 8, 24).Draw(rt, "pauses")
		arrivals := rapid.SliceOfN(rapid.IntRange(0, 60), len(pauses), len(pauses)).Draw(rt, "arrivals")
		var requests, retries []time.Duration
		synctest.Test(t, func(*testing.T) {
			budget := newBudget(time.Time{})
			start := time.Now()
			for i, pause := range pauses {
				<-time.After(time.Duration(pause) * 10 * time.Millisecond)
				for range arrivals[i] {
					budget.Earn()
					requests = append(requests, time.Since(start))
				}
				for budget.Spend() {
					retries = append(retries, time.Since(start))
				}
			}
		})
		if share, from := worstSpan(requests, retries); share > 1 {
			rt.Fatalf("%.2f of what the span from %v may have", share, from)
		}
	})
}

// newBudget returns the budget of the only daemon of a fleet.
func newBudget(daemonStart time.Time) *limiter.WindowedBudget {
	return limiter.NewWindowedBudget(limiter.BudgetLimits{Ratio: testRatio, Extra: testExtra, Window: testWindow}, func() float64 { return 1 }, daemonStart, timekeeper.System{})
}

const (
	testRatio  = 0.2
	testExtra  = 5
	testWindow = 10 * time.Second
)

// worstSpan returns the largest number of retries in any span of the window's length, as a multiple
// of what it may have, and where the span begins. Both lists are sorted.
func worstSpan(requests, retries []time.Duration) (worst float64, begin time.Duration) {
	count := func(times []time.Duration, from time.Duration) float64 {
		first, _ := slices.BinarySearch(times, from)
		end, _ := slices.BinarySearch(times, from+testWindow)
		return float64(end - first)
	}
	for _, from := range retries {
		requestCount := max(count(requests, from), count(requests, from-testWindow/2), count(requests, from-testWindow))
		if share := count(retries, from) / (testRatio*requestCount + testExtra); share > worst {
			worst, begin = share, from
		}
	}
	return worst, begin
}
