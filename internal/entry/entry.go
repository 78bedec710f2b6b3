// Package entry is the daemon that callers connect to.
//
// An entry authenticates the caller, chooses a backend server, and relays the answer.
// It has no persistent state: a restarted entry fetches the configuration from its
// peers and starts to serve. Replies tell it what replicas have cached and how loaded they
// are. Package router makes the decisions; this package sends its attempts to sidecars.
package entry

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/daemon"
	"github.com/cyclamenward/cyclamenward/internal/gateway/reserver"
	"github.com/cyclamenward/cyclamenward/internal/gateway/stopper"
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
	// maxRequestBody bounds the body of a caller's request, in bytes.
	maxRequestBody = 4 << 20
	// maxMessageBytes bounds the memory of the bodies of all requests and of the answers together,
	// maxBodyBytes that of the bodies. A model request takes some three times its body while it is
	// parsed.
	maxMessageBytes = 24 << 20
	maxBodyBytes    = 16 << 20
	// bodyRetryAfter is when a caller may come back whose body found no room.
	bodyRetryAfter = time.Second
	// closedRetryAfter is when a caller may come back whose connection is closed in a planned stop.
	closedRetryAfter = time.Second
	// fullRetryAfter is when a caller may come back whose connection finds no room: others are closed as
	// requests end.
	fullRetryAfter = time.Second
	// requestReadTimeout bounds the time in which a whole request must arrive.
	requestReadTimeout = 10 * time.Second
	// callerIdleTimeout is how long a caller's connection is kept open between requests.
	callerIdleTimeout = 90 * time.Second
	// Within retryBudgetWindow, an entry's retries of each service are limited to a tenth of its
	// requests (retryBudgetRatio) plus twenty (retryBudgetExtra). Nothing bounds those of all
	// entries together, so that one that starts has all of its budget.
	retryBudgetRatio  = 0.1
	retryBudgetExtra  = 20
	retryBudgetWindow = 10 * time.Second
	// defaultPrefillRate is the prefill speed of replicas, in tokens per second, if the
	// service document does not set it.
	defaultPrefillRate = 8000
	// delayPerRunningRequest is the assumed increase of the time to first token for each
	// running request.
	delayPerRunningRequest = time.Millisecond
	// callerStallTimeout is how long a caller for whom others wait may take nothing of its answer.
	callerStallTimeout = 5 * time.Second
	// plainRequestTime and plainSlots are the assumed duration of a plain call and the
	// assumed number of calls that a plain server runs at once. The router estimates the
	// wait at a plain server from them and from the number of requests there.
	plainRequestTime = 15 * time.Millisecond
	plainSlots       = 6
)

// Settings are the settings of an entry, which stay fixed while it runs.
type Settings struct {
	// CallerAddress is the TCP address on which callers connect.
	CallerAddress string
	// OperatorTokenHash is the SHA-256 of the operators' token; if empty, all operator
	// requests are refused.
	OperatorTokenHash string
	// ShutdownDelay is how long a draining entry keeps serving after Ready turns false, so
	// that the load balancer detects that first.
	ShutdownDelay time.Duration
	// Connections bounds the open connections of callers, 0 for no such bound.
	Connections int
	// OutboundBytes bounds what all callers together have not taken yet of their answers, 0 for no such
	// bound.
	OutboundBytes int
	// PacedServices names the services whose replicas are paced after a start or recovery;
	// AllServices stands for all.
	PacedServices []string
}

// AllServices stands for all services in Settings.PacedServices.
const AllServices = "*"

// pacesStarts implements router.Options.PacedStarts.
func (s Settings) pacesStarts(service string) bool {
	return slices.Contains(s.PacedServices, service) || slices.Contains(s.PacedServices, AllServices)
}

// Dependencies are the components that an entry uses. TLS is the server configuration
// for links from other daemons.
type Dependencies struct {
	Common   *daemon.Common
	Register *registrar.Register
	TLS      *tls.Config
	Clock    timekeeper.Clock
	Logger   *log.Logger
}

// Entry is the entry daemon: it serves callers, operators and other daemons.
type Entry struct {
	settings       Settings
	common         *daemon.Common
	register       *registrar.Register
	clock          timekeeper.Clock
	logger         *log.Logger
	linkServer     *link.Server
	callerListener *listener.Listener
	callerServer   *fasthttp.Server
	pool           *router.Pool
	router         *router.Router
	recorder       *recorder.Recorder
	inFlight       *limiter.InFlight
	// memory is what requests and answers take together, bodies reserves that of requests.
	memory  *reserver.Budget
	bodies  *reserver.Reserver
	stopper *stopper.Stopper
	// incarnations maps the address of a sidecar to its last known incarnation.
	incarnations sync.Map
	metrics      metrics
	// serverDone is closed when callerServer has stopped, pushDone when pushLoop has ended.
	serverDone, pushDone chan struct{}
	cancel               context.CancelFunc

	// catalog is the current catalog. It is replaced as a whole.
	catalog atomic.Pointer[catalog]
	// catalogMu is held while the catalog is replaced. It guards leavingReplicas, the sorted
	// IDs of the replicas that were leaving when setReplicas last updated the pool.
	catalogMu       sync.Mutex
	leavingReplicas []string
}

// New starts an entry, which serves until Drain is called.
func New(settings Settings, d Dependencies) (*Entry, error) {
	e := &Entry{
		settings:   settings,
		common:     d.Common,
		register:   d.Register,
		clock:      d.Clock,
		logger:     d.Logger,
		pool:       router.NewPool(d.Clock),
		recorder:   recorder.New(),
		inFlight:   limiter.NewInFlight(),
		memory:     reserver.NewBudget(maxMessageBytes, maxBodyBytes, d.Clock),
		serverDone: make(chan struct{}),
		pushDone:   make(chan struct{}),
	}
	e.bodies = reserver.New(e.memory, d.Clock)
	e.catalog.Store(&catalog{})
	e.router = e.newRouter()
	linkServer, err := link.NewServer(d.Common.Identity().LinkAddress, d.TLS, e.handleLink)
	if err != nil {
		return nil, fmt.Errorf("start link: %w", err)
	}
	e.linkServer = linkServer
	// The limit for bytes not yet read must exceed the largest request with its head.
	e.callerListener, err = listener.New(settings.CallerAddress, 2*maxRequestBody)
	if err != nil {
		linkServer.Close()
		return nil, fmt.Errorf("caller address: %w", err)
	}
	e.callerListener.OnAcceptFailed(func(err error) { d.Logger.Error("entry: cannot accept connections.", "err", err) })
	if settings.Connections > 0 {
		e.callerListener.LimitConnections(listener.ConnectionLimit{
			Connections: settings.Connections, Refusal: stopper.Refusal(fullRetryAfter),
			OnEvicted: func() { e.recorder.Count("callers.evicted") }, OnRefused: func() { e.recorder.Count("callers.refused") },
		})
	}
	if settings.OutboundBytes > 0 {
		e.callerListener.LimitOutbound(listener.OutboundLimit{Bytes: settings.OutboundBytes, StallTimeout: callerStallTimeout, OnStalled: func() { e.recorder.Count("callers.stalled") }})
	}
	e.callerServer = &fasthttp.Server{
		Name:               "cyclamenward",
		Handler:            e.handleCaller,
		HeaderReceived:     e.admitBody,
		MaxRequestBodySize: maxRequestBody,
		ReadTimeout:        requestReadTimeout,
		IdleTimeout:        callerIdleTimeout,
		CloseOnShutdown:    true,
		// A form that is parsed here would be written anew, and differently, for the service.
		DisablePreParseMultipartForm: true,
		Logger:                       discardLogger{},
		ErrorHandler:                 e.refuseUnreadable,
	}
	e.stopper = stopper.New(e.callerServer, e.callerListener, closedRetryAfter, e.router.Stop, d.Clock)
	e.publishMetrics()
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go func() {
		defer close(e.serverDone)
		_ = e.callerServer.Serve(e.callerListener)
	}()
	go func() {
		defer close(e.pushDone)
		e.pushLoop(ctx)
	}()
	go func() { e.pollLeavingLoop(ctx) }()
	return e, nil
}

// newRouter returns a router over the entry's replica pool.
func (e *Entry) newRouter() *router.Router {
	identity := e.common.Identity()
	return router.New(router.Options{
		Zone: identity.AvailabilityZone, Region: identity.Region, PrefillTokensPerSecond: defaultPrefillRate, DelayPerRunningRequest: delayPerRunningRequest, PlainRequestTime: plainRequestTime,
		RetryBudget: limiter.BudgetLimits{Ratio: retryBudgetRatio, Extra: retryBudgetExtra, Window: retryBudgetWindow},
		// Replicas with old weights serve until they have loaded the new ones.
		SupersededAt: func(string, int) (time.Time, bool) { return time.Time{}, false },
		PacedStarts:  e.settings.pacesStarts,
	}, e.pool, e.transport(), e.clock, e.logger, e.recorder)
}

// CallerAddr returns the address on which callers connect.
func (e *Entry) CallerAddr() net.Addr { return e.callerListener.Addr() }

// Ready reports whether the entry can serve: it has a configuration, accepts connections and is not
// draining.
func (e *Entry) Ready() bool {
	return !e.stopper.Stopping() && e.callerListener.Accepting() && len(e.common.RevisionTable().Snapshot().Services()) > 0
}

// Drain keeps serving for the shutdown delay, and then for as long as requests run or arrive,
// while Ready is false. It returns once all requests have ended or ctx is done. What cannot end
// before the deadline of ctx is refused.
func (e *Entry) Drain(ctx context.Context) error {
	e.logger.Info("entry: draining.")
	e.cancel()
	err := e.stopper.Stop(ctx, e.settings.ShutdownDelay)
	<-e.pushDone
	if waitErr := e.linkServer.Wait(ctx); err == nil {
		err = waitErr
	}
	e.linkServer.Close()
	if err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	<-e.serverDone
	return nil
}

// handleLink answers sync requests of other daemons and cancels all others.
func (e *Entry) handleLink(_ context.Context, request *link.Request, stream *link.Stream) {
	if request.Kind == link.Sync {
		_ = stream.Send(e.common.AnswerSync(request))
		return
	}
	stream.Cancel()
}

// discardLogger drops the log messages of the HTTP library, since they contain callers'
// addresses.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
