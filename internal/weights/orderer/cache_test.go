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
	c := NewQueueCache("10.0.0.1:1", "", &latest)
	_, found := c.Get()
	assert.Assert(t, found)

	latest.Store(&[]router.Descriptor{{ID: "a", Address: "10.0.0.1:1", Service: "chat", Draining: true}, {ID: "c", Address: "10.0.0.1:1", Service: "code"}, {ID: "b", Address: "10.0.0.2:1", Service: "code"}})
	queue, found := c.Get()
	assert.Assert(t, found)
	assert.Assert(t, len(queue.Predecessors) == 0, "two replicas in two lanes")
}
