package announcer

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
	"gotest.tools/v3/assert"
)

const (
	// segmentBytes is the unit in which a simulated link carries data.
	segmentBytes = 8 << 10
	// windowBytes is how much a simulated connection has under way before it blocks its
	// writer.
	windowBytes = 256 << 10
	// slowLink and fastLink are the links of entries, sidecarLink those of sidecars and
	// regionLink that between two regions, in bytes per second: grown Splits.
	slowLink    = 10e6 / 8
	fastLink    = 200e6 / 8
	sidecarLink = 2000e6 / 8
	regionLink  = 60e6 / 8
	// regionDelay is the time between regions, one way.
	regionDelay = 20 * time.Millisecond
	// changeDeadline is the time within which a change must be in force on grown Splits.
	changeDeadline = 4 * time.Second
	// maxQueueTime is how long a request may wait for its daemon's own link: work for a
	// caller that has left counts half a second later.
	maxQueueTime = 500 * time.Millisecond
)

// simulatedLink carries data in order at a fixed rate.
type simulatedLink struct {
	bytesPerSecond float64

	// mu guards the fields below.
	mu sync.Mutex
	// freeAt is when everything that was handed to the link has been sent.
	freeAt time.Time
	// longestQueue is the longest time that data has waited for the link.
	longestQueue time.Duration
	bytes        int
}

// carry hands data to the link at a time and returns when it has been sent.
func (l *simulatedLink) carry(n int, at time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += n
	if l.freeAt.Before(at) {
		l.freeAt = at
	}
	l.longestQueue = max(l.longestQueue, l.freeAt.Sub(at))
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	return l.freeAt
}

// queueTime returns the longest time that data has waited for the link.
func (l *simulatedLink) queueTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.longestQueue
}

func (l *simulatedLink) resetQueue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.longestQueue = 0
}

// carried returns how many bytes the link has carried.
func (l *simulatedLink) carried() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// simulatedStream is one direction of a connection over links.
type simulatedStream struct {
	links []*simulatedLink
	delay time.Duration

	// mu guards the fields below.
	mu     sync.Mutex
	data   []byte
	closed bool
	// underWay counts the bytes that were written and have not arrived.
	underWay    int
	lastArrival time.Time
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// update changes the stream and wakes the goroutines that wait for it.
func (s *simulatedStream) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

// send puts one segment under way.
func (s *simulatedStream) send(segment []byte) {
	at := time.Now()
	for _, link := range s.links {
		at = link.carry(len(segment), at)
	}
	s.mu.Lock()
	at = at.Add(s.delay)
	if !at.After(s.lastArrival) {
		at = s.lastArrival.Add(time.Nanosecond)
	}
	s.lastArrival = at
	s.underWay += len(segment)
	s.mu.Unlock()
	time.AfterFunc(time.Until(at), func() {
		s.update(func() { s.data, s.underWay = append(s.data, segment...), s.underWay-len(segment) })
	})
}

// simulatedConn is one end of a connection over links. Deadlines hold.
type simulatedConn struct {
	net.Conn
	name          string
	reads, writes *simulatedStream

	// mu guards the deadlines.
	mu                          sync.Mutex
	readDeadline, writeDeadline time.Time
}

// wait waits until ready returns true of the stream, which it calls with mu held.
func wait(s *simulatedStream, deadline time.Time, ready func() bool) error {
	timeout := time.After(time.Until(deadline))
	for {
		s.mu.Lock()
		isReady, closed, changed := ready(), s.closed, s.changed
		s.mu.Unlock()
		switch {
		case isReady:
			return nil
		case closed:
			return io.EOF
		}
		select {
		case <-changed:
		case <-timeout:
			return os.ErrDeadlineExceeded
		}
	}
}

func (c *simulatedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	deadline := c.readDeadline
	c.mu.Unlock()
	if err := wait(c.reads, deadline, func() bool { return len(c.reads.data) > 0 }); err != nil {
		return 0, err
	}
	n := 0
	c.reads.update(func() { n = copy(p, c.reads.data); c.reads.data = c.reads.data[n:] })
	return n, nil
}

func (c *simulatedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	deadline := c.writeDeadline
	c.mu.Unlock()
	for sent := 0; sent < len(p); {
		if err := wait(c.writes, deadline, func() bool { return c.writes.underWay < windowBytes && !c.writes.closed }); err != nil {
			return sent, err
		}
		segment := append([]byte(nil), p[sent:min(sent+segmentBytes, len(p))]...)
		c.writes.send(segment)
		sent += len(segment)
	}
	return len(p), nil
}

func (c *simulatedConn) Close() error {
	for _, s := range []*simulatedStream{c.reads, c.writes} {
		s.update(func() { s.closed = true })
	}
	return nil
}

func (c *simulatedConn) RemoteAddr() net.Addr { return memoryAddress(c.name) }

func (c *simulatedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return nil
}

func (c *simulatedConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return nil
}

// linkedDaemon is a daemon with its links.
type linkedDaemon struct {
	*Announcer
	name     string
	region   int
	up, down *simulatedLink
}

// linkedFleet is a fleet in two regions whose messages share links.
type linkedFleet struct {
	entries, sidecars []*linkedDaemon
	// regions carries the data out of each region.
	regions [2]*simulatedLink
	// reads holds functions by which sidecars read the store's newest value, and storeReads
	// counts their calls.
	reads      sync.Map
	storeReads atomic.Int64
}

// newLinkedFleet returns a fleet with, in each region, the given numbers of entries with
// fast and with slow links and of sidecars. Three entries of region 0 watch the store:
// watchers says of which link.
func newLinkedFleet(fast, slow, sidecars int, watchersLink float64) *linkedFleet {
	f := &linkedFleet{regions: [2]*simulatedLink{{bytesPerSecond: regionLink}, {bytesPerSecond: regionLink}}}
	rank := uint64(3)
	turns := rand.New(rand.NewPCG(3, 4))
	add := func(region int, rank uint64, link float64, status *Status) *linkedDaemon {
		d := &linkedDaemon{name: fmt.Sprint("10.", region, ".0.", len(f.entries)+len(f.sidecars), ":70"), region: region, up: &simulatedLink{bytesPerSecond: link}, down: &simulatedLink{bytesPerSecond: link}}
		dependencies := fleetDependencies(rank, status)
		dependencies.LinkBytesPerSecond = link
		if status != nil {
			dependencies.UpdateFromStore = func(context.Context) bool {
				read, found := f.reads.Load(d)
				if found {
					f.storeReads.Add(1)
					read.(func())()
				}
				return found
			}
		}
		d.Announcer, _ = New("", dependencies)
		d.otherRegionPullTurn = turns.Float64()
		d.deps.Table.Apply(replicator.Delta{Revision: 1, Complete: true, Items: []replicator.Item{{Key: "c", Value: []byte("1"), Revision: 1}}})
		return d
	}
	watchers := uint64(0)
	for region := range 2 {
		for i := range fast + slow {
			link := fastLink
			if i >= fast {
				link = slowLink
			}
			entryRank := rank + 1
			if region == 0 && link == watchersLink && watchers < 3 {
				watchers++
				entryRank = watchers
			} else {
				rank++
			}
			f.entries = append(f.entries, add(region, entryRank, link, nil))
		}
		for i := range sidecars {
			f.sidecars = append(f.sidecars, add(region, 0, sidecarLink, &Status{Address: fmt.Sprint("10.", region, ".1.", i, ":80"), StartUnixMilli: 1, WeightsVersions: map[string]int{"model": 1}, Running: 20}))
		}
	}
	for _, entry := range f.entries {
		for _, sidecar := range f.sidecars {
			f.connect(entry, sidecar)
		}
	}
	return f
}

// connectLanes connects each sidecar to three others, as the order in which replicas load new
// weights does: the regions alternate in it.
func (f *linkedFleet) connectLanes() {
	perRegion := len(f.sidecars) / 2
	queue := make([]*linkedDaemon, len(f.sidecars))
	for i := range perRegion {
		queue[2*i], queue[2*i+1] = f.sidecars[i], f.sidecars[perRegion+i]
	}
	for i, sidecar := range queue {
		for lane := 3; lane <= 9; lane += 3 {
			f.connect(sidecar, queue[(i-lane+len(queue))%len(queue)])
		}
	}
}

// stream returns the direction of a connection from one daemon to another.
func (f *linkedFleet) stream(from, to *linkedDaemon) *simulatedStream {
	s := &simulatedStream{links: []*simulatedLink{from.up, to.down}, changed: make(chan struct{})}
	if from.region != to.region {
		s.links, s.delay = []*simulatedLink{from.up, f.regions[from.region], to.down}, regionDelay
	}
	return s
}

func (f *linkedFleet) connect(entry, sidecar *linkedDaemon) {
	otherRegion := entry.region != sidecar.region
	dial := func() (*simulatedConn, *simulatedConn) {
		there, back := f.stream(entry, sidecar), f.stream(sidecar, entry)
		return &simulatedConn{name: sidecar.name, reads: back, writes: there}, &simulatedConn{name: entry.name, reads: there, writes: back}
	}
	// Both ends reconnect as SetPeers does.
	entry.tasks.Go(func() {
		for entry.ctx.Err() == nil {
			entryEnd, sidecarEnd := dial()
			sidecar.tasks.Go(func() { _ = sidecar.runSession(sidecar.ctx, sidecarEnd, otherRegion) })
			_ = entry.runSession(entry.ctx, entryEnd, otherRegion)
			select {
			case <-entry.ctx.Done():
			case <-time.After(minRedialInterval):
			}
		}
	})
}

func (f *linkedFleet) daemons() []*linkedDaemon {
	return append(append([]*linkedDaemon(nil), f.entries...), f.sidecars...)
}

func (f *linkedFleet) close() {
	for _, d := range f.daemons() {
		d.cancel()
	}
	for _, d := range f.daemons() {
		d.tasks.Wait()
	}
}

// change has the store's watchers see a new value.
func (f *linkedFleet) change(revision uint64, value []byte) {
	for _, d := range f.entries {
		if d.deps.Rank <= 3 {
			d.deps.Table.Apply(replicator.Delta{Revision: revision, Items: []replicator.Item{{Key: "c", Value: value, Revision: revision}}})
		}
	}
}

// awaitRevision waits until every daemon has a revision, and returns how long the slowest
// took and how many did not have it within the limit.
func (f *linkedFleet) awaitRevision(revision uint64, limit time.Duration) (slowest time.Duration, missing int) {
	started := time.Now()
	for _, d := range f.daemons() {
		for d.deps.Table.NewestRevision() < revision && time.Since(started) < limit {
			<-time.After(5 * time.Millisecond)
		}
		if d.deps.Table.NewestRevision() < revision {
			missing++
		}
	}
	return time.Since(started), missing
}

// longestQueue returns the longest time that data has waited for the own link of an entry.
func (f *linkedFleet) longestQueue() time.Duration {
	longest := time.Duration(0)
	for _, d := range f.entries {
		longest = max(longest, d.up.queueTime())
	}
	return longest
}

// routeTable returns a document with the given number of routes, with names as random as
// those of the users.
func routeTable(routes int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	var text strings.Builder
	text.WriteString(`{"version":20,"routes":[`)
	for i := range routes {
		fmt.Fprintf(&text, `{"name":"r-%07x","host":"vobo%d.example","prefix":"/%08x/","service":"puka83c","route-kind":"idempotent","timeout-ms":4000,"max-attempts":2,"target-latency-ms":400,"priority":3},`, random.Uint32()>>4, i%97, random.Uint32())
	}
	text.WriteString(`{}]}`)
	return []byte(text.String())
}

// watcherLinks holds the links that the entries which watch the store may have.
var watcherLinks = map[string]float64{"fast watchers": fastLink, "slow watchers": slowLink}

// counters returns the sums of a counter over all daemons.
func (f *linkedFleet) counters(name string) int64 {
	sum := int64(0)
	for _, d := range f.daemons() {
		sum += d.deps.Recorder.Counters()[name]
	}
	return sum
}

// growTable adds routes twice in quick succession, as the operators of grown Splits did,
// and returns how the fleet fared.
func growTable(t *testing.T, f *linkedFleet) (slowest time.Duration, missing int) {
	t.Helper()
	<-time.After(3 * time.Second)
	for _, d := range f.entries {
		d.up.resetQueue()
	}
	f.change(2, routeTable(4200))
	<-time.After(3500 * time.Millisecond)
	f.change(3, routeTable(4200))
	slowest, missing = f.awaitRevision(3, 4*changeDeadline)
	t.Logf("bytes of values: %d sent, %d received, %d of them for the second time, %d broken off", f.counters("changes.sentBytes"), f.counters("changes.receivedBytes"), f.counters("changes.repeatedBytes"), f.counters("changes.brokenOffBytes"))
	return slowest, missing
}

// TestLargeValueIsInForceInTime guards against an outdated configuration in the region
// without the store: each of its daemons fetched its own copy, some several, over the link
// between the regions.
func TestLargeValueIsInForceInTime(t *testing.T) {
	for name, watchersLink := range watcherLinks {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLinkedFleet(6, 5, 21, watchersLink)
				defer f.close()
				slowest, missing := growTable(t, f)
				crossed := f.regions[0].carried() + f.regions[1].carried()
				assert.Check(t, missing == 0 && slowest < changeDeadline, "%d daemons without it, the slowest after %v, %d MB between regions", missing, slowest, crossed>>20)
			})
		})
	}
}

// TestLargeValueDelaysNoRequests guards against requests that reach replicas after their
// callers have left: they waited behind a configuration that an entry with a slow link sent
// to several daemons.
func TestLargeValueDelaysNoRequests(t *testing.T) {
	for name, watchersLink := range watcherLinks {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLinkedFleet(6, 5, 21, watchersLink)
				defer f.close()
				growTable(t, f)
				longest := f.longestQueue()
				assert.Check(t, longest < maxQueueTime, "data waited %v for an entry's link", longest)
			})
		})
	}
}

// randomValue returns a value of 1 MB that does not compress.
func randomValue(seed uint64) []byte {
	random := rand.New(rand.NewPCG(seed, 2))
	value := make([]byte, 1<<20)
	for i := range value {
		value[i] = byte(random.Uint32())
	}
	return value
}

// writeStore has the store, which is in region 0, get a new value. The daemons that watch it read
// it over their links, and sidecars when they ask for it.
func (f *linkedFleet) writeStore(revision uint64, value []byte) {
	for _, d := range f.daemons() {
		read := func() {
			for n := 0; n < len(value); n += segmentBytes {
				at := time.Now()
				if d.region != 0 {
					at = f.regions[0].carry(segmentBytes, at)
				}
				<-time.After(time.Until(d.down.carry(segmentBytes, at)))
			}
			d.deps.Table.Apply(replicator.Delta{Revision: revision, Items: []replicator.Item{{Key: "c", Value: value, Revision: revision}}})
		}
		switch {
		case d.deps.Rank == 0:
			f.reads.Store(d, read)
		case d.deps.Rank <= 3:
			d.tasks.Go(read)
		}
	}
}

// TestIncompressibleValueIsInForceInTime guards against daemons that request a value of 1 MB that does
// not compress from entries with slow links, or all at once over the link between the regions, and
// again elsewhere while it is on its way. The daemons that watch the store read it over their links.
func TestIncompressibleValueIsInForceInTime(t *testing.T) {
	for name, fleet := range map[string]struct {
		fast, slow int
		watchers   float64
	}{"fast watchers": {6, 5, fastLink}, "slow entries": {0, 11, slowLink}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLinkedFleet(fleet.fast, fleet.slow, 21, fleet.watchers)
				f.connectLanes()
				defer f.close()
				<-time.After(3 * time.Second)
				for _, d := range f.entries {
					d.up.resetQueue()
					d.down.resetQueue()
				}
				f.writeStore(2, randomValue(1))
				slowest, missing := f.awaitRevision(2, 4*changeDeadline)
				assert.Check(t, missing == 0 && slowest < changeDeadline, "%d daemons without it, the slowest after %v", missing, slowest)
				longest := f.longestQueue()
				for _, d := range f.entries {
					longest = max(longest, d.down.queueTime())
				}
				t.Logf("slowest %v, longest queue %v, %d reads of the store by sidecars", slowest, longest, f.storeReads.Load())
				assert.Check(t, longest < maxQueueTime, "data waited %v for an entry's link", longest)
			})
		})
	}
}
