package isolator

import (
	"maps"
	"slices"
	"time"
)

const (
	// minRequestLosses is how many replicas must have been lost while they had a request for it
	// to be isolated, and minRequestChain how many of them one after the other.
	minRequestLosses = 3
	minRequestChain  = 2
	// maxRequestTrials is how many trials of an isolated request may fail. After that it stays
	// isolated as long as it comes.
	maxRequestTrials = 2
	// maxLosses bounds the losses that are remembered of one request, maxSuspectRequests the
	// requests that are remembered.
	maxLosses          = 8
	maxSuspectRequests = 4096
	// seenInterval is the interval at which daemons report that an isolated request still comes.
	seenInterval = time.Minute
)

// Loss is the loss of a replica while it had a request, as daemons report it. Whether the
// replica ran the request is not known.
type Loss struct {
	// Request is a key of the request's content.
	Request uint64 `cbor:"1,keyasint"`
	// Replica is a hash of the replica's incarnation.
	Replica uint64 `cbor:"2,keyasint"`
	// SentAgo and LostAgo are how long ago the request was sent and the replica was lost.
	SentAgo time.Duration `cbor:"3,keyasint"`
	LostAgo time.Duration `cbor:"4,keyasint"`
}

// loss is a Loss with points in time.
type loss struct {
	replica      uint64
	sentAt, lost time.Time
	// version is that of the evidence since which the loss is known.
	version uint64
}

// suspectRequest is the evidence on requests with the same content.
type suspectRequest struct {
	// losses are in the order of their times, since soundAt, each of another replica.
	losses []loss
	// soundAt is when such a request last had a sound answer, zero if it had none, and
	// soundIn the version of the evidence since which this is reported, 0 if it is not.
	soundAt time.Time
	soundIn uint64
	// isolated is set while such requests are not sent.
	isolated bool
	// seenAt is when one last came while they were isolated, seenIn the version since which
	// this is reported, and reportedSeenAt what was last reported.
	seenAt, reportedSeenAt time.Time
	seenIn                 uint64
	// trialAt is when this daemon last began a trial.
	trialAt time.Time
}

// lastLoss returns when a replica was last lost.
func (s *suspectRequest) lastLoss() time.Time {
	if len(s.losses) == 0 {
		return time.Time{}
	}
	return s.losses[len(s.losses)-1].lost
}

// latest returns when there was last evidence or such a request.
func (s *suspectRequest) latest() time.Time {
	latest := s.lastLoss()
	for _, at := range []time.Time{s.soundAt, s.seenAt} {
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}

// convicted reports whether the losses isolate the request: enough replicas, and enough of
// them by requests that were sent after the loss before. Replicas that are lost together do
// not: the requests were sent before.
func (s *suspectRequest) convicted() bool {
	chain, last := 0, time.Time{}
	for _, l := range s.losses {
		if !l.sentAt.Before(last) {
			chain, last = chain+1, l.lost
		}
	}
	return len(s.losses) >= minRequestLosses && chain >= minRequestChain
}

// nextTrial returns when the isolated request may be tried, and false if it may not. Each
// failed trial doubles the time twice.
func (s *suspectRequest) nextTrial() (time.Time, bool) {
	trials := 0
	for i := 1; i < len(s.losses); i++ {
		if s.losses[i].sentAt.Sub(s.losses[i-1].lost) >= isolationTime {
			trials++
		}
	}
	return s.lastLoss().Add(isolationTime << (2 * trials)), trials < maxRequestTrials
}

// OnUrgent sets the function that is called when there is evidence that other daemons should
// learn of at once. It must not block.
func (i *Isolator) OnUrgent(f func()) { i.onUrgent.Store(&f) }

// SetTrialSelector sets the function that reports whether this daemon, of all, tries the
// requests or the part with a key.
func (i *Isolator) SetTrialSelector(f func(key uint64) bool) { i.selectsTrial.Store(&f) }

// RecordLoss records that a replica was lost now while it had a request that was sent at a
// time.
func (i *Isolator) RecordLoss(request, replica uint64, sentAt time.Time) {
	if request == 0 {
		return
	}
	defer i.notifyIsolated()
	i.mu.Lock()
	urgent := i.addLoss(request, loss{replica: replica, sentAt: sentAt, lost: i.clock.Now()})
	i.mu.Unlock()
	if urgent {
		i.notifyUrgent()
	}
}

// RecordSoundRequest records that a request was answered without the loss of its replica.
func (i *Isolator) RecordSoundRequest(request uint64) {
	if i.suspectRequests.Load() == 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if s := i.requests[request]; s != nil {
		i.clearRequest(s, i.clock.Now())
	}
}

// RequestIsolated returns how long requests with a key should stay away, and false if they are
// not isolated. It lets one through as a trial.
func (i *Isolator) RequestIsolated(request uint64) (time.Duration, bool) {
	if i.isolatedRequests.Load() == 0 {
		return 0, false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	s := i.requests[request]
	if s == nil || !s.isolated {
		return 0, false
	}
	now := i.clock.Now()
	i.recordSeen(s, now)
	trialAt, allowed := s.nextTrial()
	if !allowed {
		return memory, true
	}
	selects := i.selectsTrial.Load()
	if now.Before(trialAt) || now.Sub(s.trialAt) < isolationTime || selects != nil && !(*selects)(request) {
		return max(isolationTime, trialAt.Sub(now)), true
	}
	s.trialAt = now
	return 0, false
}

// recordSeen records that an isolated request has come. The caller holds mu.
func (i *Isolator) recordSeen(s *suspectRequest, at time.Time) {
	if !at.After(s.seenAt) {
		return
	}
	s.seenAt = at
	if at.Sub(s.reportedSeenAt) >= seenInterval {
		s.reportedSeenAt, s.seenIn = at, i.version.Add(1)
	}
}

// notifyUrgent calls onUrgent.
func (i *Isolator) notifyUrgent() {
	if f := i.onUrgent.Load(); f != nil {
		(*f)()
	}
}

// addLoss adds a loss and reports whether other daemons should learn of it at once: they may
// know of another. The caller holds mu.
func (i *Isolator) addLoss(request uint64, l loss) (urgent bool) {
	now := i.clock.Now()
	i.forgetRequests(now)
	s := i.requests[request]
	if s == nil {
		s = new(suspectRequest)
		i.requests[request] = s
		i.suspectRequests.Add(1)
	}
	if !l.lost.After(s.soundAt) || slices.ContainsFunc(s.losses, func(known loss) bool { return known.replica == l.replica }) {
		return false
	}
	l.version = i.version.Add(1)
	s.losses = append(s.losses, l)
	slices.SortStableFunc(s.losses, func(a, b loss) int { return a.lost.Compare(b.lost) })
	if len(s.losses) > maxLosses {
		// The first and the last losses tell how many trials have failed.
		s.losses = slices.Delete(s.losses, 1, 2)
	}
	i.decideRequest(s)
	return len(s.losses) >= 2
}

// clearRequest records a sound answer at a time. The caller holds mu.
func (i *Isolator) clearRequest(s *suspectRequest, at time.Time) {
	if !at.After(s.soundAt) || len(s.losses) == 0 || s.losses[0].lost.After(at) {
		return
	}
	if len(s.losses) >= 2 {
		s.soundIn = i.version.Add(1)
	}
	s.soundAt = at
	s.losses = slices.DeleteFunc(s.losses, func(l loss) bool { return !l.lost.After(at) })
	i.decideRequest(s)
}

// decideRequest decides whether a request is isolated. The caller holds mu.
func (i *Isolator) decideRequest(s *suspectRequest) {
	convicted := s.convicted()
	switch {
	case convicted && !s.isolated:
		i.isolatedRequests.Add(1)
		i.newlyIsolated.Store(true)
	case !convicted && s.isolated:
		i.isolatedRequests.Add(-1)
	}
	s.isolated = convicted
}

// forgetRequests removes old evidence once in a while, and a quarter of the evidence on
// requests that are not isolated if there is too much. The caller holds mu.
func (i *Isolator) forgetRequests(now time.Time) {
	if now.Sub(i.requestsForgottenAt) >= time.Second {
		i.requestsForgottenAt = now
		for key, s := range i.requests {
			if now.Sub(s.latest()) >= memory {
				i.forgetRequest(key, s)
			}
		}
	}
	if len(i.requests) < maxSuspectRequests {
		return
	}
	keys := slices.SortedFunc(maps.Keys(i.requests), func(a, b uint64) int {
		return i.requests[a].latest().Compare(i.requests[b].latest())
	})
	for _, key := range keys[:len(keys)/4] {
		if s := i.requests[key]; !s.isolated {
			i.forgetRequest(key, s)
		}
	}
}

// forgetRequest removes the evidence on a request. The caller holds mu.
func (i *Isolator) forgetRequest(key uint64, s *suspectRequest) {
	if s.isolated {
		i.isolatedRequests.Add(-1)
	}
	delete(i.requests, key)
	i.suspectRequests.Add(-1)
}

// reportRequests adds the evidence on requests after a version to a report. The caller holds
// mu.
func (i *Isolator) reportRequests(report *Report, after uint64, now time.Time) {
	report.RequestSoundAgo, report.RequestSeenAgo = make(map[uint64]time.Duration), make(map[uint64]time.Duration)
	for key, s := range i.requests {
		for _, l := range s.losses {
			if l.version > after {
				report.Losses = append(report.Losses, Loss{Request: key, Replica: l.replica, SentAgo: now.Sub(l.sentAt), LostAgo: now.Sub(l.lost)})
			}
		}
		if s.soundIn > after {
			report.RequestSoundAgo[key] = now.Sub(s.soundAt)
		}
		if s.seenIn > after {
			report.RequestSeenAgo[key] = now.Sub(s.seenAt)
		}
	}
}

// mergeRequests adds the evidence on requests of another daemon, and reports whether others
// should learn of it at once. The caller holds mu.
func (i *Isolator) mergeRequests(report *Report, now time.Time) (urgent bool) {
	for _, l := range report.Losses {
		if l.Request != 0 && l.LostAgo >= 0 && l.LostAgo < memory && l.SentAgo >= l.LostAgo {
			urgent = i.addLoss(l.Request, loss{replica: l.Replica, sentAt: now.Add(-l.SentAgo), lost: now.Add(-l.LostAgo)}) || urgent
		}
	}
	for key, ago := range report.RequestSoundAgo {
		if s := i.requests[key]; s != nil && ago >= 0 && now.Add(-ago).Sub(s.soundAt) > transitSlack {
			i.clearRequest(s, now.Add(-ago))
		}
	}
	for key, ago := range report.RequestSeenAgo {
		if s := i.requests[key]; s != nil && ago >= 0 {
			i.recordSeen(s, now.Add(-ago))
		}
	}
	return urgent
}
