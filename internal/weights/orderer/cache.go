package orderer

import (
	"slices"
	"sync/atomic"

	"github.com/cyclamenward/cyclamenward/internal/routing/router"
)

// QueueCache derives the load queue of one replica from the newest list of replicas. It is safe for
// concurrent use.
type QueueCache struct {
	// address is the replica's, service its service, "" for that in the list: an address may pass to
	// a replica of another service.
	address, service string
	list             *atomic.Pointer[[]router.Descriptor]
	derived          atomic.Pointer[derivedQueue]
}

// derivedQueue is the load queue that was derived from a list of replicas.
type derivedQueue struct {
	list  *[]router.Descriptor
	queue LoadQueue
	found bool
}

// NewQueueCache returns the load queue of the replica at an address. service is "" for that in the list.
func NewQueueCache(address, service string, list *atomic.Pointer[[]router.Descriptor]) *QueueCache {
	return &QueueCache{address: address, service: service, list: list}
}

// Get returns the replica's position in the queue. The second result is false if the replica is not in
// the list.
func (c *QueueCache) Get() (LoadQueue, bool) {
	list := c.list.Load()
	derived := c.derived.Load()
	if derived == nil || derived.list != list {
		derived = &derivedQueue{list: list}
		derived.queue, derived.found = NewLoadQueue(*list, c.serviceIn(*list), c.address)
		c.derived.Store(derived)
	}
	return derived.queue, derived.found
}

// serviceIn returns the replica's service, "" if it is not given and the list has no replica at the address
// that stays.
func (c *QueueCache) serviceIn(list []router.Descriptor) string {
	if c.service != "" {
		return c.service
	}
	if i := slices.IndexFunc(list, func(d router.Descriptor) bool { return d.Address == c.address && !d.Draining }); i >= 0 {
		return list[i].Service
	}
	return ""
}

// ReplicaID returns the ID of the replica in the list, "" if it is not known.
func (c *QueueCache) ReplicaID() string {
	list := *c.list.Load()
	if i := slices.IndexFunc(list, func(d router.Descriptor) bool { return d.Address == c.address }); i >= 0 {
		return list[i].ID
	}
	return ""
}
