package replacer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/fleet/replacer"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// knowledgeDelay is how long after a ticket was taken the other entries know of it.
const knowledgeDelay = 400 * time.Millisecond

// ticket is who attends to a replica.
type ticket struct {
	holder  string
	takenAt time.Time
}

// world is a set of replicas and what the store knows of their tickets.
type world struct {
	replicas []replacer.Replica
	// mu guards the fields below.
	mu      sync.Mutex
	lost    map[string]time.Time
	tickets map[string]ticket
	// attempts counts the attempts to take a ticket.
	attempts int
}

// entry starts the replacer of an entry. The returned function kills the entry: its
// tickets are lost without being given back.
func (w *world) entry(name string, ports int) (*replacer.Replacer, func()) {
	killed := false
	used := map[int]bool{}
	deps := replacer.Dependencies{
		Name: name,
		RefusedSince: func(sidecar string) (time.Time, bool) {
			w.mu.Lock()
			defer w.mu.Unlock()
			since, lost := w.lost[sidecar[len("side-"):]]
			return since, lost && !killed
		},
		Held: func(address string) bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			held, found := w.tickets[address]
			return found && time.Since(held.takenAt) >= knowledgeDelay
		},
		Attend: func(_ context.Context, address string, port int) (replacer.Attendance, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.attempts++
			if _, held := w.tickets[address]; held || used[port] {
				return replacer.Attendance{}, errors.New("ticket is held, or port is used")
			}
			w.tickets[address], used[port] = ticket{holder: name, takenAt: time.Now()}, true
			return replacer.Attendance{
				Valid: func() bool {
					w.mu.Lock()
					defer w.mu.Unlock()
					return w.tickets[address].holder == name
				},
				Close: func() {
					w.mu.Lock()
					defer w.mu.Unlock()
					used[port] = false
					if w.tickets[address].holder == name {
						delete(w.tickets, address)
					}
				},
			}, nil
		},
		Accepts: func(sidecar string) bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			_, lost := w.lost[sidecar[len("side-"):]]
			return !lost
		},
		Clock: timekeeper.System{}, Logger: log.New(io.Discard),
	}
	for port := range ports {
		deps.Ports = append(deps.Ports, port)
	}
	r := replacer.New(deps)
	r.SetReplicas(w.replicas)
	return r, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		killed = true
		for address, held := range w.tickets {
			if held.holder == name {
				delete(w.tickets, address)
			}
		}
	}
}

// newWorld returns replicas with sidecars of which none is lost.
func newWorld(replicas int) *world {
	w := &world{lost: make(map[string]time.Time), tickets: make(map[string]ticket)}
	for i := range replicas {
		address := fmt.Sprint("10.0.0.", i)
		w.replicas = append(w.replicas, replacer.Replica{Address: address, Sidecar: "side-" + address})
	}
	return w
}

// attended returns how many of the lost sidecars' replicas are attended to.
func (w *world) attended() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for address := range w.lost {
		if _, held := w.tickets[address]; held {
			n++
		}
	}
	return n
}

// TestLostSidecarsAreReplaced loses a third of the sidecars of 74 replicas for good: each
// replica is attended to by an entry within ten seconds, with few attempts in vain. A
// sidecar that is lost only for a moment is not replaced. When an entry is killed others
// take its replicas over, and sidecars that are back get theirs again.
func TestLostSidecarsAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(74)
		var kills []func()
		for i := range 20 {
			r, kill := w.entry(fmt.Sprint("entry-", i), 16)
			defer r.Close()
			kills = append(kills, kill)
		}
		w.mu.Lock()
		for i := range 25 {
			w.lost[fmt.Sprint("10.0.0.", i)] = time.Now()
		}
		w.mu.Unlock()
		<-time.After(3 * time.Second)
		assert.Equal(t, w.attended(), 0)
		w.mu.Lock()
		delete(w.lost, "10.0.0.24")
		w.mu.Unlock()
		<-time.After(7 * time.Second)
		assert.Equal(t, w.attended(), 24)
		w.mu.Lock()
		assert.Equal(t, len(w.tickets), 24)
		assert.Assert(t, w.attempts <= 4*24, "%d attempts", w.attempts)
		w.mu.Unlock()

		kills[3]()
		kills[4]()
		<-time.After(2 * time.Second)
		assert.Equal(t, w.attended(), 24)
		w.mu.Lock()
		clear(w.lost)
		w.mu.Unlock()
		<-time.After(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		assert.Equal(t, len(w.tickets), 0)
	})
}

// TestEntryAttendsToFewReplicas loses more sidecars than one entry has ports for.
func TestEntryAttendsToFewReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(74)
		for i := range 40 {
			w.lost[fmt.Sprint("10.0.0.", i)] = time.Now()
		}
		r, _ := w.entry("entry", 16)
		<-time.After(30 * time.Second)
		assert.Equal(t, w.attended(), 16)
		r.Close()
		assert.Equal(t, w.attended(), 0)
	})
}

// TestAbsentReplicaStaysAttendedTo guards against a replica without a sidecar that gets no
// orders for twelve seconds because its item was missing for three.
func TestAbsentReplicaStaysAttendedTo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(3)
		w.lost["10.0.0.1"] = time.Now()
		r, _ := w.entry("entry", 16)
		defer r.Close()
		<-time.After(10 * time.Second)
		assert.Equal(t, w.attended(), 1)
		takenAt := w.tickets["10.0.0.1"].takenAt
		listed := w.replicas

		r.SetReplicas([]replacer.Replica{listed[0], listed[2]})
		<-time.After(3 * time.Second)
		r.SetReplicas(listed)
		<-time.After(time.Second)
		assert.Equal(t, w.attended(), 1)
		assert.Equal(t, w.tickets["10.0.0.1"].takenAt, takenAt)

		r.SetReplicas([]replacer.Replica{listed[0], listed[2]})
		<-time.After(30 * time.Second)
		assert.Equal(t, w.attended(), 0)
	})
}

// TestAbsentReplicaOccupiesNoPort guards against replicas that have left and keep an entry from
// attending to others.
func TestAbsentReplicaOccupiesNoPort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(3)
		w.lost["10.0.0.0"], w.lost["10.0.0.1"] = time.Now(), time.Now()
		r, _ := w.entry("entry", 2)
		defer r.Close()
		<-time.After(10 * time.Second)
		assert.Equal(t, w.attended(), 2)

		w.mu.Lock()
		w.lost["10.0.0.2"] = time.Now().Add(-time.Minute)
		w.mu.Unlock()
		r.SetReplicas(w.replicas[1:])
		<-time.After(2 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		_, absent := w.tickets["10.0.0.0"]
		assert.Assert(t, !absent)
		assert.Equal(t, len(w.tickets), 2)
	})
}
