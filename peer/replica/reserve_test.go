package replica

import (
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// TestReservationsNeverPassTheBound guards against answers that refuse each other though one of them
// fits, and against a count beyond the bound: many answers reserve memory at the same time, each
// round nearly all of it.
func TestReservationsNeverPassTheBound(t *testing.T) {
	c := newClient()
	var tasks sync.WaitGroup
	var passed atomic.Int64
	for range 8 {
		tasks.Go(func() {
			for range 20_000 {
				a := &Answer{client: c}
				if a.reserve(maxBufferedBytes) == nil {
					c.buffered.Add(-a.reserved)
				}
				if c.buffered.Load() > maxBufferedBytes {
					passed.Add(1)
				}
			}
		})
	}
	tasks.Wait()
	assert.Equal(t, passed.Load(), int64(0))
	assert.NilError(t, (&Answer{client: c}).reserve(maxBufferedBytes))
}
