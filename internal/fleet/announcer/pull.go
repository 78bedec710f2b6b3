package announcer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
)

const (
	// pullTimeout is how long a requested transfer may make no progress before the changes
	// are requested from another daemon.
	pullTimeout = 500 * time.Millisecond
	// requestRetryInterval is the time after which changes are requested again if they
	// have not arrived.
	requestRetryInterval = 150 * time.Millisecond
	// busyRetryInterval is the pause after which a daemon that was sending maxUploads transfers
	// is asked again. Others are asked at once.
	busyRetryInterval = 25 * time.Millisecond
)

// source is a daemon whose copy of the store is ahead of the own one.
type source[S comparable] struct {
	session S
	// requestAt is when changes may be requested from it.
	requestAt time.Time
	// cost orders the sources that may be asked: those with low costs first.
	cost int
	// tieBreaker spreads the requests of many daemons over sources with the same cost.
	tieBreaker uint32
}

// puller decides when changes are requested, and from which session: from one at a time, and
// from another one as soon as that refuses, makes no progress or ends.
type puller[S comparable] struct {
	clock timekeeper.Clock
	// request requests the changes in a session, and abandon has its other end send no more of
	// them. They must not block.
	request, abandon func(S)
	// wake has an element when the fields below have changed.
	wake chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// sources holds the sessions whose other ends are ahead.
	sources map[S]*source[S]
	// current is the session that should bring the changes, the zero value if none are
	// requested. progressAt is when they were requested or a part last arrived.
	current    S
	progressAt time.Time
	// nextRequestAt is when changes may be requested again.
	nextRequestAt time.Time
}

func newPuller[S comparable](clock timekeeper.Clock, request, abandon func(S)) *puller[S] {
	return &puller[S]{clock: clock, request: request, abandon: abandon, wake: make(chan struct{}, 1), sources: make(map[S]*source[S])}
}

// run requests changes until ctx ends.
func (p *puller[S]) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := p.requestNext()
		var timer <-chan time.Time
		if wait > 0 {
			timer = p.clock.After(wait)
		}
		select {
		case <-ctx.Done():
		case <-p.wake:
		case <-timer:
		}
	}
}

// requestNext requests changes if they may be requested now. It returns the time after which it
// must be called again, 0 if only a change of the sources can require it.
func (p *puller[S]) requestNext() time.Duration {
	p.mu.Lock()
	now := p.clock.Now()
	next, wait := p.choose(now)
	silent := p.current
	if next != nil {
		p.current, p.progressAt, p.nextRequestAt = next.session, now, now.Add(requestRetryInterval)
		wait = pullTimeout
	}
	p.mu.Unlock()
	var none S
	if next != nil && silent != none && silent != next.session {
		p.abandon(silent)
	}
	if next != nil {
		p.request(next.session)
	}
	return wait
}

// choose returns the source to request changes from now, or the time after which there may be
// one, 0 if there is none. The caller holds mu.
func (p *puller[S]) choose(now time.Time) (*source[S], time.Duration) {
	var none S
	if len(p.sources) == 0 {
		return nil, 0
	}
	if p.current != none {
		if left := pullTimeout - now.Sub(p.progressAt); left > 0 {
			return nil, left
		}
	}
	if left := p.nextRequestAt.Sub(now); left > 0 {
		return nil, left
	}
	var best *source[S]
	wait := time.Duration(0)
	for _, s := range p.sources {
		switch left := s.requestAt.Sub(now); {
		case left > 0:
			if wait == 0 || left < wait {
				wait = left
			}
		case s.session == p.current && len(p.sources) > 1:
			// It has made no progress.
			s.requestAt = now.Add(requestRetryInterval)
		case best == nil || cmp.Or(cmp.Compare(s.cost, best.cost), cmp.Compare(s.tieBreaker, best.tieBreaker)) < 0:
			best = s
		}
	}
	return best, wait
}

// offer records that the other end of a session is ahead: changes may be requested from it once
// it has been so for the given delay.
func (p *puller[S]) offer(session S, delay time.Duration, cost int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.sources[session]; s != nil {
		s.cost = cost
		return
	}
	now := p.clock.Now()
	p.sources[session] = &source[S]{session: session, requestAt: now.Add(delay), cost: cost, tieBreaker: rand.Uint32()}
	p.wakeUp()
}

// withdraw records that the other end of a session is not ahead.
func (p *puller[S]) withdraw(session S) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sources, session)
}

// progress records that a part of the changes has arrived in a session.
func (p *puller[S]) progress(session S) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == session {
		p.progressAt = p.clock.Now()
	}
}

// end records that a session brings no more of the requested changes. More may be requested
// after a pause.
func (p *puller[S]) end(session S, pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var none S
	if p.current == session {
		p.current, p.nextRequestAt = none, p.clock.Now().Add(pause)
		p.wakeUp()
	}
}

// refuse records that the other end of a session sends no changes now.
func (p *puller[S]) refuse(session S) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.sources[session]; s != nil {
		s.requestAt = p.clock.Now().Add(busyRetryInterval + rand.N(busyRetryInterval))
		s.tieBreaker = rand.Uint32()
	}
	var none S
	if p.current == session {
		p.current, p.nextRequestAt = none, time.Time{}
		p.wakeUp()
	}
}

// remove removes a session that has ended.
func (p *puller[S]) remove(session S) {
	p.withdraw(session)
	p.end(session, 0)
}

// wakeUp has run look at the sources. The caller holds mu.
func (p *puller[S]) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}
