// Package daemon holds what entries and sidecars have in common: their identity,
// the book of configuration with its spreading over links, the list of hosts and
// the operator address with health and metrics.
package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/cyclamenward/cyclamenward/peer/hosts"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/cyclamenward/cyclamenward/registrar"
	"github.com/cyclamenward/cyclamenward/spreader"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/google/uuid"
)

const (
	// hostsPeriod is the longest time between two readings of the list of hosts.
	hostsPeriod = 5 * time.Second
	// startPeers is how many peers a daemon asks at the start.
	startPeers = 3
	// startLimit bounds the wait for peers at the start.
	startLimit = 500 * time.Millisecond
)

// Identity tells who a daemon is. It comes from settings.
type Identity struct {
	// Name is unique in the fleet.
	Name string
	// Incarnation is new at every start.
	Incarnation string
	// LinkAddress is where other daemons reach this one.
	LinkAddress              string
	AvailabilityZone, Region string
}

// NewIncarnation returns an incarnation that was never used before.
func NewIncarnation() string { return uuid.NewString() }

// RevisionTable is the book of service documents.
type RevisionTable = spreader.RevisionTable[*decoder.Document]

// Options are the dependencies of Common.
type Options struct {
	Identity Identity
	// SeedPeers are link addresses of other daemons from the settings.
	SeedPeers []string
	// Store is read by the watchers; entries only, zero for sidecars.
	Store keeper.Store
	// ListHosts reads the list of hosts; nil if there is none.
	ListHosts func() ([]hosts.Host, error)
	TLS       *tls.Config
	Clock     timekeeper.Clock
	Logger    *log.Logger
	// Gossip are the times of the spreading.
	Gossip spreader.Options
}

// Common is the part that entries and sidecars share.
type Common struct {
	identity Identity
	seeds    []string
	clock    timekeeper.Clock
	logger   *log.Logger
	book     *RevisionTable
	client   *link.Client
	gossip   *spreader.Gossip[*decoder.Document]
	list     func() ([]hosts.Host, error)
	cancel   context.CancelFunc
	done     sync.WaitGroup
	// hosts is the last list read, and leaving the link addresses of its leaving
	// hosts; both are replaced whole.
	hosts   atomic.Pointer[[]hosts.Host]
	leaving atomic.Pointer[map[string]bool]
}

// New starts to spread configuration and asks peers for theirs, waiting for at
// most half a second. Close ends it.
func New(options Options) (*Common, error) {
	client, err := link.NewClient(options.TLS)
	if err != nil {
		return nil, fmt.Errorf("make link client: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Common{
		identity: options.Identity,
		seeds:    options.SeedPeers,
		clock:    options.Clock,
		logger:   options.Logger,
		book:     spreader.New(decoder.Decode),
		client:   client,
		list:     options.ListHosts,
		cancel:   cancel,
	}
	c.setHosts(nil)
	c.readHosts()
	peers := spreader.Peers{Self: options.Identity.LinkAddress, All: c.Peers, SameRegion: c.regionEntries, Exchange: c.exchange}
	source := spreader.Source{Store: options.Store, Prefix: registrar.Prefix, Parse: parse}
	c.gossip = spreader.NewGossip(c.book, options.Clock, rand.Uint64, peers, source, options.Gossip, c.reportGossip)
	c.ask(ctx)
	c.done.Add(1)
	go func() {
		defer c.done.Done()
		c.hostsLoop(ctx)
	}()
	return c, nil
}

// Close ends the background work and all links opened by this daemon.
func (c *Common) Close() {
	c.cancel()
	c.gossip.Close()
	c.done.Wait()
	c.client.Close()
}

// Identity returns who this daemon is.
func (c *Common) Identity() Identity { return c.identity }

// RevisionTable returns the configuration known here.
func (c *Common) RevisionTable() *RevisionTable { return c.book }

// Client returns the client for links to other daemons.
func (c *Common) Client() *link.Client { return c.client }

// Clock returns the daemon's clock.
func (c *Common) Clock() timekeeper.Clock { return c.clock }

// Logger returns the daemon's logger.
func (c *Common) Logger() *log.Logger { return c.logger }

// Gossip returns the spreading, for its counters.
func (c *Common) Gossip() *spreader.Gossip[*decoder.Document] { return c.gossip }

// Hosts returns the last list of hosts that was read.
func (c *Common) Hosts() []hosts.Host { return *c.hosts.Load() }

// IsLeaving reports whether the platform says that the host of a link address is
// leaving.
func (c *Common) IsLeaving(address string) bool {
	return (*c.leaving.Load())[address]
}

// EntryPeers returns the link addresses of the other entries that the platform
// lists.
func (c *Common) EntryPeers() []string {
	var peers []string
	for _, host := range c.Hosts() {
		if host.Role == hosts.Entry && host.Address != c.identity.LinkAddress {
			peers = append(peers, host.Address)
		}
	}
	return peers
}

// Peers returns the link addresses that take part in the spreading: the entries
// that the platform lists, and the seeds.
func (c *Common) Peers() []string {
	peers := c.EntryPeers()
	for _, seed := range c.seeds {
		if seed != c.identity.LinkAddress && !slices.Contains(peers, seed) {
			peers = append(peers, seed)
		}
	}
	return peers
}

// regionEntries returns the entries of this daemon's region, itself included.
func (c *Common) regionEntries() []string {
	result := []string{c.identity.LinkAddress}
	for _, host := range c.Hosts() {
		if host.Role == hosts.Entry && host.Region == c.identity.Region && host.Address != c.identity.LinkAddress {
			result = append(result, host.Address)
		}
	}
	return result
}

// CatchUp fetches newer revisions from the daemon at the address.
func (c *Common) CatchUp(ctx context.Context, address string) {
	if err := c.gossip.Exchange(ctx, address); err != nil {
		c.reportGossip(err)
	}
}

// AnswerSync answers a Sync request of another daemon.
func (c *Common) AnswerSync(request *link.Request) *link.Frame {
	state := spreader.SyncState{}
	if request.Sync != nil {
		state = FromSyncMessage(request.Sync)
	}
	return &link.Frame{Kind: link.SyncResult, Sync: ToSyncMessage(c.identity.Name, c.gossip.Answer(state))}
}

// ask exchanges with all known peers at once and returns when one has answered
// with configuration, all have failed, or the limit is reached.
func (c *Common) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	changed := c.book.Changed()
	var group sync.WaitGroup
	peers := c.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(len(peers), startPeers)] {
		group.Add(1)
		go func() {
			defer group.Done()
			c.CatchUp(ctx, peer)
		}()
	}
	finished := make(chan struct{})
	go func() {
		group.Wait()
		close(finished)
	}()
	select {
	case <-changed:
	case <-finished:
	case <-ctx.Done():
	}
}

func (c *Common) exchange(ctx context.Context, peer string, state spreader.SyncState) (spreader.SyncState, error) {
	frame, err := c.client.RoundTrip(ctx, peer, &link.Request{Kind: link.Sync, Sync: ToSyncMessage(c.identity.Name, state)})
	if err != nil {
		c.client.DropConnection(peer)
		return spreader.SyncState{}, fmt.Errorf("sync: %w", err)
	}
	if frame.Sync == nil {
		return spreader.SyncState{}, fmt.Errorf("sync with %s: answer without state", peer)
	}
	return FromSyncMessage(frame.Sync), nil
}

// ToSyncMessage makes the message that carries a state of the named daemon.
func ToSyncMessage(name string, state spreader.SyncState) *link.SyncState {
	result := &link.SyncState{Daemon: name, Digest: state.Digest, Full: state.Full, Revisions: state.Revisions}
	for _, document := range state.Documents {
		result.Documents = append(result.Documents, link.Document(document))
	}
	return result
}

// FromSyncMessage returns the state in a message.
func FromSyncMessage(state *link.SyncState) spreader.SyncState {
	result := spreader.SyncState{Digest: state.Digest, Full: state.Full, Revisions: state.Revisions}
	for _, document := range state.Documents {
		result.Documents = append(result.Documents, spreader.Document(document))
	}
	return result
}

func parse(entry keeper.Entry) (spreader.Document, error) {
	record, err := registrar.Parse(entry)
	if err != nil {
		return spreader.Document{}, fmt.Errorf("parse entry: %w", err)
	}
	return spreader.Document{Service: registrar.ServiceOf(entry.Key), Revision: record.Revision, Text: []byte(record.Text)}, nil
}

func (c *Common) hostsLoop(ctx context.Context) {
	for {
		wait := hostsPeriod/2 + time.Duration(rand.Int64N(int64(hostsPeriod/2)))
		select {
		case <-c.clock.After(wait):
			c.readHosts()
		case <-ctx.Done():
			return
		}
	}
}

func (c *Common) readHosts() {
	if c.list == nil {
		return
	}
	list, err := c.list()
	if err != nil {
		c.logger.Debug("hosts: list not read", "err", err)
		return
	}
	c.setHosts(list)
}

func (c *Common) setHosts(list []hosts.Host) {
	leaving := map[string]bool{}
	for _, host := range list {
		if host.Leaving {
			leaving[host.Address] = true
		}
	}
	c.hosts.Store(&list)
	c.leaving.Store(&leaving)
}

func (c *Common) reportGossip(err error) { c.logger.Debug("spread: exchange failed", "err", err) }
