package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/metrics/recorder"
	"github.com/cyclamenward/cyclamenward/limiter"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// testBed is a router with simulated replicas, whose answers the test supplies.
type testBed struct {
	router *Router
	pool   *Pool
	// send answers attempts; n is the number of the attempt, from 1.
	send func(n int, a *Attempt) (*Reply, error)
	// newestVersion is the newest weights version; it superseded all older ones
	// supersededAgo before now.
	newestVersion int
	supersededAgo time.Duration

	mu       sync.Mutex
	attempts []*Attempt
}

// newTestBed returns a testBed with the given number of replicas, whose answers come
// from send.
func newTestBed(replicas int, send func(n int, a *Attempt) (*Reply, error)) *testBed {
	b := &testBed{send: send, newestVersion: 1}
	clock := timekeeper.System{}
	b.pool = NewPool(clock)
	var list []Descriptor
	for i := range replicas {
		list = append(list, descriptor(i, 1))
	}
	b.pool.SetReplicas(list)
	options := Options{
		Zone: "z0", Region: "r", PrefillTokensPerSecond: 60_000, DelayPerRunningRequest: time.Millisecond, PlainRequestTime: 15 * time.Millisecond,
		RetryBudget: limiter.BudgetLimits{Ratio: 0.2, Extra: 20, Window: 10 * time.Second}, OldWeightsTimeout: 5 * time.Second,
		SupersededAt: func(_ string, version int) (time.Time, bool) {
			return clock.Now().Add(-b.supersededAgo), version < b.newestVersion
		},
	}
	b.router = New(options, b.pool, Transport{Concurrent: true, Send: func(_ context.Context, a *Attempt) (*Reply, error) {
		b.mu.Lock()
		b.attempts = append(b.attempts, a)
		n := len(b.attempts)
		b.mu.Unlock()
		return b.send(n, a)
	}}, clock, log.New(io.Discard), recorder.New())
	return b
}

// descriptor describes replica i in one of three availability zones.
func descriptor(i, weightsVersion int) Descriptor {
	return Descriptor{
		ID: fmt.Sprintf("i-%d", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: fmt.Sprintf("z%d", i%3), Region: "r", Slots: 6,
		StartUnixMilli: 1, WeightsVersions: map[string]int{"m": weightsVersion},
	}
}

func route(kind RouteKind, attempts int, resumable bool) *Route {
	return &Route{
		Name: "route", Kind: kind, MaxAttempts: attempts, Resumable: resumable, Timeout: 3 * time.Second,
		LatencyTarget: 400 * time.Millisecond, Shares: []Share{{Service: "s", Weight: 1}},
	}
}

func newRequest(r *Route) *Request {
	catalog := NewCatalog(1, Limits{}, []*Route{r}, []*Service{{Name: "s"}}, nil)
	now := time.Now()
	return &Request{ID: "q", Catalog: catalog, Route: r, Arrived: now, Deadline: now.Add(r.Timeout), LastEventID: -1}
}

func modelRequest(r *Route, parts ...PromptPart) *Request {
	request := newRequest(r)
	request.Prompt = &Prompt{Model: "m", Parts: parts, Tokens: tokensOf(parts), MaxOutputTokens: 10}
	return request
}

func tokensOf(parts []PromptPart) int {
	sum := 0
	for _, part := range parts {
		sum += part.Tokens
	}
	return sum
}

func answerReply(status int, body string) *Reply {
	return &Reply{
		Status: status, Running: -1, Queued: -1, WeightsVersion: 1, Close: func() {}, SetDeadline: func(time.Time) {},
		ReadBody: func() ([]byte, error) { return []byte(body), nil },
	}
}

// rejectionReply returns an answer that says that the request has not run.
func rejectionReply() *Reply {
	reply := answerReply(503, "")
	reply.NotRun = true
	return reply
}

// streamReply returns an answer with the events from..to and then endErr.
func streamReply(from, to int64, endErr error) *Reply {
	reply := answerReply(200, "")
	next := from
	reply.NextEvent = func() (Event, error) {
		if next > to {
			return Event{}, endErr
		}
		next++
		return Event{Raw: []byte(fmt.Sprintf("id: %d\n\n", next-1)), ID: next - 1}, nil
	}
	return reply
}

var errLost = errors.New("connection was lost")

// drainStream reads a stream to its end and returns the IDs of its events.
func drainStream(s *EventStream) (ids []int64, err error) {
	defer s.Close()
	for {
		event, err := s.Next()
		if err != nil {
			return ids, err
		}
		ids = append(ids, event.ID)
	}
}

// TestAtMostOnceIsNotRetried loses the answer to a request that may run only once. It
// must neither be sent again nor be reported as not run.
func TestAtMostOnceIsNotRetried(t *testing.T) {
	for _, r := range []*Route{route(AtMostOnce, 3, false), route(Streaming, 3, false)} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestBed(3, func(int, *Attempt) (*Reply, error) { return nil, errLost })
			result := b.router.Begin(newRequest(r))
			assert.Equal(t, result.Failure.Reason, ReasonReplicaFailed)
			assert.Assert(t, !result.Failure.NotRun)
			assert.Equal(t, len(b.attempts), 1)
		})
	}
}

// TestRejectedRequestIsSentElsewhere rejects a request that may run only once: it goes
// to other replicas, and if all reject it, it is reported as not run.
func TestRejectedRequestIsSentElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(3, func(n int, _ *Attempt) (*Reply, error) {
			if n < 3 {
				return rejectionReply(), nil
			}
			return answerReply(200, "done"), nil
		})
		result := b.router.Begin(newRequest(route(AtMostOnce, 1, false)))
		assert.Equal(t, string(result.Body), "done")
		assert.Assert(t, b.attempts[0].ReplicaID != b.attempts[1].ReplicaID && b.attempts[1].ReplicaID != b.attempts[2].ReplicaID)

		b = newTestBed(9, func(int, *Attempt) (*Reply, error) { return rejectionReply(), nil })
		result = b.router.Begin(newRequest(route(AtMostOnce, 1, false)))
		assert.Assert(t, result.Failure.NotRun && result.Failure.RetryAfter > 0)
		assert.Equal(t, len(b.attempts), defaultMaxRejections+1)
	})
}

// TestNotRunIsNotReportedAfterPossibleRun rejects the second attempt of a request whose
// first may have run: it must not be reported as not run.
func TestNotRunIsNotReportedAfterPossibleRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(5, func(n int, _ *Attempt) (*Reply, error) {
			if n == 1 {
				return nil, errLost
			}
			return rejectionReply(), nil
		})
		result := b.router.Begin(newRequest(route(Repeatable, 2, false)))
		assert.Assert(t, !result.Failure.NotRun)
	})
}

// TestServerErrorIsRetriedElsewhere answers the first attempt with 500. If the retry
// fails too, the caller gets the replica's own error.
func TestServerErrorIsRetriedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(3, func(n int, _ *Attempt) (*Reply, error) {
			if n == 1 {
				return answerReply(500, "failed"), nil
			}
			return answerReply(200, "done"), nil
		})
		assert.Equal(t, string(b.router.Begin(newRequest(route(Repeatable, 2, false))).Body), "done")
		b = newTestBed(3, func(n int, _ *Attempt) (*Reply, error) {
			if n == 1 {
				return answerReply(500, "failed"), nil
			}
			return nil, errLost
		})
		result := b.router.Begin(newRequest(route(Repeatable, 2, false)))
		assert.Assert(t, result.Failure == nil)
		assert.Equal(t, string(result.Body), "failed")
	})
}

// TestRetryBudgetHolds rejects every attempt: the retries must stay within the budget.
func TestRetryBudgetHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(8, func(int, *Attempt) (*Reply, error) { return rejectionReply(), nil })
		const requests = 200
		for range requests {
			b.router.Begin(newRequest(route(Repeatable, 2, false)))
		}
		assert.Assert(t, len(b.attempts)-requests <= requests/5+20, "%d attempts", len(b.attempts))
	})
}

// TestStreamResumesAfterLastEvent loses a stream twice; the caller must get every event
// once and in order. Events that a replica sends again are not passed on.
func TestStreamResumesAfterLastEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(4, func(n int, a *Attempt) (*Reply, error) {
			switch n {
			case 1:
				return streamReply(0, 3, errLost), nil
			case 2:
				assert.Equal(t, a.LastEventID, int64(3))
				return streamReply(3, 5, errLost), nil
			default:
				return streamReply(6, 8, io.EOF), nil
			}
		})
		result := b.router.Begin(modelRequest(route(Streaming, 3, true), PromptPart{"a", 100}))
		ids, err := drainStream(result.Stream)
		assert.ErrorIs(t, err, io.EOF)
		assert.DeepEqual(t, ids, []int64{0, 1, 2, 3, 4, 5, 6, 7, 8})
	})
}

// TestNonResumableStreamEndsWithError loses a stream that cannot be resumed; the caller
// must see that it is incomplete.
func TestNonResumableStreamEndsWithError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(4, func(int, *Attempt) (*Reply, error) { return streamReply(0, 3, errLost), nil })
		result := b.router.Begin(modelRequest(route(Streaming, 1, false), PromptPart{"a", 100}))
		ids, err := drainStream(result.Stream)
		assert.ErrorIs(t, err, errLost)
		assert.Equal(t, len(ids), 4)
		assert.Equal(t, len(b.attempts), 1)
	})
}

// TestRequestStopsWhenCallerLeaves closes the caller's connection before and during an
// attempt: no further attempt may be sent.
func TestRequestStopsWhenCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(3, func(int, *Attempt) (*Reply, error) { return answerReply(200, ""), nil })
		callerGone := make(chan struct{})
		close(callerGone)
		request := newRequest(route(Repeatable, 2, false))
		request.CallerGone = callerGone
		assert.Equal(t, b.router.Begin(request).Failure.Reason, ReasonCallerGone)
		assert.Equal(t, len(b.attempts), 0)
	})
	synctest.Test(t, func(t *testing.T) {
		callerGone := make(chan struct{})
		b := newTestBed(3, func(int, *Attempt) (*Reply, error) { return nil, errLost })
		send := b.router.transport.Send
		b.router.transport.Send = func(ctx context.Context, a *Attempt) (*Reply, error) {
			<-ctx.Done()
			return send(ctx, a)
		}
		request := newRequest(route(Repeatable, 2, false))
		request.CallerGone = callerGone
		time.AfterFunc(time.Second, func() { close(callerGone) })
		began := time.Now()
		assert.Equal(t, b.router.Begin(request).Failure.Reason, ReasonCallerGone)
		assert.Equal(t, time.Since(began), time.Second)
		assert.Equal(t, len(b.attempts), 1)
	})
}

// TestUnreachableReplicaFailsOver has a replica's sidecar report that the replica is
// unreachable: its request, which may run again, must go to another replica at once.
func TestUnreachableReplicaFailsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(2, func(int, *Attempt) (*Reply, error) { return streamReply(0, 1, io.EOF), nil })
		var first atomic.Pointer[string]
		send := b.router.transport.Send
		b.router.transport.Send = func(ctx context.Context, a *Attempt) (*Reply, error) {
			if first.CompareAndSwap(nil, &a.Address) {
				<-ctx.Done()
				return nil, errLost
			}
			return send(ctx, a)
		}
		time.AfterFunc(100*time.Millisecond, func() { b.pool.UpdateState(*first.Load(), State{Phase: Unreachable, StartUnixMilli: 1}) })
		began := time.Now()
		result := b.router.Begin(modelRequest(route(Streaming, 2, true), PromptPart{"a", 100}))
		assert.Equal(t, time.Since(began), 100*time.Millisecond)
		ids, err := drainStream(result.Stream)
		assert.ErrorIs(t, err, io.EOF)
		assert.Equal(t, len(ids), 2)
	})
}

// TestAnswerOfAnotherReplicaEndsReplica answers with another replica's ID: the replica
// must not be used again, and the one that started last at the address must be.
func TestAnswerOfAnotherReplicaEndsReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(1, func(_ int, a *Attempt) (*Reply, error) {
			if a.ReplicaID == "i-0" {
				reply := rejectionReply()
				reply.WrongReplica, reply.ReplicaID = true, "i-new"
				return reply, nil
			}
			return answerReply(200, "done"), nil
		})
		assert.Assert(t, b.router.Begin(newRequest(route(AtMostOnce, 1, false))).Failure.NotRun)
		b.router.Begin(newRequest(route(AtMostOnce, 1, false)))
		assert.Equal(t, len(b.attempts), 1)
		restarted := descriptor(0, 1)
		restarted.ID, restarted.StartUnixMilli = "i-new", 2
		b.pool.SetReplicas([]Descriptor{descriptor(0, 1), restarted})
		assert.Equal(t, string(b.router.Begin(newRequest(route(AtMostOnce, 1, false))).Body), "done")
	})
}

// TestStaleEntriesAtAddressAreNotUsed lists two incarnations at one address, as after a
// power cut, before anything was sent: only the later one may be used.
func TestStaleEntriesAtAddressAreNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(0, func(int, *Attempt) (*Reply, error) { return answerReply(200, ""), nil })
		before, after := descriptor(0, 1), descriptor(0, 1)
		before.ID, after.ID, after.StartUnixMilli = "i-before", "i-after", 2
		for _, list := range [][]Descriptor{{before, after}, {after, before}} {
			b.pool.SetReplicas(list)
			b.router.Begin(newRequest(route(AtMostOnce, 1, false)))
		}
		for _, a := range b.attempts {
			assert.Equal(t, a.ReplicaID, "i-after")
		}
	})
}

// TestNoRequestStartsOnExpiredWeights supersedes the weights of all replicas but one,
// and then of all: only replicas with current weights may be used.
func TestNoRequestStartsOnExpiredWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(3, func(int, *Attempt) (*Reply, error) { return streamReply(0, 1, io.EOF), nil })
		b.newestVersion, b.supersededAgo = 2, 6*time.Second
		b.pool.SetReplicas([]Descriptor{descriptor(0, 1), descriptor(1, 2), descriptor(2, 1)})
		for range 20 {
			result := b.router.Begin(modelRequest(route(Streaming, 1, false), PromptPart{"a", 100}))
			_, _ = drainStream(result.Stream)
		}
		for _, a := range b.attempts {
			assert.Equal(t, a.ReplicaID, "i-1")
			assert.Equal(t, a.WeightsVersion, 2)
		}
		b.newestVersion = 3
		assert.Assert(t, b.router.Begin(modelRequest(route(Streaming, 1, false), PromptPart{"a", 100})).Failure.NotRun)
	})
}

// TestCacheScopesSeparateVersionsAndWorkspaces compares the cache scopes of weights
// versions and of dedicated workspaces.
func TestCacheScopesSeparateVersionsAndWorkspaces(t *testing.T) {
	request := modelRequest(route(Streaming, 1, false), PromptPart{"a", 1})
	other := modelRequest(route(Streaming, 1, false), PromptPart{"a", 1})
	other.ID = "other"
	request.Workspace = &Workspace{Name: "w"}
	other.Workspace = &Workspace{Name: "x"}
	assert.Equal(t, cacheScope(1, request), cacheScope(1, other))
	assert.Assert(t, cacheScope(1, request) != cacheScope(2, request))
	assert.Assert(t, cacheScope(0, request) != cacheScope(0, other), "unknown weights share nothing")
	request.Workspace.Dedicated = true
	assert.Assert(t, cacheScope(1, request) != cacheScope(1, other))
	other.Workspace.Dedicated = true
	assert.Assert(t, cacheScope(1, request) != cacheScope(1, other))
}

// TestPartsAreFetchedFromTheirHolder has one replica prefill a prompt and makes it
// busy: the next request goes to another one, which fetches the shared parts.
func TestPartsAreFetchedFromTheirHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(3, func(int, *Attempt) (*Reply, error) { return streamReply(0, 1, io.EOF), nil })
		prompt := []PromptPart{{"a", 500}, {"b", 5000}, {"own", 1000}}
		_, _ = drainStream(b.router.Begin(modelRequest(route(Streaming, 1, false), prompt...)).Stream)
		_, _ = drainStream(b.router.Begin(modelRequest(route(Streaming, 1, false), prompt...)).Stream)
		if second := b.attempts[1]; second.ReplicaID != b.attempts[0].ReplicaID {
			assert.Equal(t, second.FetchFrom, b.attempts[0].Address)
		}
		for _, holder := range b.attempts[:2] {
			b.pool.ReplicaByID(holder.ReplicaID).backlogTokens[0].Store(20_000)
		}
		_, _ = drainStream(b.router.Begin(modelRequest(route(Streaming, 1, false), prompt...)).Stream)
		third := b.attempts[2]
		assert.Assert(t, third.ReplicaID != b.attempts[0].ReplicaID && third.ReplicaID != b.attempts[1].ReplicaID)
		assert.Assert(t, third.FetchFrom == b.attempts[0].Address || third.FetchFrom == b.attempts[1].Address)
	})
}

// TestPreparingReplicasTakeShortRequests sends a long request, which must go to the
// other replica, and short ones, which a preparing replica takes but a loading one does
// not.
func TestPreparingReplicasTakeShortRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(2, func(int, *Attempt) (*Reply, error) { return streamReply(0, 1, io.EOF), nil })
		b.pool.UpdateState("10.0.0.0:80", State{Phase: Preparing, StartUnixMilli: 1})
		b.pool.UpdateState("10.0.0.1:80", State{Phase: Serving, StartUnixMilli: 1})
		long := modelRequest(route(Streaming, 1, false), PromptPart{"a", 100})
		long.Prompt.MaxOutputTokens = 200
		_, _ = drainStream(b.router.Begin(long).Stream)
		assert.Equal(t, b.attempts[0].ReplicaID, "i-1")
		_, _ = drainStream(b.router.Begin(modelRequest(route(Streaming, 1, false), PromptPart{"b", 100})).Stream)
		assert.Equal(t, b.attempts[1].ReplicaID, "i-0", "the replica in the own zone")
		b.pool.UpdateState("10.0.0.0:80", State{Phase: Loading, StartUnixMilli: 1})
		_, _ = drainStream(b.router.Begin(modelRequest(route(Streaming, 1, false), PromptPart{"b", 100})).Stream)
		assert.Equal(t, b.attempts[2].ReplicaID, "i-1")
	})
}
