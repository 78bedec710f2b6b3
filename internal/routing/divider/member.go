package divider

import (
	"encoding/binary"
	"maps"
	"math"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// minShare is the smallest share of a limit that a daemon gets if it is not the only
	// one, in requests a second.
	minShare = 0.5
	// assumedMembers is how many daemons are assumed to share a limit while none is known.
	assumedMembers = 24
	// memberMemory is how long a daemon that is no longer listed keeps its share: it may be cut
	// off from those that list it, but not from replicas.
	memberMemory = 10 * time.Second
	// ownMemory is how long a daemon that is no longer listed itself uses its share: the others have
	// it after memberMemory.
	ownMemory = 8 * time.Second
	// settleTime is how long after its first list a daemon relies on the number that is listed:
	// sidecars that have just started list the daemons that have connected so far.
	settleTime = 2 * time.Second
	// fleetMemory is how long a daemon that is no longer listed counts in the fleet. Regions lose
	// each other for minutes, and in each the daemons of the others are not listed.
	fleetMemory = 10 * time.Minute
	// maxCensusAge is how old a census may be, enrolledTime how long a daemon has to be in each
	// census before it relies on their number: longer than maxCensusAge and the time for which
	// an answer with a census may be on its way, so that all who rely on one count each other.
	maxCensusAge = 3500 * time.Millisecond
	enrolledTime = 8 * time.Second
)

// Member is a daemon that sends requests.
type Member struct {
	// ID is unique among the daemons and not 0.
	ID     uint64 `cbor:"1,keyasint"`
	Region string `cbor:"2,keyasint,omitempty"`
}

// SetSelf sets which of the members this daemon is.
func (d *Divider) SetSelf(self Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.self = self
	d.membership++
}

// SetMembers sets the members that a source lists. They replace those that it listed before.
func (d *Divider) SetMembers(source any, list []Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordListed()
	if list == nil {
		delete(d.lists, source)
	} else {
		d.lists[source] = list
	}
	before := d.lastListedAt
	d.recordListed()
	if d.lastListedAt.Sub(before) >= fleetMemory {
		d.firstListedAt = d.lastListedAt
	}
}

// SetSidecarsGone sets whether it is known that there are no sidecars, so that a daemon that is not
// listed is not cut off.
func (d *Divider) SetSidecarsGone(gone bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sidecarsGone = gone
}

// recordListed records that the listed members are listed now. The caller holds mu.
func (d *Divider) recordListed() {
	now := d.clock.Now()
	for _, list := range d.lists {
		for _, member := range list {
			if _, known := d.members[member]; !known {
				d.membership++
			}
			d.members[member] = now
			d.fleet[member.ID] = now
			d.lastListedAt = now
			if member.ID == d.self.ID {
				d.selfListedAt = now
			}
		}
	}
}

// FleetShare returns this daemon's part of what is bounded for all daemons together and needs no
// exact division. The parts of all daemons add up to at most 1, also if some are cut off.
func (d *Divider) FleetShare() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordListed()
	now := d.clock.Now()
	listed := now.Sub(d.lastListedAt) < fleetMemory && now.Sub(d.firstListedAt) >= settleTime
	if !listed && !d.enrolled(now) {
		return 0
	}
	maps.DeleteFunc(d.fleet, func(_ uint64, at time.Time) bool { return now.Sub(at) >= fleetMemory })
	d.fleet[d.self.ID] = now
	return 1 / float64(len(d.fleet))
}

// removeMembers removes members that have not been listed for memberMemory. The caller holds
// mu.
func (d *Divider) removeMembers(now time.Time) {
	if now.Sub(d.membersCheckedAt) < memberMemory/10 {
		return
	}
	d.membersCheckedAt = now
	d.recordListed()
	cutOff := !d.selfListedAt.IsZero() && now.Sub(d.selfListedAt) >= ownMemory && !d.sidecarsGone
	if cutOff != d.cutOff {
		d.cutOff = cutOff
		d.membership++
	}
	maps.DeleteFunc(d.members, func(_ Member, at time.Time) bool {
		gone := len(d.lists) > 0 && now.Sub(at) >= memberMemory
		if gone {
			d.membership++
		}
		return gone
	})
}

// share returns this daemon's share of the limit of a replica. The caller holds mu.
func (d *Divider) share(s *state) float64 {
	limit := max(s.limit, probeRate)
	if d.cutOff {
		return 0
	}
	if len(d.members) == 0 {
		return limit / assumedMembers
	}
	sharers := min(len(d.members), max(1, int(min(limit, math.MaxInt32)/minShare)))
	preferred := 0
	key := xxh3.HashString(s.replica.ID)
	own := d.self.order(s.replica.Region, key)
	for member := range d.members {
		if member != d.self && member.order(s.replica.Region, key).before(own) {
			preferred++
		}
	}
	if preferred >= sharers {
		return 0
	}
	return limit / float64(sharers)
}

// Selects reports whether this daemon is the one of all members that a key selects; each is
// if none is known.
func (d *Divider) Selects(key uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeMembers(d.clock.Now())
	own := d.self.order(d.self.Region, key)
	for member := range d.members {
		if member != d.self && member.order(member.Region, key).before(own) {
			return false
		}
	}
	return true
}

// order is the place of a member among those that may send to a replica.
type order struct {
	otherRegion bool
	hash        uint64
}

func (m Member) order(region string, key uint64) order {
	var id [8]byte
	binary.LittleEndian.PutUint64(id[:], m.ID)
	return order{otherRegion: m.Region != region, hash: xxh3.HashSeed(id[:], key)}
}

func (o order) before(other order) bool {
	if o.otherRegion != other.otherRegion {
		return other.otherRegion
	}
	return o.hash < other.hash
}
