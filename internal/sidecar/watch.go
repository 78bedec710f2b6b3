package sidecar

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/cyclamenward/cyclamenward/chainer"
	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/peer/engine"
	"github.com/cyclamenward/cyclamenward/tracker"
)

// enginePollInterval is how often the engine's state is read.
const enginePollInterval = 100 * time.Millisecond

// engineLoop keeps engineState and the index of the engine's cache up to date.
func (s *Sidecar) engineLoop(ctx context.Context) {
	for {
		changed := s.common.RevisionTable().Changed()
		if document := s.document(); document != nil && document.Value.Kind == decoder.ModelPool {
			s.queue.SetSlots(document.Value.Model.EngineSlots)
			s.pollEngine()
		}
		select {
		case <-s.clock.After(enginePollInterval):
		case <-changed:
		case <-s.engineWake:
		case <-ctx.Done():
			return
		}
	}
}

// wakeEngineLoop makes engineLoop read the engine's state at once.
func (s *Sidecar) wakeEngineLoop() {
	select {
	case s.engineWake <- struct{}{}:
	default:
	}
}

// pollEngine reads the engine's state and cache events.
func (s *Sidecar) pollEngine() {
	state, err := s.engine.State()
	if err != nil {
		if s.engineState.Swap(nil) != nil {
			s.logger.Warn("sidecar: engine unreachable.", "err", err)
		}
		return
	}
	if old := s.engineState.Swap(state); old == nil || old.Incarnation != state.Incarnation || old.WeightsVersion != state.WeightsVersion {
		s.logger.Info("sidecar: engine state changed.", "incarnation", state.Incarnation, "weightsVersion", state.WeightsVersion, "loading", state.Loading)
	}
	if s.cacheIndex.Incarnation() != state.Incarnation {
		s.prefills.forgetComputed()
	}
	s.cacheIndex.SetIncarnation(state.Incarnation)
	if err := s.updateCacheIndex(); err != nil {
		s.logger.Debug("sidecar: cannot read cache events.", "err", err)
	}
}

// updateCacheIndex applies the engine's new cache events to the index. If events were
// missed, it replaces the index by a listing of the cache.
func (s *Sidecar) updateCacheIndex() error {
	incarnation, sequence, stale := s.cacheIndex.Position()
	update, err := s.engine.ReadCacheEvents(incarnation, sequence, stale)
	if err != nil {
		return err
	}
	if update.Complete {
		s.metrics.cacheRereads.Add(1)
		s.cacheIndex.Replace(update.Incarnation, update.Sequence, parseBlocks(update.Blocks))
		return nil
	}
	s.cacheIndex.Apply(update.Incarnation, parseEvents(update.Events))
	return nil
}

// parseBlocks parses block names and leaves out those that are not hashes.
func parseBlocks(names []string) []chainer.Hash {
	result := make([]chainer.Hash, 0, len(names))
	for _, name := range names {
		if hash, ok := parseBlock(name); ok {
			result = append(result, hash)
		}
	}
	return result
}

// parseEvents converts cache events to those of package tracker.
func parseEvents(cacheEvents []engine.CacheEvent) []tracker.Event {
	result := make([]tracker.Event, 0, len(cacheEvents))
	for _, event := range cacheEvents {
		// An event with an invalid block name is left out. The index then finds a gap in
		// the sequence, and the cache is listed again.
		if hash, ok := parseBlock(event.Block); ok {
			result = append(result, tracker.Event{Sequence: event.Sequence, Removed: event.Removed, Block: hash})
		}
	}
	return result
}

// parseBlock parses the hexadecimal name of a block.
func parseBlock(name string) (chainer.Hash, bool) {
	var hash chainer.Hash
	n, err := hex.Decode(hash[:], []byte(name))
	return hash, err == nil && n == len(hash)
}
