package router

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
	previous := replica.rateLimit.Swap(reply.RateLimit)
	switch {
	case reply.RateLimit != nil && (previous == nil || *previous != *reply.RateLimit):
		d.router.recorder.Count("limits")
		d.router.logger.Info("route: replica names a limit.", "replica", replica.ID(), "request", d.request.ID, "limit", *reply.RateLimit)
	case reply.RateLimit == nil && previous != nil:
		d.router.logger.Info("route: replica names no limit any more.", "replica", replica.ID(), "request", d.request.ID, "limit", *previous)
	}
}
