package router

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// soakSeeds is how many seeds the soak runs. CI runs the default; by hand:
// go test ./internal/routing/router -run Soak -soak.seeds 50
var soakSeeds = flag.Int("soak.seeds", 4, "seeds of the soak")

const (
	soakReplicas = 8
	soakTime     = 30 * time.Second
	// soakStep is the mean time between two events, so that they overlap.
	soakStep = 400 * time.Millisecond
)

// soakReplica is a simulated replica. Its start changes when it starts anew.
type soakReplica struct {
	descriptor Descriptor
	// down is set until the replica is back, leaving once it says that it leaves.
	down, leaving bool
	// saidAt is when an answer first said that it leaves, zero before.
	saidAt time.Time
	// pauseUntil is the end of the pause that it has asked for at askedAt; lateArrivals
	// counts what has arrived in it after pauseGrace.
	overloadedUntil, pauseUntil, askedAt time.Time
	lateArrivals                         int
}

// soak runs a router while replicas leave, crash and ask for pauses in series, and the list of
// replicas lags and goes back to older copies.
type soak struct {
	bed    *testBed
	random *rand.Rand

	// mu guards the fields below.
	mu       sync.Mutex
	replicas [soakReplicas]*soakReplica
	// lists holds the lists of replicas as they were.
	lists [][]Descriptor
	// runs counts the runs of each request, by ID.
	runs map[string]int
	// violations holds what broke a promise.
	violations []string
	// struck counts the events that really struck.
	struck map[string]int
}

func newSoak(seed uint64) *soak {
	s := &soak{random: rand.New(rand.NewPCG(seed, 0)), runs: map[string]int{}, struck: map[string]int{}}
	for i := range s.replicas {
		s.replicas[i] = &soakReplica{descriptor: descriptor(i, 1)}
	}
	s.bed = newTestBed(soakReplicas, func(_ int, a *Attempt) (*Reply, error) { return s.answer(a) })
	return s
}

func (s *soak) violate(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// arrive checks the arrival of an attempt and returns the replica's answer, or nil if the
// request runs. The caller holds mu.
func (s *soak) arrive(r *soakReplica, a *Attempt, now time.Time) *Reply {
	if !r.saidAt.IsZero() && a.Request.Arrived.After(r.saidAt) {
		s.violate("request %s of %v reached %s, which had said at %v that it leaves", a.Request.ID, a.Request.Arrived, a.ReplicaID, r.saidAt)
	}
	if now.Before(r.pauseUntil) && now.After(r.askedAt.Add(pauseGrace)) {
		if r.lateArrivals++; r.lateArrivals > maxPauseArrivals {
			s.violate("%d requests reached %s in its pause", r.lateArrivals, a.ReplicaID)
		}
	}
	if !now.Before(r.overloadedUntil) {
		return nil
	}
	if !now.Before(r.pauseUntil) {
		r.askedAt, r.pauseUntil, r.lateArrivals = now, r.overloadedUntil, 0
	}
	reply := rejectionReply()
	reply.Pause = r.overloadedUntil.Sub(now)
	s.struck["pause"]++
	return reply
}

// answer simulates the replica that an attempt is sent to.
func (s *soak) answer(a *Attempt) (*Reply, error) {
	s.mu.Lock()
	r := s.byID(a.ReplicaID)
	if r == nil || r.down {
		s.mu.Unlock()
		return nil, ErrNotSent
	}
	start := r.descriptor.StartUnixMilli
	reply := s.arrive(r, a, time.Now())
	if reply == nil {
		s.runs[a.Request.ID]++
	}
	s.mu.Unlock()
	<-time.After(30 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.down || r.descriptor.StartUnixMilli != start {
		s.struck["lost"]++
		return nil, errLost
	}
	if reply == nil {
		reply = s.stream(r, start, a)
	}
	if reply.Leaving = r.leaving; r.leaving && r.saidAt.IsZero() {
		r.saidAt = time.Now()
		s.struck["leaving"]++
	}
	return reply, nil
}

// stream returns an answer of five events with pauses, which breaks off if the replica ends.
func (s *soak) stream(r *soakReplica, start int64, a *Attempt) *Reply {
	if a.Request.Prompt == nil {
		return answerReply(200, "ok")
	}
	reply := streamReply(a.LastEventID+1, 4, io.EOF)
	next := reply.NextEvent
	reply.NextEvent = func() (Event, error) {
		<-time.After(40 * time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		if r.down || r.descriptor.StartUnixMilli != start {
			s.struck["broken off"]++
			return Event{}, errLost
		}
		return next()
	}
	return reply
}

func (s *soak) byID(id string) *soakReplica {
	for _, r := range s.replicas {
		if r.descriptor.ID == id {
			return r
		}
	}
	return nil
}

// publish gives the list of replicas to the router after a delay.
func (s *soak) publish(delay time.Duration) {
	s.mu.Lock()
	var list []Descriptor
	for _, r := range s.replicas {
		if !r.down {
			list = append(list, r.descriptor)
		}
	}
	s.lists = append(s.lists, list)
	s.mu.Unlock()
	<-time.After(delay)
	s.bed.pool.SetReplicas(list)
}

// strike makes one event happen.
func (s *soak) strike(tasks *sync.WaitGroup, i int, kind int, length, lag time.Duration, back int) {
	s.mu.Lock()
	r := s.replicas[i]
	usable := !r.down && !r.leaving
	switch {
	case kind == 0 && usable:
		r.overloadedUntil = time.Now().Add(length)
	case kind == 1 && usable:
		r.leaving = true
		tasks.Go(func() {
			<-time.After(3*time.Second + length)
			s.restart(r, length, lag)
		})
	case kind == 2 && usable:
		tasks.Go(func() { s.restart(r, length, lag) })
	case kind == 3 && len(s.lists) > 0:
		list := s.lists[max(0, len(s.lists)-1-back)]
		tasks.Go(func() {
			s.bed.pool.SetReplicas(list) // The store is back from an older copy.
			s.publish(time.Second + lag)
		})
	}
	s.mu.Unlock()
}

// restart ends a replica and starts it again.
func (s *soak) restart(r *soakReplica, length, lag time.Duration) {
	s.mu.Lock()
	r.down = true
	s.mu.Unlock()
	<-time.After(length)
	s.mu.Lock()
	start := time.Now().UnixMilli()
	*r = soakReplica{descriptor: r.descriptor}
	r.descriptor.StartUnixMilli = start
	s.mu.Unlock()
	s.publish(lag)
}

// request sends one request and checks its outcome.
func (s *soak) request(id string, kind int) {
	r := route(Streaming, 3, true)
	request := modelRequest(r, PromptPart{ID: fmt.Sprint("shared", kind%3), Tokens: 200}, PromptPart{ID: id, Tokens: 50})
	if kind%3 == 0 {
		request = newRequest(route(AtMostOnce, 1, false))
	}
	request.ID = id
	result := s.bed.router.Begin(request)
	var ids []int64
	err := errors.New("no stream")
	if result.Stream != nil {
		ids, err = drainStream(result.Stream)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if late := time.Since(request.Deadline); late > 50*time.Millisecond {
		s.violate("request %s ended %v behind its deadline", id, late)
	}
	if request.Prompt == nil && s.runs[id] > 1 {
		s.violate("request %s, which may run once, ran %d times", id, s.runs[id])
	}
	if result.Failure != nil && result.Failure.NotRun && s.runs[id] > 0 {
		s.violate("request %s was said not to have run, but did", id)
	}
	for i, event := range ids {
		if event != int64(i) {
			s.violate("request %s has events %v", id, ids)
		}
	}
	if errors.Is(err, io.EOF) && len(ids) != 5 {
		s.violate("request %s ends as complete with events %v", id, ids)
	}
	if result.Failure == nil {
		s.struck["served"]++
	}
}

// TestSoakOfDrillsLeavingAndPauses has replicas leave, crash and ask for pauses, and the list
// lag and go back to older copies, in series that overlap, at random.
func TestSoakOfDrillsLeavingAndPauses(t *testing.T) {
	t.Parallel()
	for seed := range *soakSeeds {
		synctest.Test(t, func(t *testing.T) {
			s := newSoak(uint64(seed))
			var tasks sync.WaitGroup
			requests := 0
			for started := time.Now(); time.Since(started) < soakTime; {
				if s.random.Float64() < float64(10*time.Millisecond)/float64(soakStep) {
					s.strike(&tasks, s.random.IntN(soakReplicas), s.random.IntN(4), time.Duration(s.random.IntN(4000))*time.Millisecond, time.Duration(s.random.IntN(1500))*time.Millisecond, s.random.IntN(5))
				}
				requests++
				kind := s.random.IntN(6)
				id := fmt.Sprint("q", requests)
				tasks.Go(func() { s.request(id, kind) })
				<-time.After(10 * time.Millisecond)
			}
			tasks.Wait()
			t.Logf("seed %d: %d requests, %v", seed, requests, s.struck)
			for i := range min(len(s.violations), 5) {
				t.Errorf("seed %d: %s", seed, s.violations[i])
			}
			assert.Check(t, s.struck["served"] > requests/2, "seed %d: only %d of %d were served", seed, s.struck["served"], requests)
		})
	}
}
