package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["foreign"] = playForeign }

// missing are the fields that the entries of the other writer lack.
var missing = [][]string{{"cold-left-ms"}, {"born"}, {"cold-left-ms", "born"}}

// playForeign has another writer write three entries that lack fields. At
// each of their addresses a server listens that is no replica: it takes what it is sent and answers as web servers do.
func playForeign(d *deployment, trouble bool) (bool, error) {
	l, err := d.lay(14, 1, func(*replica) {})
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	taken := map[string]string{}
	other := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		taken[r.Header.Get("X-Cyclamenward-Request-Id")] = r.Method + " " + r.URL.RequestURI() + " " + string(body)
		mu.Unlock()
		d.record.note("the server that is no replica takes %s %s, tenant %q, expects replica %q: %q", r.Method, r.URL.RequestURI(), r.Header.Get("X-Cyclamenward-Tenant"), r.Header.Get("X-Cyclamenward-Expect-Replica"), body)
		w.Header().Set("Content-Type", "text/plain")
		_, _ = io.WriteString(w, "done\n")
	})}
	var addresses []string
	for i := range zoneList {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.14.%d.77:0", i+1))
		if err != nil {
			return false, err
		}
		go func() { _ = other.Serve(listener) }()
		addresses = append(addresses, listener.Addr().String())
	}
	defer func() { _ = other.Close() }()

	stop := make(chan struct{})
	var callers sync.WaitGroup
	var served, failed atomic.Int64
	var failures sync.Map
	for n := range 6 {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
				c, err := dial("", l.edges[n%len(l.edges)].front)
				if err != nil {
					failed.Add(1)
					continue
				}
				kind := "book"
				if n >= 4 {
					kind = "look"
				}
				if r := c.send(kind, time.Second, ""); r.status == 200 && r.whole && r.sealed {
					served.Add(1)
				} else {
					failed.Add(1)
					failures.Store(r.id, r)
				}
				c.close()
			}
		})
	}
	time.Sleep(5 * time.Second)
	if trouble {
		for i, zone := range zoneList {
			entry := map[string]any{"service": "kafi81c", "address": addresses[i], "zone": zone, "version": "v1", "slots": 6, "state": "ready", "cold-left-ms": 0, "sequence": 1, "born": time.Now().UnixMilli()}
			for _, field := range missing[i] {
				delete(entry, field)
			}
			d.store.put(fmt.Sprintf("servers/x-other%d", i), entry)
			d.record.note("another writer writes servers/x-other%d, without %v, with the address %s", i, missing[i], addresses[i])
			time.Sleep(3 * time.Second)
		}
	}
	for range 6 {
		time.Sleep(2 * time.Second)
		mu.Lock()
		d.record.note("served %d, not served %d; the server that is no replica took %d requests", served.Load(), failed.Load(), len(taken))
		mu.Unlock()
	}
	close(stop)
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	ran := map[string]bool{}
	for _, p := range l.plain {
		p.mu.Lock()
		for _, r := range p.runs {
			ran[r.id] = true
		}
		p.mu.Unlock()
	}
	lost := 0
	for id, what := range taken {
		v, missed := failures.Load(id)
		if missed {
			lost++
			d.record.note("%s: the client got %v; it ran at a replica: %t; %q", id, v, ran[id], what)
		}
	}
	d.record.note("in the end: %d requests of clients went to the server that is no replica, %d of them were lost to their clients", len(taken), lost)
	return len(taken) > 0, nil
}
