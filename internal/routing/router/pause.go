package router

import (
	"math/rand/v2"
	"time"
)

const (
	// maxReplicaPause bounds the pause that a replica may ask for.
	maxReplicaPause = time.Minute
	// pauseSpread is the share of the time until a replica takes requests again over which
	// the returns of refused callers are spread.
	pauseSpread = 0.5
)

// recordPause records that the current attempt's replica, which has turned the request away,
// wants nothing from this daemon for a while.
func (d *dispatch) recordPause(reply *Reply) {
	replica := d.choice.replica
	if reply.InvalidPause != "" {
		d.router.logger.Warn("route: replica asks for a pause of no valid length.", "replica", replica.ID(), "value", reply.InvalidPause)
	}
	if reply.Pause <= 0 {
		return
	}
	pause := min(reply.Pause, maxReplicaPause)
	d.router.recorder.Count("pauses")
	d.router.logger.Info("route: replica asks for a pause.", "replica", replica.ID(), "request", d.request.ID, "pause", pause)
	until := d.router.clock.Now().Add(pause).UnixNano()
	for {
		current := replica.pausedUntil.Load()
		if current >= until || replica.pausedUntil.CompareAndSwap(current, until) {
			return
		}
	}
}

// pauseRemaining returns how much longer the replica wants nothing from this daemon, 0 or
// less if it takes requests.
func (r *Replica) pauseRemaining(now time.Time) time.Duration {
	until := r.pausedUntil.Load()
	if until == 0 {
		return 0
	}
	return time.Duration(until - now.UnixNano())
}

// unavailableFailure returns the failure of a request for which no replica is left because all
// that serve have asked for a pause or have reached their limit: its caller may come back
// when the first of them takes requests again. It returns nil if some replica takes them now.
func (d *dispatch) unavailableFailure() *Failure {
	now := d.router.clock.Now()
	first := time.Duration(0)
	for _, replica := range d.router.pool.group(d.service.name).replicas {
		descriptor := replica.descriptor.Load()
		if !d.router.pool.takesRequests(replica, descriptor) {
			continue
		}
		remaining := d.router.pool.waitRemaining(replica, descriptor, now)
		if remaining <= 0 {
			return nil
		}
		if first == 0 || remaining < first {
			first = remaining
		}
	}
	if first == 0 {
		return nil
	}
	retryAfter := time.Duration((1 + pauseSpread*rand.Float64()) * float64(max(minRetryAfter, first)))
	return &Failure{Reason: ReasonOverload, NotRun: true, RetryAfter: retryAfter}
}
