package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["entries"] = playEntries }

// playEntries has another writer write entries of a service that isn't in the configuration, at addresses of replicas, before
// new weights are named.
func playEntries(d *deployment, trouble bool) (bool, error) {
	l, err := d.lay(12, 2, func(*replica) {})
	if err != nil {
		return false, err
	}
	if trouble {
		for i, m := range l.models[:3] {
			d.store.put(fmt.Sprintf("servers/x-other%d", i), map[string]any{"service": "other-team", "address": m.address, "zone": m.zone, "version": "v1", "slots": 32, "state": "ready", "cold-left-ms": 0, "sequence": 1, "born": time.Now().UnixMilli()})
			d.record.note("another writer writes servers/x-other%d, of the service other-team, which no configuration names, at the address %s of %s", i, m.address, m.id)
		}
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var served, failed atomic.Int64
	for n := range 12 {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				c, err := dial("", l.edges[n%len(l.edges)].front)
				if err != nil {
					continue
				}
				r := c.send("stream", 12*time.Second, "")
				if r.status == 200 && r.whole {
					served.Add(1)
				} else {
					failed.Add(1)
				}
				c.close()
			}
		})
	}
	time.Sleep(6 * time.Second)
	revision := d.store.put("op/version/"+model, map[string]any{"model": model, "version": 2})
	acknowledged := time.Now()
	d.record.note("version 2 is acknowledged, revision %d", revision)
	// 1.5 x version-ms, and again as much.
	for time.Since(acknowledged) < 24*time.Second {
		time.Sleep(2 * time.Second)
		d.record.note("versions %v; served %d, failed %d", versions(l.models), served.Load(), failed.Load())
	}
	close(stop)
	callers.Wait()
	old := 0
	for _, m := range l.models {
		m.mu.Lock()
		if m.version < 2 {
			old++
		}
		d.record.note("%s: version %d, %d orders, %d requests run", m.id, m.version, len(m.orders), len(m.runs))
		for i, o := range m.orders {
			if i < 5 || i == len(m.orders)-1 {
				d.record.note("  order %d, %.3f s after the acknowledgement, holder %s, fence %d, version %d, expects replica %q, answered %d", i+1, o.at.Sub(acknowledged).Seconds(), o.holder, o.fence, o.version, o.expectReplica, o.status)
			}
		}
		m.mu.Unlock()
	}
	d.record.note("%d of %d replicas have an older version %.1f s after the acknowledgement", old, len(l.models), time.Since(acknowledged).Seconds())
	return old > 1 && 10*old > len(l.models), nil
}

func versions(list []*replica) (all []int) {
	for _, m := range list {
		m.mu.Lock()
		all = append(all, m.version)
		m.mu.Unlock()
	}
	return all
}
