package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/leaser"
	"github.com/google/uuid"
)

const (
	// rolloutPeriod is the time between two looks at the wanted version.
	rolloutPeriod = 250 * time.Millisecond
	// loadLimit bounds the wait for one load; the ticket is given back after it.
	loadLimit = time.Minute
	// uncheckedMargin covers an order on its way to an engine that does not check
	// fencing numbers.
	uncheckedMargin = time.Second
)

// rolloutLoop brings the engine to the weights version of the document. The
// newest document is looked at before every order, so the latest version wins.
func (s *Sidecar) rolloutLoop(ctx context.Context) {
	for {
		if document := s.document(); document != nil && s.wantsLoad(document.Value) {
			s.load(ctx, document.Value)
		}
		select {
		case <-s.clock.After(rolloutPeriod):
		case <-ctx.Done():
			return
		}
	}
}

func (s *Sidecar) wantsLoad(document *decoder.Document) bool {
	state := s.state.Load()
	return document.Kind == decoder.ModelPool && state != nil && !state.Loading &&
		state.WeightsVersion != document.Model.WeightsVersion && !s.table.Leaving()
}

// load takes a ticket, orders the load and waits for its end.
func (s *Sidecar) load(ctx context.Context, document *decoder.Document) {
	tickets := min(document.Rollout.MaxLoading, max(1, len(document.BackendServers)-document.Rollout.MinServing))
	prefix := "tickets/" + s.settings.Service
	ticket, err := leaser.Acquire(ctx, s.store, s.clock, prefix, uuid.NewString(), tickets, leaser.DefaultOptions)
	if err != nil {
		if !errors.Is(err, leaser.ErrNone) {
			s.logger.Warn("sidecar: no ticket to load weights.", "err", err)
		}
		return
	}
	defer ticket.Release(context.WithoutCancel(ctx))
	newest := s.document().Value
	if !s.wantsLoad(newest) || !ticket.ValidFor(orderMargin(newest)) {
		return
	}
	version := newest.Model.WeightsVersion
	s.logger.Info("sidecar: order to load weights.", "weightsVersion", version, "fence", ticket.Fence())
	if err := s.order(version, ticket.Fence()); err != nil {
		s.logger.Warn("sidecar: order not taken.", "weightsVersion", version, "err", err)
		return
	}
	s.metrics.loads.Add(1)
	s.awaitLoad(ctx, version)
}

// orderMargin is how long a ticket must still hold when an order is given. An
// engine that checks fencing numbers refuses an order that comes too late.
func orderMargin(document *decoder.Document) time.Duration {
	if document.ChecksFencing {
		return 0
	}
	return uncheckedMargin
}

// awaitLoad returns when the engine has ended the load or is gone.
func (s *Sidecar) awaitLoad(ctx context.Context, version string) {
	limit := s.clock.After(loadLimit)
	for {
		s.wakeEngineLoop()
		select {
		case <-s.clock.After(enginePeriod):
		case <-limit:
			return
		case <-ctx.Done():
			return
		}
		if state := s.state.Load(); state == nil || (!state.Loading && state.WeightsVersion == version) {
			return
		}
	}
}
