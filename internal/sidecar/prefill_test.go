package sidecar

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/chainer"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// TestSharedPrefixIsComputedOnce lets many requests with one uncached prefix
// arrive together and checks that one computes it and the others follow at once,
// not one after the other.
func TestSharedPrefixIsComputedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPrefills(timekeeper.System{})
		chain := []chainer.Hash{{1}, {2}, {3}}
		total := 3*chainer.BlockTokens + 100
		const prefill, tail = time.Second, 10 * time.Millisecond
		var mu sync.Mutex
		computed := 0
		began := time.Now()
		var group sync.WaitGroup
		for range 50 {
			group.Add(1)
			go func() {
				defer group.Done()
				missing, done, err := p.enter(t.Context(), chain, total, 0)
				assert.Check(t, err)
				if missing > chainer.BlockTokens {
					mu.Lock()
					computed++
					mu.Unlock()
					<-time.After(prefill)
				} else {
					<-time.After(tail)
				}
				done(true)
			}()
		}
		group.Wait()
		assert.Equal(t, computed, 1)
		assert.Equal(t, time.Since(began), prefill+tail)
		assert.Equal(t, p.tokens(), 0)
	})
}

// TestFollowersTakeOverFromAFailedLeader checks that a leader that fails or is
// cancelled does not strand its followers, and that nothing it claimed counts as
// cached.
func TestFollowersTakeOverFromAFailedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPrefills(timekeeper.System{})
		chain := []chainer.Hash{{1}, {2}}
		total := 2 * chainer.BlockTokens
		_, fail, err := p.enter(t.Context(), chain, total, 0)
		assert.NilError(t, err)
		gone, cancel := context.WithCancel(t.Context())
		waits := make(chan error, 1)
		go func() {
			_, _, err := p.enter(gone, chain, total, 0)
			waits <- err
		}()
		synctest.Wait()
		cancel()
		assert.ErrorIs(t, <-waits, context.Canceled)
		fail(false)
		missing, done, err := p.enter(t.Context(), chain, total, 0)
		assert.NilError(t, err)
		assert.Equal(t, missing, total)
		done(true)
		assert.Equal(t, p.depth(chain, 0), 2)
		p.reset()
		assert.Equal(t, p.depth(chain, 0), 0)
	})
}
