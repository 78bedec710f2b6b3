package follower_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/cache/follower"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// cache is a replica's cache with its events.
type cache struct {
	epoch  int64
	events []follower.Event
	down   bool
}

func (c *cache) poll(ctx context.Context, since int64) (follower.Batch, error) {
	if c.down {
		return follower.Batch{}, errors.New("replica is down")
	}
	if since >= int64(len(c.events)) {
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
		since = int64(len(c.events))
	}
	return follower.Batch{Epoch: c.epoch, Next: int64(len(c.events)), Events: c.events[since:]}, nil
}

// TestFollowerKnowsWhatIsHeld stores and drops parts, takes the replica down and
// brings it back with an empty cache.
func TestFollowerKnowsWhatIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cache{epoch: 1, events: []follower.Event{{ID: "a", Stored: true}, {ID: "b", Stored: true}, {ID: "a"}}}
		held := map[string]bool{}
		f := follower.New(c.poll, follower.Sink{
			Event: func(e follower.Event) {
				if held[e.ID] = e.Stored; !e.Stored {
					delete(held, e.ID)
				}
			},
			Clear:   func() { clear(held) },
			Changed: func() {},
		}, timekeeper.System{}, log.New(io.Discard))
		defer f.Close()
		<-time.After(3 * time.Second)
		assert.DeepEqual(t, held, map[string]bool{"b": true})
		c.down = true
		<-time.After(3 * time.Second)
		c.down, c.epoch, c.events = false, 2, []follower.Event{{ID: "c", Stored: true}}
		<-time.After(3 * time.Second)
		assert.DeepEqual(t, held, map[string]bool{"c": true})
	})
}
