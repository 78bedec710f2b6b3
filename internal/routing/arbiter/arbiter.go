// Package arbiter decides which requests to a service are sent when there is not room for
// all: by urgency, by the shares of workspaces, and by what a request takes from others.
package arbiter

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
)

const (
	// Ranks is the number of ranks of urgency; rank 0 is the most urgent.
	Ranks = 10
	// memory is the time constant with which what was seen of demand is forgotten.
	memory = 2 * time.Second
	// protectedShare is the part of the latency target of more urgent requests that the queue
	// behind a less urgent one may take; the rest is for their own prefill and for what other
	// daemons send before they know of it.
	protectedShare = 0.5
	// refusedFactor scales the allowed queue of less urgent requests while more urgent ones are
	// refused, wholeShare is the part of these that counts as all.
	refusedFactor = 0.5
	wholeShare    = 0.95
	// aboveShareFactor scales the allowed queue of requests of workspaces above their share.
	aboveShareFactor = 0.5
	// idleShare is the part of the same target up to which a replica counts as idle: the size
	// of a prompt is no reason against it there.
	idleShare = 0.1
	// floorShare is the part of the tokens sent that less urgent requests get at least, as
	// long as they are not served better than more urgent ones.
	floorShare = 0.1
	// holdShare is the part of the latency target for which a request may be held.
	holdShare = 0.5
	// holdInterval is the time between two looks at a request that is held.
	holdInterval = 40 * time.Millisecond
	// returnShare is the part of the recent rate of sent tokens at which refused requests are
	// asked to return; the rest is for requests that arrive meanwhile.
	returnShare = 0.5
	// maxReturnShare is the part of the time left to a caller that it may be asked to wait;
	// callers do not honor longer times.
	maxReturnShare = 0.33
	// minReturn is the shortest time after which a caller is asked to return.
	minReturn = 250 * time.Millisecond
)

// Action is what is to be done with a request.
type Action int

// The actions.
const (
	// Send the request now.
	Send Action = iota
	// Hold the request and ask again after Verdict.After.
	Hold
	// Refuse the request; its caller may return after Verdict.After.
	Refuse
)

// Reason names the rule by which a verdict was reached.
type Reason string

// The reasons.
const (
	// Room means that the queue is short enough for the request.
	Room Reason = "room"
	// Floor means that the request is sent within the least share of less urgent ones.
	Floor Reason = "floor"
	// HeldLongEnough means that the request has been held for as long as it may be.
	HeldLongEnough Reason = "held"
	// TooLate means that the expected wait is too long for the request itself.
	TooLate Reason = "wait"
	// Urgency means that more urgent requests need the prefill time.
	Urgency Reason = "urgency"
	// WorkspaceShare means that the workspace asks for more than its share.
	WorkspaceShare Reason = "workspace"
)

// Work is what a request asks for.
type Work struct {
	// Workspace is "" for requests without one.
	Workspace string
	// Weight is that of the workspace's share, more than 0.
	Weight float64
	// Rank is the urgency, 0 first.
	Rank int
	// Tokens is the length of the prompt.
	Tokens int
	// Target is the latency target, more than 0.
	Target  time.Duration
	Arrived time.Time
	// Deadline is when the caller leaves.
	Deadline time.Time
}

// Place is what is expected of a request at the replica that was chosen for it.
type Place struct {
	// Wait is the expected time to the first event. Queue is the part of it in which other
	// prompts are prefilled, Prefill that for the request's own prompt, and Repeat the part
	// of Prefill for what another replica has prefilled already.
	Wait, Queue, Prefill, Repeat time.Duration
	// Full is set if the replica has no slot or memory for the request.
	Full bool
	// MaxWait is the longest time from the arrival to the first event with which the request
	// is of use to its caller and to those behind it.
	MaxWait time.Duration
}

// Verdict is a decision, with what it was based on.
type Verdict struct {
	Action Action
	Reason Reason
	// After is the time after which to ask again, or after which the caller may return.
	After time.Duration
	// Limit is the longest queue, with the usual prefill of requests of the rank, with which the
	// request would be sent. The request's own prefill does not count: large requests of a rank
	// would be refused for small ones.
	Limit time.Duration
	// Used and Share are the workspace's part of the tokens sent recently, and the part that
	// is due to it.
	Used, Share float64
}

// settings vary the decisions; the tests play variants that are wrong.
type settings struct {
	// unprotected requests are sent regardless of more urgent ones.
	unprotected bool
	// floorShare is the constant of that name.
	floorShare float64
	// sharesIgnored is set if workspaces have no shares.
	sharesIgnored bool
	// sizeCounts is set if the size of a request counts against it, not that of usual ones.
	sizeCounts bool
}

// Arbiter decides for one service. It knows what this daemon sees of demand, and is safe for
// concurrent use.
type Arbiter struct {
	clock    timekeeper.Clock
	settings settings
	// random returns a number from 0 to 1. It is replaced only by tests.
	random func() float64

	// mu guards the fields below.
	mu    sync.Mutex
	ranks [Ranks]rankUse
	// total is what all workspaces have asked and been sent.
	total usage
	// workspaces are those that have asked recently.
	workspaces map[string]*workspaceUse
	// level is what the workspaces that ask for most may have, in tokens by weight; it was
	// computed at leveledAt.
	level     float64
	leveledAt time.Time
	// nextReturn is when there is room for the next refused request.
	nextReturn time.Time
}

// rankUse is what is known of the requests of one rank.
type rankUse struct {
	usage
	// target is the shortest recent latency target.
	target time.Duration
	// askedAt is when a request last asked.
	askedAt time.Time
	// regular are the tokens that were sent other than for having been held long enough.
	regular sum
	// held are the tokens that are held now.
	held int
	// requests counts those that have asked, decided those that were decided on, and prefill is what
	// these were expected to take of the prefill time of others, in seconds.
	requests, decided, prefill sum
}

// New returns an arbiter that has seen no requests.
func New(clock timekeeper.Clock) *Arbiter {
	return &Arbiter{clock: clock, random: rand.Float64, settings: settings{floorShare: floorShare}, workspaces: make(map[string]*workspaceUse)}
}

// Claim is one request's claim to be sent. It is used by one goroutine.
type Claim struct {
	arbiter *Arbiter
	work    Work
	// held and sent are set while the request is held, and once it was sent.
	held, sent bool
	// usualPrefill is what requests of the rank usually take of the prefill time of others, as of the
	// first decision; decided is set from then on.
	usualPrefill time.Duration
	decided      bool
}

// Ask returns the claim of a request that has arrived. The caller must call Release once the
// claim is not needed.
func (a *Arbiter) Ask(work Work) *Claim {
	work.Rank = min(max(0, work.Rank), Ranks-1)
	a.mu.Lock()
	defer a.mu.Unlock()
	now, tokens := a.clock.Now(), float64(work.Tokens)
	rank := &a.ranks[work.Rank]
	if now.Sub(rank.askedAt) > memory || work.Target < rank.target {
		rank.target = work.Target
	}
	rank.askedAt = now
	rank.asked.add(now, tokens)
	rank.requests.add(now, 1)
	a.total.asked.add(now, tokens)
	workspace := a.workspace(work.Workspace)
	workspace.weight = work.Weight
	workspace.asked.add(now, tokens)
	return &Claim{arbiter: a, work: work}
}

// Release ends the claim.
func (c *Claim) Release() {
	c.arbiter.mu.Lock()
	defer c.arbiter.mu.Unlock()
	c.setHeld(false)
}

// Decide returns what is to be done with the request if it were sent to the given place.
func (c *Claim) Decide(place Place) Verdict {
	a := c.arbiter
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	c.expectPrefill(now, place)
	verdict := c.judge(now, place)
	c.setHeld(verdict.Action == Hold)
	switch verdict.Action {
	case Send:
		c.recordSent(now, verdict.Reason)
	case Refuse:
		verdict.After = a.returnTime(now, c.work)
	}
	return verdict
}

// expectPrefill sets usualPrefill at the first decision, and records what is expected of the request
// itself. The caller holds mu.
func (c *Claim) expectPrefill(now time.Time, place Place) {
	if c.decided {
		return
	}
	c.decided = true
	rank, own := &c.arbiter.ranks[c.work.Rank], place.Prefill+place.Repeat
	c.usualPrefill = own
	if decided := rank.decided.at(now); decided > 0 {
		c.usualPrefill = time.Duration(rank.prefill.at(now) / decided * float64(time.Second))
	}
	if c.arbiter.settings.sizeCounts {
		c.usualPrefill = own
	}
	rank.decided.add(now, 1)
	rank.prefill.add(now, own.Seconds())
}

// usualTokens returns the usual length of the prompts of the rank.
func (r *rankUse) usualTokens(now time.Time) float64 {
	return r.asked.at(now) / max(1, r.requests.at(now))
}

// judge returns the verdict without its effects. The caller holds mu.
func (c *Claim) judge(now time.Time, place Place) Verdict {
	a, work := c.arbiter, c.work
	verdict := Verdict{Action: Send, Reason: Room, Limit: place.MaxWait}
	waited := now.Sub(work.Arrived)
	if waited+place.Wait > place.MaxWait {
		verdict.Action, verdict.Reason = Refuse, TooLate
		return verdict
	}
	above := false
	above, verdict.Used, verdict.Share = a.aboveShare(now, work)
	urgent, protects := a.urgentTarget(now, work.Rank)
	if a.settings.unprotected {
		protects = false
	}
	switch {
	case protects:
		verdict.Limit, verdict.Reason = time.Duration(protectedShare*float64(urgent)), Urgency
		if a.urgentRefused(now, work.Rank) {
			verdict.Limit = time.Duration(refusedFactor * float64(verdict.Limit))
		}
	case above:
		urgent, verdict.Limit = work.Target, work.Target
	default:
		return verdict
	}
	if above {
		verdict.Limit, verdict.Reason = time.Duration(aboveShareFactor*float64(verdict.Limit)), WorkspaceShare
	}
	idle := time.Duration(idleShare * float64(urgent))
	switch {
	case !place.Full && (place.Queue <= idle || place.Queue+c.usualPrefill <= verdict.Limit):
		verdict.Reason = Room
	case protects && a.servedBetter(now, work):
		verdict.Action = Refuse
	case protects && a.belowFloor(now, work, above):
		verdict.Reason = Floor
	case !above && c.mayBeHeld(now, waited, place):
		verdict.Action, verdict.After = Hold, time.Duration((0.5+a.random())*float64(holdInterval))
	case c.held && !above:
		verdict.Reason = HeldLongEnough
	default:
		verdict.Action = Refuse
	}
	return verdict
}

// urgentTarget returns the shortest latency target of the ranks in use that are more urgent,
// and false if there are none. The caller holds mu.
func (a *Arbiter) urgentTarget(now time.Time, rank int) (time.Duration, bool) {
	shortest, found := time.Duration(0), false
	for i := range rank {
		use := &a.ranks[i]
		if use.askedAt.IsZero() || now.Sub(use.askedAt) > memory {
			continue
		}
		if !found || use.target < shortest {
			shortest, found = use.target, true
		}
	}
	return shortest, found
}

// urgentRefused reports whether some rank that is more urgent is not served whole. The caller holds
// mu.
func (a *Arbiter) urgentRefused(now time.Time, rank int) bool {
	for i := range rank {
		if a.ranks[i].servedShare(now) < wholeShare {
			return true
		}
	}
	return false
}

// belowFloor reports whether requests of the work's rank have been sent less than their least
// share. Half of the least share is kept for workspaces that are not above their own. The caller
// holds mu.
func (a *Arbiter) belowFloor(now time.Time, work Work, above bool) bool {
	use, share := &a.ranks[work.Rank], a.settings.floorShare
	if above {
		share *= aboveShareFactor
	}
	tokens := use.usualTokens(now)
	if a.settings.sizeCounts {
		tokens = float64(work.Tokens)
	}
	return use.sent.at(now)+tokens <= share*(a.total.sent.at(now)+tokens)
}

// servedBetter reports whether, with half of a usual request, a greater part of the requests of its rank
// would be sent than of a more urgent one for which there is not room: with a whole one, a rank that
// asks rarely would never be sent. The caller holds mu.
func (a *Arbiter) servedBetter(now time.Time, work Work) bool {
	use := &a.ranks[work.Rank]
	served := min(pressedShare, (use.sent.at(now)+use.usualTokens(now)/2)/max(1, use.asked.at(now)))
	for i := range work.Rank {
		if a.ranks[i].servedShare(now) < served {
			return true
		}
	}
	return false
}

// mayBeHeld reports whether the request can wait for room: within a part of its target, and
// only behind what is expected to be sent in that time. The caller holds mu.
func (c *Claim) mayBeHeld(now time.Time, waited time.Duration, place Place) bool {
	a, use := c.arbiter, &c.arbiter.ranks[c.work.Rank]
	left := time.Duration(holdShare*float64(min(c.work.Target, place.MaxWait))) - waited
	if left <= 0 {
		return false
	}
	if c.held {
		return true
	}
	rate := max(use.regular.at(now), a.settings.floorShare*a.total.sent.at(now)) / memory.Seconds()
	return float64(use.held) <= rate*left.Seconds()
}

// setHeld records whether the request is held. The caller holds mu of the arbiter.
func (c *Claim) setHeld(held bool) {
	if held == c.held {
		return
	}
	c.held = held
	if held {
		c.arbiter.ranks[c.work.Rank].held += c.work.Tokens
	} else {
		c.arbiter.ranks[c.work.Rank].held -= c.work.Tokens
	}
}

// recordSent counts the request as sent, once. The caller holds mu of the arbiter.
func (c *Claim) recordSent(now time.Time, reason Reason) {
	if c.sent {
		return
	}
	c.sent = true
	a, tokens := c.arbiter, float64(c.work.Tokens)
	rank := &a.ranks[c.work.Rank]
	rank.sent.add(now, tokens)
	if reason != HeldLongEnough {
		rank.regular.add(now, tokens)
	}
	a.total.sent.add(now, tokens)
	a.workspace(c.work.Workspace).sent.add(now, tokens)
}

// returnTime returns after which time the caller of a refused request is asked to return. One
// after the other gets the time at which the requests refused before it can have been served.
// The caller holds mu.
func (a *Arbiter) returnTime(now time.Time, work Work) time.Duration {
	earliest := now.Add(minReturn)
	if a.nextReturn.Before(earliest) {
		a.nextReturn = earliest
	}
	after := a.nextReturn.Sub(now)
	longest := max(minReturn, time.Duration(maxReturnShare*float64(work.Deadline.Sub(now))))
	if after > longest {
		// There will be no room in time: any time is as good as another.
		return minReturn + time.Duration(a.random()*float64(longest-minReturn))
	}
	if rate := returnShare * a.total.sent.at(now) / memory.Seconds(); rate > 0 {
		a.nextReturn = a.nextReturn.Add(time.Duration(math.Min(float64(work.Tokens)/rate, longest.Seconds()) * float64(time.Second)))
	}
	return after
}
