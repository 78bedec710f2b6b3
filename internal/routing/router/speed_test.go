package router

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/gauger"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// unevenHost is a replica's host: slowness is that of the replica alone, load that of other work.
type unevenHost struct {
	slowness, load float64
	freeAt         time.Time
	collector      *gauger.Collector
	reported       []gauger.Evidence
}

// unevenFleet simulates replicas of unlike speed that several daemons send to.
type unevenFleet struct {
	mu    sync.Mutex
	hosts []*unevenHost
	beds  []*testBed
	// lies is the load that the replicas report, 0 for the true one.
	lies int
}

const unevenTokensPerSecond = 60_000

func newUnevenFleet(daemons int, slowness []float64, speeds bool) *unevenFleet {
	f := &unevenFleet{}
	for _, own := range slowness {
		f.hosts = append(f.hosts, &unevenHost{slowness: own, load: 1, collector: gauger.NewCollector(timekeeper.System{}), reported: make([]gauger.Evidence, daemons)})
	}
	for range daemons {
		b := newTestBed(len(slowness), nil)
		b.router.options.ReplicaSpeeds = speeds
		b.router.options.RetryShare = func() float64 { return 1 / float64(daemons) }
		b.router.transport.Send = func(_ context.Context, a *Attempt) (*Reply, error) {
			var i int
			if _, err := fmt.Sscanf(a.ReplicaID, "i-%d", &i); err != nil {
				return nil, fmt.Errorf("replica's number: %w", err)
			}
			f.prefill(f.hosts[i], a.Request.Prompt.Tokens)
			reply := streamReply(0, 1, io.EOF)
			reply.HostLoad = f.loadOf(f.hosts[i])
			return reply, nil
		}
		f.beds = append(f.beds, b)
	}
	return f
}

// loadOf returns the load that the replica of a host reports.
func (f *unevenFleet) loadOf(h *unevenHost) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lies != 0 {
		return f.lies
	}
	return int(100 * h.load)
}

// prefill waits until a host has prefilled the tokens after all prompts before.
func (f *unevenFleet) prefill(h *unevenHost, tokens int) {
	f.mu.Lock()
	now := time.Now()
	if h.freeAt.Before(now) {
		h.freeAt = now
	}
	h.freeAt = h.freeAt.Add(time.Duration(float64(tokens) / unevenTokensPerSecond * h.slowness * h.load * float64(time.Second)))
	until := h.freeAt
	f.mu.Unlock()
	<-time.After(until.Sub(now))
}

// exchange has the sidecars and the daemons report to each other. The phase is as old as it says.
func (f *unevenFleet) exchange(phaseAge time.Duration) {
	for i, h := range f.hosts {
		address := descriptor(i, 1).Address
		state := State{StartUnixMilli: 1, PhaseAge: phaseAge}
		for n, b := range f.beds {
			state.BacklogTokens[0] += b.pool.BacklogToReport(address)[0]
			evidence := b.pool.SpeedEvidence(address)
			h.collector.Add(evidence.Since(h.reported[n]))
			h.reported[n] = evidence
		}
		h.collector.RecordLoad(f.loadOf(h))
		state.Speed = h.collector.Shared(1)
		for _, b := range f.beds {
			b.pool.UpdateState(address, state)
		}
	}
}

// unevenResult counts what became of requests.
type unevenResult struct {
	sent, inTime, late, refused int
	byReplica                   map[string]int
}

// play sends requests of 3,000 tokens for a time, at a rate that changes with the time, while change is
// called every 100 ms.
func (f *unevenFleet) play(length time.Duration, rate func(at time.Duration) float64, change func(at time.Duration)) unevenResult {
	result := unevenResult{byReplica: make(map[string]int)}
	random := rand.New(rand.NewPCG(1, 2))
	r := route(Streaming, 1, false)
	var mu sync.Mutex
	var tasks sync.WaitGroup
	began, exchangedAt := time.Now(), time.Duration(-1)
	for n := 0; time.Since(began) < length; n++ {
		at := time.Since(began)
		if exchangedAt < 0 || at-exchangedAt >= 100*time.Millisecond {
			exchangedAt = at
			f.mu.Lock()
			change(at)
			f.mu.Unlock()
			f.exchange(time.Minute)
		}
		tasks.Go(func() {
			b, sentAt := f.beds[n%len(f.beds)], time.Now()
			outcome := b.router.Begin(modelRequest(r, PromptPart{fmt.Sprint(n), 3000}))
			took := time.Since(sentAt)
			mu.Lock()
			defer mu.Unlock()
			result.sent++
			switch {
			case outcome.Failure != nil:
				result.refused++
			case took <= r.LatencyTarget:
				result.inTime++
			default:
				result.late++
			}
			if outcome.Stream != nil {
				result.byReplica[outcome.Stream.dispatch.choice.replica.ID()]++
				outcome.Stream.Close()
			}
		})
		<-time.After(time.Duration(random.ExpFloat64() / rate(at) * float64(time.Second)))
	}
	tasks.Wait()
	return result
}

// wave is a demand that swings by 55% around a mean.
func wave(mean float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 { return mean * (1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/17)) }
}

func unlikeSpeeds(replicas int) []float64 {
	slowness := make([]float64, replicas)
	for i := range slowness {
		slowness[i] = []float64{0.7, 0.7, 1.7}[i%3]
	}
	return slowness
}

// noise has other work slow each host down by 2.5 for 15% of the time, in spells of 600 ms.
func (f *unevenFleet) noise() func(time.Duration) {
	random, next := rand.New(rand.NewPCG(3, 4)), make([]time.Duration, len(f.hosts))
	return func(at time.Duration) {
		for i, h := range f.hosts {
			if at < next[i] {
				continue
			}
			next[i], h.load = at+600*time.Millisecond, 1
			if random.Float64() < 0.15 {
				h.load = 2.5
			}
		}
	}
}

// TestReplicasOfUnlikeSpeedUnderAWave guards against late answers of slow replicas, beside noise of
// 600 ms, while fast ones have room: a wave whose mean is two thirds of what the replicas can do. Replicas
// whose speed counts must halve what is late or refused.
func TestReplicasOfUnlikeSpeedUnderAWave(t *testing.T) {
	t.Parallel()
	var lost [2]int
	for i, speeds := range []bool{false, true} {
		for range 3 {
			synctest.Test(t, func(*testing.T) {
				f := newUnevenFleet(3, unlikeSpeeds(12), speeds)
				result := f.play(34*time.Second, wave(150), f.noise())
				lost[i] += result.sent - result.inTime
			})
		}
	}
	assert.Assert(t, lost[1] < lost[0]/2, "%d late or refused without and %d with speeds", lost[0], lost[1])
}

// TestNoiseDoesNotFlapTheChoice guards against replicas of the same speed that take turns in being
// flooded and idle as their hosts are slowed for 600 ms: each must get its part.
func TestNoiseDoesNotFlapTheChoice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newUnevenFleet(3, []float64{1, 1, 1, 1, 1, 1}, true)
		result := f.play(20*time.Second, func(time.Duration) float64 { return 60 }, f.noise())
		for id, served := range result.byReplica {
			assert.Assert(t, float64(served) > 0.5*float64(result.sent)/6, "%s: %d of %d", id, served, result.sent)
		}
		assert.Assert(t, float64(result.inTime) > 0.9*float64(result.sent), "%+v", result)
	})
}

// TestReportsOfLoadThatLie guards against replicas that report any load for their hosts: as all of them
// do, what is expected must find back to what is measured.
func TestReportsOfLoadThatLie(t *testing.T) {
	for _, lie := range []int{1, 100_000} {
		synctest.Test(t, func(t *testing.T) {
			f := newUnevenFleet(3, unlikeSpeeds(6), true)
			f.lies = lie
			result := f.play(20*time.Second, func(time.Duration) float64 { return 60 }, func(time.Duration) {})
			assert.Assert(t, float64(result.inTime) > 0.8*float64(result.sent), "load %d: %+v", lie, result)
		})
	}
}

// TestManyDaemonsDoNotFloodAReplicaThatReturns guards against requests that are never begun: a replica
// that has loaded new weights is idle for all 27 daemons alike, which sent a hundred requests to it
// before the first report.
func TestManyDaemonsDoNotFloodAReplicaThatReturns(t *testing.T) {
	backlog := func(speeds bool) (longest time.Duration) {
		synctest.Test(t, func(*testing.T) {
			const daemons, replicas = 27, 6
			f := newUnevenFleet(daemons, []float64{1, 1, 1, 1, 1, 1}, speeds)
			f.exchange(0)
			// The other replicas have half a second of work.
			for i := 1; i < replicas; i++ {
				for _, b := range f.beds {
					b.pool.UpdateState(descriptor(i, 1).Address, State{StartUnixMilli: 1, BacklogTokens: [PriorityLevels]int{unevenTokensPerSecond / 2}, Speed: gauger.Shared{LoadPercent: 100}, PhaseAge: time.Minute})
				}
			}
			var tasks sync.WaitGroup
			r := route(Streaming, 1, false)
			r.LatencyTarget, r.Timeout = time.Second, 15*time.Second
			for n := range 4 * daemons {
				tasks.Go(func() {
					if outcome := f.beds[n%daemons].router.Begin(modelRequest(r, PromptPart{fmt.Sprint(n), 3000})); outcome.Stream != nil {
						outcome.Stream.Close()
					}
				})
				<-time.After(2 * time.Millisecond)
				for _, b := range f.beds {
					// Entries report at once; what sidecars make of it comes later.
					b.pool.BacklogToReport(descriptor(0, 1).Address)
				}
			}
			f.mu.Lock()
			longest = time.Until(f.hosts[0].freeAt)
			f.mu.Unlock()
			tasks.Wait()
		})
		return longest
	}
	before, after := backlog(false), backlog(true)
	t.Logf("queue at the replica that returns: %s without, %s with", before, after)
	assert.Assert(t, after < before/2 && after < 1500*time.Millisecond, "%s without, %s with", before, after)
}

// TestSpeedsAreOffWithoutReports guards against other choices where replicas do not report the load of
// their hosts: all that is expected of them must be as it was.
func TestSpeedsAreOffWithoutReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(3, func(int, *Attempt) (*Reply, error) {
			<-time.After(700 * time.Millisecond)
			return streamReply(0, 1, io.EOF), nil
		})
		b.router.options.ReplicaSpeeds = true
		for n := range 20 {
			result := b.router.Begin(modelRequest(route(Streaming, 1, false), PromptPart{fmt.Sprint(n), 1000}))
			if result.Stream != nil {
				result.Stream.Close()
			}
		}
		for i := range 3 {
			assert.Equal(t, b.pool.SpeedEvidence(descriptor(i, 1).Address), gauger.Evidence{})
		}
		choice, found := b.router.choose(modelRequest(route(Streaming, 1, false), PromptPart{"q", 1000}), b.router.serviceState("s"), nil, pins{})
		assert.Assert(t, found && choice.slowness == gauger.Usual)
	})
}

// TestStreamThatHasNotBegunIsMovedInTime guards against streams that wait at a replica which has turned
// slow until it is too late for another: one that may run on two replicas is begun at a second one.
func TestStreamThatHasNotBegunIsMovedInTime(t *testing.T) {
	for _, speeds := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestBed(2, nil)
			b.router.options.ReplicaSpeeds = speeds
			b.router.serviceState("s").reportsLoad.Store(true)
			var attempts atomic.Int32
			b.router.transport.Send = func(ctx context.Context, _ *Attempt) (*Reply, error) {
				lasts := 100 * time.Millisecond
				if attempts.Add(1) == 1 {
					lasts = 10 * time.Second
				}
				select {
				case <-time.After(lasts):
					return streamReply(0, 1, io.EOF), nil
				case <-ctx.Done():
					return nil, ctx.Err()
				}
			}
			r := route(Streaming, 2, true)
			r.LatencyTarget, r.Timeout = time.Second, 15*time.Second
			began := time.Now()
			result := b.router.Begin(modelRequest(r, PromptPart{"a", 1000}))
			assert.Assert(t, result.Failure == nil)
			_, err := drainStream(result.Stream)
			assert.ErrorIs(t, err, io.EOF)
			result.Stream.Close()
			assert.Equal(t, time.Since(began) < time.Second, speeds, "%s", time.Since(began))
		})
	}
}
