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

type bed struct {
	roster *roster.Roster
	outage watcher.Outage
}

func newBed() *bed {
	b := &bed{}
	b.roster = roster.New(roster.Dependencies{
		Decode: func(item replicator.Item) (router.Descriptor, error) {
			if string(item.Value) == "bad" {
				return router.Descriptor{}, errors.New("unreadable")
			}
			return router.Descriptor{ID: item.Key, Draining: string(item.Value) == "draining"}, nil
		},
		Outage: func() watcher.Outage { return b.outage },
		Clock:  timekeeper.System{},
		Logger: log.New(io.Discard),
	})
	return b
}

func (b *bed) judge(items ...replicator.Item) []string {
	list, _ := b.roster.Update(items)
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

// TestRemovalCountsAtOnce removes an entry while the store is well.
func TestRemovalCountsAtOnce(t *testing.T) {
	b := newBed()
	assert.DeepEqual(t, b.judge(present("a", 1), present("b", 2)), []string{"a", "b"})
	assert.DeepEqual(t, b.judge(removed("a", 3), present("b", 2)), []string{"b"})
}

// TestEntriesThatLapseInAnOutageHold has entries lapse while the store is away. They
// hold until two seconds behind its return; one that is back by then goes on.
func TestEntriesThatLapseInAnOutageHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed()
		b.judge(present("a", 1), present("b", 2))
		b.outage = watcher.Outage{Failing: true}
		assert.DeepEqual(t, b.judge(removed("a", 3), removed("b", 4)), []string{"a", "b"})
		<-time.After(time.Minute)
		b.outage = watcher.Outage{Ended: time.Now()}
		<-time.After(2 * time.Second)
		assert.DeepEqual(t, b.judge(removed("a", 3), present("b", 5)), []string{"a", "b"})
		<-time.After(time.Second)
		assert.DeepEqual(t, b.judge(removed("a", 3), present("b", 5)), []string{"b"})
	})
}

// TestEntriesFoundMissingBehindAnOutageHold learns of the lapse only at the return.
func TestEntriesFoundMissingBehindAnOutageHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed()
		b.judge(present("a", 1))
		b.outage = watcher.Outage{Ended: time.Now()}
		_, again := b.roster.Update([]replicator.Item{removed("a", 3)})
		assert.Assert(t, again > 2*time.Second)
		<-time.After(again)
		assert.Equal(t, len(b.judge(removed("a", 3))), 0)
	})
}

// TestBadEntriesNameNobodyAndHideNobody overwrites one entry with bytes that cannot
// be read and adds another such.
func TestBadEntriesNameNobodyAndHideNobody(t *testing.T) {
	b := newBed()
	b.judge(present("a", 1), present("b", 2))
	bad := replicator.Item{Key: "a", Value: []byte("bad"), Revision: 3}
	forged := replicator.Item{Key: "c", Value: []byte("bad"), Revision: 4}
	assert.DeepEqual(t, b.judge(bad, present("b", 2), forged), []string{"b"})
	assert.DeepEqual(t, b.judge(present("a", 5), present("b", 2), forged), []string{"a", "b"})
}
