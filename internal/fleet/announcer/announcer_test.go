package announcer

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// node is one daemon under test.
type node struct {
	announcer   *Announcer
	table       *replicator.Table
	cache       *CacheLog
	broadcaster *Broadcaster
	address     string

	mu     sync.Mutex
	fed    bool
	status *Status
	rank   uint64
	heard  map[string]Status
	caches map[uint64]bool
}

func newNode(t *testing.T, listening bool) *node {
	t.Helper()
	return newRankedNode(t, listening, 0)
}

func newRankedNode(t *testing.T, listening bool, rank uint64) *node {
	t.Helper()
	n := &node{rank: rank, table: replicator.New(), cache: NewCacheLog(), broadcaster: NewBroadcaster(), heard: map[string]Status{}, caches: map[uint64]bool{}}
	if listening {
		n.address = freeAddress(t)
		n.status = &Status{Address: n.address, WeightsVersions: map[string]int{"m": 1}}
	}
	n.start(t)
	return n
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (n *node) start(t *testing.T) {
	t.Helper()
	var err error
	n.announcer, err = New(n.address, Dependencies{
		Table: n.table,
		Status: func() *Status {
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.status == nil {
				return nil
			}
			status := *n.status
			return &status
		},
		OnStatus: func(s Status) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.heard[s.Address] = s
		},
		OnCache: func(_ string, news CacheChanges) {
			n.mu.Lock()
			defer n.mu.Unlock()
			for _, key := range news.Added {
				n.caches[key] = true
			}
			for _, key := range news.Dropped {
				delete(n.caches, key)
			}
		},
		BacklogTokens: func(string) (waiting [router.PriorityLevels]int) {
			waiting[1] = 700
			return waiting
		},
		CacheLog:  n.cache,
		PullDelay: func() time.Duration { return 0 },
		Rank:      n.rank,
		WatchesStore: func() bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.fed
		},
		Broadcaster: n.broadcaster,
		Clock:       timekeeper.System{},
		Logger:      log.New(io.Discard),
	})
	assert.NilError(t, err)
	t.Cleanup(n.announcer.Close)
}

func (n *node) locked(f func() bool) poll.Check {
	return func(poll.LogT) poll.Result {
		n.mu.Lock()
		defer n.mu.Unlock()
		if f() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}
}

func wait(t *testing.T, check poll.Check) {
	t.Helper()
	poll.WaitOn(t, check, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(20*time.Second))
}

// TestSidecarsAndEntriesTellEachOther has two entries and a sidecar speak: state,
// cache and the sum of waiting tokens arrive, also behind a restart of the sidecar.
func TestSidecarsAndEntriesTellEachOther(t *testing.T) {
	sidecar := newNode(t, true)
	sidecar.cache.Record(7, true)
	sidecar.cache.Record(8, true)
	sidecar.cache.Record(8, false)
	entries := []*node{newNode(t, false), newNode(t, false)}
	for _, e := range entries {
		e.announcer.SetPeers([]Peer{{Address: sidecar.address}})
	}
	for _, e := range entries {
		wait(t, e.locked(func() bool { return e.caches[7] && !e.caches[8] && e.heard[sidecar.address].BacklogTokens[1] == 1400 }))
	}
	sidecar.cache.Record(9, true)
	sidecar.cache.Publish()
	wait(t, entries[0].locked(func() bool { return entries[0].caches[9] }))

	sidecar.announcer.Close()
	sidecar.cache = NewCacheLog()
	sidecar.cache.Record(11, true)
	sidecar.status.Phase = 2
	sidecar.start(t)
	for _, e := range entries {
		wait(t, e.locked(func() bool { return e.caches[11] && e.heard[sidecar.address].Phase == 2 }))
	}
}

// TestChangesReachWhomTheStoreDoesNotServe gives a change to one entry only: it
// reaches a sidecar, and by way of it another entry.
func TestChangesReachWhomTheStoreDoesNotServe(t *testing.T) {
	sidecar, served, cut := newNode(t, true), newNode(t, false), newNode(t, false)
	served.fed = true
	for _, e := range []*node{served, cut} {
		e.announcer.SetPeers([]Peer{{Address: sidecar.address, OtherRegion: e == cut}})
	}
	served.table.Apply(replicator.Delta{Revision: 3, Complete: true, Items: []replicator.Item{{Key: "a", Value: []byte("1"), Revision: 2}, {Key: "b", Revision: 3}}})
	served.broadcaster.Send()
	value := func(key, want string) poll.Check {
		return func(poll.LogT) poll.Result {
			if item, _ := cut.table.Get(key); string(item.Value) == want {
				return poll.Success()
			}
			return poll.Continue("not yet")
		}
	}
	wait(t, value("a", "1"))
	served.table.Apply(replicator.Delta{Revision: 5, Items: []replicator.Item{{Key: "b", Revision: 4, Removed: true}, {Key: "a", Value: []byte("2"), Revision: 5}}})
	served.broadcaster.Send()
	wait(t, value("a", "2"))
	_, found := cut.table.Get("b")
	assert.Assert(t, !found)
	assert.Assert(t, sidecar.announcer.PeerWatchesStore())
	assert.Assert(t, !cut.announcer.PeerWatchesStore())
}

// TestSilentPeerIsLeft accepts connections and says nothing: the session ends, and a
// new one is tried.
func TestSilentPeerIsLeft(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	entry := newNode(t, false)
	entry.announcer.SetPeers([]Peer{{Address: l.Addr().String()}})
	for range 2 {
		conn, err := l.Accept()
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
	}
}

// TestCacheLogTellsAllThatIsHeld falls behind by more than is kept, and clears.
func TestCacheLogTellsAllThatIsHeld(t *testing.T) {
	cache := NewCacheLog()
	cache.Record(1, true)
	news, cursor := cache.since(0)
	assert.Assert(t, news.Complete)
	assert.DeepEqual(t, news.Added, []uint64{1})
	news, cursor = cache.since(cursor)
	assert.Assert(t, news == nil)
	cache.Record(1, true)
	cache.Record(2, true)
	cache.Record(1, false)
	news, cursor = cache.since(cursor)
	assert.DeepEqual(t, news, &CacheChanges{Added: []uint64{2}, Dropped: []uint64{1}})
	for i := range uint64(3 * maxChanges) {
		cache.Record(100+i%50, i/50%2 == 0)
	}
	news, cursor = cache.since(cursor)
	assert.Assert(t, news.Complete)
	held := len(news.Added)
	assert.Equal(t, held, len(cache.held))
	cache.Clear()
	news, _ = cache.since(cursor)
	assert.Assert(t, news.Complete && len(news.Added) == 0)
}

// TestEntriesKnowTheirPlace has five entries whom the store serves speak with two
// sidecars. Each learns how many go before it; when one is not served any more, those
// behind it move up.
func TestEntriesKnowTheirPlace(t *testing.T) {
	sidecars := []Peer{{Address: newNode(t, true).address}, {Address: newNode(t, true).address}}
	var entries []*node
	for i := range 5 {
		e := newRankedNode(t, false, uint64(10+i))
		e.fed = true
		e.announcer.SetPeers(sidecars)
		entries = append(entries, e)
	}
	places := func(want ...int) poll.Check {
		return func(poll.LogT) poll.Result {
			for i, e := range entries {
				if e.announcer.LowerRankedWatchers() != want[i] {
					return poll.Continue("place of %d is %d", i, e.announcer.LowerRankedWatchers())
				}
			}
			return poll.Success()
		}
	}
	wait(t, places(0, 1, 2, 3, 4))
	entries[1].mu.Lock()
	entries[1].fed = false
	entries[1].mu.Unlock()
	wait(t, places(0, 1, 1, 2, 3))
	entries[0].announcer.Close()
	entries = entries[1:]
	wait(t, places(0, 0, 1, 2))
}
