package sidecar

import (
	"sync/atomic"

	"github.com/cyclamenward/cyclamenward/internal/daemon"
	"github.com/cyclamenward/cyclamenward/peer/engine"
)

// metrics holds the counters of a sidecar. They are not broken down by workspace or
// prefix, so their number stays the same.
type metrics struct {
	admitted, refused, answered, failed, replayed          atomic.Int64
	cachedBlocks, promptBlocks, cacheRereads, weightsLoads atomic.Int64
}

// publishMetrics publishes the counters and the current sizes of the queue, the tables
// and the cache.
func (s *Sidecar) publishMetrics() {
	daemon.PublishMetric("sidecar", func() any {
		waiting, running := s.queue.Len()
		values := map[string]any{
			"admitted":     s.metrics.admitted.Load(),
			"refused":      s.metrics.refused.Load(),
			"answered":     s.metrics.answered.Load(),
			"failed":       s.metrics.failed.Load(),
			"replayed":     s.metrics.replayed.Load(),
			"cachedBlocks": s.metrics.cachedBlocks.Load(),
			"promptBlocks": s.metrics.promptBlocks.Load(),
			"cacheRereads": s.metrics.cacheRereads.Load(),
			"weightsLoads": s.metrics.weightsLoads.Load(),
			"queueWaiting": waiting,
			"queueRunning": running,
			"attemptsHeld": s.attempts.Len(),
			"jobsHeld":     s.jobs.len(),
			"blocksKnown":  s.cacheIndex.Len(),
			"linkTraffic":  s.common.Client().Traffic(),
			"leaving":      s.attempts.Leaving(),
			"exchanges":    s.common.Gossip().Exchanges(),
		}
		if claims := s.currentClaims(); claims != nil {
			values["claimsGranted"] = claims.Granted()
			values["claimCommits"] = claims.Commits()
		}
		return values
	})
}

// sendLoadOrder orders the engine to load a weights version.
func (s *Sidecar) sendLoadOrder(version string, fencingToken uint64) error {
	return s.engine.SendOrder(engine.LoadOrder{WeightsVersion: version, FencingToken: fencingToken})
}
