// Package entry is the daemon that callers talk to.
//
// An entry authenticates the caller, decides where a request goes, and relays
// the answer. It keeps nothing that it could not do without: a restarted entry
// asks its peers for the configuration and serves. What replicas have cached and
// how busy they are it observes in their replies. Package router decides; this package
// brings its attempts to sidecars.
package entry

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/daemon"
	"github.com/cyclamenward/cyclamenward/internal/metrics/recorder"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/limiter"
	"github.com/cyclamenward/cyclamenward/listener"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/cyclamenward/cyclamenward/registrar"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/valyala/fasthttp"
)

const (
	// maxRequestBody bounds the body of a caller's request.
	maxRequestBody = 4 << 20
	// headerLimit bounds the time in which a request must arrive.
	headerLimit = 10 * time.Second
	// callerIdle is how long an idle caller's connection is kept.
	callerIdle = 90 * time.Second
	// retryShare, retryExtra and retryWindow keep the retries of each service to a tenth
	// of its requests, and twenty more, in ten seconds.
	retryShare  = 0.1
	retryExtra  = 20
	retryWindow = 10 * time.Second
	// usualReadSpeed is the speed at which replicas read prompts if their document does
	// not say, in tokens a second.
	usualReadSpeed = 8000
	// runningCost is what each running request is taken to add to the wait for a first
	// token.
	runningCost = time.Millisecond
	// plainWork and plainSlots are the usual time of a plain call and the number of calls
	// that a plain server runs at once, until its wait is known better.
	plainWork  = 15 * time.Millisecond
	plainSlots = 6
)

// Settings are the fixed values of an entry.
type Settings struct {
	// CallerAddress is where callers connect.
	CallerAddress string
	// OperatorTokenHash is the SHA-256 of the operators' token; empty refuses all.
	OperatorTokenHash string
	// ShutdownDelay is how long a draining entry goes on serving after it has notified the
	// balancer that it is not ready.
	ShutdownDelay time.Duration
}

// Dependencies are what an entry works with.
type Dependencies struct {
	Common   *daemon.Common
	Register *registrar.Register
	TLS      *tls.Config
	Clock    timekeeper.Clock
	Logger   *log.Logger
}

// Entry is one daemon.
type Entry struct {
	settings Settings
	common   *daemon.Common
	register *registrar.Register
	clock    timekeeper.Clock
	logger   *log.Logger
	links    *link.Server
	listener *listener.Listener
	server   *fasthttp.Server
	pool     *router.Pool
	router   *router.Router
	recorder *recorder.Recorder
	inFlight *limiter.InFlight
	// incarnations holds the last known incarnation of the sidecar at each address.
	incarnations sync.Map
	metrics      metrics
	// served and pushed are closed when the goroutines have ended.
	served, pushed chan struct{}
	cancel         context.CancelFunc
	// draining tells callers to use another connection next time.
	draining atomic.Bool

	// catalog is the view of the configuration, replaced whole.
	catalog atomic.Pointer[catalog]
	// catalogMu is held while the catalog is replaced. It guards leaving, the ids of the
	// replicas that the router was last given as leaving.
	catalogMu sync.Mutex
	leaving   []string
}

// New starts an entry.
func New(settings Settings, d Dependencies) (*Entry, error) {
	e := &Entry{
		settings: settings,
		common:   d.Common,
		register: d.Register,
		clock:    d.Clock,
		logger:   d.Logger,
		pool:     router.NewPool(d.Clock),
		recorder: recorder.New(),
		inFlight: limiter.NewInFlight(),
		served:   make(chan struct{}),
		pushed:   make(chan struct{}),
	}
	e.catalog.Store(&catalog{})
	e.router = e.newRouter()
	links, err := link.NewServer(d.Common.Identity().LinkAddress, d.TLS, e.handleLink)
	if err != nil {
		return nil, fmt.Errorf("start link: %w", err)
	}
	e.links = links
	e.listener, err = listener.New(settings.CallerAddress, 2*maxRequestBody)
	if err != nil {
		links.Close()
		return nil, fmt.Errorf("caller address: %w", err)
	}
	e.server = &fasthttp.Server{
		Name:               "cyclamenward",
		Handler:            e.handle,
		MaxRequestBodySize: maxRequestBody,
		ReadTimeout:        headerLimit,
		IdleTimeout:        callerIdle,
		CloseOnShutdown:    true,
		Logger:             quiet{},
		ErrorHandler:       e.refuseUnreadable,
	}
	e.publishMetrics()
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go func() {
		defer close(e.served)
		_ = e.server.Serve(e.listener)
	}()
	go func() {
		defer close(e.pushed)
		e.pushLoop(ctx)
	}()
	go func() { e.leavingLoop(ctx) }()
	return e, nil
}

// newRouter returns a router for the replicas of the entry's pool.
func (e *Entry) newRouter() *router.Router {
	identity := e.common.Identity()
	return router.New(router.Options{
		Zone: identity.AvailabilityZone, Region: identity.Region, PrefillTokensPerSecond: usualReadSpeed, DelayPerRunningRequest: runningCost, PlainRequestTime: plainWork,
		RetryBudgetRatio: retryShare, RetryBudgetExtra: retryExtra, RetryBudgetWindow: retryWindow,
		// Old weights serve until their replicas have loaded the new ones.
		SupersededAt: func(string, int) (time.Time, bool) { return time.Time{}, false },
	}, e.pool, e.transport(), e.clock, e.logger, e.recorder)
}

// CallerAddr returns the address on which callers are served.
func (e *Entry) CallerAddr() net.Addr { return e.listener.Addr() }

// Ready reports whether the entry can serve: it knows a configuration and is not
// draining.
func (e *Entry) Ready() bool {
	return !e.draining.Load() && len(e.common.RevisionTable().Snapshot().Services()) > 0
}

// Drain goes on serving for the settle time, while Ready is false, and then ends
// once every request has ended or ctx ends.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	e.logger.Info("entry: draining.")
	e.cancel()
	<-e.pushed
	select {
	case <-e.clock.After(e.settings.ShutdownDelay):
	case <-ctx.Done():
	}
	err := e.server.ShutdownWithContext(ctx)
	if waitErr := e.links.Wait(ctx); err == nil {
		err = waitErr
	}
	e.links.Close()
	if stopErr := e.listener.Stop(context.WithoutCancel(ctx)); err == nil {
		err = stopErr
	}
	if err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	<-e.served
	return nil
}

// handleLink answers other daemons.
func (e *Entry) handleLink(_ context.Context, request *link.Request, stream *link.Stream) {
	if request.Kind == link.Sync {
		_ = stream.Send(e.common.AnswerSync(request))
		return
	}
	stream.Cancel()
}

// quiet drops the HTTP library's own messages, which name callers' addresses.
type quiet struct{}

func (quiet) Printf(string, ...any) {}
