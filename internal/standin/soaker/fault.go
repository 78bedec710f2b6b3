package soaker

import (
	"fmt"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/checker"
	"github.com/cyclamenward/cyclamenward/internal/standin/generator"
	"github.com/cyclamenward/cyclamenward/internal/standin/launcher"
	"github.com/cyclamenward/cyclamenward/internal/standin/relayer"
	"github.com/cyclamenward/cyclamenward/internal/standin/storekeeper"
	"github.com/cyclamenward/cyclamenward/internal/standin/worker"
)

// fault is one kind of fault. Its strike returns a function that ends it, or nil.
type fault struct {
	weight int
	strike func(s *Soak) (end func())
	// shortest and longest bound how long it lasts, in milliseconds.
	shortest, longest int
}

// planned holds the faults that excuse no loss.
var planned = []fault{
	{weight: 4, strike: func(s *Soak) func() { s.drawDaemon().Terminate(); return nil }},
	{weight: 1, strike: func(s *Soak) func() { s.drawDaemon().Reload(); return nil }},
	{weight: 4, strike: (*Soak).configure},
	{weight: 2, strike: (*Soak).wantWeights},
	{weight: 2, strike: (*Soak).join},
	{weight: 2, strike: (*Soak).leave},
	{weight: 4, strike: (*Soak).misbehave, shortest: 500, longest: 4000},
	{weight: 2, strike: (*Soak).trouble, shortest: 500, longest: 4000},
}

// unplanned holds faults of machines, links, model replicas and the store.
var unplanned = []fault{
	{weight: 3, strike: func(s *Soak) func() { s.drawDaemon().Kill(); return nil }},
	{weight: 3, strike: func(s *Soak) func() { return s.drawDaemon().Pause() }, shortest: 100, longest: 2500},
	{weight: 1, strike: (*Soak).killEdges},
	{weight: 3, strike: (*Soak).failStore, shortest: 100, longest: 3000},
	{weight: 1, strike: (*Soak).cutWatches, shortest: 1000, longest: 5000},
	{weight: 1, strike: (*Soak).dropHistory},
	{weight: 3, strike: (*Soak).harmStoreLink, shortest: 200, longest: 5000},
	{weight: 2, strike: (*Soak).restartGenerator},
}

// links holds faults of links.
var links = []fault{
	{weight: 2, strike: (*Soak).harmStoreLink, shortest: 200, longest: 5000},
	{weight: 2, strike: (*Soak).harmCallerLink, shortest: 200, longest: 3000},
	{weight: 4, strike: (*Soak).harmReplicaLink, shortest: 200, longest: 3000},
	{weight: 1, strike: (*Soak).configure},
	{weight: 1, strike: (*Soak).wantWeights},
	{weight: 1, strike: (*Soak).join},
	{weight: 1, strike: (*Soak).leave},
	{weight: 1, strike: func(s *Soak) func() { s.drawDaemon().Terminate(); return nil }},
}

func (s *Soak) drawDaemon() *launcher.Daemon {
	list := s.deployment.daemons()
	return list[s.random.IntN(len(list))]
}

func (s *Soak) configure() func() {
	if err := s.deployment.configure(); err == nil {
		s.deployment.history.Disturb("configuration", "CONFIGURATION", true)()
	}
	return nil
}

func (s *Soak) wantWeights() func() {
	if err := s.deployment.wantWeights(); err == nil && len(s.deployment.generators) > 0 {
		s.deployment.history.Disturb("weights", "WEIGHTS", true)()
	}
	return nil
}

func (s *Soak) join() func() {
	if w, err := s.deployment.join(); err == nil {
		s.deployment.history.Disturb(w.ID(), "JOIN", true)()
	}
	return nil
}

// leave has a replica of the plain service go, unless too few would stay.
func (s *Soak) leave() func() {
	list := s.deployment.staying()
	if len(list) <= s.deployment.options.Workers/2 {
		return s.join()
	}
	w, abrupt := list[s.random.IntN(len(list))], s.random.IntN(3) == 0
	s.deployment.leave(w, abrupt, s.milliseconds(4000, 20000))
	s.deployment.history.Disturb(w.ID(), "LEAVE", true)()
	return nil
}

// misbehave has a replica of the plain service misbehave for a while.
func (s *Soak) misbehave() func() {
	list := s.deployment.staying()
	return s.behave(list[s.random.IntN(len(list))], worker.Behaviour(1+s.random.IntN(int(worker.Behaviours)-1)))
}

// behave sets what a replica of the plain service does, and returns what ends it.
func (s *Soak) behave(w *worker.Worker, behaviour worker.Behaviour) func() {
	return s.begin(w.ID(), "REPLICA "+behaviour.String(), true, func() { w.SetBehaviour(behaviour) }, func() { w.SetBehaviour(worker.Behaves) })
}

// begin starts a fault of a target and returns what ends it.
func (s *Soak) begin(target, name string, planned bool, start, stop func()) (end func()) {
	recordEnd := s.deployment.history.Disturb(target, name, planned)
	start()
	return func() {
		stop()
		recordEnd()
	}
}

// trouble has a model replica misbehave for a while.
func (s *Soak) trouble() func() {
	if len(s.deployment.generators) == 0 {
		return nil
	}
	g, trouble := s.deployment.generators[s.random.IntN(len(s.deployment.generators))], generator.Trouble(1+s.random.IntN(int(generator.Troubles)-1))
	return s.begin(g.ID(), "MODEL REPLICA "+trouble.String(), false, func() { g.SetTrouble(trouble) }, func() { g.SetTrouble(generator.NoTrouble) })
}

// restartGenerator ends a model replica without a word and starts it again under its ID.
func (s *Soak) restartGenerator() func() {
	if len(s.deployment.generators) == 0 {
		return nil
	}
	g := s.deployment.generators[s.random.IntN(len(s.deployment.generators))]
	end := s.deployment.history.Disturb(g.ID(), checker.FaultCrash, false)
	if err := g.Restart(); err != nil {
		s.print("%v", err)
	}
	end()
	return nil
}

func (s *Soak) killEdges() func() {
	for _, edge := range s.deployment.edges {
		edge.Kill()
	}
	return nil
}

var outages = []storekeeper.Outage{storekeeper.Refuses, storekeeper.Hangs, storekeeper.Cuts}

func (s *Soak) failStore() func() {
	outage := s.random.IntN(len(outages))
	set := s.deployment.store.SetOutage
	return s.begin(checker.StoreTarget, "STORE "+[]string{"refuses", "hangs", "cuts"}[outage], false, func() { set(outages[outage]) }, func() { set(storekeeper.None) })
}

// cutWatches has the store cut waiting watches, which is no outage.
func (s *Soak) cutWatches() func() {
	end := s.deployment.history.Disturb("watches", "WATCHES CUT", true)
	s.deployment.store.CutWatches(s.milliseconds(300, 1500))
	return func() {
		s.deployment.store.CutWatches(0)
		end()
	}
}

func (s *Soak) dropHistory() func() {
	s.deployment.store.DropHistory()
	s.deployment.history.Disturb("history", "HISTORY DROPPED", true)()
	return nil
}

// harmStoreLink harms the link of a daemon to the store.
func (s *Soak) harmStoreLink() func() {
	name := s.drawDaemon().Name()
	return s.harmLink(storeLink(name), name, "STORE LINK ")
}

// harmCallerLink harms the link of callers to an edge. Connections that became silent end with the
// fault, so that each request that they cost falls into its time.
func (s *Soak) harmCallerLink() func() {
	name := s.deployment.edges[s.random.IntN(len(s.deployment.edges))].Name()
	end := s.harmLink(callerLink(name), name, "CALLER LINK ")
	return func() {
		relay := s.deployment.relay(callerLink(name))
		relay.SetFault(relayer.None)
		relay.ResetSilent()
		end()
	}
}

// harmReplicaLink harms the link of all daemons to a replica.
func (s *Soak) harmReplicaLink() func() {
	var ids []string
	for _, w := range s.deployment.staying() {
		ids = append(ids, w.ID())
	}
	for _, g := range s.deployment.generators {
		ids = append(ids, g.ID())
	}
	id := ids[s.random.IntN(len(ids))]
	return s.harmLink(replicaLink(id), checker.LinkTarget(id), "REPLICA LINK ")
}

// harmLink harms a link, as a disturbance of a target.
func (s *Soak) harmLink(link, target, name string) func() {
	fault, relay := relayer.Fault(1+s.random.IntN(int(relayer.Faults)-1)), s.deployment.relay(link)
	return s.begin(target, name+fault.String(), false, func() { relay.SetFault(fault) }, func() { relay.SetFault(relayer.None) })
}

// milliseconds draws a time.
func (s *Soak) milliseconds(from, to int) time.Duration {
	return time.Duration(from+s.random.IntN(to-from)) * time.Millisecond
}

// drawFault draws one of some faults by weight.
func (s *Soak) drawFault(faults []fault) fault {
	sum := 0
	for _, f := range faults {
		sum += f.weight
	}
	drawn := s.random.IntN(sum)
	for _, f := range faults {
		if drawn -= f.weight; drawn < 0 {
			return f
		}
	}
	panic(fmt.Sprint("no fault for ", drawn))
}
