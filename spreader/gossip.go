package spreader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/cyclamenward/cyclamenward/timekeeper"
)

// SyncState is one side of an exchange. The first message of an exchange holds only
// the digest; the rest follows if the digests differ.
type SyncState struct {
	Digest uint64
	// Full is set if Revisions lists everything that the sender holds, so that
	// the receiver can tell what it lacks.
	Full      bool
	Revisions map[string]uint64
	Documents []Document
}

// Options are the times and counts of the spreading.
type Options struct {
	// ExchangeInterval is the time between two exchanges started by a daemon at rest.
	ExchangeInterval time.Duration
	// Neighbours is the number of peers that a daemon keeps to. They are notified at
	// once when something new arrives, and links to them stay open.
	Neighbours int
	// RotationInterval is the time after which other neighbours are chosen.
	RotationInterval time.Duration
	// ExchangeTimeout bounds the wait for one answer of a peer.
	ExchangeTimeout time.Duration
	// WatchersPerRegion is the number of daemons that watch the store per region.
	WatchersPerRegion int
	// WatchTimeout is how long one watch waits.
	WatchTimeout time.Duration
	// WatchRetryInterval is the longest wait after a failed watch, reached at random.
	WatchRetryInterval time.Duration
}

// DefaultOptions meet the four seconds with a margin for one lost round.
var DefaultOptions = Options{
	ExchangeInterval:   time.Second,
	Neighbours:         4,
	RotationInterval:   time.Minute,
	ExchangeTimeout:    400 * time.Millisecond,
	WatchersPerRegion:  3,
	WatchTimeout:       30 * time.Second,
	WatchRetryInterval: time.Second,
}

// LeafOptions are for daemons that are notified of changes by others, and exchange
// on their own only to make up for what was lost.
var LeafOptions = Options{
	ExchangeInterval:   2 * time.Minute,
	Neighbours:         1,
	RotationInterval:   time.Minute,
	ExchangeTimeout:    time.Second,
	WatchRetryInterval: time.Second,
}

// Peers are the other daemons as one daemon knows them.
type Peers struct {
	// Self is this daemon's address.
	Self string
	// All returns the addresses that take part in the spreading.
	All func() []string
	// SameRegion returns the addresses of this daemon's region, itself included.
	SameRegion func() []string
	// Exchange sends a state to a peer and returns its answer.
	Exchange func(ctx context.Context, peer string, state SyncState) (SyncState, error)
}

// Source is the store as the spreading reads it.
type Source struct {
	Store keeper.Store
	// Prefix is where the entries are.
	Prefix string
	// Parse returns the document in an entry.
	Parse func(entry keeper.Entry) (Document, error)
}

// Gossip spreads the revisions of one book.
type Gossip[T any] struct {
	book    *RevisionTable[T]
	clock   timekeeper.Clock
	random  func() uint64
	peers   Peers
	source  Source
	options Options
	// report receives documents that cannot be taken.
	report func(err error)
	cancel context.CancelFunc
	done   sync.WaitGroup

	exchanges atomic.Uint64
	reads     atomic.Uint64

	// mu guards the fields below.
	mu sync.Mutex
	// neighbours holds the peers that this daemon keeps to, chosen at chosen.
	neighbours []string
	chosen     time.Time
	// turn counts the exchanges at rest.
	turn int
	// silent holds when an exchange with a peer last failed, until one succeeds.
	silent map[string]time.Time
}

// NewGossip starts to spread. Close ends its goroutines. random must be safe
// for concurrent use.
func NewGossip[T any](book *RevisionTable[T], clock timekeeper.Clock, random func() uint64, peers Peers, source Source, options Options, report func(error)) *Gossip[T] {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gossip[T]{
		book: book, clock: clock, random: random, peers: peers, source: source,
		options: options, report: report, cancel: cancel, silent: make(map[string]time.Time),
	}
	g.start(func() { g.exchangeLoop(ctx) })
	g.start(func() { g.pushLoop(ctx) })
	if source.Store.Watch != nil {
		g.start(func() { g.watchLoop(ctx) })
	}
	return g
}

func (g *Gossip[T]) start(loop func()) {
	g.done.Add(1)
	go func() {
		defer g.done.Done()
		loop()
	}()
}

// Close ends the spreading.
func (g *Gossip[T]) Close() {
	g.cancel()
	g.done.Wait()
}

// Exchanges returns the number of exchanges started.
func (g *Gossip[T]) Exchanges() uint64 { return g.exchanges.Load() }

// StoreReads returns the number of calls made to the store.
func (g *Gossip[T]) StoreReads() uint64 { return g.reads.Load() }

// Answer is what a peer's exchange gets.
func (g *Gossip[T]) Answer(state SyncState) SyncState {
	g.take(state.Documents)
	snapshot := g.book.Snapshot()
	answer := SyncState{Digest: snapshot.Digest()}
	if state.Digest == answer.Digest {
		return answer
	}
	answer.Revisions = snapshot.Revisions()
	if state.Full {
		answer.Documents = documents(snapshot, state.Revisions)
	}
	return answer
}

// Exchange makes the books of this daemon and one peer equal.
func (g *Gossip[T]) Exchange(ctx context.Context, peer string) error {
	g.exchanges.Add(1)
	snapshot := g.book.Snapshot()
	answer, err := g.ask(ctx, peer, SyncState{Digest: snapshot.Digest()})
	g.note(peer, err)
	if err != nil {
		return fmt.Errorf("exchange with %s: %w", peer, err)
	}
	if answer.Digest == snapshot.Digest() {
		return nil
	}
	next := SyncState{
		Digest:    snapshot.Digest(),
		Full:      true,
		Revisions: snapshot.Revisions(),
		Documents: documents(snapshot, answer.Revisions),
	}
	answer, err = g.ask(ctx, peer, next)
	if err != nil {
		return fmt.Errorf("exchange documents with %s: %w", peer, err)
	}
	g.take(answer.Documents)
	return nil
}

// ask sends one message and waits for its answer.
func (g *Gossip[T]) ask(ctx context.Context, peer string, state SyncState) (SyncState, error) {
	ctx, cancel := context.WithTimeout(ctx, g.options.ExchangeTimeout)
	defer cancel()
	return g.peers.Exchange(ctx, peer, state)
}

func (g *Gossip[T]) note(peer string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		delete(g.silent, peer)
		return
	}
	g.silent[peer] = g.clock.Now()
	g.neighbours = slices.DeleteFunc(g.neighbours, func(n string) bool { return n == peer })
}

func (g *Gossip[T]) take(offered []Document) {
	for _, document := range offered {
		text, ok := document.text(g.book.Snapshot().textOf(document.Service, document.Base))
		if !ok {
			// The base is not held here; the next exchange brings the whole text.
			continue
		}
		if _, err := g.book.Offer(document.Service, document.Revision, text); err != nil {
			g.report(err)
		}
	}
}

// jitter returns a random duration between half of d and d.
func (g *Gossip[T]) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(g.random()%uint64(d/2+1))
}

func (g *Gossip[T]) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-g.clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// Random returns a source of random numbers for NewGossip.
func Random(seed uint64) func() uint64 {
	var mu sync.Mutex
	source := rand.New(rand.NewPCG(seed, 2))
	return func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return source.Uint64()
	}
}
