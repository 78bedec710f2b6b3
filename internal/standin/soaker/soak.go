package soaker

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/checker"
	"github.com/cyclamenward/cyclamenward/internal/standin/storekeeper"
	"github.com/cyclamenward/cyclamenward/internal/standin/worker"
)

// Plan is what a seed plays.
type plan struct {
	name                       string
	edges, workers, generators int
	plainCallers               int
	streamCallers              int
	faults                     []fault
	// minPause and maxPause bound the pause between two faults in milliseconds, 0 for the defaults.
	minPause, maxPause int
	// linked puts relays on the links of callers and replicas.
	linked bool
	// herd is set if most replicas fail all the while, and edges are killed one after the other.
	herd bool
}

// plans are played in turn by the seeds.
var plans = []plan{
	{name: "mixed", edges: 3, workers: 8, generators: 3, plainCallers: 12, streamCallers: 6, faults: append(slices.Clone(planned), unplanned...)},
	{name: "planned", edges: 3, workers: 8, generators: 3, plainCallers: 12, streamCallers: 6, faults: planned},
	{name: "herd", edges: 10, workers: 8, plainCallers: 2, herd: true},
	{name: "unplanned", edges: 4, workers: 6, generators: 4, plainCallers: 8, streamCallers: 8, faults: unplanned},
	{name: "links", edges: 3, workers: 6, generators: 3, plainCallers: 10, streamCallers: 6, faults: links, linked: true},
}

const (
	// progressInterval is the interval of the lines on the progress.
	progressInterval = 10 * time.Second
	// The pause between two faults, in milliseconds.
	minFaultPause, maxFaultPause         = 50, 900
	minHerdPause, maxHerdPause           = 100, 200
	settleTime                           = 2 * time.Second
	recoveryTimeout, leastAnsweredInMany = 20 * time.Second, 10
)

// Soak plays drawn faults of one seed on a deployment.
type Soak struct {
	deployment *deployment
	plan       plan
	random     *rand.Rand
	out        io.Writer
	stop       chan struct{}
	tasks      sync.WaitGroup
	// traffic is nil if callers send requests in a closed loop instead.
	traffic *traffic
}

// SoakOptions say what to play.
type SoakOptions struct {
	Seed    uint64
	Time    time.Duration
	Folder  string
	Program string
	Out     io.Writer
}

// PlaySoak plays one seed and returns the broken promises.
func PlaySoak(options SoakOptions) ([]string, error) {
	p := plans[options.Seed%uint64(len(plans))]
	bounds := checker.DefaultBounds()
	// A shorter grace time lets planned ends cut what lasts too long within a short play.
	bounds.Grace = 5 * time.Second
	d, err := newDeployment(Options{Folder: options.Folder, Program: options.Program, Bounds: bounds, Edges: p.edges, Workers: p.workers, Generators: p.generators, PageItems: storekeeper.DefaultPageItems, Linked: p.linked, Seed: options.Seed})
	if err != nil {
		return nil, err
	}
	defer d.close()
	s := newSoak(d, p, options.Out)
	s.print("seed %d, plan %s", options.Seed, p.name)
	s.callers(options.Seed)
	s.disturb(options.Time)
	broken := s.recover()
	close(s.stop)
	s.tasks.Wait()
	broken = append(broken, d.broken()...)
	summary := d.history.Summary()
	if summary.Answered < summary.Requests/leastAnsweredInMany {
		broken = append(broken, fmt.Sprintf("SERVED: %d of %d requests are answered", summary.Answered, summary.Requests))
	}
	summarize(s.out, summary)
	return broken, nil
}

// newSoak returns a soak of a plan on a deployment, whose seed draws the faults.
func newSoak(d *deployment, p plan, out io.Writer) *Soak {
	return &Soak{deployment: d, plan: p, random: rand.New(rand.NewPCG(d.options.Seed, 0)), out: out, stop: make(chan struct{})}
}

// strike plays faults for a time. It returns an error if the edges do not recover.
func (s *Soak) strike(duration time.Duration) error {
	s.disturb(duration)
	broken := s.recover()
	s.tasks.Wait()
	if len(broken) > 0 {
		return errors.New(strings.Join(broken, "; "))
	}
	return nil
}

func (s *Soak) print(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.out, format+"\n", arguments...)
}

// summarize prints what was played.
func summarize(out io.Writer, summary checker.Summary) {
	var faults []string
	for fault, count := range summary.Faults {
		faults = append(faults, fmt.Sprintf("%s %d", fault, count))
	}
	slices.Sort(faults)
	for _, cut := range slices.Sorted(maps.Keys(summary.Cuts)) {
		_, _ = fmt.Fprintf(out, "cut: %d %s\n", summary.Cuts[cut], cut)
	}
	_, _ = fmt.Fprintf(out, "%d requests: %d answered, %d refused, %d cut; %d repeats; %d resumptions, %d orders, %d cached parts used\nof the bounds on repeats: %s\nstruck: %s\n",
		summary.Requests, summary.Answered, summary.Refused, summary.Cut, summary.Repeats, summary.Resumptions, summary.Orders, summary.CacheUses, summary.Budget, strings.Join(faults, ", "))
}

// callers starts the callers.
func (s *Soak) callers(seed uint64) {
	start := func(name string, draw func(*caller) (checker.Request, string), fresh bool) {
		c := &caller{deployment: s.deployment, name: name, random: rand.New(rand.NewPCG(seed, uint64(len(name))<<32+uint64(name[len(name)-1]))), draw: draw, fresh: fresh}
		s.tasks.Go(func() { c.call(s.stop) })
	}
	for i := range s.plan.plainCallers {
		start(fmt.Sprintf("p%02d", i), drawPlain, s.plan.herd || i%4 == 3)
	}
	for i := range s.plan.streamCallers {
		start(fmt.Sprintf("s%02d", i), drawStream, i%2 == 1)
	}
	if !s.plan.herd {
		start("v00", drawVersioned, false)
	}
}

// disturb plays faults for a time. They overlap.
func (s *Soak) disturb(duration time.Duration) {
	end, progress := time.After(duration), time.NewTicker(progressInterval)
	defer progress.Stop()
	if s.plan.herd {
		for i, w := range s.deployment.staying() {
			if i%3 != 2 {
				w.SetBehaviour([]worker.Behaviour{worker.Rejects, worker.DropsBefore}[i%3])
			}
		}
	}
	var ends sync.WaitGroup
	defer ends.Wait()
	for n := 0; ; n++ {
		pause := s.milliseconds(cmp.Or(s.plan.minPause, minFaultPause), cmp.Or(s.plan.maxPause, maxFaultPause))
		if s.plan.herd {
			pause = s.milliseconds(minHerdPause, maxHerdPause)
		}
		for waiting := time.After(pause); waiting != nil; {
			select {
			case <-end:
				return
			case <-progress.C:
				s.print("  %d broken promises, %d requests", len(s.deployment.history.Check()), s.deployment.history.Summary().Requests)
			case <-waiting:
				waiting = nil
			}
		}
		if s.plan.herd {
			s.deployment.edges[n%len(s.deployment.edges)].Kill()
			continue
		}
		f := s.drawFault(s.plan.faults)
		if finish := f.strike(s); finish != nil {
			lasts := s.milliseconds(f.shortest, f.longest)
			ends.Go(func() {
				<-time.After(lasts)
				finish()
			})
		}
	}
}

// recover waits until all edges are ready again, and lets the callers go on for a while.
func (s *Soak) recover() (broken []string) {
	for _, w := range s.deployment.staying() {
		w.SetBehaviour(worker.Behaves)
	}
	for _, edge := range s.deployment.edges {
		if err := edge.AwaitReady(recoveryTimeout); err != nil {
			broken = append(broken, "RECOVER: "+err.Error())
		}
	}
	<-time.After(settleTime)
	return broken
}
