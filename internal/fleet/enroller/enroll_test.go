package enroller_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/fleet/enroller"
	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// fakeStore holds one item.
type fakeStore struct {
	// mu guards the fields below.
	mu      sync.Mutex
	version uint64
	lease   string
	calls   int
	err     error
}

// call counts a call and returns the error that the store answers with.
func (s *fakeStore) call() error {
	s.calls++
	return s.err
}

func (s *fakeStore) store() keeper.Store {
	return keeper.Store{
		Get: func(context.Context, string) (keeper.Entry, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if err := s.call(); err != nil {
				return keeper.Entry{}, err
			}
			if s.version == 0 {
				return keeper.Entry{}, keeper.ErrNotFound
			}
			return keeper.Entry{Version: s.version}, nil
		},
		Grant: func(context.Context, time.Duration) (string, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			return time.Now().String(), s.call()
		},
		Swap: func(_ context.Context, swap keeper.Swap) (uint64, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if err := s.call(); err != nil {
				return 0, err
			}
			if swap.Expected != s.version {
				return 0, keeper.ErrConflict
			}
			s.version, s.lease = s.version+1, swap.Lease
			return s.version, nil
		},
		Renew: func(_ context.Context, lease string) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			if err := s.call(); err != nil {
				return err
			}
			if lease != s.lease {
				return keeper.ErrLeaseLost
			}
			return nil
		},
	}
}

// start starts an enroller, whose daemon sees what the store holds, beside other items.
func (s *fakeStore) start(t *testing.T, wanted bool, others int) {
	t.Helper()
	e := enroller.New(enroller.Dependencies{
		Store: s.store(), Key: "k", Value: []byte("v"), Clock: timekeeper.System{}, Logger: log.New(io.Discard),
		Wanted: func() bool { return wanted },
		Listed: func() (int, bool) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.version == 0 {
				return others, false
			}
			return others + 1, true
		},
	})
	t.Cleanup(e.Close)
}

// callsIn returns the number of calls in a time.
func (s *fakeStore) callsIn(d time.Duration) int {
	s.mu.Lock()
	before := s.calls
	s.mu.Unlock()
	<-time.After(d)
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls - before
}

func TestItemIsKeptWithFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		s.start(t, true, 0)
		assert.Equal(t, s.callsIn(9*time.Second), 0, "a daemon that lives for seconds makes no calls")
		assert.Equal(t, s.callsIn(time.Minute+2*time.Second), 3)
		assert.Equal(t, s.callsIn(time.Hour), 18)
		assert.Equal(t, s.version, uint64(1))
		s.mu.Lock()
		s.lease = "" // The lease is lost.
		s.mu.Unlock()
		assert.Equal(t, s.callsIn(200*time.Second), 4)
		assert.Equal(t, s.version, uint64(2))
	})
}

// TestItemOfAnEarlierProcessIsReplaced starts a daemon on a host whose earlier one has left its item.
func TestItemOfAnEarlierProcessIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{version: 7, lease: "earlier"}
		s.start(t, true, 0)
		assert.Equal(t, s.callsIn(71*time.Second), 3)
		assert.Equal(t, s.version, uint64(8))
		assert.Check(t, s.lease != "earlier")
	})
}

// TestNoCallsWithoutNeed has daemons with sidecars, and a fleet with as many items as there may be.
func TestNoCallsWithoutNeed(t *testing.T) {
	for _, tc := range []struct {
		wanted bool
		others int
	}{{false, 0}, {true, 64}} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{}
			s.start(t, tc.wanted, tc.others)
			assert.Equal(t, s.callsIn(time.Hour), 0)
		})
	}
}

// TestUnavailableStoreIsAskedSeldom has the store refuse all calls.
func TestUnavailableStoreIsAskedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{err: keeper.ErrUnavailable}
		s.start(t, true, 0)
		calls := s.callsIn(10 * time.Minute)
		assert.Check(t, calls > 10 && calls <= 20, "%d calls", calls)
	})
}
