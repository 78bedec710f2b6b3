package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stalecopy"] = staleCopy }

const (
	// leaveEach is the time between two replicas that leave, and headStart how long replicas
	// have been leaving when a process starts.
	leaveEach = 3 * time.Millisecond
	headStart = 190 * time.Millisecond
	// copiedReplicas is the number of replicas of the service, on three pages.
	copiedReplicas = 1200
)

// staleCopy stops and starts an edge while replicas are taken away. It returns how many requests
// the edge sends to replicas that were gone before it read the store.
func staleCopy(w *world, trouble bool) int {
	s, seen := newStore("127.0.0.1", pageItems), &runs{}
	configuration := plainRoutes(1, "desk")
	configuration["services"] = append(configuration["services"].([]any), engineRoutes(1)["services"].([]any)...)
	s.put("op/config", configuration)
	s.put("op/version/"+engineModel, map[string]any{"model": engineModel, "version": 1})
	engines := []*engine{newEngine("127.0.2.1", "i-00000001", s), newEngine("127.0.2.2", "i-00000002", s)}
	port := freePort("127.0.2.1")
	for i, e := range engines {
		w.newDaemon("side", fmt.Sprintf("side-pampa-norte-%d", i+1), fmt.Sprintf("127.0.2.%d", i+1), port, e, s.address).start()
	}
	var replicas []*plainReplica
	for range copiedReplicas {
		replicas = append(replicas, newPlainReplica("127.0.0.1", fmt.Sprintf("i-%08x", rand.Uint32()|1<<28), "desk", "pampa-norte", s, seen))
	}
	// The first edge runs all the while; the others are stopped and started in turn.
	var edges []*daemon
	for i, name := range []string{"edge-pampa-norte-1", "edge-pampa-sur-4", "edge-pampa-sur-10", "edge-pampa-sur-17", "edge-pampa-norte-3"} {
		e := w.newDaemon("edge", name, fmt.Sprintf("127.0.1.%d", i+1), port, nil, s.address)
		e.start()
		e.awaitReady(10 * time.Second)
		edges = append(edges, e)
	}
	restarted := edges[1:]
	time.Sleep(5 * time.Second)
	left := make(map[string]time.Time)
	share := int(leavingShare*copiedReplicas) / len(restarted)
	for round, e := range restarted {
		if trouble {
			e.signal(syscall.SIGTERM)
			e.wait()
		}
		leaving := replicas[round*share : (round+1)*share]
		var done sync.WaitGroup
		done.Go(func() {
			for n, p := range leaving {
				if n%abruptOne == 0 {
					left[p.id] = p.leave(servesFor)
					logf("%s: its entry is removed, acknowledged at revision %d", p.id, s.revisionNow())
				} else {
					p.drain(servesFor)
				}
				time.Sleep(leaveEach)
			}
		})
		time.Sleep(headStart)
		if trouble {
			e.start()
		}
		done.Wait()
		e.awaitReady(10 * time.Second)
	}
	last := restarted[len(restarted)-1]
	time.Sleep(time.Until(last.startedAt.Add(stableTime + drainBound)))
	var clients sync.WaitGroup
	for c := range 24 {
		e := restarted[c%len(restarted)]
		clients.Go(func() {
			for n := range 100 {
				id := fmt.Sprintf("late-%d-%02d-%03d", c%len(restarted), c, n)
				send(e.front, "GET", "/look/"+id, "desk.example", id, keyA, nil, false, 3*time.Second)
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	breaks := 0
	for _, r := range seen.all() {
		at, gone := left[r.replica]
		if !gone || !strings.HasPrefix(r.id, "late-") || r.at.Sub(at) <= drainBound {
			continue
		}
		e := restarted[int(r.id[len("late-")]-'0')]
		if !at.Before(e.startedAt) {
			// Case paged is about replicas that leave while the pages are read.
			continue
		}
		logf("DRAIN: %s runs at %s from %s, which left %.1f s before, %.3f s before the process started", r.id, r.replica, e.name, r.at.Sub(at).Seconds(), e.startedAt.Sub(at).Seconds())
		breaks++
	}
	return breaks
}
