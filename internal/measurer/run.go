package measurer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cyclamenward/cyclamenward/chainer"
	"github.com/cyclamenward/cyclamenward/chooser"
)

// Fault is a fault that is injected into a run. A field that is zero injects nothing.
type Fault struct {
	// Name is printed in the tables.
	Name string
	// CrashInterval is the time between two crashes, each of a random engine.
	CrashInterval time.Duration
	// IndexUnknownShare is the share of decisions that a sidecar makes without its
	// cache index because of a gap in the cache events.
	IndexUnknownShare float64
	// LoadLag is the lag of the platform's load reports.
	LoadLag time.Duration
	// EntryRestartInterval is the time between two restarts of all entries at once.
	EntryRestartInterval time.Duration
	// HotSetShiftInterval replaces that of the deployment.
	HotSetShiftInterval time.Duration
	// No request can be sent over the link between the regions for PartitionDuration
	// from PartitionStart on.
	PartitionStart, PartitionDuration time.Duration
}

// defaultLoadLag is the lag of the platform's load reports without a fault.
const defaultLoadLag = 200 * time.Millisecond

// request is the state of one request that is not answered yet.
type request struct {
	arrival  arrival
	attempts int
	// excluded holds the indexes of the replicas that must not be chosen again.
	excluded []int
	// estimatedTokens is the sidecar's estimate of the uncached tokens at admission.
	estimatedTokens int
	// knownBlocks is the number of leading blocks that, by the sidecar's estimate at
	// admission, were cached or about to be. cachedBlocks is the number that were
	// cached when the prefill began.
	knownBlocks  int
	cachedBlocks int
	// choice is the entry's last decision, under the chooser's policy.
	choice chooser.Choice
	// redirects counts the replicas that have redirected the request.
	redirects int
}

// event is an action at a point in virtual time. Events of the same time run in the
// order of their sequence numbers.
type event struct {
	at       time.Duration
	sequence int
	action   func()
}

// eventHeap is a heap with the earliest event first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
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

// virtualStart is the time of day that stands for virtual time 0.
var virtualStart = time.Unix(1_000_000, 0)

// simulation is one run of one policy under one fault.
type simulation struct {
	deployment    Deployment
	fault         Fault
	policy        Policy
	engines       []*engine
	entries       []*decider
	random        *rand.Rand
	generator     *generator
	events        eventHeap
	eventSequence int
	now           time.Duration
	end           time.Duration
	// linkFreeAt holds, for each sending region, the time at which the link between the
	// regions will have sent everything handed to it.
	linkFreeAt [2]time.Duration
	// prefilledBlocks holds every block that any engine has ever prefilled.
	prefilledBlocks map[chainer.Hash]bool
	tally           tally
}

// maxRedirects bounds the redirects of a request under the chooser's policy.
// redirectMargin is how much the cost at a replica must exceed the next-best cost for a
// redirect.
const (
	maxRedirects   = 2
	redirectMargin = 100 * time.Millisecond
)

// maxAttempts bounds the replicas that a request is sent to, not counting redirects.
const maxAttempts = 3

// runSeed simulates the workload of one seed for the given virtual time and returns
// what was counted. Requests in flight at the end are completed.
func runSeed(d Deployment, f Fault, p Policy, seed uint64, duration time.Duration) tally {
	if f.HotSetShiftInterval > 0 {
		d.HotSetShiftInterval = f.HotSetShiftInterval
	}
	s := &simulation{
		deployment: d, fault: f, policy: p, random: rand.New(rand.NewPCG(seed, 13)),
		generator: newGenerator(d, seed), end: duration, prefilledBlocks: make(map[chainer.Hash]bool), tally: newTally(),
	}
	for i := range d.Replicas {
		region, zone := replicaLocation(d, i)
		s.engines = append(s.engines, &engine{
			index: i, region: region, zone: zone, tokensPerSecond: d.PrefillTokensPerSecond,
			cache: newLRU(d.CacheBlocks), pendingBlocks: make(map[chainer.Hash]int), indexUnknownShare: f.IndexUnknownShare,
		})
	}
	s.startEntries()
	s.scheduleFaults()
	s.scheduleArrival(s.generator.next(0))
	for len(s.events) > 0 {
		nextEvent := heap.Pop(&s.events).(event)
		s.now = nextEvent.at
		nextEvent.action()
	}
	return s.tally
}

// replicaLocation returns the region and zone of a replica. The replicas are spread
// over the zones in turn.
func replicaLocation(d Deployment, i int) (region int, zone string) {
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

// schedule adds an event.
func (s *simulation) schedule(at time.Duration, action func()) {
	s.eventSequence++
	heap.Push(&s.events, event{at: at, sequence: s.eventSequence, action: action})
}

// startEntries replaces all entries by new ones, two in each region, which know
// nothing of earlier replies.
func (s *simulation) startEntries() {
	s.entries = nil
	for region := range s.deployment.Regions {
		for i := range 2 {
			zones := s.deployment.Regions[region]
			s.entries = append(s.entries, s.policy.build(s, region, zones[i%len(zones)]))
		}
	}
}

// scheduleFaults schedules the crashes and the restarts of the entries.
func (s *simulation) scheduleFaults() {
	if interval := s.fault.CrashInterval; interval > 0 {
		for t := interval; t < s.end; t += interval {
			s.schedule(t, func() { s.crash(s.engines[s.random.IntN(len(s.engines))]) })
		}
	}
	if interval := s.fault.EntryRestartInterval; interval > 0 {
		for t := interval; t < s.end; t += interval {
			s.schedule(t, s.startEntries)
		}
	}
}

// scheduleArrival schedules one arrival, which schedules the next, until the end of
// the run.
func (s *simulation) scheduleArrival(a arrival) {
	if a.at >= s.end {
		return
	}
	s.schedule(a.at, func() {
		s.tally.recordArrival(a)
		s.route(&request{arrival: a})
		s.scheduleArrival(s.generator.next(a.at))
	})
}

// route lets the request's entry choose a replica and sends the request there.
func (s *simulation) route(r *request) {
	entry := s.entries[r.arrival.entry]
	target := entry.choose(r)
	if target < 0 || r.attempts-r.redirects >= maxAttempts {
		s.tally.recordRefusal(r)
		return
	}
	r.attempts++
	e := s.engines[target]
	delay, ok := s.transfer(entry, e, r)
	if !ok {
		// The replica is unreachable: the entry notices after a second and chooses another.
		r.excluded = append(r.excluded, target)
		s.schedule(s.now+time.Second, func() { s.route(r) })
		return
	}
	s.schedule(s.now+delay, func() { s.admit(entry, e, r, delay) })
}

// transfer returns the time that a request takes from its entry to a replica, and
// false if the replica is unreachable. Between regions the request waits for the link
// and occupies it.
func (s *simulation) transfer(entry *decider, e *engine, r *request) (time.Duration, bool) {
	switch {
	case entry.zone == e.zone:
		return 0, true
	case entry.region == e.region:
		return s.deployment.ZoneDelay, true
	}
	partitioned := s.fault.PartitionDuration > 0 && s.now >= s.fault.PartitionStart && s.now < s.fault.PartitionStart+s.fault.PartitionDuration
	if partitioned {
		return 0, false
	}
	bytes := r.arrival.tokens * chainer.BytesPerToken
	s.tally.linkBytes += bytes
	freeAt := max(s.now, s.linkFreeAt[entry.region])
	freeAt += time.Duration(float64(bytes) / s.deployment.LinkBytesPerSecond * float64(time.Second))
	s.linkFreeAt[entry.region] = freeAt
	return freeAt - s.now + s.deployment.RegionDelay, true
}

// admit lets the sidecar accept, refuse or redirect a request. The entry receives the
// decision and a load report after the delay.
func (s *simulation) admit(entry *decider, e *engine, r *request, delay time.Duration) {
	estimate, known := e.estimateTokens(r, s.random.Float64())
	expectedLatency := s.now + e.expectedWait(estimate) - r.arrival.at
	if expectedLatency > s.deployment.Deadline {
		report := newLoadReport(e)
		s.schedule(s.now+delay, func() {
			entry.reportReceived(e.index, report)
			r.excluded = append(r.excluded, e.index)
			s.route(r)
		})
		return
	}
	if entry.redirectsAllowed && known && r.redirects < maxRedirects && r.choice.NextBestCost > 0 {
		cost := chooser.Cost(float64(e.backlog), float64(estimate), e.tokensPerSecond, entry.prefillWeight)
		if cost > r.choice.NextBestCost+redirectMargin {
			report := newLoadReport(e)
			r.redirects++
			s.tally.redirects++
			s.schedule(s.now+delay, func() {
				entry.reportReceived(e.index, report)
				entry.redirected(r, e.index, estimate)
				s.route(r)
			})
			return
		}
	}
	e.enqueue(r, estimate)
	r.knownBlocks = (r.arrival.tokens - estimate) / chainer.BlockTokens
	report := newLoadReport(e)
	s.schedule(s.now+delay, func() {
		entry.reportReceived(e.index, report)
		entry.admitted(r, e.index, report)
	})
	s.startPrefill(e)
}

// startPrefill starts the next prefill of an engine, if there is one, and schedules
// its end.
func (s *simulation) startPrefill(e *engine) {
	r, duration := e.startPrefill()
	if r == nil {
		return
	}
	incarnation := e.incarnation
	s.schedule(s.now+duration, func() {
		if e.incarnation != incarnation {
			return
		}
		e.finishPrefill()
		s.tally.recordAnswer(r, s.now-r.arrival.at+2*s.deployment.CallerDelay+s.deployment.returnDelay(r, e), s.recomputedTokens(r))
		s.startPrefill(e)
	})
}

// returnDelay returns the time that the first token takes from a replica to the entry.
func (d Deployment) returnDelay(r *request, e *engine) time.Duration {
	if r.arrival.region != e.region {
		return d.RegionDelay
	}
	return d.ZoneDelay
}

// recomputedTokens returns the number of the request's tokens that were prefilled
// although some engine had prefilled them before, and records its blocks as prefilled.
func (s *simulation) recomputedTokens(r *request) int {
	recomputed := 0
	for i, block := range r.arrival.chain {
		if i >= r.cachedBlocks && s.prefilledBlocks[block] {
			recomputed += chainer.BlockTokens
		}
		s.prefilledBlocks[block] = true
	}
	return recomputed
}

// crash crashes an engine. The entries notice 10 ms later and choose other replicas for
// the requests that were lost.
func (s *simulation) crash(e *engine) {
	for _, r := range e.crash() {
		r.excluded = append(r.excluded, e.index)
		s.schedule(s.now+10*time.Millisecond, func() { s.route(r) })
	}
}

func (e *engine) name() string { return fmt.Sprintf("replica-%d", e.index) }
