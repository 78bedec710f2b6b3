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
	// start returns when the replica says that it started, in Unix milliseconds, 0 before it has said so.
	start   func() int64
	list    *atomic.Pointer[[]router.Descriptor]
	derived atomic.Pointer[derivedQueue]
}

// derivedQueue is what was derived from a list of replicas and the start of the own one.
type derivedQueue struct {
	list  *[]router.Descriptor
	start int64
	// replicaID is that of the own replica, "" if it is not known.
	replicaID string
	queue     LoadQueue
	found     bool
}

// NewQueueCache returns the load queue of the replica at an address, which says when it started. service is "" for
// that in the list.
func NewQueueCache(address, service string, start func() int64, list *atomic.Pointer[[]router.Descriptor]) *QueueCache {
	return &QueueCache{address: address, service: service, start: start, list: list}
}

// Get returns the replica's position in the queue. The second result is false if the replica is not in
// the list.
func (c *QueueCache) Get() (LoadQueue, bool) {
	derived := c.derive()
	return derived.queue, derived.found
}

// derive returns what is derived from the newest list. Entries of other writers and of replicas that have ended may
// name the own replica's address, too: what the replica says of itself decides.
func (c *QueueCache) derive() *derivedQueue {
	list, start := c.list.Load(), c.start()
	derived := c.derived.Load()
	if derived != nil && derived.list == list && derived.start == start {
		return derived
	}
	derived = &derivedQueue{list: list, start: start}
	current := router.LatestByAddress(*list, c.address, start)
	derived.queue, derived.found = NewLoadQueue(current, c.serviceIn(current), c.address)
	if i := slices.IndexFunc(current, func(d router.Descriptor) bool { return d.Address == c.address }); i >= 0 {
		derived.replicaID = current[i].ID
	}
	c.derived.Store(derived)
	return derived
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
func (c *QueueCache) ReplicaID() string { return c.derive().replicaID }
