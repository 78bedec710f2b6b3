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
	// done receives the result; it has room for one, so the worker never blocks.
	done chan result
}

// result is the answer to a proposal: the claim in force, or an error.
type result struct {
	claim Claim
	err   error
}

// heldClaim is a claim that was granted to an attempt of this process.
type heldClaim struct {
	claim Claim
	// ended is closed once claim has its final state.
	ended chan struct{}
}

// worker commits the proposals and outcomes of one range, in a goroutine of its own.
type worker struct {
	claims *Claims
	log    *rangeLog
	clock  timekeeper.Clock
	holder Holder
	// wake receives a value when there is something to commit.
	wake chan struct{}
	// stop is closed to end the goroutine.
	stop chan struct{}
	// stopped is closed when the goroutine has ended.
	stopped chan struct{}

	// mu guards the fields below, except unresolved.
	mu sync.Mutex
	// proposed holds the proposals that wait for the next commit, oldest first.
	proposed []*proposal
	// outcomes holds claims of ended attempts that are not yet committed with
	// their final states, oldest first.
	outcomes []Claim
	// held maps attempts of this process to the claims that they were granted, until
	// the final states of the claims are committed.
	held map[string]*heldClaim
	// unresolved holds the claims of failed proposals whose write may have taken
	// effect or may still do so. It is used by the worker's goroutine only.
	unresolved []Claim
	// idle is closed and replaced whenever outcomes becomes empty.
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
		held:    make(map[string]*heldClaim),
		idle:    make(chan struct{}),
	}
	go func() {
		defer close(w.stopped)
		w.run()
	}()
	return w
}

// wakeUp makes the worker's goroutine run a commit soon. It does not block.
func (w *worker) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// take implements Claims.Take for the keys of this range.
func (w *worker) take(ctx context.Context, key, digest, attempt string) (Claim, error) {
	p := &proposal{
		claim: Claim{Key: key, Digest: digest, Attempt: attempt, Holder: w.holder, State: Claimed, ProposedAt: w.clock.Now()},
		done:  make(chan result, 1),
	}
	w.mu.Lock()
	w.proposed = append(w.proposed, p)
	w.mu.Unlock()
	w.wakeUp()
	select {
	case r := <-p.done:
		return r.claim, r.err
	case <-ctx.Done():
	case <-w.stopped:
	}
	return w.abandon(ctx, p)
}

// abandon withdraws a proposal whose caller stopped waiting. If a commit has picked it
// up already and grants it, the claim is released, since the attempt never runs.
func (w *worker) abandon(ctx context.Context, p *proposal) (Claim, error) {
	if !w.withdraw(p) {
		go func() {
			select {
			case r := <-p.done:
				if r.err == nil && r.claim.Attempt == p.claim.Attempt {
					w.recordOutcome(p.claim.Attempt, NotRun, nil)
				}
			case <-w.stopped:
			}
		}()
	}
	return Claim{}, fmt.Errorf("take claim: %w: %w", ErrUnavailable, context.Cause(ctx))
}

// withdraw removes a proposal and returns true, or returns false if a commit has picked
// the proposal up already.
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

// recordOutcome ends an attempt that holds a claim and queues the final state for
// commit. It does nothing if the attempt holds no claim here or has ended.
func (w *worker) recordOutcome(attempt string, state State, answer []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	held, ok := w.held[attempt]
	if !ok || held.claim.State != Claimed {
		return
	}
	held.claim.State = state
	held.claim.Answer = answer
	close(held.ended)
	w.outcomes = append(w.outcomes, held.claim)
	w.wakeUp()
}

// await implements Claims.Await for the keys of this range.
func (w *worker) await(ctx context.Context, attempt string) (Claim, bool) {
	w.mu.Lock()
	held, ok := w.held[attempt]
	w.mu.Unlock()
	if !ok {
		return Claim{}, false
	}
	select {
	case <-held.ended:
	case <-ctx.Done():
		return Claim{}, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return held.claim, true
}

// flush waits until all outcomes of this range are committed or ctx ends.
func (w *worker) flush(ctx context.Context) error {
	for {
		w.mu.Lock()
		uncommitted, idle := len(w.outcomes), w.idle
		w.mu.Unlock()
		if uncommitted == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return fmt.Errorf("flush outcomes: %w", ctx.Err())
		}
	}
}

// run commits what is waiting each time the worker is woken, until stop is closed.
func (w *worker) run() {
	for {
		select {
		case <-w.wake:
		case <-w.stop:
			return
		}
		if !w.commitPending() && !w.sleep(failureRetryInterval) {
			return
		}
		if !w.sleep(w.claims.options.CommitInterval) {
			return
		}
	}
}

// sleep waits for d. It returns false if stop is closed first.
func (w *worker) sleep(d time.Duration) bool {
	select {
	case <-w.clock.After(d):
		return true
	case <-w.stop:
		return false
	}
}
