package gauger

import (
	"math"
	"sync"
	"time"
)

// centerGain is the weight of one answer in what all replicas of a service take: the same fifty
// answers that move the service's pace.
const centerGain = 0.02

// Center holds how long the replicas of a service take on average, as a multiple of what is
// expected: what is common to all of them is not slowness of one. Without it, the estimates of all
// replicas and the service's pace could drift apart for ever. It is safe for concurrent use; its
// zero value is ready.
type Center struct {
	// mu guards logRatio.
	mu       sync.Mutex
	logRatio float64
}

// Apply records how long an answer took and returns what was expected of it in view of the answers of
// all replicas.
func (c *Center) Apply(took, expected time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	centered := time.Duration(float64(expected) * math.Exp(c.logRatio))
	c.logRatio += centerGain * (float64(evidenceOf(took, expected).LogMilli)/1000 - c.logRatio)
	return centered
}
