// Package roster derives the existing replicas from the platform's list.
//
// Entries lapse while the store is away although their replicas live. An entry
// that is found missing around an outage therefore holds for a while behind it.
package roster

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
	"github.com/cyclamenward/cyclamenward/internal/state/watcher"
	"github.com/cyclamenward/cyclamenward/timekeeper"
)

// lapseGrace is how long after the store's return lapsed entries may take to come
// back: the platform promises about two seconds.
const lapseGrace = 2200 * time.Millisecond

// Dependencies are what a roster works with.
type Dependencies struct {
	// Decode reads an entry of the list.
	Decode func(replicator.Item) (router.Descriptor, error)
	// Outage tells of the store's failures.
	Outage func() watcher.Outage
	Clock  timekeeper.Clock
	Logger *log.Logger
}

// Roster is used by one goroutine.
type Roster struct {
	d Dependencies
	// known holds what was read from each key.
	known map[string]*member
}

// member is one key of the list.
type member struct {
	revision   uint64
	descriptor router.Descriptor
	// valid is set if the entry names a replica.
	valid bool
	// missingSince is when the entry was found missing around an outage, zero if
	// it is there.
	missingSince time.Time
}

// New returns an empty roster.
func New(d Dependencies) *Roster {
	return &Roster{d: d, known: make(map[string]*member)}
}

// Update returns the replicas of the list. again is when to look once more although
// nothing has changed, 0 for never.
func (r *Roster) Update(items []replicator.Item) (list []router.Descriptor, again time.Duration) {
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		m := r.known[item.Key]
		if m == nil {
			if item.Removed {
				continue
			}
			m = &member{}
			r.known[item.Key] = m
		}
		if m.revision != item.Revision {
			r.read(m, item)
		}
		if !m.valid {
			continue
		}
		if item.Removed {
			left := r.graceLeft(m)
			if left <= 0 {
				m.valid = false
				r.d.Logger.Info("roster: replica is gone.", "replica", m.descriptor.ID, "revision", item.Revision)
				continue
			}
			again = max(again, left)
		}
		list = append(list, m.descriptor)
	}
	for key := range r.known {
		if !present[key] {
			delete(r.known, key)
		}
	}
	return list, again
}

// read takes a changed entry.
func (r *Roster) read(m *member, item replicator.Item) {
	m.revision = item.Revision
	if item.Removed {
		if r.aroundOutage() {
			m.missingSince = r.d.Clock.Now()
			r.d.Logger.Info("roster: entry is missing after an outage.", "key", item.Key)
		}
		return
	}
	m.missingSince = time.Time{}
	descriptor, err := r.d.Decode(item)
	if err != nil {
		m.valid = false
		r.d.Logger.Warn("roster: entry names no replica.", "key", item.Key, "revision", item.Revision, "err", err)
		return
	}
	if !m.valid || m.descriptor.Draining != descriptor.Draining || m.descriptor.StartUnixMilli != descriptor.StartUnixMilli {
		r.d.Logger.Info("roster: replica.", "replica", descriptor.ID, "address", descriptor.Address, "draining", descriptor.Draining, "started", descriptor.StartUnixMilli, "revision", item.Revision)
	}
	m.descriptor, m.valid = descriptor, true
}

func (r *Roster) aroundOutage() bool {
	outage := r.d.Outage()
	return outage.Failing || (!outage.Ended.IsZero() && r.d.Clock.Now().Sub(outage.Ended) < lapseGrace)
}

// graceLeft returns how much longer a missing entry holds.
func (r *Roster) graceLeft(m *member) time.Duration {
	if m.missingSince.IsZero() {
		return 0
	}
	outage := r.d.Outage()
	if outage.Failing {
		return lapseGrace
	}
	return lapseGrace - r.d.Clock.Now().Sub(outage.Ended)
}
