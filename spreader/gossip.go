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

// SyncState is one message of an exchange, or the answer to one. The first message
// holds only the digest. If the digests differ, the answer lists the revisions of
// the answering daemon; a second message and its answer then bring both sides the
// documents that they lack.
type SyncState struct {
	// Digest is the digest of the sender's snapshot.
	Digest uint64
	// Full is set if Revisions lists everything that the sender holds, so that
	// the receiver can tell what the sender lacks.
	Full bool
	// Revisions holds the sender's revision number of every service.
	Revisions map[string]uint64
	// Documents are revisions that the receiver lacks.
	Documents []Document
	// Watcher is the sender's address if the store has just responded to its watch, "" otherwise.
	Watcher string
}

// Options are the intervals, timeouts and counts of the gossip. ExchangeInterval, WatchRetryInterval and
// StandbyRetryInterval are upper bounds: each wait is a random time between half of the interval and all of it.
type Options struct {
	// ExchangeInterval is the time between two periodic exchanges that a daemon
	// starts.
	ExchangeInterval time.Duration
	// Neighbours is the number of peers that a daemon exchanges with, both
	// periodically and at once when it receives something new. Links to them stay
	// open.
	Neighbours int
	// RotationInterval is the time after which a daemon chooses other neighbours.
	RotationInterval time.Duration
	// ExchangeTimeout bounds the wait for one answer of a peer.
	ExchangeTimeout time.Duration
	// WatchCandidates is the number of daemons in each region of which one watches the store.
	WatchCandidates int
	// WatchTimeout is how long one watch call waits for a change.
	WatchTimeout time.Duration
	// WatchValidity is how long a daemon counts as an active watcher after a response of the store. It exceeds
	// WatchTimeout.
	WatchValidity time.Duration
	// TakeoverDelay is the time between the calls of successive candidates that take over from a watcher.
	TakeoverDelay time.Duration
	// WatchRetryInterval is the wait of the lowest-ranked candidate after a failed watch, and the interval at which other
	// daemons check whether they have become candidates. StandbyRetryInterval is the wait of the remaining candidates.
	WatchRetryInterval, StandbyRetryInterval time.Duration
}

// DefaultOptions bring an accepted revision to every daemon within four seconds,
// with a margin for one lost round of exchanges.
var DefaultOptions = Options{
	ExchangeInterval:     time.Second,
	Neighbours:           4,
	RotationInterval:     time.Minute,
	ExchangeTimeout:      400 * time.Millisecond,
	WatchCandidates:      6,
	WatchTimeout:         1700 * time.Millisecond,
	WatchValidity:        2 * time.Second,
	TakeoverDelay:        50 * time.Millisecond,
	WatchRetryInterval:   time.Second,
	StandbyRetryInterval: 3 * time.Second,
}

// LeafOptions are for daemons that are notified of changes by others, and start
// exchanges of their own only to make up for lost notifications.
var LeafOptions = Options{
	ExchangeInterval:   2 * time.Minute,
	Neighbours:         1,
	RotationInterval:   time.Minute,
	ExchangeTimeout:    time.Second,
	WatchRetryInterval: time.Second,
}

// Peers gives a daemon the addresses of the other daemons and a way to call them.
type Peers struct {
	// Self is this daemon's address.
	Self string
	// All returns the addresses of all daemons that take part in the gossip. It may
	// include this daemon.
	All func() []string
	// SameRegion returns the addresses of the daemons in this daemon's region,
	// itself included.
	SameRegion func() []string
	// Exchange sends a message to a peer and returns its answer.
	Exchange func(ctx context.Context, peer string, state SyncState) (SyncState, error)
}

// Source tells where in the store the revisions are and how to read them.
type Source struct {
	// Store is not watched if its Watch is nil.
	Store keeper.Store
	// Prefix is the common prefix of the keys of the entries.
	Prefix string
	// Parse returns the document in an entry.
	Parse func(entry keeper.Entry) (Document, error)
}

// Gossip keeps the revision table of one daemon in step with those of its peers
// and with the store.
type Gossip[T any] struct {
	table   *RevisionTable[T]
	clock   timekeeper.Clock
	random  func() uint64
	peers   Peers
	source  Source
	options Options
	// reportError is called with errors of exchanges, and of entries and documents
	// that cannot be parsed or decoded.
	reportError func(err error)
	cancel      context.CancelFunc
	// done counts the goroutines started by start.
	done sync.WaitGroup

	// exchanges counts the exchanges started, and storeReads the watch calls to the
	// store.
	exchanges  atomic.Uint64
	storeReads atomic.Uint64

	startedAt time.Time

	// mu guards the fields below.
	mu sync.Mutex
	// respondedAt holds, by address, when each watcher of this region last reported a response of the store.
	respondedAt map[string]time.Time
	// neighbours holds the peers that this daemon exchanges with, chosen at
	// neighboursChosenAt.
	neighbours         []string
	neighboursChosenAt time.Time
	// neighbourTurn counts the periodic exchanges, which take the neighbours in
	// turn.
	neighbourTurn int
	// unreachable holds the peers whose last exchange failed, with the time of the
	// failure.
	unreachable map[string]time.Time
}

// NewGossip starts the gossip of one daemon. Close ends its goroutines. random must
// be safe for concurrent use.
func NewGossip[T any](table *RevisionTable[T], clock timekeeper.Clock, random func() uint64, peers Peers, source Source, options Options, reportError func(error)) *Gossip[T] {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gossip[T]{
		table: table, clock: clock, random: random, peers: peers, source: source,
		options: options, reportError: reportError, cancel: cancel, unreachable: make(map[string]time.Time),
		respondedAt: make(map[string]time.Time), startedAt: clock.Now(),
	}
	g.start(func() { g.exchangeLoop(ctx) })
	g.start(func() { g.pushLoop(ctx) })
	if source.Store.Watch != nil {
		g.start(func() { g.watchLoop(ctx) })
	}
	return g
}

// start calls run in a goroutine that Close waits for.
func (g *Gossip[T]) start(run func()) {
	g.done.Add(1)
	go func() {
		defer g.done.Done()
		run()
	}()
}

// Close ends the gossip and waits for its goroutines.
func (g *Gossip[T]) Close() {
	g.cancel()
	g.done.Wait()
}

// Exchanges returns the number of exchanges started.
func (g *Gossip[T]) Exchanges() uint64 { return g.exchanges.Load() }

// StoreReads returns the number of calls made to the store.
func (g *Gossip[T]) StoreReads() uint64 { return g.storeReads.Load() }

// Answer applies the documents in a peer's message and returns the answer to it.
func (g *Gossip[T]) Answer(state SyncState) SyncState {
	if state.Watcher != "" {
		g.recordResponse(state.Watcher)
	}
	g.applyDocuments(state.Documents)
	snapshot := g.table.Snapshot()
	answer := SyncState{Digest: snapshot.Digest()}
	if state.Digest == answer.Digest {
		return answer
	}
	answer.Revisions = snapshot.Revisions()
	if state.Full {
		answer.Documents = missingDocuments(snapshot, state.Revisions)
	}
	return answer
}

// Exchange brings the tables of this daemon and one peer to the same revisions.
func (g *Gossip[T]) Exchange(ctx context.Context, peer string) error {
	return g.exchange(ctx, peer, "")
}

// exchange implements Exchange. watcher is the Watcher of the first message.
func (g *Gossip[T]) exchange(ctx context.Context, peer, watcher string) error {
	g.exchanges.Add(1)
	snapshot := g.table.Snapshot()
	answer, err := g.roundTrip(ctx, peer, SyncState{Digest: snapshot.Digest(), Watcher: watcher})
	g.recordResult(peer, err)
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
		Documents: missingDocuments(snapshot, answer.Revisions),
	}
	answer, err = g.roundTrip(ctx, peer, next)
	if err != nil {
		return fmt.Errorf("exchange documents with %s: %w", peer, err)
	}
	g.applyDocuments(answer.Documents)
	return nil
}

// roundTrip sends one message to a peer and waits for the answer.
func (g *Gossip[T]) roundTrip(ctx context.Context, peer string, state SyncState) (SyncState, error) {
	ctx, cancel := context.WithTimeout(ctx, g.options.ExchangeTimeout)
	defer cancel()
	return g.peers.Exchange(ctx, peer, state)
}

// recordResult marks a peer as reachable or unreachable after an exchange. An
// unreachable peer is dropped from the neighbours.
func (g *Gossip[T]) recordResult(peer string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		delete(g.unreachable, peer)
		return
	}
	g.unreachable[peer] = g.clock.Now()
	g.neighbours = slices.DeleteFunc(g.neighbours, func(n string) bool { return n == peer })
}

// applyDocuments offers the received documents to the table.
func (g *Gossip[T]) applyDocuments(received []Document) {
	for _, document := range received {
		text, ok := document.wholeText(g.table.Snapshot().textOf(document.Service, document.Base))
		if !ok {
			// The base is not held here. The next exchange tells the peer which
			// revision is held, and it sends the whole text.
			continue
		}
		if _, err := g.table.Offer(document.Service, document.Revision, text); err != nil {
			g.reportError(err)
		}
	}
}

// jitter returns a random duration between half of d and d.
func (g *Gossip[T]) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(g.random()%uint64(d/2+1))
}

// sleep waits for d, and returns false if ctx ends first.
func (g *Gossip[T]) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-g.clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// Random returns a seeded source of random numbers for NewGossip that is safe for
// concurrent use.
func Random(seed uint64) func() uint64 {
	var mu sync.Mutex
	source := rand.New(rand.NewPCG(seed, 2))
	return func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return source.Uint64()
	}
}
