package router

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// newLargeBed returns a bed whose replicas are in three regions, the daemon's own among
// them.
func newLargeBed(replicas int) *bed {
	b := newBed(0, func(int, *Attempt) (*Reply, error) { return stream(0, 0, io.EOF), nil })
	b.setRegions(replicas, func(int) bool { return false })
	return b
}

func (b *bed) setRegions(replicas int, draining func(i int) bool) {
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

// TestLargeGroupFindsHolders sends prompts to a pool too large to be looked at whole: the
// second request with a prompt goes to the replica that has read it, or has it fetched.
func TestLargeGroupFindsHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newLargeBed(1000)
		for i := range 50 {
			for range 2 {
				_, err := drain(b.router.Begin(modelRequest(route(Streaming, 1, false), PromptPart{fmt.Sprint("p", i), 5000}, PromptPart{"own", 10})).Stream)
				assert.ErrorIs(t, err, io.EOF)
			}
			first, second := b.attempts[2*i], b.attempts[2*i+1]
			assert.Assert(t, second.ReplicaID == first.ReplicaID || second.FetchFrom == first.Address, "prompt %d", i)
		}
	})
}

// TestLargeGroupsAgreeOnHomes sends the same prompts and keys through two daemons, also
// after a tenth of the replicas have left.
func TestLargeGroupsAgreeOnHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newLargeBed(1000), newLargeBed(1000)
		for round := range 2 {
			used := map[string]bool{}
			for i := range 50 {
				var chosen []string
				for _, daemon := range []*bed{a, b} {
					request := modelRequest(route(Streaming, 1, false), PromptPart{fmt.Sprint("p", round, i), 5000}, PromptPart{"own", 10})
					c, found := daemon.router.choose(request, daemon.router.service("s"), nil, 0)
					assert.Assert(t, found)
					assert.Equal(t, c.reason, "home")
					keyed := newRequest(route(AtMostOnce, 1, false))
					keyed.Affinity = uint64(i + 1)
					k, found := daemon.router.choose(keyed, daemon.router.service("s"), nil, 0)
					assert.Assert(t, found)
					chosen = append(chosen, c.replica.ID(), k.replica.ID())
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

// TestLargeGroupSharesLoad is the pattern of many callers with nothing in common: two
// requests for each replica of the region run at once, and none has more than twice the
// mean.
func TestLargeGroupSharesLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newLargeBed(900)
		var relays []*EventStream
		for i := range 600 {
			relays = append(relays, b.router.Begin(modelRequest(route(Streaming, 1, false), PromptPart{fmt.Sprint("own", i), 500})).Stream)
		}
		most := int64(0)
		for i := range 900 {
			most = max(most, b.pool.ReplicaByID(fmt.Sprintf("i-%d", i)).running.Load())
		}
		assert.Assert(t, most <= 4, "%d at one replica", most)
		for _, relay := range relays {
			relay.Close()
		}
	})
}
