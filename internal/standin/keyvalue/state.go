// Package keyvalue is a stand-in for the platform's key-value service. The faults that
// the service is known to have can be switched on.
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

// Faults are the faults that the service shows. The zero value is a healthy service.
type Faults struct {
	// Down makes every call fail as unavailable.
	Down bool `json:"down,omitempty"`
	// Delay is how long every call waits before it takes effect.
	Delay time.Duration `json:"delayNanoseconds,omitempty"`
	// LostReplies is the share of writes that take effect without a reply, 0 to 1.
	LostReplies float64 `json:"lostReplies,omitempty"`
	// LostCalls is the share of calls that are lost before they take effect, 0 to 1.
	LostCalls float64 `json:"lostCalls,omitempty"`
}

// Counts holds the numbers of calls since the start.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// item is the value of a key with its version. The item is removed when its lease, if it
// has one, expires.
type item struct {
	value   []byte
	version uint64
	lease   string
}

// lease is a granted lease, which expires unless it is renewed within its TTL.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// State holds the items, leases and faults of the service. It is safe for concurrent
// use.
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
	// changed is closed and replaced at every swap, to wake the watches.
	changed chan struct{}
}

// New returns an empty service. The seed determines the random faults.
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

// Counts returns the numbers of calls since the start.
func (s *State) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Store returns the service's calls for use in the same process.
func (s *State) Store() keeper.Store {
	return keeper.Store{Get: s.get, List: s.list, Swap: s.swap, Watch: s.watch, Grant: s.grant, Renew: s.renew}
}

// applyFaults counts a call and applies the delay and the faults that come before the
// call takes effect.
func (s *State) applyFaults(ctx context.Context, counter *uint64) error {
	s.mu.Lock()
	*counter++
	faults := s.faults
	callLost := s.random.Float64() < faults.LostCalls
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
	if callLost {
		return keeper.ErrUnknownOutcome
	}
	return nil
}

// replyLost decides at random whether the reply to a write is lost. The caller holds mu.
func (s *State) replyLost() bool { return s.random.Float64() < s.faults.LostReplies }

// removeExpired removes expired leases and the items that were stored under them. The
// caller holds mu.
func (s *State) removeExpired() {
	now := s.clock.Now()
	for id, granted := range s.leases {
		if now.Before(granted.expires) {
			continue
		}
		delete(s.leases, id)
		for key, stored := range s.items {
			if stored.lease == id {
				delete(s.items, key)
			}
		}
	}
}

// get returns the entry of a key.
func (s *State) get(ctx context.Context, key string) (keeper.Entry, error) {
	if err := s.applyFaults(ctx, &s.counts.Reads); err != nil {
		return keeper.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	stored, ok := s.items[key]
	if !ok {
		return keeper.Entry{}, keeper.ErrNotFound
	}
	return keeper.Entry{Key: key, Value: stored.value, Version: stored.version}, nil
}

// list returns the entries whose keys have the prefix.
func (s *State) list(ctx context.Context, prefix string) ([]keeper.Entry, error) {
	if err := s.applyFaults(ctx, &s.counts.Reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	return s.entriesAfter(prefix, 0), nil
}

// entriesAfter returns the entries whose keys have the prefix and whose versions are
// greater than after, sorted by key. The caller holds mu.
func (s *State) entriesAfter(prefix string, after uint64) []keeper.Entry {
	var entries []keeper.Entry
	for key, stored := range s.items {
		if strings.HasPrefix(key, prefix) && stored.version > after {
			entries = append(entries, keeper.Entry{Key: key, Value: stored.value, Version: stored.version})
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries
}

// swap writes or deletes a key if its version is the expected one, and returns the new
// revision.
func (s *State) swap(ctx context.Context, swap keeper.Swap) (uint64, error) {
	if err := s.applyFaults(ctx, &s.counts.Writes); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
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

// watch returns the entries whose keys have the prefix and whose versions are greater
// than after, as soon as there are any, or none after the wait. The second result is the
// store's revision at that time.
func (s *State) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]keeper.Entry, uint64, error) {
	if err := s.applyFaults(ctx, &s.counts.Reads); err != nil {
		return nil, 0, err
	}
	timeout := s.clock.After(wait)
	for {
		s.mu.Lock()
		s.removeExpired()
		entries, revision, changed := s.entriesAfter(prefix, after), s.revision, s.changed
		unavailable := s.faults.Down
		s.mu.Unlock()
		if unavailable {
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

// grant returns the ID of a new lease.
func (s *State) grant(ctx context.Context, ttl time.Duration) (string, error) {
	if err := s.applyFaults(ctx, &s.counts.Writes); err != nil {
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

// renew extends a lease by its TTL from now.
func (s *State) renew(ctx context.Context, id string) error {
	if err := s.applyFaults(ctx, &s.counts.Writes); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	granted, ok := s.leases[id]
	if !ok {
		return keeper.ErrLeaseLost
	}
	granted.expires = s.clock.Now().Add(granted.ttl)
	s.leases[id] = granted
	if s.replyLost() {
		return keeper.ErrUnknownOutcome
	}
	return nil
}
