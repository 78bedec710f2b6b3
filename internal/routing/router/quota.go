package router

// quotaCost returns what one run of the request counts as in the quota of its workspace, 0 if there
// is none.
func (d *dispatch) quotaCost() float64 {
	workspace := d.request.Workspace
	if d.router.options.Quotas == nil || workspace == nil || !workspace.Quota.Limited() {
		return 0
	}
	tokens := 0
	if prompt := d.request.Prompt; prompt != nil {
		tokens = prompt.Tokens + prompt.MaxOutputTokens
	}
	return workspace.Quota.Cost(tokens)
}

// quotaKind returns the number of the request's kind: that of requests with a prompt is by the priority of
// the route, and callers' retries are no kind of their own.
func (d *dispatch) quotaKind() int {
	if d.request.Prompt == nil {
		return -1
	}
	return d.request.Route.Priority
}

// checkQuota returns a failure if the quota of the workspace has no room for the request. It is
// charged only when an attempt is sent.
func (d *dispatch) checkQuota() *Failure {
	if d.asked {
		return nil
	}
	d.asked = true
	cost := d.quotaCost()
	if cost <= 0 {
		return nil
	}
	quotas, name := d.router.options.Quotas, d.request.Workspace.Name
	retryAfter, ok := quotas.Ask(name, d.quotaKind(), cost)
	if ok {
		return nil
	}
	d.countBySize("refused.quota")
	d.router.logger.Info("route: request refused, beyond the quota of its workspace.", "request", d.request.ID, "route", d.request.Route.Name, "rank", d.request.kindRank(), "workspace", name, "cost", cost, "share", quotas.Share(name), "back", retryAfter)
	return &Failure{Reason: ReasonQuota, NotRun: d.runAttempts == 0, RetryAfter: retryAfter}
}

// quotaFailure returns the failure of a request for which there was no room any more when an attempt
// was about to be sent.
func (d *dispatch) quotaFailure() *Failure {
	switch {
	case d.runAttempts > 0 && d.lastFailure != nil:
		return d.lastFailure
	case d.runAttempts > 0:
		return &Failure{Reason: ReasonReplicaFailed}
	}
	quotas, name, cost := d.router.options.Quotas, d.request.Workspace.Name, d.quotaCost()
	retryAfter := quotas.RetryAfter(name, d.quotaKind(), cost)
	d.countBySize("refused.quota")
	d.router.logger.Info("route: not sent, beyond the quota of its workspace.", "request", d.request.ID, "route", d.request.Route.Name, "rank", d.request.kindRank(), "workspace", name, "cost", cost, "share", quotas.Share(name), "back", retryAfter)
	return &Failure{Reason: ReasonQuota, NotRun: true, RetryAfter: retryAfter}
}

// charge charges the current attempt, which is about to be sent, to the quota of the workspace. It
// returns false if there is no room.
func (d *dispatch) charge() bool {
	cost := d.quotaCost()
	if cost <= 0 || d.charged {
		return true
	}
	d.charged = d.router.options.Quotas.Take(d.request.Workspace.Name, d.quotaKind(), cost)
	return d.charged
}

// giveBack returns what the current attempt was charged, which has certainly not run.
func (d *dispatch) giveBack() {
	if d.charged {
		d.charged = false
		d.router.options.Quotas.GiveBack(d.request.Workspace.Name, d.quotaKind(), d.quotaCost())
	}
}
