package measurer

import (
	"fmt"
	"slices"
	"time"

	"github.com/cyclamenward/cyclamenward/chainer"
	"github.com/cyclamenward/cyclamenward/chooser"
	"github.com/zeebo/xxh3"
)

// report is what a replica says about itself.
type report struct {
	incarnation int
	backlog     int
	queued      int
}

func reportOf(e *engine) report {
	return report{incarnation: e.incarnation, backlog: e.backlog, queued: len(e.queue)}
}

// decider is the routing part of one entry under one policy.
type decider struct {
	region int
	zone   string
	// choose returns the index of a replica, or -1 if none can be used.
	choose func(r *request) int
	// heard is called with the news of each reply.
	heard func(replica int, news report)
	// admitted is called when a replica has taken the request.
	admitted func(r *request, replica int, news report)
	// redirect tells that replicas may send requests on, judged by the weight.
	redirect      bool
	prefillWeight float64
	// missed is called when a replica has sent the request on; estimate is the
	// number of tokens that it would have computed.
	missed func(r *request, replica, estimate int)
}

// Policy makes deciders.
type Policy struct {
	// Name stands in the tables.
	Name  string
	build func(w *world, region int, zone string) *decider
}

func quietDecider(region int, zone string, choose func(r *request) int) *decider {
	return &decider{region: region, zone: zone, choose: choose, heard: func(int, report) {}, admitted: func(*request, int, report) {}}
}

// usable returns the replicas that the request has not been refused by.
func (w *world) usable(r *request) []int {
	var result []int
	for i := range w.engines {
		if !slices.Contains(r.excluded, i) {
			result = append(result, i)
		}
	}
	return result
}

// Baselines are the policies to compare with.
func Baselines() []Policy {
	return []Policy{randomPolicy(), roundRobin(), leastLoad(), wholePrompt(), boundedLoad(), prefixTree()}
}

func randomPolicy() Policy {
	return Policy{"random", func(w *world, region int, zone string) *decider {
		return quietDecider(region, zone, func(r *request) int {
			usable := w.usable(r)
			if len(usable) == 0 {
				return -1
			}
			return usable[w.random.IntN(len(usable))]
		})
	}}
}

func roundRobin() Policy {
	return Policy{"round robin", func(w *world, region int, zone string) *decider {
		next := w.random.IntN(len(w.engines))
		return quietDecider(region, zone, func(r *request) int {
			usable := w.usable(r)
			if len(usable) == 0 {
				return -1
			}
			next++
			return usable[next%len(usable)]
		})
	}}
}

// loads returns the platform's lagging load reports: the queue of each replica
// as it was some time ago.
func (w *world) loads() func() []int {
	lag := max(defaultLoadLag, w.fault.LoadLag)
	current, previous := make([]int, len(w.engines)), make([]int, len(w.engines))
	taken := time.Duration(-1 << 40)
	return func() []int {
		if w.now-taken >= lag {
			copy(previous, current)
			for i, e := range w.engines {
				current[i] = e.backlog
			}
			taken = w.now
		}
		return previous
	}
}

func least(usable, loads []int, start int) int {
	best := -1
	for k := range usable {
		i := usable[(start+k)%len(usable)]
		if best < 0 || loads[i] < loads[best] {
			best = i
		}
	}
	return best
}

func leastLoad() Policy {
	return Policy{"least load", func(w *world, region int, zone string) *decider {
		loads := w.loads()
		return quietDecider(region, zone, func(r *request) int {
			usable := w.usable(r)
			if len(usable) == 0 {
				return -1
			}
			return least(usable, loads(), w.random.IntN(len(usable)))
		})
	}}
}

// ranked returns all replicas in the rendezvous order of a prompt without the
// request's own part.
func (w *world) ranked(chain []chainer.Hash) []int {
	key := chain[max(0, len(chain)-1-turnBlocks)]
	order := make([]int, len(w.engines))
	scores := make([]uint64, len(w.engines))
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

func wholePrompt() Policy {
	return Policy{"whole-prompt rendezvous", func(w *world, region int, zone string) *decider {
		return quietDecider(region, zone, func(r *request) int {
			for _, i := range w.ranked(r.arrival.chain) {
				if !slices.Contains(r.excluded, i) {
					return i
				}
			}
			return -1
		})
	}}
}

// boundFactor is how far above the mean a replica's load may be.
const boundFactor = 1.25

func boundedLoad() Policy {
	return Policy{"rendezvous, bounded load", func(w *world, region int, zone string) *decider {
		loads := w.loads()
		return quietDecider(region, zone, func(r *request) int {
			now := loads()
			total := r.arrival.tokens
			for _, load := range now {
				total += load
			}
			bound := int(boundFactor*float64(total)/float64(len(now))) + r.arrival.tokens
			first := -1
			for _, i := range w.ranked(r.arrival.chain) {
				if slices.Contains(r.excluded, i) {
					continue
				}
				if first < 0 {
					first = i
				}
				if now[i] <= bound {
					return i
				}
			}
			return first
		})
	}}
}

// Thresholds of the prefix tree: it follows the cache if at least half of the
// prompt matches, unless the loads are too far apart.
const (
	treeMatch     = 0.5
	treeImbalance = 4 * 8000
)

// prefixTree is an approximate tree in the entry: what was sent where.
func prefixTree() Policy {
	return Policy{"prefix tree in the entry", func(w *world, region int, zone string) *decider {
		tree := make(map[chainer.Hash]int)
		loads := w.loads()
		return quietDecider(region, zone, func(r *request) int {
			usable := w.usable(r)
			if len(usable) == 0 {
				return -1
			}
			now := loads()
			calm := least(usable, now, w.random.IntN(len(usable)))
			target, matched := calm, 0
			for i, block := range r.arrival.chain {
				if at, ok := tree[block]; ok && slices.Contains(usable, at) {
					target, matched = at, i+1
				}
			}
			if float64(matched) < treeMatch*float64(len(r.arrival.chain)) || now[target]-now[calm] > treeImbalance {
				target = calm
			}
			for _, block := range r.arrival.chain {
				tree[block] = target
			}
			return target
		})
	}}
}

// ProductPolicy is the product's own decision code.
func ProductPolicy() Policy { return ours("ours", variant{}) }

// variant is a change of one part of the product's policy.
type variant struct {
	// settings changes the costs; nil for none.
	settings func(*chooser.Settings)
	// noRedirects keeps replicas from sending requests on.
	noRedirects bool
	// noPrior keeps the entry from expecting anything of homes.
	noPrior bool
	// noMemory keeps the entry from remembering replies.
	noMemory bool
	// noLoad keeps the entry from using load reports.
	noLoad bool
}

// ablations are the variants of the ablation table.
func ablations() []Policy {
	return []Policy{
		ProductPolicy(),
		ours("without redirects", variant{noRedirects: true}),
		ours("without the prior of homes", variant{noPrior: true}),
		ours("without memory of replies", variant{noMemory: true}),
		ours("without load reports", variant{noLoad: true}),
		ours("reuse weight 1", variant{settings: func(s *chooser.Settings) { s.PrefillWeight = 1 }}),
		ours("link penalty 1", variant{settings: func(s *chooser.Settings) { s.LinkPenalty = 1 }}),
	}
}

func ours(name string, v variant) Policy {
	return Policy{name, func(w *world, region int, zone string) *decider {
		replicas := make([]chooser.Replica, len(w.engines))
		for i, e := range w.engines {
			replicas[i] = chooser.Replica{Name: e.name(), Address: e.name(), AvailabilityZone: e.zone, Region: fmt.Sprint(e.region)}
		}
		pool := chooser.NewPool(replicas, nil)
		settings := chooser.Settings{
			AvailabilityZone: zone, Region: fmt.Sprint(region), PrefillTokensPerSecond: w.deployment.PrefillTokensPerSecond,
			ZoneRoundTrip: 2 * w.deployment.ZoneDelay, RegionRoundTrip: 2 * w.deployment.RegionDelay,
			LinkBytesPerSecond: 1 << 20, LinkPenalty: 20, PrefillWeight: w.deployment.ReuseWeight,
		}
		if v.settings != nil {
			v.settings(&settings)
		}
		c := chooser.New(settings, chooser.NewHolderIndex(100_000))
		d := &decider{region: region, zone: zone, redirect: !v.noRedirects, prefillWeight: settings.PrefillWeight}
		if v.noPrior {
			for range 1000 {
				c.Observe(chooser.Choice{HomePrefixBlocks: 1}, 0)
			}
		}
		observe := func(choice chooser.Choice, known int) {
			if !v.noPrior {
				c.Observe(choice, known)
			}
		}
		learn := func(r *request, replica, incarnation, depth int) {
			if !v.noMemory {
				c.HolderIndex().Record(pool.Status(replica), fmt.Sprint(incarnation), r.arrival.chain, depth)
			}
		}
		d.choose = func(r *request) int {
			choice := c.Choose(pool, w.decision(r), epoch.Add(w.now))
			r.choice = choice
			if choice.Index >= 0 {
				pool.Status(choice.Index).AddSent(max(1, r.arrival.tokens-choice.ExpectedBlocks*chainer.BlockTokens))
			}
			return choice.Index
		}
		d.heard = func(replica int, news report) {
			if v.noLoad {
				news.backlog, news.queued = 0, 0
			}
			pool.Status(replica).SetReport(&chooser.Report{
				EngineIncarnation: fmt.Sprint(news.incarnation), WeightsVersion: "v1",
				BacklogTokens: news.backlog, ReceivedAt: epoch.Add(w.now),
			})
		}
		d.missed = func(r *request, replica, estimate int) {
			known := (r.arrival.tokens - estimate) / chainer.BlockTokens
			observe(r.choice, known)
			learn(r, replica, w.engines[replica].incarnation, known)
		}
		d.admitted = func(r *request, replica int, news report) {
			observe(r.choice, r.known)
			learn(r, replica, news.incarnation, len(r.arrival.chain))
		}
		return d
	}}
}

func (w *world) decision(r *request) *chooser.Request {
	return &chooser.Request{
		Chain: r.arrival.chain, PromptTokens: r.arrival.tokens, PromptBytes: r.arrival.tokens * chainer.BytesPerToken,
		WeightsVersion: "v1", Excluded: r.excluded, Random: w.random.Uint64(),
	}
}

// Oracle sees the true caches and queues without lag.
func Oracle() Policy {
	return Policy{"oracle", func(w *world, region int, zone string) *decider {
		return quietDecider(region, zone, func(r *request) int {
			best, bestCost := -1, time.Duration(0)
			for _, i := range w.usable(r) {
				e := w.engines[i]
				tokens, _ := e.estimate(r, 1)
				cost := e.wait(tokens)
				if e.region != region {
					bytes := float64(r.arrival.tokens * chainer.BytesPerToken)
					cost += 2*w.deployment.RegionDelay + time.Duration(bytes/w.deployment.LinkBytesPerSecond*float64(time.Second))
				}
				if best < 0 || cost < bestCost {
					best, bestCost = i, cost
				}
			}
			return best
		})
	}}
}
