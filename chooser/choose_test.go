package chooser_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/cyclamenward/cyclamenward/chainer"
	"github.com/cyclamenward/cyclamenward/chooser"
	"gotest.tools/v3/assert"
)

var now = time.Unix(1_000_000, 0)

func newPool(n int) *chooser.Pool {
	replicas := make([]chooser.Replica, n)
	for i := range replicas {
		replicas[i] = chooser.Replica{Name: fmt.Sprintf("replica-%d", i), Address: fmt.Sprint(i), AvailabilityZone: fmt.Sprintf("zone-%d", i%3), Region: fmt.Sprintf("region-%d", i%3/2)}
	}
	return chooser.NewPool(replicas, nil)
}

func newChooser() *chooser.Chooser {
	return chooser.New(chooser.Settings{
		AvailabilityZone: "zone-0", Region: "region-0", PrefillTokensPerSecond: 8000, PrefillWeight: 1,
		ZoneRoundTrip: 4 * time.Millisecond, RegionRoundTrip: 40 * time.Millisecond, LinkBytesPerSecond: 1 << 20, LinkPenalty: 1,
	}, chooser.NewHolderIndex(100_000))
}

func request(blocks int) *chooser.Request {
	prompt := bytes.Repeat([]byte("p"), blocks*chainer.BlockBytes)
	chain := chainer.Chain(nil, chainer.Scope{Workspace: "w", WeightsVersion: "v1"}, prompt)
	return &chooser.Request{Chain: chain, PromptTokens: chainer.EstimateTokens(len(prompt)), PromptBytes: len(prompt), WeightsVersion: "v1"}
}

func report(incarnation string, backlog int) *chooser.Report {
	return &chooser.Report{EngineIncarnation: incarnation, WeightsVersion: "v1", BacklogTokens: backlog, ReceivedAt: now}
}

func reportAll(pool *chooser.Pool, backlog int) {
	for i := range pool.Len() {
		pool.Status(i).SetReport(report("one", backlog))
	}
}

func TestEntriesAgreeWithoutCommunication(t *testing.T) {
	pool, r := newPool(12), request(4)
	reportAll(pool, 0)
	first := newChooser().Choose(pool, r, now)
	for random := range uint64(50) {
		r.Random = random
		assert.Equal(t, newChooser().Choose(newPoolWithReports(), r, now).Index, first.Index)
	}
}

func newPoolWithReports() *chooser.Pool {
	pool := newPool(12)
	reportAll(pool, 0)
	return pool
}

func TestChoiceFollowsTheCache(t *testing.T) {
	pool, c, r := newPool(12), newChooser(), request(8)
	reportAll(pool, 0)
	holder := 7
	c.HolderIndex().Record(pool.Status(holder), "one", r.Chain, len(r.Chain))
	choice := c.Choose(pool, r, now)
	assert.Equal(t, choice.Index, holder)
	assert.Equal(t, choice.ExpectedBlocks, 8)
	assert.Equal(t, choice.Reason, chooser.ReasonCached)

	// A holder whose backlog costs more than the saved prefill is passed over.
	pool.Status(holder).SetReport(report("one", 80_000))
	assert.Assert(t, c.Choose(pool, r, now).Index != holder)

	// Tokens sent since the last report count as backlog as well.
	pool.Status(holder).SetReport(report("one", 0))
	pool.Status(holder).AddSent(80_000)
	assert.Assert(t, c.Choose(pool, r, now).Index != holder)
}

// TestBlocksOfRestartedEnginesAreIgnored checks that recorded blocks do not count
// once the replica reports another engine incarnation.
func TestBlocksOfRestartedEnginesAreIgnored(t *testing.T) {
	pool, c, r := newPool(12), newChooser(), request(8)
	reportAll(pool, 0)
	c.HolderIndex().Record(pool.Status(7), "one", r.Chain, len(r.Chain))
	pool.Status(7).SetReport(report("two", 0))
	assert.Equal(t, c.Choose(pool, r, now).ExpectedBlocks, 0)
}

func TestUnusableReplicasAreLeftOut(t *testing.T) {
	pool, c, r := newPool(3), newChooser(), request(2)
	reportAll(pool, 0)
	leaving := report("one", 0)
	leaving.Leaving = true
	pool.Status(0).SetReport(leaving)
	pool.Status(1).Avoid(now.Add(time.Second))
	assert.Equal(t, c.Choose(pool, r, now).Index, 2)
	r.Excluded = []int{2}
	assert.Equal(t, c.Choose(pool, r, now).Reason, chooser.ReasonNone)
	assert.Equal(t, c.Choose(pool, r, now.Add(2*time.Second)).Index, 1)
}

// TestStatusesSurviveRevisions checks that the pool of a new revision keeps the
// statuses of the replicas that remain.
func TestStatusesSurviveRevisions(t *testing.T) {
	earlier := newPool(3)
	reportAll(earlier, 5)
	next := chooser.NewPool([]chooser.Replica{*earlier.Replica(2), {Name: "new"}}, earlier)
	assert.Equal(t, next.Status(0), earlier.Status(2))
	assert.Assert(t, next.Status(1).Report() == nil)
}

func TestHolderIndexIsBounded(t *testing.T) {
	index, pool := chooser.NewHolderIndex(1000), newPool(1)
	for i := range 10_000 {
		index.Record(pool.Status(0), "one", []chainer.Hash{{byte(i), byte(i >> 8), 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, byte(i)}}, 1)
	}
	assert.Assert(t, index.Len() <= 1100, "%d blocks", index.Len())
}

// BenchmarkChoose measures one decision about a prompt of 128 blocks, with and
// without a known holder.
func BenchmarkChoose(b *testing.B) {
	for _, replicas := range []int{12, 120, 1200, 12_000} {
		for _, known := range []bool{false, true} {
			b.Run(fmt.Sprintf("replicas=%d/known=%t", replicas, known), func(b *testing.B) {
				pool, c, r := newPool(replicas), newChooser(), request(128)
				reportAll(pool, 100)
				if known {
					c.HolderIndex().Record(pool.Status(5), "one", r.Chain, 96)
				}
				b.ReportAllocs()
				for b.Loop() {
					r.Random++
					if c.Choose(pool, r, now).Index < 0 {
						b.Fatal("no choice")
					}
				}
			})
		}
	}
}
