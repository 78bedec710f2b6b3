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
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// bed is a router with scripted replicas.
type bed struct {
	router *Router
	pool   *Pool
	// send answers attempts; it is called with the number of the attempt.
	send func(n int, a *Attempt) (*Reply, error)
	// superseded is how long ago weights below newest were replaced.
	newest     int
	superseded time.Duration

	mu       sync.Mutex
	attempts []*Attempt
}

func newBed(replicas int, send func(n int, a *Attempt) (*Reply, error)) *bed {
	b := &bed{send: send, newest: 1}
	clock := timekeeper.System{}
	b.pool = NewPool(clock)
	var list []Descriptor
	for i := range replicas {
		list = append(list, descriptor(i, 1))
	}
	b.pool.SetReplicas(list)
	options := Options{
		Zone: "z0", Region: "r", PrefillTokensPerSecond: 60_000, DelayPerRunningRequest: time.Millisecond, PlainRequestTime: 15 * time.Millisecond,
		RetryBudgetRatio: 0.2, RetryBudgetExtra: 20, RetryBudgetWindow: 10 * time.Second, OldWeightsTimeout: 5 * time.Second,
		SupersededAt: func(_ string, version int) (time.Time, bool) {
			return clock.Now().Add(-b.superseded), version < b.newest
		},
	}
	b.router = New(options, b.pool, Transport{Send: func(_ context.Context, a *Attempt) (*Reply, error) {
		b.mu.Lock()
		b.attempts = append(b.attempts, a)
		n := len(b.attempts)
		b.mu.Unlock()
		return b.send(n, a)
	}}, clock, log.New(io.Discard), recorder.New())
	return b
}

func descriptor(i, weights int) Descriptor {
	return Descriptor{
		ID: fmt.Sprintf("i-%d", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: fmt.Sprintf("z%d", i%3), Region: "r", Slots: 6,
		StartUnixMilli: 1, WeightsVersions: map[string]int{"m": weights},
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

func answer(status int, body string) *Reply {
	return &Reply{
		Status: status, Running: -1, Queued: -1, WeightsVersion: 1, Close: func() {}, SetDeadline: func(time.Time) {},
		ReadBody: func() ([]byte, error) { return []byte(body), nil },
	}
}

func rejection() *Reply {
	reply := answer(503, "")
	reply.NotRun = true
	return reply
}

// stream yields the events from..to and then the error.
func stream(from, to int64, end error) *Reply {
	reply := answer(200, "")
	next := from
	reply.NextEvent = func() (Event, error) {
		if next > to {
			return Event{}, end
		}
		next++
		return Event{Raw: []byte(fmt.Sprintf("id: %d\n\n", next-1)), ID: next - 1}, nil
	}
	return reply
}

var errLost = errors.New("connection was lost")

// drain reads a stream and returns the ids of its events.
func drain(s *EventStream) (ids []int64, err error) {
	defer s.Close()
	for {
		event, err := s.Next()
		if err != nil {
			return ids, err
		}
		ids = append(ids, event.ID)
	}
}

// TestOnceRunsOnce loses the answer to a request that may run once only. It is
// neither sent again nor told as not run.
func TestOnceRunsOnce(t *testing.T) {
	for _, r := range []*Route{route(AtMostOnce, 3, false), route(Streaming, 3, false)} {
		synctest.Test(t, func(t *testing.T) {
			b := newBed(3, func(int, *Attempt) (*Reply, error) { return nil, errLost })
			result := b.router.Begin(newRequest(r))
			assert.Equal(t, result.Failure.Reason, ReasonReplicaFailed)
			assert.Assert(t, !result.Failure.NotRun)
			assert.Equal(t, len(b.attempts), 1)
		})
	}
}

// TestRejectionsGoElsewhere rejects a request that may run once only: it goes to
// other replicas, and when all reject it, it is told as not run.
func TestRejectionsGoElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(3, func(n int, _ *Attempt) (*Reply, error) {
			if n < 3 {
				return rejection(), nil
			}
			return answer(200, "done"), nil
		})
		result := b.router.Begin(newRequest(route(AtMostOnce, 1, false)))
		assert.Equal(t, string(result.Body), "done")
		assert.Assert(t, b.attempts[0].ReplicaID != b.attempts[1].ReplicaID && b.attempts[1].ReplicaID != b.attempts[2].ReplicaID)

		b = newBed(9, func(int, *Attempt) (*Reply, error) { return rejection(), nil })
		result = b.router.Begin(newRequest(route(AtMostOnce, 1, false)))
		assert.Assert(t, result.Failure.NotRun && result.Failure.RetryAfter > 0)
		assert.Equal(t, len(b.attempts), maxRejections+1)
	})
}

// TestNotRunIsNotToldAfterARun rejects the second attempt of a request whose first
// may have run.
func TestNotRunIsNotToldAfterARun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(5, func(n int, _ *Attempt) (*Reply, error) {
			if n == 1 {
				return nil, errLost
			}
			return rejection(), nil
		})
		result := b.router.Begin(newRequest(route(Repeatable, 2, false)))
		assert.Assert(t, !result.Failure.NotRun)
	})
}

// TestAFailureIsRepeatedElsewhere answers 500 first. If the repeat does no better,
// the caller gets the replica's own failure.
func TestAFailureIsRepeatedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(3, func(n int, _ *Attempt) (*Reply, error) {
			if n == 1 {
				return answer(500, "failed"), nil
			}
			return answer(200, "done"), nil
		})
		assert.Equal(t, string(b.router.Begin(newRequest(route(Repeatable, 2, false))).Body), "done")
		b = newBed(3, func(n int, _ *Attempt) (*Reply, error) {
			if n == 1 {
				return answer(500, "failed"), nil
			}
			return nil, errLost
		})
		result := b.router.Begin(newRequest(route(Repeatable, 2, false)))
		assert.Assert(t, result.Failure == nil)
		assert.Equal(t, string(result.Body), "failed")
	})
}

// TestRetryBudgetHolds loses every answer: repeats stay within the budget.
func TestRetryBudgetHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(8, func(int, *Attempt) (*Reply, error) { return rejection(), nil })
		const requests = 200
		for range requests {
			b.router.Begin(newRequest(route(Repeatable, 2, false)))
		}
		assert.Assert(t, len(b.attempts)-requests <= requests/5+20, "%d attempts", len(b.attempts))
	})
}

// TestStreamIsResumedBehindItsLastEvent loses a stream twice; the whole arrives once
// and in order. Events that come again are not passed on.
func TestStreamIsResumedBehindItsLastEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(4, func(n int, a *Attempt) (*Reply, error) {
			switch n {
			case 1:
				return stream(0, 3, errLost), nil
			case 2:
				assert.Equal(t, a.LastEventID, int64(3))
				return stream(3, 5, errLost), nil
			default:
				return stream(6, 8, io.EOF), nil
			}
		})
		result := b.router.Begin(modelRequest(route(Streaming, 3, true), PromptPart{"a", 100}))
		ids, err := drain(result.Stream)
		assert.ErrorIs(t, err, io.EOF)
		assert.DeepEqual(t, ids, []int64{0, 1, 2, 3, 4, 5, 6, 7, 8})
	})
}

// TestStreamThatMayNotBeResumedEndsBroken loses a stream; the caller must see that
// it is not whole.
func TestStreamThatMayNotBeResumedEndsBroken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(4, func(int, *Attempt) (*Reply, error) { return stream(0, 3, errLost), nil })
		result := b.router.Begin(modelRequest(route(Streaming, 1, false), PromptPart{"a", 100}))
		ids, err := drain(result.Stream)
		assert.ErrorIs(t, err, errLost)
		assert.Equal(t, len(ids), 4)
		assert.Equal(t, len(b.attempts), 1)
	})
}

// TestCallerThatLeftIsNotSentOn closes the caller's connection before and during an
// attempt.
func TestCallerThatLeftIsNotSentOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(3, func(int, *Attempt) (*Reply, error) { return answer(200, ""), nil })
		gone := make(chan struct{})
		close(gone)
		request := newRequest(route(Repeatable, 2, false))
		request.CallerGone = gone
		assert.Equal(t, b.router.Begin(request).Failure.Reason, ReasonCallerGone)
		assert.Equal(t, len(b.attempts), 0)
	})
	synctest.Test(t, func(t *testing.T) {
		gone := make(chan struct{})
		b := newBed(3, func(int, *Attempt) (*Reply, error) { return nil, errLost })
		send := b.router.transport.Send
		b.router.transport.Send = func(ctx context.Context, a *Attempt) (*Reply, error) {
			<-ctx.Done()
			return send(ctx, a)
		}
		request := newRequest(route(Repeatable, 2, false))
		request.CallerGone = gone
		time.AfterFunc(time.Second, func() { close(gone) })
		began := time.Now()
		assert.Equal(t, b.router.Begin(request).Failure.Reason, ReasonCallerGone)
		assert.Equal(t, time.Since(began), time.Second)
		assert.Equal(t, len(b.attempts), 1)
	})
}

// TestAttemptsOfALostReplicaAreTakenOver has a replica's sidecar say that it does
// not reach it: requests that may run again go elsewhere at once.
func TestAttemptsOfALostReplicaAreTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(2, func(int, *Attempt) (*Reply, error) { return stream(0, 1, io.EOF), nil })
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
		ids, err := drain(result.Stream)
		assert.ErrorIs(t, err, io.EOF)
		assert.Equal(t, len(ids), 2)
	})
}

// TestAnotherLifeEndsAReplica answers under another id: the replica is not used
// again, and the one that started last at the address is.
func TestAnotherLifeEndsAReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(1, func(_ int, a *Attempt) (*Reply, error) {
			if a.ReplicaID == "i-0" {
				reply := rejection()
				reply.WrongReplica, reply.ReplicaID = true, "i-new"
				return reply, nil
			}
			return answer(200, "done"), nil
		})
		assert.Assert(t, b.router.Begin(newRequest(route(AtMostOnce, 1, false))).Failure.NotRun)
		b.router.Begin(newRequest(route(AtMostOnce, 1, false)))
		assert.Equal(t, len(b.attempts), 1)
		next := descriptor(0, 1)
		next.ID, next.StartUnixMilli = "i-new", 2
		b.pool.SetReplicas([]Descriptor{descriptor(0, 1), next})
		assert.Equal(t, string(b.router.Begin(newRequest(route(AtMostOnce, 1, false))).Body), "done")
	})
}

// TestOldEntriesAtAnAddressAreNotUsed lists two lives at one address, as after a
// power cut, before anything was sent.
func TestOldEntriesAtAnAddressAreNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(0, func(int, *Attempt) (*Reply, error) { return answer(200, ""), nil })
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

// TestNoRequestBeginsOnWeightsThatAreTooOld replaces the weights of all replicas but
// one, and then of all.
func TestNoRequestBeginsOnWeightsThatAreTooOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(3, func(int, *Attempt) (*Reply, error) { return stream(0, 1, io.EOF), nil })
		b.newest, b.superseded = 2, 6*time.Second
		b.pool.SetReplicas([]Descriptor{descriptor(0, 1), descriptor(1, 2), descriptor(2, 1)})
		for range 20 {
			result := b.router.Begin(modelRequest(route(Streaming, 1, false), PromptPart{"a", 100}))
			_, _ = drain(result.Stream)
		}
		for _, a := range b.attempts {
			assert.Equal(t, a.ReplicaID, "i-1")
			assert.Equal(t, a.WeightsVersion, 2)
		}
		b.newest = 3
		assert.Assert(t, b.router.Begin(modelRequest(route(Streaming, 1, false), PromptPart{"a", 100})).Failure.NotRun)
	})
}

// TestCacheScopesKeepApart asks for scopes of versions and dedicated workspaces.
func TestCacheScopesKeepApart(t *testing.T) {
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

// TestPartsAreFetchedFromTheirHolder lets one replica read a prompt and makes it
// busy: another one gets the next request and fetches the shared parts.
func TestPartsAreFetchedFromTheirHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(3, func(int, *Attempt) (*Reply, error) { return stream(0, 1, io.EOF), nil })
		prompt := []PromptPart{{"a", 500}, {"b", 5000}, {"own", 1000}}
		_, _ = drain(b.router.Begin(modelRequest(route(Streaming, 1, false), prompt...)).Stream)
		_, _ = drain(b.router.Begin(modelRequest(route(Streaming, 1, false), prompt...)).Stream)
		if second := b.attempts[1]; second.ReplicaID != b.attempts[0].ReplicaID {
			assert.Equal(t, second.FetchFrom, b.attempts[0].Address)
		}
		for _, holder := range b.attempts[:2] {
			b.pool.ReplicaByID(holder.ReplicaID).waiting[0].Store(20_000)
		}
		_, _ = drain(b.router.Begin(modelRequest(route(Streaming, 1, false), prompt...)).Stream)
		third := b.attempts[2]
		assert.Assert(t, third.ReplicaID != b.attempts[0].ReplicaID && third.ReplicaID != b.attempts[1].ReplicaID)
		assert.Assert(t, third.FetchFrom == b.attempts[0].Address || third.FetchFrom == b.attempts[1].Address)
	})
}

// TestPreparingReplicasTakeShortRequests leaves long ones to others.
func TestPreparingReplicasTakeShortRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(2, func(int, *Attempt) (*Reply, error) { return stream(0, 1, io.EOF), nil })
		b.pool.UpdateState("10.0.0.0:80", State{Phase: Preparing, StartUnixMilli: 1})
		b.pool.UpdateState("10.0.0.1:80", State{Phase: Serving, StartUnixMilli: 1})
		long := modelRequest(route(Streaming, 1, false), PromptPart{"a", 100})
		long.Prompt.MaxOutputTokens = 200
		_, _ = drain(b.router.Begin(long).Stream)
		assert.Equal(t, b.attempts[0].ReplicaID, "i-1")
		_, _ = drain(b.router.Begin(modelRequest(route(Streaming, 1, false), PromptPart{"b", 100})).Stream)
		assert.Equal(t, b.attempts[1].ReplicaID, "i-0", "the replica in the own zone")
		b.pool.UpdateState("10.0.0.0:80", State{Phase: Loading, StartUnixMilli: 1})
		_, _ = drain(b.router.Begin(modelRequest(route(Streaming, 1, false), PromptPart{"b", 100})).Stream)
		assert.Equal(t, b.attempts[2].ReplicaID, "i-1")
	})
}
