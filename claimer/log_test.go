package claimer_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/claimer"
	"github.com/cyclamenward/cyclamenward/internal/standin/keyvalue"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// newClaims returns the claims of a service for a holder of the given name.
func newClaims(state *keyvalue.State, holder string, options claimer.Options) *claimer.Claims {
	return claimer.New(state.Store(), timekeeper.System{}, "booking", claimer.Holder{Sidecar: holder, Incarnation: holder + "-1"}, options)
}

// TestClaimsSurviveSealing fills a range until its records move to chunks and
// checks that another process still finds every claim and its answer.
func TestClaimsSurviveSealing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := keyvalue.New(timekeeper.System{}, 1)
		options := claimer.DefaultOptions
		options.Ranges = 1
		first := newClaims(state, "first", options)
		const count = 600
		for i := range count {
			key, attempt := fmt.Sprintf("key-%d", i), fmt.Sprintf("attempt-%d", i)
			claim, err := first.Take(t.Context(), key, "digest", attempt)
			assert.NilError(t, err)
			assert.Equal(t, claim.Attempt, attempt)
			first.RecordOutcome(key, attempt, claimer.Answered, []byte("answer "+key))
		}
		assert.NilError(t, first.Flush(t.Context()))
		first.Close()
		second := newClaims(state, "second", options)
		for i := range count {
			key := fmt.Sprintf("key-%d", i)
			claim, err := second.Take(t.Context(), key, "digest", "late")
			assert.NilError(t, err)
			assert.Equal(t, claim.State, claimer.Answered, key)
			assert.Equal(t, string(claim.Answer), "answer "+key)
		}
		second.Close()
	})
}

// TestClaimsExpire takes claims with answers for several times the retention time. The
// store holds those of the retention time and of the clock skew, and no more others than
// fit into a chunk that is not full and the tail.
func TestClaimsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			interval = 10 * time.Second
			// claimBytes is more than an encoded claim with its answer takes.
			claimBytes, answerBytes = 700, 500
			// keptClaims are those of an hour and of the clock skew of ten minutes.
			keptClaims = int(70 * time.Minute / interval)
			// unsealedBytes is the size of a chunk that is not full, and of the tail.
			unsealedBytes = 256<<10 + 2*16<<10
		)
		state := keyvalue.New(timekeeper.System{}, 1)
		options := claimer.DefaultOptions
		options.Ranges, options.Retention = 1, time.Hour
		claims := newClaims(state, "first", options)
		storedBytes := func() int {
			entries, err := state.Store().List(t.Context(), "claims/")
			assert.NilError(t, err)
			size := 0
			for _, entry := range entries {
				size += len(entry.Value)
			}
			return size
		}
		for i := range 2000 {
			key, attempt := fmt.Sprintf("key-%d", i), fmt.Sprintf("attempt-%d", i)
			_, err := claims.Take(t.Context(), key, "digest", attempt)
			assert.NilError(t, err)
			claims.RecordOutcome(key, attempt, claimer.Answered, make([]byte, answerBytes))
			<-time.After(interval)
			if i%50 == 0 {
				size := storedBytes()
				assert.Assert(t, size < min(i+1, keptClaims)*claimBytes+unsealedBytes, "%d bytes after %d claims", size, i+1)
			}
		}
		claims.Close()
	})
}

// TestFullRangeAnswersRepeats fills a range: a new key is refused, and a repeat of a
// claimed one gets the claim and its answer.
func TestFullRangeAnswersRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := keyvalue.New(timekeeper.System{}, 1)
		options := claimer.DefaultOptions
		options.Ranges, options.MaxClaims = 1, 3
		claims := newClaims(state, "first", options)
		defer claims.Close()
		for i := range options.MaxClaims {
			key, attempt := fmt.Sprintf("key-%d", i), fmt.Sprintf("attempt-%d", i)
			_, err := claims.Take(t.Context(), key, "digest", attempt)
			assert.NilError(t, err)
			claims.RecordOutcome(key, attempt, claimer.Answered, []byte("answer "+key))
		}
		_, err := claims.Take(t.Context(), "new", "digest", "attempt-new")
		assert.ErrorIs(t, err, claimer.ErrFull)
		claim, err := claims.Take(t.Context(), "key-1", "digest", "attempt-again")
		assert.NilError(t, err)
		assert.Equal(t, claim.Attempt, "attempt-1")
		assert.Equal(t, string(claim.Answer), "answer key-1")
	})
}

// TestFullRangeFreesExpiredClaims guards against a range that, once full, refused new keys for
// good: it wrote nothing any more, and only a write dropped expired claims.
func TestFullRangeFreesExpiredClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := keyvalue.New(timekeeper.System{}, 1)
		options := claimer.DefaultOptions
		options.Ranges, options.MaxClaims, options.Retention = 1, 300, time.Hour
		claims := newClaims(state, "first", options)
		defer claims.Close()
		for i := range options.MaxClaims {
			_, err := claims.Take(t.Context(), fmt.Sprintf("key-%d", i), "digest", fmt.Sprintf("attempt-%d", i))
			assert.NilError(t, err)
		}
		_, err := claims.Take(t.Context(), "new", "digest", "attempt-new")
		assert.ErrorIs(t, err, claimer.ErrFull)
		<-time.After(2 * options.Retention)
		claim, err := claims.Take(t.Context(), "new", "digest", "attempt-new")
		assert.NilError(t, err)
		assert.Equal(t, claim.Attempt, "attempt-new")
		restarted := newClaims(state, "second", options)
		defer restarted.Close()
		claim, err = restarted.Take(t.Context(), "newer", "digest", "attempt-newer")
		assert.NilError(t, err)
		assert.Equal(t, claim.Attempt, "attempt-newer")
	})
}

// TestNoStoreCallsWhileIdle checks that no store calls are made once all outcomes
// are committed and no claims are taken.
func TestNoStoreCallsWhileIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := keyvalue.New(timekeeper.System{}, 1)
		claims := newClaims(state, "first", claimer.DefaultOptions)
		_, err := claims.Take(t.Context(), "key", "digest", "attempt")
		assert.NilError(t, err)
		claims.RecordOutcome("key", "attempt", claimer.Answered, nil)
		assert.NilError(t, claims.Flush(t.Context()))
		before := state.Counts()
		<-time.After(time.Hour)
		assert.Equal(t, state.Counts(), before)
		claims.Close()
	})
}

// TestAbandonedGrantIsReleased checks that a key is free again after a proposal
// whose caller stopped waiting before the claim was committed.
func TestAbandonedGrantIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := keyvalue.New(timekeeper.System{}, 1)
		state.SetFaults(keyvalue.Faults{Delay: 100 * time.Millisecond})
		claims := newClaims(state, "first", claimer.DefaultOptions)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := claims.Take(ctx, "key", "digest", "gone")
		assert.ErrorIs(t, err, claimer.ErrUnavailable)
		<-time.After(time.Second)
		claim, err := claims.Take(t.Context(), "key", "digest", "next")
		assert.NilError(t, err)
		assert.Equal(t, claim.Attempt, "next")
		claims.Close()
	})
}

// BenchmarkClaims measures the rate of claims and of the store writes for them, with
// 512 clients that are always busy and a store that answers after five milliseconds.
func BenchmarkClaims(b *testing.B) {
	for _, ranges := range []int{1, 4, 8} {
		b.Run(fmt.Sprintf("ranges=%d", ranges), func(b *testing.B) {
			state := keyvalue.New(timekeeper.System{}, 1)
			state.SetFaults(keyvalue.Faults{Delay: 5 * time.Millisecond})
			options := claimer.DefaultOptions
			options.Ranges = ranges
			options.MaxClaims = 1 << 30
			claims := newClaims(state, "first", options)
			defer claims.Close()
			var next atomic.Int64
			var group sync.WaitGroup
			start := time.Now()
			for range 512 {
				group.Add(1)
				go func() {
					defer group.Done()
					for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
						key, attempt := fmt.Sprintf("key-%d", n), fmt.Sprintf("attempt-%d", n)
						if _, err := claims.Take(context.Background(), key, "digest", attempt); err != nil {
							b.Error(err)
							return
						}
						claims.RecordOutcome(key, attempt, claimer.Answered, nil)
					}
				}()
			}
			group.Wait()
			seconds := time.Since(start).Seconds()
			b.ReportMetric(float64(b.N)/seconds, "claims/s")
			b.ReportMetric(float64(state.Counts().Writes)/seconds, "storeWrites/s")
		})
	}
}
