// Package sidecar is the daemon beside one backend server.
//
// A sidecar shares the fate of its backend server and is the only authority on
// it: it admits attempts and can prove that one did not run, it sees the
// engine's incarnation, cache and load without a network between, it is the only
// giver of orders, and it refuses new work truthfully when it is leaving.
//
// Attempts outlive the connection that brought them. Each is a job that
// collects its answer; any connection may attach to it and read the answer from
// any index. An attempt ends early only if its entry cancels it on purpose or
// nobody has been attached for a while.
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
	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/cyclamenward/cyclamenward/limiter"
	"github.com/cyclamenward/cyclamenward/peer/engine"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/cyclamenward/cyclamenward/peer/plainservice"
	"github.com/cyclamenward/cyclamenward/spreader"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/cyclamenward/cyclamenward/tracker"

	"github.com/charmbracelet/log"
)

const (
	// maxAttempts bounds the attempts and tombstones held.
	maxAttempts = 200_000
	// keepAttempts is how long an ended attempt is known.
	keepAttempts = 10 * time.Minute
	// keepAnswer is how long the answer of an ended attempt can be read again.
	keepAnswer = 15 * time.Second
	// attachWindow is how long an attempt goes on with nobody attached.
	attachWindow = 10 * time.Second
	// maxBlocks bounds the index of the engine's cache.
	maxBlocks = 1 << 20
	// sweepPeriod is how often ended jobs are looked through.
	sweepPeriod = time.Second
)

// Settings are the fixed values of a sidecar.
type Settings struct {
	// Service is the service that the backend server belongs to.
	Service string
	// BackendServer is the name of the backend server in the document.
	BackendServer string
	// BackendAddress is the IP address and TCP port of the backend server.
	BackendAddress string
}

// Dependencies are what a sidecar works with.
type Dependencies struct {
	Common *daemon.Common
	Store  keeper.Store
	TLS    *tls.Config
	Clock  timekeeper.Clock
	Logger *log.Logger
}

// Sidecar is one daemon.
type Sidecar struct {
	settings   Settings
	common     *daemon.Common
	store      keeper.Store
	clock      timekeeper.Clock
	logger     *log.Logger
	server     *link.Server
	table      *admitter.Table
	jobs       *jobs
	queue      *limiter.Queue
	engine     *engine.Client
	cacheIndex *tracker.Index
	prefills   *prefills
	plain      *plainservice.Client
	cancel     context.CancelFunc
	done       sync.WaitGroup
	metrics    metrics

	// state is the engine's last report, nil while it is not reached.
	state atomic.Pointer[engine.State]
	// refresh wakes the loop that watches the engine.
	refresh chan struct{}

	// claimsMu guards claims.
	claimsMu sync.Mutex
	// claims is made at the first claim, nil before.
	claims *claimer.Claims
}

// New starts a sidecar that listens on the identity's link address.
func New(settings Settings, d Dependencies) (*Sidecar, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Sidecar{
		settings:   settings,
		common:     d.Common,
		store:      d.Store,
		clock:      d.Clock,
		logger:     d.Logger,
		table:      admitter.New(d.Clock, d.Common.Identity().Incarnation, admitter.Limits{Records: maxAttempts, Keep: keepAttempts}),
		jobs:       newJobs(d.Clock),
		queue:      limiter.NewQueue(0, maxAttempts),
		engine:     engine.New(settings.BackendAddress),
		cacheIndex: tracker.New(maxBlocks),
		prefills:   newPrefills(d.Clock),
		plain:      plainservice.New(settings.BackendAddress),
		cancel:     cancel,
		refresh:    make(chan struct{}, 1),
	}
	server, err := link.NewServer(d.Common.Identity().LinkAddress, d.TLS, s.handle)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("start link: %w", err)
	}
	s.server = server
	s.publishMetrics()
	s.start(func() { s.sweepLoop(ctx) })
	s.start(func() { s.engineLoop(ctx) })
	s.start(func() { s.rolloutLoop(ctx) })
	return s, nil
}

func (s *Sidecar) start(loop func()) {
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		loop()
	}()
}

// Drain refuses new work, waits until everything in flight has ended, the
// document's grace has passed or ctx ends, and then closes the sidecar.
func (s *Sidecar) Drain(ctx context.Context) error {
	if document := s.document(); document != nil {
		limited, cancel := context.WithTimeout(ctx, document.Value.Drain.Grace.Duration)
		defer cancel()
		ctx = limited
	}
	s.table.Leave()
	s.logger.Info("sidecar: leaving", "running", s.table.Running())
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

// Close ends the sidecar at once.
func (s *Sidecar) Close() {
	s.cancel()
	s.server.Close()
	s.jobs.cancelAll()
	s.done.Wait()
	if claims := s.currentClaims(); claims != nil {
		claims.Close()
	}
}

// Ready reports whether the sidecar knows its service, has reached its engine and
// takes work.
func (s *Sidecar) Ready() bool {
	document := s.document()
	if document == nil || s.table.Leaving() {
		return false
	}
	return document.Value.Kind != decoder.ModelPool || s.state.Load() != nil
}

func (s *Sidecar) document() *spreader.ServiceRevision[*decoder.Document] {
	return s.common.RevisionTable().Snapshot().Get(s.settings.Service)
}

// handle answers one exchange.
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
		_ = stream.Send(s.refusal(request, link.CodeBadRequest, "unknown kind of request", 0))
	}
}

// status is what the sidecar says about itself with every reply.
func (s *Sidecar) status() *link.Status {
	waiting, running := s.queue.Len()
	status := &link.Status{
		Sidecar:            s.settings.BackendServer,
		SidecarIncarnation: s.table.Incarnation(),
		Leaving:            s.table.Leaving(),
		InFlight:           waiting + running,
		BacklogTokens:      s.queue.Cost() + s.prefills.tokens(),
	}
	if document := s.document(); document != nil {
		status.Revision = document.Revision
	}
	if state := s.state.Load(); state != nil {
		status.EngineIncarnation = state.Incarnation
		if !state.Loading {
			status.WeightsVersion = state.WeightsVersion
		}
	}
	return status
}

// refusal makes the frame that says that an attempt did not run and never will.
func (s *Sidecar) refusal(request *link.Request, code link.Code, detail string, retryAfter time.Duration) *link.Frame {
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

// sweepLoop drops ended jobs, cancels abandoned ones, and notices when the
// platform says that this host is leaving.
func (s *Sidecar) sweepLoop(ctx context.Context) {
	for {
		select {
		case <-s.clock.After(sweepPeriod):
			s.jobs.sweep()
			if !s.table.Leaving() && s.common.IsLeaving(s.common.Identity().LinkAddress) {
				s.logger.Info("sidecar: the platform says that this host is leaving.")
				s.table.Leave()
			}
		case <-ctx.Done():
			return
		}
	}
}
