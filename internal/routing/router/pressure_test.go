package router

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestUnreadAnswersAreNoFailuresOfTheirReplica guards against sound replicas that get no requests because they
// have cut off answers whose callers took nothing.
func TestUnreadAnswersAreNoFailuresOfTheirReplica(t *testing.T) {
	for _, tc := range []struct {
		unread time.Duration
		failed bool
	}{{500 * time.Millisecond, true}, {unreadTimeout, false}} {
		t.Run(fmt.Sprint(tc.unread), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestBed(1, func(int, *Attempt) (*Reply, error) { return streamReply(0, 1, errLost), nil })
				result := b.router.Begin(modelRequest(route(Streaming, 1, false), PromptPart{"a", 100}))
				assert.Assert(t, result.Stream != nil)
				_, err := result.Stream.Next()
				assert.NilError(t, err)
				<-time.After(tc.unread)
				for err == nil {
					_, err = result.Stream.Next()
				}
				result.Stream.Close()
				backingOff, _ := b.pool.group("s").replicas[0].inBackoff(time.Now())
				assert.Equal(t, backingOff, tc.failed)
			})
		})
	}
}
