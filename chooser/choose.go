package chooser

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"

	"github.com/cyclamenward/cyclamenward/chainer"
)

const (
	// homesPerLevel is how many replicas are candidates for one prefix level.
	homesPerLevel = 2
	// samples is how many further replicas are candidates whatever the prompt.
	samples = 2
	// maxCandidates bounds the candidates of one decision.
	maxCandidates = 48
	// startingPrior is what a new entry expects of homes, and priorStep the weight
	// of one observation.
	startingPrior = 0.5
	priorStep     = 0.05
	// reportFresh is how long a report of other weights is trusted.
	reportFresh = 2 * time.Second
	// engineRetry is how long a report without an engine is trusted.
	engineRetry = 200 * time.Millisecond
)

// Request is what a decision is about.
type Request struct {
	// Chain names the whole blocks of the prompt.
	Chain []chainer.Hash
	// PromptTokens is the size of the prompt.
	PromptTokens int
	// PromptBytes is what a transfer of the request costs on a link.
	PromptBytes int
	// WeightsVersion must be served by the replica.
	WeightsVersion string
	// Excluded lists replicas that this request must not go to.
	Excluded []int
	// Random spreads ties and samples.
	Random uint64
}

// Settings are the fixed parts of the cost.
type Settings struct {
	// AvailabilityZone and Region tell where the entry is.
	AvailabilityZone, Region string
	// PrefillTokensPerSecond is the speed of a replica.
	PrefillTokensPerSecond float64
	// ZoneRoundTrip is the time for a message to another zone of the region and back.
	ZoneRoundTrip time.Duration
	// RegionRoundTrip is the time for a message to another region and back.
	RegionRoundTrip time.Duration
	// LinkBytesPerSecond is the share of the slow link that one request may assume.
	LinkBytesPerSecond float64
	// PrefillWeight is how much a second of prefill counts against a second of
	// waiting. Above 1, it stands for what a prefill costs other requests: it
	// delays those behind it, and its blocks push others out of the cache.
	PrefillWeight float64
	// LinkPenalty is the time that a second of the paid link is counted as, on top.
	LinkPenalty float64
}

// Reason tells which part of the cost decided.
type Reason string

// The reasons of a choice.
const (
	// ReasonCached means that the replica is known to have cached blocks.
	ReasonCached Reason = "cached"
	// ReasonHome means that the replica is the agreed home of a prefix level.
	ReasonHome Reason = "home"
	// ReasonSpill means that the homes were too busy.
	ReasonSpill Reason = "spill"
	// ReasonNone means that no replica can take the request.
	ReasonNone Reason = "none"
)

// Choice is a decision.
type Choice struct {
	// Index is the replica in the pool, or -1.
	Index int
	// ExpectedBlocks is how many leading blocks are believed to be cached.
	ExpectedBlocks int
	// EngineIncarnation is the engine that the belief is about.
	EngineIncarnation string
	// HomePrefixBlocks is the prefix level in blocks if the replica was chosen as the
	// agreed home of it without knowledge of its cache, else 0.
	HomePrefixBlocks int
	// Cost is the expected time to the first token.
	Cost time.Duration
	// NextBestCost is the cost up to which the replica itself should take the
	// request: that of the next best replica. 0 if there is no other.
	NextBestCost time.Duration
	Reason       Reason
}

// Chooser decides for one entry.
type Chooser struct {
	settings Settings
	memory   *HolderIndex
	// prior holds the bits of a float64: the share of a home's prefix level that
	// was found cached there lately. It is what is expected of a home whose cache
	// is not known.
	prior atomic.Uint64
}

// New returns a chooser that uses and feeds the memory.
func New(settings Settings, memory *HolderIndex) *Chooser {
	c := &Chooser{settings: settings, memory: memory}
	c.prior.Store(math.Float64bits(startingPrior))
	return c
}

// HomeHitRate returns the share of a home's prefix level that is expected to be cached.
func (c *Chooser) HomeHitRate() float64 { return math.Float64frombits(c.prior.Load()) }

// Observe tells how many blocks a chosen replica really had cached. Of racing
// observations one may be lost.
func (c *Chooser) Observe(choice Choice, cached int) {
	if choice.HomePrefixBlocks == 0 {
		return
	}
	found := min(1, float64(cached)/float64(choice.HomePrefixBlocks))
	prior := c.HomeHitRate()
	c.prior.Store(math.Float64bits(prior + priorStep*(found-prior)))
}

// HolderIndex returns the memory that the chooser uses.
func (c *Chooser) HolderIndex() *HolderIndex { return c.memory }

// candidate is one replica under consideration.
type candidate struct {
	index  int
	depth  int
	reason Reason
	// level orders equal costs: the deeper level goes first. 0 for no home.
	level int
	// home is the number of blocks of the level that it is the first home of, 0
	// for none.
	home int
}

// candidates is a bounded list without allocation.
type candidates struct {
	list [maxCandidates]candidate
	n    int
}

func (cs *candidates) add(added candidate) {
	for i := range cs.n {
		if cs.list[i].index != added.index {
			continue
		}
		known := &cs.list[i]
		known.level = max(known.level, added.level)
		known.home = max(known.home, added.home)
		if added.depth > known.depth {
			known.depth, known.reason = added.depth, added.reason
		}
		return
	}
	if cs.n < maxCandidates {
		cs.list[cs.n] = added
		cs.n++
	}
}

// Choose returns the replica with the least expected time to the first token.
func (c *Chooser) Choose(pool *Pool, request *Request, now time.Time) Choice {
	var cs candidates
	c.addHolders(&cs, pool, request)
	c.addHomes(&cs, pool, request)
	c.addSamples(&cs, pool, request)
	best := Choice{Index: -1, Reason: ReasonNone}
	bestLevel := 0
	var second time.Duration
	for i := range cs.n {
		choice, ok := c.evaluate(pool, request, &cs.list[i], now)
		if !ok {
			continue
		}
		if best.Index < 0 || choice.Cost < best.Cost || (choice.Cost == best.Cost && cs.list[i].level > bestLevel) {
			best, bestLevel, second = choice, cs.list[i].level, best.Cost
		} else if second == 0 || choice.Cost < second {
			second = choice.Cost
		}
	}
	if best.Index < 0 {
		return c.scan(pool, request, now)
	}
	best.NextBestCost = second
	return best
}

// scan looks at every replica, for when no candidate is usable.
func (c *Chooser) scan(pool *Pool, request *Request, now time.Time) Choice {
	best := Choice{Index: -1, Reason: ReasonNone}
	n := pool.Len()
	if n == 0 {
		return best
	}
	start := int(request.Random % uint64(n))
	for i := range n {
		spill := candidate{index: (start + i) % n, reason: ReasonSpill}
		choice, ok := c.evaluate(pool, request, &spill, now)
		if ok && (best.Index < 0 || choice.Cost < best.Cost) {
			best = choice
		}
	}
	return best
}

// addHolders adds the replicas that are known to have the deepest blocks.
func (c *Chooser) addHolders(cs *candidates, pool *Pool, request *Request) {
	found := 0
	for depth := len(request.Chain); depth > 0 && found < holdersPerBlock; depth-- {
		known, ok := c.memory.holders(request.Chain[depth-1])
		if !ok {
			continue
		}
		for _, h := range known {
			if h.replica == nil {
				break
			}
			index := pool.indexOf(h.replica)
			if index < 0 || !believed(h) {
				continue
			}
			cs.add(candidate{index: index, depth: depth, reason: ReasonCached})
			found++
		}
	}
}

// believed reports whether the engine that had the block is still there, as far
// as the last report tells.
func believed(h holder) bool {
	report := h.replica.Report()
	return report != nil && report.EngineIncarnation == h.incarnation
}

// addHomes adds the agreed replicas of the prefix levels 1, 2, 4, 8, … and of the
// whole prompt. The deepest level that is a power of two is the one at which
// prompts with a common prefix meet: most share it whole, and it does not hang on
// the last blocks, which belong to one request.
func (c *Chooser) addHomes(cs *candidates, pool *Pool, request *Request) {
	if len(request.Chain) == 0 {
		return
	}
	meeting := 1 << (bits.Len(uint(len(request.Chain))) - 1)
	var homes [homesPerLevel]int
	for level := 1; ; level = min(level*2, len(request.Chain)) {
		hash := request.Chain[level-1].Uint64()
		for rank, index := range pool.Homes(homes[:0], hash, homesPerLevel) {
			added := candidate{index: index, reason: ReasonHome, level: bits.Len(uint(level))}
			if level == meeting && rank == 0 {
				added.home = level
			}
			cs.add(added)
		}
		if level == len(request.Chain) {
			return
		}
	}
}

// addSamples adds random replicas, so that work can leave busy homes.
func (c *Chooser) addSamples(cs *candidates, pool *Pool, request *Request) {
	if pool.Len() == 0 {
		return
	}
	random := request.Random
	for range samples {
		random = mix(random + 1)
		cs.add(candidate{index: int(random % uint64(pool.Len())), reason: ReasonSpill})
	}
}

// evaluate returns the cost of one candidate, or false if it cannot be used.
func (c *Chooser) evaluate(pool *Pool, request *Request, candidate *candidate, now time.Time) (Choice, bool) {
	status := pool.statuses[candidate.index]
	if status.Avoided(now) || excluded(request.Excluded, candidate.index) {
		return Choice{}, false
	}
	choice := Choice{Index: candidate.index, ExpectedBlocks: candidate.depth, Reason: candidate.reason}
	backlog := float64(status.sent.Load())
	if report := status.Report(); report != nil {
		if report.Leaving || !mayServe(report, request.WeightsVersion, now) {
			return Choice{}, false
		}
		choice.EngineIncarnation = report.EngineIncarnation
		backlog += remaining(report, now, c.settings.PrefillTokensPerSecond)
	}
	expected := float64(candidate.depth)
	if guess := float64(candidate.home) * c.HomeHitRate(); guess > expected {
		expected = guess
		choice.HomePrefixBlocks = candidate.home
	}
	missing := max(0, float64(request.PromptTokens)-expected*chainer.BlockTokens)
	choice.Cost = Cost(backlog, missing, c.settings.PrefillTokensPerSecond, c.settings.PrefillWeight) + c.network(&pool.replicas[candidate.index], request)
	return choice, true
}

// Cost returns what it costs a replica to take a request: the time for the work
// in front of it and the weighted time for the tokens that it has to compute.
// Entries estimate it, and the replica's own sidecar knows it.
func Cost(backlogTokens, missingTokens, tokensPerSecond, prefillWeight float64) time.Duration {
	return time.Duration((backlogTokens + missingTokens*prefillWeight) / tokensPerSecond * float64(time.Second))
}

// mayServe reports whether a replica may have the weights version, as far as its
// last report tells. A replica that had not reached its engine yet, and so named
// no version, is tried again sooner.
func mayServe(report *Report, version string, now time.Time) bool {
	age := now.Sub(report.ReceivedAt)
	if report.WeightsVersion == "" {
		return age >= engineRetry
	}
	return report.WeightsVersion == version || age >= reportFresh
}

// remaining is the reported backlog less what was worked off since.
func remaining(report *Report, now time.Time, rate float64) float64 {
	return max(0, float64(report.BacklogTokens)-now.Sub(report.ReceivedAt).Seconds()*rate)
}

func (c *Chooser) network(replica *Replica, request *Request) time.Duration {
	switch {
	case replica.AvailabilityZone == c.settings.AvailabilityZone:
		return 0
	case replica.Region == c.settings.Region:
		return c.settings.ZoneRoundTrip
	case c.settings.LinkBytesPerSecond <= 0:
		return c.settings.RegionRoundTrip
	}
	transfer := float64(request.PromptBytes) / c.settings.LinkBytesPerSecond * (1 + c.settings.LinkPenalty)
	return c.settings.RegionRoundTrip + time.Duration(transfer*float64(time.Second))
}

func excluded(list []int, index int) bool {
	for _, other := range list {
		if other == index {
			return true
		}
	}
	return false
}

// indexOf returns the index of the replica with the status, or -1.
func (p *Pool) indexOf(status *Status) int {
	i := int(status.index.Load())
	if i < len(p.statuses) && p.statuses[i] == status {
		return i
	}
	return -1
}
