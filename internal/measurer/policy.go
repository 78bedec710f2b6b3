package measurer

import (
	"fmt"
	"slices"
	"time"

	"github.com/cyclamenward/cyclamenward/chainer"
	"github.com/cyclamenward/cyclamenward/chooser"
	"github.com/zeebo/xxh3"
)

// loadReport is the state that a replica sends back with each reply. backlog is in
// tokens, queued in requests.
type loadReport struct {
	incarnation int
	backlog     int
	queued      int
}

// newLoadReport returns the present state of a replica.
func newLoadReport(e *engine) loadReport {
	return loadReport{incarnation: e.incarnation, backlog: e.backlog, queued: len(e.queue)}
}

// decider makes the routing decisions of one entry under one policy.
type decider struct {
	region int
	zone   string
	// choose returns the index of a replica, or -1 if none can be used.
	choose func(r *request) int
	// reportReceived is called with the load report of each reply.
	reportReceived func(replica int, report loadReport)
	// admitted is called when a replica has accepted the request.
	admitted func(r *request, replica int, report loadReport)
	// redirectsAllowed lets a replica redirect a request that costs more there than at
	// the entry's next-best replica. prefillWeight is the weight of prefill in the costs.
	redirectsAllowed bool
	prefillWeight    float64
	// redirected is called when a replica has redirected the request; estimate is the
	// number of tokens that it would have prefilled.
	redirected func(r *request, replica, estimate int)
}

// Policy is a way to choose replicas, under which runs are compared.
type Policy struct {
	// Name is printed in the tables.
	Name string
	// build returns a new decider for an entry in the region and zone.
	build func(s *simulation, region int, zone string) *decider
}

// newDeciderWithoutFeedback returns a decider that ignores the replicas' replies.
func newDeciderWithoutFeedback(region int, zone string, choose func(r *request) int) *decider {
	return &decider{region: region, zone: zone, choose: choose, reportReceived: func(int, loadReport) {}, admitted: func(*request, int, loadReport) {}}
}

// candidates returns the replicas that are not excluded for the request: none of
// them has refused it, crashed with it or been unreachable for it.
func (s *simulation) candidates(r *request) []int {
	var result []int
	for i := range s.engines {
		if !slices.Contains(r.excluded, i) {
			result = append(result, i)
		}
	}
	return result
}

// Baselines returns the policies that the chooser's is compared with.
func Baselines() []Policy {
	return []Policy{randomPolicy(), roundRobinPolicy(), leastLoadPolicy(), wholePromptPolicy(), boundedLoadPolicy(), prefixTreePolicy()}
}

// randomPolicy chooses among the candidates at random.
func randomPolicy() Policy {
	return Policy{"random", func(s *simulation, region int, zone string) *decider {
		return newDeciderWithoutFeedback(region, zone, func(r *request) int {
			candidates := s.candidates(r)
			if len(candidates) == 0 {
				return -1
			}
			return candidates[s.random.IntN(len(candidates))]
		})
	}}
}

// roundRobinPolicy goes through the candidates in turn, separately in each entry.
func roundRobinPolicy() Policy {
	return Policy{"round robin", func(s *simulation, region int, zone string) *decider {
		next := s.random.IntN(len(s.engines))
		return newDeciderWithoutFeedback(region, zone, func(r *request) int {
			candidates := s.candidates(r)
			if len(candidates) == 0 {
				return -1
			}
			next++
			return candidates[next%len(candidates)]
		})
	}}
}

// laggingLoads returns a function that reads the platform's load reports. It returns the
// backlog of each replica in tokens, as it was between one and two lags ago if the
// function is called often.
func (s *simulation) laggingLoads() func() []int {
	lag := max(defaultLoadLag, s.fault.LoadLag)
	current, previous := make([]int, len(s.engines)), make([]int, len(s.engines))
	sampledAt := time.Duration(-1 << 40) // long before the run, so that the first call samples
	return func() []int {
		if s.now-sampledAt >= lag {
			copy(previous, current)
			for i, e := range s.engines {
				current[i] = e.backlog
			}
			sampledAt = s.now
		}
		return previous
	}
}

// leastLoaded returns the candidate with the least load. The search begins at the
// index start, which breaks ties.
func leastLoaded(candidates, loads []int, start int) int {
	best := -1
	for k := range candidates {
		i := candidates[(start+k)%len(candidates)]
		if best < 0 || loads[i] < loads[best] {
			best = i
		}
	}
	return best
}

// leastLoadPolicy chooses the least loaded candidate by the platform's load reports.
func leastLoadPolicy() Policy {
	return Policy{"least load", func(s *simulation, region int, zone string) *decider {
		loads := s.laggingLoads()
		return newDeciderWithoutFeedback(region, zone, func(r *request) int {
			candidates := s.candidates(r)
			if len(candidates) == 0 {
				return -1
			}
			return leastLoaded(candidates, loads(), s.random.IntN(len(candidates)))
		})
	}}
}

// rendezvousOrder returns all replicas in an order by rendezvous hashing. The key is
// the hash of one block near the end of the prompt, before its last maxOwnBlocks
// blocks, so that prompts which differ only in the request's own part mostly share it.
func (s *simulation) rendezvousOrder(chain []chainer.Hash) []int {
	key := chain[max(0, len(chain)-1-maxOwnBlocks)]
	order := make([]int, len(s.engines))
	scores := make([]uint64, len(s.engines))
	for i := range order {
		order[i] = i
		scores[i] = xxh3.HashString(fmt.Sprintf("%s-%d", key, i))
	}
	slices.SortFunc(order, func(a, b int) int {
		if scores[a] < scores[b] {
			return -1
		}
		return 1
	})
	return order
}

// wholePromptPolicy chooses by rendezvous hashing alone and ignores loads.
func wholePromptPolicy() Policy {
	return Policy{"whole-prompt rendezvous", func(s *simulation, region int, zone string) *decider {
		return newDeciderWithoutFeedback(region, zone, func(r *request) int {
			for _, i := range s.rendezvousOrder(r.arrival.chain) {
				if !slices.Contains(r.excluded, i) {
					return i
				}
			}
			return -1
		})
	}}
}

// loadBoundFactor bounds a replica's load, as a multiple of the mean load.
const loadBoundFactor = 1.25

// boundedLoadPolicy chooses the first replica in rendezvous order whose load is within
// the bound, or the first of all if none is.
func boundedLoadPolicy() Policy {
	return Policy{"rendezvous, bounded load", func(s *simulation, region int, zone string) *decider {
		loads := s.laggingLoads()
		return newDeciderWithoutFeedback(region, zone, func(r *request) int {
			current := loads()
			total := r.arrival.tokens
			for _, load := range current {
				total += load
			}
			maxLoad := int(loadBoundFactor*float64(total)/float64(len(current))) + r.arrival.tokens
			firstCandidate := -1
			for _, i := range s.rendezvousOrder(r.arrival.chain) {
				if slices.Contains(r.excluded, i) {
					continue
				}
				if firstCandidate < 0 {
					firstCandidate = i
				}
				if current[i] <= maxLoad {
					return i
				}
			}
			return firstCandidate
		})
	}}
}

// Thresholds of the prefix tree. It follows the cache if at least half of the prompt
// matches, unless the load there is more than maxLoadDifference tokens above the
// least: four seconds of prefill at 8000 tokens a second.
const (
	minMatchedShare   = 0.5
	maxLoadDifference = 4 * 8000
)

// prefixTreePolicy keeps an approximate prefix tree in each entry, which holds the
// replica that a block was last sent to.
func prefixTreePolicy() Policy {
	return Policy{"prefix tree in the entry", func(s *simulation, region int, zone string) *decider {
		tree := make(map[chainer.Hash]int)
		loads := s.laggingLoads()
		return newDeciderWithoutFeedback(region, zone, func(r *request) int {
			candidates := s.candidates(r)
			if len(candidates) == 0 {
				return -1
			}
			current := loads()
			idlest := leastLoaded(candidates, current, s.random.IntN(len(candidates)))
			target, matchedBlocks := idlest, 0
			for i, block := range r.arrival.chain {
				if holder, ok := tree[block]; ok && slices.Contains(candidates, holder) {
					target, matchedBlocks = holder, i+1
				}
			}
			if float64(matchedBlocks) < minMatchedShare*float64(len(r.arrival.chain)) || current[target]-current[idlest] > maxLoadDifference {
				target = idlest
			}
			for _, block := range r.arrival.chain {
				tree[block] = target
			}
			return target
		})
	}}
}

// ChooserPolicy returns the policy that runs package chooser.
func ChooserPolicy() Policy { return chooserVariant("ours", variant{}) }

// variant changes or switches off one part of the chooser's policy.
type variant struct {
	// changeSettings changes the settings of package chooser; nil for no change.
	changeSettings func(*chooser.Settings)
	// noRedirects keeps replicas from redirecting requests.
	noRedirects bool
	// noHomeHitRate keeps the entry from expecting cache hits at the homes of
	// prefixes: it observes many misses at its start and nothing later.
	noHomeHitRate bool
	// noHolderIndex keeps the entry from recording which replicas hold which blocks.
	noHolderIndex bool
	// noLoadReports replaces the backlogs in load reports by 0.
	noLoadReports bool
}

// ablations returns the rows of the ablation table.
func ablations() []Policy {
	return []Policy{
		ChooserPolicy(),
		chooserVariant("without redirects", variant{noRedirects: true}),
		chooserVariant("without the prior of homes", variant{noHomeHitRate: true}),
		chooserVariant("without memory of replies", variant{noHolderIndex: true}),
		chooserVariant("without load reports", variant{noLoadReports: true}),
		chooserVariant("reuse weight 1", variant{changeSettings: func(s *chooser.Settings) { s.PrefillWeight = 1 }}),
		chooserVariant("link penalty 1", variant{changeSettings: func(s *chooser.Settings) { s.LinkPenalty = 1 }}),
	}
}

// chooserVariant returns the chooser's policy with a variant applied. Zone and region
// names, weights versions and addresses are placeholders that only need to be equal
// or different.
func chooserVariant(name string, v variant) Policy {
	return Policy{name, func(s *simulation, region int, zone string) *decider {
		replicas := make([]chooser.Replica, len(s.engines))
		for i, e := range s.engines {
			replicas[i] = chooser.Replica{Name: e.name(), Address: e.name(), AvailabilityZone: e.zone, Region: fmt.Sprint(e.region)}
		}
		pool := chooser.NewPool(replicas, nil)
		settings := chooser.Settings{
			AvailabilityZone: zone, Region: fmt.Sprint(region), PrefillTokensPerSecond: s.deployment.PrefillTokensPerSecond,
			ZoneRoundTrip: 2 * s.deployment.ZoneDelay, RegionRoundTrip: 2 * s.deployment.RegionDelay,
			LinkBytesPerSecond: 1 << 20, LinkPenalty: 20, PrefillWeight: s.deployment.ReuseWeight,
		}
		if v.changeSettings != nil {
			v.changeSettings(&settings)
		}
		c := chooser.New(settings, chooser.NewHolderIndex(100_000))
		d := &decider{region: region, zone: zone, redirectsAllowed: !v.noRedirects, prefillWeight: settings.PrefillWeight}
		if v.noHomeHitRate {
			for range 1000 {
				c.Observe(chooser.Choice{HomePrefixBlocks: 1}, 0)
			}
		}
		observe := func(choice chooser.Choice, known int) {
			if !v.noHomeHitRate {
				c.Observe(choice, known)
			}
		}
		record := func(r *request, replica, incarnation, depth int) {
			if !v.noHolderIndex {
				c.HolderIndex().Record(pool.Status(replica), fmt.Sprint(incarnation), r.arrival.chain, depth)
			}
		}
		d.choose = func(r *request) int {
			choice := c.Choose(pool, s.chooserRequest(r), virtualStart.Add(s.now))
			r.choice = choice
			if choice.Index >= 0 {
				pool.Status(choice.Index).AddSent(max(1, r.arrival.tokens-choice.ExpectedBlocks*chainer.BlockTokens))
			}
			return choice.Index
		}
		d.reportReceived = func(replica int, report loadReport) {
			if v.noLoadReports {
				report.backlog, report.queued = 0, 0
			}
			pool.Status(replica).SetReport(&chooser.Report{
				EngineIncarnation: fmt.Sprint(report.incarnation), WeightsVersion: "v1",
				BacklogTokens: report.backlog, ReceivedAt: virtualStart.Add(s.now),
			})
		}
		d.redirected = func(r *request, replica, estimate int) {
			known := (r.arrival.tokens - estimate) / chainer.BlockTokens
			observe(r.choice, known)
			record(r, replica, s.engines[replica].incarnation, known)
		}
		d.admitted = func(r *request, replica int, report loadReport) {
			observe(r.choice, r.knownBlocks)
			record(r, replica, report.incarnation, len(r.arrival.chain))
		}
		return d
	}}
}

// chooserRequest returns a request in the form that package chooser takes.
func (s *simulation) chooserRequest(r *request) *chooser.Request {
	return &chooser.Request{
		Chain: r.arrival.chain, PromptTokens: r.arrival.tokens, PromptBytes: r.arrival.tokens * chainer.BytesPerToken,
		WeightsVersion: "v1", Excluded: r.excluded, Random: s.random.Uint64(),
	}
}

// Oracle sees the true caches and queues without lag and chooses the replica with the
// shortest expected time to the first token.
func Oracle() Policy {
	return Policy{"oracle", func(s *simulation, region int, zone string) *decider {
		return newDeciderWithoutFeedback(region, zone, func(r *request) int {
			best, bestCost := -1, time.Duration(0)
			for _, i := range s.candidates(r) {
				e := s.engines[i]
				tokens, _ := e.estimateTokens(r, 1)
				cost := e.expectedWait(tokens)
				if e.region != region {
					bytes := float64(r.arrival.tokens * chainer.BytesPerToken)
					cost += 2*s.deployment.RegionDelay + time.Duration(bytes/s.deployment.LinkBytesPerSecond*float64(time.Second))
				}
				if best < 0 || cost < bestCost {
					best, bestCost = i, cost
				}
			}
			return best
		})
	}}
}
