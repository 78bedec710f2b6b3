package announcer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
	"github.com/cyclamenward/cyclamenward/timekeeper"
)

const (
	// dialLimit bounds the connecting to another daemon: some round trips between
	// regions.
	dialLimit = 400 * time.Millisecond
	// redialLeast and redialMost bound the pause before the next try.
	redialLeast = 100 * time.Millisecond
	redialMost  = time.Second
)

// Broadcaster wakes all sessions when there is something to say at once.
type Broadcaster struct {
	// mu guards next.
	mu   sync.Mutex
	next chan struct{}
}

// NewBroadcaster returns a notice.
func NewBroadcaster() *Broadcaster { return &Broadcaster{next: make(chan struct{})} }

// Send wakes everybody who waits.
func (n *Broadcaster) Send() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.next)
	n.next = make(chan struct{})
}

// Wait returns a channel that is closed at the next Send.
func (n *Broadcaster) Wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.next
}

// Dependencies are what an announcer works with.
type Dependencies struct {
	Table *replicator.Table
	// Status returns what this daemon reports about its replica, nil if it has none.
	Status func() *Status
	// OnStatus receives what other daemons report.
	OnStatus func(Status)
	// OnCache receives changes of the cache of the replica at an address.
	OnCache func(address string, news CacheChanges)
	// BacklogTokens returns how many prompt tokens this daemon has sent to the replica at
	// an address that are not read yet.
	BacklogTokens func(address string) [router.PriorityLevels]int
	// CacheLog is the log of the own replica's cache, nil if there is none.
	CacheLog *CacheLog
	// WatchesStore reports whether this daemon watches the store successfully.
	WatchesStore func() bool
	// PullDelay is how long the copy may be behind another before it asks for the
	// changes. Where the store itself is watched, it brings them sooner.
	PullDelay func() time.Duration
	// Rank orders entries; 0 for sidecars.
	Rank uint64
	// Broadcaster wakes the senders.
	Broadcaster *Broadcaster
	Clock       timekeeper.Clock
	Logger      *log.Logger
}

// Announcer holds sessions with other daemons: those that connect to it and those
// that it connects to.
type Announcer struct {
	d        Dependencies
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup

	// mu guards the fields below.
	mu sync.Mutex
	// sessions holds all that are open.
	sessions map[*session]bool
	// watchedAt is when a peer last reported that it watches the store.
	watchedAt time.Time
	// askedAt is when changes were last asked for.
	askedAt time.Time
	// reached holds what ends the speaking with each address.
	connected map[string]context.CancelFunc
}

// New starts an announcer. An empty address means that it accepts no connections.
func New(address string, d Dependencies) (*Announcer, error) {
	a := &Announcer{d: d, connected: make(map[string]context.CancelFunc), sessions: make(map[*session]bool)}
	a.ctx, a.cancel = context.WithCancel(context.Background())
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
				d.Logger.Warn("fleet: accept failed.", "err", err)
				<-d.Clock.After(redialLeast)
				continue
			}
			a.tasks.Go(func() {
				err := a.serve(a.ctx, conn, false)
				d.Logger.Debug("fleet: lost daemon.", "address", conn.RemoteAddr(), "err", err)
			})
		}
	})
	return a, nil
}

// serve runs one session and closes the connection.
func (a *Announcer) serve(ctx context.Context, conn net.Conn, far bool) error {
	defer func() { _ = conn.Close() }()
	s := newSession(a, conn, far)
	a.mu.Lock()
	a.sessions[s] = true
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.sessions, s)
	}()
	return s.run(ctx)
}

// BacklogTokens returns how many prompt tokens all other daemons have sent to the own
// replica that it has not read yet.
func (a *Announcer) BacklogTokens() int {
	sum := 0
	for _, tokens := range a.waiting() {
		sum += tokens
	}
	return sum
}

// waiting returns the prompt tokens that all other daemons have sent to the own
// replica and that are not read yet, by priority.
func (a *Announcer) waiting() (sum [router.PriorityLevels]int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for s := range a.sessions {
		if waiting := s.waiting.Load(); waiting != nil {
			for i, tokens := range waiting {
				sum[i] += tokens
			}
		}
	}
	return sum
}

// notePeerWatching records that a peer watches the store.
func (a *Announcer) notePeerWatching() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchedAt = a.d.Clock.Now()
}

// PeerWatchesStore reports whether a connected daemon watches the store. It then sends
// changes as soon as it has them.
func (a *Announcer) PeerWatchesStore() bool {
	life := 2 * max(farPeriod, a.loadPeriod())
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.watchedAt.IsZero() && a.d.Clock.Now().Sub(a.watchedAt) < life
}

// placeOf returns how many entries the store serves whose rank is below that of the
// other end.
func (a *Announcer) placeOf(to *session) int {
	rank := to.rank.Load()
	a.mu.Lock()
	defer a.mu.Unlock()
	place := 0
	for s := range a.sessions {
		if other := s.rank.Load(); other != 0 && other < rank && s.fed.Load() {
			place++
		}
	}
	return place
}

// LowerRankedWatchers returns how many entries of a lower rank the store serves, as reported by the
// sidecar that knows the fewest; 0 without a session.
func (a *Announcer) LowerRankedWatchers() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	least := -1
	for s := range a.sessions {
		if place := int(s.place.Load()); least < 0 || place < least {
			least = place
		}
	}
	return max(0, least)
}

// loadPeriod is the period at which messages to all sessions stay within the rate.
func (a *Announcer) loadPeriod() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return min(longestPeriod, time.Duration(len(a.sessions))*time.Second/messageRate)
}

// mayAsk reports whether it is time to ask for changes, and notes it.
func (a *Announcer) mayAsk(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.askedAt) < askAgain {
		return false
	}
	a.askedAt = now
	return true
}

// Peer is a daemon to connect to.
type Peer struct {
	// Address is its IP address and port.
	Address string
	// OtherRegion is set if it is in another region.
	OtherRegion bool
}

// SetPeers keeps a session with each peer and ends those with others.
func (a *Announcer) SetPeers(peers []Peer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	wanted := make(map[string]bool, len(peers))
	for _, peer := range peers {
		address := peer.Address
		wanted[address] = true
		if a.connected[address] != nil || a.ctx.Err() != nil {
			continue
		}
		ctx, cancel := context.WithCancel(a.ctx)
		a.connected[address] = cancel
		a.tasks.Go(func() { a.maintain(ctx, peer) })
	}
	for address, cancel := range a.connected {
		if !wanted[address] {
			cancel()
			delete(a.connected, address)
		}
	}
}

// keep connects again whenever a session ends.
func (a *Announcer) maintain(ctx context.Context, peer Peer) {
	address := peer.Address
	pause := redialLeast
	dialer := net.Dialer{Timeout: dialLimit, KeepAlive: -1}
	for ctx.Err() == nil {
		began := a.d.Clock.Now()
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			a.d.Logger.Debug("fleet: reached daemon.", "address", address)
			err = a.serve(ctx, conn, peer.OtherRegion)
		}
		if ctx.Err() != nil {
			return
		}
		a.d.Logger.Debug("fleet: lost daemon.", "address", address, "err", err)
		if a.d.Clock.Now().Sub(began) > redialMost {
			pause = redialLeast
		}
		select {
		case <-ctx.Done():
		case <-a.d.Clock.After(pause/2 + time.Duration(rand.Int64N(int64(pause)))):
		}
		pause = min(2*pause, redialMost)
	}
}

// Close ends all sessions.
func (a *Announcer) Close() {
	a.cancel()
	if a.listener != nil {
		_ = a.listener.Close()
	}
	a.tasks.Wait()
}
