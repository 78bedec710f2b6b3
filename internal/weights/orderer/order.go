// Package orderer brings one replica to the newest weights. It runs in the sidecar
// beside the replica, which alone gives it orders.
//
// Replicas take turns without coordination messages: all sidecars derive the same
// order from the list of replicas. Each waits for its predecessor in the order, and
// proceeds without it after a timeout.
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

// ErrStaleFencingToken means that the replica refused an order for a newer fence.
var ErrStaleFencingToken = errorx.NewNamespace("orderer").NewType("superseded").New("a newer fence was used")

const (
	// idlePeriod and activePeriod are the times between two looks at the replica.
	idlePeriod   = 200 * time.Millisecond
	activePeriod = 40 * time.Millisecond
	// prepareMost is how long long requests get at most to end before the order,
	// which holds up all others; most have a second. Short ones go on being taken.
	prepareMost = 1400 * time.Millisecond
	// prepareRunning is how many running requests hold an order up for so short a
	// time that they need not be waited for.
	prepareRunning = 2
	// prepareLeast is how long entries need to stop sending long requests.
	prepareLeast = 100 * time.Millisecond
	// closeTime is how long entries need to stop sending, so that no request meets
	// the order: a way between regions and some more.
	closeTime = 60 * time.Millisecond
	// giveLimit bounds an order; the replica is on the same host.
	giveLimit = 100 * time.Millisecond
	// orderAgain is when an order without effect is given again. Reports are fresh,
	// so an accepted one shows at once.
	orderAgain = 250 * time.Millisecond
	// missedReports is how many looks must fail before the replica counts as
	// unreachable.
	missedReports = 2
	// callLimit bounds a call to the replica, which is on the same host.
	callLimit = 300 * time.Millisecond
)

// Report is what a replica says of itself.
type Report struct {
	WeightsVersions map[string]int
	// Loading is set while an order is carried out.
	Loading bool
	// Sequence counts the accepted orders.
	Sequence int
	// StartUnixMilli distinguishes incarnations, in Unix milliseconds.
	StartUnixMilli              int64
	Running, Queued, MemoryUsed int
}

// LoadOrder asks for a version of a model.
type LoadOrder struct {
	Model   string
	Version int
	// FencingToken is not lower than that of any earlier order.
	FencingToken uint64
	// Sequence is what the replica must have reported, so that an order that
	// arrives late has no effect.
	Sequence int
}

// ReplicaClient is the seam to the replica.
type ReplicaClient struct {
	Report    func(ctx context.Context) (Report, error)
	SendOrder func(ctx context.Context, order LoadOrder) error
}

// WantedVersion is the newest version of a model.
type WantedVersion struct {
	Model        string
	Version      int
	FencingToken uint64
}

// Decision is whether the replica may load.
type Decision int

// The turns of a replica.
const (
	// Wait means that others go first.
	Wait Decision = iota
	// Prepare means that the turn comes soon.
	Prepare
	// Load means that the turn has come.
	Load
	// Urgent means that the replica's weights are near the end of their time.
	Urgent
)

// Dependencies are what an orderer works with.
type Dependencies struct {
	Replica ReplicaClient
	// WantedVersions returns the newest version of each model.
	WantedVersions func() []WantedVersion
	// Decide decides whether the replica, which has the current version, may load.
	Decide func(wanted WantedVersion, current int) Decision
	// HasBacklog reports whether requests wait for the replica. It keeps its weights then,
	// until that is urgent: a load takes it away and empties its cache.
	HasBacklog func() bool
	// StatusChanged is called when Status has something new to say at once.
	StatusChanged func()
	Clock         timekeeper.Clock
	Logger        *log.Logger
}

// Orderer runs until it is closed.
type Orderer struct {
	d      Dependencies
	cancel context.CancelFunc
	done   chan struct{}

	// mu guards status and entered.
	mu sync.Mutex
	// status is what is reported to others, entered when its phase began.
	status  router.State
	entered time.Time

	// The fields below are used by the goroutine only.
	phase  router.Phase
	missed int
	report Report
	// preparedAt is when preparing began, closedAt when entries were notified to stop
	// sending, orderedAt when the last order left; zero before.
	preparedAt, closedAt, orderedAt time.Time
	ordered                         LoadOrder
	// refused is the highest fence that the replica has refused.
	refused uint64
}

// New starts an orderer.
func New(d Dependencies) *Orderer {
	ctx, cancel := context.WithCancel(context.Background())
	o := &Orderer{d: d, cancel: cancel, done: make(chan struct{}), phase: router.Unreachable, status: router.State{Phase: router.Unreachable}, entered: d.Clock.Now()}
	go func() {
		defer close(o.done)
		for ctx.Err() == nil {
			period := o.step(ctx)
			select {
			case <-ctx.Done():
			case <-d.Clock.After(period):
			}
		}
	}()
	return o
}

// Close ends the orderer. An order that was given is carried out all the same.
func (o *Orderer) Close() {
	o.cancel()
	<-o.done
}

// Status returns what the replica is doing.
func (o *Orderer) Status() router.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.status
	state.PhaseAge = o.d.Clock.Now().Sub(o.entered)
	return state
}

// step looks at the replica once and returns the time until the next look.
func (o *Orderer) step(ctx context.Context) time.Duration {
	call, cancel := context.WithTimeout(ctx, callLimit)
	report, err := o.d.Replica.Report(call)
	cancel()
	if err != nil {
		o.missed++
		if o.missed >= missedReports {
			o.setPhase(router.Unreachable, "err", err)
		}
		return idlePeriod
	}
	o.missed = 0
	if report.StartUnixMilli != o.report.StartUnixMilli {
		// A restarted replica has forgotten its orders.
		o.orderedAt, o.preparedAt, o.closedAt, o.refused = time.Time{}, time.Time{}, time.Time{}, 0
	}
	o.report = report
	wanted, behind := o.outdated()
	switch {
	case !behind && report.Loading:
		o.setPhase(router.Loading)
	case !behind:
		o.preparedAt, o.closedAt, o.orderedAt = time.Time{}, time.Time{}, time.Time{}
		o.setPhase(router.Serving)
	default:
		o.advance(ctx, wanted)
	}
	if o.phase == router.Serving {
		return idlePeriod
	}
	return activePeriod
}

// outdated returns the first model whose weights are older than wanted.
func (o *Orderer) outdated() (WantedVersion, bool) {
	for _, wanted := range o.d.WantedVersions() {
		if version, found := o.report.WeightsVersions[wanted.Model]; found && version < wanted.Version {
			return wanted, true
		}
	}
	return WantedVersion{}, false
}

// advance takes the next step towards the wanted weights.
func (o *Orderer) advance(ctx context.Context, wanted WantedVersion) {
	now := o.d.Clock.Now()
	if o.report.Loading {
		o.setPhase(router.Loading)
		return
	}
	if !o.orderedAt.IsZero() && now.Sub(o.orderedAt) < orderAgain && o.ordered.Sequence == o.report.Sequence {
		return
	}
	turn := o.d.Decide(wanted, o.report.WeightsVersions[wanted.Model])
	switch {
	case turn == Wait || turn == Load && o.preparedAt.IsZero() && o.d.HasBacklog():
		o.preparedAt, o.closedAt = time.Time{}, time.Time{}
		o.setPhase(router.Serving)
	case o.preparedAt.IsZero():
		o.preparedAt = now
		o.setPhase(router.Preparing, "model", wanted.Model, "version", wanted.Version)
	case turn == Prepare || wanted.FencingToken <= o.refused || o.closedAt.IsZero() && !o.prepared(now):
		o.closedAt = time.Time{}
		o.setPhase(router.Preparing)
	case o.closedAt.IsZero():
		o.closedAt = now
		o.setPhase(router.Loading, "model", wanted.Model, "version", wanted.Version)
	case now.Sub(o.closedAt) >= closeTime:
		o.sendOrder(ctx, wanted)
	}
}

// prepared reports whether the order would not be held up for long.
func (o *Orderer) prepared(now time.Time) bool {
	age := now.Sub(o.preparedAt)
	return age >= prepareMost || age >= prepareLeast && o.report.Running <= prepareRunning
}

func (o *Orderer) sendOrder(ctx context.Context, wanted WantedVersion) {
	o.ordered = LoadOrder{Model: wanted.Model, Version: wanted.Version, FencingToken: wanted.FencingToken, Sequence: o.report.Sequence}
	o.orderedAt = o.d.Clock.Now()
	call, cancel := context.WithTimeout(ctx, giveLimit)
	defer cancel()
	err := o.d.Replica.SendOrder(call, o.ordered)
	o.d.Logger.Info("weights: order given.", "model", wanted.Model, "version", wanted.Version, "fence", wanted.FencingToken, "sequence", o.ordered.Sequence, "running", o.report.Running, "queued", o.report.Queued, "err", err)
	if errors.Is(err, ErrStaleFencingToken) {
		o.refused = wanted.FencingToken
	}
	o.setPhase(router.Loading)
}

// setPhase changes the phase and tells others of it.
func (o *Orderer) setPhase(phase router.Phase, fields ...any) {
	if phase != o.phase {
		o.d.Logger.Info("weights: phase.", append([]any{"phase", phase.String(), "weights", o.report.WeightsVersions}, fields...)...)
	}
	o.mu.Lock()
	if phase != o.phase {
		o.entered = o.d.Clock.Now()
	}
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
		o.d.StatusChanged()
	}
}
