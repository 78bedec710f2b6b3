package measurer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cyclamenward/cyclamenward/chainer"
	"github.com/cyclamenward/cyclamenward/chooser"
)

// Fault is one disturbance of a run.
type Fault struct {
	Name string
	// CrashInterval crashes a random engine that often.
	CrashInterval time.Duration
	// IndexUnknownShare is the share of decisions at which a sidecar's cache index is unknown
	// for a gap in the cache events.
	IndexUnknownShare float64
	// LoadLag delays the platform's load reports.
	LoadLag time.Duration
	// EntryRestartInterval restarts all entries that often.
	EntryRestartInterval time.Duration
	// HotSetShiftInterval replaces the deployment's period of hot-set shifts.
	HotSetShiftInterval time.Duration
	// PartitionStart and PartitionDuration cut the link between the regions.
	PartitionStart, PartitionDuration time.Duration
}

// defaultLoadLag is the lag of the platform's load reports without a fault.
const defaultLoadLag = 200 * time.Millisecond

// request is one request on its way.
type request struct {
	arrival  arrival
	tries    int
	excluded []int
	estimate int
	// known is how many blocks were cached or being computed at admission.
	known  int
	cached int
	choice chooser.Choice
	// redirects counts replicas that found the request better off elsewhere.
	redirects int
}

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// epoch is the start of virtual time.
var epoch = time.Unix(1_000_000, 0)

// world is one run.
type world struct {
	deployment Deployment
	fault      Fault
	policy     Policy
	engines    []*engine
	entries    []*decider
	random     *rand.Rand
	generator  *generator
	events     eventHeap
	order      int
	now        time.Duration
	until      time.Duration
	// linkFree is when the link in each direction has sent what it has taken.
	linkFree [2]time.Duration
	// seen holds every block that was ever computed.
	seen  map[chainer.Hash]bool
	tally tally
}

// maxRedirects and redirectMargin are those of the product.
const (
	maxRedirects   = 2
	redirectMargin = 100 * time.Millisecond
)

// maxTries bounds the replicas that one request is sent to.
const maxTries = 3

// run plays one seed of one policy.
func run(d Deployment, f Fault, p Policy, seed uint64, length time.Duration) tally {
	if f.HotSetShiftInterval > 0 {
		d.HotSetShiftInterval = f.HotSetShiftInterval
	}
	w := &world{
		deployment: d, fault: f, policy: p, random: rand.New(rand.NewPCG(seed, 13)),
		generator: newGenerator(d, seed), until: length, seen: make(map[chainer.Hash]bool), tally: newTally(),
	}
	for i := range d.Replicas {
		region, zone := place(d, i)
		w.engines = append(w.engines, &engine{
			index: i, region: region, zone: zone, rate: d.PrefillTokensPerSecond,
			cache: newLRU(d.CacheBlocks), pending: make(map[chainer.Hash]int), blind: f.IndexUnknownShare,
		})
	}
	w.startEntries()
	w.scheduleFaults()
	w.arrive(w.generator.next(0))
	for len(w.events) > 0 {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.do()
	}
	return w.tally
}

// place returns where a replica is: the zones are filled in turn.
func place(d Deployment, i int) (region int, zone string) {
	var zones []string
	var regions []int
	for r, names := range d.Regions {
		for _, name := range names {
			zones = append(zones, name)
			regions = append(regions, r)
		}
	}
	return regions[i%len(zones)], zones[i%len(zones)]
}

func (w *world) at(when time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{at: when, order: w.order, do: do})
}

// startEntries makes the entries, two in each region, with empty memories.
func (w *world) startEntries() {
	w.entries = nil
	for region := range w.deployment.Regions {
		for k := range 2 {
			zones := w.deployment.Regions[region]
			w.entries = append(w.entries, w.policy.build(w, region, zones[k%len(zones)]))
		}
	}
}

func (w *world) scheduleFaults() {
	if every := w.fault.CrashInterval; every > 0 {
		for t := every; t < w.until; t += every {
			w.at(t, func() { w.crash(w.engines[w.random.IntN(len(w.engines))]) })
		}
	}
	if every := w.fault.EntryRestartInterval; every > 0 {
		for t := every; t < w.until; t += every {
			w.at(t, w.startEntries)
		}
	}
}

// arrive schedules one arrival, which schedules the next.
func (w *world) arrive(a arrival) {
	if a.at >= w.until {
		return
	}
	w.at(a.at, func() {
		w.tally.asked(a)
		w.route(&request{arrival: a})
		w.arrive(w.generator.next(a.at))
	})
}

// route sends a request where its entry decides.
func (w *world) route(r *request) {
	entry := w.entries[r.arrival.entry]
	target := entry.choose(r)
	if target < 0 || r.tries-r.redirects >= maxTries {
		w.tally.refuse(r)
		return
	}
	r.tries++
	e := w.engines[target]
	delay, ok := w.carry(entry, e, r)
	if !ok {
		// The path is cut: the entry notices and goes elsewhere.
		r.excluded = append(r.excluded, target)
		w.at(w.now+time.Second, func() { w.route(r) })
		return
	}
	w.at(w.now+delay, func() { w.admit(entry, e, r, delay) })
}

// carry returns the time for a request to reach a replica.
func (w *world) carry(entry *decider, e *engine, r *request) (time.Duration, bool) {
	switch {
	case entry.zone == e.zone:
		return 0, true
	case entry.region == e.region:
		return w.deployment.ZoneDelay, true
	}
	cut := w.fault.PartitionDuration > 0 && w.now >= w.fault.PartitionStart && w.now < w.fault.PartitionStart+w.fault.PartitionDuration
	if cut {
		return 0, false
	}
	bytes := r.arrival.tokens * chainer.BytesPerToken
	w.tally.linkBytes += bytes
	free := max(w.now, w.linkFree[entry.region])
	free += time.Duration(float64(bytes) / w.deployment.LinkBytesPerSecond * float64(time.Second))
	w.linkFree[entry.region] = free
	return free - w.now + w.deployment.RegionDelay, true
}

// admit is the sidecar's decision. The news travels back with the answer.
func (w *world) admit(entry *decider, e *engine, r *request, delay time.Duration) {
	estimate, known := e.estimate(r, w.random.Float64())
	late := w.now + e.wait(estimate) - r.arrival.at
	if late > w.deployment.Deadline {
		news := reportOf(e)
		w.at(w.now+delay, func() {
			entry.heard(e.index, news)
			r.excluded = append(r.excluded, e.index)
			w.route(r)
		})
		return
	}
	if entry.redirect && known && r.redirects < maxRedirects && r.choice.NextBestCost > 0 {
		cost := chooser.Cost(float64(e.backlog), float64(estimate), e.rate, entry.prefillWeight)
		if cost > r.choice.NextBestCost+redirectMargin {
			news := reportOf(e)
			r.redirects++
			w.tally.redirects++
			w.at(w.now+delay, func() {
				entry.heard(e.index, news)
				entry.missed(r, e.index, estimate)
				w.route(r)
			})
			return
		}
	}
	e.push(r, estimate)
	r.known = (r.arrival.tokens - estimate) / chainer.BlockTokens
	news := reportOf(e)
	w.at(w.now+delay, func() {
		entry.heard(e.index, news)
		entry.admitted(r, e.index, news)
	})
	w.begin(e)
}

func (w *world) begin(e *engine) {
	r, duration := e.start()
	if r == nil {
		return
	}
	incarnation := e.incarnation
	w.at(w.now+duration, func() {
		if e.incarnation != incarnation {
			return
		}
		e.finish()
		w.tally.answer(r, w.now-r.arrival.at+2*w.deployment.CallerDelay+w.deployment.back(r, e), w.wasted(r))
		w.begin(e)
	})
}

// back is the time of the first token from the replica to the entry.
func (d Deployment) back(r *request, e *engine) time.Duration {
	if r.arrival.region != e.region {
		return d.RegionDelay
	}
	return d.ZoneDelay
}

// wasted returns the tokens that were computed although some engine had computed
// them before.
func (w *world) wasted(r *request) int {
	again := 0
	for i, block := range r.arrival.chain {
		if i >= r.cached && w.seen[block] {
			again += chainer.BlockTokens
		}
		w.seen[block] = true
	}
	return again
}

// crash loses an engine's requests; their entries notice and go on elsewhere.
func (w *world) crash(e *engine) {
	for _, r := range e.crash() {
		r.excluded = append(r.excluded, e.index)
		w.at(w.now+10*time.Millisecond, func() { w.route(r) })
	}
}

func (e *engine) name() string { return fmt.Sprintf("replica-%d", e.index) }
