package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cyclamenward/cyclamenward/admitter"
	"github.com/cyclamenward/cyclamenward/chainer"
	"github.com/cyclamenward/cyclamenward/chooser"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/cyclamenward/cyclamenward/sequencer"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
)

const (
	// maxAttempts bounds the attempts of one request, corrections included.
	maxAttempts = 8
	// maxCorrections is how many attempts may fail for outdated knowledge before
	// they count as retries.
	maxCorrections = 3
	// maxRedirects is how many replicas may send one request on.
	maxRedirects = 2
	// attachLimit bounds the try to reach an attempt over a new connection.
	attachLimit = 600 * time.Millisecond
)

// run is one model request on its way to a whole answer. It hides attempts,
// corrections, re-attachments and resumptions from the code that writes the
// answer. It is used by one goroutine.
type run struct {
	entry     *Entry
	request   *modelRequest
	requestID string
	chain     []chainer.Hash
	sequence  *sequencer.Sequence
	// generated holds every token that passed the sequence, from index first on.
	generated []string
	// first is the index at which this run began, above 0 after a caller's resume.
	first int

	// attempts and corrections count what was tried since the answer last grew.
	attempts, corrections int
	// redirects counts the replicas that sent the request on.
	redirects int
	// grown is the number of tokens that had passed when attempts was reset.
	grown    int
	excluded []int
	// choice is the decision about the current attempt.
	choice chooser.Choice
	// index, attempt and stream belong to the current attempt.
	index   int
	attempt string
	stream  *link.Stream
	cancel  context.CancelFunc
	// last is the most recent failure, for the final answer.
	last *problem
}

func (e *Entry) newRun(request *modelRequest, c *caller) *run {
	e.retries.Earn()
	return &run{entry: e, request: request, requestID: c.requestID, sequence: sequencer.New(), index: -1}
}

// close gives the current attempt up.
func (r *run) close() {
	if r.stream != nil {
		r.stream.Cancel()
		r.cancel()
		r.stream = nil
	}
}

// start tries until an attempt is admitted. A problem is final.
func (r *run) start() *problem {
	for {
		if r.stream != nil {
			// Attached by resumeAt.
			return nil
		}
		if p := r.open(); p != nil {
			return p
		}
		admitted, p := r.awaitAdmission()
		if p != nil {
			return p
		}
		if admitted {
			return nil
		}
	}
}

// open sends a new attempt to the replica with the least cost.
func (r *run) open() *problem {
	e, s := r.entry, r.request.service
	if r.attempts >= maxAttempts || e.timeLeft(r.request.until) <= 0 {
		return r.giveUp()
	}
	choice := r.choose()
	if choice.Index < 0 {
		return r.giveUp()
	}
	r.attempts++
	e.metrics.attempts.Add(1)
	r.index, r.choice = choice.Index, choice
	r.attempt = uuid.NewString()
	replica := s.pool.Replica(choice.Index)
	e.logger.Info("route: chose replica.", "request", r.requestID, "service", s.document.Service, "workspace", r.request.workspace.Name,
		"backendServer", replica.Name, "reason", choice.Reason, "expectedBlocks", choice.ExpectedBlocks, "promptBlocks", len(r.chain),
		"cost", choice.Cost, "attempt", r.attempt, "revision", s.revised.Revision, "from", r.sequence.Next())
	return r.send(replica, choice)
}

// choose decides where the next attempt goes. An answer that has begun stays on
// its weights version; any other may use each version that replicas serve, the
// most common one first.
func (r *run) choose() chooser.Choice {
	s, now := r.request.service, r.entry.clock.Now()
	versions := []string{r.sequence.WeightsVersion()}
	if versions[0] == "" {
		versions = s.versions(now)
	}
	var choice chooser.Choice
	for _, version := range versions {
		r.request.infer.WeightsVersion = version
		r.chain = r.scopedChain()
		if choice = s.chooser.Choose(s.pool, r.decision(), now); choice.Index >= 0 {
			break
		}
	}
	return choice
}

func (r *run) scopedChain() []chainer.Hash {
	infer := &r.request.infer
	scope := chainer.Scope{Workspace: r.request.workspace.Name, Model: infer.Model, Adapter: infer.Adapter, WeightsVersion: infer.WeightsVersion}
	return chainer.Chain(r.chain[:0], scope, infer.Prompt)
}

func (r *run) decision() *chooser.Request {
	infer := &r.request.infer
	return &chooser.Request{
		Chain:          r.chain,
		PromptTokens:   chainer.Tokens(len(infer.Prompt)),
		PromptBytes:    len(infer.Prompt),
		WeightsVersion: infer.WeightsVersion,
		Excluded:       r.excluded,
		Random:         random(),
	}
}

// send opens the exchange with the chosen replica. A replica that is not reached
// is left out, and the caller goes on with another.
func (r *run) send(replica *chooser.Replica, choice chooser.Choice) *problem {
	e, s := r.entry, r.request.service
	status := s.pool.Status(choice.Index)
	infer := r.request.infer
	if r.first == 0 {
		infer.Generated = r.generated
	}
	ctx, cancel := context.WithDeadline(context.Background(), r.request.until)
	stream, err := e.common.Client().Open(ctx, replica.Address, &link.Request{
		Kind:               link.Infer,
		RequestID:          r.requestID,
		AttemptID:          r.attempt,
		Service:            s.document.Service,
		Workspace:          r.request.workspace.Name,
		Revision:           s.revised.Revision,
		SidecarIncarnation: s.incarnationOf(choice.Index),
		EngineIncarnation:  choice.EngineIncarnation,
		ExpectedBlocks:     choice.ExpectedBlocks,
		Patience:           r.patience(),
		Sender:             e.common.Identity().LinkAddress,
		Remaining:          e.timeLeft(r.request.until),
		Priority:           r.request.workspace.Priority,
		From:               r.sequence.Next(),
		Infer:              &infer,
	})
	if err != nil {
		cancel()
		r.lost(replica, err)
		return nil
	}
	status.Sent(max(1, chainer.Tokens(len(infer.Prompt))-choice.ExpectedBlocks*chainer.BlockTokens))
	stream.SetReadDeadline(r.request.until)
	r.stream, r.cancel = stream, cancel
	e.metrics.expectedBlocks.Add(int64(choice.ExpectedBlocks))
	return nil
}

// lost leaves a replica out after its sidecar was not reached.
func (r *run) lost(replica *chooser.Replica, err error) {
	e, s := r.entry, r.request.service
	e.logger.Warn("route: sidecar not reached.", "request", r.requestID, "backendServer", replica.Name, "err", err)
	e.common.Client().Drop(replica.Address)
	s.pool.Status(r.index).Avoid(e.clock.Now().Add(avoidAfterLoss))
	r.excluded = append(r.excluded, r.index)
	r.last = notRun(fasthttp.StatusServiceUnavailable, codeNoBackend, "sidecar not reached").retryAfter(time.Second)
}

// awaitAdmission reads the first frame of an attempt. It returns false if another
// attempt is due.
func (r *run) awaitAdmission() (bool, *problem) {
	if r.stream == nil {
		return false, nil
	}
	var frame link.Frame
	if err := r.stream.Receive(&frame); err != nil {
		return false, r.afterLoss(err)
	}
	if frame.AttemptID != r.attempt || frame.RequestID != r.requestID {
		return false, r.afterLoss(sequencer.ErrForeign)
	}
	r.entry.learn(r.request.service, r.index, frame.News)
	switch frame.Kind {
	case link.Admitted:
		return true, r.admitted(&frame)
	case link.Failure:
		return false, r.afterFailure(&frame)
	default:
		return false, r.afterLoss(fmt.Errorf("frame %q before admission", frame.Kind))
	}
}

// admitted binds the stream to the attempt.
func (r *run) admitted(frame *link.Frame) *problem {
	if err := r.sequence.Begin(r.attempt, frame.WeightsVersion); err != nil {
		r.close()
		return newProblem(fasthttp.StatusBadGateway, codeInterrupted, err.Error(), admitter.Unknown)
	}
	e := r.entry
	e.metrics.cachedBlocks.Add(int64(frame.CachedBlocks))
	e.metrics.promptBlocks.Add(int64(len(r.chain)))
	r.request.service.chooser.Observe(r.choice, frame.CachedBlocks)
	if frame.News != nil {
		e.memory.Learn(r.request.service.pool.Status(r.index), frame.News.EngineIncarnation, r.chain, len(r.chain))
	}
	return nil
}

// afterFailure decides what follows a failure that the sidecar told. nil means
// that another attempt is due.
func (r *run) afterFailure(frame *link.Frame) *problem {
	r.close()
	r.last = fromFrame(frame)
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
	if r.last != nil {
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

// pull returns the next token, or done at the end of a whole answer. A problem
// means that the answer cannot be completed.
func (r *run) pull() (text string, done bool, p *problem) {
	for {
		if r.stream == nil {
			if p := r.continueElsewhere(); p != nil {
				return "", false, p
			}
		}
		var frame link.Frame
		if err := r.stream.Receive(&frame); err != nil {
			if p := r.afterLoss(err); p != nil {
				return "", false, p
			}
			continue
		}
		text, done, due, p := r.take(&frame)
		if due || p != nil {
			return text, done, p
		}
	}
}

// continueElsewhere tries until an attempt that resumes the answer is admitted.
func (r *run) continueElsewhere() *problem {
	r.entry.metrics.resumed.Add(1)
	return r.start()
}

// take checks one frame. due tells that there is something to return.
func (r *run) take(frame *link.Frame) (text string, done, due bool, p *problem) {
	switch frame.Kind {
	case link.Token:
		pass, err := r.sequence.Accept(frame.AttemptID, frame.Index)
		if err != nil {
			return "", false, false, r.afterLoss(err)
		}
		if pass {
			r.generated = append(r.generated, frame.Text)
		}
		return frame.Text, false, pass, nil
	case link.End:
		r.entry.learn(r.request.service, r.index, frame.News)
		if err := r.sequence.End(frame.AttemptID, frame.Index); err != nil {
			return "", false, false, r.afterLoss(err)
		}
		return "", true, true, nil
	case link.Failure:
		r.entry.learn(r.request.service, r.index, frame.News)
		return "", false, false, r.afterFailure(frame)
	default:
		return "", false, false, r.afterLoss(fmt.Errorf("unexpected frame %q", frame.Kind))
	}
}
