package announcer

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/fleet/roster"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
	"github.com/cyclamenward/cyclamenward/internal/state/watcher"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

const (
	// storePageItems is the number of items in a page of the simulated store, and
	// storeCallTime how long it takes for one.
	storePageItems = 50
	storeCallTime  = 4 * time.Millisecond
	// storeReadsPerSecond is what the store of the smallest deployment answers.
	storeReadsPerSecond = 2000
)

// storeTiming is that of the smallest deployments.
var storeTiming = watcher.NewTiming(2500 * time.Millisecond)

var errStoreDown = errors.New("store is down")

// returningStore simulates a store that can be down and return from an older copy.
type returningStore struct {
	// mu guards the fields below.
	mu            sync.Mutex
	down          bool
	era, revision uint64
	items         map[string]replicator.Item
	// keys holds the keys of items in order, nil if they have changed.
	keys []string
	// changes are those of this era.
	changes []replicator.Item
	// changed is closed and replaced at each change.
	changed chan struct{}
	// calls counts the calls by the second in which they began.
	calls map[int64]int
}

func newReturningStore() *returningStore {
	return &returningStore{items: make(map[string]replicator.Item), changed: make(chan struct{}), calls: make(map[int64]int)}
}

// put writes a key, or removes it if value is nil.
func (s *returningStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := replicator.Item{Key: key, Value: value, Revision: replicator.Position(s.era, s.revision), Removed: value == nil}
	if _, found := s.items[key]; found == item.Removed {
		s.keys = nil
	}
	s.items[key] = item
	if item.Removed {
		delete(s.items, key)
	}
	s.changes = append(s.changes, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *returningStore) setDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
}

// copied returns the present items and revision.
func (s *returningStore) copied() (map[string]replicator.Item, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.items), s.revision
}

// returnFrom has the store come back from a copy, in the next era.
func (s *returningStore) returnFrom(items map[string]replicator.Item, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.era, s.revision, s.items, s.keys, s.changes = false, s.era+1, revision, make(map[string]replicator.Item), nil, nil
	for key, item := range items {
		item.Revision = replicator.Position(s.era, replicator.RevisionOf(item.Revision))
		s.items[key] = item
	}
}

// call counts a call and returns an error if the store is down.
func (s *returningStore) call() error {
	s.mu.Lock()
	s.calls[time.Now().Unix()]++
	down := s.down
	s.mu.Unlock()
	<-time.After(storeCallTime)
	if down {
		return errStoreDown
	}
	return nil
}

// page returns the items behind a key, and the store's position.
func (s *returningStore) page(after string) ([]replicator.Item, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys == nil {
		s.keys = slices.Sorted(maps.Keys(s.items))
	}
	first, found := slices.BinarySearch(s.keys, after)
	if found {
		first++
	}
	var items []replicator.Item
	for _, key := range s.keys[first:min(len(s.keys), first+storePageItems)] {
		items = append(items, s.items[key])
	}
	return items, replicator.Position(s.era, s.revision)
}

// since returns the changes after a position and the store's position.
func (s *returningStore) since(after uint64) ([]replicator.Item, uint64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if replicator.EraOf(after) != s.era {
		return nil, 0, nil, watcher.ErrHistoryDropped
	}
	first, _ := slices.BinarySearchFunc(s.changes, after+1, func(item replicator.Item, position uint64) int { return cmp.Compare(item.Revision, position) })
	return slices.Clone(s.changes[first:]), replicator.Position(s.era, s.revision), s.changed, nil
}

func (s *returningStore) source(wait time.Duration) watcher.Source {
	watch := func(ctx context.Context, after uint64, wait time.Duration) ([]replicator.Item, uint64, error) {
		if err := s.call(); err != nil {
			return nil, 0, err
		}
		timeout := time.After(wait)
		for {
			items, position, changed, err := s.since(after)
			if err != nil || len(items) > 0 {
				return items, position, err
			}
			select {
			case <-ctx.Done():
				return nil, 0, ctx.Err()
			case <-timeout:
				return nil, position, nil
			case <-changed:
			}
		}
	}
	return watcher.Source{
		Read: func(_ context.Context, onPage func([]replicator.Item) bool) ([]replicator.Item, uint64, error) {
			var items []replicator.Item
			position, last := uint64(0), ""
			for {
				if err := s.call(); err != nil {
					return nil, 0, err
				}
				page, at := s.page(last)
				if position == 0 {
					position = at
				}
				if replicator.EraOf(at) != replicator.EraOf(position) {
					return nil, 0, watcher.ErrHistoryDropped
				}
				items = append(items, page...)
				if len(page) < storePageItems {
					return items, position, nil
				}
				last = page[len(page)-1].Key
				if !onPage(page) {
					return nil, 0, watcher.ErrReadStopped
				}
			}
		},
		Watch: func(ctx context.Context, after uint64) ([]replicator.Item, uint64, error) {
			return watch(ctx, after, wait)
		},
		Poll: func(ctx context.Context, after uint64) ([]replicator.Item, uint64, error) {
			return watch(ctx, after, 0)
		},
	}
}

// resetCalls forgets the calls so far.
func (s *returningStore) resetCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.calls)
}

// total returns the number of calls.
func (s *returningStore) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0
	for _, calls := range s.calls {
		sum += calls
	}
	return sum
}

// busiest returns the most calls in a second.
func (s *returningStore) busiest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Max(slices.Collect(maps.Values(s.calls)))
}

// storedDaemon is a daemon that reads the store, by the rules of the platform's daemons.
type storedDaemon struct {
	*Announcer
	watcher *watcher.Watcher
	// storeLink is its link to the store.
	storeLink *storeLink
	// muted is set if the other daemons get nothing that it sends.
	muted atomic.Bool
}

// followRoster updates a roster from the daemon's table until ctx ends, and calls onList with the
// replicas each time.
func (d *storedDaemon) followRoster(ctx context.Context, onList func([]router.Descriptor)) {
	r := roster.New(roster.Dependencies{
		Decode: func(item replicator.Item) (router.Descriptor, error) {
			return router.Descriptor{ID: item.Key, StartUnixMilli: 1}, nil
		},
		Configured: func(router.Descriptor) bool { return true },
		Outage:     d.watcher.Outage, StoreWatchedSince: d.StoreWatchedSince, Clock: timekeeper.System{}, Logger: log.New(io.Discard),
	})
	for ctx.Err() == nil {
		changed := d.deps.Table.Changed()
		list, recheckAfter := r.Update(d.deps.Table.List("servers/"))
		onList(list)
		var timer <-chan time.Time
		if recheckAfter > 0 {
			timer = time.After(recheckAfter)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer:
		}
	}
}

func closeStoredFleet(daemons []*storedDaemon) {
	for _, d := range daemons {
		d.cancel()
	}
	for _, d := range daemons {
		d.watcher.Close()
		d.tasks.Wait()
	}
}

// newStoredFleet returns a fleet of daemons that know the contents of the store.
func newStoredFleet(store *returningStore, entries, sidecars int) []*storedDaemon {
	return newTimedFleet(store, storeTiming, entries, sidecars)
}

// newTimedFleet is newStoredFleet with another timing.
func newTimedFleet(store *returningStore, timing watcher.Timing, entries, sidecars int) []*storedDaemon {
	f := &memoryFleet{muted: make(map[*Announcer]*atomic.Bool)}
	items, revision := store.copied()
	contents := replicator.Delta{Revision: replicator.Position(0, revision), Complete: true, Items: slices.Collect(maps.Values(items))}
	var daemons []*storedDaemon
	for i := range entries + sidecars {
		d := &storedDaemon{storeLink: &storeLink{}}
		var status *Status
		rank := uint64(i + 1)
		if i >= entries {
			rank, status = 0, &Status{Address: fmt.Sprint("10.0.0.", i, ":80"), StartUnixMilli: 1, Running: 20}
		}
		deps := fleetDependencies(rank, status)
		deps.WatchValidity = timing.Validity
		follows := func() bool {
			if rank == 0 {
				return d.PeerWatchesStore()
			}
			return d.LowerRankedWatchers() >= 3
		}
		deps.StoreAnsweredAt = func() time.Time {
			if d.watcher == nil || d.watcher.Outage().Failing || follows() {
				return time.Time{}
			}
			return d.watcher.CurrentAt()
		}
		d.Announcer, _ = New("", deps)
		deps.Table.Apply(contents)
		d.watcher = watcher.New(d.storeLink.source(store.source(timing.Wait), timing.Wait), deps.Table, watcher.Options{Paused: follows, Position: d.EntriesBefore}, timekeeper.System{}, log.New(io.Discard))
		f.muted[d.Announcer] = &d.muted
		daemons = append(daemons, d)
	}
	for i, entry := range daemons[:entries] {
		for j, sidecar := range daemons[entries:] {
			f.connect(entry.Announcer, sidecar.Announcer, i%2 != j%2, fmt.Sprint("10.0.0.", j, ":70"))
		}
	}
	return daemons
}

// returnFull runs the return of the store at the size of two years from now.
var returnFull = flag.Bool("return.full", false, "the return of the store with 360 entries and 12,000 replicas")

// returnSize returns the numbers of entries, of sidecars and of replicas: the given number of
// entries, or those of the full size.
func returnSize(fewEntries int) (entries, sidecars, replicas int) {
	if *returnFull {
		return 360, 4, 12_000
	}
	return fewEntries, 2, 3000
}

// TestReturnOfStoreBringsNoHerd guards against daemons that all read a store that returns from an
// older copy, from its first page to its last, after it has been away for three seconds.
func TestReturnOfStoreBringsNoHerd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entries, sidecars, replicas := returnSize(60)
		store := newReturningStore()
		for i := range replicas {
			store.put(replicaKey(i), replicaItem(i))
		}
		daemons := newStoredFleet(store, entries, sidecars)
		defer closeStoredFleet(daemons)
		<-time.After(4 * time.Second)
		copied, revision := store.copied()
		store.put(replicaKey(0), nil)
		<-time.After(time.Second)
		store.resetCalls()
		store.setDown()
		<-time.After(3 * time.Second)
		store.returnFrom(copied, revision)
		<-time.After(3 * time.Second)
		current := 0
		for _, d := range daemons {
			if replicator.EraOf(d.deps.Table.NewestRevision()) == 1 {
				current++
			}
		}
		assert.Check(t, current >= 3, "%d daemons have read the copy", current)
		t.Logf("at most %d calls in a second, %d of %d daemons have the copy", store.busiest(), current, len(daemons))
		assert.Check(t, store.busiest() <= storeReadsPerSecond, "%d calls in a second", store.busiest())
	})
}

// TestLivingReplicasAreBackAfterReturn guards against daemons that get the contents of a store that
// has returned from an older copy seconds after others, and meanwhile take living replicas for gone.
// Replicas that the copy lacks write their items again within two seconds, or have ended.
func TestLivingReplicasAreBackAfterReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			// started replicas and ended ones are not in the copy.
			started, ended = 240, 60
			rewriteTime    = 2 * time.Second
			// backTime is the time after which living replicas are known and ended ones gone: that
			// for a change to be in force.
			backTime = 4 * time.Second
			sampled  = 10
		)
		entries, sidecars, replicas := returnSize(150)
		store := newReturningStore()
		for i := range replicas {
			store.put(replicaKey(i), replicaItem(i))
		}
		daemons := newStoredFleet(store, entries, sidecars)
		defer closeStoredFleet(daemons)
		ctx, cancel := context.WithCancel(t.Context())
		lists := make([]atomic.Pointer[[]router.Descriptor], len(daemons))
		var away atomic.Bool
		var tasks sync.WaitGroup
		defer tasks.Wait()
		defer cancel()
		for i := 0; i < len(daemons); i += len(daemons) / sampled {
			tasks.Go(func() {
				daemons[i].followRoster(ctx, func(list []router.Descriptor) {
					lists[i].Store(&list)
					assert.Check(t, !away.Load() || len(list) >= replicas+started, "daemon %d knows %d living replicas", i, len(list))
				})
			})
		}
		<-time.After(4 * time.Second)
		copied, revision := store.copied()
		for i := range started + ended {
			store.put(replicaKey(replicas+i), replicaItem(replicas+i))
		}
		<-time.After(2 * time.Second)
		away.Store(true)
		store.setDown()
		<-time.After(3 * time.Second)
		store.returnFrom(copied, revision)
		returned := time.Now()
		random := rand.New(rand.NewPCG(1, 2))
		for i := range started {
			at := time.Duration(random.Int64N(int64(rewriteTime)))
			time.AfterFunc(at, func() { store.put(replicaKey(replicas+i), replicaItem(replicas+i)) })
		}
		<-time.After(time.Until(returned.Add(backTime)))
		for i := range lists {
			if list := lists[i].Load(); list != nil {
				assert.Check(t, len(*list) == replicas+started, "daemon %d knows %d replicas", i, len(*list))
			}
		}
		newest := replicator.Position(1, revision+started)
		behind := 0
		for _, d := range daemons {
			if d.deps.Table.NewestRevision() < newest {
				behind++
			}
		}
		assert.Check(t, behind == 0, "%d daemons are behind", behind)
	})
}

func replicaKey(i int) string { return fmt.Sprintf("servers/%05d", i) }

func replicaItem(i int) []byte {
	return fmt.Appendf(nil, `{"id":"%x","address":"10.0.%d.%d:80"}`, i*7919, i/250, i%250)
}
