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

// TestSharedPrefixIsComputedOnce lets many requests with one uncached prefix arrive
// together and checks that only one computes it and that the others continue at the same
// time afterwards, not one after the other.
func TestSharedPrefixIsComputedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPrefillTracker(timekeeper.System{})
		chain := []chainer.Hash{{1}, {2}, {3}}
		promptTokens := 3*chainer.BlockTokens + 100
		const prefillTime, tailTime = time.Second, 10 * time.Millisecond
		var mu sync.Mutex
		computed := 0
		began := time.Now()
		var group sync.WaitGroup
		for range 50 {
			group.Add(1)
			go func() {
				defer group.Done()
				uncachedTokens, done, err := p.start(t.Context(), chain, promptTokens, 0)
				assert.Check(t, err)
				if uncachedTokens > chainer.BlockTokens {
					mu.Lock()
					computed++
					mu.Unlock()
					<-time.After(prefillTime)
				} else {
					<-time.After(tailTime)
				}
				done(true)
			}()
		}
		group.Wait()
		assert.Equal(t, computed, 1)
		assert.Equal(t, time.Since(began), prefillTime+tailTime)
		assert.Equal(t, p.backlog(), 0)
	})
}

// TestFollowersTakeOverFromAFailedLeader checks that a follower can be canceled while
// it waits for its leader, and that after the leader has failed its blocks do not count
// as cached and the next request computes them.
func TestFollowersTakeOverFromAFailedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPrefillTracker(timekeeper.System{})
		chain := []chainer.Hash{{1}, {2}}
		promptTokens := 2 * chainer.BlockTokens
		_, fail, err := p.start(t.Context(), chain, promptTokens, 0)
		assert.NilError(t, err)
		cancelled, cancel := context.WithCancel(t.Context())
		followerErr := make(chan error, 1)
		go func() {
			_, _, err := p.start(cancelled, chain, promptTokens, 0)
			followerErr <- err
		}()
		synctest.Wait()
		cancel()
		assert.ErrorIs(t, <-followerErr, context.Canceled)
		fail(false)
		uncachedTokens, done, err := p.start(t.Context(), chain, promptTokens, 0)
		assert.NilError(t, err)
		assert.Equal(t, uncachedTokens, promptTokens)
		done(true)
		assert.Equal(t, p.cachedBlocks(chain, 0), 2)
		p.forgetComputed()
		assert.Equal(t, p.cachedBlocks(chain, 0), 0)
	})
}
