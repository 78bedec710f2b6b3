package router

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const settledAddress = "10.0.0.1:80"

// entryAt returns an entry at settledAddress.
func entryAt(id string, start int64) Descriptor {
	return Descriptor{ID: id, Service: "s", Address: settledAddress, Zone: "z", Region: "r", Slots: 1, StartUnixMilli: start}
}

// current returns the ID of the replica that takes requests at settledAddress, "" for none.
func current(p *Pool) string {
	id := ""
	for _, replica := range p.view.Load().byID {
		if p.takesRequests(replica, replica.descriptor.Load()) {
			id += replica.ID()
		}
	}
	return id
}

// TestWrongEntryLosesItsAddress guards against a sound replica that gets no requests for as long as another entry names
// its address and a later start.
func TestWrongEntryLosesItsAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(timekeeper.System{})
		sound, wrong := entryAt("sound", 7), entryAt("wrong", 9)
		wrong.Service = "other"
		p.SetReplicas([]Descriptor{sound})
		<-time.After(time.Minute)
		p.SetReplicas([]Descriptor{sound, wrong})
		<-time.After(disputeTimeout / 2)
		p.UpdateState(settledAddress, State{StartUnixMilli: 7})
		assert.Equal(t, current(p), "wrong", "a replica may have started again")
		<-time.After(disputeTimeout / 2)
		p.UpdateState(settledAddress, State{StartUnixMilli: 7, Phase: Unreachable})
		assert.Equal(t, current(p), "wrong", "no answer of the replica")
		p.UpdateState(settledAddress, State{StartUnixMilli: 7, Running: 3})
		assert.Equal(t, current(p), "sound")
		assert.Equal(t, p.ReplicaByAddress(settledAddress).State().Running, 3)
		p.SetReplicas([]Descriptor{wrong, sound})
		assert.Equal(t, current(p), "sound", "a new list")
		p.SetReplicas([]Descriptor{wrong})
		assert.Equal(t, current(p), "", "the wrong entry is left")
		p.SetReplicas([]Descriptor{wrong, sound})
		p.UpdateState(settledAddress, State{StartUnixMilli: 12})
		assert.Equal(t, current(p), "", "started again and not listed yet")
		p.SetReplicas([]Descriptor{wrong, sound, entryAt("next", 12)})
		p.UpdateState(settledAddress, State{StartUnixMilli: 12})
		assert.Equal(t, current(p), "next")
	})
}

// TestLateReportsEndNoReplica guards against a replica that gets no requests any more after a report from before its
// start was held up on its way.
func TestLateReportsEndNoReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(timekeeper.System{})
		p.SetReplicas([]Descriptor{entryAt("before", 7), entryAt("now", 9)})
		<-time.After(2 * disputeTimeout)
		p.UpdateState(settledAddress, State{StartUnixMilli: 7})
		p.MarkEnded(p.ReplicaByAddress(settledAddress))
		assert.Equal(t, current(p), "")
		p.UpdateState(settledAddress, State{StartUnixMilli: 9})
		assert.Equal(t, current(p), "now")
	})
}

// settleStep is one drawn step; n chooses among its variants.
type settleStep struct{ kind, n int }

// playSettling plays steps at one server that starts again, with entries of it and of others that come and go, reports
// that are held up, and answers of the wrong replica. It returns the entry that takes requests, and the server's own, once
// the list and the reports have been up to date for a while.
func playSettling(steps []settleStep) (got, want string) {
	p := NewPool(timekeeper.System{})
	start := int64(100)
	// The server's starts are even, those of others odd.
	name := func(start int64) string { return fmt.Sprintf("own-%d", start) }
	own, others := map[string]Descriptor{name(start): entryAt(name(start), start)}, map[string]Descriptor{}
	list := func() {
		p.SetReplicas(slices.AppendSeq(slices.Collect(maps.Values(own)), maps.Values(others)))
	}
	list()
	for _, step := range steps {
		id := fmt.Sprintf("other-%d", step.n%3)
		switch step.kind {
		case 0:
			start += int64(2 * (step.n%50 + 1))
		case 1:
			own[name(start)] = entryAt(name(start), start)
		case 2:
			others[id] = entryAt(id, int64(2*step.n+1))
		case 3:
			delete(others, id)
		case 4:
			<-time.After(time.Duration(step.n) * time.Millisecond)
		case 5:
			p.UpdateState(settledAddress, State{StartUnixMilli: 100 + int64(step.n)%(start-99)})
		default:
			if replica := p.ReplicaByAddress(settledAddress); replica != nil && replica.ID() != name(start) {
				p.MarkEnded(replica)
			}
		}
		list()
	}
	own = map[string]Descriptor{name(start): entryAt(name(start), start)}
	list()
	<-time.After(disputeTimeout)
	for range 2 {
		p.UpdateState(settledAddress, State{StartUnixMilli: start})
	}
	return current(p), name(start)
}

// TestReportsSettleWhoIsAtAnAddress guards against orders of events after which the server's own entry takes no
// requests though its reports and the list are up to date.
func TestReportsSettleWhoIsAtAnAddress(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var steps []settleStep
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			steps = append(steps, settleStep{rapid.IntRange(0, 6).Draw(rt, "kind"), rapid.IntRange(0, 3000).Draw(rt, "n")})
		}
		var got, want string
		synctest.Test(t, func(*testing.T) { got, want = playSettling(steps) })
		assert.Equal(rt, got, want)
	})
}
