package router

import (
	"errors"
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

// checkIsolated returns a failure if a part of the prompt is isolated because replicas have
// crashed on it.
func (d *dispatch) checkIsolated() *Failure {
	if len(d.isolationKeys) == 0 {
		return nil
	}
	remaining, isolated := d.router.isolator.Isolated(d.isolationKeys)
	if !isolated {
		return nil
	}
	d.router.recorder.Count("isolated")
	d.router.logger.Info("route: request refused, replicas crash on a part of its prompt.", "request", d.request.ID, "ran", d.runAttempts, "back", remaining)
	if d.runAttempts > 0 {
		return &Failure{Reason: ReasonReplicaFailed}
	}
	return &Failure{Reason: ReasonIsolated, NotRun: true, RetryAfter: min(max(minRetryAfter, remaining), maxIsolationRetryAfter)}
}

// recordCrash records the loss of the replica for the isolator, if it was at the start of
// the current attempt's answer. Replicas that were lost earlier or later were lost to
// other requests.
func (d *dispatch) recordCrash(err error) {
	now := d.router.clock.Now()
	if len(d.isolationKeys) == 0 || d.reply == nil || d.ctx.Err() != nil || errors.Is(err, ErrInvalidAnswer) || now.Sub(d.headAt) >= answerStartTime {
		return
	}
	descriptor := d.choice.replica.descriptor.Load()
	incarnation := xxh3.HashStringSeed(descriptor.ID, uint64(descriptor.StartUnixMilli))
	d.router.recorder.Count("attempts.crashed")
	d.router.logger.Info("route: replica was lost at the start of an answer.", "request", d.request.ID, "replica", descriptor.ID, "parts", d.isolationKeys)
	d.router.isolator.RecordCrash(xxh3.HashStringSeed(d.request.ID, incarnation), incarnation, d.isolationKeys, d.sentAt)
}

// recordSound records that the current attempt's answer has gone past its start.
func (d *dispatch) recordSound() {
	if !d.soundRecorded {
		d.soundRecorded = true
		d.router.isolator.RecordSound(d.isolationKeys)
	}
}
