package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// pageItems is the number of items in a page of the store.
	pageItems = 500
	// replicaCount is the number of replicas of the service. leavingShare of them are taken away
	// while the processes of the system are started in turn, one each leavingPause.
	replicaCount = 800
	leavingShare = 0.25
	leavingPause = time.Millisecond
	// abruptOne is set so that one in abruptOne replicas never reports that it is draining.
	abruptOne = 3
	// servesFor is how long a replica that has left serves on: drain-ms and many seconds.
	servesFor = 40 * time.Second
)

func init() { cases["paged"] = pagedRead }

// pagedRead stops and starts edges while replicas are taken away. It returns how many requests
// the edges send to replicas that left longer than drain-ms ago.
func pagedRead(w *world, trouble bool) int {
	s, seen := newStore("127.0.0.1", pageItems), &runs{}
	s.put("op/config", plainRoutes(1, "desk"))
	var replicas []*plainReplica
	for i := range replicaCount {
		p := newPlainReplica("127.0.0.1", fmt.Sprintf("i-%08x", rand.Uint32()), "desk", "pampa-norte", s, seen)
		replicas = append(replicas, p)
		go p.beatUntilLeft(time.Duration(i) * heartbeat / replicaCount)
	}
	edges := []*daemon{w.newEdge("edge-pampa-norte-1", "127.0.1.1", s.address), w.newEdge("edge-cuyo-sur-1", "127.0.1.2", s.address)}
	for _, e := range edges {
		e.start()
	}
	for _, e := range edges {
		e.awaitReady(10 * time.Second)
	}
	time.Sleep(5 * time.Second)

	// The edges are stopped and started in turn. While one starts, replicas leave.
	left := make(map[string]time.Time)
	leaving := replicas[:int(leavingShare*replicaCount)]
	for i, e := range edges {
		if trouble {
			e.signal(syscall.SIGTERM)
			e.wait()
			time.Sleep(300 * time.Millisecond)
			e.start()
		}
		half := len(leaving) / len(edges)
		for n, p := range leaving[i*half : (i+1)*half] {
			if n%abruptOne == 0 {
				left[p.id] = p.leave(servesFor)
				logf("%s: its entry is removed, acknowledged at revision %d", p.id, s.revisionNow())
			} else {
				p.drain(servesFor)
				logf("%s: draining", p.id)
			}
			time.Sleep(leavingPause)
		}
		e.awaitReady(10 * time.Second)
	}

	// Once both edges are in touch and drain-ms has passed, clients send requests for some seconds.
	last := edges[len(edges)-1].startedAt
	time.Sleep(time.Until(last.Add(stableTime + drainBound + 500*time.Millisecond)))
	var clients sync.WaitGroup
	var sent, ok atomic.Int64
	for c := range 20 {
		clients.Go(func() {
			for n := range 100 {
				e, id := edges[c%len(edges)], fmt.Sprintf("late-%02d-%03d", c, n)
				method, path, body := "GET", "/look/"+id, []byte(nil)
				if n%2 == 1 {
					method, path, body = "POST", "/book/"+id, []byte("two crates")
				}
				sent.Add(1)
				if send(e.front, method, path, "desk.example", id, keyA, body, false, 3*time.Second).status == 200 {
					ok.Add(1)
				}
				time.Sleep(80 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	logf("%d requests, %d answered with 200", sent.Load(), ok.Load())
	breaks := 0
	for _, r := range seen.all() {
		if at, gone := left[r.replica]; gone && strings.HasPrefix(r.id, "late-") && r.at.Sub(at) > drainBound {
			breaks++
			logf("DRAIN: %s runs at %s, which left %.1f s before", r.id, r.replica, r.at.Sub(at).Seconds())
		}
	}
	return breaks
}
