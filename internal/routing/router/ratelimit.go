package router

import (
	"math"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/divider"
)

// limited returns the replica as the divider of limits identifies it.
func (d *Descriptor) limited() divider.Replica {
	return divider.Replica{ID: d.ID, StartUnixMilli: d.StartUnixMilli, Region: d.Region}
}

// recordRateLimit records the limit on the requests of all daemons that the current attempt's
// replica names in its answer, or that it names none.
func (d *dispatch) recordRateLimit(reply *Reply) {
	replica := d.choice.replica
	if reply.WrongReplica && reply.ReplicaID != replica.ID() {
		return
	}
	if reply.InvalidRateLimit != "" {
		d.router.logger.Warn("route: replica names a limit that is no rate.", "replica", replica.ID(), "value", reply.InvalidRateLimit)
		return
	}
	limit, changed := d.router.pool.limits.Observe(replica.descriptor.Load().limited(), reply.RateLimit, d.sentAt)
	switch {
	case !changed:
	case math.IsInf(limit, 1):
		d.router.logger.Info("route: replica names no limit any more.", "replica", replica.ID(), "request", d.request.ID)
	default:
		d.router.recorder.Count("limits")
		d.router.logger.Info("route: replica names a limit.", "replica", replica.ID(), "request", d.request.ID, "limit", limit)
	}
}

// waitRemaining returns how much longer a replica gets no requests from this daemon because it
// has asked for a pause, or because its limit is used up; 0 or less if it may get one now.
func (p *Pool) waitRemaining(replica *Replica, descriptor *Descriptor, now time.Time) time.Duration {
	return max(replica.pauseRemaining(now), p.limits.Wait(descriptor.limited()))
}
