package router

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/quota/enforcer"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// newQuotaBed returns a testBed whose daemon is alone and has had time to fill the bucket of a workspace
// with the given quota of tokens a second.
func newQuotaBed(rate float64, send func(n int, a *Attempt) (*Reply, error)) (*testBed, *Workspace) {
	b := newTestBed(4, func(n int, a *Attempt) (*Reply, error) {
		if _, err := a.Admit(); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return send(n, a)
	})
	workspace := &Workspace{Name: "customer", Quota: enforcer.Quota{Rate: rate, Burst: rate, Unit: enforcer.Tokens, PlainTokens: 200}}
	quotas := enforcer.New(enforcer.Options{FleetShare: func() float64 { return 1 }}, timekeeper.System{})
	quotas.SetQuotas(map[string]enforcer.Quota{workspace.Name: workspace.Quota})
	quotas.GiveBack(workspace.Name, 0, 0)
	b.router.options.Quotas = quotas
	<-time.After(100 * time.Millisecond)
	quotas.GiveBack(workspace.Name, 0, 0)
	<-time.After(2 * time.Second)
	return b, workspace
}

// TestRequestBeyondQuotaIsRefusedAtOnce guards against requests beyond a workspace's quota that reach a
// replica, or wait for the refusal: three of 400 tokens come where 1,000 may be sent.
func TestRequestBeyondQuotaIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, workspace := newQuotaBed(1000, func(int, *Attempt) (*Reply, error) { return streamReply(0, 1, nil), nil })
		ask := func() *Result {
			request := modelRequest(route(Streaming, 1, false), PromptPart{"a", 390})
			request.Workspace = workspace
			result := b.router.Begin(request)
			if result.Stream != nil {
				result.Stream.Close()
			}
			return result
		}
		assert.Assert(t, ask().Failure == nil)
		assert.Assert(t, ask().Failure == nil)
		start := time.Now()
		failure := ask().Failure
		assert.Equal(t, failure.Reason, ReasonQuota)
		assert.Assert(t, failure.NotRun && time.Since(start) == 0)
		assert.Equal(t, len(b.attempts), 2)
		<-time.After(failure.RetryAfter)
		assert.Assert(t, ask().Failure == nil, "no room at the time that was named")
	})
}

// TestRejectedRequestIsGivenBack guards against a quota that is used up by requests which replicas reject:
// each is sent twice and runs nowhere.
func TestRejectedRequestIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, workspace := newQuotaBed(1000, func(int, *Attempt) (*Reply, error) { return rejectionReply(), nil })
		for range 5 {
			request := newRequest(route(AtMostOnce, 1, false))
			request.Route.MaxReplicas = 2
			request.Workspace = &Workspace{Name: workspace.Name, Quota: workspace.Quota}
			request.Workspace.Quota.PlainTokens = 900
			assert.Equal(t, b.router.Begin(request).Failure.Reason, ReasonRejected)
		}
		assert.Assert(t, b.router.options.Quotas.Take(workspace.Name, -1, 1000))
	})
}
