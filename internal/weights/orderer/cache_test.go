package orderer

import (
	"sync/atomic"
	"testing"

	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"gotest.tools/v3/assert"
)

// TestSubstituteFollowsAddressToAnotherService guards against a replica that gets no orders since
// its address belonged to another service when an entry took over from its sidecar.
func TestSubstituteFollowsAddressToAnotherService(t *testing.T) {
	var latest atomic.Pointer[[]router.Descriptor]
	latest.Store(&[]router.Descriptor{{ID: "a", Address: "10.0.0.1:1", Service: "chat"}, {ID: "b", Address: "10.0.0.2:1", Service: "code"}})
	c := NewQueueCache("10.0.0.1:1", "", func() int64 { return 0 }, &latest)
	_, found := c.Get()
	assert.Assert(t, found)

	latest.Store(&[]router.Descriptor{{ID: "a", Address: "10.0.0.1:1", Service: "chat", Draining: true}, {ID: "c", Address: "10.0.0.1:1", Service: "code"}, {ID: "b", Address: "10.0.0.2:1", Service: "code"}})
	queue, found := c.Get()
	assert.Assert(t, found)
	assert.Assert(t, len(queue.Predecessors) == 0, "two replicas in two lanes")
}

// TestOrdersFollowWhatTheReplicaSaysOfItself guards against a replica that gets no orders since another entry names
// its address and a later start.
func TestOrdersFollowWhatTheReplicaSaysOfItself(t *testing.T) {
	const own = "10.0.0.1:1"
	other := router.Descriptor{ID: "other", Address: "10.0.0.2:1", Service: "chat", StartUnixMilli: 3}
	sound := router.Descriptor{ID: "sound", Address: own, Service: "chat", StartUnixMilli: 7}
	for _, service := range []string{"chat", "code"} {
		foreign := router.Descriptor{ID: "foreign", Address: own, Service: service, StartUnixMilli: 9}
		for start, want := range map[int64]string{0: "foreign", 7: "sound", 8: "foreign", 9: "foreign"} {
			var latest atomic.Pointer[[]router.Descriptor]
			latest.Store(&[]router.Descriptor{other, foreign, sound})
			said := int64(0)
			c := NewQueueCache(own, "chat", func() int64 { return said }, &latest)
			c.Get()
			said = start
			assert.Equal(t, c.ReplicaID(), want, "start %d", start)
			queue, found := c.Get()
			assert.Equal(t, found, want == "sound" || service == "chat", "start %d", start)
			if found {
				_, size := queue.Place()
				assert.Equal(t, size, 2, "one entry an address")
			}
		}
	}
}
