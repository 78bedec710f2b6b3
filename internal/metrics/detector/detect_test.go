package detector_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/metrics/detector"
	"gotest.tools/v3/assert"
)

// pausingClock is a clock that has jumped ahead by pause when its timers are noticed.
type pausingClock struct{ pause atomic.Int64 }

func (c *pausingClock) Now() time.Time { return time.Now().Add(time.Duration(c.pause.Load())) }

func (c *pausingClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// TestPausesAreReported guards against incidents in which nothing shows that the process stood
// still: a pause is reported once, with its length, and short delays are not.
func TestPausesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock, stop := &pausingClock{}, make(chan struct{})
		var pauses []time.Duration
		detector.New(func(pause time.Duration) { pauses = append(pauses, pause) }, clock, stop)
		<-time.After(time.Second)
		synctest.Wait()
		assert.Equal(t, len(pauses), 0)
		for _, pause := range []time.Duration{detector.MinPause - time.Millisecond, 2 * time.Second} {
			clock.pause.Add(int64(pause))
			<-time.After(time.Second)
			synctest.Wait()
		}
		assert.DeepEqual(t, pauses, []time.Duration{2 * time.Second})
		close(stop)
		synctest.Wait()
	})
}
