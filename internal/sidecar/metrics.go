package sidecar

import (
	"sync/atomic"

	"github.com/cyclamenward/cyclamenward/internal/daemon"
	"github.com/cyclamenward/cyclamenward/peer/engine"
)

// metrics are the counters of a sidecar. Their names are fixed, so their number
// does not grow with workspaces or prefixes.
type metrics struct {
	admitted, refused, answered, failed, replayed atomic.Int64
	cachedBlocks, promptBlocks, rereads, loads    atomic.Int64
}

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
			"cacheRereads": s.metrics.rereads.Load(),
			"weightsLoads": s.metrics.loads.Load(),
			"queueWaiting": waiting,
			"queueRunning": running,
			"attemptsHeld": s.table.Len(),
			"jobsHeld":     s.jobs.len(),
			"blocksKnown":  s.cacheIndex.Len(),
			"linkTraffic":  s.common.Client().Traffic(),
			"leaving":      s.table.Leaving(),
			"exchanges":    s.common.Gossip().Exchanges(),
		}
		if claims := s.currentClaims(); claims != nil {
			values["claimsGranted"] = claims.Granted()
			values["claimCommits"] = claims.Commits()
		}
		return values
	})
}

// order gives one order to the engine.
func (s *Sidecar) order(version string, fence uint64) error {
	return s.engine.Order(engine.Order{WeightsVersion: version, Fence: fence})
}
