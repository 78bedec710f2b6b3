package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["descriptors"] = playDescriptors }

const (
	// requestsPerSecond is the traffic of the sheet of roegeri-net, all kinds together.
	requestsPerSecond = 152
	// ownDescriptors is how many files the callers and replicas of this process may need.
	ownDescriptors = 7000
	// keptConnections carry streams one after the other, each request on the connection of the last.
	keptConnections = 24
)

// playDescriptors loses two of three edges under the usual traffic. Each caller has a connection of its own, which it
// leaves open after its answer, for the server to close when it has been idle for too long.
func playDescriptors(d *deployment, trouble bool) (bool, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < ownDescriptors {
		return false, fmt.Errorf("this process may open %d files, the callers need %d (%v)", limit.Cur, ownDescriptors, err)
	}
	l, err := d.lay(11, 1, func(p *replica) {
		if p.hasModel {
			p.work = 300 * time.Millisecond
		}
	})
	if err != nil {
		return false, err
	}
	edges := l.edges
	d.record.note("all edges are ready; traffic begins: %d requests a second, and %d kept connections with streams", requestsPerSecond, keptConnections)

	var inRotation atomic.Pointer[[]*daemon]
	inRotation.Store(&edges)
	var served, refused, notConnected, lost atomic.Int64
	var unanswered sync.Map
	stop := make(chan struct{})
	var users sync.WaitGroup
	var open sync.Map
	pick := func(n int) *daemon { list := *inRotation.Load(); return list[n%len(list)] }
	// Each user sends one request on a connection of its own.
	go func() {
		tick := time.NewTicker(time.Second / requestsPerSecond)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			users.Go(func() {
				c, err := dial("", pick(n).front)
				if err != nil {
					notConnected.Add(1)
					return
				}
				open.Store(c, true)
				kind := "look"
				if n%3 != 0 {
					kind = "book"
				}
				r := c.send(kind, time.Second, "")
				switch {
				case r.status == 200 && r.whole:
					served.Add(1)
				case r.status != 0:
					refused.Add(1)
				default:
					lost.Add(1)
				}
				if r.err != nil {
					open.Delete(c)
					c.close()
					return
				}
				// The user keeps the connection until the server closes it.
				_ = c.conn.SetDeadline(time.Time{})
				_, _ = c.reader.ReadByte()
				open.Delete(c)
				c.close()
			})
		}
	}()
	victim := edges[2]
	for n := range keptConnections {
		users.Go(func() {
			time.Sleep(time.Duration(n) * 40 * time.Millisecond)
			for {
				c, err := dial("", victim.front)
				if err != nil {
					select {
					case <-stop:
						return
					case <-time.After(500 * time.Millisecond):
					}
					continue
				}
				open.Store(c, true)
				for requests := 0; ; requests++ {
					r := c.send("stream", 12*time.Second, "")
					select {
					case <-stop:
						return
					default:
					}
					if r.status == 0 {
						if requests > 0 {
							unanswered.Store(r.id, n)
							d.record.note("kept connection %d is closed without an answer to request %d on it: %v", n, requests+1, r)
						}
						break
					}
					if r.status != 200 {
						refused.Add(1)
						time.Sleep(r.pause())
					}
					if r.err != nil {
						break
					}
				}
				open.Delete(c)
				c.close()
			}
		})
	}
	begun := time.Now()
	killed, downSince := false, time.Time{}
	refusing, readyWhileRefusing := 0, 0
	for time.Since(begun) < 60*time.Second {
		time.Sleep(time.Second)
		if trouble && !killed && time.Since(begun) >= 5*time.Second {
			killed = true
			rest := []*daemon{victim}
			edges[0].signal(syscall.SIGKILL)
			edges[1].signal(syscall.SIGKILL)
			inRotation.Store(&rest)
			d.record.note("%s and %s are lost for good: SIGKILL; the platform sends all callers to %s", edges[0].name, edges[1].name, victim.name)
		}
		status, err := victim.isReady()
		c, dialErr := dial("", victim.front)
		if dialErr == nil {
			c.close()
		}
		d.record.note("%s: alive %t, ready %d (%v), new connection: %v, %d descriptors, %d MB; served %d, refused %d, without an answer %d, not connected %d", victim.name, victim.alive(), status, err, dialErr, victim.descriptors(), victim.rss(), served.Load(), refused.Load(), lost.Load(), notConnected.Load())
		if dialErr != nil && victim.alive() {
			refusing++
			if downSince.IsZero() {
				downSince = time.Now()
			}
			if status == 200 {
				readyWhileRefusing++
			}
		} else {
			refusing, downSince = 0, time.Time{}
		}
		if refusing >= 20 {
			break
		}
	}
	close(stop)
	open.Range(func(c, _ any) bool { c.(*client).close(); return true })
	users.Wait()
	keptLost := 0
	for _, p := range l.models {
		p.mu.Lock()
		for _, run := range p.runs {
			if _, missed := unanswered.Load(run.id); missed {
				keptLost++
			}
		}
		p.mu.Unlock()
	}
	d.record.note("in the end: %s is alive: %t; it took no connection in the last %d looks, one a second (ready in %d of them); %d requests on kept connections ran at sound replicas and have no answer", victim.name, victim.alive(), refusing, readyWhileRefusing, keptLost)
	hangs := victim.alive() && refusing >= 20
	return hangs || keptLost > 3, nil
}
