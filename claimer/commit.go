package claimer

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/cyclamenward/cyclamenward/keeper"
)

// commitPending commits all waiting proposals and outcomes, and reports whether the
// store confirmed them. Proposals that are not decided in time fail.
func (w *worker) commitPending() bool {
	w.mu.Lock()
	proposed := w.proposed
	w.proposed = nil
	w.mu.Unlock()
	ctx := context.Background()
	deadline := w.clock.Now().Add(commitTimeout)
	for {
		err := w.commitBatch(ctx, &proposed)
		if err == nil && len(proposed) == 0 {
			return true
		}
		if err == nil {
			continue
		}
		if refreshErr := w.log.refresh(ctx); refreshErr != nil {
			err = refreshErr
		}
		if errors.Is(err, keeper.ErrUnavailable) || w.clock.Now().After(deadline) || !w.sleep(conflictRetryInterval) {
			w.failProposals(proposed)
			w.wakeUp()
			return false
		}
	}
}

// failProposals answers proposals with ErrUnavailable. A write whose reply was lost
// may still take effect, so their claims stay unresolved until a later write succeeds.
func (w *worker) failProposals(proposed []*proposal) {
	for _, p := range proposed {
		w.unresolved = append(w.unresolved, p.claim)
		p.done <- result{err: ErrUnavailable}
	}
}

// commitBatch makes one write to the log, of releases, outcomes and proposals, unless
// there is nothing to write. Proposals that are answered are removed from the list.
func (w *worker) commitBatch(ctx context.Context, proposed *[]*proposal) error {
	w.rejectOverflow(proposed)
	releases, err := w.releaseUnresolved(ctx)
	if err != nil {
		return err
	}
	if err := w.answerExisting(ctx, proposed); err != nil {
		return err
	}
	records, outcomeCount := w.assembleBatch(releases, *proposed)
	if len(records) == 0 && len(w.unresolved) == 0 {
		w.dropOutcomes(outcomeCount)
		return nil
	}
	if err := w.log.append(ctx, records, w.clock.Now()); err != nil {
		return fmt.Errorf("commit claims: %w", err)
	}
	w.claims.commits.Add(1)
	w.unresolved = nil
	w.dropOutcomes(outcomeCount)
	w.grant(proposed)
	return nil
}

// releaseUnresolved returns releases (records in state NotRun) for claims that a lost
// write has committed although their proposals were answered with ErrUnavailable. The
// next successful write resolves the remaining ones too, because a lost write that has
// not taken effect by then will conflict with it.
func (w *worker) releaseUnresolved(ctx context.Context) ([]Claim, error) {
	if len(w.unresolved) == 0 {
		return nil, nil
	}
	if err := w.log.refresh(ctx); err != nil {
		return nil, fmt.Errorf("read claims: %w", err)
	}
	var releases []Claim
	for _, claim := range w.unresolved {
		existing := w.log.index[claim.Key]
		if existing.Attempt == claim.Attempt && existing.State == Claimed {
			existing.State = NotRun
			releases = append(releases, existing)
		}
	}
	return releases, nil
}

// rejectOverflow answers proposals of new keys beyond Options.MaxClaims with ErrFull, the
// newest first. A proposal of a key that is claimed already takes no room, and expired
// claims make room: a full range writes nothing that would drop them otherwise.
func (w *worker) rejectOverflow(proposed *[]*proposal) {
	if len(w.overflow(*proposed)) == 0 {
		return
	}
	w.log.forgetExpired(w.clock.Now())
	overflow := w.overflow(*proposed)
	*proposed = slices.DeleteFunc(*proposed, func(p *proposal) bool {
		if overflow[p] {
			p.done <- result{err: ErrFull}
		}
		return overflow[p]
	})
}

// overflow returns the proposals of new keys for which the range has no room.
func (w *worker) overflow(proposed []*proposal) map[*proposal]bool {
	room := w.claims.options.MaxClaims - len(w.log.index)
	added, overflow := make(map[string]bool), make(map[*proposal]bool)
	for _, p := range proposed {
		if _, claimed := w.log.index[p.claim.Key]; claimed || added[p.claim.Key] {
			continue
		}
		if len(added) >= room {
			overflow[p] = true
			continue
		}
		added[p.claim.Key] = true
	}
	return overflow
}

// answerExisting answers proposals whose keys are already claimed. If a key is claimed
// by an attempt of another process that has not ended, the log is read again first.
func (w *worker) answerExisting(ctx context.Context, proposed *[]*proposal) error {
	if w.anyHeldElsewhere(*proposed) {
		if err := w.log.refresh(ctx); err != nil {
			return fmt.Errorf("read claims: %w", err)
		}
	}
	var undecided []*proposal
	for _, p := range *proposed {
		existing, ok := w.log.index[p.claim.Key]
		switch {
		case ok && existing.Attempt == p.claim.Attempt && existing.State == Claimed:
			// An earlier write took effect although its reply was lost.
			w.recordHeld(p.claim)
			p.done <- result{claim: p.claim}
		case ok && existing.State != NotRun:
			p.done <- result{claim: w.withLocalOutcome(existing)}
		default:
			undecided = append(undecided, p)
		}
	}
	*proposed = undecided
	return nil
}

// anyHeldElsewhere reports whether the key of any proposal is claimed by an attempt of
// another process that, as far as the index knows, has not ended.
func (w *worker) anyHeldElsewhere(proposed []*proposal) bool {
	return slices.ContainsFunc(proposed, func(p *proposal) bool {
		existing, ok := w.log.index[p.claim.Key]
		return ok && existing.State == Claimed && existing.Holder != w.holder
	})
}

// withLocalOutcome returns the claim with the outcome that this process has recorded
// but not yet committed, if there is one.
func (w *worker) withLocalOutcome(existing Claim) Claim {
	w.mu.Lock()
	defer w.mu.Unlock()
	if held, ok := w.held[existing.Attempt]; ok {
		return held.claim
	}
	return existing
}

// assembleBatch returns the records to commit and the number of outcomes to drop after
// the commit. These include outcomes whose claims are no longer in force and which need
// no record. Of several proposals for one key it takes the first; the others are answered
// once that is committed.
func (w *worker) assembleBatch(releases []Claim, proposed []*proposal) (records []Claim, outcomeCount int) {
	records = releases
	w.mu.Lock()
	for _, claim := range w.outcomes {
		if w.log.index[claim.Key].Attempt == claim.Attempt {
			records = append(records, claim)
		}
	}
	outcomeCount = len(w.outcomes)
	w.mu.Unlock()
	chosen := make(map[string]bool, len(proposed))
	for _, p := range proposed {
		if !chosen[p.claim.Key] {
			chosen[p.claim.Key] = true
			records = append(records, p.claim)
		}
	}
	return records, outcomeCount
}

// dropOutcomes removes the first n outcomes and their held claims. The outcomes are
// committed, or their claims are no longer in force.
func (w *worker) dropOutcomes(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, claim := range w.outcomes[:n] {
		delete(w.held, claim.Attempt)
	}
	w.outcomes = append([]Claim(nil), w.outcomes[n:]...)
	if len(w.outcomes) == 0 {
		close(w.idle)
		w.idle = make(chan struct{})
	} else {
		w.wakeUp()
	}
}

// grant answers proposals whose claims are committed and leaves the others in the list.
func (w *worker) grant(proposed *[]*proposal) {
	*proposed = slices.DeleteFunc(*proposed, func(p *proposal) bool {
		if w.log.index[p.claim.Key].Attempt != p.claim.Attempt {
			return false
		}
		w.recordHeld(p.claim)
		p.done <- result{claim: p.claim}
		return true
	})
}

// recordHeld adds a granted claim to the claims held by this process.
func (w *worker) recordHeld(claim Claim) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held[claim.Attempt] = &heldClaim{claim: claim, ended: make(chan struct{})}
	w.claims.granted.Add(1)
}
