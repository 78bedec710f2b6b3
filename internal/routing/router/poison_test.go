package router

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

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
	daemons []*testBed
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
	f := &poisonedFleet{poison: poison, restart: 3 * time.Second, downUntil: map[string]time.Time{}, generation: map[string]int{}}
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

// crash ends a replica. The caller holds mu.
func (f *poisonedFleet) crash(id string) {
	f.generation[id]++
	f.downUntil[id] = time.Now().Add(f.restart)
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
		f.load(40, 0, time.Second)
		f.load(40, 4, 20*time.Second)
		assert.Check(t, f.lateArrivals() <= maxPoisonArrivals, "%d attempts later than %v after the third of %d crashes", f.lateArrivals(), poisonGrace, len(f.crashes))
		served := f.load(40, 4, 10*time.Second)
		assert.Check(t, served >= 395, "%d of 400 sound requests served", served)
	})
}
