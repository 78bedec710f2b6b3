package claimer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
)

// proposal is one Take that waits for a commit.
type proposal struct {
	claim Claim
	// done receives the result; it has room for one.
	done chan result
}

type result struct {
	claim Claim
	err   error
}

// local is an attempt of this process that holds, or may come to hold, a claim.
type local struct {
	claim Claim
	// ended is closed once claim has its final state.
	ended chan struct{}
}

// worker commits the claims of one range.
type worker struct {
	claims *Claims
	log    *rangeLog
	clock  timekeeper.Clock
	holder Holder
	wake   chan struct{}
	stop   chan struct{}
	// stopped is closed when the goroutine has ended.
	stopped chan struct{}

	// mu guards the fields below.
	mu       sync.Mutex
	proposed []*proposal
	// concluded holds records that are not yet committed, oldest first.
	concluded []Claim
	// running holds the attempts of this process that were granted and have not
	// been committed as ended, by attempt.
	running map[string]*local
	// doubtful holds failed proposals whose write may have taken effect. It is
	// used by the worker's goroutine only.
	doubtful []Claim
	// idle is closed and replaced whenever concluded becomes empty.
	idle chan struct{}
}

func newWorker(claims *Claims, log *rangeLog, clock timekeeper.Clock, holder Holder) *worker {
	w := &worker{
		claims:  claims,
		log:     log,
		clock:   clock,
		holder:  holder,
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
		running: make(map[string]*local),
		idle:    make(chan struct{}),
	}
	go func() {
		defer close(w.stopped)
		w.run()
	}()
	return w
}

func (w *worker) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *worker) take(ctx context.Context, key, digest, attempt string) (Claim, error) {
	p := &proposal{
		claim: Claim{Key: key, Digest: digest, Attempt: attempt, Holder: w.holder, State: Claimed, ProposedAt: w.clock.Now()},
		done:  make(chan result, 1),
	}
	w.mu.Lock()
	w.proposed = append(w.proposed, p)
	w.mu.Unlock()
	w.signal()
	select {
	case r := <-p.done:
		return r.claim, r.err
	case <-ctx.Done():
	case <-w.stopped:
	}
	return w.abandon(ctx, p)
}

// abandon withdraws a proposal whose caller stopped waiting. If it was granted in
// the meantime, the grant is released, since the attempt never runs.
func (w *worker) abandon(ctx context.Context, p *proposal) (Claim, error) {
	if !w.withdraw(p) {
		go func() {
			select {
			case r := <-p.done:
				if r.err == nil && r.claim.Attempt == p.claim.Attempt {
					w.conclude(p.claim.Attempt, NotRun, nil)
				}
			case <-w.stopped:
			}
		}()
	}
	return Claim{}, fmt.Errorf("take claim: %w: %w", ErrUnavailable, context.Cause(ctx))
}

// withdraw removes a proposal that no round has picked up yet.
func (w *worker) withdraw(p *proposal) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := slices.Index(w.proposed, p)
	if i < 0 {
		return false
	}
	w.proposed = slices.Delete(w.proposed, i, i+1)
	return true
}

func (w *worker) conclude(attempt string, state State, answer []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l, ok := w.running[attempt]
	if !ok || l.claim.State != Claimed {
		return
	}
	l.claim.State = state
	l.claim.Answer = answer
	close(l.ended)
	w.concluded = append(w.concluded, l.claim)
	w.signal()
}

func (w *worker) await(ctx context.Context, attempt string) (Claim, bool) {
	w.mu.Lock()
	l, ok := w.running[attempt]
	w.mu.Unlock()
	if !ok {
		return Claim{}, false
	}
	select {
	case <-l.ended:
	case <-ctx.Done():
		return Claim{}, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return l.claim, true
}

func (w *worker) flush(ctx context.Context) error {
	for {
		w.mu.Lock()
		left, idle := len(w.concluded), w.idle
		w.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return fmt.Errorf("flush conclusions: %w", ctx.Err())
		}
	}
}

// run commits until stop is closed.
func (w *worker) run() {
	for {
		select {
		case <-w.wake:
		case <-w.stop:
			return
		}
		if !w.round() && !w.pause(concludePause) {
			return
		}
		if !w.pause(w.claims.options.CommitInterval) {
			return
		}
	}
}

// pause waits and reports whether the worker goes on.
func (w *worker) pause(d time.Duration) bool {
	select {
	case <-w.clock.After(d):
		return true
	case <-w.stop:
		return false
	}
}
