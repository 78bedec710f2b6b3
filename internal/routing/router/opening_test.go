package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/metrics/recorder"
	"gotest.tools/v3/assert"
)

const (
	// openingDaemons and openingReplicas are the sizes of the simulated fleet.
	openingDaemons, openingReplicas = 23, 24
	// openingReportInterval is how often sidecars report the load of their replicas.
	openingReportInterval = 200 * time.Millisecond
	// openingBound is within which time a replica that is back gets nine tenths of its share: five
	// latency targets.
	openingBound = 2 * time.Second
)

// openingReplica is a simulated replica, which works on requests in the order of arrival in a number of
// slots.
type openingReplica struct {
	up    bool
	start int64
	// version is that of the weights; loading is set while they are loaded.
	version int
	loading bool
	// slowUntil is until when work takes twice as long.
	slowUntil time.Time
	// freeAt is when each slot is free.
	freeAt []time.Time
	// arrivals are the requests that have arrived, running counts those that are not answered.
	arrivals []arrival
	running  int
}

// arrival is a request that arrives at a replica, and how long it waits.
type arrival struct {
	at    time.Time
	queue time.Duration
}

// openingFleet simulates daemons and replicas that come back under load.
type openingFleet struct {
	beds     []*testBed
	replicas []*openingReplica
	work     time.Duration
	request  func(n int) *Request

	// mu guards the replicas and the fields below.
	mu                    sync.Mutex
	sent, inTime, refused int
	// lostAttempts counts attempts at replicas that are down or go down before the answer.
	lostAttempts int
}

// newOpeningFleet returns a fleet of replicas with a number of slots, in each of which a request takes
// the given work. share is each daemon's share of a pace, 0 if nothing is paced.
func newOpeningFleet(slots int, work time.Duration, share float64, request func(n int) *Request) *openingFleet {
	f := &openingFleet{work: work, request: request}
	for range openingReplicas {
		f.replicas = append(f.replicas, &openingReplica{up: true, start: 1, version: 1, freeAt: make([]time.Time, slots)})
	}
	for i := range openingDaemons {
		b := newTestBed(openingReplicas, nil)
		b.router.options.Zone = descriptor(i, 1).Zone
		b.router.options.PlainRequestTime = work
		b.router.transport.Send = f.send
		if share > 0 {
			b.pool.pacing.Store(&pacing{paced: func(string) bool { return true }, share: func() float64 { return share }, logger: b.router.logger, recorder: recorder.New()})
		}
		f.beds = append(f.beds, b)
	}
	return f
}

// send answers an attempt.
func (f *openingFleet) send(_ context.Context, a *Attempt) (*Reply, error) {
	var i int
	_, _ = fmt.Sscanf(a.ReplicaID, "i-%d", &i)
	f.mu.Lock()
	r, now := f.replicas[i], time.Now()
	if !r.up {
		f.lostAttempts++
		f.mu.Unlock()
		return nil, ErrNotSent
	}
	slot := 0
	for n := range r.freeAt {
		if r.freeAt[n].Before(r.freeAt[slot]) {
			slot = n
		}
	}
	began := now
	if r.freeAt[slot].After(began) {
		began = r.freeAt[slot]
	}
	work := f.work
	if now.Before(r.slowUntil) {
		work *= 2
	}
	r.freeAt[slot] = began.Add(work)
	r.arrivals = append(r.arrivals, arrival{now, began.Sub(now)})
	r.running++
	start := r.start
	f.mu.Unlock()
	<-time.After(began.Add(work).Sub(now))
	f.mu.Lock()
	defer f.mu.Unlock()
	if !r.up || r.start != start {
		f.lostAttempts++
		return nil, errLost
	}
	r.running--
	if a.Request.Prompt == nil {
		reply := answerReply(200, "done")
		reply.Running, reply.Queued = min(r.running, len(r.freeAt)), max(0, r.running-len(r.freeAt))
		return reply, nil
	}
	reply := streamReply(0, 1, io.EOF)
	reply.WeightsVersion = a.WeightsVersion
	return reply, nil
}

// report has all daemons get the list and the reports of all replicas.
func (f *openingFleet) report() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Descriptor
	for i, r := range f.replicas {
		d := descriptor(i, r.version)
		d.StartUnixMilli = r.start
		list = append(list, d)
	}
	for _, b := range f.beds {
		b.pool.SetReplicas(list)
	}
	if f.request(0).Prompt == nil {
		return
	}
	for i, r := range f.replicas {
		state := State{StartUnixMilli: r.start, Running: r.running}
		switch {
		case !r.up:
			state.Phase = Unreachable
		case r.loading:
			state.Phase = Loading
		}
		for _, b := range f.beds {
			state.BacklogTokens[0] += b.pool.BacklogToReport(list[i].Address)[0]
		}
		for _, b := range f.beds {
			b.pool.UpdateState(list[i].Address, state)
		}
	}
}

// run sends requests for a time. Events are called at their times since the start, with the fleet
// locked.
func (f *openingFleet) run(duration time.Duration, perSecond float64, events map[time.Duration]func()) {
	random := rand.New(rand.NewPCG(7, 48))
	var tasks sync.WaitGroup
	began := time.Now()
	tasks.Go(func() {
		for time.Since(began) < duration {
			f.report()
			<-time.After(openingReportInterval)
		}
	})
	for at, event := range events {
		tasks.Go(func() {
			<-time.After(at)
			f.mu.Lock()
			defer f.mu.Unlock()
			event()
		})
	}
	for n := 1; time.Since(began) < duration; n++ {
		bed := f.beds[random.IntN(len(f.beds))]
		tasks.Go(func() {
			request := f.request(n)
			result := bed.router.Begin(request)
			if result.Stream != nil {
				result.Stream.Close()
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			f.sent++
			switch {
			case result.Failure != nil:
				f.refused++
			case time.Since(request.Arrived) <= request.Route.LatencyTarget:
				f.inTime++
			}
		})
		<-time.After(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
	}
	tasks.Wait()
}

// crash has replicas go down, restart has them come back as new processes.
func (f *openingFleet) crash(replicas ...int) {
	for _, i := range replicas {
		f.replicas[i].up = false
	}
}

func (f *openingFleet) restart(replicas ...int) {
	for _, i := range replicas {
		r := f.replicas[i]
		r.up = true
		r.start++
		r.running = 0
		clear(r.freeAt)
	}
}

// arrived returns how many requests arrived at the given replicas in a span, and how many of them could not
// be in time any more.
func (f *openingFleet) arrived(from, to time.Time, replicas ...int) (count, late int) {
	target := f.request(0).Route.LatencyTarget
	for _, i := range replicas {
		for _, a := range f.replicas[i].arrivals {
			if a.at.Before(from) || !a.at.Before(to) {
				continue
			}
			count++
			if a.queue+f.work > target {
				late++
			}
		}
	}
	return count, late
}

// opening adds up how replicas were loaded that came back, over several plays.
type opening struct {
	// early counts the requests there until openingBound, late those of them that came too late.
	early, late int
	// share is the sum of their shares in the two seconds after openingBound, as multiples of the average
	// of all replicas.
	share float64
	plays int
}

// add adds a play of a fleet whose given replicas came back at a time.
func (o *opening) add(f *openingFleet, back time.Time, replicas ...int) {
	bound := back.Add(openingBound)
	early, late := f.arrived(back, bound, replicas...)
	own, _ := f.arrived(bound, bound.Add(2*time.Second), replicas...)
	everywhere := make([]int, len(f.replicas))
	for i := range everywhere {
		everywhere[i] = i
	}
	all, _ := f.arrived(bound, bound.Add(2*time.Second), everywhere...)
	o.early, o.late, o.plays = o.early+early, o.late+late, o.plays+1
	o.share += float64(own*len(f.replicas)) / float64(all*len(replicas))
}

// wrong returns what is wrong: more of the early requests came too late than a share of them, or the replicas
// had less than a part of the average work.
func (o *opening) wrong(maxLate, minShare float64) (faults []string) {
	if late := float64(o.late) / float64(max(1, o.early)); late > maxLate {
		faults = append(faults, fmt.Sprintf("flooded: %.2f of %d requests too late", late, o.early))
	}
	if share := o.share / float64(o.plays); share < minShare {
		faults = append(faults, fmt.Sprintf("idle: %.2f of the average", share))
	}
	return faults
}

// promptRequest returns a request of 2,500 tokens, which a replica prefills in 42 ms.
func promptRequest(n int) *Request {
	return modelRequest(route(Streaming, 2, true), PromptPart{fmt.Sprint("own", n), 2500})
}

func plainRequest(int) *Request { return newRequest(route(Repeatable, 2, false)) }

const promptWork = 42 * time.Millisecond

// Shares of a pace with which each daemon keeps to it, and those of broken pacers.
const (
	soundShare      = 1.0 / openingDaemons
	opensAtOnce     = 1000
	neverOpens      = 1e-9
	openingPlays    = 6
	openingCrashed  = 3 * time.Second
	openingReturned = 6 * time.Second
	openingEnd      = 10 * time.Second
)

// playCrash has a quarter of the replicas crash for three seconds, in several plays. The load is so high that
// the others have nearly as much work meanwhile as they can do. restarted is called for each replica that
// is back.
func playCrash(t *testing.T, plays, slots int, work time.Duration, share float64, request func(int) *Request, restarted func(*openingReplica)) (result opening) {
	t.Helper()
	back := []int{0, 1, 2, 3, 4, 5}
	for range plays {
		synctest.Test(t, func(*testing.T) {
			f := newOpeningFleet(slots, work, share, request)
			returned := time.Now().Add(openingReturned)
			f.run(openingEnd, 0.7*openingReplicas*float64(slots)/work.Seconds(), map[time.Duration]func(){
				openingCrashed: func() { f.crash(back...) },
				openingReturned: func() {
					f.restart(back...)
					for _, i := range back {
						restarted(f.replicas[i])
					}
				},
			})
			result.add(f, returned, back...)
		})
	}
	return result
}

// TestOpeningAfterCrashUnderFullLoad guards against replicas that are flooded or left idle when they are
// back from a crash. A pacer that never opens is caught.
func TestOpeningAfterCrashUnderFullLoad(t *testing.T) {
	t.Parallel()
	sound := playCrash(t, openingPlays, 1, promptWork, soundShare, promptRequest, func(*openingReplica) {})
	assert.Equal(t, len(sound.wrong(0.05, 0.9)), 0, "%v", sound.wrong(0.05, 0.9))
	closed := playCrash(t, 1, 1, promptWork, neverOpens, promptRequest, func(*openingReplica) {})
	t.Logf("%+v, never opened %+v", sound, closed)
	assert.Assert(t, len(closed.wrong(0.05, 0.9)) > 0, "%+v", closed)
}

// TestOpeningOfSlowReplicas guards against floods of replicas that are half as fast for three seconds after
// their start. They find their lower pace. A pacer that opens at once is caught.
func TestOpeningOfSlowReplicas(t *testing.T) {
	t.Parallel()
	slow := func(r *openingReplica) { r.slowUntil = time.Now().Add(3 * time.Second) }
	sound := playCrash(t, openingPlays, 1, promptWork, soundShare, promptRequest, slow)
	assert.Equal(t, len(sound.wrong(0.25, 0.5)), 0, "%v", sound.wrong(0.25, 0.5))
	flooded := playCrash(t, openingPlays, 1, promptWork, opensAtOnce, promptRequest, slow)
	t.Logf("%+v, opened at once %+v", sound, flooded)
	assert.Assert(t, len(flooded.wrong(0.25, 0.5)) > 0, "%+v", flooded)
}

// TestOpeningOfPlainServersWithSixSlots is the crash of plain servers, of which nobody reports the load.
func TestOpeningOfPlainServersWithSixSlots(t *testing.T) {
	t.Parallel()
	sound := playCrash(t, openingPlays, 6, 120*time.Millisecond, soundShare, plainRequest, func(*openingReplica) {})
	assert.Equal(t, len(sound.wrong(0.05, 0.9)), 0, "%v", sound.wrong(0.05, 0.9))
	closed := playCrash(t, 1, 6, 120*time.Millisecond, neverOpens, plainRequest, func(*openingReplica) {})
	t.Logf("%+v, never opened %+v", sound, closed)
	assert.Assert(t, len(closed.wrong(0.05, 0.9)) > 0, "%+v", closed)
}

// playAtHalfLoad plays events for ten seconds while the replicas have half the work that they can do.
func playAtHalfLoad(t *testing.T, share float64, events func(f *openingFleet) map[time.Duration]func()) *openingFleet {
	t.Helper()
	var f *openingFleet
	synctest.Test(t, func(*testing.T) {
		f = newOpeningFleet(1, promptWork, share, promptRequest)
		f.run(openingEnd, 0.5*openingReplicas/promptWork.Seconds(), events(f))
	})
	return f
}

// TestOpeningOfAllReplicasAtOnce guards against refusals because of a pace alone: all replicas start anew at
// the same moment.
func TestOpeningOfAllReplicasAtOnce(t *testing.T) {
	f := playAtHalfLoad(t, soundShare, func(f *openingFleet) map[time.Duration]func() {
		return map[time.Duration]func(){openingReturned: func() {
			for i := range f.replicas {
				f.restart(i)
			}
		}}
	})
	assert.Equal(t, f.refused, 0)
	assert.Assert(t, float64(f.inTime) > 0.95*float64(f.sent), "%d of %d", f.inTime, f.sent)
}

// TestOpeningWithNewWeightsInTurn guards against requests that are late or refused because replicas open
// which have loaded new weights one after the other.
func TestOpeningWithNewWeightsInTurn(t *testing.T) {
	f := playAtHalfLoad(t, soundShare, func(f *openingFleet) map[time.Duration]func() {
		events := make(map[time.Duration]func())
		for i, r := range f.replicas {
			begin := time.Second + time.Duration(i)*300*time.Millisecond
			events[begin] = func() { r.loading = true }
			events[begin+500*time.Millisecond] = func() { r.loading = false }
		}
		return events
	})
	assert.Equal(t, f.refused, 0)
	assert.Assert(t, float64(f.inTime) > 0.95*float64(f.sent), "%d of %d", f.inTime, f.sent)
}

// TestOpeningOfFlappingReplicas guards against ever more requests lost at replicas that go down and up by
// turns: with a pace they lose fewer than with a backoff alone.
func TestOpeningOfFlappingReplicas(t *testing.T) {
	t.Parallel()
	flap := func(f *openingFleet) map[time.Duration]func() {
		events := make(map[time.Duration]func())
		for at := 2 * time.Second; at < 9*time.Second; at += 1400 * time.Millisecond {
			events[at] = func() { f.crash(0, 1, 2) }
			events[at+700*time.Millisecond] = func() { f.restart(0, 1, 2) }
		}
		return events
	}
	paced, unpaced := 0, 0
	for range openingPlays {
		paced += playAtHalfLoad(t, soundShare, flap).lostAttempts
		unpaced += playAtHalfLoad(t, 0, flap).lostAttempts
	}
	t.Log(paced, unpaced)
	assert.Assert(t, paced < unpaced, "%d, %d without a pace", paced, unpaced)
}

// TestWhichReplicasArePaced has replicas start, fail and come back: they are paced if their service is, but not
// those that a daemon knows since its own start.
func TestWhichReplicasArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, service := range []string{"s", "other"} {
			b := newTestBed(3, func(int, *Attempt) (*Reply, error) { return nil, ErrNotSent })
			b.router.options.PacedStarts = func(name string) bool { return name == service }
			b.router.paceStarts()
			paced := func(i int) bool { return b.pool.ReplicaByID(fmt.Sprint("i-", i)).pacer.Load().Paced() }
			list := func(replicas int) (list []Descriptor) {
				for i := range replicas {
					list = append(list, descriptor(i, 1))
				}
				return list
			}
			b.pool.SetReplicas(list(4))
			assert.Assert(t, !paced(3), "the list is new")
			<-time.After(newListTime)
			b.pool.SetReplicas(list(5))
			assert.Equal(t, paced(4), service == "s", "new")
			for i, phase := range []Phase{Unreachable, Loading, Preparing} {
				b.pool.UpdateState(descriptor(i, 1).Address, State{Phase: phase, StartUnixMilli: 1})
				b.pool.UpdateState(descriptor(i, 1).Address, State{StartUnixMilli: 1})
				assert.Equal(t, paced(i), service == "s" && phase > Preparing, "%s before", phase)
			}
			b.pool.SetReplicas(list(3)[2:])
			b.router.Begin(newRequest(route(Repeatable, 2, false)))
			assert.Equal(t, paced(2), service == "s", "no connection")
		}
	})
}

// TestReplicaIsNotBlamedForOwnLack guards against sound replicas that get no requests since this daemon could open
// no connection to them.
func TestReplicaIsNotBlamedForOwnLack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lacks := true
		b := newTestBed(1, func(int, *Attempt) (*Reply, error) {
			if lacks {
				return nil, errors.Join(ErrNotSent, ErrNoDescriptor)
			}
			return answerReply(200, "whole"), nil
		})
		b.router.options.PacedStarts = func(string) bool { return true }
		for range seriesOfFailures {
			failure := b.router.Begin(newRequest(route(AtMostOnce, 1, false))).Failure
			assert.Assert(t, failure != nil && failure.NotRun && failure.RetryAfter > 0, "%v", failure)
		}
		replica := b.pool.ReplicaByID("i-0")
		backingOff, failureRate := replica.inBackoff(time.Now())
		assert.Check(t, !backingOff && failureRate == 0 && !replica.pacer.Load().Paced())
		lacks = false
		assert.Check(t, b.router.Begin(newRequest(route(AtMostOnce, 1, false))).Failure == nil)
	})
}
