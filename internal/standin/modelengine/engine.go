package modelengine

import (
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/chainer"
	"github.com/cyclamenward/cyclamenward/peer/engine"
	"github.com/google/uuid"
	"github.com/zeebo/blake3"
	"github.com/zeebo/xxh3"
)

// Settings describe one engine.
type Settings struct {
	Model string `json:"model"`
	// WeightsVersion is served at the start and after each crash.
	WeightsVersion string `json:"weightsVersion"`
	// PrefillTokensPerSecond is the speed of prompt computation.
	PrefillTokensPerSecond int
	// TokenInterval is the time between two tokens of a stream.
	TokenInterval time.Duration
	// CacheBlocks is the size of the cache.
	CacheBlocks int
	// LoadTime is the time to load weights.
	LoadTime time.Duration
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// Seed makes random faults repeatable.
	Seed uint64
}

// Faults switches misbehaviour on. The zero value is a healthy engine.
type Faults struct {
	// Crash ends all streams, empties the cache and starts a new incarnation.
	Crash bool `json:"crash,omitempty"`
	// CrashAfterTokens crashes the engine once that many tokens were sent.
	CrashAfterTokens int `json:"crashAfterTokens,omitempty"`
	// LostEvents is the share of cache events that are never published, 0 to 1.
	LostEvents float64 `json:"lostEvents,omitempty"`
	// LoadLag delays the reported load.
	LoadLag time.Duration `json:"loadLagNanoseconds,omitempty"`
	// HangStreams makes running streams stop without an end.
	HangStreams bool `json:"silent,omitempty"`
}

// Errors of an engine's functions.
var (
	errRefused = errors.New("refused")
	errCrashed = errors.New("crashed")
)

// Engine is one engine. It is safe for concurrent use.
type Engine struct {
	settings Settings

	// mu guards the fields below.
	mu          sync.Mutex
	random      *rand.Rand
	faults      Faults
	incarnation string
	// crashed is closed when the incarnation ends.
	crashed chan struct{}
	version string
	loading bool
	fence   uint64
	cache   *cache
	running int
	backlog int
	// freeAt is when the prompts accepted so far will be computed.
	freeAt time.Time
	// sent counts tokens since the faults were set.
	sent int
	// orders holds the versions whose loads were ordered.
	orders []string
}

// New returns an engine with an empty cache.
func New(settings Settings) *Engine {
	e := &Engine{settings: settings, random: rand.New(rand.NewPCG(settings.Seed, 3))}
	e.restart()
	return e
}

// restart begins a new incarnation. The caller holds mu or owns the engine.
func (e *Engine) restart() {
	if e.crashed != nil {
		close(e.crashed)
	}
	e.crashed = make(chan struct{})
	e.incarnation = uuid.NewString()
	e.version = e.settings.WeightsVersion
	e.loading = false
	e.cache = newCache(e.settings.CacheBlocks)
	e.running, e.backlog, e.freeAt, e.sent = 0, 0, time.Time{}, 0
}

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	crash := faults.Crash
	faults.Crash = false
	e.faults = faults
	e.sent = 0
	if crash {
		e.restart()
	}
}

// State returns the engine's report.
func (e *Engine) State() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.State{
		Incarnation: e.incarnation, Model: e.settings.Model, WeightsVersion: e.version, Loading: e.loading,
		Running: e.running, BacklogTokens: e.backlog,
	}
}

// OrderedVersions returns the versions whose loads were ordered.
func (e *Engine) OrderedVersions() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.orders...)
}

// OrderLoad loads other weights; the cache is emptied.
func (e *Engine) OrderLoad(order engine.LoadOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.ChecksFencing && order.FencingToken < e.fence {
		return errRefused
	}
	e.fence = max(e.fence, order.FencingToken)
	if e.loading {
		return errRefused
	}
	e.loading = true
	e.orders = append(e.orders, order.WeightsVersion)
	crashed := e.crashed
	time.AfterFunc(e.settings.LoadTime, func() { e.loaded(order.WeightsVersion, crashed) })
	return nil
}

func (e *Engine) loaded(version string, crashed chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed != crashed {
		return
	}
	e.loading = false
	e.version = version
	e.cache.store(nil)
	sequence := e.cache.sequence
	old := e.cache
	e.cache = newCache(e.settings.CacheBlocks)
	e.cache.sequence, e.cache.events = sequence, old.events
	for block := range old.blocks {
		e.cache.emit(block, true)
	}
}

// Events returns cache events, some of them lost if that fault is on.
func (e *Engine) Events(incarnation string, after uint64, whole bool) engine.CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	events, ok := e.cache.after(after)
	if whole || !ok || incarnation != e.incarnation {
		return engine.CacheEvents{Incarnation: e.incarnation, Complete: true, Blocks: e.cache.names(), Sequence: e.cache.sequence}
	}
	result := engine.CacheEvents{Incarnation: e.incarnation, Sequence: e.cache.sequence}
	for _, event := range events {
		if e.random.Float64() >= e.faults.LostEvents {
			result.Events = append(result.Events, event)
		}
	}
	return result
}

// admission is one accepted request.
type admission struct {
	cached      int
	version     string
	incarnation string
	crashed     chan struct{}
	// readyAt is when the prompt will be computed.
	readyAt time.Time
	chain   []chainer.Hash
	work    int
}

func (e *Engine) admit(g *engine.GenerateRequest) (*admission, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loading || g.WeightsVersion != e.version || (g.Incarnation != "" && g.Incarnation != e.incarnation) {
		return nil, errRefused
	}
	chain, err := chainOf(g)
	if err != nil {
		return nil, err
	}
	a := &admission{version: e.version, incarnation: e.incarnation, crashed: e.crashed, chain: chain}
	a.cached = e.cache.depth(chain)
	a.work = max(1, chainer.EstimateTokens(len(g.Prompt))-a.cached*chainer.BlockTokens)
	now := time.Now()
	if e.freeAt.Before(now) {
		e.freeAt = now
	}
	e.freeAt = e.freeAt.Add(time.Duration(float64(a.work) / float64(e.settings.PrefillTokensPerSecond) * float64(time.Second)))
	a.readyAt = e.freeAt
	e.backlog += a.work
	e.running++
	return a, nil
}

// chainOf names the prompt's blocks under the request's cache salt.
func chainOf(g *engine.GenerateRequest) ([]chainer.Hash, error) {
	raw, err := hex.DecodeString(g.CacheSalt)
	if err != nil || len(raw) != len(chainer.Hash{}) {
		return nil, fmt.Errorf("bad cache salt: %w", errRefused)
	}
	previous := chainer.Hash(raw)
	var chain []chainer.Hash
	for prompt := g.Prompt; len(prompt) >= chainer.BlockBytes; prompt = prompt[chainer.BlockBytes:] {
		digest := blake3.Sum256(append(previous[:len(previous):len(previous)], prompt[:chainer.BlockBytes]...))
		previous = chainer.Hash(digest[:16])
		chain = append(chain, previous)
	}
	return chain, nil
}

// prefilled records that the prompt was computed.
func (e *Engine) prefilled(a *admission) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed != a.crashed || e.version != a.version {
		return
	}
	e.backlog -= a.work
	e.cache.store(a.chain)
}

func (e *Engine) ended(a *admission) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed == a.crashed {
		e.running--
	}
}

// countToken counts one sent token and crashes the engine if that is due.
func (e *Engine) countToken() (silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent++
	if e.faults.CrashAfterTokens > 0 && e.sent >= e.faults.CrashAfterTokens {
		e.faults.CrashAfterTokens = 0
		e.restart()
	}
	return e.faults.HangStreams
}

// Generate runs a request and emits its events.
func (e *Engine) Generate(g *engine.GenerateRequest, emit func(engine.Event) error) error {
	a, err := e.admit(g)
	if err != nil {
		return err
	}
	defer e.ended(a)
	first := engine.Event{Type: "admitted", RequestID: g.RequestID, CachedBlocks: a.cached, Incarnation: a.incarnation, WeightsVersion: a.version}
	if err := emit(first); err != nil {
		return err
	}
	if err := a.wait(time.Until(a.readyAt)); err != nil {
		return err
	}
	e.prefilled(a)
	for i := g.FirstTokenIndex; i < g.MaxTokens; i++ {
		if i > g.FirstTokenIndex {
			if err := a.wait(e.settings.TokenInterval); err != nil {
				return err
			}
		}
		event := engine.Event{Type: "token", RequestID: g.RequestID, Index: i, Text: TokenText(g.Prompt, a.version, i)}
		if err := emit(event); err != nil {
			return err
		}
		if e.countToken() {
			<-a.crashed
		}
	}
	return emit(engine.Event{Type: "end", RequestID: g.RequestID, Index: max(g.FirstTokenIndex, g.MaxTokens)})
}

// wait returns after d, or with an error if the engine crashes before.
func (a *admission) wait(d time.Duration) error {
	timer := time.NewTimer(max(0, d))
	defer timer.Stop()
	select {
	case <-a.crashed:
		return errCrashed
	case <-timer.C:
		select {
		case <-a.crashed:
			return errCrashed
		default:
			return nil
		}
	}
}

// TokenText is the token that any engine generates at an index, so that a
// checker can tell whether an answer is whole and its own.
func TokenText(prompt []byte, version string, index int) string {
	return fmt.Sprintf("%s-%08x-%d ", version, uint32(xxh3.Hash(prompt)), index)
}
