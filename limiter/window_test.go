package limiter_test

import (
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
			budget := limiter.NewWindowedBudget(0.2, 5, span, timekeeper.System{})
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
