package gauger

import (
	"math"
	"sync"
	"time"
)

// Shared is what the sidecar of a replica reports about its speed.
type Shared struct {
	// SlownessPercent is the slowness that it has learnt from the evidence of all entries, 100 if
	// the replica is as fast as its service; 0 if nothing is known.
	SlownessPercent int `cbor:"1,keyasint,omitempty"`
	// LoadPercent is how long work takes on the host, 100 as usual, as the replica has last
	// reported it LoadAge ago; 0 if it has not.
	LoadPercent int           `cbor:"2,keyasint,omitempty"`
	LoadAge     time.Duration `cbor:"3,keyasint,omitempty"`
}

// sharedTTL is how long what a sidecar has learnt is used after its last report: several of the
// longest report intervals. After that the own answers count.
const sharedTTL = 3 * time.Second

// Gauge estimates the slowness of one start of a replica for one daemon. It is safe for
// concurrent use; its zero value is ready.
type Gauge struct {
	// mu guards the fields below.
	mu sync.Mutex
	// own is learnt from this daemon's answers, evidence sums them up for the sidecar.
	own      estimate
	evidence Evidence
	// shared is the slowness that the sidecar has reported at sharedAt.
	shared   float64
	sharedAt time.Time
	load     loadTrack
}

// Slowness is how long work is expected to take on a replica, as a multiple of what its service
// takes: Now for work that begins and ends at once, Lasting for work over a longer time, such as a
// queue, in which the load of the host changes.
type Slowness struct{ Now, Lasting float64 }

// Usual is the slowness of a replica that is as fast as its service.
var Usual = Slowness{Now: 1, Lasting: 1}

// Slowness returns how long work is expected to take on the replica.
func (g *Gauge) Slowness(now time.Time) Slowness {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := g.slowness(now)
	return Slowness{Now: own * g.load.expected(now), Lasting: own * g.load.lasting(now)}
}

// slowness returns the replica's own slowness. The caller holds mu.
func (g *Gauge) slowness(now time.Time) float64 {
	if g.isShared(now) {
		return g.shared
	}
	return math.Exp(g.own.at(now))
}

// isShared reports whether the sidecar has reported a slowness lately. The caller holds mu.
func (g *Gauge) isShared(now time.Time) bool { return g.shared > 0 && now.Sub(g.sharedAt) < sharedTTL }

// RecordAnswer records how long an answer took that was expected with Slowness.
func (g *Gauge) RecordAnswer(took, expected time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := evidenceOf(took, expected)
	g.evidence.Answers += e.Answers
	g.evidence.LogMilli += e.LogMilli
	if g.isShared(now) {
		g.own.logSlowness, g.own.answeredAt = math.Log(g.shared), now
	}
	g.own.add(e, now)
}

// RecordLoad records the load that an answer of the replica names at a time, in percent.
func (g *Gauge) RecordLoad(percent int, at time.Time) {
	if percent <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.load.add(float64(percent)/100, at)
}

// RecordShared records what the replica's sidecar reports.
func (g *Gauge) RecordShared(shared Shared, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if shared.LoadPercent > 0 {
		g.load.add(float64(shared.LoadPercent)/100, now.Add(-shared.LoadAge))
	}
	if shared.SlownessPercent <= 0 {
		return
	}
	g.shared, g.sharedAt = min(math.Exp(maxLogSlowness), max(math.Exp(-maxLogSlowness), float64(shared.SlownessPercent)/100)), now
}

// Evidence returns the sum of this daemon's answers.
func (g *Gauge) Evidence() Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evidence
}
