package claimer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/zeebo/xxh3"
)

const (
	// commitLimit bounds one commit with its retries after conflicts.
	commitLimit = 2 * time.Second
	// conflictPause is the wait before a commit is tried again.
	conflictPause = 5 * time.Millisecond
	// concludePause is the wait before conclusions are tried again.
	concludePause = 500 * time.Millisecond
)

// Claims takes claims on the keys of one service.
type Claims struct {
	options Options
	ranges  []*worker
	commits atomic.Uint64
	granted atomic.Uint64
}

// New returns the claims of a service for one holder. Close ends its goroutines.
func New(store keeper.Store, clock timekeeper.Clock, service string, holder Holder, options Options) *Claims {
	c := &Claims{options: options}
	for i := range options.Ranges {
		prefix := fmt.Sprintf("claims/%s/%d", service, i)
		c.ranges = append(c.ranges, newWorker(c, newRangeLog(store, prefix, options.Keep), clock, holder))
	}
	return c
}

// RangeOf returns the index of the range that holds a key, of n ranges.
func RangeOf(key string, n int) int { return int(xxh3.HashString(key) % uint64(n)) }

// Take proposes that attempt runs under the key. If the returned claim names the
// proposed attempt, the claim is committed and the attempt may run. Otherwise
// the returned claim is in force and the proposed attempt must not run. An error
// proves that the attempt was granted nothing.
func (c *Claims) Take(ctx context.Context, key, digest, attempt string) (Claim, error) {
	return c.worker(key).take(ctx, key, digest, attempt)
}

// Conclude records how a granted attempt ended. It returns at once; the record
// is committed in the background and again until the store takes it.
func (c *Claims) Conclude(key, attempt string, state State, answer []byte) {
	if len(answer) > c.options.MaxAnswer {
		answer = nil
	}
	c.worker(key).conclude(attempt, state, answer)
}

// Await waits until the attempt that holds the key ends, if it is held by this
// process, and returns the claim in force.
func (c *Claims) Await(ctx context.Context, key, attempt string) (Claim, bool) {
	return c.worker(key).await(ctx, attempt)
}

// Commits returns the number of writes that the store confirmed.
func (c *Claims) Commits() uint64 { return c.commits.Load() }

// Granted returns the number of claims granted.
func (c *Claims) Granted() uint64 { return c.granted.Load() }

// Close ends the goroutines. Conclusions that are not committed are lost; their
// claims stay in state Claimed.
func (c *Claims) Close() {
	for _, w := range c.ranges {
		close(w.stop)
		<-w.stopped
	}
}

// Flush waits until all conclusions are committed or ctx ends.
func (c *Claims) Flush(ctx context.Context) error {
	for _, w := range c.ranges {
		if err := w.flush(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (c *Claims) worker(key string) *worker { return c.ranges[RangeOf(key, len(c.ranges))] }

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
		claim: Claim{Key: key, Digest: digest, Attempt: attempt, Holder: w.holder, State: Claimed, Made: w.clock.Now()},
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

// round commits everything that is waiting and reports whether the store took it.
func (w *worker) round() bool {
	w.mu.Lock()
	proposed := w.proposed
	w.proposed = nil
	w.mu.Unlock()
	ctx := context.Background()
	limit := w.clock.Now().Add(commitLimit)
	for {
		err := w.commit(ctx, &proposed)
		if err == nil && len(proposed) == 0 {
			return true
		}
		if err == nil {
			continue
		}
		if refreshErr := w.log.refresh(ctx); refreshErr != nil {
			err = refreshErr
		}
		if errors.Is(err, keeper.ErrUnavailable) || w.clock.Now().After(limit) || !w.pause(conflictPause) {
			w.fail(proposed)
			w.signal()
			return false
		}
	}
}

// fail tells the proposals that they were granted nothing. A write whose reply
// was lost may still take effect, so they are remembered until that is settled.
func (w *worker) fail(proposed []*proposal) {
	for _, p := range proposed {
		w.doubtful = append(w.doubtful, p.claim)
		p.done <- result{err: ErrUnavailable}
	}
}

// commit writes one batch. Proposals that are decided are removed from the list.
func (w *worker) commit(ctx context.Context, proposed *[]*proposal) error {
	w.reject(proposed)
	releases, err := w.settleDoubts(ctx)
	if err != nil {
		return err
	}
	if err := w.decideKnown(ctx, proposed); err != nil {
		return err
	}
	records, conclusions := w.batch(releases, *proposed)
	if len(records) == 0 && len(w.doubtful) == 0 {
		w.settleConclusions(conclusions)
		return nil
	}
	if err := w.log.append(ctx, records, w.clock.Now()); err != nil {
		return fmt.Errorf("commit claims: %w", err)
	}
	w.claims.commits.Add(1)
	w.doubtful = nil
	w.settleConclusions(conclusions)
	w.grant(proposed)
	return nil
}

// settleDoubts returns releases for claims that a write left behind although
// their proposals were told that nothing was granted. Any successful write after
// it settles the remaining doubts, because it makes the lost write conflict.
func (w *worker) settleDoubts(ctx context.Context) ([]Claim, error) {
	if len(w.doubtful) == 0 {
		return nil, nil
	}
	if err := w.log.refresh(ctx); err != nil {
		return nil, fmt.Errorf("read claims: %w", err)
	}
	var releases []Claim
	for _, claim := range w.doubtful {
		known := w.log.index[claim.Key]
		if known.Attempt == claim.Attempt && known.State == Claimed {
			known.State = NotRun
			releases = append(releases, known)
		}
	}
	return releases, nil
}

// reject answers proposals for which there is no room.
func (w *worker) reject(proposed *[]*proposal) {
	room := w.claims.options.MaxClaims - len(w.log.index)
	for len(*proposed) > max(0, room) {
		last := len(*proposed) - 1
		(*proposed)[last].done <- result{err: ErrFull}
		*proposed = (*proposed)[:last]
	}
}

// decideKnown answers proposals whose keys are already claimed. Claims of other
// processes that have not ended are read again first, before anything is answered.
func (w *worker) decideKnown(ctx context.Context, proposed *[]*proposal) error {
	if w.anyForeign(*proposed) {
		if err := w.log.refresh(ctx); err != nil {
			return fmt.Errorf("read claims: %w", err)
		}
	}
	var open []*proposal
	for _, p := range *proposed {
		known, ok := w.log.index[p.claim.Key]
		switch {
		case ok && known.Attempt == p.claim.Attempt && known.State == Claimed:
			// An earlier write took effect although its reply was lost.
			w.hold(p.claim)
			p.done <- result{claim: p.claim}
		case ok && known.State != NotRun:
			p.done <- result{claim: w.current(known)}
		default:
			open = append(open, p)
		}
	}
	*proposed = open
	return nil
}

// anyForeign reports whether a proposal meets a claim of another process that
// has not ended as far as is known here.
func (w *worker) anyForeign(proposed []*proposal) bool {
	return slices.ContainsFunc(proposed, func(p *proposal) bool {
		known, ok := w.log.index[p.claim.Key]
		return ok && known.State == Claimed && known.Holder != w.holder
	})
}

// current returns the claim with the end that is known here but not committed.
func (w *worker) current(known Claim) Claim {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l, ok := w.running[known.Attempt]; ok {
		return l.claim
	}
	return known
}

// batch returns the records to commit and how many conclusions they cover. Of
// several proposals for one key it takes the first; the others are decided once
// that is committed.
func (w *worker) batch(releases []Claim, proposed []*proposal) (records []Claim, conclusions int) {
	records = releases
	w.mu.Lock()
	for _, claim := range w.concluded {
		if w.log.index[claim.Key].Attempt == claim.Attempt {
			records = append(records, claim)
		}
	}
	conclusions = len(w.concluded)
	w.mu.Unlock()
	chosen := make(map[string]bool, len(proposed))
	for _, p := range proposed {
		if !chosen[p.claim.Key] {
			chosen[p.claim.Key] = true
			records = append(records, p.claim)
		}
	}
	return records, conclusions
}

// settleConclusions removes the first n conclusions, which are committed or void.
func (w *worker) settleConclusions(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, claim := range w.concluded[:n] {
		delete(w.running, claim.Attempt)
	}
	w.concluded = append([]Claim(nil), w.concluded[n:]...)
	if len(w.concluded) == 0 {
		close(w.idle)
		w.idle = make(chan struct{})
	} else {
		w.signal()
	}
}

// grant answers proposals whose claims are committed and keeps the others.
func (w *worker) grant(proposed *[]*proposal) {
	*proposed = slices.DeleteFunc(*proposed, func(p *proposal) bool {
		if w.log.index[p.claim.Key].Attempt != p.claim.Attempt {
			return false
		}
		w.hold(p.claim)
		p.done <- result{claim: p.claim}
		return true
	})
}

// hold records that an attempt of this process holds a claim.
func (w *worker) hold(claim Claim) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[claim.Attempt] = &local{claim: claim, ended: make(chan struct{})}
	w.claims.granted.Add(1)
}
