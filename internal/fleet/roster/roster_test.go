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
}

func newFixture() *fixture {
	f := &fixture{}
	f.roster = roster.New(roster.Dependencies{
		Decode: func(item replicator.Item) (router.Descriptor, error) {
			if string(item.Value) == "bad" {
				return router.Descriptor{}, errors.New("unreadable")
			}
			return router.Descriptor{ID: item.Key, Draining: string(item.Value) == "draining"}, nil
		},
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
		f.outage = watcher.Outage{Failing: true}
		assert.DeepEqual(t, f.update(removed("a", 3), present("b", 2)), []string{"b"})
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
