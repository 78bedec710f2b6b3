package main

import (
	"errors"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["holders"] = playHolders }

const (
	// darkTime is how long a killed process is down: the largest dose of node_kill. It is killed again as it comes back.
	darkTime = 3500 * time.Millisecond
	// lateOrders is how long orders are carried out late: the largest dose of applied_late.
	lateOrders = 7 * time.Second
	// lateCount is how many orders are late, the first ones of that time.
	lateCount = 3
	// leaseTime is lease-ms.
	leaseTime = 3 * time.Second
)

// playHolders kills a side again and again, until an edge gives the orders in its place, whose first orders the replica
// carries out late; then the side stays up.
func playHolders(d *deployment, trouble bool) (bool, error) {
	// The bounds of abay-labelhost-grown.
	for name, value := range map[string]any{"stable-ms": 5000, "ack-ms": 8000, "catch-up-s": 6, "drain-ms": 4000, "config-deadline-ms": 4000, "max-skew-ms": 8000, "budget-extra": 94, "recover-s": 15, "transit-ms": 400, "require-fence": false, "version-ms": 20000, "version-all-ms": 28000} {
		d.bounds[name] = value
	}
	var lateUntil atomic.Int64
	var lateOnes atomic.Int64
	l, err := d.lay(17, 1, func(p *replica) { p.unchecked = true })
	if err != nil {
		return false, err
	}
	side, m := l.sides[0], l.models[0]
	firstOrder := make(chan struct{}, 1)
	m.lateBy = 4 * time.Second
	m.late = func() bool {
		if time.Now().UnixNano() >= lateUntil.Load() || lateOnes.Add(1) > lateCount {
			return false
		}
		select {
		case firstOrder <- struct{}{}:
		default:
		}
		return true
	}
	d.store.onWrite = func(_, key string, removed bool, revision uint64) {
		d.record.note("store: %s, removed %t, revision %d", key, removed, revision)
	}
	name := func() {
		d.record.note("version 2 is acknowledged, revision %d", d.store.put("op/version/"+model, map[string]any{"model": model, "version": 2}))
	}
	if trouble {
		side.signal(syscall.SIGKILL)
		<-side.ended
		d.record.note("%s is killed", side.name)
		time.Sleep(time.Second)
		name()
		lateUntil.Store(time.Now().Add(60 * time.Second).UnixNano())
		down := time.After(darkTime - time.Second)
	waiting:
		for kills := 0; ; {
			select {
			case <-firstOrder:
				lateUntil.Store(time.Now().Add(lateOrders).UnixNano())
				break waiting
			case <-down:
				if kills++; kills > 6 {
					return false, errors.New("no edge gave an order in place of the side")
				}
				if err := side.start(d); err != nil {
					return false, err
				}
				side.signal(syscall.SIGKILL)
				<-side.ended
				d.record.note("%s is killed again as it comes back", side.name)
				down = time.After(darkTime)
			}
		}
		d.record.note("an edge has given its first order; %s comes back and stays", side.name)
		if err := side.start(d); err != nil {
			return false, err
		}
	} else {
		name()
	}
	time.Sleep(15 * time.Second)
	m.mu.Lock()
	defer m.mu.Unlock()
	broken := false
	for i, o := range m.orders {
		if i == 0 {
			continue
		}
		last := m.orders[i-1]
		if last.holder == o.holder {
			continue
		}
		d.record.note("orders at %s pass from %s, fence %d, to %s, fence %d, after %.3f s", m.id, last.holder, last.fence, o.holder, o.fence, o.at.Sub(last.at).Seconds())
		if o.fence <= last.fence || o.at.Sub(last.at) < leaseTime {
			broken = true
		}
	}
	d.record.note("%d orders at %s, version %d", len(m.orders), m.id, m.version)
	return broken, nil
}
