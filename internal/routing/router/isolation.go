package router

import (
	"errors"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// answerStartTime is how long after the head of an answer the loss of its replica counts
	// as one at the start of the answer. An answer that lasts longer is sound.
	answerStartTime = 500 * time.Millisecond
	// maxIsolationRetryAfter bounds the time after which callers are asked to retry a
	// request with an isolated part.
	maxIsolationRetryAfter = 30 * time.Second
)

// isolationKeys returns the keys of a prompt's shared parts for the isolator. Unlike
// PartKey they are the same for all weights versions and workspaces.
func (p *Prompt) isolationKeys() []uint64 {
	shared := p.sharedParts()
	if len(shared) == 0 {
		return nil
	}
	seed := xxh3.HashString(p.Model)
	keys := make([]uint64, len(shared))
	for i, part := range shared {
		keys[i] = xxh3.HashStringSeed(part.ID, seed)
	}
	return keys
}

// checkIsolated returns a failure if the request or a part of its prompt is isolated because
// replicas have crashed on it.
func (d *dispatch) checkIsolated() *Failure {
	remaining, isolated := d.router.isolator.RequestIsolated(d.request.ContentKey)
	if isolated {
		d.router.logger.Info("route: request refused, replicas crash on it.", "request", d.request.ID, "content", d.request.ContentKey, "ran", d.runAttempts, "back", remaining)
	} else if remaining, isolated = d.router.isolator.Isolated(d.isolationKeys); isolated {
		d.router.logger.Info("route: request refused, replicas crash on a part of its prompt.", "request", d.request.ID, "ran", d.runAttempts, "back", remaining)
	}
	if !isolated {
		return nil
	}
	d.router.recorder.Count("isolated")
	if d.runAttempts > 0 {
		return &Failure{Reason: ReasonReplicaFailed}
	}
	return &Failure{Reason: ReasonIsolated, NotRun: true, RetryAfter: min(max(minRetryAfter, remaining), maxIsolationRetryAfter)}
}

// key returns a hash of the incarnation. The start is no seed of the hash: xxh3 combines seeds
// with short texts so that similar ones collide.
func (i Incarnation) key() uint64 {
	return NewContentKey([]byte(i.ID), strconv.AppendInt(nil, i.StartUnixMilli, 10))
}

// recordCrash records the loss of the replica for the isolator. Against the request counts a
// loss before the answer has gone past its start, against the parts of its prompt only one at
// the start of the answer: replicas that were lost earlier or later were lost to other
// requests.
func (d *dispatch) recordCrash(err error) {
	if d.ctx.Err() != nil || errors.Is(err, ErrInvalidAnswer) || errors.Is(err, ErrNotSent) || d.reply != nil && d.router.clock.Now().Sub(d.headAt) >= answerStartTime {
		return
	}
	descriptor := d.choice.replica.descriptor.Load()
	incarnation := descriptor.incarnation().key()
	if !d.timedOut.Load() && !d.recalled.Load() {
		d.router.isolator.RecordLoss(d.request.ContentKey, incarnation, d.sentAt)
	}
	if len(d.isolationKeys) == 0 || d.reply == nil {
		return
	}
	d.router.recorder.Count("attempts.crashed")
	d.router.logger.Info("route: replica was lost at the start of an answer.", "request", d.request.ID, "replica", descriptor.ID, "parts", d.isolationKeys)
	d.router.isolator.RecordCrash(xxh3.HashStringSeed(d.request.ID, incarnation), incarnation, d.request.ContentKey, d.isolationKeys, d.sentAt)
}

// registerWaiting registers a request that waits for the head of an answer. The returned function
// removes the registration.
func (r *Router) registerWaiting(d *dispatch) func() {
	r.waitingMu.Lock()
	defer r.waitingMu.Unlock()
	r.waiting[d] = true
	return func() {
		r.waitingMu.Lock()
		defer r.waitingMu.Unlock()
		delete(r.waiting, d)
	}
}

// recallIsolated ends the attempts of isolated requests that wait for the head of an answer:
// replicas drop them if they have not begun them.
func (r *Router) recallIsolated() {
	r.waitingMu.Lock()
	defer r.waitingMu.Unlock()
	for d := range r.waiting {
		if r.isolator.Blocked(d.request.ContentKey, d.isolationKeys) {
			r.recorder.Count("recalled")
			d.recalled.Store(true)
			d.cancelAttempt()
		}
	}
}

// recordSound records that the current attempt's answer has gone past its start.
func (d *dispatch) recordSound() {
	if !d.soundRecorded {
		d.soundRecorded = true
		d.router.isolator.RecordSoundRequest(d.request.ContentKey)
		d.router.isolator.RecordSound(d.isolationKeys)
	}
}
