package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/limiter"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// budgetBehaviour says what a replica does with attempts.
type budgetBehaviour int

const (
	budgetServes budgetBehaviour = iota
	budgetRejects
	budgetIsAnother
	budgetPauses
	budgetIsLost
	budgetBreaks
	budgetSlow
	budgetBehaviours
)

const (
	budgetReplicas = 4
	budgetRoutes   = 3
)

// budgetPhase is a span of a play with one configuration.
type budgetPhase struct {
	length time.Duration
	// pause is the time between two requests.
	pause time.Duration
	// services holds the service of each route, 0 or 1.
	services [budgetRoutes]int
	// replicas holds the behaviour of the replicas of both services.
	replicas [2][budgetReplicas]budgetBehaviour
	// sameContent is set if all requests have the same content.
	sameContent bool
}

// budgetPlay plays phases and records the requests to services and the attempts there.
type budgetPlay struct {
	bed    *testBed
	limits limiter.BudgetLimits
	began  time.Time

	// mu guards the fields below.
	mu    sync.Mutex
	phase budgetPhase
	// requests holds when requests for each service began, again when they arrived there other
	// than for the first time.
	requests, again [2][]time.Duration
	seen            map[string]bool
}

func (p *budgetPlay) send(ctx context.Context, a *Attempt) (*Reply, error) {
	if _, err := a.Admit(); err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	var service, replica int
	if _, err := fmt.Sscanf(a.ReplicaID, "s%d-%d", &service, &replica); err != nil {
		return nil, err
	}
	p.mu.Lock()
	behaviour := p.phase.replicas[service][replica]
	if p.seen[a.Request.ID] {
		p.again[service] = append(p.again[service], time.Since(p.began))
	}
	p.seen[a.Request.ID] = true
	p.mu.Unlock()
	work := 20 * time.Millisecond
	if behaviour == budgetSlow {
		work = 2 * time.Second
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(work):
	}
	reply := answerReply(200, "ok")
	if a.Request.Prompt != nil {
		reply = streamReply(a.LastEventID+1, 4, io.EOF)
		reply.WeightsVersion = a.WeightsVersion
	}
	switch behaviour {
	case budgetRejects:
		return rejectionReply(), nil
	case budgetIsAnother:
		reply = rejectionReply()
		reply.WrongReplica = true
	case budgetPauses:
		reply = rejectionReply()
		reply.Pause = time.Second
	case budgetIsLost:
		return nil, errLost
	case budgetBreaks:
		if a.Request.Prompt == nil {
			reply.ReadBody = func() ([]byte, error) { return nil, errLost }
		} else if a.LastEventID < 3 {
			reply = streamReply(a.LastEventID+1, a.LastEventID+2, errLost)
			reply.WeightsVersion = a.WeightsVersion
		}
	}
	return reply, nil
}

// request sends one request on a route.
func (p *budgetPlay) request(id string, kind int) {
	p.mu.Lock()
	phase := p.phase
	service := phase.services[kind%budgetRoutes]
	p.requests[service] = append(p.requests[service], time.Since(p.began))
	p.mu.Unlock()
	r := route(Repeatable, 3, false)
	if kind%2 == 0 {
		r = route(Streaming, 3, true)
		r.RenewAttempts = true
	}
	r.Name = fmt.Sprint("route-", kind%budgetRoutes)
	r.Shares = []Share{{Service: fmt.Sprint("s", service), Weight: 1}}
	request := newRequest(r)
	if kind%2 == 0 {
		request = modelRequest(r, PromptPart{id, 10})
	}
	request.ID, request.ContentKey = id, NewContentKey([]byte(id))
	if phase.sameContent {
		request.ContentKey = 7
	}
	if result := p.bed.router.Begin(request); result.Stream != nil {
		_, _ = drainStream(result.Stream)
	}
}

// worst returns the most that a window had of what it may have, over both services.
func (p *budgetPlay) worst() (worst float64) {
	for service := range p.again {
		figures := streamFigures{again: p.again[service], first: p.requests[service]}
		worst = max(worst, figures.worst(p.limits))
	}
	return worst
}

// playBudget plays phases. It returns the worst window, and how many attempts beyond the first were
// not taken from the budget.
func playBudget(t *testing.T, phases []budgetPhase, budget limiter.BudgetLimits) (worst float64, unpaid int) {
	synctest.Test(t, func(*testing.T) {
		p := &budgetPlay{bed: newTestBed(0, nil), limits: limiter.BudgetLimits{Ratio: 0.2, Extra: 5, Window: 10 * time.Second}, began: time.Now(), seen: map[string]bool{}}
		p.bed.router.options.RetryBudget = budget
		p.bed.router.transport = Transport{Send: p.send, Concurrent: true}
		var list []Descriptor
		for i := range 2 * budgetReplicas {
			replica := descriptor(i, 1)
			replica.Service = fmt.Sprint("s", i/budgetReplicas)
			replica.ID = fmt.Sprintf("s%d-%d", i/budgetReplicas, i%budgetReplicas)
			list = append(list, replica)
		}
		p.bed.pool.SetReplicas(list)
		var tasks sync.WaitGroup
		requests := 0
		for _, phase := range phases {
			p.mu.Lock()
			p.phase = phase
			p.mu.Unlock()
			for until := time.Now().Add(phase.length); time.Now().Before(until); {
				requests++
				kind, id := requests, fmt.Sprint("q", requests)
				tasks.Go(func() { p.request(id, kind) })
				<-time.After(phase.pause)
			}
		}
		tasks.Wait()
		worst = p.worst()
		unpaid = len(p.again[0]) + len(p.again[1]) - int(p.bed.router.recorder.Counters()["retries"])
	})
	return worst, unpaid
}

// TestEachArrivalBeyondTheFirstIsPaidFor guards against repeats that the retry budget does not know
// (BUDGET): rejections, refusals of another replica, pauses, losses, streams that break, slow
// replicas that are asked beside another, and trials of isolated requests, on routes that share a
// service or move to another one in the middle of a window.
func TestEachArrivalBeyondTheFirstIsPaidFor(t *testing.T) {
	t.Parallel()
	budget := limiter.BudgetLimits{Ratio: 0.2, Extra: 5, Window: 10 * time.Second}
	largest := 0.0
	rapid.Check(t, func(rt *rapid.T) {
		var phases []budgetPhase
		for range rapid.IntRange(1, 5).Draw(rt, "phases") {
			phase := budgetPhase{
				length: time.Duration(rapid.IntRange(1, 8).Draw(rt, "length")) * time.Second,
				pause:  rapid.SampledFrom([]time.Duration{25 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond}).Draw(rt, "pause"), sameContent: rapid.IntRange(0, 3).Draw(rt, "same") == 0,
			}
			for i := range phase.services {
				phase.services[i] = rapid.IntRange(0, 1).Draw(rt, "service")
			}
			for i := range phase.replicas {
				for j := range phase.replicas[i] {
					phase.replicas[i][j] = budgetBehaviour(rapid.IntRange(0, int(budgetBehaviours)-1).Draw(rt, "behaviour"))
				}
			}
			phases = append(phases, phase)
		}
		worst, unpaid := playBudget(t, phases, budget)
		largest = max(largest, worst)
		if worst > 1 || unpaid > 0 {
			rt.Fatalf("%+v: %d attempts are not paid for, the worst window has %.2f of what it may", phases, unpaid, worst)
		}
	})
	t.Logf("worst window: %.2f of what it may have", largest)
}

// TestCheckOfBudgetCatchesMore shows that the check above catches a router with twice the budget.
func TestCheckOfBudgetCatchesMore(t *testing.T) {
	phase := budgetPhase{length: 20 * time.Second, pause: 50 * time.Millisecond}
	for i := range phase.replicas {
		phase.replicas[i] = [budgetReplicas]budgetBehaviour{budgetRejects, budgetRejects, budgetRejects, budgetRejects}
	}
	worst, _ := playBudget(t, []budgetPhase{phase}, limiter.BudgetLimits{Ratio: 0.4, Extra: 10, Window: 10 * time.Second})
	assert.Check(t, worst > 1, "%v", worst)
}

// TestReservedRetryIsSpentOnce guards against a retry that was reserved for an attempt beside a slow replica,
// was not needed, and is then used by both a fork and the dispatch that it was forked from (BUDGET).
func TestReservedRetryIsSpentOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bed := newTestBed(2, nil)
		bed.router.options.RetryBudget = limiter.BudgetLimits{Window: 10 * time.Second}
		d := newDispatch(bed.router, newRequest(route(Streaming, 3, true)))
		defer d.release()
		d.retryReserved = true
		other := d.fork()
		defer other.cancel()
		assert.Check(t, other.spendRetry())
		assert.Check(t, !d.spendRetry(), "the fork has spent it")
		d.join(other)
		assert.Check(t, !d.spendRetry(), "the fork has spent it")

		d.retryReserved = true
		other = d.fork()
		defer other.cancel()
		d.join(other)
		assert.Check(t, d.spendRetry(), "the fork has not spent it")
	})
}
