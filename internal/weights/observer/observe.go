// Package observer remembers which weights the operators want and for how long
// this daemon has known.
package observer

import (
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/timekeeper"
)

// Named is a version that the operators have named.
type Named struct {
	Model   string
	Version int
	// Revision is the store's revision of the naming.
	Revision uint64
}

// Observer is safe for concurrent use.
type Observer struct {
	clock timekeeper.Clock
	// startAge is the age that is assumed of versions that were named before this
	// daemon started.
	startAge time.Duration

	// mu guards the fields below.
	mu     sync.Mutex
	models map[string]known
	// begun is set after the first look.
	begun bool
}

type known struct {
	named Named
	since time.Time
}

// New returns an observer that knows nothing.
func New(startAge time.Duration, clock timekeeper.Clock) *Observer {
	return &Observer{clock: clock, startAge: startAge, models: make(map[string]known)}
}

// Observe takes all versions that are named now. Versions never go back.
func (o *Observer) Observe(list []Named) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	if !o.begun {
		now = now.Add(-o.startAge)
	}
	o.begun = true
	for _, named := range list {
		if named.Version > o.models[named.Model].named.Version {
			o.models[named.Model] = known{named: named, since: now}
		}
	}
}

// Wanted returns the newest version of a model.
func (o *Observer) Wanted(model string) router.Weights {
	o.mu.Lock()
	defer o.mu.Unlock()
	k := o.models[model]
	return router.Weights{Version: k.named.Version, Since: k.since}
}

// Newest returns the newest version of each model.
func (o *Observer) Newest() []Named {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []Named
	for _, k := range o.models {
		list = append(list, k.named)
	}
	return list
}
