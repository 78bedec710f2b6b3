package entry

import (
	"sync/atomic"

	"github.com/cyclamenward/cyclamenward/internal/daemon"
)

// metrics are the counters of an entry. Their names are fixed.
type metrics struct {
	requests, answered, notRun, unknown             atomic.Int64
	attempts, retries, reattached, resumed          atomic.Int64
	expectedBlocks, cachedBlocks, promptBlocks      atomic.Int64
	interrupted, callerGone, corrections, redirects atomic.Int64
}

func (e *Entry) publishMetrics() {
	daemon.Publish("entry", func() any {
		return map[string]any{
			"requests":         e.metrics.requests.Load(),
			"answered":         e.metrics.answered.Load(),
			"notRun":           e.metrics.notRun.Load(),
			"unknown":          e.metrics.unknown.Load(),
			"attempts":         e.metrics.attempts.Load(),
			"retries":          e.metrics.retries.Load(),
			"corrections":      e.metrics.corrections.Load(),
			"redirects":        e.metrics.redirects.Load(),
			"reattached":       e.metrics.reattached.Load(),
			"resumed":          e.metrics.resumed.Load(),
			"interrupted":      e.metrics.interrupted.Load(),
			"callerGone":       e.metrics.callerGone.Load(),
			"expectedBlocks":   e.metrics.expectedBlocks.Load(),
			"cachedBlocks":     e.metrics.cachedBlocks.Load(),
			"promptBlocks":     e.metrics.promptBlocks.Load(),
			"blocksRemembered": e.memory.Len(),
			"linkTraffic":      e.common.Client().Traffic(),
			"links":            e.common.Client().Len(),
			"exchanges":        e.common.Gossip().Exchanges(),
			"storeReads":       e.common.Gossip().StoreReads(),
		}
	})
}
