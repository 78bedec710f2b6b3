// Package observer tracks which versions of weights the operators want and when this
// daemon observed each.
package observer

import (
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
)

// WantedVersion is a version that the operators have named.
type WantedVersion struct {
	Model   string
	Version int
	// Revision is the store's revision of the naming.
	Revision uint64
}

// maxHistory bounds the versions that are remembered of one model.
const maxHistory = 64

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

// known is what was named of one model.
type known struct {
	named WantedVersion
	// history holds every version with the time at which this daemon observed
	// it, in ascending order of both.
	history []naming
}

type naming struct {
	version int
	since   time.Time
}

// New returns an observer that knows nothing.
func New(startAge time.Duration, clock timekeeper.Clock) *Observer {
	return &Observer{clock: clock, startAge: startAge, models: make(map[string]known)}
}

// Observe takes all versions that are named now. Versions never go back.
func (o *Observer) Observe(list []WantedVersion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	if !o.begun {
		now = now.Add(-o.startAge)
	}
	o.begun = true
	for _, named := range list {
		if k := o.models[named.Model]; named.Version > k.named.Version {
			history := append(k.history, naming{version: named.Version, since: now})
			o.models[named.Model] = known{named: named, history: history[max(0, len(history)-maxHistory):]}
		}
	}
}

// SupersededAt returns when this daemon observed the first version of a model that
// is newer than the given one. The second result is false if there is none.
func (o *Observer) SupersededAt(model string, version int) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, n := range o.models[model].history {
		if n.version > version {
			return n.since, true
		}
	}
	return time.Time{}, false
}

// Newest returns the newest version of each model.
func (o *Observer) Newest() []WantedVersion {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []WantedVersion
	for _, k := range o.models {
		list = append(list, k.named)
	}
	return list
}
