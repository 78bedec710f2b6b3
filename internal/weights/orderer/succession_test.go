package orderer_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/internal/weights/orderer"
	"github.com/cyclamenward/cyclamenward/internal/weights/scheduler"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

const (
	// successionTimeout is how long requests may begin on superseded weights.
	successionTimeout = 15 * time.Second
	// successionBusy is the number of running requests that delays a load by the longest time.
	successionBusy = 10
	// mostOutOfService is how many of 43 replicas may load at once: loads slow each other beyond.
	mostOutOfService = 9
)

// succession is a service of 43 replicas for which versions are named in quick succession.
type succession struct {
	// namedAt holds when versions 2, 3 and so on are named.
	namedAt []time.Duration
	// bursts holds the times in which requests wait at every replica.
	bursts [][2]time.Duration
	// lostOrderShare is the share of orders that get no answer.
	lostOrderShare float64
	// partitioned is the share of the sidecars that hear of versions 2.5 s late.
	partitioned float64
	// restarts is how many replicas restart, one every 1.1 s, and are away for 2 s.
	restarts int
	// decide is what is tested.
	decide func(scheduler.Rollout) orderer.Decision
}

// successionResult is what was seen.
type successionResult struct {
	// mostLoading is the highest number of replicas that loaded at once, loads the number of loads.
	mostLoading, loads int
	// longestSuperseded is the longest time for which a reachable replica had superseded weights.
	longestSuperseded time.Duration
	// outdated is the number of replicas without the newest version at the end.
	outdated int
}

// check returns which bound was not kept, "" if all were.
func (r successionResult) check(mostLoading int) string {
	switch {
	case r.mostLoading > mostLoading:
		return fmt.Sprintf("%d replicas loaded at once", r.mostLoading)
	case r.longestSuperseded > successionTimeout:
		return fmt.Sprintf("a replica had superseded weights for %v", r.longestSuperseded)
	case r.outdated > 0:
		return fmt.Sprintf("%d replicas are outdated at the end", r.outdated)
	}
	return ""
}

// play plays 30 s.
func (s succession) play() (result successionResult) {
	const size, length, step = 43, 30 * time.Second, 20 * time.Millisecond
	started := time.Now()
	random := rand.New(rand.NewPCG(5, 48))
	var list []router.Descriptor
	for i := range size {
		list = append(list, router.Descriptor{ID: fmt.Sprint("i-", i), Service: "s", Address: fmt.Sprint(i), Zone: fmt.Sprint(i % 6)})
	}
	var engines []*engine
	var orderers []*orderer.Orderer
	for i := range size {
		e := &engine{loadTime: 1100 * time.Millisecond, running: successionBusy, lostOrderShare: s.lostOrderShare, random: rand.New(rand.NewPCG(1, uint64(i))), version: 1, incarnation: 1}
		engines = append(engines, e)
		queue, _ := orderer.NewLoadQueue(list, "s", fmt.Sprint(i))
		delay := time.Duration(0)
		if random.Float64() < s.partitioned {
			delay = 2500 * time.Millisecond
		}
		// namings returns what this sidecar has heard. The delay shifts what it knows of ages, too.
		namings := func() (heard []scheduler.Naming) {
			for j, at := range s.namedAt {
				if age := time.Since(started) - at - delay; age >= 0 {
					heard = append(heard, scheduler.Naming{Version: j + 2, Age: age})
				}
			}
			return heard
		}
		orderers = append(orderers, orderer.New(orderer.Dependencies{
			Replica: orderer.ReplicaClient{Report: e.report, SendOrder: e.sendOrder},
			WantedVersions: func() []orderer.WantedVersion {
				version := 1 + len(namings())
				return []orderer.WantedVersion{{Model: "m", Version: version, Revision: uint64(10 * version)}}
			},
			Token:    revisionToken,
			Informed: func() bool { return true },
			Decide: func(_ orderer.WantedVersion, current int) orderer.Decision {
				index, size := queue.Place()
				return s.decide(scheduler.Rollout{Index: index, Size: size, Namings: namings(), Current: current, OldWeightsTimeout: successionTimeout})
			},
			HasBacklog: func() bool {
				for _, burst := range s.bursts {
					if now := time.Since(started); now >= burst[0] && now < burst[1] {
						return true
					}
				}
				return false
			},
			StatusChanged: func() {}, Clock: timekeeper.System{}, Logger: log.New(io.Discard),
		}))
	}
	for i := range s.restarts {
		time.AfterFunc(time.Duration(i+1)*1100*time.Millisecond, func() { engines[random.IntN(size)].restart(2 * time.Second) })
	}
	for time.Since(started) < length {
		<-time.After(step)
		result.observe(engines, s.namedAt, time.Since(started))
	}
	for _, o := range orderers {
		o.Close()
	}
	// Late orders end.
	<-time.After(20 * time.Second)
	for _, e := range engines {
		result.loads += len(e.loadedVersions)
	}
	return result
}

// restart makes the replica unreachable for a time; it returns with the weights that it had.
func (e *engine) restart(away time.Duration) {
	e.mu.Lock()
	e.finishLoad()
	e.unreachable, e.loadingVersion = true, 0
	e.mu.Unlock()
	time.AfterFunc(away, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.unreachable, e.sequence, e.fencingToken = false, 0, 0
		e.incarnation++
	})
}

func (r *successionResult) observe(engines []*engine, namedAt []time.Duration, now time.Duration) {
	loading := 0
	r.outdated = 0
	for _, e := range engines {
		e.mu.Lock()
		e.finishLoad()
		version, unreachable := e.version, e.unreachable
		if e.loadingVersion > 0 {
			loading++
		}
		e.mu.Unlock()
		if unreachable || version > len(namedAt) {
			continue
		}
		r.outdated++
		r.longestSuperseded = max(r.longestSuperseded, now-namedAt[version-1])
	}
	r.mostLoading = max(r.mostLoading, loading)
}

// fourVersions are named within eleven seconds.
func fourVersions() succession {
	return succession{
		namedAt: []time.Duration{2 * time.Second, 5 * time.Second, 9 * time.Second, 13 * time.Second},
		decide:  scheduler.Rollout.Decide,
	}
}

// withBursts lets requests wait at every replica for most of the time.
func withBursts(s succession) succession {
	s.bursts = [][2]time.Duration{{4600 * time.Millisecond, 10400 * time.Millisecond}, {13 * time.Second, 16800 * time.Millisecond}}
	return s
}

// TestFourVersionsInElevenSeconds names four versions within 11 s, with and without bursts: few
// replicas load at any time, and each loads at most once a lap, so that versions are skipped.
func TestFourVersionsInElevenSeconds(t *testing.T) {
	for name, s := range map[string]succession{"calm": fourVersions(), "bursts": withBursts(fourVersions())} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				result := s.play()
				assert.Equal(t, result.check(mostOutOfService), "")
				assert.Assert(t, result.loads <= 2*43+9, "%d loads of 172 without skips", result.loads)
				t.Logf("%+v", result)
			})
		})
	}
}

// TestFourVersionsUnderFaults names the same versions while half of the orders are lost or late,
// replicas restart with their old weights, and a third of the sidecars hear of versions late.
func TestFourVersionsUnderFaults(t *testing.T) {
	for name, change := range map[string]func(*succession){
		"lost orders":     func(s *succession) { s.lostOrderShare = 0.5 },
		"restarts":        func(s *succession) { s.restarts = 12 },
		"partition":       func(s *succession) { s.partitioned = 0.33 },
		"all with bursts": func(s *succession) { s.lostOrderShare, s.restarts, s.partitioned, *s = 0.5, 12, 0.33, withBursts(*s) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := fourVersions()
				change(&s)
				result := s.play()
				assert.Equal(t, result.check(2*mostOutOfService), "")
				t.Logf("%+v", result)
			})
		})
	}
}

// TestBrokenTurnsAreCaught plays schedules without turns and with turns that come too late: the
// check of the tests above names both.
func TestBrokenTurnsAreCaught(t *testing.T) {
	for name, decide := range map[string]func(scheduler.Rollout) orderer.Decision{
		"replicas loaded at once":          func(scheduler.Rollout) orderer.Decision { return orderer.Load },
		"a replica had superseded weights": func(r scheduler.Rollout) orderer.Decision { r.OldWeightsTimeout *= 2; return r.Decide() },
	} {
		synctest.Test(t, func(t *testing.T) {
			s := fourVersions()
			s.decide = decide
			found := s.play().check(2 * mostOutOfService)
			assert.Assert(t, len(found) > 0, "not caught: %s", name)
			t.Log(name, ":", found)
		})
	}
}
