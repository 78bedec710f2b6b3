package router

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// replicasOf returns the number of replicas that attempts were sent to.
func replicasOf(attempts []*Attempt) int {
	ids := make(map[string]bool)
	for _, a := range attempts {
		ids[a.ReplicaID] = true
	}
	return len(ids)
}

// playRefusals sends a request to nine replicas, which all answer in the drawn ways in turn, and returns
// the result and the number of replicas that got it.
func playRefusals(request *Request, refuse func(n int) (*Reply, error)) (*Result, int) {
	b := newTestBed(9, func(n int, a *Attempt) (*Reply, error) {
		if _, err := a.Admit(); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return refuse(n)
	})
	result := b.router.Begin(request)
	return result, replicasOf(b.attempts)
}

// refusals are the ways in which replicas do not answer a request.
var refusals = map[string]func(n int) (*Reply, error){
	"rejects": func(int) (*Reply, error) { return rejectionReply(), nil },
	"asks for a pause": func(int) (*Reply, error) {
		reply := rejectionReply()
		reply.Pause = 2 * time.Second
		return reply, nil
	},
	"misdirected": func(int) (*Reply, error) {
		reply := rejectionReply()
		reply.Status, reply.WrongReplica = 421, true
		return reply, nil
	},
	"is lost": func(int) (*Reply, error) { return nil, errLost },
	"fails":   func(int) (*Reply, error) { return answerReply(500, ""), nil },
	"takes long": func(int) (*Reply, error) {
		<-time.After(2 * time.Second)
		return rejectionReply(), nil
	},
}

// TestRequestReachesNoMoreReplicasThanItsRouteAllows guards against requests that are sent to one
// replica after another because each rejects them (BUDGET).
func TestRequestReachesNoMoreReplicasThanItsRouteAllows(t *testing.T) {
	kinds := map[string]*Route{"repeatable": route(Repeatable, 1, false), "at most once": route(AtMostOnce, 1, false), "stream": route(Streaming, 1, true)}
	for kind, r := range kinds {
		for name, refuse := range refusals {
			for attempts := 1; attempts <= 3; attempts++ {
				t.Run(fmt.Sprint(kind, " ", name, " ", attempts), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						limited := *r
						limited.MaxAttempts, limited.MaxReplicas = attempts, attempts
						result, reached := playRefusals(newRequest(&limited), refuse)
						assert.Check(t, reached <= attempts, "%d replicas", reached)
						assert.Check(t, result.Failure == nil || !result.Failure.NotRun || result.Failure.RetryAfter > 0)
					})
				})
			}
		}
	}
}

// TestCheckOfReplicasCatchesUnlimitedRejections shows that the check above catches a router without the
// limit: rejections that name a pause lead to all replicas.
func TestCheckOfReplicasCatchesUnlimitedRejections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, reached := playRefusals(newRequest(route(Repeatable, 2, false)), refusals["asks for a pause"])
		assert.Equal(t, reached, 9)
	})
}

// TestRejectedRequestIsToldWhenToRetry has the only replica that a request may be sent to reject it. Its
// caller gets a true refusal: it may come back at once if another one takes requests, else when
// the first of them does.
func TestRejectedRequestIsToldWhenToRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := route(AtMostOnce, 1, false)
		r.MaxReplicas = 1
		result, _ := playRefusals(newRequest(r), refusals["rejects"])
		assert.DeepEqual(t, result.Failure, &Failure{Reason: ReasonRejected, NotRun: true, RetryAfter: rejectedRetryAfter})

		b := newTestBed(1, func(_ int, a *Attempt) (*Reply, error) {
			_, err := a.Admit()
			assert.NilError(t, err)
			return refusals["asks for a pause"](0)
		})
		result = b.router.Begin(newRequest(r))
		assert.Check(t, result.Failure.NotRun && result.Failure.RetryAfter >= 2*time.Second, "%+v", result.Failure)
	})
}

// TestStreamReachesNoMoreReplicasThanItsRouteAllows draws losses, pauses and rejections of a stream and
// of those that continue it.
func TestStreamReachesNoMoreReplicasThanItsRouteAllows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, scriptedMaxAttempts).Draw(rt, "limit")
		play := silencePlay{scripts: drawScripts(rt), maxReplicas: limit}
		if violations := play.run(t); len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}
