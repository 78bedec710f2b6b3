// Package roster derives the existing replicas from the platform's list, which has one
// item per replica in the platform's store.
//
// Items expire while the store is unavailable although their replicas still run. If an
// item is found missing during or soon after an outage, its replica is therefore kept
// for a while.
package roster

import (
	"bytes"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
	"github.com/cyclamenward/cyclamenward/internal/state/watcher"
	"github.com/cyclamenward/cyclamenward/timekeeper"
)

const (
	// reappearTimeout is how long after an outage expired items may take to reappear: the
	// platform promises about two seconds.
	reappearTimeout = 2200 * time.Millisecond
	// outageNoticeTime is how long after the start of an outage other daemons may still be
	// reported to watch the store: a watch that hangs is noticed after 3.1 s, and reports
	// are valid for up to 1.8 s.
	outageNoticeTime = 5 * time.Second
)

// Dependencies are the functions and services that a roster uses.
type Dependencies struct {
	// Decode returns the replica that an item of the list describes.
	Decode func(replicator.Item) (router.Descriptor, error)
	// Configured reports whether a replica is one that the configuration knows. Its answer may change with
	// the configuration, after which Update must be called.
	Configured func(router.Descriptor) bool
	// Outage returns the store's current or last outage as this daemon's calls show it.
	Outage func() watcher.Outage
	// StoreWatchedSince returns since when other daemons have watched the store without a
	// break. The second result is false if none does.
	StoreWatchedSince func() (time.Time, bool)
	Clock             timekeeper.Clock
	Logger            *log.Logger
}

// Roster holds the replicas of the list. It must be used by one goroutine only.
type Roster struct {
	deps Dependencies
	// members holds what was read from each key of the list.
	members map[string]*member
	// era is the newest era of the store in the items, and eraChangedAt when a newer one
	// than at first was seen, zero if there was none.
	era          uint64
	eraChangedAt time.Time
}

// member is what was last read from one key of the list.
type member struct {
	// revision is that of the item last read.
	revision   uint64
	descriptor router.Descriptor
	// value is the item's value when it last existed.
	value []byte
	// valid is set if the descriptor is that of an existing replica.
	valid bool
	// foreign is set if the configuration did not know the replica when it was last asked.
	foreign bool
	// missingSince is when the item was found missing during or soon after an outage,
	// zero if it is present or was removed otherwise.
	missingSince time.Time
}

// New returns an empty roster.
func New(deps Dependencies) *Roster {
	return &Roster{deps: deps, members: make(map[string]*member)}
}

// Update applies the items of the list, including removed ones, and returns the
// existing replicas that the configuration knows. After recheckAfter, it must be called again even if no item has
// changed; 0 means that it need not.
func (r *Roster) Update(items []replicator.Item) (list []router.Descriptor, recheckAfter time.Duration) {
	r.observeEra(items)
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		m := r.members[item.Key]
		if m == nil {
			if item.Removed {
				continue
			}
			m = &member{}
			r.members[item.Key] = m
		}
		if m.revision != item.Revision {
			r.updateMember(m, item)
		}
		if !m.valid {
			continue
		}
		if item.Removed {
			remaining := r.timeToReappear(m)
			if remaining <= 0 {
				m.valid = false
				r.deps.Logger.Info("roster: replica is gone.", "replica", m.descriptor.ID, "revision", item.Revision)
				continue
			}
			recheckAfter = max(recheckAfter, remaining)
		}
		if r.isConfigured(m) {
			list = append(list, m.descriptor)
		}
	}
	for key := range r.members {
		if !present[key] {
			delete(r.members, key)
		}
	}
	return list, recheckAfter
}

// isConfigured reports whether a valid member is a replica that the configuration knows. Others may write items,
// too: one that the configuration does not know must not take the place of a replica at the same address.
func (r *Roster) isConfigured(m *member) bool {
	wasForeign := m.foreign
	m.foreign = !r.deps.Configured(m.descriptor)
	if m.foreign != wasForeign {
		r.deps.Logger.Info("roster: configuration of a replica's service changed.", "replica", m.descriptor.ID, "service", m.descriptor.Service, "address", m.descriptor.Address, "configured", !m.foreign)
	}
	return !m.foreign
}

// observeEra records the newest era of the items.
func (r *Roster) observeEra(items []replicator.Item) {
	newest := r.era
	for _, item := range items {
		newest = max(newest, replicator.EraOf(item.Revision))
	}
	if newest > r.era && len(r.members) > 0 {
		r.eraChangedAt = r.deps.Clock.Now()
		r.deps.Logger.Warn("roster: the store has come back from an older copy.", "era", newest)
	}
	r.era = newest
}

// updateMember updates a member from its item, which has changed.
func (r *Roster) updateMember(m *member, item replicator.Item) {
	returned := replicator.EraOf(item.Revision) > replicator.EraOf(m.revision)
	m.revision = item.Revision
	if item.Removed {
		if r.duringOrAfterOutage() {
			m.missingSince = r.deps.Clock.Now()
			r.deps.Logger.Info("roster: item is missing during or after an outage.", "key", item.Key)
		}
		return
	}
	m.missingSince = time.Time{}
	unchanged := bytes.Equal(m.value, item.Value)
	m.value = item.Value
	if returned && unchanged && !m.valid {
		// The copy is older than the removal. A replica that lives writes its item again.
		return
	}
	descriptor, err := r.deps.Decode(item)
	if err != nil {
		m.valid = false
		r.deps.Logger.Warn("roster: item describes no replica.", "key", item.Key, "revision", item.Revision, "err", err)
		return
	}
	if m.descriptor.Draining && m.descriptor.ID == descriptor.ID && m.descriptor.StartUnixMilli == descriptor.StartUnixMilli {
		descriptor.Draining = true
	}
	if !m.valid || m.descriptor.Draining != descriptor.Draining || m.descriptor.StartUnixMilli != descriptor.StartUnixMilli {
		r.deps.Logger.Info("roster: replica is new or changed.", "replica", descriptor.ID, "address", descriptor.Address, "draining", descriptor.Draining, "software", descriptor.SoftwareVersion, "started", descriptor.StartUnixMilli, "revision", item.Revision)
	}
	m.descriptor, m.valid = descriptor, true
}

// outage returns the store's current or last outage. If others still watch the store when an
// outage has lasted for outageNoticeTime, only this daemon cannot reach it: items that the
// store removes do not reappear. A return of the
// store from an older copy ends an outage: it lacks items that were written since.
func (r *Roster) outage() watcher.Outage {
	outage := r.deps.Outage()
	if outage.Failing && r.deps.Clock.Now().Sub(outage.Began) >= outageNoticeTime {
		if since, watching := r.deps.StoreWatchedSince(); watching {
			outage = watcher.Outage{Ended: since}
		}
	}
	if outage.Ended.Before(r.eraChangedAt) {
		outage.Ended = r.eraChangedAt
	}
	return outage
}

// duringOrAfterOutage reports whether expired items may still reappear.
func (r *Roster) duringOrAfterOutage() bool {
	outage := r.outage()
	return outage.Failing || (!outage.Ended.IsZero() && r.deps.Clock.Now().Sub(outage.Ended) < reappearTimeout)
}

// timeToReappear returns how much longer a replica is kept whose item is missing, 0 or
// less if it is not kept.
func (r *Roster) timeToReappear(m *member) time.Duration {
	if m.missingSince.IsZero() {
		return 0
	}
	outage := r.outage()
	if outage.Failing {
		return reappearTimeout
	}
	return reappearTimeout - r.deps.Clock.Now().Sub(outage.Ended)
}
