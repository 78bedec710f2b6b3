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
	// rolloutInterval is how often the engine's weights version is compared with that of
	// the document.
	rolloutInterval = 250 * time.Millisecond
	// loadTimeout bounds the wait for one load; the ticket is released afterwards, even if
	// the load continues.
	loadTimeout = time.Minute
	// unfencedOrderMargin is how long a ticket must still be valid when an order is sent to
	// an engine that does not check fencing tokens, so that the order arrives in time.
	unfencedOrderMargin = time.Second
)

// rolloutLoop makes the engine load the weights version of the document. The document
// is read again before every order, so the latest version wins.
func (s *Sidecar) rolloutLoop(ctx context.Context) {
	for {
		if document := s.document(); document != nil && s.needsLoad(document.Value) {
			s.loadWeights(ctx, document.Value)
		}
		select {
		case <-s.clock.After(rolloutInterval):
		case <-ctx.Done():
			return
		}
	}
}

// needsLoad reports whether the engine should be ordered to load the document's weights
// version now.
func (s *Sidecar) needsLoad(document *decoder.Document) bool {
	state := s.engineState.Load()
	return document.Kind == decoder.ModelPool && state != nil && !state.Loading &&
		state.WeightsVersion != document.Model.WeightsVersion && !s.attempts.Leaving()
}

// loadWeights acquires a ticket, orders the engine to load the weights and waits for the
// end of the load. The number of tickets bounds the backend servers that load at once:
// at most MaxLoading, and few enough that MinServing keep serving, but at least one.
func (s *Sidecar) loadWeights(ctx context.Context, document *decoder.Document) {
	tickets := min(document.Rollout.MaxLoading, max(1, len(document.BackendServers)-document.Rollout.MinServing))
	prefix := "tickets/" + s.settings.Service
	ticket, err := leaser.Acquire(ctx, s.store, s.clock, prefix, uuid.NewString(), tickets, leaser.DefaultOptions)
	if err != nil {
		if !errors.Is(err, leaser.ErrNoTicketFree) {
			s.logger.Warn("sidecar: cannot acquire a ticket to load weights.", "err", err)
		}
		return
	}
	defer ticket.Release(context.WithoutCancel(ctx))
	newest := s.document().Value
	if !s.needsLoad(newest) || !ticket.ValidFor(orderMargin(newest)) {
		return
	}
	version := newest.Model.WeightsVersion
	s.logger.Info("sidecar: ordering the engine to load weights.", "weightsVersion", version, "fence", ticket.FencingToken())
	if err := s.sendLoadOrder(version, ticket.FencingToken()); err != nil {
		s.logger.Warn("sidecar: load order failed.", "weightsVersion", version, "err", err)
		return
	}
	s.metrics.weightsLoads.Add(1)
	s.awaitLoad(ctx, version)
}

// orderMargin returns how long a ticket must still be valid when an order is sent. An
// engine that checks fencing tokens needs no margin, since it refuses late orders.
func orderMargin(document *decoder.Document) time.Duration {
	if document.ChecksFencing {
		return 0
	}
	return unfencedOrderMargin
}

// awaitLoad returns once the engine serves the version or cannot be reached, or after
// loadTimeout.
func (s *Sidecar) awaitLoad(ctx context.Context, version string) {
	timeout := s.clock.After(loadTimeout)
	for {
		s.wakeEngineLoop()
		select {
		case <-s.clock.After(enginePollInterval):
		case <-timeout:
			return
		case <-ctx.Done():
			return
		}
		if state := s.engineState.Load(); state == nil || (!state.Loading && state.WeightsVersion == version) {
			return
		}
	}
}
