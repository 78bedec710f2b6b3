package entry

import (
	"context"
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
	// last is the most recent failure, for the final answer. If corrected is set,
	// it told of outdated knowledge here, which is no answer for a caller.
	last      *problem
	corrected bool
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
// most common one first. If none will do, the replicas' versions are looked at
// again, since this request itself may have brought news.
func (r *run) choose() chooser.Choice {
	s, now := r.request.service, r.entry.clock.Now()
	if bound := r.sequence.WeightsVersion(); bound != "" {
		return r.chooseOn([]string{bound}, now)
	}
	choice := r.chooseOn(s.versions(now), now)
	if choice.Index < 0 {
		choice = r.chooseOn(s.rankVersions(), now)
	}
	return choice
}

// chooseOn returns the best replica on the first version that has a usable one.
func (r *run) chooseOn(versions []string, now time.Time) chooser.Choice {
	choice := chooser.Choice{Index: -1}
	for _, version := range versions {
		r.request.infer.WeightsVersion = version
		r.chain = r.scopedChain()
		if choice = r.request.service.chooser.Choose(r.request.service.pool, r.decision(), now); choice.Index >= 0 {
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
