package announcer

import (
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/metrics/recorder"
	"github.com/cyclamenward/cyclamenward/internal/routing/divider"
	"github.com/cyclamenward/cyclamenward/internal/routing/isolator"
	"github.com/cyclamenward/cyclamenward/internal/routing/pinner"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
	"github.com/cyclamenward/cyclamenward/internal/weights/observer"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// daemon is one daemon under test: a sidecar if it has an address, else an entry.
type daemon struct {
	announcer   *Announcer
	table       *replicator.Table
	cache       *CacheLog
	broadcaster *Broadcaster
	address     string

	// mu guards the fields below.
	mu           sync.Mutex
	watchesStore bool
	status       *Status
	rank         uint64
	// reports holds the last status received from each address, keys the cache keys
	// that the received changes leave.
	reports map[string]Status
	keys    map[uint64]bool
	// serving is what the daemon knows about software versions that serve.
	serving []string
}

// origin implements Dependencies.Origin.
func (d *daemon) origin(pinner.Query) pinner.Origin {
	d.mu.Lock()
	defer d.mu.Unlock()
	return pinner.Origin{Serving: d.serving, Observed: len(d.serving) > 0}
}

func newDaemon(t *testing.T, listening bool) *daemon {
	t.Helper()
	return newRankedDaemon(t, listening, 0)
}

func newRankedDaemon(t *testing.T, listening bool, rank uint64) *daemon {
	t.Helper()
	d := &daemon{rank: rank, table: replicator.New(), cache: NewCacheLog(), broadcaster: NewBroadcaster(), reports: map[string]Status{}, keys: map[uint64]bool{}}
	if listening {
		d.address = freeAddress(t)
		d.status = &Status{Address: d.address, WeightsVersions: map[string]int{"m": 1}}
	}
	d.start(t)
	return d
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (d *daemon) start(t *testing.T) {
	t.Helper()
	var err error
	d.announcer, err = New(d.address, Dependencies{
		Table:    d.table,
		Observer: observer.New(0, timekeeper.System{}),
		Status: func() *Status {
			d.mu.Lock()
			defer d.mu.Unlock()
			if d.status == nil {
				return nil
			}
			status := *d.status
			return &status
		},
		OnStatus: func(s Status) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.reports[s.Address] = s
		},
		OnCache: func(_ string, changes CacheChanges) {
			d.mu.Lock()
			defer d.mu.Unlock()
			for _, key := range changes.Added {
				d.keys[key] = true
			}
			for _, key := range changes.Dropped {
				delete(d.keys, key)
			}
		},
		BacklogTokens: func(string) (backlog [router.PriorityLevels]int) {
			backlog[1] = 700
			return backlog
		},
		Transfers: func(string) time.Duration { return 0 },
		CacheLog:  d.cache,
		PullDelay: func() time.Duration { return 0 },
		Rank:      d.rank,
		StoreAnsweredAt: func() time.Time {
			d.mu.Lock()
			defer d.mu.Unlock()
			if d.watchesStore {
				return time.Now().Truncate(storeTiming.Wait + watchPause)
			}
			return time.Time{}
		},
		WatchValidity: storeTiming.Validity,
		Broadcaster:   d.broadcaster,
		Clock:         timekeeper.System{},
		Logger:        log.New(io.Discard), Recorder: recorder.New(), Isolator: isolator.New(timekeeper.System{}), Leaving: router.NewLeavingRegistry(timekeeper.System{}), Limits: divider.New(timekeeper.System{}),
		Streams: pinner.New(timekeeper.System{}), Origin: d.origin,
	})
	assert.NilError(t, err)
	t.Cleanup(d.announcer.Close)
}

func (d *daemon) eventually(f func() bool) poll.Check {
	return func(poll.LogT) poll.Result {
		d.mu.Lock()
		defer d.mu.Unlock()
		if f() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}
}

func waitFor(t *testing.T, check poll.Check) {
	t.Helper()
	poll.WaitOn(t, check, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(20*time.Second))
}

// TestSidecarsAndEntriesExchangeState connects two entries to a sidecar: they receive its
// status, its cache contents and the sum of their backlogs, also after it has restarted.
func TestSidecarsAndEntriesExchangeState(t *testing.T) {
	sidecar := newDaemon(t, true)
	sidecar.cache.Record(7, true)
	sidecar.cache.Record(8, true)
	sidecar.cache.Record(8, false)
	entries := []*daemon{newDaemon(t, false), newDaemon(t, false)}
	for _, e := range entries {
		e.announcer.SetPeers([]Peer{{Address: sidecar.address}})
	}
	for _, e := range entries {
		waitFor(t, e.eventually(func() bool {
			return e.keys[7] && !e.keys[8] && e.reports[sidecar.address].BacklogTokens.ByPriority()[1] == 1400
		}))
	}
	sidecar.cache.Record(9, true)
	sidecar.cache.Publish()
	waitFor(t, entries[0].eventually(func() bool { return entries[0].keys[9] }))

	sidecar.announcer.Close()
	sidecar.cache = NewCacheLog()
	sidecar.cache.Record(11, true)
	sidecar.status.Phase = 2
	sidecar.start(t)
	for _, e := range entries {
		waitFor(t, e.eventually(func() bool { return e.keys[11] && e.reports[sidecar.address].Phase == 2 }))
	}
}

// TestChangesReachDaemonsWithoutStore gives changes of the store to one entry only: they
// reach a sidecar, and through it another entry.
func TestChangesReachDaemonsWithoutStore(t *testing.T) {
	sidecar, watching, cutOff := newDaemon(t, true), newDaemon(t, false), newDaemon(t, false)
	watching.watchesStore = true
	for _, e := range []*daemon{watching, cutOff} {
		e.announcer.SetPeers([]Peer{{Address: sidecar.address, OtherRegion: e == cutOff}})
	}
	watching.table.Apply(replicator.Delta{Revision: 3, Complete: true, Items: []replicator.Item{{Key: "a", Value: []byte("1"), Revision: 2}, {Key: "b", Revision: 3}}})
	watching.broadcaster.Send()
	value := func(key, want string) poll.Check {
		return func(poll.LogT) poll.Result {
			if item, _ := cutOff.table.Get(key); string(item.Value) == want {
				return poll.Success()
			}
			return poll.Continue("not yet")
		}
	}
	waitFor(t, value("a", "1"))
	watching.table.Apply(replicator.Delta{Revision: 5, Items: []replicator.Item{{Key: "b", Revision: 4, Removed: true}, {Key: "a", Value: []byte("2"), Revision: 5}}})
	watching.broadcaster.Send()
	waitFor(t, value("a", "2"))
	_, found := cutOff.table.Get("b")
	assert.Assert(t, !found)
	assert.Assert(t, sidecar.announcer.PeerWatchesStore())
	assert.Assert(t, !cutOff.announcer.PeerWatchesStore())
	waitFor(t, func(poll.LogT) poll.Result {
		if _, watched := cutOff.announcer.StoreWatchedSince(); watched {
			return poll.Success()
		}
		return poll.Continue("the store is not known to be watched")
	})
}

// TestSilentPeerIsDisconnected accepts connections and sends nothing: the session ends,
// and the entry connects again.
func TestSilentPeerIsDisconnected(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	entry := newDaemon(t, false)
	entry.announcer.SetPeers([]Peer{{Address: l.Addr().String()}})
	for range 2 {
		conn, err := l.Accept()
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
	}
}

// TestCacheLogSendsCompleteContents reads the log from a cursor that is too old, and after
// the cache was cleared: both get the complete contents. Other cursors get the changes.
func TestCacheLogSendsCompleteContents(t *testing.T) {
	cache := NewCacheLog()
	cache.Record(1, true)
	changes, cursor := cache.since(0)
	assert.Assert(t, changes.Complete)
	assert.DeepEqual(t, changes.Added, []uint64{1})
	changes, cursor = cache.since(cursor)
	assert.Assert(t, changes == nil)
	cache.Record(1, true)
	cache.Record(2, true)
	cache.Record(1, false)
	changes, cursor = cache.since(cursor)
	assert.DeepEqual(t, changes, &CacheChanges{Added: []uint64{2}, Dropped: []uint64{1}})
	for i := range uint64(3 * maxKeptChanges) {
		cache.Record(100+i%50, i/50%2 == 0)
	}
	changes, cursor = cache.since(cursor)
	assert.Assert(t, changes.Complete)
	held := len(changes.Added)
	assert.Equal(t, held, len(cache.held))
	cache.Clear()
	changes, _ = cache.since(cursor)
	assert.Assert(t, changes.Complete && len(changes.Added) == 0)
}

// TestEntriesLearnLowerRankedWatchers connects five entries that watch the store to two
// sidecars. Each receives the number of the others that have a lower rank. The count falls
// for higher ranks when an entry no longer watches the store or is closed.
func TestEntriesLearnLowerRankedWatchers(t *testing.T) {
	sidecars := []Peer{{Address: newDaemon(t, true).address}, {Address: newDaemon(t, true).address}}
	var entries []*daemon
	for i := range 5 {
		e := newRankedDaemon(t, false, uint64(10+i))
		e.watchesStore = true
		e.announcer.SetPeers(sidecars)
		entries = append(entries, e)
	}
	lowerRankedWatchers := func(want ...int) poll.Check {
		return func(poll.LogT) poll.Result {
			for i, e := range entries {
				if e.announcer.LowerRankedWatchers() != want[i] {
					return poll.Continue("entry %d has %d lower-ranked watchers", i, e.announcer.LowerRankedWatchers())
				}
			}
			return poll.Success()
		}
	}
	waitFor(t, lowerRankedWatchers(0, 1, 2, 3, 4))
	entries[1].mu.Lock()
	entries[1].watchesStore = false
	entries[1].mu.Unlock()
	waitFor(t, lowerRankedWatchers(0, 1, 1, 2, 3))
	entries[0].announcer.Close()
	entries = entries[1:]
	waitFor(t, lowerRankedWatchers(0, 0, 1, 2))
}

// TestRestartedDaemonLearnsNewerVersion has a delayed write of version 3 follow version 4
// in the store: a sidecar that kept 4 and a restarted entry that read 3 have the same
// revisions. The entry is informed only when it has 4, too, and keeps the revision.
func TestRestartedDaemonLearnsNewerVersion(t *testing.T) {
	sidecar, entry := newDaemon(t, true), newDaemon(t, false)
	version := func(value string, revision, version uint64) replicator.Item {
		return replicator.Item{Key: "v", Value: []byte(value), Revision: revision, Version: version}
	}
	sidecar.table.Apply(replicator.Delta{Revision: 30, Complete: true, Items: []replicator.Item{version("4", 30, 4)}})
	sidecar.table.Apply(replicator.Delta{Revision: 32, Items: []replicator.Item{version("3", 32, 3)}})
	entry.table.Apply(replicator.Delta{Revision: 32, Complete: true, Items: []replicator.Item{version("3", 32, 3)}})
	assert.Assert(t, !entry.announcer.Informed())
	entry.announcer.SetPeers([]Peer{{Address: sidecar.address}})
	waitFor(t, entry.eventually(entry.announcer.Informed))
	item, _ := entry.table.Get("v")
	assert.DeepEqual(t, item, version("4", 32, 4))
}

// TestLoneDaemonIsInformedAfterTimeout starts a daemon that no other one connects to.
func TestLoneDaemonIsInformedAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemon(t, false)
		<-time.After(informTimeout - time.Millisecond)
		assert.Assert(t, !d.announcer.Informed())
		<-time.After(time.Millisecond)
		assert.Assert(t, d.announcer.Informed())
	})
}

// TestRequestsForChangesKeepBacklog has an entry report a backlog and then only request
// and bring changes of the store: the sidecar keeps the backlog.
func TestRequestsForChangesKeepBacklog(t *testing.T) {
	d := newDaemon(t, true)
	conn, peer := net.Pipe()
	defer func() { _ = peer.Close() }()
	go func() { _, _ = io.Copy(io.Discard, peer) }()
	s := newSession(d.announcer, conn, false)
	d.announcer.sessions[s] = true
	assert.NilError(t, s.handle(&message{BacklogTokens: Backlog{700}}))
	assert.NilError(t, s.handle(&message{WantChanges: true}))
	assert.NilError(t, s.handle(&message{Delta: &replicator.Delta{}}))
	assert.Equal(t, d.announcer.BacklogTokens(), 700)
}

// TestTransfersQueueUpAtTheirReplica has two entries request transfers from a replica: its
// link is busy for the sum, less the time that passes. What an entry has requested before
// it connected does not count.
func TestTransfersQueueUpAtTheirReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemon(t, false)
		var sessions []*session
		for range 2 {
			conn, peer := net.Pipe()
			defer func() { _ = peer.Close() }()
			sessions = append(sessions, newSession(d.announcer, conn, false))
		}
		tell := func(i int, total time.Duration) {
			assert.NilError(t, sessions[i].handle(&message{Transfers: total}))
		}
		tell(0, time.Hour)
		tell(1, 0)
		assert.Equal(t, d.announcer.transferQueue(), time.Duration(0))
		tell(0, time.Hour+300*time.Millisecond)
		tell(1, 200*time.Millisecond)
		tell(1, 200*time.Millisecond)
		assert.Equal(t, d.announcer.transferQueue(), 500*time.Millisecond)
		<-time.After(400 * time.Millisecond)
		assert.Equal(t, d.announcer.transferQueue(), 100*time.Millisecond)
		<-time.After(time.Hour)
		tell(0, time.Hour+310*time.Millisecond)
		assert.Equal(t, d.announcer.transferQueue(), 10*time.Millisecond)
	})
}

// TestRefusingPeerIsReported connects to a host on which no daemon listens: it counts as
// refusing until a sidecar listens there, and no longer once it is not wanted as a peer.
func TestRefusingPeerIsReported(t *testing.T) {
	address, otherAddress := freeAddress(t), freeAddress(t)
	entry := newDaemon(t, false)
	entry.announcer.SetPeers([]Peer{{Address: address}, {Address: otherAddress}})
	refused := func(address string, want bool) poll.Check {
		return func(poll.LogT) poll.Result {
			if _, refused := entry.announcer.RefusedSince(address); refused == want {
				return poll.Success()
			}
			return poll.Continue("not yet")
		}
	}
	waitFor(t, refused(address, true))
	waitFor(t, refused(otherAddress, true))
	sidecar := &daemon{address: address, table: replicator.New(), cache: NewCacheLog(), broadcaster: NewBroadcaster(), reports: map[string]Status{}, keys: map[uint64]bool{}, status: &Status{Address: address}}
	sidecar.start(t)
	waitFor(t, refused(address, false))
	entry.announcer.SetPeers([]Peer{{Address: address}})
	waitFor(t, refused(otherAddress, false))
}
