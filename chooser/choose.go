package chooser

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"

	"github.com/cyclamenward/cyclamenward/chainer"
)

const (
	// homesPerPrefix is how many home replicas become candidates for each prefix
	// of the prompt.
	homesPerPrefix = 2
	// randomCandidates is how many replicas become candidates at random, whatever
	// the prompt.
	randomCandidates = 2
	// maxCandidates bounds the candidates of one decision; they are held in an
	// array of this size, without allocation.
	maxCandidates = 48
	// initialHomeHitRate is the home hit rate that a new Chooser assumes, and
	// homeHitRateSmoothing the weight of one observation in its moving average.
	initialHomeHitRate   = 0.5
	homeHitRateSmoothing = 0.05
	// otherVersionTimeout is how long a report of another weights version keeps
	// requests away from the replica.
	otherVersionTimeout = 2 * time.Second
	// noVersionTimeout is the same for a report without a weights version, which a
	// sidecar sends before it has reached its engine; the replica is tried again
	// sooner.
	noVersionTimeout = 200 * time.Millisecond
)

// Request describes the request to place.
type Request struct {
	// Chain holds the hashes of the whole blocks of the prompt.
	Chain []chainer.Hash
	// PromptTokens is the number of tokens of the prompt.
	PromptTokens int
	// PromptBytes is the number of bytes that are transferred if the request goes
	// to another region.
	PromptBytes int
	// WeightsVersion is the version that the replica must serve.
	WeightsVersion string
	// Excluded holds the pool indexes of replicas that must not get this request.
	Excluded []int
	// Random is a random number. It selects the random candidates and the replica
	// that a scan of the whole pool starts at, so that equal costs are spread.
	Random uint64
}

// Settings are the parameters of the cost that are the same for all requests.
type Settings struct {
	// AvailabilityZone and Region tell where the entry is.
	AvailabilityZone, Region string
	// PrefillTokensPerSecond is the prefill throughput of a replica.
	PrefillTokensPerSecond float64
	// ZoneRoundTrip is the network round trip to another zone of the region.
	ZoneRoundTrip time.Duration
	// RegionRoundTrip is the network round trip to another region.
	RegionRoundTrip time.Duration
	// LinkBytesPerSecond is the bandwidth that one request may assume on the link
	// between regions. If it is 0, the transfer of the prompt costs nothing.
	LinkBytesPerSecond float64
	// PrefillWeight is how much a second of prefill counts against a second of
	// waiting. Above 1, it stands for what a prefill costs other requests: it
	// delays those behind it, and its blocks evict others from the cache.
	PrefillWeight float64
	// LinkPenalty is the extra time, in seconds, that each second of transfer
	// between regions counts for, because that link is paid for.
	LinkPenalty float64
}

// Reason tells why a replica was a candidate.
type Reason string

// The reasons of a choice.
const (
	// ReasonCached means that the replica is known to have blocks of the prompt
	// cached.
	ReasonCached Reason = "cached"
	// ReasonHome means that the replica is a home of one of the prompt's prefixes.
	ReasonHome Reason = "home"
	// ReasonSpill means that the homes were too busy or not usable, so that a random
	// candidate or, if no candidate was usable, another replica was chosen.
	ReasonSpill Reason = "spill"
	// ReasonNone means that no replica can take the request.
	ReasonNone Reason = "none"
)

// Choice is the outcome of a decision.
type Choice struct {
	// Index is the index of the replica in the pool, or -1 if none can take the
	// request.
	Index int
	// ExpectedBlocks is how many leading blocks of the prompt the replica is known
	// to have cached.
	ExpectedBlocks int
	// EngineIncarnation is that of the engine whose cache ExpectedBlocks is about,
	// empty if the replica has not reported yet.
	EngineIncarnation string
	// HomePrefixBlocks is set if the cost assumes the home hit rate instead of
	// known blocks. It is then the length in blocks of the prefix that the replica
	// is the first home of.
	HomePrefixBlocks int
	// Cost is the expected time to the first token, with the weights of Settings.
	Cost time.Duration
	// NextBestCost is the cost of the next best candidate, 0 if there is none.
	// The chosen replica should take the request only up to this cost.
	NextBestCost time.Duration
	// Reason tells why the replica was a candidate.
	Reason Reason
}

// Chooser makes the decisions of one entry.
type Chooser struct {
	settings    Settings
	holderIndex *HolderIndex
	// homeHitRate holds the bits of a float64: a moving average of the share of
	// its prefix that a first home turned out to have cached. It is assumed for a
	// home whose cache is not known.
	homeHitRate atomic.Uint64
}

// New returns a chooser that looks up cached blocks in the holder index.
func New(settings Settings, holderIndex *HolderIndex) *Chooser {
	c := &Chooser{settings: settings, holderIndex: holderIndex}
	c.homeHitRate.Store(math.Float64bits(initialHomeHitRate))
	return c
}

// HomeHitRate returns the share of its prefix that a first home is expected to
// have cached.
func (c *Chooser) HomeHitRate() float64 { return math.Float64frombits(c.homeHitRate.Load()) }

// Observe updates the home hit rate with the number of blocks that the chosen
// replica really had cached. It does nothing for a choice that did not rest on
// the home hit rate. Of two concurrent observations one may be lost.
func (c *Chooser) Observe(choice Choice, cached int) {
	if choice.HomePrefixBlocks == 0 {
		return
	}
	cachedShare := min(1, float64(cached)/float64(choice.HomePrefixBlocks))
	hitRate := c.HomeHitRate()
	c.homeHitRate.Store(math.Float64bits(hitRate + homeHitRateSmoothing*(cachedShare-hitRate)))
}

// HolderIndex returns the holder index that the chooser uses.
func (c *Chooser) HolderIndex() *HolderIndex { return c.holderIndex }

// candidate is one replica under consideration.
type candidate struct {
	// replicaIndex is the index in the pool.
	replicaIndex int
	// cachedBlocks is how many leading blocks of the prompt are known to be cached.
	cachedBlocks int
	reason       Reason
	// prefixBits is the bit length of the number of blocks of the longest prefix
	// that the replica is a home of, 0 for none. Of two equal costs the one with
	// the greater value wins.
	prefixBits int
	// homePrefixBlocks is the number of blocks of the prefix that the replica is
	// the first home of and that the home hit rate applies to, 0 for none.
	homePrefixBlocks int
}

// candidates is a list of distinct replicas. It has a fixed capacity, so that a
// decision does not allocate.
type candidates struct {
	list [maxCandidates]candidate
	n    int
}

// add adds a candidate unless the list is full, or merges it into the one of the
// same replica.
func (cs *candidates) add(added candidate) {
	for i := range cs.n {
		if cs.list[i].replicaIndex != added.replicaIndex {
			continue
		}
		existing := &cs.list[i]
		existing.prefixBits = max(existing.prefixBits, added.prefixBits)
		existing.homePrefixBlocks = max(existing.homePrefixBlocks, added.homePrefixBlocks)
		if added.cachedBlocks > existing.cachedBlocks {
			existing.cachedBlocks, existing.reason = added.cachedBlocks, added.reason
		}
		return
	}
	if cs.n < maxCandidates {
		cs.list[cs.n] = added
		cs.n++
	}
}

// Choose returns the candidate with the least cost, or a usable replica from the
// whole pool if no candidate is usable.
func (c *Chooser) Choose(pool *Pool, request *Request, now time.Time) Choice {
	var cs candidates
	c.addHolders(&cs, pool, request)
	c.addHomes(&cs, pool, request)
	c.addRandom(&cs, pool, request)
	best := Choice{Index: -1, Reason: ReasonNone}
	bestPrefixBits := 0
	var secondCost time.Duration
	for i := range cs.n {
		choice, ok := c.evaluate(pool, request, &cs.list[i], now)
		if !ok {
			continue
		}
		if best.Index < 0 || choice.Cost < best.Cost || (choice.Cost == best.Cost && cs.list[i].prefixBits > bestPrefixBits) {
			best, bestPrefixBits, secondCost = choice, cs.list[i].prefixBits, best.Cost
		} else if secondCost == 0 || choice.Cost < secondCost {
			secondCost = choice.Cost
		}
	}
	if best.Index < 0 {
		return c.scanAll(pool, request, now)
	}
	best.NextBestCost = secondCost
	return best
}

// scanAll returns the usable replica of the whole pool with the least cost,
// starting at a random one so that equal costs are spread.
func (c *Chooser) scanAll(pool *Pool, request *Request, now time.Time) Choice {
	best := Choice{Index: -1, Reason: ReasonNone}
	n := pool.Len()
	if n == 0 {
		return best
	}
	start := int(request.Random % uint64(n))
	for i := range n {
		spill := candidate{replicaIndex: (start + i) % n, reason: ReasonSpill}
		choice, ok := c.evaluate(pool, request, &spill, now)
		if ok && (best.Index < 0 || choice.Cost < best.Cost) {
			best = choice
		}
	}
	return best
}

// addHolders adds replicas that are known to have blocks of the prompt, those
// with the longest prefix first, until there are at least holdersPerBlock of them.
func (c *Chooser) addHolders(cs *candidates, pool *Pool, request *Request) {
	found := 0
	for depth := len(request.Chain); depth > 0 && found < holdersPerBlock; depth-- {
		blockHolders, ok := c.holderIndex.holders(request.Chain[depth-1])
		if !ok {
			continue
		}
		for _, h := range blockHolders {
			if h.status == nil {
				break
			}
			index := pool.indexOf(h.status)
			if index < 0 || !engineStillRuns(h) {
				continue
			}
			cs.add(candidate{replicaIndex: index, cachedBlocks: depth, reason: ReasonCached})
			found++
		}
	}
}

// engineStillRuns reports whether, by the replica's last report, its engine is
// the incarnation that had the block. A restarted engine has an empty cache.
func engineStillRuns(h holder) bool {
	report := h.status.Report()
	return report != nil && report.EngineIncarnation == h.incarnation
}

// addHomes adds the homes of the prompt's prefixes of 1, 2, 4, 8, … blocks and of
// the whole prompt.
//
// The home hit rate applies to the longest prefix whose length is a power of two:
// most prompts with a common beginning share this prefix whole, because it does
// not include the last blocks, which belong to one request.
func (c *Chooser) addHomes(cs *candidates, pool *Pool, request *Request) {
	if len(request.Chain) == 0 {
		return
	}
	largestPower := 1 << (bits.Len(uint(len(request.Chain))) - 1)
	var homes [homesPerPrefix]int
	for prefixLength := 1; ; prefixLength = min(prefixLength*2, len(request.Chain)) {
		hash := request.Chain[prefixLength-1].Uint64()
		for rank, index := range pool.Homes(homes[:0], hash, homesPerPrefix) {
			added := candidate{replicaIndex: index, reason: ReasonHome, prefixBits: bits.Len(uint(prefixLength))}
			if prefixLength == largestPower && rank == 0 {
				added.homePrefixBlocks = prefixLength
			}
			cs.add(added)
		}
		if prefixLength == len(request.Chain) {
			return
		}
	}
}

// addRandom adds random replicas, so that load can move away from busy homes.
func (c *Chooser) addRandom(cs *candidates, pool *Pool, request *Request) {
	if pool.Len() == 0 {
		return
	}
	random := request.Random
	for range randomCandidates {
		random = mix(random + 1)
		cs.add(candidate{replicaIndex: int(random % uint64(pool.Len())), reason: ReasonSpill})
	}
}

// evaluate returns the choice of one candidate with its cost, or false if it
// cannot be used.
func (c *Chooser) evaluate(pool *Pool, request *Request, candidate *candidate, now time.Time) (Choice, bool) {
	status := pool.statuses[candidate.replicaIndex]
	if status.Avoided(now) || isExcluded(request.Excluded, candidate.replicaIndex) {
		return Choice{}, false
	}
	choice := Choice{Index: candidate.replicaIndex, ExpectedBlocks: candidate.cachedBlocks, Reason: candidate.reason}
	backlogTokens := float64(status.sentTokens.Load())
	if report := status.Report(); report != nil {
		if report.Leaving || !mayServe(report, request.WeightsVersion, now) {
			return Choice{}, false
		}
		choice.EngineIncarnation = report.EngineIncarnation
		backlogTokens += remainingBacklog(report, now, c.settings.PrefillTokensPerSecond)
	}
	expectedBlocks := float64(candidate.cachedBlocks)
	if estimatedBlocks := float64(candidate.homePrefixBlocks) * c.HomeHitRate(); estimatedBlocks > expectedBlocks {
		expectedBlocks = estimatedBlocks
		choice.HomePrefixBlocks = candidate.homePrefixBlocks
	}
	missingTokens := max(0, float64(request.PromptTokens)-expectedBlocks*chainer.BlockTokens)
	choice.Cost = Cost(backlogTokens, missingTokens, c.settings.PrefillTokensPerSecond, c.settings.PrefillWeight) + c.networkTime(&pool.replicas[candidate.replicaIndex], request)
	return choice, true
}

// Cost returns the cost of a request on a replica, without the network: the time
// for the backlog in front of it plus the weighted time for the prompt tokens that
// are not cached. Entries compute it from estimates, the replica's own sidecar
// from exact numbers.
func Cost(backlogTokens, missingTokens, tokensPerSecond, prefillWeight float64) time.Duration {
	return time.Duration((backlogTokens + missingTokens*prefillWeight) / tokensPerSecond * float64(time.Second))
}

// mayServe reports whether a replica may serve the weights version: its last
// report names the version, or names another one but is too old to rule this one
// out. A report without a version, made before the sidecar reached its engine, is
// too old sooner.
func mayServe(report *Report, version string, now time.Time) bool {
	age := now.Sub(report.ReceivedAt)
	if report.WeightsVersion == "" {
		return age >= noVersionTimeout
	}
	return report.WeightsVersion == version || age >= otherVersionTimeout
}

// remainingBacklog returns the reported backlog in tokens, less what the replica
// must have worked off since the report arrived.
func remainingBacklog(report *Report, now time.Time, tokensPerSecond float64) float64 {
	return max(0, float64(report.BacklogTokens)-now.Sub(report.ReceivedAt).Seconds()*tokensPerSecond)
}

// networkTime returns the cost of the network between the entry and a replica:
// the round trip, and between regions also the transfer of the prompt.
func (c *Chooser) networkTime(replica *Replica, request *Request) time.Duration {
	switch {
	case replica.AvailabilityZone == c.settings.AvailabilityZone:
		return 0
	case replica.Region == c.settings.Region:
		return c.settings.ZoneRoundTrip
	case c.settings.LinkBytesPerSecond <= 0:
		return c.settings.RegionRoundTrip
	}
	transferSeconds := float64(request.PromptBytes) / c.settings.LinkBytesPerSecond * (1 + c.settings.LinkPenalty)
	return c.settings.RegionRoundTrip + time.Duration(transferSeconds*float64(time.Second))
}

func isExcluded(excluded []int, index int) bool {
	for _, i := range excluded {
		if i == index {
			return true
		}
	}
	return false
}

// indexOf returns the index of the replica with the status, or -1 if this pool
// does not hold it. It may also return -1 if this pool is not the newest, because a
// status knows only its index in the newest pool.
func (p *Pool) indexOf(status *Status) int {
	i := int(status.index.Load())
	if i < len(p.statuses) && p.statuses[i] == status {
		return i
	}
	return -1
}
