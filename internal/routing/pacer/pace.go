// Package pacer finds how much work a replica takes that has just started or recovered, from how
// it answers.
//
// All daemons together begin with a few requests for each round, the time that an answer takes.
// Each has its share of them, which may be less than one request. Answers in the time expected of
// them double the limit in each round, late ones, rejections and failures lower it. Once it does
// not bind any more, the replica is open.
package pacer

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
)

const (
	// minRound and maxRound bound the time in which the limit may be used once and doubles.
	minRound, maxRound = 100 * time.Millisecond, 500 * time.Millisecond
	// firstRound is the round before the first answer.
	firstRound = 150 * time.Millisecond
	// roundWeight is the weight of one answer in the moving average of the round.
	roundWeight = 0.3
	// minLimit is the lowest limit, openLimit the one at which a slow replica is open, in units of work
	// in a round from all daemons.
	minLimit, openLimit = 0.25, 32
	// shrinkFactor is what is left of the limit after late answers or a rejection.
	shrinkFactor = 0.7
	// laterGrowth is by which part of itself the limit grows in a round once it has shrunk.
	laterGrowth = 0.5
	// lateFactor is how many times as long as expected, and as the replica usually takes, a late
	// answer takes.
	lateFactor = 1.6
	// lateMargin is by how much an answer is late at least.
	lateMargin = 60 * time.Millisecond
	// soundQueueTargets is the longest wait for other requests, as a multiple of the latency target,
	// with which the limit grows, lateQueueTargets that with which it shrinks.
	soundQueueTargets, lateQueueTargets = 0.4, 0.75
	// maxSlowness bounds by how much a replica is slower than expected without being late.
	maxSlowness = 4
	// slownessWeight is the weight of one slower answer in what a replica usually takes.
	slownessWeight = 0.1
	// quietRounds is after how many rounds with sound answers and without a refusal the limit does
	// not bind any more.
	quietRounds = 3
	// soundRounds is how many sound rounds, less late ones, open a replica also if the limit binds: the
	// choice itself keeps its queue short from then on.
	soundRounds = 3
	// fallMemory is how long after a fall the next one makes the replica begin lower.
	fallMemory = 15 * time.Second
	// maxFalls bounds how often the first limit is halved.
	maxFalls = 4
	// unitTokens is how many prompt tokens are one unit of work.
	unitTokens = 4000
	// assumedShare is a daemon's share while the number of daemons is not known.
	assumedShare = 1.0 / 24
)

// Cause is why a replica is paced. It is a code for log lines.
type Cause string

// The causes. A replica that has recovered has failed requests of this daemon.
const (
	Started     Cause = "started"
	Recovered   Cause = "recovered"
	Reachable   Cause = "reachable"
	NewWeights  Cause = "weights"
	rejected    Cause = "rejected"
	lateAnswers Cause = "late"
)

// firstLimit returns the first limit for a cause, in units of work in a round from all daemons.
func (c Cause) firstLimit() float64 {
	if c == Recovered {
		return 2
	}
	return 4
}

// Options are the dependencies of a pacer.
type Options struct {
	Clock timekeeper.Clock
	// Share returns this daemon's part of the work of all daemons, 0 if that is not known.
	Share func() float64
	// OnChange is called when the replica becomes paced, opens, or its limit shrinks. It must not
	// call the pacer.
	OnChange func(Change)
	// Random returns a number in [0, 1); nil means rand.Float64.
	Random func() float64
}

// Event is what happens to a replica's pace.
type Event int

// The events: a replica becomes paced, its limit shrinks, and it does not bind any more.
const (
	Paced Event = iota
	Shrunk
	Opened
)

// Change is a change of a replica's pace.
type Change struct {
	Event Event
	Cause Cause
	// Falls is how often the replica became paced before in short succession.
	Falls int
	// Limit is that of all daemons, in units of work in a round.
	Limit float64
	// Share is this daemon's part of the limit.
	Share float64
	Round time.Duration
}

// Pacer holds the limit of one replica. It is open at first. It is safe for concurrent use.
type Pacer struct {
	options Options
	// paced is false while the replica is open. It is written with mu held.
	paced atomic.Bool

	// mu guards the fields below.
	mu    sync.Mutex
	cause Cause
	// limit is how many units of work all daemons send in a round. It grows by up to its double in each
	// round until it has shrunk once, and then more slowly.
	limit  float64
	shrunk bool
	// base is the limit at the beginning of the round that grewAt began.
	base  float64
	share float64
	round time.Duration
	// allowance is how many units this daemon may send in the round that began at roundAt; it may be
	// negative after a large request. What is left of a round is lost: if daemons saved it, all could
	// send at once.
	allowance float64
	roundAt   time.Time
	// movableAt is when a request was last considered that is movable.
	movableAt time.Time
	// outstanding is the work of this daemon that is not answered.
	outstanding float64
	// probing is set until the first sound answer.
	probing bool
	// grewAt and shrankAt are when the limit last changed by a round, refusedAt is when it last bound.
	grewAt, shrankAt, refusedAt time.Time
	// sound counts the rounds with sound answers, less those with late ones, quiet those of them since
	// the limit last bound.
	sound, quiet int
	// target is the tightest latency target of the requests that were considered, 0 if none had one.
	target time.Duration
	// slowness is how many times as long as expected the replica takes at best, 0 if unknown.
	slowness float64
	// fellAt is when the replica last became paced, falls how often in short succession.
	fellAt time.Time
	falls  int
	// generation counts the starts of pacing; flights of earlier ones do not count.
	generation int
}

// New returns the pacer of an open replica.
func New(options Options) *Pacer {
	if options.Random == nil {
		options.Random = rand.Float64
	}
	return &Pacer{options: options}
}

// Paced reports whether the replica has a limit. It takes no lock.
func (p *Pacer) Paced() bool { return p != nil && p.paced.Load() }

// Begin has the replica be paced. If it is paced already, it begins again only if it has answered
// since. before is the pacer of the replica's last incarnation or nil: falls add up.
func (p *Pacer) Begin(cause Cause, before *Pacer) {
	falls, fellAt, down := before.history()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	if p.paced.Load() && p.probing {
		return
	}
	if fellAt.After(p.fellAt) {
		p.falls, p.fellAt = falls, fellAt
	}
	// Weights in turn are no falls, and a crash and the restart after it are one.
	if cause != NewWeights {
		switch {
		case p.fellAt.IsZero() || now.Sub(p.fellAt) >= fallMemory:
			p.falls = 0
		case !down:
			p.falls++
		}
		p.fellAt = now
	}
	halvings := 0
	if cause != NewWeights {
		halvings = min(p.falls, maxFalls)
	}
	p.cause, p.shrunk, p.probing, p.sound, p.quiet, p.slowness = cause, false, true, 0, 0, 0
	p.limit = max(minLimit, cause.firstLimit()/float64(int(1)<<halvings))
	p.base, p.round, p.outstanding = p.limit, firstRound, 0
	p.updateShare()
	p.allowance, p.roundAt = p.draw(), now
	p.movableAt, p.grewAt, p.shrankAt, p.refusedAt = now, now, time.Time{}, now
	p.generation++
	p.paced.Store(true)
	p.notify(Paced, cause)
}

// history returns how often the replica has fallen in short succession, when it last did, and whether it has
// not answered since a failure.
func (p *Pacer) history() (falls int, fellAt time.Time, down bool) {
	if p == nil {
		return 0, time.Time{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.falls, p.fellAt, p.paced.Load() && p.probing && p.cause == Recovered
}

// updateShare reads this daemon's share. The caller holds mu.
func (p *Pacer) updateShare() {
	if p.share = p.options.Share(); p.share <= 0 {
		p.share = assumedShare
	}
}

// notify tells of a change. The caller holds mu.
func (p *Pacer) notify(event Event, cause Cause) {
	if p.options.OnChange != nil {
		p.options.OnChange(Change{Event: event, Cause: cause, Falls: p.falls, Limit: p.limit, Share: p.share, Round: p.round})
	}
}

// window returns how many units this daemon may send in a round. The caller holds mu.
func (p *Pacer) window() float64 { return p.limit * p.share }

// draw returns the allowance of one round: a whole number of units, at random so that the daemons together
// have the limit. The caller holds mu.
func (p *Pacer) draw() float64 {
	whole, rest := math.Modf(p.window())
	if p.options.Random() < rest {
		whole++
	}
	return whole
}

// renew begins the next round if it is due. The caller holds mu.
func (p *Pacer) renew(now time.Time) {
	rounds := int(now.Sub(p.roundAt) / p.round)
	if rounds <= 0 {
		return
	}
	p.roundAt = p.roundAt.Add(time.Duration(rounds) * p.round)
	p.allowance = p.draw() + min(0, p.allowance+float64(rounds-1)*p.window())
}

// Request is what the pacer has to know of a request.
type Request struct {
	// Tokens is the number of prompt tokens that the replica would prefill.
	Tokens int
	// Expected is the time expected for the answer, Work the part of it in which the request does
	// not wait for others.
	Expected, Work time.Duration
	// Movable is set if another replica may get the request should this one fail.
	Movable bool
}

// units returns the request's units of work.
func (r Request) units() float64 { return max(1, float64(r.Tokens)/unitTokens) }

// Admits reports whether the limit has room for a request. Until the first answer it has room for
// one at a time, and for one that is not movable only if no other has come for a round.
func (p *Pacer) Admits(movable bool, target time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if target > 0 && (p.target == 0 || target < p.target) {
		p.target = target
	}
	return p.admits(p.options.Clock.Now(), movable)
}

// Bound records that the limit has kept a request from the replica.
func (p *Pacer) Bound() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusedAt = p.options.Clock.Now()
}

// admits is Admits. The caller holds mu.
func (p *Pacer) admits(now time.Time, movable bool) bool {
	p.renew(now)
	if movable {
		p.movableAt = now
	}
	switch {
	case !p.paced.Load():
		return true
	case p.allowance < 1 || p.outstanding >= max(1, p.window()):
		return false
	case p.probing:
		return p.outstanding == 0 && (movable || now.Sub(p.movableAt) >= p.round)
	}
	return true
}

// Flight is a request that was sent to a paced replica. The zero value is one to an open replica.
// It ends with the first call of a method.
type Flight struct {
	pacer      *Pacer
	generation int
	units      float64
	request    Request
	sentAt     time.Time
}

// Take counts a request as sent. It returns false if the limit has no room for it any more and
// beyond is not set.
func (p *Pacer) Take(request Request, beyond bool) (Flight, bool) {
	if !p.Paced() {
		return Flight{}, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	if !p.admits(now, request.Movable) && !beyond {
		p.refusedAt = now
		return Flight{}, false
	}
	p.allowance -= request.units()
	p.outstanding += request.units()
	return Flight{pacer: p, generation: p.generation, units: request.units(), request: request, sentAt: now}, true
}

// end ends the flight and returns its pacer with mu held, or nil if the flight does not count.
func (f *Flight) end() *Pacer {
	p := f.pacer
	f.pacer = nil
	if p == nil {
		return nil
	}
	p.mu.Lock()
	if !p.paced.Load() || p.generation != f.generation {
		p.mu.Unlock()
		return nil
	}
	p.outstanding = max(0, p.outstanding-f.units)
	return p
}

// Answered records that the request was answered now. free is set if the replica says that nothing waits
// there: that speaks for all daemons' requests.
func (f *Flight) Answered(free bool) {
	p := f.end()
	if p == nil {
		return
	}
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	took := now.Sub(f.sentAt)
	p.round = min(maxRound, max(minRound, p.round+time.Duration(roundWeight*float64(took-p.round))))
	p.probing = false
	late := p.late(took, f.request.Expected)
	units := f.units
	if free {
		units = max(2, p.window())
		p.sound += 2
	}
	p.judge(now, late, took-time.Duration(p.slowness*float64(f.request.Work)), units)
}

// judge changes the limit by whether answers are late and how long requests wait for others at the
// replica. The caller holds mu.
func (p *Pacer) judge(now time.Time, late bool, queue time.Duration, units float64) {
	queueTargets := 0.0
	if p.target > 0 {
		queueTargets = float64(queue) / float64(p.target)
	}
	switch {
	case late || queueTargets > lateQueueTargets:
		p.shrink(now, lateAnswers)
	case queueTargets <= soundQueueTargets:
		p.grow(now, units)
	}
}

// late reports whether an answer came later than expected of the replica, and learns how slow it is at
// best: work that takes long at any pace does not lower the pace. The caller holds mu.
func (p *Pacer) late(took, expected time.Duration) bool {
	ratio := min(maxSlowness, max(1, float64(took)/float64(max(time.Millisecond, expected))))
	if p.slowness == 0 || ratio < p.slowness {
		p.slowness = ratio
	}
	usual := time.Duration(p.slowness * float64(expected))
	p.slowness += slownessWeight * (ratio - p.slowness)
	return float64(took) > lateFactor*float64(usual) && took > usual+lateMargin
}

// grow records sound work of a number of units. The caller holds mu.
func (p *Pacer) grow(now time.Time, units float64) {
	// One answer alone says less than a round of them.
	growth := min(1, units/max(2, p.window()))
	if p.shrunk {
		growth *= laterGrowth
	}
	p.limit = min(p.limit*(1+growth), 2*p.base)
	p.endRound(now)
}

// endRound records a sound round if one has passed, and opens the replica if its limit does not bind.
// The caller holds mu.
func (p *Pacer) endRound(now time.Time) {
	if now.Sub(p.grewAt) >= p.round {
		p.sound++
		p.quiet++
		if p.refusedAt.After(p.grewAt) {
			p.quiet = 0
		}
		p.grewAt, p.base = now, p.limit
		p.updateShare()
	}
	if p.slowness < lateFactor && (p.quiet >= quietRounds || p.sound >= soundRounds) || p.limit >= openLimit && p.sound >= soundRounds {
		p.paced.Store(false)
		p.notify(Opened, p.cause)
	}
}

// shrink lowers the limit, at most once a round. The caller holds mu.
func (p *Pacer) shrink(now time.Time, cause Cause) {
	p.shrunk, p.quiet = true, 0
	if now.Sub(p.shrankAt) < p.round {
		return
	}
	p.shrankAt, p.sound = now, max(0, p.sound-1)
	p.limit = max(minLimit, shrinkFactor*p.limit)
	p.base = p.limit
	p.allowance = min(p.allowance, math.Ceil(p.window()))
	p.notify(Shrunk, cause)
}

// Rejected records that the replica has turned the request away.
func (f *Flight) Rejected() {
	if p := f.end(); p != nil {
		defer p.mu.Unlock()
		p.shrink(p.options.Clock.Now(), rejected)
	}
}

// Failed records that the request got no usable answer. The replica begins again, with a lower
// limit.
func (f *Flight) Failed() {
	p := f.end()
	if p == nil {
		return
	}
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	p.probing, p.cause, p.fellAt = true, Recovered, now
	p.falls = min(maxFalls, p.falls+1)
	p.limit = min(p.limit, Recovered.firstLimit())
	p.shrink(now, Recovered)
}

// Withdrawn records that the request has ended without a verdict on the replica, or was never sent.
// If the answer was overdue, that counts as a late one.
func (f *Flight) Withdrawn() {
	p := f.end()
	if p == nil {
		return
	}
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	if took, usual := now.Sub(f.sentAt), time.Duration(max(1, p.slowness)*float64(f.request.Expected)); float64(took) > lateFactor*float64(usual) && took > usual+lateMargin {
		p.shrink(now, lateAnswers)
	}
}

// Reported records a report of the replica's load that arrived at a time: it answers requests, and a new
// one waits for a time. Once a round that counts like this daemon's own answers, as each daemon has
// few of them.
func (p *Pacer) Reported(at time.Time, queue time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A replica that reports well may still fail this daemon's requests.
	if !p.paced.Load() || p.probing && p.cause == Recovered || at.Sub(p.grewAt) < p.round || at.Sub(p.shrankAt) < p.round {
		return
	}
	p.probing = false
	if p.target == 0 || max(1, p.slowness)*float64(queue) <= soundQueueTargets*float64(p.target) {
		p.grow(p.options.Clock.Now(), 1)
	}
}

// Limit returns the limit of all daemons, in units of work in a round, and 0 for an open replica.
func (p *Pacer) Limit() float64 {
	if !p.Paced() {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit
}
