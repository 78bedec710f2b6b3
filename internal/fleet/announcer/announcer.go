package announcer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/metrics/recorder"
	"github.com/cyclamenward/cyclamenward/internal/quota/enforcer"
	"github.com/cyclamenward/cyclamenward/internal/quota/granter"
	"github.com/cyclamenward/cyclamenward/internal/routing/divider"
	"github.com/cyclamenward/cyclamenward/internal/routing/gauger"
	"github.com/cyclamenward/cyclamenward/internal/routing/isolator"
	"github.com/cyclamenward/cyclamenward/internal/routing/pinner"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
	"github.com/cyclamenward/cyclamenward/internal/weights/observer"
	"github.com/cyclamenward/cyclamenward/timekeeper"
)

const (
	// dialTimeout bounds the time to connect to another daemon: a few round trips
	// between regions.
	dialTimeout = 400 * time.Millisecond
	// The interval between attempts to connect doubles from minRedialInterval to
	// maxRedialInterval; each pause is half to one and a half intervals.
	minRedialInterval = 100 * time.Millisecond
	maxRedialInterval = time.Second
	// informTimeout is how long a daemon that has started waits for another daemon's
	// versions: the longest pause between two attempts to connect, and a margin.
	informTimeout = 2 * time.Second
)

// Broadcaster wakes goroutines that wait for an event, such as the senders of all
// sessions when there is something to send at once.
type Broadcaster struct {
	// mu guards next.
	mu sync.Mutex
	// next is closed and replaced by each Send.
	next chan struct{}
}

// NewBroadcaster returns a broadcaster without waiting goroutines.
func NewBroadcaster() *Broadcaster { return &Broadcaster{next: make(chan struct{})} }

// Send wakes all goroutines that wait on a channel that Wait returned.
func (b *Broadcaster) Send() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.next)
	b.next = make(chan struct{})
}

// Wait returns a channel that is closed at the next Send.
func (b *Broadcaster) Wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.next
}

// Dependencies are the functions and services that an announcer uses.
type Dependencies struct {
	// Table is this daemon's copy of the platform's store.
	Table *replicator.Table
	// Observer knows since when versions of weights are wanted.
	Observer *observer.Observer
	// Status returns what this daemon reports about its replica, nil if it has none.
	Status func() *Status
	// OnStatus receives what other daemons report about their replicas.
	OnStatus func(Status)
	// OnCache receives changes of the cache of the replica at an address.
	OnCache func(address string, changes CacheChanges)
	// BacklogTokens returns, by priority, how many prompt tokens this daemon has sent
	// to the replica at an address that still await prefill.
	BacklogTokens func(address string) [router.PriorityLevels]int
	// Transfers returns the total duration of the transfers that this daemon has ever
	// requested from and to the replica at an address.
	Transfers func(address string) time.Duration
	// Speed sums up what this daemon's answers have said about the speed of the replica at an
	// address; OnSpeed is called with what another daemon's have said about the own replica. They
	// may be nil.
	Speed   func(address string) gauger.Evidence
	OnSpeed func(gauger.Evidence)
	// CacheLog is the log of the own replica's cache, nil if there is none.
	CacheLog *CacheLog
	// SharedHosts reports whether replicas have reported to this daemon that they share their hosts with
	// others. OnSharedHosts is called when another daemon reports it. Both may be nil.
	SharedHosts   func() bool
	OnSharedHosts func()
	// StoreAnsweredAt returns when the store last answered this daemon with all changes, zero if this
	// daemon does not watch the store or its last call failed.
	StoreAnsweredAt func() time.Time
	// WatchValidity is how long after an answer of the store a daemon counts as watching it, for
	// itself and for others, regardless of failures in the meantime.
	WatchValidity time.Duration
	// PullDelay returns how long this daemon's table may be behind that of another
	// daemon before it requests the changes. A daemon that watches the store mostly
	// receives them from there within that time.
	PullDelay func() time.Duration
	// UpdateFromStore brings the table up to date with one call of the store and reports whether
	// it has. It is nil for daemons that do so only if they watch the store.
	UpdateFromStore func(ctx context.Context) bool
	// LinkBytesPerSecond is the rate of this daemon's link, 0 if it is not known. Large
	// changes use a part of it.
	LinkBytesPerSecond float64
	// Rank decides which entries watch the store: those with the lowest ranks. It is
	// 0 for sidecars.
	Rank uint64
	// Isolator holds the evidence for prompt parts on which replicas crash. Sidecars collect
	// it from entries and pass it on to all entries.
	Isolator *isolator.Isolator
	// Leaving holds the replicas that have said that they leave. It is exchanged like the
	// Isolator's evidence.
	Leaving *router.LeavingRegistry
	// Limits holds the limits that replicas name. They are exchanged like the Isolator's
	// evidence, and sidecars list the entries that share them.
	Limits *divider.Divider
	// Quotas holds an entry to its share of quotas, and QuotaGranter divides a portion of each among
	// the entries that report to a sidecar. Each is nil in other daemons.
	Quotas       *enforcer.Enforcer
	QuotaGranter *granter.Granter
	// Streams holds the software versions that began streams, and Origin returns what else is
	// known of these. Sidecars answer entries from both.
	Streams *pinner.Registry
	Origin  func(pinner.Query) pinner.Origin
	// Region is the region of the daemon.
	Region string
	// Broadcaster wakes the senders of all sessions.
	Broadcaster *Broadcaster
	Clock       timekeeper.Clock
	Logger      *log.Logger
	// Recorder counts the bytes of the values that are exchanged.
	Recorder *recorder.Recorder
}

// Announcer holds sessions with other daemons: those that connect to it and those
// that it connects to.
type Announcer struct {
	deps Dependencies
	// listener is nil if the announcer accepts no connections.
	listener net.Listener
	// ctx ends when the announcer is closed; tasks holds all of its goroutines.
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	// backlogChanged wakes the sessions that report the backlog of the own replica.
	backlogChanged *Broadcaster
	// announcedBacklog and announcedTransfers are the backlog of the own replica and the
	// queue of its link, in nanoseconds, when they were last woken.
	announcedBacklog, announcedTransfers atomic.Int64
	// startedAt is when the announcer started; informed is set once the own copy of the
	// store names no older version than that of some other daemon.
	startedAt time.Time
	informed  atomic.Bool
	// otherRegionPullTurn is this daemon's place, from 0 to 1, among those of its region that
	// request a change from another region.
	otherRegionPullTurn float64
	// largeRevision is the revision of the own copy of the store when the last large change
	// arrived from another daemon.
	largeRevision atomic.Uint64

	// queries holds the channels of the goroutines that wait for answers, by the number of their
	// query; lastQuery is the last number.
	queries   sync.Map
	lastQuery atomic.Uint64

	// membership counts the changes of the connected entries.
	membership atomic.Uint64

	// puller requests changes of the store from other daemons, and uploader bounds what is sent
	// to them.
	puller   *puller[*session]
	uploader *uploader

	// mu guards the fields below.
	mu sync.Mutex
	// sessions holds all open sessions, byReplica those with daemons that attend to a
	// replica, by its address.
	sessions  map[*session]bool
	byReplica map[string]*session
	// peerWatchedAt is when the store last answered a peer that watches it.
	peerWatchedAt time.Time
	// storeWatchedAt is when the store last answered a peer that watches it, or a peer of a
	// peer, and storeWatchedSince since when there has been no gap of reportValidity or more
	// between such answers.
	storeWatchedAt, storeWatchedSince time.Time
	// transfersUntil is when the link of the own replica has finished the transfers that
	// were requested so far.
	transfersUntil time.Time
	// refusedSince holds the peers of the last SetPeers that refuse connections, and
	// since when.
	refusedSince map[string]time.Time
	// cancelByAddress ends the session, and the attempts to connect, with the peer at
	// each address of the last SetPeers.
	cancelByAddress map[string]context.CancelFunc
}

// New starts an announcer. An empty address means that it accepts no connections.
func New(address string, deps Dependencies) (*Announcer, error) {
	a := &Announcer{deps: deps, uploader: newUploader(deps.Clock, deps.LinkBytesPerSecond), startedAt: deps.Clock.Now(), cancelByAddress: make(map[string]context.CancelFunc), otherRegionPullTurn: rand.Float64(), refusedSince: make(map[string]time.Time), sessions: make(map[*session]bool), byReplica: make(map[string]*session), backlogChanged: NewBroadcaster()}
	if deps.Rank != 0 {
		deps.Limits.SetSelf(divider.Member{ID: deps.Rank, Region: deps.Region})
	}
	deps.Isolator.OnUrgent(deps.Broadcaster.Send)
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.puller = newPuller(deps.Clock, func(s *session) { a.tasks.Go(s.requestChanges) }, func(s *session) { a.tasks.Go(s.stopChanges) })
	a.tasks.Go(func() { a.puller.run(a.ctx) })
	if address == "" {
		return a, nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for daemons: %w", err)
	}
	a.listener = listener
	a.tasks.Go(func() {
		for {
			conn, err := listener.Accept()
			if a.ctx.Err() != nil {
				return
			}
			if err != nil {
				deps.Logger.Warn("fleet: accept failed.", "err", err)
				<-deps.Clock.After(minRedialInterval)
				continue
			}
			a.tasks.Go(func() {
				err := a.runSession(a.ctx, conn, false)
				deps.Logger.Debug("fleet: daemon disconnected or unreachable.", "address", conn.RemoteAddr(), "err", err)
			})
		}
	})
	return a, nil
}

// runSession runs one session until it fails or ctx ends, and closes the connection.
func (a *Announcer) runSession(ctx context.Context, conn net.Conn, otherRegion bool) error {
	defer func() { _ = conn.Close() }()
	s := newSession(a, conn, otherRegion)
	a.mu.Lock()
	a.sessions[s] = true
	a.mu.Unlock()
	defer func() {
		a.puller.remove(s)
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.sessions, s)
		a.membership.Add(1)
		a.deps.Limits.SetMembers(s, nil)
		if address := s.replicaAddress.Load(); address != nil && a.byReplica[*address] == s {
			delete(a.byReplica, *address)
		}
	}()
	return s.run(ctx)
}

// ReportBacklog has the backlog of this daemon at the replica at an address reported to
// its sidecar at once.
func (a *Announcer) ReportBacklog(address string) {
	a.mu.Lock()
	s := a.byReplica[address]
	a.mu.Unlock()
	if s != nil {
		s.wakeUp()
	}
}

// setReplica records that a session's other end attends to the replica at an address.
func (a *Announcer) setReplica(s *session, address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byReplica[address] = s
}

// Informed reports whether a daemon that has started may rely on the versions in its copy
// of the store: it has compared them with another daemon's, or none has connected within
// informTimeout. The store itself may have lost the newest version to a delayed write of
// an older one.
func (a *Announcer) Informed() bool {
	return a.informed.Load() || a.deps.Clock.Now().Sub(a.startedAt) >= informTimeout
}

// BacklogTokens returns how many prompt tokens other daemons have sent to the own
// replica that still await prefill.
func (a *Announcer) BacklogTokens() int {
	sum := 0
	for _, tokens := range a.backlogByPriority() {
		sum += tokens
	}
	return sum
}

// addTransfers adds transfers that another daemon has requested from or to the own replica.
func (a *Announcer) addTransfers(duration time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now := a.deps.Clock.Now(); a.transfersUntil.Before(now) {
		a.transfersUntil = now
	}
	a.transfersUntil = a.transfersUntil.Add(max(0, duration))
}

// transferQueue returns how long the link of the own replica is still busy.
func (a *Announcer) transferQueue() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(0, a.transfersUntil.Sub(a.deps.Clock.Now()))
}

// backlogReported wakes the sessions that report the backlog of the own replica if it has
// changed much since they were last woken.
func (a *Announcer) backlogReported() {
	if a.deps.CacheLog == nil {
		return
	}
	tokens, queue := int64(a.BacklogTokens()), a.transferQueue()
	lastTokens, lastQueue := a.announcedBacklog.Load(), time.Duration(a.announcedTransfers.Load())
	if max(tokens-lastTokens, lastTokens-tokens) < minBacklogChange && max(queue-lastQueue, lastQueue-queue) < minTransferChange {
		return
	}
	a.announcedBacklog.Store(tokens)
	a.announcedTransfers.Store(int64(queue))
	a.backlogChanged.Send()
}

// backlogByPriority returns the result of BacklogTokens by priority.
func (a *Announcer) backlogByPriority() (sum [router.PriorityLevels]int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for s := range a.sessions {
		if backlog := s.backlogTokens.Load(); backlog != nil {
			for i, tokens := range backlog.ByPriority() {
				sum[i] += tokens
			}
		}
	}
	return sum
}

// storeWatch returns when the store last answered this daemon, and whether it counts as watching the
// store.
func (a *Announcer) storeWatch() (answeredAt time.Time, watches bool) {
	answeredAt = a.deps.StoreAnsweredAt()
	return answeredAt, a.watchValid(answeredAt)
}

// watchesStore reports whether this daemon counts as watching the store.
func (a *Announcer) watchesStore() bool {
	_, watches := a.storeWatch()
	return watches
}

// watchValid reports whether a daemon that the store answered at a time, zero for never, counts as
// watching it.
func (a *Announcer) watchValid(answeredAt time.Time) bool {
	return !answeredAt.IsZero() && a.deps.Clock.Now().Sub(answeredAt) < a.deps.WatchValidity
}

// recordPeerWatch records that the store answered a peer that watches it.
func (a *Announcer) recordPeerWatch(answeredAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if answeredAt.After(a.peerWatchedAt) {
		a.peerWatchedAt = answeredAt
	}
}

// recordStoreWatch records that the store answered a peer that watches it, or a peer of a peer.
func (a *Announcer) recordStoreWatch(answeredAt time.Time) {
	validity := a.reportValidity()
	a.mu.Lock()
	defer a.mu.Unlock()
	if answeredAt.Sub(a.storeWatchedAt) >= validity {
		a.storeWatchedSince = a.deps.Clock.Now()
	}
	if answeredAt.After(a.storeWatchedAt) {
		a.storeWatchedAt = answeredAt
	}
}

// StoreWatchedSince returns since when other daemons have watched the store without a
// break, as far as connected daemons have reported. The second result is false if none has
// recently reported it.
func (a *Announcer) StoreWatchedSince() (time.Time, bool) {
	validity := a.reportValidity()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.storeWatchedSince, a.deps.Clock.Now().Sub(a.storeWatchedAt) < validity
}

// StoreWatchedAt returns when the store last answered a connected daemon that watches it, or a peer of
// such a daemon, zero if none has reported an answer.
func (a *Announcer) StoreWatchedAt() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.storeWatchedAt
}

// reportValidity returns how long an answer of the store counts that a peer of a peer has
// received: WatchValidity, and two messages on the way.
func (a *Announcer) reportValidity() time.Duration {
	return a.deps.WatchValidity + 2*max(otherRegionInterval, a.rateLimitInterval())
}

// PeerWatchesStore reports whether a connected daemon counts as watching the store. Such a
// daemon reports changes as soon as it has them.
func (a *Announcer) PeerWatchesStore() bool { return a.watchValid(a.peerWatch()) }

// peerWatch returns when the store last answered a peer that watches it, zero if none has reported
// an answer.
func (a *Announcer) peerWatch() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.peerWatchedAt
}

// watchersRankedBelow returns how many of the connected entries that watch the store
// have a lower rank than the given peer.
func (a *Announcer) watchersRankedBelow(peer *session) int {
	rank := peer.rank.Load()
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for s := range a.sessions {
		if otherRank := s.rank.Load(); otherRank != 0 && otherRank < rank && s.watchesStore() {
			count++
		}
	}
	return count
}

// members returns the connected entries.
func (a *Announcer) members() []divider.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	members := []divider.Member{}
	for s := range a.sessions {
		if member := s.member.Load(); member != nil {
			members = append(members, *member)
		}
	}
	return members
}

// EntriesBefore returns how many entries turn to the store before this daemon: of those that
// sidecars list, the ones with lower ranks, and for a sidecar all that are connected.
func (a *Announcer) EntriesBefore() int {
	if a.deps.Rank == 0 {
		return len(a.members())
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	before := make(map[uint64]bool)
	for s := range a.sessions {
		if members := s.members.Load(); members != nil {
			for _, member := range *members {
				if member.ID < a.deps.Rank {
					before[member.ID] = true
				}
			}
		}
	}
	return len(before)
}

// LowerRankedWatchers returns how many entries with a lower rank than this one watch the
// store, as reported by the sidecar that knows of the fewest; 0 without a session.
func (a *Announcer) LowerRankedWatchers() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	least := -1
	for s := range a.sessions {
		if count := int(s.lowerRankedWatchers.Load()); least < 0 || count < least {
			least = count
		}
	}
	return max(0, least)
}

// subscribes reports whether this daemon, an entry, subscribes to the changes of the store
// in a session: in those with the highest priorities, of its own region first.
func (a *Announcer) subscribes(own *session) bool {
	if a.deps.Rank == 0 {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	preferred := 0
	for s := range a.sessions {
		if s == own || s.otherRegion.Load() && !own.otherRegion.Load() {
			continue
		}
		if s.otherRegion.Load() != own.otherRegion.Load() || s.priority > own.priority {
			preferred++
		}
	}
	return preferred < subscriptions
}

// rateLimitInterval returns the interval between messages in each session at which all
// sessions together send maxMessagesPerSecond, at most maxRateLimitInterval.
func (a *Announcer) rateLimitInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return min(maxRateLimitInterval, time.Duration(len(a.sessions))*time.Second/maxMessagesPerSecond)
}

// pullTurn returns how much longer this daemon waits for a change before it requests it from
// another region or reads it from the store. Those of a region do so one after the other: a daemon
// waits for as many as it is connected to, and with none it does not wait for others.
func (a *Announcer) pullTurn(spacing time.Duration) time.Duration {
	a.mu.Lock()
	neighbors := 0
	for s := range a.sessions {
		if !s.otherRegion.Load() {
			neighbors++
		}
	}
	a.mu.Unlock()
	span := max(minOtherRegionPullSpan, time.Duration(neighbors)*spacing)
	return minOtherRegionPullDelay + time.Duration(a.otherRegionPullTurn*float64(span))
}

// Peer is a daemon to connect to.
type Peer struct {
	// Address is its IP address and port.
	Address string
	// OtherRegion is set if it is in another region.
	OtherRegion bool
}

// SetPeers connects to the peers and reconnects whenever a session ends. It ends the
// sessions with peers of earlier calls that are not among them.
func (a *Announcer) SetPeers(peers []Peer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	wanted := make(map[string]bool, len(peers))
	if a.deps.Quotas != nil {
		addresses := make([]string, len(peers))
		for i, peer := range peers {
			addresses[i] = peer.Address
		}
		a.deps.Quotas.SetPeers(addresses)
	}
	for _, peer := range peers {
		address := peer.Address
		wanted[address] = true
		if a.cancelByAddress[address] != nil || a.ctx.Err() != nil {
			continue
		}
		ctx, cancel := context.WithCancel(a.ctx)
		a.cancelByAddress[address] = cancel
		a.tasks.Go(func() { a.maintainSession(ctx, peer) })
	}
	for address, cancel := range a.cancelByAddress {
		if !wanted[address] {
			cancel()
			delete(a.cancelByAddress, address)
			delete(a.refusedSince, address)
		}
	}
}

// RefusedSince returns since when a peer refuses connections: its host answers, but no
// daemon listens. The second result is false if it does not.
func (a *Announcer) RefusedSince(address string) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	since, refused := a.refusedSince[address]
	return since, refused
}

// AnyRefused reports whether a host of a peer refuses connections, as no process listens there.
func (a *Announcer) AnyRefused() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.refusedSince) > 0
}

// recordDial records the result of an attempt to connect to a peer.
func (a *Announcer) recordDial(address string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, refused := a.refusedSince[address]
	switch {
	case !errors.Is(err, syscall.ECONNREFUSED):
		delete(a.refusedSince, address)
	case !refused && a.cancelByAddress[address] != nil:
		a.refusedSince[address] = a.deps.Clock.Now()
	}
}

// maintainSession connects to a peer and reconnects whenever a session ends, until ctx
// ends.
func (a *Announcer) maintainSession(ctx context.Context, peer Peer) {
	address := peer.Address
	interval := minRedialInterval
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	for ctx.Err() == nil {
		startedAt := a.deps.Clock.Now()
		conn, err := dialer.DialContext(ctx, "tcp", address)
		a.recordDial(address, err)
		if err == nil {
			a.deps.Logger.Debug("fleet: connected to daemon.", "address", address)
			err = a.runSession(ctx, conn, peer.OtherRegion)
		}
		if ctx.Err() != nil {
			return
		}
		a.deps.Logger.Debug("fleet: daemon disconnected or unreachable.", "address", address, "err", err)
		if a.deps.Clock.Now().Sub(startedAt) > maxRedialInterval {
			interval = minRedialInterval
		}
		select {
		case <-ctx.Done():
		case <-a.deps.Clock.After(interval/2 + time.Duration(rand.Int64N(int64(interval)))):
		}
		interval = min(2*interval, maxRedialInterval)
	}
}

// Close ends all sessions and waits for their goroutines.
func (a *Announcer) Close() {
	a.cancel()
	if a.listener != nil {
		_ = a.listener.Close()
	}
	a.tasks.Wait()
}
