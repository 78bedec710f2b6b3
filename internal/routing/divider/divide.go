// Package divider divides the limits that replicas name among daemons.
//
// A limit bounds the requests of all daemons together. Daemons exchange observations of
// limits, and each computes its share from the list of daemons: rendezvous hashing selects
// the few daemons, those of the replica's region first, that may send to a limited replica
// at all. Each of them has a token bucket. A limit below one request a second for each
// daemon so needs no message for each request.
//
// An observation is an interval, from the sending of a request to its answer. Of two
// intervals that overlap the lower limit holds, so that an answer that arrives late does
// not raise a limit. Merging reports is idempotent.
package divider

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
)

const (
	// probeRate is the rate, in requests a second, at which a replica that names a lower limit
	// is still asked whether the limit has ended.
	probeRate = 0.2
	// burstTime is how long the tokens of a share collect; one token always does.
	burstTime = 250 * time.Millisecond
	// memory is how long an observation is valid without another.
	memory = time.Minute
	// refreshInterval is the interval at which an observation that repeats the one before is
	// reported to other daemons.
	refreshInterval = 2 * time.Second
	// maxWait bounds the wait that is reported for replicas to which this daemon may not send.
	maxWait = 5 * time.Second
)

// Replica identifies one start of a replica.
type Replica struct {
	ID             string `cbor:"1,keyasint"`
	StartUnixMilli int64  `cbor:"2,keyasint,omitempty"`
	Region         string `cbor:"3,keyasint,omitempty"`
}

// state is what is known of the limit of one replica.
type state struct {
	replica Replica
	// observation identifies the observation.
	observation uint64
	// limit is in requests a second, infinite if the replica names none.
	limit float64
	// sentAt and answeredAt are when the request was sent whose answer named the limit, and
	// when the answer arrived.
	sentAt, answeredAt time.Time
	// reportedAt is the answeredAt of the observation that was last reported, and version
	// that of the divider since which it is.
	reportedAt time.Time
	version    uint64
	// rate is this daemon's share in requests a second, computed for a version of the members.
	rate       float64
	membership uint64
	// tokens is how many requests this daemon could send at tokensAt.
	tokens   float64
	tokensAt time.Time
}

// Divider holds this daemon's shares of limits. It is safe for concurrent use.
type Divider struct {
	clock timekeeper.Clock
	// limited is the number of states with a limit. Without any the path of a request takes
	// no lock.
	limited atomic.Int64
	// version counts the changes that other daemons should learn of.
	version atomic.Uint64

	// mu guards the fields below.
	mu sync.Mutex
	// self is this daemon; its ID is 0 in daemons that send no requests.
	self Member
	// states holds what is known of replicas by their IDs.
	states map[string]*state
	// forgotAt is when states were last removed for their age.
	forgotAt time.Time
	// members are the daemons that share limits, with when each was last listed. It is empty
	// before the first list.
	members map[Member]time.Time
	// lists holds the members that each source lists.
	lists map[any][]Member
	// membership counts the changes of members.
	membership uint64
	// membersCheckedAt is when members that are no longer listed were last removed.
	membersCheckedAt time.Time
	// selfListedAt is when this daemon was last listed itself. sidecarsGone is set if it is known why
	// it is not listed: there are no sidecars. cutOff is set while it leaves its shares to others.
	selfListedAt         time.Time
	sidecarsGone, cutOff bool
	// fleet holds when each daemon was last listed, by its ID, for fleetMemory. lastListedAt is when
	// any was, firstListedAt when that began after fleetMemory without a list.
	fleet                       map[uint64]time.Time
	firstListedAt, lastListedAt time.Time
	// censusAt is when the last census was complete, enrolledAt since when this daemon has been in
	// each of them, zero if it was not in the last one.
	censusAt, enrolledAt time.Time
}

// New returns a divider without limits.
func New(clock timekeeper.Clock) *Divider {
	return &Divider{clock: clock, states: make(map[string]*state), members: make(map[Member]time.Time), lists: make(map[any][]Member), fleet: make(map[uint64]time.Time), membership: 1}
}

// Observe records the limit that an answer of a replica names, nil for none, in requests a
// second. The request was sent at sentAt. Observe reports whether the known limit changes, and
// to what.
func (d *Divider) Observe(replica Replica, limit *float64, sentAt time.Time) (known float64, changed bool) {
	if limit == nil && d.limited.Load() == 0 {
		return math.Inf(1), false
	}
	value := math.Inf(1)
	if limit != nil {
		value = max(0, *limit)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.knownLimit(replica)
	d.apply(state{replica: replica, observation: rand.Uint64(), limit: value, sentAt: sentAt, answeredAt: d.clock.Now()}, 0)
	after := d.knownLimit(replica)
	return after, after != before
}

// knownLimit returns the limit that holds for a replica, infinite for none. The caller holds
// mu.
func (d *Divider) knownLimit(replica Replica) float64 {
	if s := d.states[replica.ID]; s != nil && s.covers(replica) {
		return s.limit
	}
	return math.Inf(1)
}

// covers reports whether the state holds for a replica: the list may show its start late.
func (s *state) covers(replica Replica) bool {
	return replica.StartUnixMilli <= s.replica.StartUnixMilli
}

// limited reports whether the replica names a limit.
func (s *state) limited() bool { return !math.IsInf(s.limit, 1) }

// apply replaces the state of a replica by a later observation, whose times may be off by a
// slack. The caller holds mu.
func (d *Divider) apply(next state, slack time.Duration) {
	now := d.clock.Now()
	d.forget(now)
	if now.Sub(next.answeredAt) >= memory {
		return
	}
	current := d.states[next.replica.ID]
	if current == nil && !next.limited() {
		return
	}
	if current != nil && current.replica.StartUnixMilli == next.replica.StartUnixMilli {
		if !current.yieldsTo(next, slack) {
			return
		}
		next.tokens, next.tokensAt, next.reportedAt, next.version = current.tokens, current.tokensAt, current.reportedAt, current.version
	} else if current != nil && current.replica.StartUnixMilli > next.replica.StartUnixMilli {
		return
	}
	if next.tokensAt.IsZero() {
		next.tokensAt = now
	}
	if current == nil || current.limit != next.limit || current.replica != next.replica || next.answeredAt.Sub(next.reportedAt) >= refreshInterval {
		next.reportedAt, next.version = next.answeredAt, d.version.Add(1)
	}
	d.states[next.replica.ID] = &next
	if current != nil && current.limited() {
		d.limited.Add(-1)
	}
	if next.limited() {
		d.limited.Add(1)
	}
}

// yieldsTo reports whether another observation of the same start of the replica replaces the
// state.
func (s *state) yieldsTo(next state, slack time.Duration) bool {
	switch {
	case next.observation == s.observation:
		return false
	case next.limit > s.limit:
		return next.sentAt.Sub(s.answeredAt) > slack
	case next.limit < s.limit:
		return next.answeredAt.Sub(s.sentAt) > slack
	}
	return next.answeredAt.After(s.answeredAt)
}

// forget removes states that are too old, once in a while. The caller holds mu.
func (d *Divider) forget(now time.Time) {
	if now.Sub(d.forgotAt) < time.Second {
		return
	}
	d.forgotAt = now
	for id, s := range d.states {
		if now.Sub(s.answeredAt) < memory {
			continue
		}
		delete(d.states, id)
		if s.limited() {
			d.limited.Add(-1)
		}
	}
}

// Wait returns how long this daemon must not send a request to a replica, 0 if it may now.
func (d *Divider) Wait(replica Replica) time.Duration {
	if d.limited.Load() == 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.limitedState(replica)
	if s == nil {
		return 0
	}
	d.refill(s)
	switch {
	case s.tokens >= 1:
		return 0
	case s.rate <= 0:
		return min(maxWait, time.Duration(float64(time.Second)/max(s.limit, probeRate)))
	}
	return max(time.Nanosecond, time.Duration((1-s.tokens)/s.rate*float64(time.Second)))
}

// Take takes this daemon's permit for one request to a replica. It returns false if there is
// none now.
func (d *Divider) Take(replica Replica) bool {
	if d.limited.Load() == 0 {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.limitedState(replica)
	if s == nil {
		return true
	}
	d.refill(s)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// limitedState returns the state of a replica that names a limit, else nil. The caller holds mu.
func (d *Divider) limitedState(replica Replica) *state {
	s := d.states[replica.ID]
	if s == nil || !s.limited() || !s.covers(replica) || d.clock.Now().Sub(s.answeredAt) >= memory {
		return nil
	}
	return s
}

// refill adds the tokens since the last call. The caller holds mu.
func (d *Divider) refill(s *state) {
	now := d.clock.Now()
	d.removeMembers(now)
	if s.membership != d.membership {
		s.membership, s.rate = d.membership, d.share(s)
	}
	capacity := max(1, s.rate*burstTime.Seconds())
	if elapsed := now.Sub(s.tokensAt).Seconds(); elapsed > 0 {
		s.tokens = min(capacity, s.tokens+elapsed*s.rate)
	}
	s.tokensAt = now
}
