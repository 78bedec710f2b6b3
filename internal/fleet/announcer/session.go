// Package announcer exchanges state between daemons: sidecars report the state and
// cache contents of their replicas to entries, and all daemons replicate the
// platform's store to each other, so that a daemon that cannot reach the store still
// receives changes.
//
// The protocol is CBOR over TCP. Each end sends messages at a regular interval, so that
// a lost connection is detected by the absence of messages.
package announcer

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/quota/granter"
	"github.com/cyclamenward/cyclamenward/internal/routing/divider"
	"github.com/cyclamenward/cyclamenward/internal/routing/gauger"
	"github.com/cyclamenward/cyclamenward/internal/routing/isolator"
	"github.com/cyclamenward/cyclamenward/internal/routing/pinner"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
	"github.com/cyclamenward/cyclamenward/internal/weights/observer"
	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"
)

const (
	// sameRegionInterval is the longest time between two messages that a daemon sends
	// to another in its region; otherRegionInterval is that to another region, where
	// traffic is expensive. Both grow with the number of sessions.
	sameRegionInterval  = 125 * time.Millisecond
	otherRegionInterval = 300 * time.Millisecond
	// maxMessagesPerSecond bounds the messages that a daemon sends in all sessions,
	// because each costs some 0.1 ms of processor time at each end. The interval
	// that the bound requires is at most maxRateLimitInterval, so with very many
	// sessions the rate is exceeded.
	maxMessagesPerSecond = 400
	maxRateLimitInterval = 500 * time.Millisecond
	// idleInterval is the interval between messages that report no change: two fit into
	// silenceTimeout.
	idleInterval = 800 * time.Millisecond
	// silenceTimeout is how long a session waits for a message before it ends: four
	// times the longest interval.
	silenceTimeout = 2 * time.Second
	// updateMessageRatio is how many times as often changes of the replica's cache and
	// backlog are sent as other changes, if these are limited by maxMessagesPerSecond.
	updateMessageRatio = 2
	// minBacklogChange is the change of a replica's backlog, in tokens, that is reported to
	// entries at once: their prefill takes some 25 ms.
	minBacklogChange = 1500
	// minTransferChange is the same for the queue of its link.
	minTransferChange = 25 * time.Millisecond
	// subscriptions is how many sidecars of its region push changes of the store to an
	// entry.
	subscriptions = 2
	// otherRegionFillDelay is how long a daemon that has started waits for the contents
	// of the store from its own region.
	otherRegionFillDelay = time.Second
	// largeChangeBytes is the size of changes from which on their arrival is logged.
	largeChangeBytes = 64 << 10
	// Daemons wait for a change between minOtherRegionPullDelay and a time that grows with the
	// fleet longer before they request it from another region: minOtherRegionPullSpan, or
	// otherRegionPullSpacing for each session with a daemon of their own region. Those that wait
	// least then pass it on within theirs, and few copies of it share the link between the regions.
	// It is the same, with storeReadSpacing, for sidecars that read it from the store.
	minOtherRegionPullDelay = 100 * time.Millisecond
	minOtherRegionPullSpan  = 800 * time.Millisecond
	otherRegionPullSpacing  = 300 * time.Millisecond
	storeReadSpacing        = 150 * time.Millisecond
)

// Status is the state of a replica as reported by its sidecar.
type Status struct {
	// Address is the replica's IP address and port.
	Address string `cbor:"1,keyasint,omitempty"`
	// Phase is a router.Phase.
	Phase int `cbor:"2,keyasint,omitempty"`
	// PhaseAge is how long the phase has lasted.
	PhaseAge time.Duration `cbor:"9,keyasint,omitempty"`
	// StartUnixMilli is when the replica started, in Unix milliseconds. It
	// distinguishes incarnations with the same ID.
	StartUnixMilli int64 `cbor:"3,keyasint,omitempty"`
	// WeightsVersions maps each model to its weights version.
	WeightsVersions map[string]int `cbor:"4,keyasint,omitempty"`
	// Running and Queued count the requests of all callers.
	Running int `cbor:"5,keyasint,omitempty"`
	Queued  int `cbor:"6,keyasint,omitempty"`
	// MemoryUsed is the memory that cannot be freed, in tokens.
	MemoryUsed int `cbor:"7,keyasint,omitempty"`
	// BacklogTokens is the number of prompt tokens that all daemons have sent to the
	// replica that still await prefill, by priority.
	BacklogTokens Backlog `cbor:"8,keyasint,omitempty"`
	// TransferQueue is how long the replica's link is busy with the transfers that all
	// daemons have requested.
	TransferQueue time.Duration `cbor:"10,keyasint,omitempty"`
	// Speed is what is known of the replica's speed.
	Speed gauger.Shared `cbor:"11,keyasint,omitzero"`
}

// withoutConstants returns the status without the fields that seldom change, if these
// are the same as in another status.
func (s Status) withoutConstants(sent *Status) Status {
	if sent != nil && s.Address == sent.Address && s.StartUnixMilli == sent.StartUnixMilli && maps.Equal(s.WeightsVersions, sent.WeightsVersions) {
		s.Address, s.StartUnixMilli, s.WeightsVersions = "", 0, nil
	}
	return s
}

// withConstants returns a status that withoutConstants has shortened with the fields of
// the other status again.
func (s Status) withConstants(received *Status) Status {
	if s.Address == "" && received != nil {
		s.Address, s.StartUnixMilli, s.WeightsVersions = received.Address, received.StartUnixMilli, received.WeightsVersions
	}
	return s
}

// Backlog holds numbers of prompt tokens by priority. Priorities behind the last are 0.
type Backlog []int

// newBacklog returns a backlog without the zeros at its end.
func newBacklog(tokens [router.PriorityLevels]int) Backlog {
	n := len(tokens)
	for n > 0 && tokens[n-1] == 0 {
		n--
	}
	return tokens[:n:n]
}

// ByPriority returns the backlog of all priorities.
func (b Backlog) ByPriority() (tokens [router.PriorityLevels]int) {
	copy(tokens[:], b)
	return tokens
}

// message is the only kind of message between daemons. Each session sends one at least
// once per interval; others only request or bring changes of the store.
type message struct {
	// Status is the state of the sender's replica. It is nil if the sender has none,
	// and in messages that only request or bring changes.
	Status *Status `cbor:"1,keyasint,omitempty"`
	// Revision and Era are the newest position in the sender's copy of the store.
	Revision uint64 `cbor:"2,keyasint"`
	Era      uint64 `cbor:"22,keyasint,omitempty"`
	// KnowsEras is set in a session's first message by daemons that know eras. Positions in
	// messages to others are revisions.
	KnowsEras bool `cbor:"23,keyasint,omitempty"`
	// WantChanges requests the changes after AfterRevision, and the values of WantKeys
	// even if they have not changed since.
	WantChanges   bool     `cbor:"3,keyasint,omitempty"`
	AfterRevision uint64   `cbor:"4,keyasint,omitempty"`
	WantKeys      []string `cbor:"13,keyasint,omitempty"`
	// Delta holds changes that were requested, or that the sender pushes.
	Delta *replicator.Delta `cbor:"5,keyasint,omitempty"`
	// WatchesStore is set while the sender counts as watching the store.
	WatchesStore bool `cbor:"6,keyasint,omitempty"`
	// PeerWatchesStore is set if a peer of the sender, a sidecar, counts as watching the store.
	PeerWatchesStore bool `cbor:"20,keyasint,omitempty"`
	// StoreAge is how long ago the store answered the sender if WatchesStore is set, or the peer
	// if only PeerWatchesStore is set.
	StoreAge time.Duration `cbor:"42,keyasint,omitempty"`
	// CacheChanges holds the changes of the cache of the sender's replica since the
	// previous message.
	CacheChanges *CacheChanges `cbor:"7,keyasint,omitempty"`
	// BacklogTokens is how many prompt tokens the sender has sent to the receiver's
	// replica that still await prefill, by priority.
	BacklogTokens Backlog `cbor:"8,keyasint,omitempty"`
	// Transfers is the total duration of the transfers that the sender has ever requested
	// from and to the receiver's replica.
	Transfers time.Duration `cbor:"16,keyasint,omitempty"`
	// Speed sums up what the sender's answers have ever said about the speed of the receiver's
	// replica.
	Speed gauger.Evidence `cbor:"40,keyasint,omitzero"`
	// Rank is the sender's Dependencies.Rank; 0 for sidecars. It is set in a session's
	// first message.
	Rank uint64 `cbor:"10,keyasint,omitempty"`
	// LowerRankedWatchers is how many entries with a lower rank than the receiver's
	// watch the store, as far as the sender knows.
	LowerRankedWatchers int `cbor:"11,keyasint,omitempty"`
	// OtherRegion is set if the sender knows that the receiver is in another region.
	OtherRegion bool `cbor:"9,keyasint,omitempty"`
	// Versions holds the versions that values in the sender's copy of the store name, by
	// key. It is set in a session's first message and when they have changed. It is not
	// nil there, even if it is empty.
	Versions *map[string]uint64 `cbor:"12,keyasint,omitempty"`
	// VersionAges holds how long the sender has known versions of weights. It is set
	// together with Versions.
	VersionAges []observer.Age `cbor:"15,keyasint,omitempty"`
	// Subscribed is set if the receiver should push changes of the store.
	Subscribed bool `cbor:"14,keyasint,omitempty"`
	// CrashReport is the sender's evidence for prompt parts on which replicas crash. It is
	// set when that has changed: in messages of sidecars, and of entries to the sidecars to
	// which they subscribe.
	CrashReport *isolator.Report `cbor:"21,keyasint,omitempty"`
	// Leaving holds the replicas that leave as far as the sender knows. It is set like
	// CrashReport.
	Leaving []router.LeavingReplica `cbor:"24,keyasint,omitempty"`
	// Region is the sender's region. It is set together with Rank.
	Region string `cbor:"25,keyasint,omitempty"`
	// Limits holds the limits that replicas name as far as the sender knows. It is set like
	// CrashReport and holds what is new.
	Limits []divider.Limit `cbor:"26,keyasint,omitempty"`
	// Members holds the entries that are connected to the sender, a sidecar. It is set in
	// messages to entries that subscribe, when it has changed.
	Members *[]divider.Member `cbor:"27,keyasint,omitempty"`
	// QuotaReport is what the sender, an entry, was asked for workspaces with quotas, and QuotaGrants
	// answer the last one.
	QuotaReport *granter.Report `cbor:"34,keyasint,omitempty"`
	QuotaGrants *granter.Grants `cbor:"35,keyasint,omitempty"`
	// AcceptsParts is set in a request for changes if they may be sent in parts.
	AcceptsParts bool `cbor:"17,keyasint,omitempty"`
	// Part is a part of large changes that were requested.
	Part *part `cbor:"18,keyasint,omitempty"`
	// Busy refuses a request for large changes.
	Busy bool `cbor:"19,keyasint,omitempty"`
	// KnowsStreams is set in a session's first message by daemons that record streams and
	// answer queries about them.
	KnowsStreams bool `cbor:"28,keyasint,omitempty"`
	// StreamRecords are to be recorded, and OriginQuery to be answered, by the receiver, a
	// sidecar. OriginReply is its answer.
	StreamRecords []pinner.Record `cbor:"29,keyasint,omitempty"`
	OriginQuery   *originQuery    `cbor:"30,keyasint,omitempty"`
	OriginReply   *originReply    `cbor:"31,keyasint,omitempty"`
	// StopChanges ends the transfers to the sender, which requests the changes elsewhere. It is
	// sent together with Busy.
	StopChanges bool `cbor:"33,keyasint,omitempty"`
	// LinkBytesPerSecond is the rate of the sender's link, 0 if it is not known. It is set in a
	// session's first message.
	LinkBytesPerSecond float64 `cbor:"32,keyasint,omitempty"`
	// SharedHosts is set in regular messages while the sender has Dependencies.SharedHosts.
	SharedHosts bool `cbor:"41,keyasint,omitempty"`
}

// regular reports whether the message is one of those that are sent once per interval,
// which describe the sender, and not one that only requests or brings something.
func (m *message) regular() bool {
	return !m.WantChanges && m.Delta == nil && m.Part == nil && !m.Busy && m.StreamRecords == nil && m.OriginQuery == nil && m.OriginReply == nil
}

// session is one connection between two daemons.
type session struct {
	announcer *Announcer
	// ctx ends with the session.
	ctx     context.Context
	conn    net.Conn
	encoder *cbor.Encoder
	writer  *bufio.Writer
	// priority orders the sessions of an entry by preference for subscriptions.
	priority uint64

	// quotaReported is set while a report of the other end's demand is not answered.
	quotaReported atomic.Bool
	// wake has an element when a message should be sent at once.
	wake chan struct{}
	// sent is what the session's regular messages have reported to the other end. Only the
	// sending goroutine uses it.
	sent sentState

	// rank, storeAnsweredAt, lowerRankedWatchers, subscribed and revision are what the
	// other end last reported. storeAnsweredAt is nil if it does not watch the store.
	rank                atomic.Uint64
	storeAnsweredAt     atomic.Pointer[time.Time]
	lowerRankedWatchers atomic.Int64
	subscribed          atomic.Bool
	revision            atomic.Uint64
	// member is the other end if it is an entry, nil until it is known.
	member atomic.Pointer[divider.Member]
	// members are the entries that the other end, a sidecar, has listed, nil if it lists none.
	members atomic.Pointer[[]divider.Member]
	// slowLink is set if the other end has a link on which large changes take long.
	slowLink atomic.Bool
	// knowsEras is set if the other end knows eras of the store.
	knowsEras atomic.Bool
	// knowsStreams is set if the other end records streams. streamRecords are those to send.
	knowsStreams  atomic.Bool
	streamRecords recordQueue
	// otherRegion is set if the ends are in different regions.
	otherRegion atomic.Bool
	// replicaAddress is the address of the other end's replica, nil until it is known.
	replicaAddress atomic.Pointer[string]
	// backlogTokens is the BacklogTokens of the last regular message from the other end.
	backlogTokens atomic.Pointer[Backlog]

	// peerVersions are the versions that the other end last sent, nil before it has sent any.
	peerVersions atomic.Pointer[map[string]uint64]

	// writing has an element while a goroutine uses the writer and encoder. It is a channel
	// since a write may block for long.
	writing chan struct{}

	// lastTransfer is the number of the last transfer of large changes that was sent, and
	// stoppedTransfer that of the last one that the other end does not want any more.
	lastTransfer, stoppedTransfer atomic.Uint64

	// The fields below are used by the receiving goroutine only.

	// incoming is the transfer of large changes that is being received.
	incoming incomingTransfer

	// status and transfers are the last from the other end, nil before the first.
	status    *Status
	transfers *time.Duration
	// speed is the Speed of the last regular message from the other end.
	speed *gauger.Evidence
}

// sentState is what a session has reported to the other end.
type sentState struct {
	// at is when the last message was sent, zero before the first.
	at time.Time
	// status, backlog, transfers, speed, storeAnsweredAt, subscribed, sharedHosts and versions are
	// those last sent. The status is nil and the versions are nil before the first message.
	// storeAnsweredAt is zero if the message did not have WatchesStore.
	status          *Status
	backlog         Backlog
	transfers       time.Duration
	speed           gauger.Evidence
	storeAnsweredAt time.Time
	subscribed      bool
	sharedHosts     bool
	versions        map[string]uint64
	// quotasAt is when demand was last reported.
	quotasAt time.Time
	// evidence is the isolator's version at the last report.
	evidence uint64
	// leaving is the version of the registry of replicas that leave at the last report, limits
	// that of the limits, and membership that of the connected entries.
	leaving, limits, membership uint64
	// cacheCursor is the number of the first change in the cache log that was not sent
	// yet, 0 before the first message.
	cacheCursor uint64
	// revision is the newest revision of the changes that were pushed, announcedRevision
	// that of the last regular message.
	revision, announcedRevision uint64
}

func newSession(announcer *Announcer, conn net.Conn, otherRegion bool) *session {
	writer := bufio.NewWriter(conn)
	s := &session{announcer: announcer, ctx: announcer.ctx, conn: conn, writer: writer, encoder: cbor.NewEncoder(writer), wake: make(chan struct{}, 1), writing: make(chan struct{}, 1)}
	s.priority = xxh3.HashString(conn.RemoteAddr().String()) ^ announcer.deps.Rank
	s.otherRegion.Store(otherRegion)
	return s
}

// wakeUp has a message sent at once.
func (s *session) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// replicaUpdates returns channels that are closed when changes of the own replica's cache
// and backlog should be sent soon. To another region they are sent with the next regular
// message, and the channels are nil.
func (s *session) replicaUpdates() (cacheChanged, backlogChanged <-chan struct{}) {
	if cache := s.announcer.deps.CacheLog; cache != nil && !s.otherRegion.Load() {
		return cache.updated.Wait(), s.announcer.backlogChanged.Wait()
	}
	return nil, nil
}

// messageInterval returns the longest time between two messages that report a change. It grows with
// many sessions, so that messages do not use up the processor.
func (s *session) messageInterval() time.Duration {
	interval := sameRegionInterval
	if s.otherRegion.Load() {
		interval = otherRegionInterval
	}
	return max(interval, s.announcer.rateLimitInterval())
}

// run exchanges messages until the connection fails or ctx ends.
func (s *session) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.ctx = ctx
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	go func() {
		defer cancel()
		s.sendMessages(ctx)
	}()
	reader := &countingReader{conn: s.conn}
	decoder := cbor.NewDecoder(bufio.NewReader(reader))
	for {
		_ = s.conn.SetReadDeadline(time.Now().Add(silenceTimeout))
		var received message
		readBefore := reader.bytes
		if err := decoder.Decode(&received); err != nil {
			s.announcer.deps.Recorder.Add("changes.brokenOffBytes", reader.bytes-readBefore)
			return fmt.Errorf("read from %s: %w", s.conn.RemoteAddr(), err)
		}
		if err := s.handle(&received); err != nil {
			return err
		}
	}
}

// sendMessages sends regular messages, and pushes changes of the store, until ctx ends or
// a message cannot be sent.
func (s *session) sendMessages(ctx context.Context) {
	deps := &s.announcer.deps
	for ctx.Err() == nil {
		broadcast, tableChanged := deps.Broadcaster.Wait(), deps.Table.Changed()
		cacheChanged, backlogChanged := s.replicaUpdates()
		if s.sendStreamRecords() != nil {
			return
		}
		if m, changed := s.nextMessage(); changed {
			if s.send(*m) != nil {
				return
			}
			s.sent.at = deps.Clock.Now()
		}
		if s.pushChanges() != nil {
			return
		}
		if !s.pushes() {
			tableChanged = nil
		}
		interval := deps.Clock.After(s.messageInterval())
		if cacheChanged != nil && !s.wait(ctx, s.announcer.rateLimitInterval()/updateMessageRatio, broadcast, tableChanged) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-broadcast:
		case <-cacheChanged:
		case <-backlogChanged:
		case <-tableChanged:
		case <-s.wake:
		case <-interval:
		}
	}
}

// wait waits for a time and reports whether none of the channels was closed meanwhile.
func (s *session) wait(ctx context.Context, d time.Duration, broadcast, tableChanged <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-ctx.Done():
	case <-broadcast:
	case <-tableChanged:
	case <-s.announcer.deps.Clock.After(d):
		return true
	}
	return false
}

// nextMessage returns the next regular message. The second result is false if it would
// report no change and the last message is not older than idleInterval.
func (s *session) nextMessage() (*message, bool) {
	deps := &s.announcer.deps
	sent := &s.sent
	storeAnsweredAt, watches := s.announcer.storeWatch()
	if !watches {
		storeAnsweredAt = time.Time{}
	}
	m := &message{OtherRegion: s.otherRegion.Load(), WatchesStore: watches, Subscribed: s.announcer.subscribes(s)}
	if sent.at.IsZero() {
		m.Rank, m.Region, m.KnowsEras, m.KnowsStreams = deps.Rank, deps.Region, true, true
		m.LinkBytesPerSecond = deps.LinkBytesPerSecond
	}
	newest := deps.Table.NewestRevision()
	changed := !storeAnsweredAt.Equal(sent.storeAnsweredAt) || m.Subscribed != sent.subscribed || s.announcesRevision(newest)
	if deps.SharedHosts != nil {
		m.SharedHosts = deps.SharedHosts()
		changed = changed || m.SharedHosts != sent.sharedHosts
	}
	if status := deps.Status(); status != nil {
		if peerAnsweredAt := s.announcer.peerWatch(); s.announcer.watchValid(peerAnsweredAt) {
			m.PeerWatchesStore, m.StoreAge = true, deps.Clock.Now().Sub(peerAnsweredAt)
		}
		m.LowerRankedWatchers = s.announcer.watchersRankedBelow(s)
		status.BacklogTokens, status.TransferQueue = newBacklog(s.announcer.backlogByPriority()), s.announcer.transferQueue()
		shortened := status.withoutConstants(sent.status)
		m.Status, sent.status, changed = &shortened, status, true
	}
	if address := s.replicaAddress.Load(); address != nil {
		m.BacklogTokens, m.Transfers = newBacklog(deps.BacklogTokens(*address)), deps.Transfers(*address)
		if deps.Speed != nil {
			m.Speed = deps.Speed(*address)
		}
		changed = changed || !slices.Equal(m.BacklogTokens, sent.backlog) || m.Transfers != sent.transfers || m.Speed != sent.speed
	}
	if deps.CacheLog != nil {
		m.CacheChanges, sent.cacheCursor = deps.CacheLog.since(sent.cacheCursor)
	}
	if versions := deps.Table.Versions(); sent.versions == nil || !maps.Equal(versions, sent.versions) {
		m.Versions, sent.versions, changed = &versions, versions, true
		m.VersionAges = deps.Observer.Ages()
	}
	if evidence := deps.Isolator.Version(); evidence != sent.evidence && (m.Status != nil || m.Subscribed) {
		report := deps.Isolator.Report(sent.evidence)
		m.CrashReport, sent.evidence, changed = &report, evidence, true
	}
	if version := deps.Leaving.Version(); version != sent.leaving && (m.Status != nil || m.Subscribed) {
		m.Leaving, sent.leaving, changed = deps.Leaving.Report(), version, true
	}
	if version := deps.Limits.Version(); version != sent.limits && (m.Status != nil || m.Subscribed) {
		m.Limits = deps.Limits.Report(sent.limits)
		sent.limits, changed = version, true
	}
	if s.addQuotas(m) {
		changed = true
	}
	if !s.subscribed.Load() {
		sent.membership = 0
	} else if membership := s.announcer.membership.Load(); m.Status != nil && membership != sent.membership {
		members := s.announcer.members()
		m.Members, sent.membership, changed = &members, membership, true
	}
	if sent.subscribed && !m.Subscribed {
		s.members.Store(nil)
		deps.Limits.SetMembers(s, nil)
	}
	sent.announcedRevision = newest
	sent.transfers, sent.speed = m.Transfers, m.Speed
	sent.backlog, sent.storeAnsweredAt, sent.subscribed, sent.sharedHosts = m.BacklogTokens, storeAnsweredAt, m.Subscribed, m.SharedHosts
	return m, changed || deps.Clock.Now().Sub(sent.at) >= idleInterval
}

// announcesRevision reports whether the other end should learn at once that the own copy of
// the store has changed, to the given revision: from a daemon that watches the store, and
// from one of its region that has received a large change.
func (s *session) announcesRevision(newest uint64) bool {
	latest := max(s.knownRevision(), s.sent.announcedRevision)
	return s.announcer.watchesStore() && newest > latest || !s.otherRegion.Load() && s.announcer.largeRevision.Load() > latest
}

// knownRevision returns the newest revision up to which the other end has all changes,
// as far as this daemon knows; 0 if the other end has reported none.
func (s *session) knownRevision() uint64 {
	reported := s.revision.Load()
	if reported == 0 {
		return 0
	}
	return max(reported, s.sent.revision)
}

// pushes reports whether changes of the store are pushed to the other end: to daemons
// that have subscribed, and by the entry with the lowest rank of those that watch the
// store to all sidecars. Daemons that watch the store themselves need none.
func (s *session) pushes() bool {
	if s.watchesStore() {
		return false
	}
	if s.subscribed.Load() {
		return true
	}
	return s.replicaAddress.Load() != nil && s.announcer.deps.Rank != 0 && s.announcer.watchesStore() && s.announcer.LowerRankedWatchers() == 0
}

// pushChanges sends the changes of the store that the other end does not have. Complete
// contents and large changes are left to be requested.
func (s *session) pushChanges() error {
	known := s.knownRevision()
	if table := s.announcer.deps.Table; known == 0 || table.NewestRevision() <= known || !table.Covers(known) || !s.pushes() {
		return nil
	}
	delta := s.announcer.deps.Table.Since(known)
	if delta.Complete || len(delta.Items) == 0 || delta.ValueBytes() > maxInlineBytes {
		return nil
	}
	s.sent.revision = delta.Revision
	s.announcer.deps.Recorder.Add("changes.sentBytes", delta.ValueBytes())
	return s.send(message{Delta: &delta})
}

// send adds the state of the own copy of the store to a message and writes it.
func (s *session) send(m message) error {
	newest := s.announcer.deps.Table.NewestRevision()
	m.Revision, m.Era = replicator.RevisionOf(newest), replicator.EraOf(newest)
	answeredAt, watches := s.announcer.storeWatch()
	if m.WatchesStore = watches; watches {
		m.StoreAge = s.announcer.deps.Clock.Now().Sub(answeredAt)
	}
	if !s.knowsEras.Load() {
		m.AfterRevision = replicator.RevisionOf(m.AfterRevision)
		if m.Delta != nil {
			delta := m.Delta.WithoutEras()
			m.Delta = &delta
		}
	}
	s.writing <- struct{}{}
	defer func() { <-s.writing }()
	_ = s.conn.SetWriteDeadline(time.Now().Add(silenceTimeout))
	if err := s.encoder.Encode(&m); err != nil {
		return fmt.Errorf("write to %s: %w", s.conn.RemoteAddr(), err)
	}
	if err := s.writer.Flush(); err != nil {
		return fmt.Errorf("write to %s: %w", s.conn.RemoteAddr(), err)
	}
	return nil
}

// handle stores what the other end reports, applies and requests changes of the store,
// and answers a request for them. It returns an error if it cannot write.
func (s *session) handle(m *message) error {
	if m.OtherRegion {
		s.otherRegion.Store(true)
	}
	s.recordWatch(m)
	if m.KnowsEras {
		s.knowsEras.Store(true)
	}
	if m.KnowsStreams {
		s.knowsStreams.Store(true)
	}
	for _, record := range m.StreamRecords {
		s.announcer.deps.Streams.Add(record)
	}
	if m.LinkBytesPerSecond > 0 {
		s.slowLink.Store(m.LinkBytesPerSecond < slowLinkBytesPerSecond)
	}
	position := replicator.Position(m.Era, m.Revision)
	s.revision.Store(position)
	if m.regular() {
		s.handleRegular(m)
	}
	switch {
	case m.Delta != nil:
		s.applyChanges(*m.Delta, m.Delta.ValueBytes())
		s.announcer.puller.end(s, requestRetryInterval)
	case m.Part != nil:
		if err := s.receivePart(m.Part); err != nil {
			return err
		}
	case m.StopChanges:
		s.stoppedTransfer.Store(s.lastTransfer.Load())
		return nil
	case m.Busy:
		s.announcer.puller.refuse(s)
		return nil
	case m.OriginQuery != nil:
		return s.answerOriginQuery(m.OriginQuery)
	case m.OriginReply != nil:
		s.announcer.receiveOriginReply(m.OriginReply)
	case m.WantChanges:
		return s.answerRequest(m)
	}
	s.offerChanges(position)
	return nil
}

// recordWatch stores when the store last answered the other end, or a peer of its own.
func (s *session) recordWatch(m *message) {
	answeredAt := s.announcer.deps.Clock.Now().Add(-max(0, m.StoreAge))
	if m.WatchesStore || m.PeerWatchesStore {
		s.announcer.recordStoreWatch(answeredAt)
	}
	if !m.WatchesStore {
		s.storeAnsweredAt.Store(nil)
		return
	}
	s.announcer.recordPeerWatch(answeredAt)
	s.storeAnsweredAt.Store(&answeredAt)
}

// watchesStore reports whether the other end counts as watching the store.
func (s *session) watchesStore() bool {
	answeredAt := s.storeAnsweredAt.Load()
	return answeredAt != nil && s.announcer.watchValid(*answeredAt)
}

// applyChanges applies changes of the store that the other end has sent, in the given
// number of bytes.
func (s *session) applyChanges(delta replicator.Delta, receivedBytes int) {
	deps := &s.announcer.deps
	updated, valueBytes := deps.Table.Apply(delta), delta.ValueBytes()
	deps.Recorder.Add("changes.receivedBytes", receivedBytes)
	if !updated {
		deps.Recorder.Add("changes.repeatedBytes", receivedBytes)
	}
	if valueBytes >= largeChangeBytes {
		deps.Logger.Info("fleet: received large changes.", "from", s.conn.RemoteAddr(), "revision", delta.Revision, "items", len(delta.Items), "bytes", receivedBytes, "updated", updated)
	} else if updated {
		deps.Logger.Debug("fleet: applied changes from another daemon.", "from", s.conn.RemoteAddr(), "revision", delta.Revision, "items", len(delta.Items))
	}
}

// countingReader counts the bytes that were read from a connection.
type countingReader struct {
	conn  net.Conn
	bytes int
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	r.bytes += n
	return n, err
}

// handleRegular stores what a regular message reports.
func (s *session) handleRegular(m *message) {
	deps := &s.announcer.deps
	if m.Rank != 0 {
		s.rank.Store(m.Rank)
		s.member.Store(&divider.Member{ID: m.Rank, Region: m.Region})
		s.announcer.membership.Add(1)
	}
	s.subscribed.Store(m.Subscribed)
	if m.SharedHosts && deps.OnSharedHosts != nil {
		deps.OnSharedHosts()
	}
	s.backlogTokens.Store(&m.BacklogTokens)
	if s.transfers != nil {
		s.announcer.addTransfers(m.Transfers - *s.transfers)
	}
	s.transfers = &m.Transfers
	if s.speed != nil && deps.OnSpeed != nil {
		deps.OnSpeed(m.Speed.Since(*s.speed))
	}
	s.speed = &m.Speed
	s.announcer.backlogReported()
	if m.Versions != nil {
		s.peerVersions.Store(m.Versions)
		deps.Observer.Learn(m.VersionAges)
	}
	if m.CrashReport != nil {
		deps.Isolator.Merge(*m.CrashReport)
	}
	for _, replica := range deps.Leaving.Merge(m.Leaving) {
		deps.Logger.Info("fleet: replica leaves.", "replica", replica.ID, "started", replica.StartUnixMilli, "source", router.LeavingByPeer, "from", s.conn.RemoteAddr())
	}
	for _, limit := range deps.Limits.Merge(m.Limits) {
		deps.Logger.Info("fleet: limit of a replica changes.", "replica", limit.Replica.ID, "started", limit.Replica.StartUnixMilli, "limited", limit.RequestsPerSecond != nil, "from", s.conn.RemoteAddr())
	}
	s.handleQuotas(m)
	if m.Members != nil {
		s.members.Store(m.Members)
		deps.Limits.SetMembers(s, *m.Members)
	}
	if m.Status == nil {
		return
	}
	status := m.Status.withConstants(s.status)
	s.status = &status
	if known := s.replicaAddress.Swap(&status.Address); known == nil || *known != status.Address {
		s.announcer.setReplica(s, status.Address)
	}
	s.lowerRankedWatchers.Store(int64(m.LowerRankedWatchers))
	deps.OnStatus(status)
	if m.CacheChanges != nil {
		deps.OnCache(status.Address, *m.CacheChanges)
	}
}

// stopChanges has the other end send no more of the changes that were requested from it.
func (s *session) stopChanges() {
	if err := s.send(message{Busy: true, StopChanges: true}); err != nil {
		_ = s.conn.Close()
	}
}

// offerChanges has changes requested once the other end's copy of the store, which has the
// given revision, has been ahead for PullDelay, or at once if the own copy has never
// been complete or has values with older versions than the other end's.
func (s *session) offerChanges(revision uint64) {
	table := s.announcer.deps.Table
	newest, olderKeys := table.NewestRevision(), s.olderKeys()
	if s.peerVersions.Load() != nil && len(olderKeys) == 0 && table.Filled() {
		s.announcer.informed.Store(true)
	}
	if revision <= newest && len(olderKeys) == 0 || revision == 0 {
		s.announcer.puller.withdraw(s)
		return
	}
	delay, cost := s.pullDelay(revision > newest), 0
	if s.otherRegion.Load() {
		cost = 1
	}
	if s.slowLink.Load() {
		cost += slowLinkCost
		switch {
		case s.announcer.readsStoreForOthers():
			delay = max(delay, s.announcer.deps.PullDelay()+s.announcer.pullTurn(storeReadSpacing))
		case !s.watchesStore():
			delay += slowLinkPullDelay
		}
	}
	s.announcer.puller.offer(s, delay, cost)
}

// readsStoreForOthers reports whether this daemon, a sidecar, reads a change from the store that it
// would get over a slow link otherwise, and passes it on.
func (a *Announcer) readsStoreForOthers() bool {
	return a.deps.UpdateFromStore != nil && a.deps.LinkBytesPerSecond >= slowLinkBytesPerSecond
}

// olderKeys returns the keys of which the other end has values with newer versions.
func (s *session) olderKeys() []string {
	versions := s.peerVersions.Load()
	if versions == nil {
		return nil
	}
	return s.announcer.deps.Table.OlderThan(*versions)
}

// requestChanges requests the changes that the own copy of the store lacks, unless others have
// brought them.
func (s *session) requestChanges() {
	newest, olderKeys := s.announcer.deps.Table.NewestRevision(), s.olderKeys()
	if s.revision.Load() <= newest && len(olderKeys) == 0 {
		s.announcer.puller.remove(s)
		return
	}
	if s.revision.Load() > newest && s.slowLink.Load() && s.announcer.readsStoreForOthers() && s.announcer.deps.UpdateFromStore(s.ctx) {
		s.announcer.puller.remove(s)
		s.announcer.announceLargeChange()
		return
	}
	if err := s.send(message{WantChanges: true, AfterRevision: newest, WantKeys: olderKeys, AcceptsParts: true}); err != nil {
		_ = s.conn.Close()
	}
}

// pullDelay returns how long changes may be missing before they are requested from the
// other end. Complete contents are large and requested from another region only if no
// daemon of the own one brings them. Newer versions of known keys are requested at once.
func (s *session) pullDelay(behind bool) time.Duration {
	deps := &s.announcer.deps
	switch {
	case !deps.Table.Filled() && s.otherRegion.Load():
		return otherRegionFillDelay
	case deps.Table.Filled() && behind && s.otherRegion.Load():
		return deps.PullDelay() + s.announcer.pullTurn(otherRegionPullSpacing)
	case deps.Table.Filled() && behind:
		return deps.PullDelay()
	}
	return 0
}
