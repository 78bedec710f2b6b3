package divider

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// TestLimitOfLostReplicaIsForgotten guards against the limit of a replica that is gone keeping
// the path of all requests on the lock.
func TestLimitOfLostReplicaIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(timekeeper.System{})
		limit := 2.0
		d.Observe(Replica{ID: "gone"}, &limit, time.Now())
		assert.Equal(t, d.limited.Load(), int64(1))
		<-time.After(memory)
		d.Observe(Replica{ID: "other"}, nil, time.Now())
		assert.Equal(t, d.limited.Load(), int64(0))
	})
}
