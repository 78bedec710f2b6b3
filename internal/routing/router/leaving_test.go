package router

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// sentTo returns the IDs of the replicas to which attempts were sent since the last call.
func (b *testBed) sentTo() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := map[string]int{}
	for _, attempt := range b.attempts {
		counts[attempt.ReplicaID]++
	}
	b.attempts = nil
	return counts
}

// TestReplicaThatSaysItLeavesGetsNoRequest guards against requests to a replica whose answers
// say that it leaves, while the list still has it as ready, or has it back as ready. Its
// next incarnation is used again.
func TestReplicaThatSaysItLeavesGetsNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leaving := ""
		b := newTestBed(3, func(_ int, a *Attempt) (*Reply, error) {
			reply := answerReply(200, "ok")
			reply.Leaving = a.ReplicaID == leaving
			return reply, nil
		})
		request := func() {
			for range 60 {
				assert.Assert(t, b.router.Begin(newRequest(route(Repeatable, 2, false))).Failure == nil)
			}
		}
		request()
		assert.Assert(t, b.sentTo()["i-0"] > 1)
		leaving = "i-0"
		request()
		assert.Equal(t, b.sentTo()["i-0"], 1)
		list := []Descriptor{descriptor(0, 1), descriptor(1, 1), descriptor(2, 1)}
		b.pool.SetReplicas(list)
		request()
		assert.Equal(t, b.sentTo()["i-0"], 0)
		b.pool.SetReplicas(list[1:])
		b.pool.SetReplicas(list)
		request()
		assert.Equal(t, b.sentTo()["i-0"], 0)
		leaving = ""
		list[0].StartUnixMilli = time.Now().UnixMilli() + 1
		b.pool.SetReplicas(list)
		request()
		assert.Assert(t, b.sentTo()["i-0"] > 0)
	})
}

// TestRejectionThatSaysLeavingCounts has a replica turn requests away as it leaves, and another
// replica answer at its address.
func TestRejectionThatSaysLeavingCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wrong := true
		b := newTestBed(2, func(_ int, a *Attempt) (*Reply, error) {
			if a.ReplicaID != "i-0" {
				return answerReply(200, "ok"), nil
			}
			reply := rejectionReply()
			reply.Leaving = true
			if wrong {
				reply.Status, reply.WrongReplica = 421, true
			}
			return reply, nil
		})
		for range 20 {
			b.router.Begin(newRequest(route(Repeatable, 2, false)))
		}
		assert.Assert(t, !b.pool.Leaving().Leaves(Incarnation{ID: "i-0", StartUnixMilli: 1}), "the answer is of another replica")
		wrong = false
		for range 20 {
			b.router.Begin(newRequest(route(Repeatable, 2, false)))
			<-time.After(minBackoff)
		}
		assert.Assert(t, b.pool.Leaving().Leaves(Incarnation{ID: "i-0", StartUnixMilli: 1}))
		b.sentTo()
		for range 20 {
			b.router.Begin(newRequest(route(Repeatable, 2, false)))
		}
		assert.Equal(t, b.sentTo()["i-0"], 0)
	})
}

// TestLeavingIsReportedOnce merges reports between registries in a circle.
func TestLeavingIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := NewLeavingRegistry(timekeeper.System{}), NewLeavingRegistry(timekeeper.System{})
		replica := Incarnation{ID: "i-0", StartUnixMilli: 5}
		assert.Assert(t, a.Record(replica))
		assert.Assert(t, !a.Record(replica))
		<-time.After(time.Second)
		assert.DeepEqual(t, b.Merge(a.Report()), []Incarnation{replica})
		version := a.Version()
		assert.Equal(t, len(a.Merge(b.Report())), 0)
		assert.Equal(t, a.Version(), version)
		assert.Equal(t, b.Report()[0].Ago, time.Second)
		assert.Assert(t, !b.Leaves(Incarnation{ID: "i-0", StartUnixMilli: 6}))
		<-time.After(leavingMemory)
		b.Record(Incarnation{ID: "i-9"})
		assert.Equal(t, len(b.Report()), 1, "it is forgotten")
	})
}
