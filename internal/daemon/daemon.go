// Package daemon implements what entries and sidecars have in common: their identity, the
// table of service documents with the gossip that distributes it, the list of hosts, and
// the operator server with health checks and metrics.
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
	// maxHostsInterval is the longest time between two reads of the list of hosts. The
	// actual time is random, at least half of it.
	maxHostsInterval = 5 * time.Second
	// maxStartPeers is the number of peers from which a starting daemon requests
	// configuration.
	maxStartPeers = 3
	// startTimeout bounds the wait of a starting daemon for its peers.
	startTimeout = 500 * time.Millisecond
)

// Identity identifies one run of a daemon. All but the incarnation comes from settings.
type Identity struct {
	// Name is unique in the fleet.
	Name string
	// Incarnation is a unique ID, new at every start.
	Incarnation string
	// LinkAddress is the IP address and UDP port on which other daemons reach this one.
	LinkAddress              string
	AvailabilityZone, Region string
}

// NewIncarnation returns a new unique incarnation.
func NewIncarnation() string { return uuid.NewString() }

// RevisionTable holds the newest known revision of each service document.
type RevisionTable = spreader.RevisionTable[*decoder.Document]

// Options are the settings and dependencies of Common.
type Options struct {
	Identity Identity
	// SeedPeers are the link addresses of other daemons that the settings list.
	SeedPeers []string
	// Store is the store that the daemon may watch for new revisions. Sidecars do not watch
	// it and leave this zero.
	Store keeper.Store
	// ListHosts reads the platform's list of hosts; nil if there is no such list.
	ListHosts func() ([]hosts.Host, error)
	TLS       *tls.Config
	Clock     timekeeper.Clock
	Logger    *log.Logger
	// Gossip holds the intervals and counts of the gossip.
	Gossip spreader.Options
}

// Common is the part that entries and sidecars share: it keeps the service documents and
// the list of hosts up to date in the background.
type Common struct {
	identity      Identity
	seedPeers     []string
	clock         timekeeper.Clock
	logger        *log.Logger
	revisionTable *RevisionTable
	client        *link.Client
	gossip        *spreader.Gossip[*decoder.Document]
	listHosts     func() ([]hosts.Host, error)
	cancel        context.CancelFunc
	loops         sync.WaitGroup
	// hosts is the last list that was read; leaving holds the link addresses of its hosts
	// that are leaving. Both are replaced as a whole.
	hosts   atomic.Pointer[[]hosts.Host]
	leaving atomic.Pointer[map[string]bool]
}

// New starts the gossip and the reading of the list of hosts, and requests configuration
// from peers, for which it waits at most half a second. Close ends the background work.
func New(options Options) (*Common, error) {
	client, err := link.NewClient(options.TLS)
	if err != nil {
		return nil, fmt.Errorf("make link client: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Common{
		identity:      options.Identity,
		seedPeers:     options.SeedPeers,
		clock:         options.Clock,
		logger:        options.Logger,
		revisionTable: spreader.New(decoder.Decode),
		client:        client,
		listHosts:     options.ListHosts,
		cancel:        cancel,
	}
	c.setHosts(nil)
	c.readHosts()
	peers := spreader.Peers{Self: options.Identity.LinkAddress, All: c.Peers, SameRegion: c.regionEntries, Exchange: c.exchangeState}
	source := spreader.Source{Store: options.Store, Prefix: registrar.Prefix, Parse: parseStoreEntry}
	c.gossip = spreader.NewGossip(c.revisionTable, options.Clock, rand.Uint64, peers, source, options.Gossip, c.logExchangeError)
	c.fetchAtStart(ctx)
	c.loops.Add(1)
	go func() {
		defer c.loops.Done()
		c.hostsLoop(ctx)
	}()
	return c, nil
}

// Close ends the background work and closes all links that this daemon has opened.
func (c *Common) Close() {
	c.cancel()
	c.gossip.Close()
	c.loops.Wait()
	c.client.Close()
}

// Identity returns the daemon's identity.
func (c *Common) Identity() Identity { return c.identity }

// RevisionTable returns the service documents that this daemon knows.
func (c *Common) RevisionTable() *RevisionTable { return c.revisionTable }

// Client returns the client for links to other daemons.
func (c *Common) Client() *link.Client { return c.client }

// Clock returns the daemon's clock.
func (c *Common) Clock() timekeeper.Clock { return c.clock }

// Logger returns the daemon's logger.
func (c *Common) Logger() *log.Logger { return c.logger }

// Gossip returns the gossip, which exchanges revisions with other daemons.
func (c *Common) Gossip() *spreader.Gossip[*decoder.Document] { return c.gossip }

// Hosts returns the last list of hosts that was read.
func (c *Common) Hosts() []hosts.Host { return *c.hosts.Load() }

// IsLeaving reports whether the platform lists the host of a link address as leaving.
func (c *Common) IsLeaving(address string) bool {
	return (*c.leaving.Load())[address]
}

// EntryPeers returns the link addresses of the other entries that the platform lists.
func (c *Common) EntryPeers() []string {
	var peers []string
	for _, host := range c.Hosts() {
		if host.Role == hosts.Entry && host.Address != c.identity.LinkAddress {
			peers = append(peers, host.Address)
		}
	}
	return peers
}

// Peers returns the link addresses of the daemons to gossip with: the other entries that
// the platform lists, and the seed peers.
func (c *Common) Peers() []string {
	peers := c.EntryPeers()
	for _, seed := range c.seedPeers {
		if seed != c.identity.LinkAddress && !slices.Contains(peers, seed) {
			peers = append(peers, seed)
		}
	}
	return peers
}

// regionEntries returns the link addresses of the entries in this daemon's region, and its
// own.
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
		c.logExchangeError(err)
	}
}

// AnswerSync returns the answer to another daemon's Sync request.
func (c *Common) AnswerSync(request *link.Request) *link.Frame {
	state := spreader.SyncState{}
	if request.Sync != nil {
		state = FromSyncMessage(request.Sync)
	}
	return &link.Frame{Kind: link.SyncResult, Sync: ToSyncMessage(c.identity.Name, c.gossip.Answer(state))}
}

// fetchAtStart exchanges with up to maxStartPeers random peers in parallel. It returns when
// one has provided configuration, all exchanges have ended, or startTimeout has passed.
func (c *Common) fetchAtStart(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	changed := c.revisionTable.Changed()
	var group sync.WaitGroup
	peers := c.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(len(peers), maxStartPeers)] {
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

// exchangeState sends a gossip state to a peer and returns its answer. After an error the
// next exchange uses a new connection.
func (c *Common) exchangeState(ctx context.Context, peer string, state spreader.SyncState) (spreader.SyncState, error) {
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

// ToSyncMessage returns the message that carries a gossip state of the named daemon.
func ToSyncMessage(name string, state spreader.SyncState) *link.SyncState {
	result := &link.SyncState{Daemon: name, Digest: state.Digest, Full: state.Full, Revisions: state.Revisions, Watcher: state.Watcher}
	for _, document := range state.Documents {
		result.Documents = append(result.Documents, link.Document(document))
	}
	return result
}

// FromSyncMessage returns the gossip state in a message.
func FromSyncMessage(state *link.SyncState) spreader.SyncState {
	result := spreader.SyncState{Digest: state.Digest, Full: state.Full, Revisions: state.Revisions, Watcher: state.Watcher}
	for _, document := range state.Documents {
		result.Documents = append(result.Documents, spreader.Document(document))
	}
	return result
}

func parseStoreEntry(entry keeper.Entry) (spreader.Document, error) {
	record, err := registrar.Parse(entry)
	if err != nil {
		return spreader.Document{}, fmt.Errorf("parse entry: %w", err)
	}
	return spreader.Document{Service: registrar.ServiceOf(entry.Key), Revision: record.Revision, Text: []byte(record.Text)}, nil
}

func (c *Common) hostsLoop(ctx context.Context) {
	for {
		wait := maxHostsInterval/2 + time.Duration(rand.Int64N(int64(maxHostsInterval/2)))
		select {
		case <-c.clock.After(wait):
			c.readHosts()
		case <-ctx.Done():
			return
		}
	}
}

func (c *Common) readHosts() {
	if c.listHosts == nil {
		return
	}
	list, err := c.listHosts()
	if err != nil {
		c.logger.Debug("hosts: reading the list failed", "err", err)
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

func (c *Common) logExchangeError(err error) { c.logger.Debug("spread: exchange failed", "err", err) }
