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
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/zeebo/xxh3"
)

const (
	// minShare is the smallest share of a limit that a daemon gets if it is not the only
	// one, in requests a second.
	minShare = 0.5
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
	// transitSlack is more than a report takes from daemon to daemon, which ages do not count.
	transitSlack = 250 * time.Millisecond
	// assumedMembers is how many daemons are assumed to share a limit while none is known.
	assumedMembers = 24
	// memberMemory is how long a daemon that is no longer listed keeps its share: it may be cut
	// off from those that list it, but not from replicas.
	memberMemory = 10 * time.Second
	// maxWait bounds the wait that is reported for replicas to which this daemon may not send.
	maxWait = 5 * time.Second
)

// Replica identifies one start of a replica.
type Replica struct {
	ID             string `cbor:"1,keyasint"`
	StartUnixMilli int64  `cbor:"2,keyasint,omitempty"`
	Region         string `cbor:"3,keyasint,omitempty"`
}

// Member is a daemon that sends requests.
type Member struct {
	// ID is unique among the daemons and not 0.
	ID     uint64 `cbor:"1,keyasint"`
	Region string `cbor:"2,keyasint,omitempty"`
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
}

// New returns a divider without limits.
func New(clock timekeeper.Clock) *Divider {
	return &Divider{clock: clock, states: make(map[string]*state), members: make(map[Member]time.Time), lists: make(map[any][]Member), membership: 1}
}

// SetSelf sets which of the members this daemon is.
func (d *Divider) SetSelf(self Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.self = self
	d.membership++
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

// limits reports whether the replica names a limit.
func (s *state) limits() bool { return !math.IsInf(s.limit, 1) }

// apply replaces the state of a replica by a later observation, whose times may be off by a
// slack. The caller holds mu.
func (d *Divider) apply(next state, slack time.Duration) {
	now := d.clock.Now()
	if now.Sub(next.answeredAt) >= memory {
		return
	}
	current := d.states[next.replica.ID]
	if current == nil && !next.limits() {
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
	if current != nil && current.limits() {
		d.limited.Add(-1)
	}
	if next.limits() {
		d.limited.Add(1)
	}
	d.forget(now)
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
		if s.limits() {
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
	if s == nil || !s.limits() || !s.covers(replica) || d.clock.Now().Sub(s.answeredAt) >= memory {
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

// share returns this daemon's share of the limit of a replica. The caller holds mu.
func (d *Divider) share(s *state) float64 {
	limit := max(s.limit, probeRate)
	if len(d.members) == 0 {
		return limit / assumedMembers
	}
	sharers := min(len(d.members), max(1, int(min(limit, math.MaxInt32)/minShare)))
	preferred := 0
	key := xxh3.HashString(s.replica.ID)
	own := d.self.order(s.replica.Region, key)
	for member := range d.members {
		if member != d.self && member.order(s.replica.Region, key).before(own) {
			preferred++
		}
	}
	if preferred >= sharers {
		return 0
	}
	return limit / float64(sharers)
}

// Selects reports whether this daemon is the one of all members that a key selects; each is
// if none is known.
func (d *Divider) Selects(key uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeMembers(d.clock.Now())
	own := d.self.order(d.self.Region, key)
	for member := range d.members {
		if member != d.self && member.order(member.Region, key).before(own) {
			return false
		}
	}
	return true
}

// order is the place of a member among those that may send to a replica.
type order struct {
	otherRegion bool
	hash        uint64
}

func (m Member) order(region string, key uint64) order {
	var id [8]byte
	binary.LittleEndian.PutUint64(id[:], m.ID)
	return order{otherRegion: m.Region != region, hash: xxh3.HashSeed(id[:], key)}
}

func (o order) before(other order) bool {
	if o.otherRegion != other.otherRegion {
		return other.otherRegion
	}
	return o.hash < other.hash
}

// SetMembers sets the members that a source lists. They replace those that it listed before.
func (d *Divider) SetMembers(source any, list []Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordListed()
	if list == nil {
		delete(d.lists, source)
	} else {
		d.lists[source] = list
	}
	d.recordListed()
}

// recordListed records that the listed members are listed now. The caller holds mu.
func (d *Divider) recordListed() {
	now := d.clock.Now()
	for _, list := range d.lists {
		for _, member := range list {
			if _, known := d.members[member]; !known {
				d.membership++
			}
			d.members[member] = now
		}
	}
}

// removeMembers removes members that have not been listed for memberMemory. The caller holds
// mu.
func (d *Divider) removeMembers(now time.Time) {
	if now.Sub(d.membersCheckedAt) < memberMemory/10 {
		return
	}
	d.membersCheckedAt = now
	d.recordListed()
	maps.DeleteFunc(d.members, func(_ Member, at time.Time) bool {
		gone := len(d.lists) > 0 && now.Sub(at) >= memberMemory
		if gone {
			d.membership++
		}
		return gone
	})
}

// Version changes with what other daemons should learn.
func (d *Divider) Version() uint64 { return d.version.Load() }

// Limit is an observation that daemons report to each other.
type Limit struct {
	Replica     Replica `cbor:"1,keyasint"`
	Observation uint64  `cbor:"2,keyasint"`
	// RequestsPerSecond is nil if the replica names no limit.
	RequestsPerSecond *float64 `cbor:"3,keyasint,omitempty"`
	// SentAgo and AnsweredAgo are how long ago the request was sent and its answer arrived.
	SentAgo     time.Duration `cbor:"4,keyasint"`
	AnsweredAgo time.Duration `cbor:"5,keyasint"`
}

// Report returns what other daemons should learn of after a version.
func (d *Divider) Report(after uint64) []Limit {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	var list []Limit
	for _, s := range d.states {
		if s.version <= after || now.Sub(s.answeredAt) >= memory {
			continue
		}
		limit := Limit{Replica: s.replica, Observation: s.observation, SentAgo: now.Sub(s.sentAt), AnsweredAgo: now.Sub(s.answeredAt)}
		if s.limits() {
			value := s.limit
			limit.RequestsPerSecond = &value
		}
		list = append(list, limit)
	}
	slices.SortFunc(list, func(a, b Limit) int { return cmp.Compare(b.AnsweredAgo, a.AnsweredAgo) })
	return list
}

// Merge records what another daemon reports and returns the reports that change a known limit.
func (d *Divider) Merge(report []Limit) (changes []Limit) {
	if len(report) == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for _, limit := range report {
		value := math.Inf(1)
		if limit.RequestsPerSecond != nil {
			value = *limit.RequestsPerSecond
		}
		if !(value >= 0) || limit.AnsweredAgo < 0 || limit.SentAgo < limit.AnsweredAgo {
			continue
		}
		before := d.knownLimit(limit.Replica)
		d.apply(state{replica: limit.Replica, observation: limit.Observation, limit: value, sentAt: now.Add(-limit.SentAgo), answeredAt: now.Add(-limit.AnsweredAgo)}, transitSlack)
		if d.knownLimit(limit.Replica) != before {
			changes = append(changes, limit)
		}
	}
	return changes
}
