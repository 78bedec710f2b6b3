package claimer

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/cyclamenward/cyclamenward/keeper"
)

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
// their proposals were answered that nothing was granted. Any successful write after
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
