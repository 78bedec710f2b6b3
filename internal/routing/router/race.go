package router

import (
	"context"
	"slices"
)

// outcome is what an attempt, or a fork with its attempts, has led to.
type outcome interface {
	// usable reports whether the request can go on with it.
	usable() bool
	// discard releases what is held for an outcome with which the request does not go on.
	discard(d *dispatch)
}

// race has a fork continue the request elsewhere while the current attempt stays open, until
// one of them has a usable outcome; the other is closed then. That of the current attempt comes
// from own, for which received is called. If it is not usable and the fork has none either, race
// returns it. It returns false if the fork has none and the current attempt is open.
func race[T outcome](d, other *dispatch, own <-chan T, elsewhere func() T, received func(T)) (result T, found bool) {
	taken := make(chan T, 1)
	cancel := other.cancel
	go func() { taken <- elsewhere() }()
	var lost T
	open := true
	for {
		select {
		case result := <-own:
			received(result)
			if !result.usable() {
				lost, open, own = result, false, nil
				continue
			}
			// The wait is short, and what the other has sent is known only then.
			cancel()
			passedOver := <-taken
			d.join(other)
			other.release()
			passedOver.discard(d)
			return result, true
		case result := <-taken:
			if result.usable() {
				d.closeAttempt()
				d.adopt(other)
				if !open {
					lost.discard(d)
				}
				return result, true
			}
			d.join(other)
			other.release()
			result.discard(d)
			return lost, !open
		}
	}
}

// fork returns a dispatch that continues the request at another replica. A retry that is reserved is
// the fork's until it is joined.
func (d *dispatch) fork() *dispatch {
	other := *d
	d.retryReserved = false
	other.attemptState = new(attemptState)
	other.excluded = append(slices.Clone(d.excluded), d.choice.replica)
	other.lastFailure, other.fallback, other.forked = nil, nil, true
	other.forkedRuns, other.forkedRejections = d.runAttempts, d.rejectedAttempts
	other.ctx, other.cancel = context.WithCancel(d.ctx)
	return &other
}

// join counts the attempts of a fork that has ended as those of the request.
func (d *dispatch) join(other *dispatch) {
	runs, rejections := other.runAttempts-other.forkedRuns, other.rejectedAttempts-other.forkedRejections
	d.runAttempts, d.rejectedAttempts = d.runAttempts+runs, d.rejectedAttempts+rejections
	d.allowedAttempts, d.excluded = other.allowedAttempts, other.excluded
	d.retryReserved = d.retryReserved || other.retryReserved
	d.denialLogged = other.denialLogged
	switch {
	case d.fallback == nil:
		d.fallback = other.fallback
	case other.fallback != nil:
		other.fallback.Release()
	}
	if other.lastFailure != nil {
		failure := *other.lastFailure
		failure.NotRun = d.runAttempts == 0
		d.lastFailure = &failure
	}
}

// adopt continues with the attempt of a fork.
func (d *dispatch) adopt(other *dispatch) {
	d.join(other)
	kept := *d
	*d = *other
	d.runAttempts, d.rejectedAttempts = kept.runAttempts, kept.rejectedAttempts
	d.forkedRuns, d.forkedRejections = kept.forkedRuns, kept.forkedRejections
	d.forked, d.fallback = kept.forked, kept.fallback
	d.cancel = func() {
		other.cancel()
		kept.cancel()
	}
}
