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
	// PrefillTokensPerSecond is the prefill rate.
	PrefillTokensPerSecond int
	// TokenInterval is the time between two tokens of a stream.
	TokenInterval time.Duration
	// CacheBlocks is the size of the cache in blocks.
	CacheBlocks int
	// LoadTime is the time to load weights.
	LoadTime time.Duration
	// ChecksFencing makes the engine refuse orders whose fencing token is lower than one
	// that it has seen.
	ChecksFencing bool
	// Seed determines the random faults.
	Seed uint64
}

// Faults are the faults that the engine shows. The zero value is a healthy engine.
type Faults struct {
	// Crash ends all streams, empties the cache and starts a new incarnation.
	Crash bool `json:"crash,omitempty"`
	// CrashAfterTokens crashes the engine once it has sent that many tokens since the
	// faults were set.
	CrashAfterTokens int `json:"crashAfterTokens,omitempty"`
	// LostEvents is the share of cache events that are never published, 0 to 1.
	LostEvents float64 `json:"lostEvents,omitempty"`
	// LoadLag is meant to delay the reported load, but State does not apply it.
	LoadLag time.Duration `json:"loadLagNanoseconds,omitempty"`
	// HangStreams makes streams send nothing more after the next token, without ending.
	HangStreams bool `json:"silent,omitempty"`
}

// Errors that end a request: the engine did not accept it, or crashed.
var (
	errRefused = errors.New("refused")
	errCrashed = errors.New("crashed")
)

// Engine simulates one model engine. It is safe for concurrent use.
type Engine struct {
	settings Settings

	// mu guards the fields below.
	mu          sync.Mutex
	random      *rand.Rand
	faults      Faults
	incarnation string
	// crashed is closed when the incarnation ends.
	crashed        chan struct{}
	weightsVersion string
	loading        bool
	fencingToken   uint64
	cache          *cache
	running        int
	backlogTokens  int
	// prefillFreeAt is when the prefill of all prompts accepted so far will be done.
	prefillFreeAt time.Time
	// sentTokens counts tokens since the faults were set.
	sentTokens int
	// orderedVersions holds the weights versions of the accepted load orders.
	orderedVersions []string
}

// New returns an engine that serves the weights version of the settings, with an empty
// cache.
func New(settings Settings) *Engine {
	e := &Engine{settings: settings, random: rand.New(rand.NewPCG(settings.Seed, 3))}
	e.startIncarnation()
	return e
}

// startIncarnation ends the present incarnation, if there is one, as a crash does, and
// begins a new one. The caller holds mu or has the only reference to the engine.
func (e *Engine) startIncarnation() {
	if e.crashed != nil {
		close(e.crashed)
	}
	e.crashed = make(chan struct{})
	e.incarnation = uuid.NewString()
	e.weightsVersion = e.settings.WeightsVersion
	e.loading = false
	e.cache = newCache(e.settings.CacheBlocks)
	e.running, e.backlogTokens, e.prefillFreeAt, e.sentTokens = 0, 0, time.Time{}, 0
}

// SetFaults replaces the faults in force, and crashes the engine if Crash is set.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	crash := faults.Crash
	faults.Crash = false
	e.faults = faults
	e.sentTokens = 0
	if crash {
		e.startIncarnation()
	}
}

// State returns the state that the engine reports to its sidecar.
func (e *Engine) State() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.State{
		Incarnation: e.incarnation, Model: e.settings.Model, WeightsVersion: e.weightsVersion, Loading: e.loading,
		Running: e.running, BacklogTokens: e.backlogTokens,
	}
}

// OrderedVersions returns the weights versions of the load orders accepted so far.
func (e *Engine) OrderedVersions() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.orderedVersions...)
}

// OrderLoad starts to load other weights. It refuses while a load is running and, if
// ChecksFencing is set, an order with a stale fencing token. The cache is emptied when the
// load has ended.
func (e *Engine) OrderLoad(order engine.LoadOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.ChecksFencing && order.FencingToken < e.fencingToken {
		return errRefused
	}
	e.fencingToken = max(e.fencingToken, order.FencingToken)
	if e.loading {
		return errRefused
	}
	e.loading = true
	e.orderedVersions = append(e.orderedVersions, order.WeightsVersion)
	crashed := e.crashed
	time.AfterFunc(e.settings.LoadTime, func() { e.finishLoad(order.WeightsVersion, crashed) })
	return nil
}

// finishLoad switches to the loaded weights and empties the cache, unless the engine has
// crashed since the order.
func (e *Engine) finishLoad(version string, crashed chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed != crashed {
		return
	}
	e.loading = false
	e.weightsVersion = version
	e.cache.store(nil)
	sequence := e.cache.sequence
	old := e.cache
	e.cache = newCache(e.settings.CacheBlocks)
	e.cache.sequence, e.cache.events = sequence, old.events
	for block := range old.blocks {
		e.cache.recordEvent(block, true)
	}
}

// Events returns the cache events after a sequence number, without those that the fault
// LostEvents drops. It returns the complete list of blocks instead if complete is set, if
// the events are no longer held, or if the incarnation is another one.
func (e *Engine) Events(incarnation string, after uint64, complete bool) engine.CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	events, ok := e.cache.eventsAfter(after)
	if complete || !ok || incarnation != e.incarnation {
		return engine.CacheEvents{Incarnation: e.incarnation, Complete: true, Blocks: e.cache.blockNames(), Sequence: e.cache.sequence}
	}
	result := engine.CacheEvents{Incarnation: e.incarnation, Sequence: e.cache.sequence}
	for _, event := range events {
		if e.random.Float64() >= e.faults.LostEvents {
			result.Events = append(result.Events, event)
		}
	}
	return result
}

// admission is an accepted request. Its crashed channel is that of the incarnation.
type admission struct {
	cachedBlocks   int
	weightsVersion string
	incarnation    string
	crashed        chan struct{}
	// prefilledAt is when the prefill will be done.
	prefilledAt    time.Time
	chain          []chainer.Hash
	uncachedTokens int
}

// admit accepts a request and puts its prefill behind those accepted before, or refuses
// it if the weights version or the incarnation is another one or a load is running.
func (e *Engine) admit(g *engine.GenerateRequest) (*admission, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loading || g.WeightsVersion != e.weightsVersion || (g.Incarnation != "" && g.Incarnation != e.incarnation) {
		return nil, errRefused
	}
	chain, err := chainOf(g)
	if err != nil {
		return nil, err
	}
	a := &admission{weightsVersion: e.weightsVersion, incarnation: e.incarnation, crashed: e.crashed, chain: chain}
	a.cachedBlocks = e.cache.cachedPrefix(chain)
	a.uncachedTokens = max(1, chainer.EstimateTokens(len(g.Prompt))-a.cachedBlocks*chainer.BlockTokens)
	now := time.Now()
	if e.prefillFreeAt.Before(now) {
		e.prefillFreeAt = now
	}
	e.prefillFreeAt = e.prefillFreeAt.Add(time.Duration(float64(a.uncachedTokens) / float64(e.settings.PrefillTokensPerSecond) * float64(time.Second)))
	a.prefilledAt = e.prefillFreeAt
	e.backlogTokens += a.uncachedTokens
	e.running++
	return a, nil
}

// chainOf returns the hashes of the prompt's blocks, chained from the request's cache
// salt.
func chainOf(g *engine.GenerateRequest) ([]chainer.Hash, error) {
	raw, err := hex.DecodeString(g.CacheSalt)
	if err != nil || len(raw) != len(chainer.Hash{}) {
		return nil, fmt.Errorf("invalid cache salt: %w", errRefused)
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

// finishPrefill takes a request's uncached tokens off the backlog and caches its blocks.
func (e *Engine) finishPrefill(a *admission) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed != a.crashed || e.weightsVersion != a.weightsVersion {
		return
	}
	e.backlogTokens -= a.uncachedTokens
	e.cache.store(a.chain)
}

// release takes a request that has ended off the number of running ones.
func (e *Engine) release(a *admission) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed == a.crashed {
		e.running--
	}
}

// countSentToken counts one sent token and crashes the engine if CrashAfterTokens is
// reached. It returns whether the stream must hang.
func (e *Engine) countSentToken() (hang bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sentTokens++
	if e.faults.CrashAfterTokens > 0 && e.sentTokens >= e.faults.CrashAfterTokens {
		e.faults.CrashAfterTokens = 0
		e.startIncarnation()
	}
	return e.faults.HangStreams
}

// Generate runs a request and emits its events: its admission, its tokens and its end.
func (e *Engine) Generate(g *engine.GenerateRequest, emit func(engine.Event) error) error {
	a, err := e.admit(g)
	if err != nil {
		return err
	}
	defer e.release(a)
	first := engine.Event{Type: "admitted", RequestID: g.RequestID, CachedBlocks: a.cachedBlocks, Incarnation: a.incarnation, WeightsVersion: a.weightsVersion}
	if err := emit(first); err != nil {
		return err
	}
	if err := a.wait(time.Until(a.prefilledAt)); err != nil {
		return err
	}
	e.finishPrefill(a)
	for i := g.FirstTokenIndex; i < g.MaxTokens; i++ {
		if i > g.FirstTokenIndex {
			if err := a.wait(e.settings.TokenInterval); err != nil {
				return err
			}
		}
		event := engine.Event{Type: "token", RequestID: g.RequestID, Index: i, Text: TokenText(g.Prompt, a.weightsVersion, i)}
		if err := emit(event); err != nil {
			return err
		}
		if e.countSentToken() {
			<-a.crashed
		}
	}
	return emit(engine.Event{Type: "end", RequestID: g.RequestID, Index: max(g.FirstTokenIndex, g.MaxTokens)})
}

// wait returns after d, or with an error if the engine crashes before that.
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

// TokenText returns the token that any engine generates at an index. It depends on the
// prompt and the weights version, so that a test can tell whether an answer is complete
// and belongs to the request.
func TokenText(prompt []byte, version string, index int) string {
	return fmt.Sprintf("%s-%08x-%d ", version, uint32(xxh3.Hash(prompt)), index)
}
