package router

import (
	"fmt"
	"io"
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

// TestReplicasAreNotGivenMoreThanTheirMemory guards against replicas that crash because prompts which are not
// read yet do not count in their memory.
func TestReplicasAreNotGivenMoreThanTheirMemory(t *testing.T) {
	const memory = 10_000
	for _, bounded := range []bool{false, true} {
		t.Run(fmt.Sprint(bounded), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sent := 0
				release := make(chan struct{})
				b := newTestBed(2, func(int, *Attempt) (*Reply, error) {
					sent++
					<-release
					return streamReply(0, 0, io.EOF), nil
				})
				b.router.options.BoundedMemory = bounded
				r := route(Streaming, 1, false)
				r.LatencyTarget, r.Timeout = time.Minute, time.Minute
				catalog := NewCatalog(1, Limits{}, []*Route{r}, []*Service{{Name: "s", Engine: &Engine{Slots: 64, MemoryTokens: memory}}}, nil)
				refused := 0
				for i := range 8 {
					request := modelRequest(r, PromptPart{fmt.Sprint(i), 3000})
					request.Catalog = catalog
					go func() {
						if failure := b.router.Begin(request).Failure; failure != nil && failure.NotRun && failure.RetryAfter > 0 {
							refused++
						}
					}()
					synctest.Wait()
				}
				if bounded {
					assert.Check(t, sent == 6 && refused == 2, "%d sent, %d refused", sent, refused)
				} else {
					assert.Check(t, sent == 8 && refused == 0, "%d sent, %d refused", sent, refused)
				}
				close(release)
			})
		})
	}
}
