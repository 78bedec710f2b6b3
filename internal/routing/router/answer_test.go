package router

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestBoundStreamGoesOnOnItsWeights breaks a stream off on a route that keeps to the
// weights: of the other replicas only the one with the same weights may go on with it.
func TestBoundStreamGoesOnOnItsWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(3, func(n int, a *Attempt) (*Reply, error) {
			reply := stream(int64(2*n-2), int64(2*n-1), errLost)
			reply.WeightsVersion = a.WeightsVersion
			return reply, nil
		})
		b.pool.SetReplicas([]Descriptor{descriptor(0, 1), descriptor(1, 1), descriptor(2, 2)})
		r := route(Streaming, 9, true)
		r.SameWeights = true
		request := modelRequest(r, PromptPart{"own", 100})
		request.WeightsVersion = 1
		ids, err := drain(b.router.Begin(request).Stream)
		assert.ErrorIs(t, err, errLost)
		assert.DeepEqual(t, ids, []int64{0, 1, 2, 3})
		assert.Equal(t, len(b.attempts), 2, "the third replica has other weights")
		for _, a := range b.attempts {
			assert.Equal(t, a.WeightsVersion, 1)
			assert.Assert(t, a.ReplicaID != "i-2")
		}
	})
}

// TestResumeGoesOnBehindARejection breaks a stream off and rejects the first attempt to
// go on with it.
func TestResumeGoesOnBehindARejection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(3, func(n int, _ *Attempt) (*Reply, error) {
			switch n {
			case 1:
				return stream(0, 1, errLost), nil
			case 2:
				return rejection(), nil
			}
			return stream(2, 3, io.EOF), nil
		})
		ids, err := drain(b.router.Begin(modelRequest(route(Streaming, 2, true), PromptPart{"own", 100})).Stream)
		assert.ErrorIs(t, err, io.EOF)
		assert.DeepEqual(t, ids, []int64{0, 1, 2, 3})
	})
}

// TestGrownStreamsAreRenewed loses every replica behind one event. A route whose streams
// are renewed goes on as long as the stream grows, another as often as it says.
func TestGrownStreamsAreRenewed(t *testing.T) {
	for _, renewed := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			b := newBed(4, func(n int, _ *Attempt) (*Reply, error) {
				if n == 20 {
					return stream(19, 19, io.EOF), nil
				}
				return stream(int64(n-1), int64(n-1), errLost), nil
			})
			r := route(Streaming, 2, true)
			r.RenewAttempts = renewed
			r.Timeout = 2 * time.Minute
			relay := b.router.Begin(modelRequest(r, PromptPart{"own", 100})).Stream
			defer relay.Close()
			events := 0
			for {
				<-time.After(avoidMost)
				_, err := relay.Next()
				if err != nil {
					assert.Equal(t, errors.Is(err, io.EOF), renewed)
					break
				}
				events++
			}
			assert.Equal(t, events, map[bool]int{true: 20, false: 2}[renewed])
		})
	}
}

// TestStreamThatDoesNotGrowEnds renews a stream once, and then no replica adds to it.
func TestStreamThatDoesNotGrowEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(6, func(int, *Attempt) (*Reply, error) { return stream(0, 0, errLost), nil })
		r := route(Streaming, 3, true)
		r.RenewAttempts = true
		_, err := drain(b.router.Begin(modelRequest(r, PromptPart{"own", 100})).Stream)
		assert.ErrorIs(t, err, errLost)
		assert.Equal(t, len(b.attempts), 4, "the first and three of the renewal")
	})
}

// TestPreferredReplicaIsTriedFirst prefers a replica, which then fails.
func TestPreferredReplicaIsTriedFirst(t *testing.T) {
	for i := range 4 {
		synctest.Test(t, func(t *testing.T) {
			b := newBed(4, func(n int, _ *Attempt) (*Reply, error) {
				if n == 1 {
					return rejection(), nil
				}
				return stream(0, 0, io.EOF), nil
			})
			request := modelRequest(route(Streaming, 2, true), PromptPart{"own", 100})
			request.PreferredReplicaID = fmt.Sprintf("i-%d", i)
			_, err := drain(b.router.Begin(request).Stream)
			assert.ErrorIs(t, err, io.EOF)
			assert.Equal(t, b.attempts[0].ReplicaID, request.PreferredReplicaID)
			assert.Assert(t, b.attempts[1].ReplicaID != request.PreferredReplicaID)
		})
	}
}

// TestAffinityLeadsToOneServer sends requests of ten affinities through two daemons.
func TestAffinityLeadsToOneServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := map[string]bool{}
		for affinity := range 10 {
			var chosen []string
			for range 2 {
				b := newBed(5, func(int, *Attempt) (*Reply, error) { return answer(200, ""), nil })
				for range 3 {
					request := newRequest(route(AtMostOnce, 1, false))
					request.Affinity = uint64(affinity + 1)
					assert.Assert(t, b.router.Begin(request).Failure == nil)
				}
				for _, a := range b.attempts {
					chosen = append(chosen, a.ReplicaID)
				}
			}
			assert.Equal(t, len(slices.Compact(chosen)), 1, "affinity %d: %v", affinity, chosen)
			servers[chosen[0]] = true
		}
		assert.Assert(t, len(servers) > 2, "the affinities must spread")
	})
}

// guessed makes a request whose parts are pieces of one text.
func guessed(parts ...PromptPart) *Request {
	request := modelRequest(route(Streaming, 2, true), parts...)
	request.Prompt.SharingUnknown = true
	request.Route.LatencyTarget = 0
	request.Catalog = NewCatalog(1, Limits{}, nil, []*Service{{Name: "s", Engine: &Engine{NoTransfers: true, PrefillTokensPerSecond: 8000, ReuseWeight: 6}}}, nil)
	return request
}

// TestGuessedPartsGather sends texts with the same beginning and different ends through
// two daemons. All go to the replica that has the beginning, and none is told to fetch
// what replicas cannot transfer.
func TestGuessedPartsGather(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var chosen []string
		for d := range 2 {
			b := newBed(6, func(int, *Attempt) (*Reply, error) { return stream(0, 0, io.EOF), nil })
			for i := range 5 {
				_, err := drain(b.router.Begin(guessed(PromptPart{"a", 1024}, PromptPart{"ab", 1024}, PromptPart{fmt.Sprintf("ab%d-%d", d, i), 1024}, PromptPart{"", 10})).Stream)
				assert.ErrorIs(t, err, io.EOF)
			}
			for _, a := range b.attempts {
				chosen = append(chosen, a.ReplicaID)
				assert.Equal(t, a.FetchFrom, "")
			}
		}
		assert.Equal(t, len(slices.Compact(chosen)), 1, "%v", chosen)
	})
}

// TestRejectionSaysWhenToComeBack passes on when a replica may take the request.
func TestRejectionSaysWhenToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(1, func(int, *Attempt) (*Reply, error) {
			reply := rejection()
			reply.RetryAfter = 3 * time.Second
			return reply, nil
		})
		failure := b.router.Begin(newRequest(route(AtMostOnce, 1, false))).Failure
		assert.Assert(t, failure.NotRun)
		assert.Equal(t, failure.RetryAfter, 3*time.Second)
	})
}
