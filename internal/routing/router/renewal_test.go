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
)

// streamFleet is a daemon whose routes renew the attempts of streams that have grown.
type streamFleet struct {
	replicas int
	// streamsPerSecond begin for playTime; each has events of eventGap, in all streamTime.
	streamsPerSecond               int
	playTime, streamTime, eventGap time.Duration
	// breaks reports whether a replica is lost to a stream before its next event.
	breaks func(replica string, eventsSent int, since time.Duration) bool
}

// streamFigures are the figures of a play.
type streamFigures struct {
	complete, broken int
	// again holds when requests were sent once more, first when they were sent first.
	again, first []time.Duration
}

// play sends the streams, one attempt of a request at a time as the product's own interface does.
func (f streamFleet) play() (figures streamFigures) {
	b := newTestBed(f.replicas, nil)
	b.router.options.RetryBudget = limiter.BudgetLimits{Ratio: 0.1, Extra: 20, Window: 10 * time.Second}
	began := time.Now()
	var mu sync.Mutex
	seen := map[string]bool{}
	events := int64(f.streamTime / f.eventGap)
	b.router.transport = Transport{Send: func(_ context.Context, a *Attempt) (*Reply, error) {
		if _, err := a.Admit(); err != nil {
			return nil, err
		}
		mu.Lock()
		if seen[a.Request.ID] {
			figures.again = append(figures.again, time.Since(began))
		} else {
			figures.first = append(figures.first, time.Since(began))
		}
		seen[a.Request.ID] = true
		mu.Unlock()
		sent, next := 0, a.LastEventID+1
		reply := answerReply(200, "")
		reply.EndMarked = true
		reply.NextEvent = func() (Event, error) {
			<-time.After(f.eventGap)
			if f.breaks(a.ReplicaID, sent, time.Since(began)) {
				return Event{}, errLost
			}
			if next == events {
				return Event{}, io.EOF
			}
			sent, next = sent+1, next+1
			return Event{Raw: []byte("x"), ID: next - 1}, nil
		}
		return reply, nil
	}}
	var tasks sync.WaitGroup
	for n := range int(f.playTime.Seconds()) * f.streamsPerSecond {
		tasks.Go(func() {
			r := route(Streaming, 3, true)
			r.RenewAttempts = true
			request := modelRequest(r, PromptPart{fmt.Sprint("own", n), 10})
			request.ID = fmt.Sprint("q", n)
			request.Deadline = request.Arrived.Add(time.Minute)
			result := b.router.Begin(request)
			err := errLost
			if result.Stream != nil {
				_, err = drainStream(result.Stream)
			}
			mu.Lock()
			defer mu.Unlock()
			if errors.Is(err, io.EOF) {
				figures.complete++
			} else {
				figures.broken++
			}
		})
		<-time.After(time.Second / time.Duration(f.streamsPerSecond))
	}
	tasks.Wait()
	return figures
}

// worst returns the most that a window had of the budget.
func (f streamFigures) worst(limits limiter.BudgetLimits) (worst float64) {
	count := func(times []time.Duration, from, to time.Duration) (n float64) {
		for _, at := range times {
			if at >= from && at < to {
				n++
			}
		}
		return n
	}
	for _, from := range f.again {
		requests := max(count(f.first, from, from+limits.Window), count(f.first, from-limits.Window/2, from+limits.Window/2), count(f.first, from-limits.Window, from))
		worst = max(worst, count(f.again, from, from+limits.Window)/(limits.Ratio*requests+limits.Extra))
	}
	return worst
}

// TestGrowingStreamsStayWithinTheRetryBudget guards against replicas that break each stream after a few
// events and get as many attempts as there are events (BUDGET): a stream that has grown was
// continued without asking the budget.
func TestGrowingStreamsStayWithinTheRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		figures := streamFleet{
			replicas: 4, streamsPerSecond: 20, playTime: 30 * time.Second, streamTime: 4 * time.Second, eventGap: 100 * time.Millisecond,
			breaks: func(_ string, sent int, _ time.Duration) bool { return sent == 3 },
		}.play()
		worst := figures.worst(limiter.BudgetLimits{Ratio: 0.1, Extra: 20, Window: 10 * time.Second})
		t.Logf("%d requests, sent again %d, worst window %.2f of the budget", len(figures.first), len(figures.again), worst)
		assert.Check(t, worst <= 1)
	})
}

// TestStreamsOfALostReplicaAreContinued guards against a budget that is too small for the loss of one
// replica under load: no stream ends if a twelfth of them or less is interrupted. With three
// replicas the rest ends, and its callers may resume it.
func TestStreamsOfALostReplicaAreContinued(t *testing.T) {
	t.Parallel()
	for _, replicas := range []int{3, 12, 60} {
		for _, rate := range []int{10, 60} {
			synctest.Test(t, func(t *testing.T) {
				const lostAt = 15 * time.Second
				figures := streamFleet{
					replicas: replicas, streamsPerSecond: rate, playTime: 30 * time.Second, streamTime: 5 * time.Second, eventGap: 50 * time.Millisecond,
					breaks: func(replica string, _ int, since time.Duration) bool { return replica == "i-0" && since > lostAt },
				}.play()
				t.Logf("%d replicas, %d streams/s: complete %d, broken %d, sent again %d", replicas, rate, figures.complete, figures.broken, len(figures.again))
				assert.Check(t, figures.worst(limiter.BudgetLimits{Ratio: 0.1, Extra: 20, Window: 10 * time.Second}) <= 1)
				assert.Check(t, replicas < 12 || figures.broken == 0)
			})
		}
	}
}
