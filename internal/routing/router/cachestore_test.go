package router

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const testStore = "10.9.9.9:80"

// withStore puts a cache store beside the replicas.
func withStore(request *Request, zone, region string) *Request {
	request.Catalog = NewCatalog(1, Limits{}, []*Route{request.Route}, []*Service{
		{Name: "s", Engine: &Engine{Slots: 64, MemoryTokens: 1_000_000, TokenBytes: 1 << 14, LinkBitsPerSecond: 1e11}},
		{Name: "kept", CacheStore: &CacheStore{Address: testStore, Zone: zone, Region: region, LinkBitsPerSecond: 4e10}},
	}, nil)
	return request
}

// TestCacheStoreIsAskedForWhatItHas follows one shared part: it is saved when it is
// first read, and fetched once no replica has it.
func TestCacheStoreIsAskedForWhatItHas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(1, func(int, *Attempt) (*Reply, error) { return stream(0, 1, io.EOF), nil })
		send := func(zone, region string, shared, own int) *Attempt {
			result := b.router.Begin(withStore(modelRequest(route(Streaming, 1, false), PromptPart{"a", shared}, PromptPart{"own", own}), zone, region))
			_, err := drain(result.Stream)
			assert.ErrorIs(t, err, io.EOF)
			return b.attempts[len(b.attempts)-1]
		}
		evict := func() {
			key := PartKey(b.attempts[0].CacheScope, "a")
			b.router.UpdateReplicaCache(b.attempts[0].Address, nil, []uint64{key})
		}
		assert.Equal(t, send("z0", "r", 5000, 5000).SaveTo, "", "a store that was never reached is not used")
		evict()
		b.router.SetCacheStoreReachable(testStore, true)
		assert.Equal(t, send("z0", "r", 100, 5000).SaveTo, "", "the caller's own part is most of the prompt")
		evict()
		assert.Equal(t, send("z9", "elsewhere", 5000, 5000).SaveTo, "", "replicas of another region keep the store's link busy")
		evict()
		saved := send("z0", "r", 5000, 5000)
		assert.Equal(t, saved.SaveTo, testStore)
		assert.Equal(t, saved.FetchFrom, "")
		assert.Equal(t, send("z0", "r", 5000, 5000).FetchFrom, "", "the replica has the part")
		evict()
		again := send("z0", "r", 5000, 5000)
		assert.Equal(t, again.FetchFrom, testStore)
		assert.Equal(t, again.SaveTo, "")
		evict()
		assert.Equal(t, send("z9", "elsewhere", 5000, 5000).FetchFrom, testStore, "a fetch between regions takes less than what reading again costs")

		evict()
		b.router.UpdateCacheStore(testStore, PartKey(saved.CacheScope, "a"), false)
		assert.Equal(t, send("z0", "r", 5000, 5000).FetchFrom, "", "the store has dropped the part")
		evict()
		b.router.SetCacheStoreReachable(testStore, false)
		lost := send("z0", "r", 5000, 5000)
		assert.Equal(t, lost.FetchFrom+lost.SaveTo, "", "a dead store costs each request some hundred milliseconds")
		evict()
		b.router.SetCacheStoreReachable(testStore, true)
		assert.Equal(t, send("z0", "r", 5000, 5000).SaveTo, testStore, "a store that comes back may be empty")
	})
}

// lru is a replica's cache: the least recently used parts make room.
type lru struct {
	room   int
	order  []uint64
	tokens map[uint64]int
}

// use reports whether the cache had the part, and keeps it. dropped has what made room.
func (c *lru) use(key uint64, tokens int) (had bool, dropped []uint64) {
	had = c.tokens[key] > 0
	for i, other := range c.order {
		if other == key {
			c.order = append(c.order[:i], c.order[i+1:]...)
			break
		}
	}
	c.order, c.tokens[key] = append(c.order, key), tokens
	sum := 0
	for _, n := range c.tokens {
		sum += n
	}
	for sum > c.room {
		oldest := c.order[0]
		c.order, sum = c.order[1:], sum-c.tokens[oldest]
		delete(c.tokens, oldest)
		dropped = append(dropped, oldest)
	}
	return had, dropped
}

// readAgain sends requests with shared parts whose caches turn over faster than the
// parts come back. It returns the shared tokens that were read though a replica had
// read them before.
func readAgain(t *testing.T, store bool) int {
	t.Helper()
	const parts, shared, own = 60, 4000, 4000
	b := newBed(6, nil)
	var mu sync.Mutex
	caches, everRead, again := map[string]*lru{}, map[uint64]bool{}, 0
	b.router.transport.Send = func(_ context.Context, a *Attempt) (*Reply, error) {
		mu.Lock()
		defer mu.Unlock()
		cache := caches[a.Address]
		if cache == nil {
			cache = &lru{room: 40_000, tokens: map[uint64]int{}}
			caches[a.Address] = cache
		}
		key := PartKey(a.CacheScope, a.Request.Prompt.Parts[0].ID)
		source := caches[a.FetchFrom]
		fetched := a.FetchFrom == testStore || (source != nil && source.tokens[key] > 0)
		had, dropped := cache.use(key, shared)
		_, more := cache.use(rand.Uint64(), own)
		if !had && !fetched && everRead[key] {
			again += shared
		}
		everRead[key] = true
		b.router.UpdateReplicaCache(a.Address, []uint64{key}, append(dropped, more...))
		return stream(0, 1, io.EOF), nil
	}
	if store {
		b.router.SetCacheStoreReachable(testStore, true)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		<-time.After(20 * time.Millisecond)
		id := fmt.Sprintf("p%d", random.IntN(parts))
		result := b.router.Begin(withStore(modelRequest(route(Streaming, 1, false), PromptPart{id, shared}, PromptPart{"own", own}), "z0", "r"))
		_, err := drain(result.Stream)
		assert.ErrorIs(t, err, io.EOF)
	}
	return again
}

// TestLoadOfEvictedPrompts is the pattern of the heaviest days: callers' own prompts
// drive the shared ones out of all caches before they are used again. The cache store
// must save nine tenths of the reading.
func TestLoadOfEvictedPrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		without, with := readAgain(t, false), readAgain(t, true)
		assert.Assert(t, without > 1_000_000, "%d tokens: the load must drive parts out", without)
		assert.Assert(t, 10*with < without, "%d tokens read again, %d without the store", with, without)
	})
}
