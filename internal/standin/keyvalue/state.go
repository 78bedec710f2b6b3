// Package keyvalue is a stand-in for the platform's key-value service, with the
// faults that the service is known to have as switches.
package keyvalue

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/cyclamenward/cyclamenward/timekeeper"
)

// Faults switches misbehaviour on. The zero value is a healthy service.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down,omitempty"`
	// Delay is added to every call.
	Delay time.Duration `json:"delayNanoseconds,omitempty"`
	// LostReplies is the share of writes that take effect without a reply, 0 to 1.
	LostReplies float64 `json:"lostReplies,omitempty"`
	// LostCalls is the share of calls that are lost before they take effect, 0 to 1.
	LostCalls float64 `json:"lostCalls,omitempty"`
}

// Counts is the number of calls since the start.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

type item struct {
	value   []byte
	version uint64
	lease   string
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// State is the content of the service. It is safe for concurrent use.
type State struct {
	clock timekeeper.Clock

	// mu guards the fields below.
	mu       sync.Mutex
	random   *rand.Rand
	items    map[string]item
	leases   map[string]lease
	revision uint64
	nextID   int
	faults   Faults
	counts   Counts
	// changed is closed and replaced at every write.
	changed chan struct{}
}

// New returns an empty service whose random faults follow the seed.
func New(clock timekeeper.Clock, seed uint64) *State {
	return &State{
		clock:   clock,
		random:  rand.New(rand.NewPCG(seed, 1)),
		items:   make(map[string]item),
		leases:  make(map[string]lease),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults in force.
func (s *State) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Counts returns the number of calls so far.
func (s *State) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Store returns the service's functions for use in the same process.
func (s *State) Store() keeper.Store {
	return keeper.Store{Get: s.get, List: s.list, Swap: s.swap, Watch: s.watch, Grant: s.grant, Renew: s.renew}
}

// begin applies the delay and the faults that precede an effect.
func (s *State) begin(ctx context.Context, counter *uint64) error {
	s.mu.Lock()
	*counter++
	faults := s.faults
	lost := s.random.Float64() < faults.LostCalls
	s.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-s.clock.After(faults.Delay):
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", keeper.ErrUnknownOutcome, ctx.Err())
		}
	}
	if faults.Down {
		return keeper.ErrUnavailable
	}
	if lost {
		return keeper.ErrUnknownOutcome
	}
	return nil
}

// replyLost decides whether the reply to a write is lost. The caller holds mu.
func (s *State) replyLost() bool { return s.random.Float64() < s.faults.LostReplies }

// expire removes entries whose leases have run out. The caller holds mu.
func (s *State) expire() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		for key, it := range s.items {
			if it.lease == id {
				delete(s.items, key)
			}
		}
	}
}

func (s *State) get(ctx context.Context, key string) (keeper.Entry, error) {
	if err := s.begin(ctx, &s.counts.Reads); err != nil {
		return keeper.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	it, ok := s.items[key]
	if !ok {
		return keeper.Entry{}, keeper.ErrNotFound
	}
	return keeper.Entry{Key: key, Value: it.value, Version: it.version}, nil
}

func (s *State) list(ctx context.Context, prefix string) ([]keeper.Entry, error) {
	if err := s.begin(ctx, &s.counts.Reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.above(prefix, 0), nil
}

// above returns the entries below prefix with a version over after. The caller
// holds mu.
func (s *State) above(prefix string, after uint64) []keeper.Entry {
	var entries []keeper.Entry
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && it.version > after {
			entries = append(entries, keeper.Entry{Key: key, Value: it.value, Version: it.version})
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries
}

func (s *State) swap(ctx context.Context, swap keeper.Swap) (uint64, error) {
	if err := s.begin(ctx, &s.counts.Writes); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.items[swap.Key].version != swap.Expected {
		if s.replyLost() {
			return 0, keeper.ErrUnknownOutcome
		}
		return 0, keeper.ErrConflict
	}
	if _, ok := s.leases[swap.Lease]; swap.Lease != "" && !ok {
		return 0, keeper.ErrLeaseLost
	}
	s.revision++
	if swap.Value == nil {
		delete(s.items, swap.Key)
	} else {
		s.items[swap.Key] = item{value: append([]byte(nil), swap.Value...), version: s.revision, lease: swap.Lease}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	if s.replyLost() {
		return 0, keeper.ErrUnknownOutcome
	}
	return s.revision, nil
}

func (s *State) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]keeper.Entry, uint64, error) {
	if err := s.begin(ctx, &s.counts.Reads); err != nil {
		return nil, 0, err
	}
	timeout := s.clock.After(wait)
	for {
		s.mu.Lock()
		s.expire()
		entries, revision, changed := s.above(prefix, after), s.revision, s.changed
		down := s.faults.Down
		s.mu.Unlock()
		if down {
			return nil, 0, keeper.ErrUnavailable
		}
		if len(entries) > 0 {
			return entries, revision, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, fmt.Errorf("%w: %w", keeper.ErrUnavailable, ctx.Err())
		}
	}
}

func (s *State) grant(ctx context.Context, ttl time.Duration) (string, error) {
	if err := s.begin(ctx, &s.counts.Writes); err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := fmt.Sprintf("lease-%d", s.nextID)
	s.leases[id] = lease{ttl: ttl, expires: s.clock.Now().Add(ttl)}
	if s.replyLost() {
		return "", keeper.ErrUnknownOutcome
	}
	return id, nil
}

func (s *State) renew(ctx context.Context, id string) error {
	if err := s.begin(ctx, &s.counts.Writes); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		return keeper.ErrLeaseLost
	}
	l.expires = s.clock.Now().Add(l.ttl)
	s.leases[id] = l
	if s.replyLost() {
		return keeper.ErrUnknownOutcome
	}
	return nil
}
