package soaker

import (
	"cmp"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/generator"
	"github.com/cyclamenward/cyclamenward/internal/standin/launcher"
	"github.com/cyclamenward/cyclamenward/internal/standin/worker"
)

// standardTime is how long faults strike a standard deployment, unless a play says otherwise.
const standardTime = 40 * time.Second

// theme is what strikes a standard deployment: drawn faults with pauses between them, in milliseconds.
type theme struct {
	name               string
	faults             []fault
	minPause, maxPause int
}

const (
	// herdPercent is the share of the daemons that are killed at the same moment.
	herdPercent = 55
	// burstPercent is the rate of a burst, as a share of what is usual.
	burstPercent = 170
)

// themes are played in turn by the seeds.
var themes = []theme{
	{"rolling", slices.Concat(rolls, []fault{{weight: 1, strike: (*Soak).configure}, {weight: 1, strike: (*Soak).wantWeights}}), 8000, 12000},
	{"herd", []fault{{weight: 1, strike: (*Soak).killHerd}, {weight: 1, strike: (*Soak).wantWeights}, {weight: 1, strike: (*Soak).burst, shortest: 2000, longest: 4000}}, 1500, 5000},
	{"replicas", replicaFaults, 300, 2500},
	{"mixed", slices.Concat(replicaFaults, planned, unplanned), 50, 900},
	{"sparse", slices.Concat(replicaFaults, planned, rolls), 3000, 7000},
	{"changes", slices.Concat(rolls, []fault{{weight: 4, strike: (*Soak).configure}, {weight: 4, strike: (*Soak).growConfiguration}, {weight: 2, strike: (*Soak).reloadAll}}), 200, 1500},
	{"outages", slices.Concat(rolls, []fault{{weight: 4, strike: (*Soak).failPlain, shortest: 3000, longest: 12000}, {weight: 4, strike: (*Soak).failModels, shortest: 3000, longest: 12000}, {weight: 3, strike: (*Soak).killHerd}, {weight: 1, strike: (*Soak).burst, shortest: 2000, longest: 4000}}), 500, 3000},
}

// rolls holds planned stops of many machines.
var rolls = []fault{{weight: 3, strike: (*Soak).rollEdges}, {weight: 1, strike: (*Soak).rollSides}}

// replicaFaults holds faults of replicas, of both services.
var replicaFaults = []fault{
	{weight: 3, strike: (*Soak).turnGrey, shortest: 2000, longest: 7000},
	{weight: 2, strike: (*Soak).crashReplica},
	{weight: 2, strike: (*Soak).replaceReplicas},
	{weight: 2, strike: (*Soak).restartGenerators},
	{weight: 2, strike: (*Soak).trouble, shortest: 500, longest: 6000},
	{weight: 1, strike: (*Soak).wantWeights},
	{weight: 1, strike: (*Soak).burst, shortest: 2000, longest: 4000},
}

// playStandard plays the faults of a theme on a deployment of the size, the routes and the rates of the
// users' sheets.
func playStandard(d *deployment, quiet bool) error {
	t := theme{name: "quiet", faults: []fault{{weight: 1, strike: func(*Soak) func() { return nil }}}, minPause: 1000, maxPause: 2000}
	if !quiet {
		t = themes[d.options.Seed%uint64(len(themes))]
	}
	s := &Soak{deployment: d, random: rand.New(rand.NewPCG(d.options.Seed, 0)), out: io.Discard, stop: make(chan struct{})}
	s.plan = plan{name: t.name, faults: t.faults, minPause: t.minPause, maxPause: t.maxPause}
	s.traffic = d.startTraffic(standardKinds, d.options.Seed)
	s.disturb(cmp.Or(d.options.Time, standardTime))
	broken := s.recover()
	s.traffic.close()
	s.tasks.Wait()
	if len(broken) > 0 {
		return errors.New(strings.Join(broken, "; "))
	}
	return nil
}

// rollEdges stops all edges, rollSides half of the sides, one after the other.
func (s *Soak) rollEdges() func() { return s.roll(s.deployment.edges) }

func (s *Soak) rollSides() func() {
	return s.roll(s.deployment.sides[:len(s.deployment.sides)/2])
}

func (s *Soak) roll(daemons []*launcher.Daemon) func() {
	gap := s.milliseconds(200, 2000)
	s.tasks.Go(func() {
		for _, daemon := range daemons {
			daemon.Terminate()
			<-time.After(gap)
		}
	})
	return nil
}

// reloadAll sends SIGHUP to all daemons, one after the other.
func (s *Soak) reloadAll() func() {
	gap := s.milliseconds(10, 200)
	s.tasks.Go(func() {
		for _, daemon := range s.deployment.daemons() {
			daemon.Reload()
			<-time.After(gap)
		}
	})
	return nil
}

// grownRoutes is by how many routes a configuration grows at once, maxMoreRoutes the most that it has.
const grownRoutes, maxMoreRoutes = 350, 1400

// growConfiguration writes a configuration with many more routes.
func (s *Soak) growConfiguration() func() {
	s.deployment.mu.Lock()
	s.deployment.moreRoutes = min(maxMoreRoutes, s.deployment.moreRoutes+grownRoutes)
	s.deployment.mu.Unlock()
	return s.configure()
}

// killHerd kills a little more than half of all daemons at the same moment.
func (s *Soak) killHerd() func() {
	for _, daemon := range s.deployment.daemons() {
		if s.random.IntN(100) < herdPercent {
			daemon.Kill()
		}
	}
	return nil
}

// burst has more requests come for a while.
func (s *Soak) burst() func() {
	end := s.deployment.history.Disturb("traffic", "BURST", true)
	s.traffic.percent.Store(burstPercent)
	return func() {
		s.traffic.percent.Store(100)
		end()
	}
}

// turnGrey has a replica of the plain service fail or hang nearly half of the requests for a while.
func (s *Soak) turnGrey() func() {
	list := s.deployment.staying()
	w, behaviour := list[s.random.IntN(len(list))], []worker.Behaviour{worker.Hangs, worker.Fails, worker.Rejects, worker.DropsAfter, worker.DropsBefore}[s.random.IntN(5)]
	return s.behave(w, behaviour)
}

// failPlain has all replicas of the plain service fail in one way for a while, failModels all model
// replicas.
func (s *Soak) failPlain() func() {
	behaviour := []worker.Behaviour{worker.Fails, worker.Rejects, worker.DropsAfter, worker.DropsBefore, worker.AnswersLate}[s.random.IntN(5)]
	end := s.deployment.history.Disturb(plainService, "SERVICE "+behaviour.String(), true)
	set := func(b worker.Behaviour) {
		for _, w := range s.deployment.staying() {
			w.SetBehaviour(b)
		}
	}
	set(behaviour)
	return func() {
		set(worker.Behaves)
		end()
	}
}

func (s *Soak) failModels() func() {
	trouble := generator.Trouble(1 + s.random.IntN(int(generator.Troubles)-1))
	end := s.deployment.history.Disturb(modelService, "SERVICE "+trouble.String(), false)
	set := func(t generator.Trouble) {
		for _, g := range s.deployment.generators {
			g.SetTrouble(t)
		}
	}
	set(trouble)
	return func() {
		set(generator.NoTrouble)
		end()
	}
}

// missedHeartbeats is the time after which the entry of a replica that has crashed is gone.
const missedHeartbeats = 3600 * time.Millisecond

// crashReplica ends a replica of the plain service without a word. Another one joins.
func (s *Soak) crashReplica() func() {
	list := s.deployment.staying()
	if len(list) < s.deployment.options.Workers {
		return s.join()
	}
	w := list[s.random.IntN(len(list))]
	s.deployment.history.Disturb(w.ID(), "REPLICA CRASH", false)
	joins := s.milliseconds(300, 3000)
	s.tasks.Go(func() {
		w.Crash(missedHeartbeats)
		<-time.After(joins)
		s.join()
	})
	return nil
}

// replaceReplicas replaces all replicas of the plain service, one after the other.
func (s *Soak) replaceReplicas() func() {
	gap, serves := s.milliseconds(500, 1500), s.milliseconds(4000, 20000)
	s.tasks.Go(func() {
		for _, w := range s.deployment.staying() {
			s.join()
			<-time.After(gap)
			if w.Left() {
				continue
			}
			s.deployment.leave(w, false, serves)
			s.deployment.history.Disturb(w.ID(), "LEAVE", true)()
		}
	})
	return nil
}

// restartGenerators has several model replicas crash at the same moment.
func (s *Soak) restartGenerators() func() {
	for range 1 + s.random.IntN(len(s.deployment.generators)/2) {
		s.restartGenerator()
	}
	return nil
}
