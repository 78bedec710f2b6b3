// Package measurer runs the product's decision code before small fakes of model
// engines, in virtual time, and compares it with baselines on the same seeded
// workload. It is no cluster simulator: an engine is a queue, a prefill speed and
// a cache; a network is a delay and a metered link.
package measurer

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cyclamenward/cyclamenward/chainer"
)

// Deployment describes one of the users' deployments and its workload.
type Deployment struct {
	Name string
	// Regions holds the zones of each region; Replicas is spread over the zones.
	Regions  [][]string
	Replicas int
	// ZoneDelay and RegionDelay are one way; CallerDelay is to the entry.
	ZoneDelay, RegionDelay, CallerDelay time.Duration
	// LinkBytesPerSecond is the link between the regions, each way.
	LinkBytesPerSecond float64
	// PrefillTokensPerSecond is the speed of one replica.
	PrefillTokensPerSecond float64
	// CacheBlocks is the cache of one replica.
	CacheBlocks int
	// ReuseWeight is model.reuseWeight of the deployment's document.
	ReuseWeight float64
	// RequestsPerSecond is the mean number of requests a second.
	RequestsPerSecond float64
	// Dossiers is the number of second-level prefixes; DossierBlocks their mean size.
	Dossiers, DossierBlocks int
	// ZipfExponent is the exponent of the Zipf law by which dossiers are asked for.
	ZipfExponent float64
	// HotSetShiftInterval is the time between two shifts of the hot set.
	HotSetShiftInterval time.Duration
	// Deadline is the time within which a request must have its first token.
	Deadline time.Duration
}

// LoneStar is the timing company: short dossiers, many questions, tail latency.
func LoneStar() Deployment {
	return Deployment{
		Name: "Lone Star", Regions: [][]string{{"austin-a", "waco-b"}, {"houston-a"}}, Replicas: 12,
		ZoneDelay: 2 * time.Millisecond, RegionDelay: 20 * time.Millisecond, CallerDelay: time.Millisecond,
		LinkBytesPerSecond: 30e6 / 8, PrefillTokensPerSecond: 8000, CacheBlocks: 160,
		ReuseWeight: 6, RequestsPerSecond: 10, Dossiers: 300, DossierBlocks: 10, ZipfExponent: 1, HotSetShiftInterval: time.Minute, Deadline: 10 * time.Second,
	}
}

// Rogeri is the order desk: long dossiers, few of them, hit rate and link volume.
func Rogeri() Deployment {
	return Deployment{
		Name: "Røgeri", Regions: [][]string{{"aalborg-a", "aarhus-b"}, {"odense-a"}}, Replicas: 12,
		ZoneDelay: 500 * time.Microsecond, RegionDelay: 20 * time.Millisecond, CallerDelay: 3 * time.Millisecond,
		LinkBytesPerSecond: 30e6 / 8, PrefillTokensPerSecond: 8000, CacheBlocks: 400,
		ReuseWeight: 8, RequestsPerSecond: 4, Dossiers: 80, DossierBlocks: 40, ZipfExponent: 0.9, HotSetShiftInterval: time.Minute, Deadline: 20 * time.Second,
	}
}

const (
	workspaces = 8
	// systemBlocks is the size of a workspace's first-level prefix.
	systemBlocks = 3
	// turnBlocks is the largest number of whole blocks in a request's own part.
	turnBlocks = 2
	// burstPeriod and burstLength shape the arrivals; the rate in a burst is
	// burstFactor times the mean.
	burstPeriod = 20 * time.Second
	burstLength = 2 * time.Second
	burstFactor = 2.5
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

// generator makes the workload of one seed.
type generator struct {
	deployment Deployment
	random     *rand.Rand
	// weights is the cumulative Zipf law; order maps ranks to dossiers.
	weights []float64
	order   []int
	shifted time.Duration
	nextOwn uint64
}

func newGenerator(d Deployment, seed uint64) *generator {
	g := &generator{deployment: d, random: rand.New(rand.NewPCG(seed, 11)), order: make([]int, d.Dossiers)}
	total := 0.0
	for rank := range d.Dossiers {
		g.order[rank] = rank
		total += 1 / math.Pow(float64(rank+1), d.ZipfExponent)
		g.weights = append(g.weights, total)
	}
	g.random.Shuffle(len(g.order), func(i, j int) { g.order[i], g.order[j] = g.order[j], g.order[i] })
	return g
}

// next returns the arrival after the given time.
func (g *generator) next(after time.Duration) arrival {
	at := after + time.Duration(g.random.ExpFloat64()/g.rate(after)*float64(time.Second))
	if at-g.shifted >= g.deployment.HotSetShiftInterval {
		g.shifted = at
		g.shift()
	}
	dossier := g.order[g.rank()]
	a := arrival{at: at, workspace: dossier % workspaces}
	if g.random.IntN(3) == 0 && len(g.deployment.Regions) > 1 {
		a.region = 1
	}
	a.entry = a.region*2 + g.random.IntN(2)
	blocks := g.dossierBlocks(dossier)
	own := g.random.IntN(turnBlocks + 1)
	a.tokens = (systemBlocks+blocks+own)*chainer.BlockTokens + g.random.IntN(chainer.BlockTokens)
	a.chain = g.chain(a.workspace, dossier, blocks, own)
	return a
}

// rate is the arrival rate at a time, with the mean as given.
func (g *generator) rate(at time.Duration) float64 {
	share := float64(burstLength) / float64(burstPeriod)
	calm := g.deployment.RequestsPerSecond * (1 - share*burstFactor) / (1 - share)
	if at%burstPeriod < burstLength {
		return g.deployment.RequestsPerSecond * burstFactor
	}
	return calm
}

func (g *generator) rank() int {
	x := g.random.Float64() * g.weights[len(g.weights)-1]
	for rank, weight := range g.weights {
		if x <= weight {
			return rank
		}
	}
	return len(g.weights) - 1
}

// shift makes other dossiers hot.
func (g *generator) shift() {
	for range len(g.order) / 10 {
		i, j := g.random.IntN(len(g.order)/5+1), g.random.IntN(len(g.order))
		g.order[i], g.order[j] = g.order[j], g.order[i]
	}
}

// dossierBlocks is the size of a dossier, half to one and a half of the mean.
func (g *generator) dossierBlocks(dossier int) int {
	mean := g.deployment.DossierBlocks
	return mean/2 + dossier*7919%(mean+1)
}

// chain names the blocks of system prompt, dossier and the request's own part.
func (g *generator) chain(workspace, dossier, blocks, own int) []chainer.Hash {
	var chain []chainer.Hash
	for i := range systemBlocks {
		chain = append(chain, block(1, uint64(workspace), uint64(i)))
	}
	for i := range blocks {
		chain = append(chain, block(2, uint64(dossier), uint64(i)))
	}
	g.nextOwn++
	for i := range own {
		chain = append(chain, block(3, g.nextOwn, uint64(i)))
	}
	return chain
}

// block makes a hash that differs in every byte between different arguments.
func block(kind, a, b uint64) chainer.Hash {
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
