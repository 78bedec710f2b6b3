package router

import (
	"sync"
	"time"
)

const (
	// storedGenerationSize is the number of parts in one generation of the map of a
	// cache store's contents; an entry takes some 20 bytes.
	storedGenerationSize = 20_000
	// saveDivisor sets which prompts are saved: those of which at least one part in
	// saveDivisor is shared. Replicas also save the caller's own part, which is never
	// fetched.
	saveDivisor = 3
)

// storedParts records which prompt parts the reachable cache stores have. Parts that
// are not used for two generations are forgotten. It is safe for concurrent use.
type storedParts struct {
	// mu guards stores, which maps the addresses of the reachable stores to the keys of
	// their parts.
	mu     sync.Mutex
	stores map[string]*recentMap[struct{}]
}

func newStoredParts() *storedParts {
	return &storedParts{stores: make(map[string]*recentMap[struct{}])}
}

// setReachable adds a store without parts, or removes it.
func (p *storedParts) setReachable(address string, up bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if up {
		p.stores[address] = newRecentMap[struct{}](storedGenerationSize)
	} else {
		delete(p.stores, address)
	}
}

// reachable reports whether a store can be used.
func (p *storedParts) reachable(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stores[address] != nil
}

// update records that a store has stored or dropped a part. Unreachable stores are
// ignored.
func (p *storedParts) update(address string, key uint64, stored bool) {
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

// nearestCacheStore returns the reachable store with the fastest transfer to a replica,
// or nil.
func (s *selection) nearestCacheStore(replica *Replica) *CacheStore {
	var best *CacheStore
	for _, store := range s.request.Catalog.cacheStores {
		if s.router.stored.reachable(store.Address) && (best == nil || store.transferFactorTo(replica) < best.transferFactorTo(replica)) {
			best = store
		}
	}
	return best
}

// useCacheStore makes a choice fetch the shared parts from a cache store, or save them
// there. It returns how many tokens the replica has after the fetch and how long the
// fetch takes, or false if nothing is fetched. Nothing is saved between regions: that
// would keep the store's link busy for ten times as long as within its own.
func (s *selection) useCacheStore(c *choice, p *sharedPrefix, cached int) (int, time.Duration, bool) {
	store := s.nearestCacheStore(c.replica)
	if store == nil {
		return 0, 0, false
	}
	last := len(p.keys) - 1
	sharedTokens, factor := p.endTokens[last], store.transferFactorTo(c.replica)
	if s.router.stored.has(store.Address, p.keys[last]) {
		c.fetchFrom = store.Address
		return sharedTokens, s.transferTime(store.LinkBitsPerSecond, factor, sharedTokens-cached), true
	}
	if saveDivisor*sharedTokens >= s.request.Prompt.Tokens && factor <= crossZoneTransferFactor {
		c.saveTo = store.Address
	}
	return 0, 0, false
}

// transferFactorTo returns the transferFactor from the store to a replica.
func (c *CacheStore) transferFactorTo(to *Replica) int {
	return transferFactor(c.Zone, c.Region, to.descriptor.Load())
}
