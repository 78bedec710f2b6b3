package roster_test

import (
	"errors"
	"io"
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

// fixture is a roster with an outage that the test sets.
type fixture struct {
	roster *roster.Roster
	outage watcher.Outage
	// storeWatchedSince is zero if no other daemon watches the store.
	storeWatchedSince time.Time
	// unknown holds the services that the configuration does not know.
	unknown map[string]bool
}

func newFixture() *fixture {
	f := &fixture{}
	f.roster = roster.New(roster.Dependencies{
		Decode: func(item replicator.Item) (router.Descriptor, error) {
			if string(item.Value) == "bad" {
				return router.Descriptor{}, errors.New("unreadable")
			}
			return router.Descriptor{ID: item.Key, Service: string(item.Value), Draining: string(item.Value) == "draining"}, nil
		},
		Configured:        func(d router.Descriptor) bool { return !f.unknown[d.Service] },
		Outage:            func() watcher.Outage { return f.outage },
		StoreWatchedSince: func() (time.Time, bool) { return f.storeWatchedSince, !f.storeWatchedSince.IsZero() },
		Clock:             timekeeper.System{},
		Logger:            log.New(io.Discard),
	})
	return f
}

// update gives the items to the roster and returns the IDs of the existing replicas.
func (f *fixture) update(items ...replicator.Item) []string {
	list, _ := f.roster.Update(items)
	var ids []string
	for _, d := range list {
		ids = append(ids, d.ID)
	}
	return ids
}

func present(key string, revision uint64) replicator.Item {
	return replicator.Item{Key: key, Value: []byte("ready"), Revision: revision}
}

func removed(key string, revision uint64) replicator.Item {
	return replicator.Item{Key: key, Revision: revision, Removed: true}
}

// TestRemovalTakesEffectAtOnce removes an item while the store is available.
func TestRemovalTakesEffectAtOnce(t *testing.T) {
	f := newFixture()
	assert.DeepEqual(t, f.update(present("a", 1), present("b", 2)), []string{"a", "b"})
	assert.DeepEqual(t, f.update(removed("a", 3), present("b", 2)), []string{"b"})
}

// TestReplicasOfItemsExpiredInOutageAreKept has items expire while the store is
// unavailable. Their replicas are kept until two seconds after the outage, and then those
// whose items have reappeared.
func TestReplicasOfItemsExpiredInOutageAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.update(present("a", 1), present("b", 2))
		f.outage = watcher.Outage{Failing: true}
		assert.DeepEqual(t, f.update(removed("a", 3), removed("b", 4)), []string{"a", "b"})
		<-time.After(time.Minute)
		f.outage = watcher.Outage{Ended: time.Now()}
		<-time.After(2 * time.Second)
		assert.DeepEqual(t, f.update(removed("a", 3), present("b", 5)), []string{"a", "b"})
		<-time.After(time.Second)
		assert.DeepEqual(t, f.update(removed("a", 3), present("b", 5)), []string{"b"})
	})
}

// TestRemovalTakesEffectWithoutOwnStore guards against requests to a replica that had left
// 13 s before: a daemon that alone could not reach the store took the removal, which other
// daemons had sent it, for one of an outage.
func TestRemovalTakesEffectWithoutOwnStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.storeWatchedSince = time.Now()
		<-time.After(time.Minute)
		f.update(present("a", 1), present("b", 2))
		f.outage = watcher.Outage{Failing: true, Began: time.Now()}
		<-time.After(time.Second)
		assert.DeepEqual(t, f.update(removed("a", 3), present("b", 2)), []string{"a", "b"})
		<-time.After(5 * time.Second)
		assert.DeepEqual(t, f.update(removed("a", 3), present("b", 2)), []string{"b"})
	})
}

// TestExpiredItemsAreKeptWhileOutageIsNotNoticedByAll has an outage of which other daemons are
// still reported not to know: items that expire in it may reappear.
func TestExpiredItemsAreKeptWhileOutageIsNotNoticedByAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.storeWatchedSince = time.Now()
		<-time.After(time.Minute)
		f.update(present("a", 1))
		f.outage = watcher.Outage{Failing: true, Began: time.Now()}
		<-time.After(2 * time.Second)
		assert.DeepEqual(t, f.update(removed("a", 3)), []string{"a"})
		f.outage = watcher.Outage{Began: f.outage.Began, Ended: time.Now()}
		<-time.After(time.Second)
		assert.DeepEqual(t, f.update(present("a", 4)), []string{"a"})
	})
}

// TestExpiredItemsAreKeptAfterPeersReachStoreAgain has other daemons reach the store again
// after an outage, before this one does: items that expired in it may still reappear.
func TestExpiredItemsAreKeptAfterPeersReachStoreAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.update(present("a", 1), present("b", 2))
		f.outage = watcher.Outage{Failing: true}
		<-time.After(time.Minute)
		f.storeWatchedSince = time.Now()
		assert.DeepEqual(t, f.update(removed("a", 3), removed("b", 4)), []string{"a", "b"})
		<-time.After(2 * time.Second)
		assert.DeepEqual(t, f.update(removed("a", 3), present("b", 5)), []string{"a", "b"})
		<-time.After(time.Second)
		assert.DeepEqual(t, f.update(removed("a", 3), present("b", 5)), []string{"b"})
	})
}

// TestReturnOfStoreFromOlderCopy has the store come back from a copy that lacks a replica which
// lives, lists one that has left, and shows one as ready that has said that it leaves.
func TestReturnOfStoreFromOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		inEra := func(item replicator.Item) replicator.Item {
			item.Revision = replicator.Position(2, item.Revision)
			return item
		}
		draining := replicator.Item{Key: "c", Value: []byte("draining"), Revision: 9}
		f.update(present("b", 2), present("c", 3))
		assert.DeepEqual(t, f.update(present("a", 7), removed("b", 8), draining), []string{"a", "c"})
		list, _ := f.roster.Update([]replicator.Item{inEra(removed("a", 5)), inEra(present("b", 2)), inEra(present("c", 3))})
		assert.Equal(t, len(list), 2)
		assert.Equal(t, list[0].ID, "a")
		assert.Assert(t, list[1].ID == "c" && list[1].Draining)
		<-time.After(time.Second)
		back := replicator.Item{Key: "b", Value: []byte("ready again"), Revision: 7}
		assert.DeepEqual(t, f.update(inEra(present("a", 6)), inEra(back), inEra(present("c", 3))), []string{"a", "b", "c"})
	})
}

// TestReplicaMissingAfterReturnIsGone leaves the item of a replica out of the older copy for
// good.
func TestReplicaMissingAfterReturnIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.update(present("a", 7))
		gone := replicator.Item{Key: "a", Revision: replicator.Position(1, 5), Removed: true}
		assert.DeepEqual(t, f.update(gone), []string{"a"})
		<-time.After(3 * time.Second)
		assert.Equal(t, len(f.update(gone)), 0)
	})
}

// TestReplicasOfItemsMissingAfterOutageAreKept removes an item that is only found missing
// when the outage has ended.
func TestReplicasOfItemsMissingAfterOutageAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.update(present("a", 1))
		f.outage = watcher.Outage{Ended: time.Now()}
		_, recheckAfter := f.roster.Update([]replicator.Item{removed("a", 3)})
		assert.Assert(t, recheckAfter > 2*time.Second)
		<-time.After(recheckAfter)
		assert.Equal(t, len(f.update(removed("a", 3))), 0)
	})
}

// TestInvalidItemsAreIgnored overwrites one item with bytes that cannot be decoded and
// adds another such item: neither describes a replica, and the others are not affected.
func TestInvalidItemsAreIgnored(t *testing.T) {
	f := newFixture()
	f.update(present("a", 1), present("b", 2))
	bad := replicator.Item{Key: "a", Value: []byte("bad"), Revision: 3}
	invalid := replicator.Item{Key: "c", Value: []byte("bad"), Revision: 4}
	assert.DeepEqual(t, f.update(bad, present("b", 2), invalid), []string{"b"})
	assert.DeepEqual(t, f.update(present("a", 5), present("b", 2), invalid), []string{"a", "b"})
}

// TestReplicasOfUnknownServicesAreNotListed guards against items of services that are not configured which are taken
// for replicas, and against replicas that are not listed though a later configuration names their service.
func TestReplicasOfUnknownServicesAreNotListed(t *testing.T) {
	f := newFixture()
	f.unknown = map[string]bool{"other": true}
	items := []replicator.Item{present("a", 1), {Key: "b", Value: []byte("other"), Revision: 2}}
	assert.DeepEqual(t, f.update(items...), []string{"a"})
	f.unknown = nil
	assert.DeepEqual(t, f.update(items...), []string{"a", "b"})
	f.unknown = map[string]bool{"ready": true}
	assert.DeepEqual(t, f.update(items...), []string{"b"})
	f.unknown = nil
	f.outage = watcher.Outage{Failing: true}
	items[1] = replicator.Item{Key: "b", Revision: 3, Removed: true}
	assert.DeepEqual(t, f.update(items...), []string{"a", "b"})
	f.unknown = map[string]bool{"other": true}
	assert.DeepEqual(t, f.update(items...), []string{"a"})
}
