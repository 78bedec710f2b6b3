package follower_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/cache/follower"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// cache simulates a replica's cache with its events.
type cache struct {
	// mu guards the fields below.
	mu          sync.Mutex
	epoch       int64
	events      []follower.Event
	unreachable bool
}

func (c *cache) setState(unreachable bool, epoch int64, events []follower.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable, c.epoch, c.events = unreachable, epoch, events
}

func (c *cache) poll(ctx context.Context, since int64) (follower.Batch, error) {
	c.mu.Lock()
	noEvents := !c.unreachable && since >= int64(len(c.events))
	c.mu.Unlock()
	if noEvents {
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unreachable {
		return follower.Batch{}, errors.New("replica is down")
	}
	since = min(since, int64(len(c.events)))
	return follower.Batch{Epoch: c.epoch, Next: int64(len(c.events)), Events: c.events[since:]}, nil
}

// TestFollowerTracksCacheContents stores and drops prompt parts, makes the replica
// unreachable and restarts it with an empty cache: the events give the cache's contents.
func TestFollowerTracksCacheContents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cache{epoch: 1, events: []follower.Event{{ID: "a", Stored: true}, {ID: "b", Stored: true}, {ID: "a"}}}
		var mu sync.Mutex
		held := map[string]bool{}
		expect := func(want map[string]bool) {
			mu.Lock()
			defer mu.Unlock()
			assert.DeepEqual(t, held, want)
		}
		f := follower.New(c.poll, follower.Sink{
			Event: func(e follower.Event) {
				mu.Lock()
				defer mu.Unlock()
				if held[e.ID] = e.Stored; !e.Stored {
					delete(held, e.ID)
				}
			},
			Clear: func() {
				mu.Lock()
				defer mu.Unlock()
				clear(held)
			},
			BatchApplied: func() {},
		}, 60*time.Millisecond, timekeeper.System{}, log.New(io.Discard))
		defer f.Close()
		<-time.After(3 * time.Second)
		expect(map[string]bool{"b": true})
		c.setState(true, 1, c.events)
		<-time.After(3 * time.Second)
		c.setState(false, 2, []follower.Event{{ID: "c", Stored: true}})
		<-time.After(3 * time.Second)
		expect(map[string]bool{"c": true})
	})
}

// TestGroupFollowsListedAddresses lists two caches, then one of them and a third. A cache
// that ceases to answer is reported once.
func TestGroupFollowsListedAddresses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caches := map[string]*cache{"a": {epoch: 1}, "b": {epoch: 1}, "c": {epoch: 1}}
		var mu sync.Mutex
		var reachableChanges []string
		g := follower.NewGroup(func(address string) (follower.Poll, follower.Sink) {
			return caches[address].poll, follower.Sink{
				Event: func(follower.Event) {}, Clear: func() {}, BatchApplied: func() {},
				ReachableChanged: func(reachable bool) {
					mu.Lock()
					defer mu.Unlock()
					reachableChanges = append(reachableChanges, fmt.Sprintf("%s %v", address, reachable))
				},
			}
		}, time.Second, timekeeper.System{}, log.New(io.Discard))
		expect := func(want ...string) {
			<-time.After(5 * time.Second)
			mu.Lock()
			defer mu.Unlock()
			slices.Sort(reachableChanges)
			assert.DeepEqual(t, reachableChanges, want)
			reachableChanges = nil
		}
		g.SetAddresses([]string{"a", "b"})
		expect("a true", "b true")
		caches["a"].setState(true, 1, nil)
		expect("a false")
		g.SetAddresses([]string{"b", "c"})
		expect("c true")
		g.SetAddresses(nil)
	})
}
