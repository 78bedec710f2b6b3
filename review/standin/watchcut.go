package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// maxWatch is how long a watch waits until the store cuts it, and cutTime for how long the
	// store does so.
	maxWatch, cutTime = time.Second, 20 * time.Second
)

func init() { cases["watchcut"] = watchCut }

// watchCut takes a replica away while the store cuts the watches that wait for long. It returns
// how many requests an edge sends to the replica later than drain-ms after it has left.
func watchCut(w *world, trouble bool) int {
	s, seen := newStore("127.0.0.1", 500), &runs{}
	s.put("op/config", plainRoutes(1, "desk"))
	var replicas []*plainReplica
	for i := range 3 {
		p := newPlainReplica("127.0.0.1", fmt.Sprintf("i-%02d", i), "desk", "pampa-norte", s, seen)
		replicas = append(replicas, p)
		go p.beatUntilLeft(time.Duration(i) * heartbeat / 9)
	}
	e := w.newEdge("edge-pampa-norte-1", "127.0.1.1", s.address)
	e.start()
	e.awaitReady(10 * time.Second)
	time.Sleep(5 * time.Second)
	end := time.Now().Add(cutTime)
	if trouble {
		s.setMaxWatch(maxWatch)
	}
	var clients sync.WaitGroup
	for c := range 4 {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("look-%02d-%03d", c, n)
				send(e.front, "GET", "/look/"+id, "desk.example", id, keyA, nil, false, 3*time.Second)
				time.Sleep(80 * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	gone := replicas[0]
	at := gone.leave(servesFor)
	logf("%s: its entry is removed, acknowledged at revision %d", gone.id, s.revisionNow())
	clients.Wait()
	breaks := 0
	for _, r := range seen.all() {
		if r.replica == gone.id && strings.HasPrefix(r.id, "look-") && r.at.Sub(at) > drainBound {
			breaks++
			logf("DRAIN: %s runs at %s, which left %.1f s before", r.id, r.replica, r.at.Sub(at).Seconds())
		}
	}
	return breaks
}
