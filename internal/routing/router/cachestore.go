package router

import (
	"sync"
	"time"
)

const (
	// storedEntries bounds one generation of the memory of what a cache store keeps; an
	// entry takes some 20 bytes.
	storedEntries = 20_000
	// savedShare is the part of a prompt that must be shared for it to be saved, as a
	// divisor: replicas save the caller's own part too, which nobody fetches.
	savedShare = 3
)

// storedParts remembers which prompt parts are in the cache stores that answer. Parts
// that are not used for two generations are forgotten. It is safe for concurrent use.
type storedParts struct {
	// mu guards stores.
	mu     sync.Mutex
	stores map[string]*recent[struct{}]
}

func newStoredParts() *storedParts {
	return &storedParts{stores: make(map[string]*recent[struct{}])}
}

func (p *storedParts) set(address string, answers bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answers {
		p.stores[address] = newRecent[struct{}](storedEntries)
	} else {
		delete(p.stores, address)
	}
}

// answers reports whether a store can be used.
func (p *storedParts) answers(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stores[address] != nil
}

func (p *storedParts) change(address string, key uint64, stored bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	parts := p.stores[address]
	switch {
	case parts == nil:
	case stored:
		parts.put(key, struct{}{})
	default:
		parts.remove(key)
	}
}

// has reports whether a store has a part.
func (p *storedParts) has(address string, key uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	parts := p.stores[address]
	if parts == nil {
		return false
	}
	_, found := parts.get(key)
	return found
}

// cacheStore returns the store with the fastest way to a replica, nil if none answers.
func (s *survey) cacheStore(replica *Replica) *CacheStore {
	var best *CacheStore
	for _, store := range s.request.Catalog.cacheStores {
		if s.router.stored.answers(store.Address) && (best == nil || store.factor(replica) < best.factor(replica)) {
			best = store
		}
	}
	return best
}

// useCacheStore makes a choice fetch the shared parts from a cache store, or save them
// there. It returns how many tokens are fetched and how long that takes, false if none
// are. Saves between regions would keep the store's link busy for ten times as long as
// those within its own.
func (s *survey) useCacheStore(c *choice, p *parts, held int) (int, time.Duration, bool) {
	store := s.cacheStore(c.replica)
	if store == nil {
		return 0, 0, false
	}
	last := len(p.keys) - 1
	total, factor := p.tokens[last], store.factor(c.replica)
	if s.router.stored.has(store.Address, p.keys[last]) {
		c.fetchFrom = store.Address
		return total, s.fetchTime(store.LinkBitsPerSecond, factor, total-held), true
	}
	if savedShare*total >= s.request.Prompt.Tokens && factor <= zoneFetch {
		c.saveTo = store.Address
	}
	return 0, 0, false
}

// factor is how many times as long a transfer to a replica takes as within the store's
// availability zone.
func (c *CacheStore) factor(to *Replica) int {
	return transferFactor(c.Zone, c.Region, to.descriptor.Load())
}
