package gauger

import (
	"math"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
)

// Collector learns the slowness of a sidecar's replica from the evidence of all entries: each
// entry alone gets few answers of each replica. It is safe for concurrent use.
type Collector struct {
	clock timekeeper.Clock
	// mu guards the fields below.
	mu sync.Mutex
	// startUnixMilli is the start of the replica that learned describes.
	startUnixMilli int64
	learned        estimate
	// load holds the load that the replica has last reported, at loadAt.
	load   Shared
	loadAt time.Time
}

// NewCollector returns a collector for a replica of which nothing is known.
func NewCollector(clock timekeeper.Clock) *Collector { return &Collector{clock: clock} }

// Add adds answers of an entry.
func (c *Collector) Add(evidence Evidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learned.add(evidence, c.clock.Now())
}

// RecordLoad records the load that the replica reports about this moment, in percent.
func (c *Collector) RecordLoad(percent int) {
	if percent <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.load.LoadPercent, c.loadAt = percent, c.clock.Now()
}

// Shared returns what is known of the replica that started at a time, in Unix milliseconds. What
// was learnt of another start is forgotten.
func (c *Collector) Shared(startUnixMilli int64) Shared {
	c.mu.Lock()
	defer c.mu.Unlock()
	if startUnixMilli != c.startUnixMilli {
		c.startUnixMilli, c.learned = startUnixMilli, estimate{}
	}
	shared, now := c.load, c.clock.Now()
	if shared.LoadPercent > 0 {
		shared.LoadAge = now.Sub(c.loadAt)
	}
	if c.learned.answers > 0 {
		shared.SlownessPercent = int(math.Round(100 * math.Exp(c.learned.at(now))))
	}
	return shared
}
