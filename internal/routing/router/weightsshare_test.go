package router

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// shareOnNewWeights returns which share of 2,000 prompts is sent to the 3 of 40 replicas with new
// weights, while some of the others load.
func shareOnNewWeights(loadAware bool, loading int) float64 {
	b := newTestBed(40, nil)
	b.newestVersion, b.supersededAgo = 2, 2*time.Second
	b.router.options.LoadAware = func() bool { return loadAware }
	var list []Descriptor
	for i := range 40 {
		version, phase := 1, Serving
		if i < 3 {
			version = 2
		} else if i < 3+loading {
			phase = Loading
		}
		list = append(list, descriptor(i, version))
		b.pool.SetReplicas(list)
		b.pool.UpdateState(list[i].Address, State{Phase: phase, StartUnixMilli: 1, WeightsVersions: list[i].WeightsVersions})
	}
	r, onNew := route(Streaming, 1, false), 0
	for n := range 2000 {
		request := modelRequest(r, PromptPart{fmt.Sprint("shared", n%500), 600}, PromptPart{fmt.Sprint("own", n), 800})
		if c, ok := b.router.choose(request, b.router.serviceState("s"), nil, pins{}); ok && c.weightsVersion == 2 {
			onNew++
		}
	}
	return float64(onNew) / 2000
}

// TestFirstReplicasWithNewWeightsAreNotFlooded answers the load of versions in quick succession:
// the first replicas that came back with new weights got all requests, and most waited there until
// their callers left. The check catches choices that prefer current weights whatever their room.
func TestFirstReplicasWithNewWeightsAreNotFlooded(t *testing.T) {
	for _, loading := range []int{0, 8} {
		share := shareOnNewWeights(true, loading)
		assert.Assert(t, share > 0.05 && share < 0.2, "%d load: share %.2f", loading, share)
		share = shareOnNewWeights(false, loading)
		assert.Assert(t, share > 0.9, "%d load: share %.2f of requests that prefer current weights", loading, share)
	}
}

// TestPromptsStayWhereTheyAreCachedWhileRequestsWait answers bursts beside new versions: parts that
// are cached on older weights are not read again on the new ones while requests wait everywhere.
func TestPromptsStayWhereTheyAreCachedWhileRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, backlog := range []int{0, 30_000} {
			b := newTestBed(40, nil)
			b.newestVersion, b.supersededAgo = 2, 2*time.Second
			b.router.options.LoadAware = func() bool { return true }
			var list []Descriptor
			for i := range 40 {
				list = append(list, descriptor(i, 1+i/10%2))
			}
			b.pool.SetReplicas(list)
			for _, d := range list {
				b.pool.UpdateState(d.Address, State{StartUnixMilli: 1, WeightsVersions: d.WeightsVersions, BacklogTokens: [PriorityLevels]int{backlog}})
			}
			onNew := 0
			for n := range 500 {
				request := modelRequest(route(Streaming, 1, false), PromptPart{fmt.Sprint("shared", n), 600}, PromptPart{fmt.Sprint("own", n), 800})
				key := PartKey(cacheScope(1, request), fmt.Sprint("shared", n))
				b.router.UpdateReplicaCache(list[n%10].Address, []uint64{key}, nil, false)
				if c, ok := b.router.choose(request, b.router.serviceState("s"), nil, pins{}); ok && c.weightsVersion == 2 {
					onNew++
				}
			}
			if backlog == 0 {
				assert.Assert(t, onNew > 250, "%d of 500 without backlog", onNew)
			} else {
				assert.Assert(t, onNew < 25, "%d of 500 with backlog", onNew)
			}
		}
	})
}

// TestFewReplicasOfAVersionAreNotHomeOfManyPrompts guards against a home of each prompt on each
// version: 2 of 30 replicas read half of the new prompts, as the only ones of their version.
func TestFewReplicasOfAVersionAreNotHomeOfManyPrompts(t *testing.T) {
	b := newTestBed(40, nil)
	b.newestVersion, b.supersededAgo = 3, 2*time.Second
	b.router.options.LoadAware = func() bool { return true }
	var list []Descriptor
	for i := range 40 {
		list = append(list, descriptor(i, 1+i/38))
	}
	b.pool.SetReplicas(list)
	for i, d := range list {
		phase := Serving
		if i < 10 {
			phase = Loading
		}
		b.pool.UpdateState(d.Address, State{Phase: phase, StartUnixMilli: 1, WeightsVersions: d.WeightsVersions})
	}
	onSecond := 0
	for n := range 1000 {
		request := modelRequest(route(Streaming, 1, false), PromptPart{fmt.Sprint("shared", n), 600}, PromptPart{fmt.Sprint("own", n), 800})
		if c, ok := b.router.choose(request, b.router.serviceState("s"), nil, pins{}); ok && c.weightsVersion == 2 {
			onSecond++
		}
	}
	assert.Assert(t, onSecond < 200, "%d of 1000 prompts at 2 of 30 replicas", onSecond)
}
