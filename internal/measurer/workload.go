// Package measurer runs the decision code of package chooser against small models of
// model engines, in virtual time, and compares it with baselines on the same seeded
// workload. It is no full cluster simulator: an engine consists of a queue, a prefill
// rate and a cache, and the network of fixed delays and one link of limited bandwidth.
package measurer

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cyclamenward/cyclamenward/chainer"
)

// Deployment describes one of the users' deployments and its workload. A prompt begins
// with its workspace's system prompt, then comes a dossier, a text that many requests
// share, and last the request's own part.
type Deployment struct {
	Name string
	// Regions holds the zones of each region. Replicas is the number of replicas, which
	// are spread over the zones in turn.
	Regions  [][]string
	Replicas int
	// The delays are one way: ZoneDelay between zones of a region, RegionDelay between
	// regions, CallerDelay between a caller and its entry.
	ZoneDelay, RegionDelay, CallerDelay time.Duration
	// LinkBytesPerSecond is the bandwidth of the link between the regions, each way.
	LinkBytesPerSecond float64
	// PrefillTokensPerSecond is the prefill rate of one replica.
	PrefillTokensPerSecond float64
	// CacheBlocks is the size of one replica's cache.
	CacheBlocks int
	// ReuseWeight is model.reuseWeight of the deployment's document.
	ReuseWeight float64
	// RequestsPerSecond is the mean arrival rate.
	RequestsPerSecond float64
	// Dossiers is the number of dossiers, DossierBlocks their mean size.
	Dossiers, DossierBlocks int
	// ZipfExponent is the exponent of the Zipf distribution of requests over dossiers.
	ZipfExponent float64
	// HotSetShiftInterval is the time after which some other dossiers become the most
	// requested ones.
	HotSetShiftInterval time.Duration
	// Deadline is the time from arrival within which a request must get its first token.
	Deadline time.Duration
}

// LoneStar is the deployment of the timing company: short dossiers and many requests;
// what counts is tail latency.
func LoneStar() Deployment {
	return Deployment{
		Name: "Lone Star", Regions: [][]string{{"austin-a", "waco-b"}, {"houston-a"}}, Replicas: 12,
		ZoneDelay: 2 * time.Millisecond, RegionDelay: 20 * time.Millisecond, CallerDelay: time.Millisecond,
		LinkBytesPerSecond: 30e6 / 8, PrefillTokensPerSecond: 8000, CacheBlocks: 160,
		ReuseWeight: 6, RequestsPerSecond: 10, Dossiers: 300, DossierBlocks: 10, ZipfExponent: 1, HotSetShiftInterval: time.Minute, Deadline: 10 * time.Second,
	}
}

// Rogeri is the deployment of the order desk: few, long dossiers; what counts is the
// hit rate and the volume on the link.
func Rogeri() Deployment {
	return Deployment{
		Name: "Røgeri", Regions: [][]string{{"aalborg-a", "aarhus-b"}, {"odense-a"}}, Replicas: 12,
		ZoneDelay: 500 * time.Microsecond, RegionDelay: 20 * time.Millisecond, CallerDelay: 3 * time.Millisecond,
		LinkBytesPerSecond: 30e6 / 8, PrefillTokensPerSecond: 8000, CacheBlocks: 400,
		ReuseWeight: 8, RequestsPerSecond: 4, Dossiers: 80, DossierBlocks: 40, ZipfExponent: 0.9, HotSetShiftInterval: time.Minute, Deadline: 20 * time.Second,
	}
}

const (
	workspaceCount = 8
	// systemPromptBlocks is the size of a workspace's system prompt.
	systemPromptBlocks = 3
	// maxOwnBlocks is the largest number of whole blocks in a request's own part.
	maxOwnBlocks = 2
	// A burst of burstDuration begins every burstInterval; the arrival rate in it is
	// burstFactor times the mean.
	burstInterval = 20 * time.Second
	burstDuration = 2 * time.Second
	burstFactor   = 2.5
)

// arrival is one request of the workload.
type arrival struct {
	at        time.Duration
	region    int
	entry     int
	workspace int
	chain     []chainer.Hash
	tokens    int
}

// generator generates the arrivals of one seed.
type generator struct {
	deployment Deployment
	random     *rand.Rand
	// cumulativeWeights holds the cumulative Zipf weights of the ranks; dossierByRank
	// maps ranks, the most requested first, to dossiers.
	cumulativeWeights []float64
	dossierByRank     []int
	lastShift         time.Duration
	// lastOwnPart numbers the requests, so that no two own parts share blocks.
	lastOwnPart uint64
}

// newGenerator returns a generator whose dossiers have random ranks.
func newGenerator(d Deployment, seed uint64) *generator {
	g := &generator{deployment: d, random: rand.New(rand.NewPCG(seed, 11)), dossierByRank: make([]int, d.Dossiers)}
	total := 0.0
	for rank := range d.Dossiers {
		g.dossierByRank[rank] = rank
		total += 1 / math.Pow(float64(rank+1), d.ZipfExponent)
		g.cumulativeWeights = append(g.cumulativeWeights, total)
	}
	g.random.Shuffle(len(g.dossierByRank), func(i, j int) { g.dossierByRank[i], g.dossierByRank[j] = g.dossierByRank[j], g.dossierByRank[i] })
	return g
}

// next returns the first arrival after the given time.
func (g *generator) next(after time.Duration) arrival {
	at := after + time.Duration(g.random.ExpFloat64()/g.arrivalRate(after)*float64(time.Second))
	if at-g.lastShift >= g.deployment.HotSetShiftInterval {
		g.lastShift = at
		g.shiftHotSet()
	}
	dossier := g.dossierByRank[g.randomRank()]
	a := arrival{at: at, workspace: dossier % workspaceCount}
	if g.random.IntN(3) == 0 && len(g.deployment.Regions) > 1 {
		a.region = 1
	}
	a.entry = a.region*2 + g.random.IntN(2)
	blocks := g.dossierBlocks(dossier)
	ownBlocks := g.random.IntN(maxOwnBlocks + 1)
	a.tokens = (systemPromptBlocks+blocks+ownBlocks)*chainer.BlockTokens + g.random.IntN(chainer.BlockTokens)
	a.chain = g.promptChain(a.workspace, dossier, blocks, ownBlocks)
	return a
}

// arrivalRate returns the arrival rate at a time, in requests a second. Between bursts
// it is so low that the mean is the deployment's.
func (g *generator) arrivalRate(at time.Duration) float64 {
	burstShare := float64(burstDuration) / float64(burstInterval)
	betweenBursts := g.deployment.RequestsPerSecond * (1 - burstShare*burstFactor) / (1 - burstShare)
	if at%burstInterval < burstDuration {
		return g.deployment.RequestsPerSecond * burstFactor
	}
	return betweenBursts
}

// randomRank returns a rank by the Zipf distribution.
func (g *generator) randomRank() int {
	x := g.random.Float64() * g.cumulativeWeights[len(g.cumulativeWeights)-1]
	for rank, weight := range g.cumulativeWeights {
		if x <= weight {
			return rank
		}
	}
	return len(g.cumulativeWeights) - 1
}

// shiftHotSet replaces some of the most requested dossiers. It swaps a random rank of
// the top fifth with any random rank, a tenth as many times as there are dossiers.
func (g *generator) shiftHotSet() {
	for range len(g.dossierByRank) / 10 {
		i, j := g.random.IntN(len(g.dossierByRank)/5+1), g.random.IntN(len(g.dossierByRank))
		g.dossierByRank[i], g.dossierByRank[j] = g.dossierByRank[j], g.dossierByRank[i]
	}
}

// dossierBlocks returns the size of a dossier, from half the mean to one and a half
// times the mean.
func (g *generator) dossierBlocks(dossier int) int {
	mean := g.deployment.DossierBlocks
	return mean/2 + dossier*7919%(mean+1)
}

// promptChain returns the block hashes of a new prompt: system prompt, dossier and the
// request's own part.
func (g *generator) promptChain(workspace, dossier, blocks, ownBlocks int) []chainer.Hash {
	var chain []chainer.Hash
	for i := range systemPromptBlocks {
		chain = append(chain, blockHash(1, uint64(workspace), uint64(i)))
	}
	for i := range blocks {
		chain = append(chain, blockHash(2, uint64(dossier), uint64(i)))
	}
	g.lastOwnPart++
	for i := range ownBlocks {
		chain = append(chain, blockHash(3, g.lastOwnPart, uint64(i)))
	}
	return chain
}

// blockHash mixes its arguments into a hash of which every byte depends on all of them.
func blockHash(kind, a, b uint64) chainer.Hash {
	var hash chainer.Hash
	x := kind*0x9e3779b97f4a7c15 ^ a*0xbf58476d1ce4e5b9 ^ b*0x94d049bb133111eb
	for i := range 2 {
		x ^= x >> 30
		x *= 0xbf58476d1ce4e5b9
		x ^= x >> 27
		x *= 0x94d049bb133111eb
		x ^= x >> 31
		binary.LittleEndian.PutUint64(hash[8*i:], x)
	}
	return hash
}
