package router

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// newLargeTestBed returns a testBed whose replicas are in three regions, one of them
// the daemon's own.
func newLargeTestBed(replicas int) *testBed {
	b := newTestBed(0, func(int, *Attempt) (*Reply, error) { return streamReply(0, 0, io.EOF), nil })
	b.setRegions(replicas, func(int) bool { return false })
	return b
}

// setRegions replaces the list with replicas in three regions, of which some are
// draining.
func (b *testBed) setRegions(replicas int, draining func(i int) bool) {
	var list []Descriptor
	for i := range replicas {
		d := descriptor(i, 1)
		d.Address = fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)
		d.Region = []string{"r", "r1", "r2"}[i%3]
		d.Draining = draining(i)
		list = append(list, d)
	}
	b.pool.SetReplicas(list)
}

// TestLargeGroupFindsHolders sends prompts to a group too large for a full scan: the
// second request with a prompt must go to the replica that has it cached, or to one that
// fetches it from there.
func TestLargeGroupFindsHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newLargeTestBed(1000)
		for i := range 50 {
			for range 2 {
				_, err := drainStream(b.router.Begin(modelRequest(route(Streaming, 1, false), PromptPart{fmt.Sprint("p", i), 5000}, PromptPart{"own", 10})).Stream)
				assert.ErrorIs(t, err, io.EOF)
			}
			first, second := b.attempts[2*i], b.attempts[2*i+1]
			assert.Assert(t, second.ReplicaID == first.ReplicaID || second.FetchFrom == first.Address, "prompt %d", i)
		}
	})
}

// TestLargeGroupsAgreeOnHomes sends the same prompts and affinities through two
// daemons, also after a tenth of the replicas have left: both must choose the same
// replicas.
func TestLargeGroupsAgreeOnHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newLargeTestBed(1000), newLargeTestBed(1000)
		for round := range 2 {
			used := map[string]bool{}
			for i := range 50 {
				var chosen []string
				for _, daemon := range []*testBed{a, b} {
					request := modelRequest(route(Streaming, 1, false), PromptPart{fmt.Sprint("p", round, i), 5000}, PromptPart{"own", 10})
					promptChoice, found := daemon.router.choose(request, daemon.router.serviceState("s"), nil, pins{})
					assert.Assert(t, found)
					assert.Equal(t, promptChoice.reason, "home")
					affinityRequest := newRequest(route(AtMostOnce, 1, false))
					affinityRequest.Affinity = uint64(i + 1)
					affinityChoice, found := daemon.router.choose(affinityRequest, daemon.router.serviceState("s"), nil, pins{})
					assert.Assert(t, found)
					chosen = append(chosen, promptChoice.replica.ID(), affinityChoice.replica.ID())
				}
				assert.Equal(t, chosen[0], chosen[2])
				assert.Equal(t, chosen[1], chosen[3])
				used[chosen[0]] = true
			}
			assert.Assert(t, len(used) > 30, "homes must spread: %d", len(used))
			leaving := func(i int) bool { return i%10 == 0 }
			a.setRegions(1000, leaving)
			b.setRegions(1000, leaving)
		}
	})
}

// TestLargeGroupSharesLoad guards against uneven load by many callers with nothing in
// common: with two requests in flight for each replica of the region, none may have
// more than twice the mean.
func TestLargeGroupSharesLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newLargeTestBed(900)
		var streams []*EventStream
		for i := range 600 {
			streams = append(streams, b.router.Begin(modelRequest(route(Streaming, 1, false), PromptPart{fmt.Sprint("own", i), 500})).Stream)
		}
		maxInFlight := int64(0)
		for i := range 900 {
			maxInFlight = max(maxInFlight, b.pool.ReplicaByID(fmt.Sprintf("i-%d", i)).inFlight.Load())
		}
		assert.Assert(t, maxInFlight <= 4, "%d at one replica", maxInFlight)
		for _, stream := range streams {
			stream.Close()
		}
	})
}
