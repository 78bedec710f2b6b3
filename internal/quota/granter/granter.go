// Package granter divides the quotas of workspaces among the entries that report to a sidecar.
//
// A quota bounds what all entries together send for a workspace. Each of a few sidecars is the only
// one that grants its equal portion of every quota, and the parts of a portion that it has granted and
// that may still be in use never add up to more than the whole. An entry that does not report to it
// counts with an even part, which that entry falls back to by itself.
package granter

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
)

const (
	// LeaseTime is how long an entry uses what it was granted, from the report that the grants
	// answer on.
	LeaseTime = 2 * time.Second
	// silentTime is how long after its last report an entry is taken to fall back to its even part.
	// It is shorter than LeaseTime, so that the part is free when the entry does so.
	silentTime = 1200 * time.Millisecond
	// lapseTime is how long after its last report nothing that an entry was granted is in use.
	lapseTime = LeaseTime + 600*time.Millisecond
	// fleetMemory is how long an entry that does not report keeps its even part. Regions lose each
	// other for minutes.
	fleetMemory = 10 * time.Minute
	// idleTime is how long a workspace without demand stays listed.
	idleTime = 5 * time.Second
	// steadiness is by which part of itself a grant shrinks at least. What an entry releases is free only
	// once it has confirmed that.
	steadiness = 0.07
	// wantedTotal is what the parts by demand add up to if all are granted. It is above 1, so that what one
	// entry releases is taken by others soon; what is granted stays within 1.
	wantedTotal = 1.04
	// sweepInterval is the interval at which entries and workspaces are aged.
	sweepInterval = 200 * time.Millisecond
	// minEvenPortion is the portion of a quota that is divided evenly however it is demanded, so that
	// an entry can serve the first requests of a workspace.
	minEvenPortion = 0.02
	// evenRemainder is the portion of what nobody demands that is divided evenly.
	evenRemainder = 0.1
	// Scale is the unit of shares in messages: they are integers in parts of 1/Scale.
	Scale = 50_000
)

// Demand is what one entry was asked for a workspace, as a share of its quota a second.
type Demand struct {
	_         struct{} `cbor:",toarray"`
	Workspace uint32
	// Share is what it needs, and Load what it was asked in the last seconds.
	Share, Load int
}

// Report is what an entry was asked lately.
type Report struct {
	// At is when the entry sent the report, in milliseconds of its own steady clock.
	At int64 `cbor:"1,keyasint"`
	// Applied is the Serial of the last grants that the entry has applied.
	Applied uint64 `cbor:"2,keyasint,omitempty"`
	// Demands holds the workspaces that were asked for.
	Demands []Demand `cbor:"3,keyasint,omitempty"`
}

// Grant is an entry's part of a sidecar's portion of a quota.
type Grant struct {
	_         struct{} `cbor:",toarray"`
	Workspace uint32
	Share     int
	// Load is what all entries were asked in the last seconds, as a share of the quota.
	Load int
}

// Grants answer a report.
type Grants struct {
	// At is that of the report.
	At int64 `cbor:"1,keyasint"`
	// Serial increases with the grants to one entry.
	Serial uint64 `cbor:"2,keyasint"`
	// Even is the part of every workspace that is not in List.
	Even int `cbor:"3,keyasint"`
	// List holds the workspaces with demand at any entry.
	List []Grant `cbor:"4,keyasint,omitempty"`
}

// entry is an entry that has reported.
type entry struct {
	// reportedAt is when its last report arrived, and reportAt the At of that.
	reportedAt time.Time
	reportAt   int64
	// serial is that of the last grants. It starts at random, so that an entry that has applied those
	// of an earlier process confirms none of this one.
	serial uint64
}

// account is an entry's part of a workspace's quota.
type account struct {
	demand, load float64
	// granted was granted last, with the given serial if it has changed then.
	granted float64
	serial  uint64
	// outstanding is the largest part that the entry may still use.
	outstanding float64
}

// workspace is what is known of one workspace's quota.
type workspace struct {
	// accounts holds the entries with another part than the even one, by their IDs.
	accounts map[uint64]*account
	// demand, load and outstanding are the sums over accounts.
	demand, load, outstanding float64
	// demandedAt is when there was last demand.
	demandedAt time.Time
}

// Granter holds what one sidecar has granted. It is safe for concurrent use.
type Granter struct {
	clock timekeeper.Clock
	// startedAt is when the granter started. What an earlier one has granted may be in use until
	// lapseTime after it.
	startedAt time.Time

	// mu guards the fields below.
	mu         sync.Mutex
	entries    map[uint64]*entry
	workspaces map[uint32]*workspace
	sweptAt    time.Time
	// heard is how many entries had reported lately at sweptAt.
	heard int
}

// New returns a granter that has granted nothing.
func New(clock timekeeper.Clock) *Granter {
	return &Granter{clock: clock, startedAt: clock.Now(), entries: make(map[uint64]*entry), workspaces: make(map[uint32]*workspace)}
}

// Receive records the report of the entry with an ID.
func (g *Granter) Receive(id uint64, report Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.sweep(now)
	e := g.entries[id]
	if e == nil {
		e = &entry{serial: uint64(rand.Uint32())}
		g.entries[id] = e
	}
	e.reportedAt, e.reportAt = now, report.At
	demands := make(map[uint32]Demand, len(report.Demands))
	for _, d := range report.Demands {
		demands[d.Workspace] = d
		if g.workspaces[d.Workspace] == nil {
			g.workspaces[d.Workspace] = &workspace{accounts: make(map[uint64]*account)}
		}
	}
	for key, w := range g.workspaces {
		demand, load := float64(max(0, demands[key].Share))/Scale, float64(max(0, demands[key].Load))/Scale
		if demand > 0 {
			w.demandedAt = now
		}
		a := w.accounts[id]
		if a == nil {
			if demand <= 0 {
				continue
			}
			a = g.open(w, id)
		}
		w.load += load - a.load
		a.load = load
		outstanding := a.outstanding
		if report.Applied >= a.serial && report.Applied <= e.serial {
			outstanding = a.granted
		}
		w.set(a, demand, outstanding)
	}
}

// open adds the account of an entry that had the even part so far. The caller holds mu.
func (g *Granter) open(w *workspace, id uint64) *account {
	a := &account{granted: g.even()}
	w.accounts[id] = a
	w.set(a, 0, a.granted)
	return a
}

// set changes an account and the sums.
func (w *workspace) set(a *account, demand, outstanding float64) {
	w.demand += demand - a.demand
	w.outstanding += outstanding - a.outstanding
	a.demand, a.outstanding = demand, outstanding
}

// even returns the even part. The caller holds mu.
func (g *Granter) even() float64 { return 1 / float64(max(1, len(g.entries))) }

// Grants returns what the entry with an ID is granted, nil if nothing may be granted yet.
func (g *Granter) Grants(id uint64) *Grants {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	e := g.entries[id]
	if e == nil || now.Sub(g.startedAt) < lapseTime {
		return nil
	}
	g.sweep(now)
	even := g.even()
	e.serial++
	// Entries that do not report are taken to be asked as much as those that do.
	unheard := float64(len(g.entries)) / float64(max(1, g.heard))
	grants := &Grants{At: e.reportAt, Serial: e.serial, Even: int(even * Scale)}
	for key, w := range g.workspaces {
		a := w.accounts[id]
		if a == nil {
			a = g.open(w, id)
		}
		others := w.outstanding - a.outstanding + even*float64(len(g.entries)-len(w.accounts))
		next := math.Floor(max(0, min(w.target(a, even), 1-others))*Scale) / Scale
		if next > a.granted || a.granted > 1-others || a.granted-next > steadiness*a.granted {
			a.granted, a.serial = next, e.serial
			w.set(a, a.demand, max(a.outstanding, next))
		}
		grants.List = append(grants.List, Grant{Workspace: key, Share: int(a.granted*Scale + 0.001), Load: int(math.Ceil(w.load * unheard * Scale))})
	}
	return grants
}

// target returns the part that an account is to have: by demand, and an even part of what is left.
func (w *workspace) target(a *account, even float64) float64 {
	if w.demand <= 0 {
		return even
	}
	evenly := max(minEvenPortion, evenRemainder*(1-w.demand))
	return evenly*even + (1-evenly)*wantedTotal*a.demand/w.demand
}

// sweep ages entries and workspaces, once in a while. The caller holds mu.
func (g *Granter) sweep(now time.Time) {
	if now.Sub(g.sweptAt) < sweepInterval {
		return
	}
	g.sweptAt = now
	g.heard = 0
	for id, e := range g.entries {
		switch silence := now.Sub(e.reportedAt); {
		case silence >= fleetMemory:
			delete(g.entries, id)
		case silence < silentTime:
			g.heard++
		}
	}
	even := g.even()
	for key, w := range g.workspaces {
		if now.Sub(w.demandedAt) >= idleTime {
			delete(g.workspaces, key)
			continue
		}
		w.demand, w.load, w.outstanding = 0, 0, 0
		for id, a := range w.accounts {
			silence := fleetMemory
			if e := g.entries[id]; e != nil {
				silence = now.Sub(e.reportedAt)
			}
			switch {
			case silence >= lapseTime:
				delete(w.accounts, id)
				continue
			case silence >= silentTime:
				a.demand, a.load, a.outstanding = 0, 0, max(a.outstanding, even)
			}
			w.demand += a.demand
			w.load += a.load
			w.outstanding += a.outstanding
		}
	}
}
