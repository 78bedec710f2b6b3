package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["truncated"] = truncatedExtra }

const (
	// Doses of the day that the site file plays: garble, how "extra late", share 0.6, x 0.03.
	faultyReplicas = 2
	faultyShare    = 0.03
	// Slots and work of rental-app; queue is "a few more".
	appSlots, appQueue = 6, 2
	appWork            = 15 * time.Millisecond
	// calmTime is the time of steady traffic, at bookingsPerSecond of the sheet.
	calmTime          = 90 * time.Second
	bookingsPerSecond = 28
	// Bursts are burstSize bookings at once, each burstEvery. With them there are 1.4 times as many.
	burstSize, burstEvery = 30, 3 * time.Second
)

// truncatedExtra has two of three replicas of the booking service write, late, the beginning of a
// refusal once more that they have sent before.
func truncatedExtra(r *rig) (bool, error) {
	ran := newRuns()
	var injected, refused atomic.Int64
	for i, zone := range []string{"austin-a", "waco-b", "houston-a"} {
		faulty := r.trouble && i < faultyReplicas
		var places atomic.Int64
		slots := make(chan struct{}, appSlots)
		// earlier is the last refusal.
		var earlier atomic.Pointer[string]
		serve := func(p *plain) func(net.Conn, *http.Request, []byte, int) bool {
			return func(c net.Conn, q *http.Request, _ []byte, n int) bool {
				id := q.Header.Get(fieldID)
				if places.Add(1) > appSlots+appQueue {
					places.Add(-1)
					refused.Add(1)
					text := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: the queue is full\r\n%s: 6,2,6\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", fieldNotRun, fieldLoad, fieldID, id)
					earlier.Store(&text)
					_, err := fmt.Fprint(c, text)
					return err == nil
				}
				slots <- struct{}{}
				ran.add(id, p.id)
				time.Sleep(appWork)
				<-slots
				places.Add(-1)
				if text := earlier.Load(); text != nil && n > 0 && faulty && rand.Float64() < faultyShare {
					// An additional, truncated answer that arrives late, where the next one is expected.
					part := (*text)[:1+rand.IntN(len(*text)-1)]
					injected.Add(1)
					r.log("%s writes before its answer to %s: %q", p.id, id, part)
					_, _ = fmt.Fprint(c, part)
				}
				_, err := fmt.Fprint(c, answerText(200, id, p.id, "booked "+id))
				return err == nil
			}
		}
		if _, err := newPlain(r.store, fmt.Sprintf("i-%d", i), "rental-app", fmt.Sprintf("%s%d", r.base, 40+i), zone, serve); err != nil {
			return false, err
		}
	}
	r.store.put("op/config", configuration(3, []map[string]any{{"name": "rental-app", "health-path": "/health", "max-conns": 110, "protocol": "h1"}},
		route("book", "a.example", "/book/", "rental-app", "non_idempotent", 1, map[string]any{"timeout-ms": 1500})))
	edge, err := r.start("edge", "edge-austin-a-1", r.base+"20", "austin-a", "", "", nil)
	if err != nil {
		return false, err
	}
	if err := r.awaitReady(edge); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	var sent, answered, promised, broken atomic.Int64
	book := func(c *client, id string) {
		sent.Add(1)
		got := c.do("POST", "a.example", "/book/x", id, "a crate", 3*time.Second, "Authorization: Bearer k1")
		count, at := ran.of(id)
		switch {
		case got.status == 200 && got.body == "booked "+id:
			answered.Add(1)
		case got.status == 503 || got.status == 429:
			promised.Add(1)
		}
		if count > 1 || count > 0 && (got.status == 503 || got.status == 429 || got.status == 408 || got.status == 421) {
			broken.Add(1)
			r.log("BROKEN %s: the client got %d, Retry-After %q; it ran %d times, at %v", id, got.status, got.header.Get("Retry-After"), count, at)
		} else if got.status != 200 {
			r.log("%s: the client got %d %v; it ran %d times", id, got.status, got.err, count)
		}
	}
	var group sync.WaitGroup
	end := time.Now().Add(calmTime)
	const clients = 8
	for k := range clients {
		group.Go(func() {
			c := &client{address: edge.front}
			for n := 0; time.Now().Before(end); n++ {
				book(c, fmt.Sprintf("c%d-%d", k, n))
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) * clients / bookingsPerSecond))
			}
		})
	}
	for n := 0; time.Now().Before(end); n++ {
		var burst sync.WaitGroup
		for k := range burstSize {
			burst.Go(func() { book(&client{address: edge.front}, fmt.Sprintf("b%d-%d", n, k)) })
		}
		burst.Wait()
		time.Sleep(burstEvery)
	}
	group.Wait()
	r.log("%d bookings: %d answered, %d told that they haven't run, %d of these or others broken; the replicas refused %d and wrote %d truncated answers more", sent.Load(), answered.Load(), promised.Load(), broken.Load(), refused.Load(), injected.Load())
	if sent.Load() == 0 || answered.Load()*2 < sent.Load() {
		return false, fmt.Errorf("%d of %d bookings answered", answered.Load(), sent.Load())
	}
	return broken.Load() > 0, nil
}
