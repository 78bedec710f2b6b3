package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cyclamenward/cyclamenward/admitter"
	"github.com/cyclamenward/cyclamenward/chooser"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/cyclamenward/cyclamenward/sequencer"
	"github.com/valyala/fasthttp"
)

// lost leaves a replica out after its sidecar was not reached.
func (r *run) lost(replica *chooser.Replica, err error) {
	e, s := r.entry, r.request.service
	e.logger.Warn("route: sidecar not reached.", "request", r.requestID, "backendServer", replica.Name, "err", err)
	e.common.Client().Drop(replica.Address)
	s.pool.Status(r.index).Avoid(e.clock.Now().Add(avoidAfterLoss))
	r.excluded = append(r.excluded, r.index)
	r.last = notRun(fasthttp.StatusServiceUnavailable, codeNoBackend, "sidecar not reached").retryAfter(time.Second)
}

// afterFailure decides what follows a failure that the sidecar told. nil means
// that another attempt is due.
func (r *run) afterFailure(frame *link.Frame) *problem {
	r.close()
	r.last, r.corrected = fromFrame(frame), false
	if frame.Outcome != admitter.NotRun {
		// A model request changes nothing, so it may run again elsewhere.
		r.excluded = append(r.excluded, r.index)
		return r.spendRetry()
	}
	switch frame.Code {
	case link.CodeRevision:
		r.catchUp()
		return r.correct()
	case link.CodeIncarnation, link.CodeWeights:
		return r.correct()
	case link.CodeElsewhere:
		return r.redirect(frame)
	case link.CodeBadRequest:
		return r.last
	}
	r.excluded = append(r.excluded, r.index)
	return r.spendRetry()
}

// redirect learns from a replica that sent the request on. The next decision is
// made with what it told; the replica may be chosen again.
func (r *run) redirect(frame *link.Frame) *problem {
	e, s := r.entry, r.request.service
	r.redirects++
	e.metrics.redirects.Add(1)
	if frame.News != nil {
		s.chooser.Observe(r.choice, frame.News.CachedBlocks)
		e.memory.Learn(s.pool.Status(r.index), frame.News.EngineIncarnation, r.chain, frame.News.CachedBlocks)
	}
	return nil
}

// patience returns the cost up to which the chosen replica should take the
// request. After some redirects any replica takes it.
func (r *run) patience() time.Duration {
	if r.redirects >= maxRedirects {
		return 0
	}
	return r.choice.Patience
}

// correct allows an attempt with better knowledge, at first without a retry.
func (r *run) correct() *problem {
	r.corrections++
	r.corrected = true
	r.entry.metrics.corrections.Add(1)
	if r.corrections <= maxCorrections {
		return nil
	}
	return r.spendRetry()
}

// spendRetry takes a retry from the budget. Without one the last problem is final.
// An attempt that brought the answer forward needs no retry: going on behind it
// cannot multiply the load.
func (r *run) spendRetry() *problem {
	if r.sequence.Next() > r.grown {
		r.grown = r.sequence.Next()
		r.attempts, r.corrections = 0, 0
		return nil
	}
	if !r.entry.retries.Spend() {
		return r.giveUp()
	}
	r.entry.metrics.retries.Add(1)
	return nil
}

// giveUp returns the final problem.
func (r *run) giveUp() *problem {
	r.close()
	if version := r.sequence.WeightsVersion(); version != "" {
		return newProblem(fasthttp.StatusBadGateway, codeInterrupted, "no replica can go on with the answer on weights "+version, admitter.Unknown).retryAfter(time.Second)
	}
	if r.last != nil && !r.corrected {
		return r.last
	}
	if r.entry.timeLeft(r.request.until) <= 0 {
		return notRun(fasthttp.StatusGatewayTimeout, codeDeadline, "the deadline has passed")
	}
	return notRun(fasthttp.StatusServiceUnavailable, codeNoBackend, "no backend server can take the request").retryAfter(time.Second)
}

// catchUp fetches the newer configuration from the replica that refused and goes
// on under it if it still knows the workspace.
func (r *run) catchUp() {
	e, s := r.entry, r.request.service
	ctx, cancel := context.WithTimeout(context.Background(), attachLimit)
	defer cancel()
	e.common.CatchUp(ctx, s.pool.Replica(r.index).Address)
	newer := e.current().byName[s.document.Service]
	if newer == nil || newer.document.Model == nil {
		return
	}
	if workspace := newer.workspaceNamed(r.request.workspace.Name); workspace != nil {
		r.request.service, r.request.workspace = newer, workspace
		r.excluded = nil
	}
}

// afterLoss decides what follows a broken exchange: the attempt is reached over
// a new connection, or the answer goes on elsewhere. nil means that it goes on.
func (r *run) afterLoss(cause error) *problem {
	e, s := r.entry, r.request.service
	r.close()
	e.logger.Warn("route: exchange broke off.", "request", r.requestID, "attempt", r.attempt, "err", cause)
	if e.timeLeft(r.request.until) <= 0 {
		return newProblem(fasthttp.StatusGatewayTimeout, codeDeadline, "the deadline has passed", admitter.Unknown)
	}
	replica := s.pool.Replica(r.index)
	e.common.Client().Drop(replica.Address)
	if r.sequence.WeightsVersion() != "" && !errors.Is(cause, sequencer.ErrForeign) && r.attach(replica.Address, s.incarnationOf(r.index)) == nil {
		e.metrics.reattached.Add(1)
		return nil
	}
	s.pool.Status(r.index).Avoid(e.clock.Now().Add(avoidAfterLoss))
	r.excluded = append(r.excluded, r.index)
	r.last = newProblem(fasthttp.StatusBadGateway, codeInterrupted, "the backend server was lost", admitter.Unknown).retryAfter(time.Second)
	return r.spendRetry()
}

// attach reads the current attempt's answer over a new connection.
func (r *run) attach(address, incarnation string) error {
	e := r.entry
	ctx, cancel := context.WithDeadline(context.Background(), r.request.until)
	dialCtx, dialCancel := context.WithTimeout(ctx, attachLimit)
	defer dialCancel()
	stream, err := e.common.Client().Open(dialCtx, address, &link.Request{
		Kind:               link.Attach,
		RequestID:          r.requestID,
		AttemptID:          r.attempt,
		Service:            r.request.service.document.Service,
		Workspace:          r.request.workspace.Name,
		SidecarIncarnation: incarnation,
		From:               r.sequence.Next(),
	})
	if err != nil {
		cancel()
		return fmt.Errorf("attach: %w", err)
	}
	var frame link.Frame
	stream.SetReadDeadline(time.Now().Add(attachLimit))
	if err := stream.Receive(&frame); err != nil || frame.Kind != link.Admitted || frame.AttemptID != r.attempt {
		stream.Cancel()
		cancel()
		return fmt.Errorf("attach: first frame %q: %w", frame.Kind, errors.Join(err, sequencer.ErrForeign))
	}
	stream.SetReadDeadline(r.request.until)
	if err := r.sequence.Begin(r.attempt, frame.WeightsVersion); err != nil {
		stream.Cancel()
		cancel()
		return fmt.Errorf("attach: %w", err)
	}
	r.stream, r.cancel = stream, cancel
	return nil
}
