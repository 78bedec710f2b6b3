// Package sidecar implements the daemon that runs on the host of one backend server.
//
// A sidecar fails together with its backend server and is the only authority on the
// server's state. It admits attempts and can prove that an attempt did not run, it reads
// the engine's incarnation, cache and load without a network in between, it alone orders
// the engine to load weights, and it refuses new attempts when its host is leaving.
//
// An attempt does not end with the connection on which it arrived. Each admitted attempt
// is a job that collects its answer; any stream may attach to it and read the answer from
// any index. A model request is ended early only if its entry cancels it on purpose or no
// stream was attached for detachedTimeout.
package sidecar

import (
	"context"
	"crypto/tls"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenward/cyclamenward/admitter"
	"github.com/cyclamenward/cyclamenward/claimer"
	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/internal/daemon"
	"github.com/cyclamenward/cyclamenward/internal/gateway/reserver"
	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/cyclamenward/cyclamenward/limiter"
	"github.com/cyclamenward/cyclamenward/peer/engine"
	"github.com/cyclamenward/cyclamenward/peer/exchanger"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/cyclamenward/cyclamenward/peer/plainservice"
	"github.com/cyclamenward/cyclamenward/spreader"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/cyclamenward/cyclamenward/tracker"

	"github.com/charmbracelet/log"
)

const (
	// maxAttempts bounds the attempts held, including the tombstones of those that must
	// never run, and the requests that wait in the queue.
	maxAttempts = 200_000
	// attemptRetention is how long the outcome of an ended attempt is known.
	attemptRetention = 10 * time.Minute
	// answerRetention is how long the answer of an ended attempt can still be read.
	answerRetention = 15 * time.Second
	// detachedTimeout is how long a model request continues without an attached stream.
	detachedTimeout = 10 * time.Second
	// maxAnswerMemory is what the answers of a plain service take together while they are read.
	maxAnswerMemory = 32 << 20
	// maxIndexedBlocks bounds the blocks in the index of the engine's cache.
	maxIndexedBlocks = 1 << 20
	// sweepInterval is how often jobs are checked for removal and cancellation, and the
	// host for leaving.
	sweepInterval = time.Second
)

// Settings holds the values that a sidecar is started with.
type Settings struct {
	// Service is the name of the service that the backend server belongs to.
	Service string
	// BackendServer is the name of the backend server in the document.
	BackendServer string
	// BackendAddress is the IP address and TCP port of the backend server.
	BackendAddress string
}

// Dependencies holds the components that a sidecar uses.
type Dependencies struct {
	Common *daemon.Common
	Store  keeper.Store
	TLS    *tls.Config
	Clock  timekeeper.Clock
	Logger *log.Logger
}

// Sidecar is the running daemon of one backend server.
type Sidecar struct {
	settings Settings
	common   *daemon.Common
	store    keeper.Store
	clock    timekeeper.Clock
	logger   *log.Logger
	server   *link.Server
	// attempts records the outcomes of attempts, so that repeated ones are refused.
	attempts *admitter.Table
	// jobs holds the answers of running and recently ended attempts.
	jobs *jobTable
	// queue assigns the engine's slots to model requests.
	queue  *limiter.Queue
	engine *engine.Client
	// cacheIndex holds the blocks that the engine has cached according to its events.
	cacheIndex   *tracker.Index
	prefills     *prefillTracker
	plainService *plainservice.Client
	cancel       context.CancelFunc
	// loops counts the goroutines of startLoop.
	loops   sync.WaitGroup
	metrics metrics

	// engineState is the engine's last reported state, nil while it cannot be reached.
	engineState atomic.Pointer[engine.State]
	// engineWake wakes engineLoop, which then polls the engine without waiting for the
	// interval.
	engineWake chan struct{}

	// claimsMu guards claims.
	claimsMu sync.Mutex
	// claims is nil until the first claim.
	claims *claimer.Claims
}

// New starts a sidecar that listens on the link address of the daemon's identity.
func New(settings Settings, d Dependencies) (*Sidecar, error) {
	ctx, cancel := context.WithCancel(context.Background())
	answers := reserver.NewBudget(maxAnswerMemory, 0, d.Clock)
	s := &Sidecar{
		settings:     settings,
		common:       d.Common,
		store:        d.Store,
		clock:        d.Clock,
		logger:       d.Logger,
		attempts:     admitter.New(d.Clock, d.Common.Identity().Incarnation, admitter.Limits{MaxRecords: maxAttempts, Retention: attemptRetention}),
		jobs:         newJobTable(d.Clock),
		queue:        limiter.NewQueue(0, maxAttempts),
		engine:       engine.New(settings.BackendAddress),
		cacheIndex:   tracker.New(maxIndexedBlocks),
		prefills:     newPrefillTracker(d.Clock),
		plainService: plainservice.New(settings.BackendAddress, exchanger.Memory{Reserve: answers.ReserveAnswer, Release: answers.ReleaseAnswer}),
		cancel:       cancel,
		engineWake:   make(chan struct{}, 1),
	}
	server, err := link.NewServer(d.Common.Identity().LinkAddress, d.TLS, s.handle)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("start link: %w", err)
	}
	s.server = server
	s.publishMetrics()
	s.startLoop(func() { s.sweepLoop(ctx) })
	s.startLoop(func() { s.engineLoop(ctx) })
	s.startLoop(func() { s.rolloutLoop(ctx) })
	return s, nil
}

// startLoop runs loop in a goroutine for which Close waits.
func (s *Sidecar) startLoop(loop func()) {
	s.loops.Add(1)
	go func() {
		defer s.loops.Done()
		loop()
	}()
}

// Drain refuses new attempts, waits until everything in flight has ended, the grace
// period of the document has passed or ctx ends, and then closes the sidecar.
func (s *Sidecar) Drain(ctx context.Context) error {
	if document := s.document(); document != nil {
		graceCtx, cancel := context.WithTimeout(ctx, document.Value.Drain.Grace.Duration)
		defer cancel()
		ctx = graceCtx
	}
	s.attempts.Leave()
	s.logger.Info("sidecar: leaving", "running", s.attempts.Running())
	err := s.server.Wait(ctx)
	if err == nil {
		err = s.jobs.running.Wait(ctx)
	}
	if claims := s.currentClaims(); claims != nil {
		if flushErr := claims.Flush(ctx); err == nil {
			err = flushErr
		}
	}
	s.Close()
	if err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	return nil
}

// Close ends the sidecar at once and cancels all jobs.
func (s *Sidecar) Close() {
	s.cancel()
	s.server.Close()
	s.jobs.cancelAll()
	s.loops.Wait()
	if claims := s.currentClaims(); claims != nil {
		claims.Close()
	}
}

// Ready reports whether the sidecar has its service document, reaches its engine if the
// service is a model pool, and is not leaving.
func (s *Sidecar) Ready() bool {
	document := s.document()
	if document == nil || s.attempts.Leaving() {
		return false
	}
	return document.Value.Kind != decoder.ModelPool || s.engineState.Load() != nil
}

// document returns the newest known revision of the service document, or nil.
func (s *Sidecar) document() *spreader.ServiceRevision[*decoder.Document] {
	return s.common.RevisionTable().Snapshot().Get(s.settings.Service)
}

// handle answers the request of one exchange.
func (s *Sidecar) handle(ctx context.Context, request *link.Request, stream *link.Stream) {
	switch request.Kind {
	case link.Infer:
		s.infer(ctx, request, stream)
	case link.Call:
		s.call(ctx, request, stream)
	case link.Attach:
		s.attach(ctx, request, stream)
	case link.Sync:
		_ = stream.Send(s.common.AnswerSync(request))
	default:
		_ = stream.Send(s.refusalFrame(request, link.CodeBadRequest, "unknown kind of request", 0))
	}
}

// status returns the state that the sidecar reports with every reply.
func (s *Sidecar) status() *link.Status {
	waiting, running := s.queue.Len()
	status := &link.Status{
		Sidecar:            s.settings.BackendServer,
		SidecarIncarnation: s.attempts.Incarnation(),
		Leaving:            s.attempts.Leaving(),
		InFlight:           waiting + running,
		BacklogTokens:      s.queue.WaitingCost() + s.prefills.backlog(),
	}
	if document := s.document(); document != nil {
		status.Revision = document.Revision
	}
	if state := s.engineState.Load(); state != nil {
		status.EngineIncarnation = state.Incarnation
		if !state.Loading {
			status.WeightsVersion = state.WeightsVersion
		}
	}
	return status
}

// refusalFrame returns the frame that says that an attempt did not run and never will.
func (s *Sidecar) refusalFrame(request *link.Request, code link.Code, detail string, retryAfter time.Duration) *link.Frame {
	s.metrics.refused.Add(1)
	return &link.Frame{
		Kind:       link.Failure,
		RequestID:  request.RequestID,
		AttemptID:  request.AttemptID,
		Outcome:    admitter.NotRun,
		Code:       code,
		Detail:     detail,
		RetryAfter: retryAfter,
		Status:     s.status(),
	}
}

// sweepLoop removes ended jobs and cancels model requests without readers. It makes the
// sidecar refuse new attempts once the platform lists this host as leaving.
func (s *Sidecar) sweepLoop(ctx context.Context) {
	for {
		select {
		case <-s.clock.After(sweepInterval):
			s.jobs.sweep()
			if !s.attempts.Leaving() && s.common.IsLeaving(s.common.Identity().LinkAddress) {
				s.logger.Info("sidecar: the platform says that this host is leaving.")
				s.attempts.Leave()
			}
		case <-ctx.Done():
			return
		}
	}
}
