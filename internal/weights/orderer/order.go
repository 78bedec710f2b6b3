// Package orderer makes one replica load the newest version of its weights. It runs
// in the sidecar beside the replica, and only that sidecar sends it load orders.
//
// Replicas load in turn without coordination messages: all sidecars derive the same
// queue from the list of replicas. Each waits for its predecessors in the queue, and
// proceeds without them after a timeout.
package orderer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/joomcode/errorx"
)

// ErrStaleFencingToken means that the replica refused an order because it has seen a
// newer fencing token.
var ErrStaleFencingToken = errorx.NewNamespace("orderer").NewType("superseded").New("a newer fence was used")

const (
	// The replica is polled every defaultIdlePollInterval while it serves or does not
	// answer, and every activePollInterval while it prepares or loads.
	defaultIdlePollInterval = 200 * time.Millisecond
	activePollInterval      = 40 * time.Millisecond
	// prepareTimeout bounds the time in which long requests may finish before the
	// order is sent. Once it is sent, it delays all other requests, and most of these
	// have only a second. While preparing, the replica still gets short requests.
	prepareTimeout = 1400 * time.Millisecond
	// negligibleRunning is the number of running requests up to which the order is
	// not postponed: so few delay the load only briefly.
	negligibleRunning = 2
	// minPrepareInterval is how long entries need to stop sending long requests once
	// the replica is reported as preparing.
	minPrepareInterval = 100 * time.Millisecond
	// stopSendingInterval is how long entries need to stop sending all requests once
	// the replica is reported as loading: the one-way delay between regions and a
	// margin. Then no request arrives after the order.
	stopSendingInterval = 60 * time.Millisecond
	// orderTimeout bounds the call that sends an order. It is short because the
	// replica is on the same host.
	orderTimeout = 100 * time.Millisecond
	// orderRetryInterval is the time after which an order without effect is sent
	// again. Reports are current, so an accepted order shows in the next one.
	orderRetryInterval = 250 * time.Millisecond
	// unreachableAfter is the number of consecutive failed reports after which the
	// replica counts as unreachable.
	unreachableAfter = 2
	// reportTimeout bounds the call for a report. It is short because the replica is
	// on the same host.
	reportTimeout = 300 * time.Millisecond
)

// Report is the replica's own description of its state.
type Report struct {
	// WeightsVersions maps each model to its weights version.
	WeightsVersions map[string]int
	// Loading is set while an order is carried out.
	Loading bool
	// Sequence counts the orders that the replica has accepted.
	Sequence int
	// StartUnixMilli is when the replica started, in Unix milliseconds. It
	// distinguishes incarnations with the same ID.
	StartUnixMilli int64
	// Running and Queued count requests; MemoryUsed is the memory that cannot be
	// freed, in tokens.
	Running, Queued, MemoryUsed int
}

// LoadOrder tells the replica to load a version of a model's weights.
type LoadOrder struct {
	Model   string
	Version int
	// FencingToken must not be lower than that of any earlier order; the replica
	// refuses the order otherwise.
	FencingToken uint64
	// Sequence must equal the replica's Report.Sequence, so that an order that
	// arrives late has no effect.
	Sequence int
}

// ReplicaClient holds the calls to the replica.
type ReplicaClient struct {
	Report    func(ctx context.Context) (Report, error)
	SendOrder func(ctx context.Context, order LoadOrder) error
}

// WantedVersion is the newest version of a model's weights.
type WantedVersion struct {
	Model   string
	Version int
	// Revision is the store's revision as of which it is wanted. It never decreases.
	Revision uint64
}

// Decision says whether the replica may load new weights now.
type Decision int

// The possible decisions.
const (
	// Wait means that other replicas load first.
	Wait Decision = iota
	// Prepare means that the replica may load soon: its predecessor is loading.
	Prepare
	// Load means that the replica may load now.
	Load
	// Urgent means that the replica must load now, even with a backlog: requests may
	// not use its old weights for much longer.
	Urgent
)

// Dependencies are the functions and services that an orderer uses.
type Dependencies struct {
	Replica ReplicaClient
	// WantedVersions returns the newest version of each model.
	WantedVersions func() []WantedVersion
	// Token returns the fencing token for orders of a wanted version, and whether this
	// daemon may send orders now. foreign is set if the replica has accepted orders of
	// other daemons since it started.
	Token func(wanted WantedVersion, foreign bool) (uint64, bool)
	// Informed reports whether WantedVersions can be relied on. Until then, no order is
	// sent.
	Informed func() bool
	// Decide returns whether the replica, whose weights have version current, may
	// load the wanted version.
	Decide func(wanted WantedVersion, current int) Decision
	// HasBacklog reports whether requests wait for the replica. If so, a replica that
	// may load but has not begun to prepare waits until the load is urgent, because it
	// serves no requests during a load and loses its cache.
	HasBacklog func() bool
	// StatusChanged is called when Status has changed and should be reported to
	// other daemons at once.
	StatusChanged func()
	// IdlePollInterval is the interval between reports while the replica serves, 0 for
	// the usual one.
	IdlePollInterval time.Duration
	Clock            timekeeper.Clock
	Logger           *log.Logger
}

// Orderer polls one replica and sends it load orders, until it is closed.
type Orderer struct {
	deps   Dependencies
	cancel context.CancelFunc
	done   chan struct{}

	// mu guards status, known and phaseSince.
	mu sync.Mutex
	// status is what is reported to other daemons; phaseSince is when its phase
	// began.
	status     router.State
	phaseSince time.Time
	// known is set once status is of a poll.
	known bool

	// The fields below are used by the polling goroutine only.

	// phase equals status.Phase, without the lock.
	phase router.Phase
	// failedReports counts the failed reports since the last successful one.
	failedReports int
	// report is the last successful report.
	report Report
	// prepareStartedAt is when preparing began, loadAnnouncedAt when the phase became
	// loading, so that entries stop sending requests, and lastOrderAt when lastOrder
	// was sent. They are zero before.
	prepareStartedAt, loadAnnouncedAt, lastOrderAt time.Time
	lastOrder                                      LoadOrder
	// ordersSent counts the orders that were sent since the replica started. It has
	// accepted no more of them; others come from other daemons.
	ordersSent int
	// refusedToken is the highest fencing token that the replica has refused, 0 if
	// none. No order is sent with it or a lower one.
	refusedToken uint64
}

// New starts an orderer. It reports the replica as unreachable until the first report.
func New(deps Dependencies) *Orderer {
	if deps.IdlePollInterval <= 0 {
		deps.IdlePollInterval = defaultIdlePollInterval
	}
	ctx, cancel := context.WithCancel(context.Background())
	o := &Orderer{deps: deps, cancel: cancel, done: make(chan struct{}), phase: router.Unreachable, status: router.State{Phase: router.Unreachable}, phaseSince: deps.Clock.Now()}
	go func() {
		defer close(o.done)
		for ctx.Err() == nil {
			interval := o.poll(ctx)
			select {
			case <-ctx.Done():
			case <-deps.Clock.After(interval):
			}
		}
	}()
	return o
}

// Close stops the orderer. The replica still carries out an order that was sent.
func (o *Orderer) Close() {
	o.cancel()
	<-o.done
}

// Known reports whether the replica has answered, or has not often enough to be unreachable. Before,
// Status says nothing of it.
func (o *Orderer) Known() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.known
}

// Status returns the replica's state as of the last poll.
func (o *Orderer) Status() router.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.status
	state.PhaseAge = o.deps.Clock.Now().Sub(o.phaseSince)
	return state
}

// poll gets a report from the replica, acts on it and returns the time until the next
// poll.
func (o *Orderer) poll(ctx context.Context) time.Duration {
	reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	report, err := o.deps.Replica.Report(reportCtx)
	cancel()
	if err != nil {
		o.failedReports++
		if o.failedReports >= unreachableAfter {
			o.setPhase(router.Unreachable, "err", err)
		}
		return o.deps.IdlePollInterval
	}
	o.failedReports = 0
	if report.StartUnixMilli != o.report.StartUnixMilli {
		// A restarted replica has forgotten its orders.
		o.lastOrderAt, o.prepareStartedAt, o.loadAnnouncedAt, o.refusedToken = time.Time{}, time.Time{}, time.Time{}, 0
		o.ordersSent = 0
	}
	o.report = report
	wanted, outdated := o.firstOutdated()
	if !outdated && o.foreignOrders() {
		// A ticket that may be needed for the next order is taken before.
		o.deps.Token(WantedVersion{}, true)
	}
	switch {
	case !outdated && report.Loading:
		o.setPhase(router.Loading)
	case !outdated:
		o.prepareStartedAt, o.loadAnnouncedAt, o.lastOrderAt = time.Time{}, time.Time{}, time.Time{}
		o.setPhase(router.Serving)
	default:
		o.advance(ctx, wanted)
	}
	if o.phase == router.Serving {
		return o.deps.IdlePollInterval
	}
	return activePollInterval
}

// foreignOrders reports whether the replica has accepted orders of other daemons since it
// started.
func (o *Orderer) foreignOrders() bool { return o.report.Sequence > o.ordersSent }

// firstOutdated returns the wanted version of the first model of which the replica
// has older weights. The second result is false if there is none.
func (o *Orderer) firstOutdated() (WantedVersion, bool) {
	if !o.deps.Informed() {
		return WantedVersion{}, false
	}
	for _, wanted := range o.deps.WantedVersions() {
		if version, found := o.report.WeightsVersions[wanted.Model]; found && version < wanted.Version {
			return wanted, true
		}
	}
	return WantedVersion{}, false
}

// advance takes the next step towards the wanted weights, one per poll: it sets the
// phase to preparing, then to loading, and then sends the order.
func (o *Orderer) advance(ctx context.Context, wanted WantedVersion) {
	now := o.deps.Clock.Now()
	if o.report.Loading {
		o.setPhase(router.Loading)
		return
	}
	if !o.lastOrderAt.IsZero() && now.Sub(o.lastOrderAt) < orderRetryInterval && o.lastOrder.Sequence == o.report.Sequence {
		return
	}
	token, mayOrder := o.deps.Token(wanted, o.foreignOrders())
	decision := o.deps.Decide(wanted, o.report.WeightsVersions[wanted.Model])
	switch {
	case !mayOrder || decision == Wait || decision == Load && o.prepareStartedAt.IsZero() && o.deps.HasBacklog():
		o.prepareStartedAt, o.loadAnnouncedAt = time.Time{}, time.Time{}
		o.setPhase(router.Serving)
	case o.prepareStartedAt.IsZero():
		o.prepareStartedAt = now
		o.setPhase(router.Preparing, "model", wanted.Model, "version", wanted.Version)
	case decision == Prepare || token <= o.refusedToken || o.loadAnnouncedAt.IsZero() && !o.prepared(now):
		o.loadAnnouncedAt = time.Time{}
		o.setPhase(router.Preparing)
	case o.loadAnnouncedAt.IsZero():
		o.loadAnnouncedAt = now
		o.setPhase(router.Loading, "model", wanted.Model, "version", wanted.Version)
	case now.Sub(o.loadAnnouncedAt) >= stopSendingInterval:
		o.sendOrder(ctx, wanted, token)
	}
}

// prepared reports whether preparing is over: prepareTimeout has passed, or
// minPrepareInterval has and the running requests are too few to delay the load for
// long.
func (o *Orderer) prepared(now time.Time) bool {
	elapsed := now.Sub(o.prepareStartedAt)
	return elapsed >= prepareTimeout || elapsed >= minPrepareInterval && o.report.Running <= negligibleRunning
}

// sendOrder sends the order to load the wanted version. An error is only logged:
// advance sends the order again if it had no effect.
func (o *Orderer) sendOrder(ctx context.Context, wanted WantedVersion, token uint64) {
	o.lastOrder = LoadOrder{Model: wanted.Model, Version: wanted.Version, FencingToken: token, Sequence: o.report.Sequence}
	o.ordersSent++
	o.lastOrderAt = o.deps.Clock.Now()
	orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := o.deps.Replica.SendOrder(orderCtx, o.lastOrder)
	o.deps.Logger.Info("weights: load order sent.", "model", wanted.Model, "version", wanted.Version, "fence", token, "sequence", o.lastOrder.Sequence, "running", o.report.Running, "queued", o.report.Queued, "err", err)
	if errors.Is(err, ErrStaleFencingToken) {
		o.refusedToken = token
	}
	o.setPhase(router.Loading)
}

// setPhase sets the phase, updates the status from the last report and, if the phase
// is new, has the status reported at once. The fields are added to the log line.
func (o *Orderer) setPhase(phase router.Phase, fields ...any) {
	if phase != o.phase {
		o.deps.Logger.Info("weights: phase changed.", append([]any{"phase", phase.String(), "weights", o.report.WeightsVersions}, fields...)...)
	}
	o.mu.Lock()
	if phase != o.phase {
		o.phaseSince = o.deps.Clock.Now()
	}
	o.known = true
	o.status = router.State{
		Phase:           phase,
		StartUnixMilli:  o.report.StartUnixMilli,
		WeightsVersions: o.report.WeightsVersions,
		Running:         o.report.Running,
		Queued:          o.report.Queued,
		MemoryUsed:      o.report.MemoryUsed,
	}
	o.mu.Unlock()
	if phase != o.phase {
		o.phase = phase
		o.deps.StatusChanged()
	}
}
