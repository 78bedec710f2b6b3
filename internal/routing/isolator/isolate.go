// Package isolator finds prompt parts and requests on which replicas crash, so that no more
// of these requests are sent.
//
// The evidence on a request is the loss of replicas that had it, by a key of its content. It
// is isolated once several replicas were lost, not all together, without a sound answer since.
// One daemon tries it again, and a request that keeps coming is tried only a few times.
//
// The evidence on parts is a crash: a replica was lost while it began the answer to a request. All
// shared parts of the request are suspects then. A sound answer clears each part that it
// has. A part is isolated once it has crashed several replicas one after the other, each
// by a request that was sent after the crash before, and has had no sound answer since.
// Replicas that crash together for another reason do not isolate a hot part: the requests
// were sent before, and the next one is answered.
//
// Daemons exchange their evidence in reports. Merging them is idempotent and independent
// of their order.
package isolator

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
)

const (
	// minCrashes is how many replicas a part must have crashed to be isolated, and minChain
	// how many of them one after the other.
	minCrashes = 4
	minChain   = 3
	// isolationTime is how long after its last crash a part is isolated at least. Then one daemon
	// lets one request through in isolationTime, until a trial is answered. Without a selector
	// daemons end the isolation one after the other, within as long again.
	isolationTime = time.Minute
	// trialRetryAfter is the time after which requests that wait for another daemon's trial
	// should be repeated.
	trialRetryAfter = 5 * time.Second
	// memory is how long crashes are remembered, maxCrashes how many.
	memory     = 10 * time.Minute
	maxCrashes = 256
	// transitSlack is more than a report takes from daemon to daemon. Ages do not count that
	// time, so a sound answer would seem later each time that it is reported.
	transitSlack = 250 * time.Millisecond
	// maxParts bounds the parts of a crash that are remembered: the first ones.
	maxParts = 16
)

// Crash is the loss of a replica while it began an answer, as daemons report it.
type Crash struct {
	// ID distinguishes crashes: it is a hash of the replica's incarnation and the request.
	ID uint64 `cbor:"1,keyasint"`
	// Replica is a hash of the replica's incarnation.
	Replica uint64 `cbor:"2,keyasint"`
	// Parts are the keys of the prompt's shared parts.
	Parts []uint64 `cbor:"3,keyasint"`
	// SentAgo and LostAgo are how long ago the request was sent and the replica was lost.
	SentAgo time.Duration `cbor:"4,keyasint"`
	LostAgo time.Duration `cbor:"5,keyasint"`
	// Request is a key of the request's content, 0 if it is not known.
	Request uint64 `cbor:"6,keyasint,omitempty"`
}

// Report is the evidence that one daemon has.
type Report struct {
	Crashes []Crash `cbor:"1,keyasint,omitempty"`
	// SoundAgo holds how long ago suspected parts last had a sound answer.
	SoundAgo map[uint64]time.Duration `cbor:"2,keyasint,omitempty"`
	// Losses, RequestSoundAgo and RequestSeenAgo are the evidence on requests: the replicas
	// that were lost with them, and how long ago they last had a sound answer and came while
	// they were isolated.
	Losses          []Loss                   `cbor:"3,keyasint,omitempty"`
	RequestSoundAgo map[uint64]time.Duration `cbor:"4,keyasint,omitempty"`
	RequestSeenAgo  map[uint64]time.Duration `cbor:"5,keyasint,omitempty"`
}

// crash is a Crash with points in time.
type crash struct {
	replica      uint64
	request      uint64
	parts        []uint64
	sentAt, lost time.Time
	// version is that of the evidence since which the crash is known.
	version uint64
}

// decisions is what follows from the evidence. It is never changed, only replaced.
type decisions struct {
	// suspects holds the parts of all crashes that are remembered.
	suspects map[uint64]bool
	// isolatedUntil holds the end of the isolation of parts.
	isolatedUntil map[uint64]time.Time
}

// Isolator collects evidence and decides which parts are isolated. It is safe for
// concurrent use.
type Isolator struct {
	clock timekeeper.Clock
	// trialDelay is how much longer than isolationTime this daemon isolates parts if no
	// selector is set.
	trialDelay time.Duration
	// decisions is read on the path of each request.
	decisions atomic.Pointer[decisions]
	// version counts the changes of the evidence.
	version atomic.Uint64
	// suspectRequests and isolatedRequests are the numbers of requests with evidence and of
	// those that are isolated. Without any the path of a request takes no lock.
	suspectRequests, isolatedRequests atomic.Int64
	// onUrgent and selectsTrial are nil until they are set.
	onUrgent atomic.Pointer[func()]
	// onIsolated is called when newlyIsolated is set: some request or part is isolated that was
	// not.
	onIsolated    atomic.Pointer[func()]
	newlyIsolated atomic.Bool
	selectsTrial  atomic.Pointer[func(key uint64) bool]

	// mu guards the fields below.
	mu sync.Mutex
	// requests holds the evidence on requests by the keys of their contents, from which old
	// evidence was last removed at requestsForgottenAt.
	requests            map[uint64]*suspectRequest
	requestsForgottenAt time.Time
	// crashes are those remembered, by ID.
	crashes map[uint64]crash
	// soundAt holds when suspected parts last had a sound answer, and clearedIn the version of
	// the evidence since which that last cleared a part.
	soundAt   map[uint64]time.Time
	clearedIn map[uint64]uint64
	// trialAt holds when a trial of an isolated part last began.
	trialAt map[uint64]time.Time
}

// New returns an isolator without evidence.
func New(clock timekeeper.Clock) *Isolator {
	i := &Isolator{clock: clock, trialDelay: rand.N(isolationTime), crashes: make(map[uint64]crash), requests: make(map[uint64]*suspectRequest), soundAt: make(map[uint64]time.Time), clearedIn: make(map[uint64]uint64), trialAt: make(map[uint64]time.Time)}
	i.decisions.Store(&decisions{})
	return i
}

// RecordCrash records that a replica was lost now while it began the answer to a request
// that was sent at a time. The ID is a hash of the replica's incarnation and the request;
// request is a key of its content, 0 if it is not known.
func (i *Isolator) RecordCrash(id, replica, request uint64, parts []uint64, sentAt time.Time) {
	if len(parts) == 0 {
		return
	}
	defer i.notifyIsolated()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.add(id, crash{replica: replica, request: request, parts: parts[:min(len(parts), maxParts)], sentAt: sentAt, lost: i.clock.Now()})
	i.decide()
}

// OnIsolated sets the function that is called when a request or part is newly isolated. It must
// not block, and may call Blocked.
func (i *Isolator) OnIsolated(f func()) { i.onIsolated.Store(&f) }

// notifyIsolated calls onIsolated if a request or part is newly isolated since the last call.
func (i *Isolator) notifyIsolated() {
	if f := i.onIsolated.Load(); i.newlyIsolated.Swap(false) && f != nil {
		(*f)()
	}
}

// Blocked reports whether a request with a key and the given parts is isolated now and not due
// for a trial.
func (i *Isolator) Blocked(request uint64, parts []uint64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock.Now()
	if s := i.requests[request]; s != nil && s.isolated {
		trialAt, allowed := s.nextTrial()
		if !allowed || now.Before(trialAt) {
			return true
		}
	}
	isolated := i.decisions.Load().isolatedUntil
	return slices.ContainsFunc(parts, func(part uint64) bool { return now.Before(isolated[part]) })
}

// RecordSound records that a request with the given parts was answered without a crash.
func (i *Isolator) RecordSound(parts []uint64) {
	suspects := i.decisions.Load().suspects
	if len(suspects) == 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	now, cleared := i.clock.Now(), false
	for _, part := range parts {
		if suspects[part] {
			cleared = i.clear(part, now) || cleared
		}
	}
	if cleared {
		i.decide()
	}
}

// Isolated returns how long the request with the given parts should stay away, and false
// if none of the parts is isolated. It lets single requests through as a trial of a part
// whose isolation has ended.
func (i *Isolator) Isolated(parts []uint64) (time.Duration, bool) {
	isolated := i.decisions.Load().isolatedUntil
	if len(isolated) == 0 {
		return 0, false
	}
	now, longest, found := i.clock.Now(), time.Duration(0), false
	for _, part := range parts {
		until, ok := isolated[part]
		if ok && (now.Before(until) || !i.startTrial(part, now)) {
			longest, found = max(longest, trialRetryAfter, until.Sub(now)), true
		}
	}
	return longest, found
}

// startTrial reports whether a request may be sent as a trial of a part now.
func (i *Isolator) startTrial(part uint64, now time.Time) bool {
	if selects := i.selectsTrial.Load(); selects != nil && !(*selects)(part) {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if last, found := i.trialAt[part]; found && now.Sub(last) < isolationTime {
		return false
	}
	i.trialAt[part] = now
	return true
}

// Version changes with the evidence.
func (i *Isolator) Version() uint64 { return i.version.Load() }

// Report returns the evidence after a version for other daemons: crashes that sound answers
// have not cleared yet, and the sound answers that have cleared others.
func (i *Isolator) Report(after uint64) Report {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock.Now()
	report := Report{SoundAgo: make(map[uint64]time.Duration)}
	for id, c := range i.crashes {
		if c.version > after && i.uncleared(c) {
			report.Crashes = append(report.Crashes, Crash{ID: id, Replica: c.replica, Request: c.request, Parts: c.parts, SentAgo: now.Sub(c.sentAt), LostAgo: now.Sub(c.lost)})
		}
	}
	for part, version := range i.clearedIn {
		if version > after {
			report.SoundAgo[part] = now.Sub(i.soundAt[part])
		}
	}
	i.reportRequests(&report, after, now)
	return report
}

// uncleared reports whether some part of a crash has had no sound answer since. The caller
// holds mu.
func (i *Isolator) uncleared(c crash) bool {
	return slices.ContainsFunc(c.parts, func(part uint64) bool { return c.lost.After(i.soundAt[part]) })
}

// Merge adds the evidence of another daemon.
func (i *Isolator) Merge(report Report) {
	defer i.notifyIsolated()
	if i.merge(&report) {
		i.notifyUrgent()
	}
}

// merge adds the evidence of another daemon, and reports whether others should learn of it
// at once.
func (i *Isolator) merge(report *Report) (urgent bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now, changed := i.clock.Now(), false
	urgent = i.mergeRequests(report, now)
	for _, c := range report.Crashes {
		if _, known := i.crashes[c.ID]; known || c.LostAgo < 0 || c.LostAgo >= memory || len(c.Parts) == 0 {
			continue
		}
		i.add(c.ID, crash{replica: c.Replica, request: c.Request, parts: c.Parts[:min(len(c.Parts), maxParts)], sentAt: now.Add(-c.SentAgo), lost: now.Add(-c.LostAgo)})
		changed = true
	}
	suspects := i.suspects()
	for part, ago := range report.SoundAgo {
		at := now.Add(-ago)
		if suspects[part] && ago >= 0 && at.Sub(i.soundAt[part]) > transitSlack {
			changed = i.clear(part, at) || changed
		}
	}
	if changed {
		i.decide()
	}
	return urgent
}

// add remembers a crash. The caller holds mu.
func (i *Isolator) add(id uint64, c crash) {
	if _, known := i.crashes[id]; !known && len(i.crashes) >= maxCrashes {
		oldest := id
		for other, known := range i.crashes {
			if oldest == id || known.lost.Before(i.crashes[oldest].lost) {
				oldest = other
			}
		}
		delete(i.crashes, oldest)
	}
	c.version = i.version.Load() + 1
	i.crashes[id] = c
}

// clear records a sound answer to a suspected part at a time. It reports whether that
// clears the part of a crash. The caller holds mu.
func (i *Isolator) clear(part uint64, at time.Time) bool {
	last, found := i.soundAt[part]
	if found && !at.After(last) {
		return false
	}
	i.soundAt[part] = at
	for _, c := range i.crashes {
		if slices.Contains(c.parts, part) && c.lost.After(last) && !c.lost.After(at) {
			i.clearedIn[part] = i.version.Load() + 1
			return true
		}
	}
	return false
}

// suspects returns the parts of all crashes. The caller holds mu.
func (i *Isolator) suspects() map[uint64]bool {
	suspects := make(map[uint64]bool)
	for _, c := range i.crashes {
		for _, part := range c.parts {
			suspects[part] = true
		}
	}
	return suspects
}

// decide forgets old evidence and replaces the decisions. The caller holds mu.
func (i *Isolator) decide() {
	now := i.clock.Now()
	maps.DeleteFunc(i.crashes, func(_ uint64, c crash) bool { return now.Sub(c.lost) >= memory })
	next := &decisions{suspects: i.suspects(), isolatedUntil: make(map[uint64]time.Time)}
	maps.DeleteFunc(i.soundAt, func(part uint64, _ time.Time) bool { return !next.suspects[part] })
	maps.DeleteFunc(i.clearedIn, func(part uint64, _ uint64) bool { return !next.suspects[part] })
	maps.DeleteFunc(i.trialAt, func(part uint64, _ time.Time) bool { return !next.suspects[part] })
	byPart := make(map[uint64][]crash)
	for _, c := range i.crashes {
		for _, part := range c.parts {
			if c.lost.After(i.soundAt[part]) {
				byPart[part] = append(byPart[part], c)
			}
		}
	}
	for part, crashes := range byPart {
		slices.SortFunc(crashes, func(a, b crash) int { return a.lost.Compare(b.lost) })
		if convicts(crashes) && !explained(part, byPart) {
			last := crashes[len(crashes)-1]
			next.isolatedUntil[part] = last.lost.Add(isolationTime)
			if i.selectsTrial.Load() == nil {
				next.isolatedUntil[part] = next.isolatedUntil[part].Add(i.trialDelay)
			}
			if _, before := i.decisions.Load().isolatedUntil[part]; !before {
				i.newlyIsolated.Store(true)
			}
		}
	}
	i.decisions.Store(next)
	i.version.Add(1)
}

// convicts reports whether crashes of a part without a sound answer since, in the order of
// their times, isolate it: enough replicas, and enough of them by requests sent after the
// crash before. Crashes of requests with the same content count once: these are isolated
// themselves, and the part may be sound.
func convicts(crashes []crash) bool {
	replicas, requests := make(map[uint64]bool), make(map[uint64]bool)
	chain, last := 0, time.Time{}
	for _, c := range crashes {
		if replicas[c.replica] || c.request != 0 && requests[c.request] {
			continue
		}
		replicas[c.replica], requests[c.request] = true, true
		if !c.sentAt.Before(last) {
			chain, last = chain+1, c.lost
		}
	}
	return len(replicas) >= minCrashes && chain >= minChain
}

// explained reports whether all crashes of a part have a part in common that has more
// crashes, which then is their cause.
func explained(part uint64, byPart map[uint64][]crash) bool {
	own := byPart[part]
	for _, other := range own[0].parts {
		if other == part || len(byPart[other]) <= len(own) {
			continue
		}
		common := true
		for _, c := range own {
			common = common && slices.Contains(c.parts, other)
		}
		if common {
			return true
		}
	}
	return false
}
