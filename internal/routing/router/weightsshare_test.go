package router

import (
	"fmt"
	"testing"
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
