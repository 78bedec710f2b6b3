// Package generator is a stand-in for a model replica on the users' platform: it streams events,
// caches parts of prompts, loads weights when it is ordered to, and misbehaves if told so.
package generator

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/checker"
	"github.com/cyclamenward/cyclamenward/internal/standin/storekeeper"
)

const (
	// Slots is the default number of requests that a replica runs at once. It rejects others.
	Slots = 4
	// Events is how many events a stream has, and eventInterval the time between two.
	Events        = 40
	eventInterval = 50 * time.Millisecond
	// troubleAt is the event at which a run is preempted or reset, preemption the time until a
	// preempted request has been read in again.
	troubleAt  = 8
	preemption = 1800 * time.Millisecond
	// EventsParameter is the parameter of a query with the number of events.
	EventsParameter = "events"
	// IntervalParameter is that with the milliseconds between two events.
	IntervalParameter = "interval-ms"
	// ReadParameter is that with the milliseconds in which the prompt is read.
	ReadParameter = "read-ms"
	// loadTime is the time to load weights.
	loadTime = 390 * time.Millisecond
	// heartbeat is the interval at which the entry is written if it has changed.
	heartbeat = 1200 * time.Millisecond
	// memoryTokens is the size of the memory, runTokens what a run takes of it, and partTokens
	// what a part does.
	memoryTokens, runTokens, partTokens = 80000, 1000, 200
)

// Trouble is what goes wrong at a replica.
type Trouble int

// Troubles.
const (
	// NoTrouble lets every request run.
	NoTrouble Trouble = iota
	// Preempts preempts the last of every Slots requests once.
	Preempts
	// Resets breaks off every second stream in the middle of an event.
	Resets
	// Rejects takes no requests.
	Rejects
	// Silences keeps connections open and makes no events for as long as it lasts.
	Silences
	// Troubles is the number of troubles that are drawn.
	Troubles
	// Endless answers each call with bytes that have no end.
	Endless = Troubles
)

var troubleNames = [Troubles + 1]string{"none", "preempts", "resets", "rejects", "silences", "endless"}

func (t Trouble) String() string { return troubleNames[t] }

// Options describe a replica.
type Options struct {
	ID, IP, Service, Model, Zone string
	// Advertise returns the address under which the one at which the replica listens is reached.
	Advertise func(address string) (string, error)
	// Dedicated holds the workspaces that share no parts.
	Dedicated map[string]bool
	// Weights is the version at the start.
	Weights int
	// Slots is the number of requests that the replica runs at once.
	Slots int
}

// Group holds the replicas that can fetch parts from each other.
type Group struct {
	mu        sync.Mutex
	byAddress map[string]*Generator
}

// NewGroup returns an empty group.
func NewGroup() *Group { return &Group{byAddress: make(map[string]*Generator)} }

// cachedAt returns the parts of a prompt that are cached at an address.
func (g *Group) cachedAt(address, salt string, ids []string) map[string]part {
	g.mu.Lock()
	source := g.byAddress[address]
	g.mu.Unlock()
	if source == nil {
		return nil
	}
	return source.cached(salt, ids)
}

// Generator is a model replica.
type Generator struct {
	options Options
	// listens is the address at which the replica listens, and address that of its entry.
	listens, address string
	store            *storekeeper.Store
	history          *checker.History
	group            *Group
	stop             chan struct{}

	// mu guards the fields below.
	mu     sync.Mutex
	server *http.Server
	born   int64
	// weights is the version in force, next the one that is loaded at loadedAt.
	weights, next int
	loadedAt      time.Time
	sequence      int
	// written is the version in the entry, 0 if the entry is to be written.
	written        int
	running, begun int
	trouble        Trouble
	// changed is closed and replaced when the trouble changes, eventAdded when a part is cached.
	changed, eventAdded chan struct{}
	cache               map[string]part
	events              [][]any
}

// New starts a replica at a free port. Close ends it.
func New(options Options, store *storekeeper.Store, history *checker.History, group *Group) (*Generator, error) {
	g := &Generator{options: options, store: store, history: history, group: group, stop: make(chan struct{}), weights: options.Weights, changed: make(chan struct{}), eventAdded: make(chan struct{})}
	listener, err := net.Listen("tcp", net.JoinHostPort(options.IP, "0"))
	if err != nil {
		return nil, fmt.Errorf("listen for replica %s: %w", options.ID, err)
	}
	g.listens = listener.Addr().String()
	if g.address, err = options.Advertise(g.listens); err != nil {
		return nil, fmt.Errorf("address of replica %s: %w", options.ID, err)
	}
	g.start(listener)
	group.mu.Lock()
	group.byAddress[g.address] = g
	group.mu.Unlock()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				g.beat()
			case <-g.stop:
				return
			}
		}
	}()
	return g, nil
}

// start begins an incarnation, which knows nothing of those before but the weights.
func (g *Generator) start(listener net.Listener) {
	g.mu.Lock()
	g.born, g.sequence, g.next, g.written, g.running, g.begun = time.Now().UnixMilli(), 0, 0, 0, 0, 0
	g.cache, g.events = make(map[string]part), nil
	server := &http.Server{Handler: g.handler(g.born)}
	g.server = server
	g.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	g.beat()
}

// Restart ends the incarnation at once and begins another one at the same address.
func (g *Generator) Restart() error {
	g.mu.Lock()
	server := g.server
	// Runs that end from here on were broken off by the replica.
	g.born = 0
	g.mu.Unlock()
	_ = server.Close()
	listener, err := net.Listen("tcp", g.listens)
	if err != nil {
		return fmt.Errorf("listen for replica %s again: %w", g.options.ID, err)
	}
	g.start(listener)
	return nil
}

// Close ends the replica.
func (g *Generator) Close() {
	close(g.stop)
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.server.Close()
}

// ID returns the replica's ID, Address its address.
func (g *Generator) ID() string { return g.options.ID }

// Address returns the replica's address.
func (g *Generator) Address() string { return g.address }

// Weights returns the version of the weights in force.
func (g *Generator) Weights() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.currentWeights()
}

// SetTrouble sets what goes wrong from now on.
func (g *Generator) SetTrouble(trouble Trouble) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.trouble, g.begun = trouble, 0
	close(g.changed)
	g.changed = make(chan struct{})
}

// currentWeights returns the weights in force, after those that have been loaded. The caller holds mu.
func (g *Generator) currentWeights() int {
	if g.next > g.weights && !time.Now().Before(g.loadedAt) {
		g.weights = g.next
		for key := range g.cache {
			delete(g.cache, key)
		}
	}
	return g.weights
}

// models returns the field of the weights. The caller holds mu.
func (g *Generator) models() []any {
	return []any{map[string]any{"name": g.options.Model, "version": g.currentWeights(), "adapters": []string{}}}
}

// beat writes the entry if more than its sequence has changed.
func (g *Generator) beat() {
	g.mu.Lock()
	defer g.mu.Unlock()
	models := g.models()
	if g.written == g.weights || g.born == 0 {
		return
	}
	entry := map[string]any{
		"service": g.options.Service, "address": g.address, "zone": g.options.Zone, "version": "v1", "slots": g.options.Slots, "state": "ready", "cold-left-ms": 0,
		"stage": "colocated", "models": models, "sequence": g.sequence, "born": g.born,
	}
	if g.store.Put("servers/"+g.options.ID, entry) == nil {
		g.written = g.weights
	}
}
