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

// TestWindowHoldsInEverySpan spends whenever it may, at changing rates. No span of
// the window's length has more repeats than its requests, or those of the span
// before it, allow.
func TestWindowHoldsInEverySpan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rates := rapid.SliceOfN(rapid.IntRange(0, 40), 8, 8).Draw(rt, "rates")
		synctest.Test(t, func(*testing.T) {
			const span = 10 * time.Second
			w := limiter.NewWindowedBudget(0.2, 5, span, timekeeper.System{})
			var requests, repeats []time.Duration
			began := time.Now()
			for _, rate := range rates {
				for range 50 {
					for range rate / 10 {
						w.Earn()
						requests = append(requests, time.Since(began))
					}
					for w.Spend() {
						repeats = append(repeats, time.Since(began))
					}
					<-time.After(100 * time.Millisecond)
				}
			}
			count := func(list []time.Duration, from, to time.Duration) (n int) {
				for _, at := range list {
					if at >= from && at < to {
						n++
					}
				}
				return n
			}
			for from := time.Duration(0); from < 40*time.Second; from += time.Second {
				sent := count(repeats, from, from+span)
				asked := max(count(requests, from, from+span), count(requests, from-span/2, from+span/2), count(requests, from-span, from))
				assert.Assert(rt, float64(sent) <= 0.2*float64(asked)+5, "%d repeats of %d requests from %v", sent, asked, from)
			}
		})
	})
}
