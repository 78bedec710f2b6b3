package router

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
)

// TestSlowPlainReplicaIsKeptWithoutAnother guards against requests that fail although their replica would
// have answered (LOST, as for streams): a silent replica was given up before it was known
// whether another one could have the request.
func TestSlowPlainReplicaIsKeptWithoutAnother(t *testing.T) {
	for _, tc := range []struct {
		name     string
		replicas int
		spent    bool
		attempts int
	}{{"the only replica", 1, false, 1}, {"the retry budget is spent", 3, true, 1}, {"another replica", 3, false, 2}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestBed(tc.replicas, nil)
				attempts := 0
				b.router.transport = Transport{Send: func(ctx context.Context, a *Attempt) (*Reply, error) {
					if _, err := a.Admit(); err != nil {
						return nil, err
					}
					work := 10 * time.Millisecond
					if attempts++; attempts == 1 {
						work = 2 * time.Second
					}
					select {
					case <-ctx.Done():
						return nil, ctx.Err()
					case <-time.After(work):
						return answerReply(200, "ok"), nil
					}
				}}
				for spent := tc.spent; spent; {
					spent = b.router.serviceState("s").budget.Spend()
				}
				result := b.router.Begin(newRequest(route(Repeatable, 2, false)))
				assert.Assert(t, result.Failure == nil)
				assert.Equal(t, string(result.Body), "ok")
				assert.Equal(t, attempts, tc.attempts)
			})
		})
	}
}

// TestDeniedRetryIsLoggedOnce guards against a log that fills while replicas are slow and the retry
// budget is spent: each waiting request wrote a line each 1.2 s. All denials count.
func TestDeniedRetryIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(3, nil)
		var lines bytes.Buffer
		b.router.logger = log.New(&lines)
		b.router.transport = Transport{Concurrent: true, Send: func(context.Context, *Attempt) (*Reply, error) {
			<-time.After(9 * time.Second)
			return answerReply(200, "ok"), nil
		}}
		for b.router.serviceState("s").budget.Spend() {
			continue
		}
		request := newRequest(route(Repeatable, 2, false))
		request.Deadline = request.Arrived.Add(10 * time.Second)
		assert.Assert(t, b.router.Begin(request).Failure == nil)
		assert.Equal(t, strings.Count(lines.String(), "not repeated"), 1)
		assert.Equal(t, b.router.recorder.Counters()["retries.denied"], int64(7))
	})
}
