// Package enforcer holds an entry's requests to the quotas of their workspaces.
//
// An entry decides by itself: it has a token bucket for each workspace, filled with its share of the
// quota. The share is what sidecars grant it, by what the entry reports it is asked; without grants it is the
// even part of the fleet. Package granter has the other end.
package enforcer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/quota/granter"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/zeebo/xxh3"
)

const (
	// granters is how many sidecars grant portions of the quotas. With fewer more is lost with each
	// of them, and each more has as many messages.
	granters = 8
	// demandTime is the time over which demand is averaged.
	demandTime = 3 * time.Second
	// costTime is the time over which the usual cost of a kind of requests is averaged.
	costTime = 30 * time.Second
	// refillTime is the time in which a bucket that has run low should be full again.
	refillTime = 3 * time.Second
	// recentTime is the time over which the load of a quota is averaged.
	recentTime = 2 * time.Second
	// A quota with a load below ampleLoad has room for all; one whose Ahead is more than
	// aheadTime brings has more.
	ampleLoad = 0.95
	aheadTime = 4 * time.Second
	// ampleTime is how long a quota that was ample is taken to be so.
	ampleTime = 600 * time.Millisecond
	// learnTime is how long after its start an entry takes no quota for ample: what it was asked
	// before is not known.
	learnTime = 3 * time.Second
	// maxReported bounds the workspaces in a report.
	maxReported = 16
	// minReportedDemand is the demand from which on a workspace that no sidecar lists is reported, as
	// a multiple of the even part.
	minReportedDemand = 0.5
	// shareAge is how long a computed share is used.
	shareAge = 50 * time.Millisecond
	// ReportInterval is the interval of reports while there is demand, idleReportInterval without.
	ReportInterval     = 250 * time.Millisecond
	idleReportInterval = 500 * time.Millisecond
	// pauseTime is the time without requests after which a larger share before it is not relied on.
	pauseTime = 500 * time.Millisecond
	// floorShare is the part of what is sent that each kind of request gets at least, however little a
	// usual one of the others costs.
	floorShare = 0.1
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is asked back.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Options are the settings of an enforcer.
type Options struct {
	// FleetShare returns the even part of this entry among all that run, 0 if it is not known.
	FleetShare func() float64
	// Ahead is by how many units all entries together may be ahead of a quota before a request of usual
	// cost is sent.
	Ahead float64
}

// bucket is what this entry may send for one workspace.
type bucket struct {
	quota Quota
	key   uint32
	// started is set once there was a share. The bucket is as empty then as it may be.
	started bool
	// tokens is how much could be sent at tokensAt; less than 0 if that was sent ahead. The cost of one
	// request is no reason to refuse it, only that of usual ones of its kind: what it costs more is
	// owed by those that follow.
	tokens   float64
	tokensAt time.Time
	// share is this entry's share at shareAt.
	share   float64
	shareAt time.Time
	// kinds holds the kinds of requests by their numbers, sent what was sent of all recently.
	kinds map[int]*kindUse
	sent  fading
	// demand and recent are what was asked until demandAt, as units that fade within demandTime and
	// recentTime.
	demand, recent float64
	demandAt       time.Time
	// toppedAt is when the bucket was last filled because the quota was ample.
	toppedAt time.Time
	// promisedUntil is until when the refused callers that were asked back take the share.
	promisedUntil time.Time
}

// kindUse is what is known of one kind of requests of a workspace.
type kindUse struct {
	// count and asked are the requests that were asked for and their cost, which fade within
	// costTime.
	count, asked float64
	askedAt      time.Time
	// sent is the cost of those that were sent.
	sent fading
}

// fading is a sum that fades within demandTime.
type fading struct {
	sum float64
	at  time.Time
}

// value returns the sum at a time.
func (f *fading) value(now time.Time) float64 { return f.sum * decay(now.Sub(f.at), demandTime) }

func (f *fading) add(now time.Time, units float64) { f.sum, f.at = f.value(now)+units, now }

// decay returns the part of a sum that is left after a time.
func decay(elapsed, memory time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / memory.Seconds())
}

// ask records a request that is asked for.
func (u *kindUse) ask(now time.Time, cost float64) {
	left := decay(now.Sub(u.askedAt), costTime)
	u.count, u.asked, u.askedAt = u.count*left+1, u.asked*left+cost, now
}

// grants are what one sidecar has granted.
type grants struct {
	// reportedAt is when the report was sent that they answer.
	reportedAt time.Time
	serial     uint64
	even       float64
	shares     map[uint32]float64
	loads      map[uint32]float64
}

// Enforcer holds the buckets of one entry. It is safe for concurrent use.
type Enforcer struct {
	options   Options
	clock     timekeeper.Clock
	startedAt time.Time

	// mu guards the fields below.
	mu sync.Mutex
	// buckets holds the limited workspaces by name, byKey the same by their numbers.
	buckets map[string]*bucket
	byKey   map[uint32][]*bucket
	// even is the even part of this entry at evenAt.
	even   float64
	evenAt time.Time
	// reported are the demands at reportedAt.
	reported   []granter.Demand
	reportedAt time.Time
	// addresses are those of the sidecars that grant; granted holds what they have, by address.
	addresses []string
	granted   map[string]*grants
}

// New returns an enforcer without quotas.
func New(options Options, clock timekeeper.Clock) *Enforcer {
	return &Enforcer{options: options, clock: clock, startedAt: clock.Now(), buckets: make(map[string]*bucket), byKey: make(map[uint32][]*bucket), granted: make(map[string]*grants)}
}

// SetQuotas sets the quotas by the names of their workspaces. A bucket that is new is empty, and one
// whose quota shrinks shrinks at once.
func (e *Enforcer) SetQuotas(quotas map[string]Quota) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	for name, b := range e.buckets {
		if !quotas[name].Limited() {
			delete(e.buckets, name)
			continue
		}
		e.refill(b, now)
	}
	for name, quota := range quotas {
		if !quota.Limited() {
			continue
		}
		b := e.buckets[name]
		if b == nil {
			b = &bucket{key: Key(name), tokensAt: now, demandAt: now, kinds: make(map[int]*kindUse)}
			e.buckets[name] = b
		}
		b.quota = quota
		e.refill(b, now)
		b.tokens = min(b.tokens, e.burst(b))
	}
	clear(e.byKey)
	for _, b := range e.buckets {
		e.byKey[b.key] = append(e.byKey[b.key], b)
	}
}

// Key returns the number by which daemons name a workspace to each other. Workspaces with the same
// number get shares for the demand of both.
func Key(name string) uint32 { return uint32(xxh3.HashString(name)) }

// SetPeers sets the addresses of the sidecars, of which those with the lowest hashes grant.
func (e *Enforcer) SetPeers(addresses []string) {
	chosen := slices.Clone(addresses)
	slices.SortFunc(chosen, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxh3.HashString(a), xxh3.HashString(b)), cmp.Compare(a, b))
	})
	chosen = slices.Compact(chosen)
	chosen = chosen[:min(len(chosen), granters)]
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addresses = chosen
	for address := range e.granted {
		if !slices.Contains(chosen, address) {
			delete(e.granted, address)
		}
	}
}

// Ask records that a request of a workspace and of a kind asks for its cost, and reports whether it may be
// sent. If not, the caller should come back after the given time. Kinds are few numbers; requests of one kind
// are equal but for what they cost.
func (e *Enforcer) Ask(name string, kind int, cost float64) (retryAfter time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.buckets[name]
	if b == nil {
		return 0, true
	}
	now := e.clock.Now()
	b.fade(now)
	b.demand += cost
	b.recent += cost
	use := b.kind(kind)
	use.ask(now, cost)
	e.refill(b, now)
	if e.allows(b, use, cost, now) {
		return 0, true
	}
	return e.refuse(b, use, cost, now), false
}

// kind returns the use of a kind. The caller holds mu.
func (b *bucket) kind(number int) *kindUse {
	use := b.kinds[number]
	if use == nil {
		use = new(kindUse)
		b.kinds[number] = use
	}
	return use
}

// Take charges a request that is about to be sent. It returns false if there is no room for it;
// nothing may be sent then.
func (e *Enforcer) Take(name string, kind int, cost float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.buckets[name]
	if b == nil {
		return true
	}
	now := e.clock.Now()
	e.refill(b, now)
	use := b.kind(kind)
	if !e.allows(b, use, cost, now) {
		return false
	}
	b.tokens -= cost
	b.sent.add(now, cost)
	use.sent.add(now, cost)
	return true
}

// GiveBack returns what was charged for a request that has certainly not run.
func (e *Enforcer) GiveBack(name string, kind int, cost float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if b := e.buckets[name]; b != nil {
		now := e.clock.Now()
		e.refill(b, now)
		b.tokens = min(b.tokens+cost, e.burst(b))
		b.sent.add(now, -cost)
		b.kind(kind).sent.add(now, -cost)
	}
}

// RetryAfter returns when a caller should come back for whose request Take had no room.
func (e *Enforcer) RetryAfter(name string, kind int, cost float64) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.buckets[name]
	if b == nil {
		return minRetryAfter
	}
	now := e.clock.Now()
	e.refill(b, now)
	return e.refuse(b, b.kind(kind), cost, now)
}

// Share returns this entry's share of a workspace's quota, for logs.
func (e *Enforcer) Share(name string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if b := e.buckets[name]; b != nil {
		return b.share
	}
	return 1
}

// allows reports whether a request of a kind may be sent. The caller holds mu.
func (e *Enforcer) allows(b *bucket, use *kindUse, cost float64, now time.Time) bool {
	if b.share <= 0 || cost > max(b.quota.Burst, e.options.Ahead) {
		return false
	}
	usual, floor := use.usual(), use.sent.value(now) < floorShare*b.sent.value(now)
	if floor && usual <= e.ahead() {
		return true
	}
	return b.tokens+e.ahead() >= e.needed(b, use, cost, now)
}

// needed returns how much the bucket must hold for a request of a kind, with what may be sent ahead: as much
// as a usual one costs, but no more than it can hold. It is nothing while the quota is ample, and for a kind
// that has had less than its least share. The caller holds mu.
func (e *Enforcer) needed(b *bucket, use *kindUse, cost float64, now time.Time) float64 {
	most := e.burst(b) + e.ahead()
	switch {
	case !b.toppedAt.IsZero() && now.Sub(b.toppedAt) < ampleTime:
		return 0
	case b.usual(now) > e.even*(b.quota.Burst+2*e.options.Ahead):
		// If each of so many entries sent one request, that alone would be beyond the quota.
		return max(cost-e.ahead(), min(cost, most))
	case use.sent.value(now) < floorShare*b.sent.value(now):
		return 0
	}
	return min(use.usual(), most)
}

// usual returns what a request of the kind usually costs.
func (u *kindUse) usual() float64 { return u.asked / max(u.count, 1) }

// usual returns what a request of the workspace usually costs.
func (b *bucket) usual(now time.Time) float64 {
	var asked, count float64
	for _, use := range b.kinds {
		left := decay(now.Sub(use.askedAt), costTime)
		asked, count = asked+left*use.asked, count+left*use.count
	}
	return asked / max(count, 1)
}

// refuse returns when the caller of a refused request should come back: after those that were
// refused before. The caller holds mu.
func (e *Enforcer) refuse(b *bucket, use *kindUse, cost float64, now time.Time) time.Duration {
	rate := b.quota.Rate * b.share
	if rate <= 0 {
		return spread(2 * minRetryAfter)
	}
	duration := func(units float64) time.Duration {
		return time.Duration(min(units/rate, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	at := now.Add(duration(e.needed(b, use, cost, now) - b.tokens))
	if b.promisedUntil.After(at) {
		at = b.promisedUntil
	}
	at = now.Add(min(at.Sub(now), maxRetryAfter))
	b.promisedUntil = at.Add(duration(cost))
	return spread(max(minRetryAfter, at.Sub(now)))
}

// spread returns a time of up to a quarter more than d, at random.
func spread(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)/4+1))
}

// refill adds the tokens since the last call. The caller holds mu.
func (e *Enforcer) refill(b *bucket, now time.Time) {
	elapsed, share := now.Sub(b.tokensAt), b.share
	if now.Sub(b.shareAt) >= shareAge {
		b.share, b.shareAt = e.shareOf(b.key, now), now
	}
	if elapsed >= pauseTime {
		share = min(share, b.share)
	}
	if !b.started && b.share > 0 {
		b.started, b.tokens, elapsed = true, -e.ahead(), 0
	}
	b.tokens = min(b.tokens+elapsed.Seconds()*b.quota.Rate*share, e.burst(b))
	b.tokensAt = now
}

// ahead returns by how much this entry may be ahead of its share. The caller holds mu.
func (e *Enforcer) ahead() float64 { return e.options.Ahead * e.even }

// burst returns this entry's part of the burst, which is all that the bucket may hold: half of it goes by
// shares, half evenly, since a bucket with few requests needs more room for each. The caller holds mu.
func (e *Enforcer) burst(b *bucket) float64 {
	return b.quota.Burst * (b.share + min(e.even, 1)) / 2
}

// shareOf returns this entry's share of the quota of the workspace with a key: the mean of its parts of all
// portions. The caller holds mu.
func (e *Enforcer) shareOf(key uint32, now time.Time) float64 {
	if now.Sub(e.evenAt) >= shareAge {
		e.even, e.evenAt = e.evenPart(now), now
	}
	if len(e.addresses) == 0 {
		return e.even
	}
	sum := 0.0
	for _, address := range e.addresses {
		g := e.granted[address]
		if !g.valid(now) {
			sum += e.even
		} else if share, listed := g.shares[key]; listed {
			sum += share
		} else {
			sum += g.even
		}
	}
	return sum / float64(len(e.addresses))
}

// evenPart returns the even part of this entry, as the fleet is known to it or to a sidecar that
// grants. The caller holds mu.
func (e *Enforcer) evenPart(now time.Time) float64 {
	even := e.options.FleetShare()
	if even > 0 {
		return even
	}
	for _, g := range e.granted {
		if g.valid(now) && (even == 0 || g.even < even) {
			even = g.even
		}
	}
	return even
}

// valid reports whether the grants may be used.
func (g *grants) valid(now time.Time) bool {
	return g != nil && now.Sub(g.reportedAt) < granter.LeaseTime
}

// fade brings the demand up to the given time.
func (b *bucket) fade(now time.Time) {
	if elapsed := now.Sub(b.demandAt); elapsed > 0 {
		b.demand *= decay(elapsed, demandTime)
		b.recent *= decay(elapsed, recentTime)
		b.demandAt = now
	}
}

// Report returns what is to be reported to the sidecar at an address, nil if it does not grant, there
// are no quotas or the last report, at lastAt, was short ago.
func (e *Enforcer) Report(address string, lastAt time.Time) *granter.Report {
	now := e.clock.Now()
	if now.Sub(lastAt) < ReportInterval {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.buckets) == 0 || !slices.Contains(e.addresses, address) {
		return nil
	}
	if now.Sub(e.reportedAt) >= ReportInterval/2 {
		e.reported, e.reportedAt = e.demands(now), now
	}
	demands := e.reported
	if len(demands) == 0 && now.Sub(lastAt) < idleReportInterval {
		return nil
	}
	report := &granter.Report{At: now.Sub(e.startedAt).Milliseconds(), Demands: demands}
	if g := e.granted[address]; g != nil {
		report.Applied = g.serial
	}
	return report
}

// demands returns the workspaces with demand that may exceed the even part somewhere. The caller holds
// mu.
func (e *Enforcer) demands(now time.Time) (demands []granter.Demand) {
	threshold := minReportedDemand * e.evenPart(now)
	for _, b := range e.buckets {
		b.fade(now)
		// An entry whose bucket has run low goes before one whose bucket is full.
		e.refill(b, now)
		share := (b.demand/demandTime.Seconds() + max(0, e.burst(b)-b.tokens)/refillTime.Seconds()) / b.quota.Rate
		scaled := int(share * granter.Scale)
		if scaled > 0 && (share >= threshold || e.listed(b.key)) {
			demands = append(demands, granter.Demand{Workspace: b.key, Share: scaled, Load: int(b.recent / recentTime.Seconds() / b.quota.Rate * granter.Scale)})
		}
	}
	slices.SortFunc(demands, func(a, b granter.Demand) int { return cmp.Compare(b.Share, a.Share) })
	return demands[:min(len(demands), maxReported)]
}

// listed reports whether a sidecar has listed a workspace. The caller holds mu.
func (e *Enforcer) listed(key uint32) bool {
	for _, g := range e.granted {
		if _, found := g.shares[key]; found {
			return true
		}
	}
	return false
}

// Receive applies the grants of the sidecar at an address.
func (e *Enforcer) Receive(address string, received granter.Grants) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.addresses, address) {
		return
	}
	g := &grants{reportedAt: e.startedAt.Add(time.Duration(received.At) * time.Millisecond), serial: received.Serial, even: float64(received.Even) / granter.Scale, shares: make(map[uint32]float64, len(received.List))}
	g.loads = make(map[uint32]float64, len(received.List))
	for _, grant := range received.List {
		g.loads[grant.Workspace] = float64(grant.Load) / granter.Scale
		g.shares[grant.Workspace] = float64(grant.Share) / granter.Scale
	}
	before := e.granted[address]
	e.granted[address] = g
	if before == nil {
		before = g
	}
	// A smaller share holds from here on, since the next report confirms it.
	now := e.clock.Now()
	for key := range g.shares {
		e.applyShare(key, now)
	}
	for key := range before.shares {
		if _, listed := g.shares[key]; !listed {
			e.applyShare(key, now)
		}
	}
}

// applyShare uses what was granted for a workspace from now on. The caller holds mu.
func (e *Enforcer) applyShare(key uint32, now time.Time) {
	for _, b := range e.byKey[key] {
		e.refill(b, now)
		b.share, b.shareAt = e.shareOf(key, now), now
		capacity := e.burst(b)
		b.tokens = min(b.tokens, capacity)
		if b.started && e.ample(b, now) {
			// What the others have and do not use is at most the rest of the burst, and pays what was
			// sent ahead here.
			others := 1 - min(1, b.share)
			b.tokens, b.toppedAt = min(capacity, b.tokens+others*(max(0, -b.tokens)+capacity+2*e.ahead())), now
		}
	}
}

// ample reports whether all that the entries are asked is well within the quota, so that it does not
// matter which of them sends it. Most sidecars have to have said so since the bucket was last topped up. The caller holds mu.
func (e *Enforcer) ample(b *bucket, now time.Time) bool {
	if now.Sub(e.startedAt) < learnTime {
		return false
	}
	most := ampleLoad + e.options.Ahead/aheadTime.Seconds()/b.quota.Rate
	heard := 0
	for _, address := range e.addresses {
		g := e.granted[address]
		if !g.valid(now) || g.reportedAt.Before(b.toppedAt.Add(-ReportInterval)) {
			continue
		}
		if g.loads[b.key] >= most {
			return false
		}
		heard++
	}
	return 2*heard > len(e.addresses)
}
