package router

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/isolator"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

const (
	// poisonGrace is how long after its third crash a request that crashes replicas may reach
	// more of them, and maxPoisonArrivals how many it may reach after that: the users' bounds.
	poisonGrace       = 4 * time.Second
	maxPoisonArrivals = 3
	// poisonCrashDelay is the time from the beginning of its run to the crash.
	poisonCrashDelay = 45 * time.Millisecond
)

// poisonedFleet simulates daemons before replicas of which each that begins to run requests
// with one content ends, with all requests that it runs, and is back after some seconds.
type poisonedFleet struct {
	daemons  []*testBed
	replicas int
	// poison is the content that crashes replicas.
	poison string
	// restart is how long a replica is down.
	restart time.Duration
	// newRequest returns a request with a content.
	newRequest func(content string) *Request

	// mu guards the fields below.
	mu sync.Mutex
	// crashes holds when replicas crashed because of the poison, downUntil and generation when
	// each is back and how often it has ended, by ID.
	crashes    []time.Time
	downUntil  map[string]time.Time
	generation map[string]int
	// arrivals holds when the poison reached replicas.
	arrivals []time.Time
}

// content is the message of a request in these tests.
type content string

func newPoisonedFleet(daemons, replicas int, poison string) *poisonedFleet {
	f := &poisonedFleet{replicas: replicas, poison: poison, restart: 3 * time.Second, downUntil: map[string]time.Time{}, generation: map[string]int{}}
	for range daemons {
		f.daemons = append(f.daemons, newTestBed(replicas, func(_ int, a *Attempt) (*Reply, error) { return f.answer(a) }))
	}
	f.newRequest = func(text string) *Request {
		request := newRequest(route(Repeatable, 2, false))
		request.Message, request.ContentKey = content(text), NewContentKey([]byte(text))
		return request
	}
	return f
}

// crash ends a replica, which starts again as a new incarnation. The caller holds mu.
func (f *poisonedFleet) crash(id string) {
	f.generation[id]++
	f.downUntil[id] = time.Now().Add(f.restart)
	time.AfterFunc(f.restart, f.list)
}

// list has all daemons learn the incarnations of all replicas.
func (f *poisonedFleet) list() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, bed := range f.daemons {
		var list []Descriptor
		for i := range f.replicas {
			d := descriptor(i, 1)
			d.StartUnixMilli += int64(f.generation[d.ID])
			list = append(list, d)
		}
		bed.pool.SetReplicas(list)
	}
}

// exchange has the daemons exchange evidence through one sidecar, each in an interval, until the
// returned function is called.
func (f *poisonedFleet) exchange(interval time.Duration) (stop func()) {
	sidecar := isolator.New(timekeeper.System{})
	return repeatInTurn(len(f.daemons), interval, func(n int) func() {
		own := f.daemons[n].router.Isolator()
		own.SetTrialSelector(func(key uint64) bool { return key%uint64(len(f.daemons)) == uint64(n) })
		reported, received := uint64(0), uint64(0)
		return func() {
			toReport, toReceive := own.Version(), sidecar.Version()
			sidecar.Merge(own.Report(reported))
			own.Merge(sidecar.Report(received))
			reported, received = toReport, toReceive
		}
	})
}

// answer simulates a replica that works for 30 ms.
func (f *poisonedFleet) answer(a *Attempt) (*Reply, error) {
	id, poison := a.ReplicaID, a.Request.Message == content(f.poison)
	f.mu.Lock()
	if time.Now().Before(f.downUntil[id]) {
		f.mu.Unlock()
		return nil, ErrNotSent
	}
	generation := f.generation[id]
	if poison {
		f.arrivals = append(f.arrivals, time.Now())
	}
	f.mu.Unlock()
	if poison {
		<-time.After(poisonCrashDelay)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.generation[id] == generation {
			f.crashes = append(f.crashes, time.Now())
			f.crash(id)
		}
		return nil, errLost
	}
	<-time.After(30 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.generation[id] != generation {
		return nil, errLost
	}
	return answerReply(200, "ok"), nil
}

// lateArrivals returns how often the poison reached replicas later than poisonGrace after its
// third crash.
func (f *poisonedFleet) lateArrivals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	late := 0
	for _, at := range f.arrivals {
		if len(f.crashes) >= 3 && at.After(f.crashes[2].Add(poisonGrace)) {
			late++
		}
	}
	return late
}

// load sends sound requests and the poison at rates a second for a time, each to a daemon in
// turn. It returns how many sound requests were served.
func (f *poisonedFleet) load(sound, poison int, d time.Duration) (served int) {
	var tasks sync.WaitGroup
	var mu sync.Mutex
	send := func(n int, text string) {
		tasks.Go(func() {
			result := f.daemons[n%len(f.daemons)].router.Begin(f.newRequest(text))
			if result.Stream != nil {
				_, _ = drainStream(result.Stream)
				result.Stream.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			if result.Failure == nil && text != f.poison {
				served++
			}
		})
	}
	for n := range sound * int(d.Seconds()) {
		send(n, fmt.Sprint("sound ", time.Now().UnixNano(), n))
		if poison > 0 && n%(sound/poison) == 0 {
			send(n/(sound/poison), f.poison)
		}
		<-time.After(time.Second / time.Duration(sound))
	}
	tasks.Wait()
	return served
}

// TestRequestThatCrashesReplicasIsIsolated guards against replica after replica of a plain
// service being lost to one request that comes again and again at all daemons.
func TestRequestThatCrashesReplicasIsIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPoisonedFleet(3, 3, "poison")
		defer f.exchange(300 * time.Millisecond)()
		f.load(40, 0, time.Second)
		f.load(40, 4, 20*time.Second)
		assert.Check(t, f.lateArrivals() <= maxPoisonArrivals, "%d attempts later than %v after the third of %d crashes", f.lateArrivals(), poisonGrace, len(f.crashes))
		served := f.load(40, 4, 10*time.Second)
		assert.Check(t, served >= 395, "%d of 400 sound requests served", served)
	})
}

// promptPoison has the poison be a request to a model whose parts others share, instead of one
// to a plain service.
func (f *poisonedFleet) promptPoison() {
	f.newRequest = func(text string) *Request {
		request := modelRequest(route(Repeatable, 2, false), PromptPart{ID: "hot", Tokens: 300}, PromptPart{ID: "own " + text, Tokens: 100})
		request.Message, request.ContentKey = content(text), NewContentKey([]byte(text))
		return request
	}
}

// TestPoisonIsIsolatedInFleetsOfAllSizes has each daemon see a few of the crashes only, for plain
// services and for models whose replicas end before the head of the answer.
func TestPoisonIsIsolatedInFleetsOfAllSizes(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{1, 5, 23, 360} {
		for _, prompt := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				f := newPoisonedFleet(daemons, 12, "poison")
				if prompt {
					f.promptPoison()
				}
				defer f.exchange(300 * time.Millisecond)()
				f.load(40, 0, time.Second)
				f.load(40, 4, 20*time.Second)
				assert.Check(t, f.lateArrivals() <= maxPoisonArrivals, "%d daemons, prompt %v: %d attempts later than %v after the third of %d crashes", daemons, prompt, f.lateArrivals(), poisonGrace, len(f.crashes))
				served := f.load(40, 4, 10*time.Second)
				assert.Check(t, served == 400, "%d daemons, prompt %v: %d of 400 sound requests served", daemons, prompt, served)
			})
		}
	}
}

// TestPoisonThatKeepsComingIsTriedSeldom has the poison come for two hours: all trials count
// against the bound.
func TestPoisonThatKeepsComingIsTriedSeldom(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newPoisonedFleet(5, 6, "poison")
		defer f.exchange(time.Second)()
		f.load(4, 2, 2*time.Hour)
		assert.Check(t, f.lateArrivals() <= maxPoisonArrivals, "%d attempts later than %v after the third of %d crashes", f.lateArrivals(), poisonGrace, len(f.crashes))
	})
}

// TestMendedRequestComesBack has a request that has crashed replicas crash them no more: some
// daemon tries it, and all serve it again.
func TestMendedRequestComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPoisonedFleet(5, 6, "poison")
		defer f.exchange(300 * time.Millisecond)()
		f.load(40, 4, 10*time.Second)
		f.mu.Lock()
		f.poison = "none"
		f.mu.Unlock()
		f.load(5, 0, time.Second)
		for range 2 * 60 * 4 {
			f.daemons[0].router.Begin(f.newRequest("poison"))
			for _, bed := range f.daemons[1:] {
				bed.router.Begin(f.newRequest("poison"))
			}
			<-time.After(250 * time.Millisecond)
		}
		for n, bed := range f.daemons {
			assert.Assert(t, bed.router.Begin(f.newRequest("poison")).Failure == nil, "daemon %d", n)
		}
	})
}

// TestPlannedCrashIsolatesNoRequest has all replicas end together, again and again, while one
// caller repeats a request at a high rate: it runs on most of them each time.
func TestPlannedCrashIsolatesNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPoisonedFleet(3, 6, "none")
		defer f.exchange(300 * time.Millisecond)()
		hot := func(d time.Duration) (served int) {
			for range d / (5 * time.Millisecond) {
				for _, bed := range f.daemons {
					go bed.router.Begin(f.newRequest("hot"))
				}
				<-time.After(5 * time.Millisecond)
			}
			<-time.After(time.Second)
			for _, bed := range f.daemons {
				if bed.router.Begin(f.newRequest("hot")).Failure == nil {
					served++
				}
			}
			return served
		}
		for range 4 {
			assert.Equal(t, hot(2*time.Second), 3)
			f.mu.Lock()
			for i := range 6 {
				f.crash(descriptor(i, 1).ID)
			}
			f.mu.Unlock()
			<-time.After(f.restart + maxBackoff)
		}
		assert.Equal(t, hot(2*time.Second), 3)
	})
}

// TestWaitingRequestsAreRecalled guards against requests that wait at replicas when they are
// isolated: each would end one more. Other requests that wait stay.
func TestWaitingRequestsAreRecalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPoisonedFleet(1, 6, "none")
		r := f.daemons[0].router
		r.transport = Transport{Send: func(ctx context.Context, _ *Attempt) (*Reply, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}}
		results := map[string]chan time.Duration{}
		for _, text := range []string{"poison", "bad part", "sound"} {
			request := f.newRequest(text)
			request.Route = route(AtMostOnce, 1, false)
			if text == "bad part" {
				request = modelRequest(request.Route, PromptPart{ID: "bad", Tokens: 300}, PromptPart{ID: "own", Tokens: 100})
			}
			results[text] = make(chan time.Duration, 1)
			go func() {
				started := time.Now()
				r.Begin(request)
				results[text] <- time.Since(started)
			}()
		}
		part := modelRequest(route(AtMostOnce, 1, false), PromptPart{ID: "bad", Tokens: 300}, PromptPart{ID: "own", Tokens: 100}).Prompt.isolationKeys()
		for n := range uint64(4) {
			sentAt := time.Now()
			<-time.After(100 * time.Millisecond)
			r.isolator.RecordLoss(NewContentKey([]byte("poison")), n, sentAt)
			r.isolator.RecordCrash(n, n, 0, part, sentAt)
		}
		assert.Equal(t, <-results["poison"], 300*time.Millisecond)
		assert.Equal(t, <-results["bad part"], 400*time.Millisecond)
		assert.Equal(t, <-results["sound"], 3*time.Second)
		for _, replica := range r.pool.group("s").replicas {
			backingOff, _ := replica.inBackoff(time.Now())
			assert.Assert(t, !backingOff)
		}
	})
}
