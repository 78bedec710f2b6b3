package soaker

import (
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/generator"
	"github.com/cyclamenward/cyclamenward/internal/standin/launcher"
	"github.com/cyclamenward/cyclamenward/internal/standin/worker"
)

// standardTime is the default duration of the faults.
const standardTime = 40 * time.Second

const (
	// herdPercent is the share of the daemons that are killed at once.
	herdPercent = 55
	// burstPercent is the request rate of a burst in percent of the nominal one.
	burstPercent = 170
)

// profiles are the fault profiles of standard deployments. A seed selects one by its remainder.
var profiles = []plan{
	{name: "rolling", faults: slices.Concat(rolls, []fault{{weight: 1, strike: (*Soak).configure}, {weight: 1, strike: (*Soak).wantWeights}}), minPause: 8000, maxPause: 12000},
	{name: "herd", faults: []fault{{weight: 1, strike: (*Soak).killHerd}, {weight: 1, strike: (*Soak).wantWeights}, {weight: 1, strike: (*Soak).burst, shortest: 2000, longest: 4000}}, minPause: 1500, maxPause: 5000},
	{name: "replicas", faults: replicaFaults, minPause: 300, maxPause: 2500},
	{name: "mixed", faults: slices.Concat(replicaFaults, planned, unplanned), minPause: 50, maxPause: 900},
	{name: "sparse", faults: slices.Concat(replicaFaults, planned, rolls), minPause: 3000, maxPause: 7000},
	{name: "changes", faults: slices.Concat(rolls, []fault{{weight: 4, strike: (*Soak).configure}, {weight: 4, strike: (*Soak).growConfiguration}, {weight: 2, strike: (*Soak).reloadAll}}), minPause: 200, maxPause: 1500},
	{name: "outages", faults: slices.Concat(rolls, []fault{{weight: 4, strike: (*Soak).failPlain, shortest: 3000, longest: 12000}, {weight: 4, strike: (*Soak).failModels, shortest: 3000, longest: 12000}, {weight: 3, strike: (*Soak).killHerd}, {weight: 1, strike: (*Soak).burst, shortest: 2000, longest: 4000}}), minPause: 500, maxPause: 3000},
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

// playStandard plays a fault profile on a deployment of the size, the routes and the rates of the users'
// sheets.
func playStandard(d *deployment, quiet bool) error {
	t, duration := d.startTraffic(standardKinds, d.options.Seed), cmp.Or(d.options.Time, standardTime)
	defer t.close()
	if quiet {
		<-time.After(duration)
		return nil
	}
	s := newSoak(d, profiles[d.options.Seed%uint64(len(profiles))], io.Discard)
	s.traffic = t
	return s.strike(duration)
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

// addedRoutes is the number of routes without traffic that a configuration adds, maxUnusedRoutes their
// maximum.
const addedRoutes, maxUnusedRoutes = 350, 1400

// growConfiguration writes a configuration with addedRoutes more routes.
func (s *Soak) growConfiguration() func() {
	s.deployment.mu.Lock()
	s.deployment.unusedRoutes = min(maxUnusedRoutes, s.deployment.unusedRoutes+addedRoutes)
	s.deployment.mu.Unlock()
	return s.configure()
}

// killHerd kills herdPercent of all daemons at once.
func (s *Soak) killHerd() func() {
	for _, daemon := range s.deployment.daemons() {
		if s.random.IntN(100) < herdPercent {
			daemon.Kill()
		}
	}
	return nil
}

// burst raises the request rate for a while.
func (s *Soak) burst() func() {
	return s.begin("traffic", "BURST", true, func() { s.traffic.percent.Store(burstPercent) }, func() { s.traffic.percent.Store(100) })
}

// turnGrey has a replica of the plain service fail part of its requests for a while.
func (s *Soak) turnGrey() func() {
	list := s.deployment.staying()
	w, behaviour := list[s.random.IntN(len(list))], []worker.Behaviour{worker.Hangs, worker.Fails, worker.Rejects, worker.DropsAfter, worker.DropsBefore}[s.random.IntN(5)]
	return s.behave(w, behaviour)
}

// failPlain has all replicas of the plain service fail in one way for a while, failModels all model
// replicas.
func (s *Soak) failPlain() func() {
	behaviour := []worker.Behaviour{worker.Fails, worker.Rejects, worker.DropsAfter, worker.DropsBefore, worker.AnswersLate}[s.random.IntN(5)]
	set := func(b worker.Behaviour) {
		for _, w := range s.deployment.staying() {
			w.SetBehaviour(b)
		}
	}
	return s.begin(plainService, "SERVICE "+behaviour.String(), true, func() { set(behaviour) }, func() { set(worker.Behaves) })
}

func (s *Soak) failModels() func() {
	trouble := generator.Trouble(1 + s.random.IntN(int(generator.Troubles)-1))
	set := func(t generator.Trouble) {
		for _, g := range s.deployment.generators {
			g.SetTrouble(t)
		}
	}
	return s.begin(modelService, "SERVICE "+trouble.String(), false, func() { set(trouble) }, func() { set(generator.NoTrouble) })
}

// entryTTL is the time after which the entry of a crashed replica expires.
const entryTTL = 3600 * time.Millisecond

// crashReplica crashes a replica of the plain service. Another one joins.
func (s *Soak) crashReplica() func() {
	list := s.deployment.staying()
	if len(list) < s.deployment.options.Workers {
		return s.join()
	}
	w := list[s.random.IntN(len(list))]
	s.deployment.history.Disturb(w.ID(), "REPLICA CRASH", false)
	joins := s.milliseconds(300, 3000)
	s.tasks.Go(func() {
		w.Crash(entryTTL)
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

// restartGenerators crashes several model replicas at once.
func (s *Soak) restartGenerators() func() {
	for range 1 + s.random.IntN(len(s.deployment.generators)/2) {
		s.restartGenerator()
	}
	return nil
}
