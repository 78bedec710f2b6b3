// Package announcer exchanges state between daemons: sidecars report the state and
// cache contents of their replicas to entries, and all daemons replicate the
// platform's store to each other, so that a daemon that the store does not serve
// still receives changes.
//
// The protocol is CBOR over TCP. Each end sends at least one message per period, so
// that a silent connection is detected.
package announcer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
	"github.com/fxamacker/cbor/v2"
)

const (
	// period is the longest time between two messages of one end within a region;
	// farPeriod that to another region, where bytes are dear.
	period    = 125 * time.Millisecond
	farPeriod = 300 * time.Millisecond
	// messageRate is how many messages a daemon sends in a second at most, until periods
	// are as long as longestPeriod: one costs some 0.1 ms of processor at each end.
	messageRate   = 400
	longestPeriod = 500 * time.Millisecond
	// silenceLimit is how long an end waits for a message, four of the longest periods.
	silenceLimit = 2 * time.Second
	// askAgain is when changes that were asked for and did not come are asked for
	// again.
	askAgain = 150 * time.Millisecond
)

// Status is what a sidecar reports about its replica.
type Status struct {
	// Address is the replica's IP address and port.
	Address string `cbor:"1,keyasint"`
	// Phase is a router.Phase.
	Phase int `cbor:"2,keyasint"`
	// PhaseAge is how long the phase has lasted.
	PhaseAge time.Duration `cbor:"9,keyasint,omitempty"`
	// StartUnixMilli distinguishes incarnations with the same id, in Unix milliseconds.
	StartUnixMilli  int64          `cbor:"3,keyasint"`
	WeightsVersions map[string]int `cbor:"4,keyasint,omitempty"`
	Running         int            `cbor:"5,keyasint"`
	Queued          int            `cbor:"6,keyasint"`
	MemoryUsed      int            `cbor:"7,keyasint"`
	// BacklogTokens is how many prompt tokens all entries have sent that the replica has
	// not read yet.
	BacklogTokens [router.PriorityLevels]int `cbor:"8,keyasint,omitempty"`
}

// message is the only message between daemons.
type message struct {
	// Status is nil if the sender has no replica or nothing changed.
	Status *Status `cbor:"1,keyasint,omitempty"`
	// Revision is the newest change that the sender's copy contains.
	Revision uint64 `cbor:"2,keyasint"`
	// Want asks for the changes behind After.
	Want  bool   `cbor:"3,keyasint,omitempty"`
	After uint64 `cbor:"4,keyasint,omitempty"`
	// Delta answers a Want.
	Delta *replicator.Delta `cbor:"5,keyasint,omitempty"`
	// WatchesStore is set while the sender watches the store successfully.
	WatchesStore bool `cbor:"6,keyasint,omitempty"`
	// Cache is what changed in the cache of the sender's replica.
	Cache *CacheChanges `cbor:"7,keyasint,omitempty"`
	// Waiting is how many prompt tokens the sender has sent to the receiver's
	// replica that are not read yet.
	Waiting [router.PriorityLevels]int `cbor:"8,keyasint,omitempty"`
	// Rank orders entries that watch the store; 0 for sidecars.
	Rank uint64 `cbor:"10,keyasint,omitempty"`
	// Place is how many entries of a lower rank the store serves, as the sender
	// knows.
	Place int `cbor:"11,keyasint,omitempty"`
	// Far is set if the sender has found the receiver in another region.
	Far bool `cbor:"9,keyasint,omitempty"`
}

// session is one connection between two daemons.
type session struct {
	owner   *Announcer
	conn    net.Conn
	encoder *cbor.Encoder
	writer  *bufio.Writer
	// cursor is the place in the cache log up to which the other end was sent it.
	// Only the sender uses it.
	cursor uint64

	// rank, fed and place are what the other end last said.
	rank  atomic.Uint64
	fed   atomic.Bool
	place atomic.Int64
	// far is set if the ends are in different regions.
	far atomic.Bool
	// replica is the address of the other end's replica, nil before it was named.
	replica atomic.Pointer[string]
	// waiting is what the other end last said in Waiting.
	waiting atomic.Pointer[[router.PriorityLevels]int]

	// mu guards the writer and encoder.
	mu sync.Mutex
	// behindSince is when the other copy was first seen ahead, zero if it is not.
	// Only the reader uses it.
	behindSince time.Time
}

func newSession(owner *Announcer, conn net.Conn, far bool) *session {
	writer := bufio.NewWriter(conn)
	s := &session{owner: owner, conn: conn, writer: writer, encoder: cbor.NewEncoder(writer)}
	s.far.Store(far)
	return s
}

// cacheChanged returns a channel that is closed when there is news of the cache. To
// other regions it goes with the next message.
func (s *session) cacheChanged() <-chan struct{} {
	if cache := s.owner.d.CacheLog; cache != nil && !s.far.Load() {
		return cache.changed.Wait()
	}
	return nil
}

// period is the longest time between two messages. With many sessions it grows, so that
// messages do not use up the processor.
func (s *session) period() time.Duration {
	least := period
	if s.far.Load() {
		least = farPeriod
	}
	return max(least, s.owner.loadPeriod())
}

// run exchanges messages until the connection fails or ctx ends.
func (s *session) run(ctx context.Context) error {
	d := &s.owner.d
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	go func() {
		defer cancel()
		for ctx.Err() == nil {
			news, cached := d.Broadcaster.Wait(), s.cacheChanged()
			m := message{Status: d.Status(), Far: s.far.Load(), Rank: d.Rank, Place: s.owner.placeOf(s)}
			if m.Status != nil {
				m.Status.BacklogTokens = s.owner.waiting()
			}
			if replica := s.replica.Load(); replica != nil {
				m.Waiting = d.BacklogTokens(*replica)
			}
			if d.CacheLog != nil {
				m.Cache, s.cursor = d.CacheLog.since(s.cursor)
			}
			if s.send(m) != nil {
				return
			}
			select {
			case <-ctx.Done():
			case <-news:
			case <-cached:
			case <-d.Clock.After(s.period()):
			}
		}
	}()
	decoder := cbor.NewDecoder(bufio.NewReader(s.conn))
	for {
		_ = s.conn.SetReadDeadline(time.Now().Add(silenceLimit))
		var received message
		if err := decoder.Decode(&received); err != nil {
			return fmt.Errorf("read from %s: %w", s.conn.RemoteAddr(), err)
		}
		if err := s.handle(&received); err != nil {
			return err
		}
	}
}

func (s *session) send(m message) error {
	m.Revision, m.WatchesStore = s.owner.d.Table.NewestRevision(), s.owner.d.WatchesStore()
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.conn.SetWriteDeadline(time.Now().Add(silenceLimit))
	if err := s.encoder.Encode(&m); err != nil {
		return fmt.Errorf("write to %s: %w", s.conn.RemoteAddr(), err)
	}
	if err := s.writer.Flush(); err != nil {
		return fmt.Errorf("write to %s: %w", s.conn.RemoteAddr(), err)
	}
	return nil
}

func (s *session) handle(m *message) error {
	d := &s.owner.d
	if m.Far {
		s.far.Store(true)
	}
	if m.WatchesStore {
		s.owner.notePeerWatching()
	}
	s.fed.Store(m.WatchesStore)
	if m.Rank != 0 {
		s.rank.Store(m.Rank)
	}
	if m.Status != nil {
		s.replica.Store(&m.Status.Address)
		s.place.Store(int64(m.Place))
		d.OnStatus(*m.Status)
		if m.Cache != nil {
			d.OnCache(m.Status.Address, *m.Cache)
		}
	}
	s.waiting.Store(&m.Waiting)
	if m.Delta != nil && d.Table.Apply(*m.Delta) {
		d.Logger.Debug("fleet: changes taken from another daemon.", "from", s.conn.RemoteAddr(), "revision", m.Delta.Revision, "items", len(m.Delta.Items))
	}
	if m.Want {
		delta := d.Table.Since(m.After)
		return s.send(message{Delta: &delta})
	}
	return s.pull(m.Revision)
}

// pull asks for changes once the other copy has been ahead for a while.
func (s *session) pull(revision uint64) error {
	d := &s.owner.d
	newest := d.Table.NewestRevision()
	if revision <= newest {
		s.behindSince = time.Time{}
		return nil
	}
	now := d.Clock.Now()
	if s.behindSince.IsZero() {
		s.behindSince = now
	}
	if d.Table.Filled() && now.Sub(s.behindSince) < d.PullDelay() || !s.owner.mayAsk(now) {
		return nil
	}
	return s.send(message{Want: true, After: newest})
}
