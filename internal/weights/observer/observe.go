// Package observer tracks which versions of weights the operators want and when this
// daemon first saw each.
package observer

import (
	"slices"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
)

// WantedVersion is a version of a model's weights that the operators want.
type WantedVersion struct {
	Model   string
	Version int
	// Revision is the store's revision of the last change of what is wanted, also by a
	// delayed write of an older version.
	Revision uint64
}

// maxObservations bounds the versions that are remembered per model; the oldest are
// forgotten.
const maxObservations = 64

// maxSharedAges bounds the versions of a model whose ages are reported to other daemons.
const maxSharedAges = 8

// Observer holds the wanted versions of each model. It is safe for concurrent use.
type Observer struct {
	clock timekeeper.Clock
	// ageAtStart is the assumed age of the versions in the first Observe, which were
	// wanted before this daemon started.
	ageAtStart time.Duration

	// mu guards the fields below.
	mu     sync.Mutex
	models map[string]modelHistory
	// observedOnce is set by the first Observe.
	observedOnce bool
}

// modelHistory holds the versions of one model that were wanted.
type modelHistory struct {
	newest WantedVersion
	// observations holds the latest versions, each with the time at which this daemon
	// first saw it, in ascending order of both.
	observations []observation
}

// observation is a wanted version and when it was first seen.
type observation struct {
	version    int
	observedAt time.Time
}

// New returns an observer that knows no version. Versions in the first Observe count as
// seen ageAtStart earlier.
func New(ageAtStart time.Duration, clock timekeeper.Clock) *Observer {
	return &Observer{clock: clock, ageAtStart: ageAtStart, models: make(map[string]modelHistory)}
}

// Observe takes the currently wanted version of each model. Of a version that is not
// newer than the model's newest only the revision is used, which never decreases.
func (o *Observer) Observe(list []WantedVersion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	if !o.observedOnce {
		now = now.Add(-o.ageAtStart)
	}
	o.observedOnce = true
	for _, wanted := range list {
		known := o.models[wanted.Model]
		wanted.Revision = max(wanted.Revision, known.newest.Revision)
		if wanted.Version > known.newest.Version {
			observations := append(known.observations, observation{version: wanted.Version, observedAt: now})
			known = modelHistory{newest: wanted, observations: observations[max(0, len(observations)-maxObservations):]}
		}
		known.newest.Revision = wanted.Revision
		o.models[wanted.Model] = known
	}
}

// SupersededAt returns when this daemon first saw a version of a model that is newer
// than the given one. The second result is false if it has seen none.
func (o *Observer) SupersededAt(model string, version int) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, seen := range o.models[model].observations {
		if seen.version > version {
			return seen.observedAt, true
		}
	}
	return time.Time{}, false
}

// Age is how long a daemon has known that a version of a model's weights is wanted.
type Age struct {
	Model   string        `cbor:"1,keyasint"`
	Version int           `cbor:"2,keyasint"`
	Age     time.Duration `cbor:"3,keyasint"`
}

// AgesOf returns the ages of the versions of a model that are remembered, in ascending order of
// versions.
func (o *Observer) AgesOf(model string) []Age {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	var ages []Age
	for _, seen := range o.models[model].observations {
		ages = append(ages, Age{Model: model, Version: seen.version, Age: now.Sub(seen.observedAt)})
	}
	return ages
}

// Ages returns the ages of the latest versions, for daemons that have started since.
func (o *Observer) Ages() []Age {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	var ages []Age
	for model, known := range o.models {
		for _, seen := range known.observations[max(0, len(known.observations)-maxSharedAges):] {
			ages = append(ages, Age{Model: model, Version: seen.version, Age: now.Sub(seen.observedAt)})
		}
	}
	return ages
}

// Learn takes the ages that another daemon knows. A version counts as seen when the first
// of both daemons saw it. Versions above the model's newest are ignored.
func (o *Observer) Learn(ages []Age) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	for _, age := range ages {
		known := o.models[age.Model]
		if age.Version <= known.newest.Version {
			known.observations = withObservation(known.observations, observation{version: age.Version, observedAt: now.Add(-age.Age)})
			o.models[age.Model] = known
		}
	}
}

// withObservation returns observations with another one, in ascending order of versions
// and of times.
func withObservation(observations []observation, added observation) []observation {
	i, found := slices.BinarySearchFunc(observations, added.version, func(o observation, version int) int { return o.version - version })
	observations = slices.Clone(observations)
	if !found {
		observations = slices.Insert(observations, i, added)
	}
	// Whoever saw a version has seen that all older ones are superseded.
	for ; i >= 0; i-- {
		if added.observedAt.Before(observations[i].observedAt) {
			observations[i].observedAt = added.observedAt
		}
	}
	return observations[max(0, len(observations)-maxObservations):]
}

// Newest returns the newest wanted version of each model.
func (o *Observer) Newest() []WantedVersion {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []WantedVersion
	for _, known := range o.models {
		list = append(list, known.newest)
	}
	return list
}

// NewestRevision returns the highest revision of all models, 0 before the first. Fencing
// tokens for orders must not decrease from one model of a replica to the other.
func (o *Observer) NewestRevision() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	newest := uint64(0)
	for _, known := range o.models {
		newest = max(newest, known.newest.Revision)
	}
	return newest
}
