package router

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// settleTime is how long after the fifth crash requests with a part that crashes
	// replicas may still reach replicas, and maxLateArrivals how many may after that: the
	// users' bounds on small deployments.
	settleTime      = 4 * time.Second
	maxLateArrivals = 3
	// crashDelay is the time from the head of an answer to the crash, and restartTime that
	// until the replica is back.
	crashDelay  = 80 * time.Millisecond
	restartTime = 2 * time.Second
)

// crashingFleet simulates replicas of which each that begins an answer on one part ends.
type crashingFleet struct {
	bed *testBed
	// badPart is the part that crashes replicas, "" for none.
	badPart string

	// mu guards the fields below.
	mu sync.Mutex
	// crashes holds when replicas ended, downUntil when each is back, and generation how
	// often it has ended, by ID.
	crashes    []time.Time
	downUntil  map[string]time.Time
	generation map[string]int
	// badArrivals holds when attempts with the bad part arrived at replicas.
	badArrivals []time.Time
}

func newCrashingFleet(replicas int, badPart string) *crashingFleet {
	f := &crashingFleet{badPart: badPart, downUntil: make(map[string]time.Time), generation: make(map[string]int)}
	f.bed = newTestBed(replicas, func(_ int, a *Attempt) (*Reply, error) { return f.answer(a) })
	return f
}

func (f *crashingFleet) crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes = append(f.crashes, time.Now())
	f.generation[id]++
	f.downUntil[id] = time.Now().Add(restartTime)
}

// answer simulates a replica that prefills for 40 ms and generates three events.
func (f *crashingFleet) answer(a *Attempt) (*Reply, error) {
	id, bad := a.ReplicaID, false
	for _, part := range a.Request.Prompt.Parts {
		bad = bad || part.ID == f.badPart
	}
	f.mu.Lock()
	if time.Now().Before(f.downUntil[id]) {
		f.mu.Unlock()
		return nil, ErrNotSent
	}
	generation := f.generation[id]
	if bad {
		f.badArrivals = append(f.badArrivals, time.Now())
	}
	f.mu.Unlock()
	ended := func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.generation[id] != generation
	}
	<-time.After(40 * time.Millisecond)
	if ended() {
		return nil, errLost
	}
	reply := streamReply(0, 2, io.EOF)
	next := reply.NextEvent
	reply.NextEvent = func() (Event, error) {
		if bad {
			<-time.After(crashDelay)
			if !ended() {
				f.crash(id)
			}
			return Event{}, errLost
		}
		<-time.After(20 * time.Millisecond)
		if ended() {
			return Event{}, errLost
		}
		return next()
	}
	return reply, nil
}

// send begins a request with the given parts and reports whether it was answered whole, and
// whether by its first attempt. The last part is its own.
func (f *crashingFleet) send(n int, parts ...string) (whole, atOnce bool, failure *Failure) {
	var prompt []PromptPart
	for _, part := range parts {
		prompt = append(prompt, PromptPart{ID: part, Tokens: 300})
	}
	prompt = append(prompt, PromptPart{ID: fmt.Sprint("own", n), Tokens: 100})
	request := modelRequest(route(Streaming, 2, true), prompt...)
	request.ID = fmt.Sprint("q", n)
	result := f.bed.router.Begin(request)
	if result.Stream == nil {
		return false, false, result.Failure
	}
	ran := result.Stream.dispatch.runAttempts
	ids, err := drainStream(result.Stream)
	return len(ids) == 3 && errors.Is(err, io.EOF), ran == 1, nil
}

// lateBadArrivals returns how many attempts with the bad part arrived at replicas later than
// settleTime after the fifth crash.
func (f *crashingFleet) lateBadArrivals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	late := 0
	for _, at := range f.badArrivals {
		if len(f.crashes) >= 5 && at.After(f.crashes[4].Add(settleTime)) {
			late++
		}
	}
	return late
}

// TestPartThatCrashesReplicasIsIsolated guards against replica after replica being lost to
// requests that have one part in common. Sound requests share their other parts, and are
// served again.
func TestPartThatCrashesReplicasIsIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashingFleet(10, "bad")
		var tasks sync.WaitGroup
		var mu sync.Mutex
		sound, soundAtOnce := 0, 0
		const duration, interval = 40 * time.Second, 50 * time.Millisecond
		for n := range int(duration / interval) {
			parts := []string{"first", fmt.Sprint("second", n%5)}
			bad := n%5 == 0 && n > 100
			if bad {
				parts = append(parts, "bad")
			} else {
				parts = append(parts, fmt.Sprint("third", n%7))
			}
			tasks.Go(func() {
				_, atOnce, _ := f.send(n, parts...)
				mu.Lock()
				defer mu.Unlock()
				if !bad && n > 400 {
					sound++
					if atOnce {
						soundAtOnce++
					}
				}
			})
			<-time.After(interval)
		}
		tasks.Wait()
		late := f.lateBadArrivals()
		assert.Check(t, late <= maxLateArrivals, "%d attempts with the part reached replicas later than %v after the fifth of %d crashes", late, settleTime, len(f.crashes))
		assert.Check(t, soundAtOnce > sound*9/10, "%d of %d sound requests began at the first attempt", soundAtOnce, sound)
	})
}

// TestBulkCrashIsolatesNoPart has a third of the replicas end at the same moment, three
// times in seven seconds, while all requests share a part. That part must stay in use.
func TestBulkCrashIsolatesNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashingFleet(12, "")
		var tasks sync.WaitGroup
		var mu sync.Mutex
		refused := 0
		const duration, interval = 20 * time.Second, 10 * time.Millisecond
		for n := range int(duration / interval) {
			if at := time.Duration(n) * interval; at == 3*time.Second || at == 6*time.Second || at == 10*time.Second {
				for i := range 4 {
					f.crash(fmt.Sprint("i-", (n+i)%12))
				}
			}
			tasks.Go(func() {
				_, _, failure := f.send(n, "hot", fmt.Sprint("second", n%40))
				mu.Lock()
				defer mu.Unlock()
				if failure != nil && failure.Reason != ReasonNoReplica && failure.Reason != ReasonReplicaFailed {
					refused++
				}
			})
			<-time.After(interval)
		}
		tasks.Wait()
		assert.Equal(t, refused, 0)
	})
}
