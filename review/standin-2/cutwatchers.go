package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["cutwatchers"] = cutWatchers }

const (
	// cutTime is the for_s of core_cut in the site file, configDeadline its config-deadline-ms.
	cutTime        = 5500 * time.Millisecond
	configDeadline = 2500 * time.Millisecond
	cutRounds      = 4
	roundTime      = 12 * time.Second
)

// link carries the connections of one daemon to the store.
type link struct {
	address string
	cut     atomic.Bool
}

// newLink returns a link whose bytes are lost in both directions while it is cut.
func newLink(ip, target string) (*link, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	k := &link{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				s, err := net.Dial("tcp", target)
				if err != nil {
					return
				}
				defer s.Close()
				go k.pass(c, s)
				k.pass(s, c)
			}()
		}
	}()
	return k, nil
}

// pass copies bytes until one end closes. While the link is cut, nothing arrives, a close neither.
func (k *link) pass(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		lost = lost || k.cut.Load()
		if lost {
			// What follows lost bytes doesn't arrive on this connection either.
			if err != nil {
				return
			}
			continue
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			_ = to.Close()
			return
		}
	}
}

// newEngine starts a model replica that has one version of its weights and gets no requests.
func newEngine(s *store, id, ip, zone string) (*plain, error) {
	models := []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	p, err := newPlain(s, id, "stopwatch-llm", ip, zone, func(p *plain) func(net.Conn, *http.Request, []byte, int) bool {
		return func(c net.Conn, q *http.Request, _ []byte, _ int) bool {
			reply := map[string]any{"stage": "colocated", "models": models, "busy": false, "sequence": 0, "queued": 0, "running": 0, "kv-used": 0, "kv-total": 90000, "handles": 0, "born": p.born}
			if q.URL.Path == "/kv-events" {
				wait, _ := strconv.Atoi(q.Header.Get("Wait-Ms"))
				time.Sleep(time.Duration(wait) * time.Millisecond)
				reply = map[string]any{"boot-epoch": 77, "next": 1, "lost": false, "events": []any{}, "born": p.born}
			}
			text, _ := json.Marshal(reply)
			_, err := io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text))
			return err == nil
		}
	})
	if err != nil {
		return nil, err
	}
	p.more = func() map[string]any { return map[string]any{"models": models, "stage": "colocated", "slots": 64} }
	p.beat()
	return p, nil
}

// cutWatchers cuts three of five edges off from the store and then has a key revoked.
func cutWatchers(r *rig) (bool, error) {
	for i, zone := range []string{"austin-a", "waco-b", "houston-a"} {
		_, err := newPlain(r.store, fmt.Sprintf("i-%d", i), "rental-app", fmt.Sprintf("%s%d", r.base, 40+i), zone, func(p *plain) func(net.Conn, *http.Request, []byte, int) bool {
			return func(c net.Conn, q *http.Request, _ []byte, _ int) bool {
				time.Sleep(15 * time.Millisecond)
				id := q.Header.Get(fieldID)
				_, err := fmt.Fprint(c, answerText(200, id, p.id, "ok "+id))
				return err == nil
			}
		})
		if err != nil {
			return false, err
		}
	}
	links := map[string]*link{}
	var linkErr error
	r.storeAddress = func(name string) string {
		k, err := newLink(r.base+"2", r.store.address)
		if err != nil {
			linkErr = err
			return r.store.address
		}
		links[name] = k
		return k.address
	}
	version := 0
	configure := func(keys ...string) time.Time {
		version += 3
		c := configuration(version, []map[string]any{{"name": "rental-app", "health-path": "/health", "max-conns": 110}, {"name": "stopwatch-llm", "engine": map[string]any{"slots": 64, "kv-capacity-tokens": 279712, "kv-token-bytes": 18432, "link-mbps": 280000.0}}},
			route("look", "a.example", "/look/", "rental-app", "idempotent", 2, map[string]any{"timeout-ms": 1500}))
		c["tenants"] = []map[string]any{{"name": "t1", "api-keys": keys, "dedicated": false}}
		at := r.store.put("op/config", c)
		r.log("configuration %d is acknowledged, with the keys %v", version, keys)
		return at
	}
	configure("k1", "k2")
	for i, zone := range []string{"austin-a", "austin-a", "waco-b", "waco-b", "houston-a", "houston-a"} {
		ip := fmt.Sprintf("%s%d", r.base, 60+i)
		p, err := newEngine(r.store, fmt.Sprintf("m-%d", i), ip, zone)
		if err != nil {
			return false, err
		}
		if _, err := r.start("side", fmt.Sprintf("side-%s-%d", zone, i), ip, zone, p.address, "stopwatch-llm", nil); err != nil {
			return false, err
		}
	}
	// The first three are those with the lowest ranks, by the hashes of their names.
	names := []string{"edge-austin-a-1", "edge-houston-a-1", "edge-houston-a-2", "edge-austin-a-2", "edge-waco-b-1"}
	var edges []*daemon
	for i, name := range names {
		d, err := r.start("edge", name, fmt.Sprintf("%s%d", r.base, 20+i), name[5:len(name)-2], "", "", nil)
		if err != nil {
			return false, err
		}
		edges = append(edges, d)
	}
	if linkErr != nil {
		return false, linkErr
	}
	for _, d := range edges {
		if err := r.awaitReady(d); err != nil {
			return false, err
		}
	}
	time.Sleep(6 * time.Second)
	var late, served, asked atomic.Int64
	for round := range cutRounds {
		began := time.Now()
		configure("k1", "k2")
		time.Sleep(400 * time.Millisecond)
		for _, name := range names[:3] {
			links[name].cut.Store(r.trouble)
		}
		r.log("cut off from the store: %v (%v)", names[:3], r.trouble)
		time.Sleep(30 * time.Millisecond)
		acknowledged := configure("k1")
		var group sync.WaitGroup
		for _, d := range edges[3:] {
			group.Go(func() {
				keys := map[string]*client{"k1": {address: d.front}, "k2": {address: d.front}}
				for n := 0; time.Since(acknowledged) < cutTime; n++ {
					for _, key := range []string{"k1", "k2"} {
						sent := time.Now()
						id := fmt.Sprintf("%s-%d-%d-%s", d.name, round, n, key)
						got := keys[key].do("GET", "a.example", "/look/x", id, "", time.Second, "Authorization: Bearer "+key)
						age := sent.Sub(acknowledged)
						asked.Add(1)
						if got.status == 200 {
							served.Add(1)
						}
						if key == "k2" && got.status == 200 && age > configDeadline {
							late.Add(1)
							r.log("BROKEN %s: run with the revoked key, sent %.3f s after the acknowledgement", id, age.Seconds())
						} else if key == "k1" && got.status != 200 {
							r.log("%s: %d %v", id, got.status, got.err)
						}
					}
					time.Sleep(25 * time.Millisecond)
				}
			})
		}
		group.Wait()
		for _, k := range links {
			k.cut.Store(false)
		}
		time.Sleep(time.Until(began.Add(roundTime)))
	}
	r.log("%d requests, %d served, %d with a key that was revoked over %v before", asked.Load(), served.Load(), late.Load(), configDeadline)
	if served.Load()*3 < asked.Load() {
		return false, fmt.Errorf("%d of %d requests served", served.Load(), asked.Load())
	}
	return late.Load() > 0, nil
}
