package divider

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// transitSlack is more than a report takes from daemon to daemon, which ages do not count.
const transitSlack = 250 * time.Millisecond

// Version changes with what other daemons should learn.
func (d *Divider) Version() uint64 { return d.version.Load() }

// Limit is an observation that daemons report to each other.
type Limit struct {
	Replica     Replica `cbor:"1,keyasint"`
	Observation uint64  `cbor:"2,keyasint"`
	// RequestsPerSecond is nil if the replica names no limit.
	RequestsPerSecond *float64 `cbor:"3,keyasint,omitempty"`
	// SentAgo and AnsweredAgo are how long ago the request was sent and its answer arrived.
	SentAgo     time.Duration `cbor:"4,keyasint"`
	AnsweredAgo time.Duration `cbor:"5,keyasint"`
}

// Report returns what other daemons should learn of after a version.
func (d *Divider) Report(after uint64) []Limit {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	var list []Limit
	for _, s := range d.states {
		if s.version <= after || now.Sub(s.answeredAt) >= memory {
			continue
		}
		limit := Limit{Replica: s.replica, Observation: s.observation, SentAgo: now.Sub(s.sentAt), AnsweredAgo: now.Sub(s.answeredAt)}
		if s.limited() {
			value := s.limit
			limit.RequestsPerSecond = &value
		}
		list = append(list, limit)
	}
	slices.SortFunc(list, func(a, b Limit) int { return cmp.Compare(b.AnsweredAgo, a.AnsweredAgo) })
	return list
}

// Merge records what another daemon reports and returns the reports that change a known limit.
func (d *Divider) Merge(report []Limit) (changes []Limit) {
	if len(report) == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for _, limit := range report {
		value := math.Inf(1)
		if limit.RequestsPerSecond != nil {
			value = *limit.RequestsPerSecond
		}
		if !(value >= 0) || limit.AnsweredAgo < 0 || limit.SentAgo < limit.AnsweredAgo {
			continue
		}
		before := d.knownLimit(limit.Replica)
		d.apply(state{replica: limit.Replica, observation: limit.Observation, limit: value, sentAt: now.Add(-limit.SentAgo), answeredAt: now.Add(-limit.AnsweredAgo)}, transitSlack)
		if d.knownLimit(limit.Replica) != before {
			changes = append(changes, limit)
		}
	}
	return changes
}
