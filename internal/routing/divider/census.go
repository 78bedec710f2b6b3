package divider

import (
	"slices"
	"time"
)

// SetCensus sets the IDs of all daemons that have enrolled in a place which all of them read, as it
// was at a time. Daemons without sidecars know each other by it.
func (d *Divider) SetCensus(ids []uint64, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if age(d.censusAt, at) > maxCensusAge || !slices.Contains(ids, d.self.ID) {
		d.enrolledAt = time.Time{}
	}
	if d.enrolledAt.IsZero() && slices.Contains(ids, d.self.ID) {
		d.enrolledAt = now
	}
	for _, id := range ids {
		d.fleet[id] = now
	}
	d.censusAt = at
}

// enrolled reports whether the census tells how many daemons there are. The caller holds mu.
func (d *Divider) enrolled(now time.Time) bool {
	return !d.enrolledAt.IsZero() && now.Sub(d.enrolledAt) >= enrolledTime && age(d.censusAt, now) <= maxCensusAge
}

// age returns the time from one moment to another. The steady clock does not count the time in which
// the host is suspended.
func age(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
