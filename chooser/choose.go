package chooser

import (
	"math/bits"
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
	// ZoneDelay is the time for a message to another zone of the region and back.
	ZoneDelay time.Duration
	// RegionDelay is the time for a message to another region and back.
	RegionDelay time.Duration
	// LinkBytesPerSecond is the share of the slow link that one request may assume.
	LinkBytesPerSecond float64
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
	// Cost is the expected time to the first token.
	Cost   time.Duration
	Reason Reason
}

// Chooser decides for one entry.
type Chooser struct {
	settings Settings
	memory   *Memory
}

// New returns a chooser that uses and feeds the memory.
func New(settings Settings, memory *Memory) *Chooser {
	return &Chooser{settings: settings, memory: memory}
}

// Memory returns the memory that the chooser uses.
func (c *Chooser) Memory() *Memory { return c.memory }

// candidate is one replica under consideration.
type candidate struct {
	index  int
	depth  int
	reason Reason
	// level is the prefix level whose home it is, 0 for none.
	level int
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
	for i := range cs.n {
		choice, ok := c.evaluate(pool, request, &cs.list[i], now)
		if !ok {
			continue
		}
		if best.Index < 0 || choice.Cost < best.Cost || (choice.Cost == best.Cost && cs.list[i].level > bestLevel) {
			best, bestLevel = choice, cs.list[i].level
		}
	}
	if best.Index < 0 {
		return c.scan(pool, request, now)
	}
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
// whole prompt.
func (c *Chooser) addHomes(cs *candidates, pool *Pool, request *Request) {
	if len(request.Chain) == 0 {
		return
	}
	var homes [homesPerLevel]int
	for level := 1; ; level = min(level*2, len(request.Chain)) {
		hash := request.Chain[level-1].Uint64()
		for _, index := range pool.Homes(homes[:0], hash, homesPerLevel) {
			cs.add(candidate{index: index, reason: ReasonHome, level: bits.Len(uint(level))})
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
	missing := request.PromptTokens - candidate.depth*chainer.BlockTokens
	work := (backlog + float64(max(0, missing))) / c.settings.PrefillTokensPerSecond
	choice.Cost = time.Duration(work*float64(time.Second)) + c.network(&pool.replicas[candidate.index], request)
	return choice, true
}

// mayServe reports whether a replica may have the weights version, as far as its
// last report tells. A replica that had not reached its engine yet, and so named
// no version, is tried again sooner.
func mayServe(report *Report, version string, now time.Time) bool {
	age := now.Sub(report.At)
	if report.WeightsVersion == "" {
		return age >= engineRetry
	}
	return report.WeightsVersion == version || age >= reportFresh
}

// remaining is the reported backlog less what was worked off since.
func remaining(report *Report, now time.Time, rate float64) float64 {
	return max(0, float64(report.BacklogTokens)-now.Sub(report.At).Seconds()*rate)
}

func (c *Chooser) network(replica *Replica, request *Request) time.Duration {
	switch {
	case replica.AvailabilityZone == c.settings.AvailabilityZone:
		return 0
	case replica.Region == c.settings.Region:
		return c.settings.ZoneDelay
	case c.settings.LinkBytesPerSecond <= 0:
		return c.settings.RegionDelay
	}
	transfer := float64(request.PromptBytes) / c.settings.LinkBytesPerSecond * (1 + c.settings.LinkPenalty)
	return c.settings.RegionDelay + time.Duration(transfer*float64(time.Second))
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
