package spreader_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/keyvalue"
	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/cyclamenward/cyclamenward/spreader"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// inForceLimit is the stated time within which an accepted revision is in force
// everywhere.
const inForceLimit = 4 * time.Second

// node is one daemon of a simulated fleet.
type node struct {
	address string
	region  int
	book    *spreader.RevisionTable[string]
	gossip  *spreader.Gossip[string]

	// mu guards the fields below.
	mu sync.Mutex
	// applied holds the revisions in the order in which they came into force.
	applied []uint64
	// inForce holds when each revision came into force.
	inForce map[uint64]time.Time
}

// network is a fleet in one bubble of virtual time.
type network struct {
	state  *keyvalue.State
	nodes  map[string]*node
	order  []string
	random func() uint64
	// ready is closed once every daemon is started.
	ready chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// down holds the daemons that do not answer.
	down map[string]bool
	// parted is set while region 0 is cut off from the others.
	parted bool
	// lossPercent is the share of exchanges that are lost.
	lossPercent uint64
	done        sync.WaitGroup
	stop        chan struct{}
}

func newNetwork(daemons, regions int, seed uint64, faults keyvalue.Faults) *network {
	n := &network{
		state: keyvalue.New(timekeeper.System{}, seed), nodes: map[string]*node{}, down: map[string]bool{},
		random: spreader.Random(seed), stop: make(chan struct{}), ready: make(chan struct{}),
	}
	n.state.SetFaults(faults)
	for i := range daemons {
		d := &node{address: fmt.Sprintf("daemon-%d", i), region: i % regions, inForce: map[uint64]time.Time{}}
		d.book = spreader.New(func(text []byte) (string, error) { return string(text), nil })
		n.nodes[d.address] = d
		n.order = append(n.order, d.address)
	}
	for _, d := range n.nodes {
		n.start(d)
	}
	close(n.ready)
	return n
}

func (n *network) start(d *node) {
	var region []string
	for _, address := range n.order {
		if n.nodes[address].region == d.region {
			region = append(region, address)
		}
	}
	peers := spreader.Peers{
		Self:       d.address,
		All:        func() []string { return n.order },
		SameRegion: func() []string { return region },
		Exchange: func(ctx context.Context, peer string, s spreader.SyncState) (spreader.SyncState, error) {
			return n.exchange(ctx, d, peer, s)
		},
	}
	source := spreader.Source{Store: n.state.Store(), Prefix: "config/", Parse: parse}
	d.gossip = spreader.NewGossip(d.book, timekeeper.System{}, n.random, peers, source, spreader.DefaultOptions, func(error) {})
	n.done.Add(1)
	go func() {
		defer n.done.Done()
		d.record(n.stop)
	}()
}

func parse(entry keeper.Entry) (spreader.Document, error) {
	var revision uint64
	if _, err := fmt.Sscanf(string(entry.Value), "%d", &revision); err != nil {
		return spreader.Document{}, err
	}
	return spreader.Document{Service: "service", Revision: revision, Text: entry.Value}, nil
}

// record notes every change of the daemon's book.
func (d *node) record(stop chan struct{}) {
	for {
		changed := d.book.Changed()
		if d.note(d.book.Snapshot().Revision("service")) {
			continue
		}
		select {
		case <-changed:
		case <-stop:
			return
		}
	}
}

// note records a revision and reports whether it is another than the last.
func (d *node) note(revision uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision == 0 || (len(d.applied) > 0 && d.applied[len(d.applied)-1] == revision) {
		return false
	}
	d.applied = append(d.applied, revision)
	d.inForce[revision] = time.Now()
	return true
}

// exchange carries one message with a delay as between regions.
func (n *network) exchange(ctx context.Context, from *node, peer string, s spreader.SyncState) (spreader.SyncState, error) {
	<-n.ready
	to := n.nodes[peer]
	delay := 2 * time.Millisecond
	if from.region != to.region {
		delay = 40 * time.Millisecond
	}
	n.mu.Lock()
	lost := n.down[peer] || n.down[from.address] || (n.parted && (from.region == 0) != (to.region == 0)) || n.random()%100 < n.lossPercent
	n.mu.Unlock()
	if lost {
		delay = time.Second
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return spreader.SyncState{}, ctx.Err()
	}
	if lost {
		return spreader.SyncState{}, errors.New("lost")
	}
	return to.gossip.Answer(s), nil
}

// accept writes a revision to the store, as an accepted application does.
func (n *network) accept(t *testing.T, revision uint64) time.Time {
	t.Helper()
	store := n.state.Store()
	expected := uint64(0)
	if entry, err := store.Get(t.Context(), "config/service"); err == nil {
		expected = entry.Version
	}
	_, err := store.Swap(t.Context(), keeper.Swap{Key: "config/service", Value: []byte(fmt.Sprint(revision)), Expected: expected})
	assert.NilError(t, err)
	return time.Now()
}

func (n *network) close() {
	for _, d := range n.nodes {
		d.gossip.Close()
	}
	close(n.stop)
	n.done.Wait()
}

// spread returns the times from acceptance until a revision was in force, sorted,
// and the number of reachable daemons without it.
func (n *network) spread(revision uint64, accepted time.Time) (times []time.Duration, missing int) {
	for _, d := range n.nodes {
		d.mu.Lock()
		at, ok := d.inForce[revision]
		d.mu.Unlock()
		if ok {
			times = append(times, at.Sub(accepted))
		} else if !n.down[d.address] {
			missing++
		}
	}
	slices.Sort(times)
	return times, missing
}

// checkForward returns an error if a daemon ever went back.
func checkForward(applied []uint64) error {
	if !slices.IsSorted(applied) {
		return fmt.Errorf("revisions in the order %v", applied)
	}
	return nil
}

// TestRevisionsAreInForceInTime runs 360 daemons in seven regions with one in
// ten down, one message in ten lost, and a third of the watchers killed, and
// checks every reachable daemon against the stated limit.
func TestRevisionsAreInForceInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(360, 7, 1, keyvalue.Faults{})
		<-time.After(10 * time.Second)
		random := rand.New(rand.NewPCG(1, 5))
		for revision := uint64(1); revision <= 6; revision++ {
			n.mu.Lock()
			clear(n.down)
			if revision > 2 {
				n.lossPercent = 10
				for range 36 {
					n.down[n.order[random.IntN(len(n.order))]] = true
				}
			}
			n.mu.Unlock()
			accepted := n.accept(t, revision)
			<-time.After(inForceLimit)
			synctest.Wait()
			times, missing := n.spread(revision, accepted)
			assert.Equal(t, missing, 0, "revision %d", revision)
			t.Logf("revision %d: median %s, last %s, %d daemons", revision, times[len(times)/2], times[len(times)-1], len(times))
		}
		reads := n.state.Counts().Reads
		<-time.After(time.Minute)
		t.Logf("store at rest: %.2f calls a second for 360 daemons", float64(n.state.Counts().Reads-reads)/60)
		n.close()
		for _, d := range n.nodes {
			assert.NilError(t, checkForward(d.applied))
		}
	})
}

// TestPartedRegionsCatchUp cuts a region off from the others and from the store's
// news, accepts revisions, and checks that the region serves its last revision,
// never goes back, and has the newest in time after the cut.
func TestPartedRegionsCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(60, 3, 2, keyvalue.Faults{})
		<-time.After(5 * time.Second)
		n.accept(t, 1)
		<-time.After(inForceLimit)
		n.mu.Lock()
		n.parted = true
		n.mu.Unlock()
		n.state.SetFaults(keyvalue.Faults{Down: true})
		<-time.After(time.Minute)
		for _, d := range n.nodes {
			assert.Equal(t, d.book.Snapshot().Revision("service"), uint64(1))
		}
		// A daemon outside learns revision 2 while the store is still away.
		_, err := n.nodes["daemon-1"].book.Offer("service", 2, []byte("2"))
		assert.NilError(t, err)
		<-time.After(inForceLimit)
		for _, d := range n.nodes {
			want := uint64(2)
			if d.region == 0 {
				want = 1
			}
			assert.Equal(t, d.book.Snapshot().Revision("service"), want, d.address)
		}
		n.mu.Lock()
		n.parted = false
		n.mu.Unlock()
		<-time.After(inForceLimit)
		for _, d := range n.nodes {
			assert.Equal(t, d.book.Snapshot().Revision("service"), uint64(2), d.address)
		}
		n.close()
		for _, d := range n.nodes {
			assert.NilError(t, checkForward(d.applied))
		}
	})
}

// TestBookMovesForwardOnly offers revisions from many goroutines in any order.
func TestBookMovesForwardOnly(t *testing.T) {
	book := spreader.New(func(text []byte) (string, error) { return string(text), nil })
	var group sync.WaitGroup
	for client := range 8 {
		group.Add(1)
		go func() {
			defer group.Done()
			random := rand.New(rand.NewPCG(uint64(client), 1))
			last := uint64(0)
			for range 500 {
				revision := 1 + random.Uint64N(200)
				_, err := book.Offer("service", revision, []byte(fmt.Sprint(revision)))
				assert.Check(t, err)
				held := book.Snapshot().Get("service")
				assert.Check(t, held.Revision >= last && held.Revision >= revision && held.Value == fmt.Sprint(held.Revision))
				last = held.Revision
			}
		}()
	}
	group.Wait()
}

// TestCheckerCatchesReversal makes sure that the checker notices a daemon that
// goes back.
func TestCheckerCatchesReversal(t *testing.T) {
	assert.Assert(t, checkForward([]uint64{1, 3, 2}) != nil)
}

// TestHerdRestartSparesTheStore starts whole fleets at once while the store is
// down, and then up, and checks that its calls do not grow with the fleet.
func TestHerdRestartSparesTheStore(t *testing.T) {
	calls := func(daemons int) (down, up uint64) {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(daemons, 7, 3, keyvalue.Faults{Down: true})
			<-time.After(10 * time.Second)
			down = n.state.Counts().Reads
			n.state.SetFaults(keyvalue.Faults{})
			n.accept(t, 1)
			<-time.After(10 * time.Second)
			up = n.state.Counts().Reads - down
			n.close()
		})
		return down, up
	}
	smallDown, smallUp := calls(120)
	largeDown, largeUp := calls(360)
	t.Logf("calls in 10 s with the store down: %d of 120 daemons, %d of 360; then up: %d and %d", smallDown, largeDown, smallUp, largeUp)
	// Three watchers in each of seven regions, at most two tries a second each.
	assert.Check(t, smallDown <= 3*7*2*10 && largeDown <= 3*7*2*10)
	assert.Check(t, smallUp <= 3*7*3 && largeUp <= 3*7*3)
}
