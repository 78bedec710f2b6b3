package orderer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/weights/orderer"
	"github.com/cyclamenward/cyclamenward/internal/weights/scheduler"
	"gotest.tools/v3/assert"
)

const (
	// successionTimeout is how long requests may begin on superseded weights.
	successionTimeout = 15 * time.Second
	// successionStep is the interval of observations.
	successionStep = 20 * time.Millisecond
	// partitionTime is how much later sidecars hear of versions that are cut off. The bound counts
	// from then.
	partitionTime = 2500 * time.Millisecond
	// mostLoading is how many of 43 replicas may load at once, a fifth.
	mostLoading = 9
)

// succession plays four versions within eleven seconds for 43 replicas.
type succession struct {
	bursts bool
	// lostOrders is the share of orders that get no answer, late the share of sidecars that are
	// cut off when versions are named.
	lostOrders, late float64
	// restarts is how many replicas restart with their old weights, one every 1.1 s.
	restarts int
	// storm names sixteen versions, one a second, in place of the four.
	storm  bool
	decide func(scheduler.Rollout) orderer.Decision
}

// play returns the number of loads and which bound was not kept, "" if all were.
func (s succession) play() (loads int, broken string) {
	f := newFleet(43, s.lostOrders)
	random := rand.New(rand.NewPCG(5, 48))
	delays := make([]time.Duration, len(f.engines))
	for i, e := range f.engines {
		// So many running requests delay a load by the longest time.
		e.setLoad(1100*time.Millisecond, 10)
		if random.Float64() < s.late {
			delays[i] = partitionTime
		}
	}
	bound := successionTimeout
	if s.late > 0 {
		bound += partitionTime
	}
	f.setDecide(func(i int, queue orderer.LoadQueue, current int) orderer.Decision {
		f.mu.Lock()
		defer f.mu.Unlock()
		r := scheduler.Rollout{Current: current, OldWeightsTimeout: successionTimeout}
		r.Index, r.Size = queue.Place()
		for j, at := range f.wantedAt {
			if age := time.Since(at) - delays[i]; age >= 0 {
				r.Namings = append(r.Namings, scheduler.Naming{Version: j + 2, Age: age})
				if j+1 == current {
					r.SinceSuperseded = age
				}
			}
		}
		return s.decide(r)
	})
	started := time.Now()
	namings := []time.Duration{2 * time.Second, 5 * time.Second, 9 * time.Second, 13 * time.Second}
	if s.storm {
		namings = nil
		for i := range 16 {
			namings = append(namings, time.Duration(i+1)*time.Second)
		}
	}
	for step := 0; time.Since(started) < 30*time.Second; step++ {
		now := time.Since(started)
		if len(namings) > 0 && now >= namings[0] {
			f.wantNextVersion()
			namings = namings[1:]
		}
		f.hasBacklog.Store(s.bursts && (now > 4600*time.Millisecond && now < 10400*time.Millisecond || now > 13*time.Second && now < 16800*time.Millisecond))
		if step%55 == 54 && step/55 < s.restarts {
			f.engines[random.IntN(len(f.engines))].restart()
		}
		<-time.After(successionStep)
		version, loading := f.oldestVersion()
		switch {
		case loading > mostLoading:
			broken = fmt.Sprintf("%d replicas load at once", loading)
		case version <= len(f.wantedAt) && time.Since(f.wantedAt[version-1]) > bound:
			broken = fmt.Sprintf("version %d was superseded %v ago", version, time.Since(f.wantedAt[version-1]))
		}
	}
	if version, _ := f.oldestVersion(); version < f.wanted.Version {
		broken = fmt.Sprintf("version %d is served at the end", version)
	}
	f.close()
	// Orders that are late end.
	<-time.After(20 * time.Second)
	for _, e := range f.engines {
		loads += len(e.loadedVersions)
	}
	return loads, broken
}

// restart makes the replica unreachable for 2 s.
func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishLoad()
	e.unreachable, e.loadingVersion = true, 0
	time.AfterFunc(2*time.Second, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.unreachable, e.sequence, e.fencingToken = false, 0, 0
		e.incarnation++
	})
}

// TestFourVersionsInElevenSeconds answers versions in quick succession, with and without bursts and
// faults: few replicas load at any time, all are in time, and versions are skipped.
func TestFourVersionsInElevenSeconds(t *testing.T) {
	for name, s := range map[string]succession{
		"calm": {}, "bursts": {bursts: true}, "lost orders": {lostOrders: 0.5}, "restarts": {restarts: 12}, "partition": {late: 0.33}, "storm": {storm: true},
		"all": {bursts: true, lostOrders: 0.5, restarts: 12, late: 0.33},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s.decide = scheduler.Rollout.Decide
				loads, broken := s.play()
				assert.Equal(t, broken, "")
				assert.Assert(t, loads <= 43*5/2, "%d loads, of 172 without skips", loads)
			})
		})
	}
}

// TestBrokenTurnsAreCaught plays schedules without turns and with turns that come too late.
func TestBrokenTurnsAreCaught(t *testing.T) {
	for name, decide := range map[string]func(scheduler.Rollout) orderer.Decision{
		"none": func(scheduler.Rollout) orderer.Decision { return orderer.Load },
		"late": func(r scheduler.Rollout) orderer.Decision { r.OldWeightsTimeout *= 2; return r.Decide() },
	} {
		synctest.Test(t, func(t *testing.T) {
			_, broken := succession{decide: decide}.play()
			assert.Assert(t, broken != "", "not caught: %s", name)
		})
	}
}
