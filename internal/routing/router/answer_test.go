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

// TestPinnedStreamResumesOnSameWeights interrupts a stream on a route with SameWeights:
// of the other replicas only the one with the same weights version may continue it.
func TestPinnedStreamResumesOnSameWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(3, func(n int, a *Attempt) (*Reply, error) {
			reply := streamReply(int64(2*n-2), int64(2*n-1), errLost)
			reply.WeightsVersion = a.WeightsVersion
			return reply, nil
		})
		b.pool.SetReplicas([]Descriptor{descriptor(0, 1), descriptor(1, 1), descriptor(2, 2)})
		r := route(Streaming, 9, true)
		r.SameWeights = true
		request := modelRequest(r, PromptPart{"own", 100})
		request.WeightsVersion = 1
		ids, err := drainStream(b.router.Begin(request).Stream)
		assert.ErrorIs(t, err, errLost)
		assert.DeepEqual(t, ids, []int64{0, 1, 2, 3})
		assert.Equal(t, len(b.attempts), 2, "the third replica has other weights")
		for _, a := range b.attempts {
			assert.Equal(t, a.WeightsVersion, 1)
			assert.Assert(t, a.ReplicaID != "i-2")
		}
	})
}

// TestResumeRetriesAfterRejection interrupts a stream and rejects the first attempt to
// resume it: another attempt must complete it.
func TestResumeRetriesAfterRejection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(3, func(n int, _ *Attempt) (*Reply, error) {
			switch n {
			case 1:
				return streamReply(0, 1, errLost), nil
			case 2:
				return rejectionReply(), nil
			}
			return streamReply(2, 3, io.EOF), nil
		})
		ids, err := drainStream(b.router.Begin(modelRequest(route(Streaming, 2, true), PromptPart{"own", 100})).Stream)
		assert.ErrorIs(t, err, io.EOF)
		assert.DeepEqual(t, ids, []int64{0, 1, 2, 3})
	})
}

// TestGrowingStreamRenewsAttempts loses every replica after one event. On a route with
// RenewAttempts the stream continues as long as it grows, on another one for
// MaxAttempts attempts.
func TestGrowingStreamRenewsAttempts(t *testing.T) {
	for _, renew := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestBed(4, func(n int, _ *Attempt) (*Reply, error) {
				if n == 20 {
					return streamReply(19, 19, io.EOF), nil
				}
				return streamReply(int64(n-1), int64(n-1), errLost), nil
			})
			r := route(Streaming, 2, true)
			r.RenewAttempts = renew
			r.Timeout = 2 * time.Minute
			stream := b.router.Begin(modelRequest(r, PromptPart{"own", 100})).Stream
			defer stream.Close()
			events := 0
			for {
				<-time.After(maxBackoff)
				_, err := stream.Next()
				if err != nil {
					assert.Equal(t, errors.Is(err, io.EOF), renew)
					break
				}
				events++
			}
			assert.Equal(t, events, map[bool]int{true: 20, false: 2}[renew])
		})
	}
}

// TestStalledStreamDoesNotRenewAttempts renews the attempts of a stream once; no
// replica adds to it after that, so it must end.
func TestStalledStreamDoesNotRenewAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(6, func(int, *Attempt) (*Reply, error) { return streamReply(0, 0, errLost), nil })
		r := route(Streaming, 3, true)
		r.RenewAttempts = true
		_, err := drainStream(b.router.Begin(modelRequest(r, PromptPart{"own", 100})).Stream)
		assert.ErrorIs(t, err, errLost)
		assert.Equal(t, len(b.attempts), 4, "the first and three of the renewal")
	})
}

// TestPreferredReplicaIsTriedFirst has a request prefer a replica, which rejects it: the
// replica must get the first attempt but not the second.
func TestPreferredReplicaIsTriedFirst(t *testing.T) {
	for i := range 4 {
		synctest.Test(t, func(t *testing.T) {
			b := newTestBed(4, func(n int, _ *Attempt) (*Reply, error) {
				if n == 1 {
					return rejectionReply(), nil
				}
				return streamReply(0, 0, io.EOF), nil
			})
			request := modelRequest(route(Streaming, 2, true), PromptPart{"own", 100})
			request.PreferredReplicaID = fmt.Sprintf("i-%d", i)
			_, err := drainStream(b.router.Begin(request).Stream)
			assert.ErrorIs(t, err, io.EOF)
			assert.Equal(t, b.attempts[0].ReplicaID, request.PreferredReplicaID)
			assert.Assert(t, b.attempts[1].ReplicaID != request.PreferredReplicaID)
		})
	}
}

// TestAffinitySelectsOneServer sends requests with ten affinities through two daemons:
// all requests with one affinity must go to the same server.
func TestAffinitySelectsOneServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := map[string]bool{}
		for affinity := range 10 {
			var chosen []string
			for range 2 {
				b := newTestBed(5, func(int, *Attempt) (*Reply, error) { return answerReply(200, ""), nil })
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

// unknownSharingRequest returns a request whose parts are blocks of one text, at
// replicas that cannot transfer cached parts.
func unknownSharingRequest(parts ...PromptPart) *Request {
	request := modelRequest(route(Streaming, 2, true), parts...)
	request.Prompt.SharingUnknown = true
	request.Route.LatencyTarget = 0
	request.Catalog = NewCatalog(1, Limits{}, nil, []*Service{{Name: "s", Engine: &Engine{NoTransfers: true, PrefillTokensPerSecond: 8000, ReuseWeight: 6}}}, nil)
	return request
}

// TestUnknownSharingSelectsPrefixHolder sends texts with the same beginning and
// different ends through two daemons. All must go to the replica that has the beginning
// cached, and none may fetch parts that replicas cannot transfer.
func TestUnknownSharingSelectsPrefixHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var chosen []string
		for daemon := range 2 {
			b := newTestBed(6, func(int, *Attempt) (*Reply, error) { return streamReply(0, 0, io.EOF), nil })
			for i := range 5 {
				_, err := drainStream(b.router.Begin(unknownSharingRequest(PromptPart{"a", 1024}, PromptPart{"ab", 1024}, PromptPart{fmt.Sprintf("ab%d-%d", daemon, i), 1024}, PromptPart{"", 10})).Stream)
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

// TestRejectionPassesOnRetryAfter checks that the caller learns when a rejecting
// replica may take the request.
func TestRejectionPassesOnRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(1, func(int, *Attempt) (*Reply, error) {
			reply := rejectionReply()
			reply.RetryAfter = 3 * time.Second
			return reply, nil
		})
		failure := b.router.Begin(newRequest(route(AtMostOnce, 1, false))).Failure
		assert.Assert(t, failure.NotRun)
		assert.Equal(t, failure.RetryAfter, 3*time.Second)
	})
}

// TestLoadInAnswerKeepsReport guards against the load that an answer names replacing all that the
// replica's sidecar has reported: a loading replica would seem to serve.
func TestLoadInAnswerKeepsReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(1, func(int, *Attempt) (*Reply, error) {
			reply := answerReply(200, "ok")
			reply.Running, reply.Queued = 3, 1
			return reply, nil
		})
		address := descriptor(0, 1).Address
		b.pool.UpdateState(address, State{Phase: Preparing, StartUnixMilli: 1, WeightsVersions: map[string]int{"m": 2}, MemoryUsed: 500})
		reportedAt := time.Now()
		<-time.After(100 * time.Millisecond)
		assert.Assert(t, b.router.Begin(newRequest(route(Repeatable, 1, false))).Failure == nil)
		state := b.pool.ReplicaByAddress(address).State()
		assert.DeepEqual(t, *state, State{Phase: Preparing, StartUnixMilli: 1, WeightsVersions: map[string]int{"m": 2}, MemoryUsed: 500, Running: 3, Queued: 1, ReceivedAt: reportedAt})

		<-time.After(stateTTL)
		assert.Assert(t, b.router.Begin(newRequest(route(Repeatable, 1, false))).Failure == nil)
		assert.DeepEqual(t, *b.pool.ReplicaByAddress(address).State(), State{Running: 3, Queued: 1, ReceivedAt: time.Now()})
	})
}

// streamOf returns an answer with the given events and the given end.
func streamOf(end error, events ...Event) *Reply {
	reply := answerReply(200, "")
	reply.NextEvent = func() (Event, error) {
		if len(events) == 0 {
			return Event{}, end
		}
		event := events[0]
		events = events[1:]
		return event, nil
	}
	return reply
}

// TestOnlyTheNextPieceContinuesAStream guards against streams that go on with what is no piece of them,
// or end as if they were complete (ORDER, MIXED): the replica that was to continue one
// answered with an error. Another replica continues it after the last event.
func TestOnlyTheNextPieceContinuesAStream(t *testing.T) {
	piece := func(id int64) Event { return Event{Raw: []byte(fmt.Sprint(id)), ID: id} }
	message := Event{Raw: []byte("data: overload"), ID: -1}
	text := func(status int) *Reply {
		reply := answerReply(status, "overload")
		reply.NextEvent = nil
		return reply
	}
	for _, tc := range []struct {
		name  string
		reply *Reply
	}{
		{"server error", text(500)},
		{"not found", text(404)},
		{"text", text(200)},
		{"events without an ID", streamOf(io.EOF, message, message)},
		{"nothing", streamOf(io.EOF)},
		{"nothing, cut", streamOf(errLost)},
		{"a later piece", streamOf(io.EOF, piece(6), piece(7), piece(8))},
		{"a message, then a later piece", streamOf(io.EOF, message, piece(6))},
		{"earlier pieces only", streamOf(io.EOF, piece(1), piece(2))},
		{"its next piece behind a comment", streamOf(errLost, Event{Raw: []byte(": hello"), ID: -1}, piece(4))},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestBed(4, func(n int, a *Attempt) (*Reply, error) {
					switch n {
					case 1:
						return streamReply(1, 3, errLost), nil
					case 2:
						return tc.reply, nil
					}
					return streamReply(a.LastEventID+1, 8, io.EOF), nil
				})
				ids, err := drainStream(b.router.Begin(modelRequest(route(Streaming, 3, true), PromptPart{"own", 100})).Stream)
				assert.ErrorIs(t, err, io.EOF)
				assert.DeepEqual(t, ids, []int64{1, 2, 3, 4, 5, 6, 7, 8})
			})
		})
	}
}

// TestStreamWithGapsInItsIDsGoesOn has IDs that do not count pieces: the next one is not known.
func TestStreamWithGapsInItsIDsGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		piece := func(id int64) Event { return Event{Raw: []byte(fmt.Sprint(id)), ID: id} }
		b := newTestBed(4, func(n int, _ *Attempt) (*Reply, error) {
			if n == 1 {
				return streamOf(errLost, piece(10), piece(11), piece(20)), nil
			}
			return streamOf(io.EOF, piece(30), piece(40)), nil
		})
		ids, err := drainStream(b.router.Begin(modelRequest(route(Streaming, 2, true), PromptPart{"own", 100})).Stream)
		assert.ErrorIs(t, err, io.EOF)
		assert.DeepEqual(t, ids, []int64{10, 11, 20, 30, 40})
	})
}

// TestMarkedEndCompletesAStream has a stream lose its replica between its last event and its end: the next
// one has nothing left to send and says so.
func TestMarkedEndCompletesAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(4, func(n int, _ *Attempt) (*Reply, error) {
			if n == 1 {
				return streamReply(1, 8, errLost), nil
			}
			reply := streamOf(io.EOF)
			reply.EndMarked = true
			return reply, nil
		})
		ids, err := drainStream(b.router.Begin(modelRequest(route(Streaming, 2, true), PromptPart{"own", 100})).Stream)
		assert.ErrorIs(t, err, io.EOF)
		assert.Equal(t, len(ids), 8)
	})
}
