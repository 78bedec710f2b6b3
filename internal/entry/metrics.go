package entry

import (
	"sync/atomic"

	"github.com/cyclamenward/cyclamenward/internal/daemon"
)

// metrics are the counters of an entry. The names under which they are published are
// fixed.
type metrics struct {
	requests, answered, notRun, unknown              atomic.Int64
	reattached, interrupted, callerGone, corrections atomic.Int64
}

func (e *Entry) publishMetrics() {
	daemon.PublishMetric("entry", func() any {
		return map[string]any{
			"requests":    e.metrics.requests.Load(),
			"answered":    e.metrics.answered.Load(),
			"notRun":      e.metrics.notRun.Load(),
			"unknown":     e.metrics.unknown.Load(),
			"corrections": e.metrics.corrections.Load(),
			"reattached":  e.metrics.reattached.Load(),
			"interrupted": e.metrics.interrupted.Load(),
			"callerGone":  e.metrics.callerGone.Load(),
			"routing":     e.recorder.Counters(),
			"linkTraffic": e.common.Client().Traffic(),
			"links":       e.common.Client().Len(),
			"exchanges":   e.common.Gossip().Exchanges(),
			"storeReads":  e.common.Gossip().StoreReads(),
		}
	})
}
