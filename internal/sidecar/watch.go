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

// enginePeriod is the time between two readings of the engine's state.
const enginePeriod = 100 * time.Millisecond

// engineLoop keeps the engine's state and the index of its cache.
func (s *Sidecar) engineLoop(ctx context.Context) {
	for {
		changed := s.common.RevisionTable().Changed()
		if document := s.document(); document != nil && document.Value.Kind == decoder.ModelPool {
			s.queue.SetSlots(document.Value.Model.EngineSlots)
			s.readEngine()
		}
		select {
		case <-s.clock.After(enginePeriod):
		case <-changed:
		case <-s.refresh:
		case <-ctx.Done():
			return
		}
	}
}

// wakeEngineLoop makes the engine's state be read again at once.
func (s *Sidecar) wakeEngineLoop() {
	select {
	case s.refresh <- struct{}{}:
	default:
	}
}

func (s *Sidecar) readEngine() {
	state, err := s.engine.State()
	if err != nil {
		if s.state.Swap(nil) != nil {
			s.logger.Warn("sidecar: engine not reached.", "err", err)
		}
		return
	}
	if old := s.state.Swap(state); old == nil || old.Incarnation != state.Incarnation || old.WeightsVersion != state.WeightsVersion {
		s.logger.Info("sidecar: engine state.", "incarnation", state.Incarnation, "weightsVersion", state.WeightsVersion, "loading", state.Loading)
	}
	if s.cacheIndex.Incarnation() != state.Incarnation {
		s.prefills.reset()
	}
	s.cacheIndex.SetIncarnation(state.Incarnation)
	if err := s.readEvents(); err != nil {
		s.logger.Debug("sidecar: cache events not read.", "err", err)
	}
}

// readEvents brings the index up to date. After a gap it lists the cache.
func (s *Sidecar) readEvents() error {
	incarnation, sequence, stale := s.cacheIndex.Position()
	read, err := s.engine.Events(incarnation, sequence, stale)
	if err != nil {
		return err
	}
	if read.Whole {
		s.metrics.rereads.Add(1)
		s.cacheIndex.Replace(read.Incarnation, read.Sequence, blocks(read.Blocks))
		return nil
	}
	s.cacheIndex.Apply(read.Incarnation, events(read.Events))
	return nil
}

func blocks(names []string) []chainer.Hash {
	result := make([]chainer.Hash, 0, len(names))
	for _, name := range names {
		if hash, ok := parseBlock(name); ok {
			result = append(result, hash)
		}
	}
	return result
}

func events(read []engine.CacheEvent) []tracker.Event {
	result := make([]tracker.Event, 0, len(read))
	for _, event := range read {
		// An event with an unreadable name is left out, which makes a gap.
		if hash, ok := parseBlock(event.Block); ok {
			result = append(result, tracker.Event{Sequence: event.Sequence, Removed: event.Removed, Block: hash})
		}
	}
	return result
}

func parseBlock(name string) (chainer.Hash, bool) {
	var hash chainer.Hash
	n, err := hex.Decode(hash[:], []byte(name))
	return hash, err == nil && n == len(hash)
}
