package soaker

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/checker"
	"github.com/cyclamenward/cyclamenward/internal/standin/storekeeper"
)

// Play says how a scenario is played.
type Play struct {
	Folder  string
	Program string
	Out     io.Writer
	// Quiet leaves the trouble out.
	Quiet bool
	// Seed draws what a scenario leaves open.
	Seed uint64
	// Time is the duration of a scenario of drawn faults, 0 for the default.
	Time time.Duration
}

// scenario is a deployment with what is done to it.
type scenario struct {
	options Options
	play    func(d *deployment, quiet bool) error
}

// scenarios holds the scenarios by name.
var scenarios = map[string]scenario{
	"silence":   {Options{Edges: 1, Generators: 2}, playSilence},
	"form":      {Options{Edges: 1, Workers: 3}, playForms},
	"garbled":   {Options{Edges: 2, Workers: 3, Places: 6}, playGarbled},
	"paged":     {Options{Edges: 1, Workers: 800}, playPages},
	"stalecopy": {Options{Edges: 5, Workers: 1200, Generators: 2}, playOlderCopies},
	"watchcut":  {Options{Edges: 2, Workers: 40}, playWatchCuts},
	"busy":      {Options{Edges: 5, Workers: 6, Generators: 4, Places: 6, Pause: 2 * time.Second}, playBusy},
	"troubled":  {Options{Edges: 5, Workers: 6, Generators: 4, Places: 6, Pause: 2 * time.Second}, playTroubled},
	"quotas":    {Options{Edges: 5, Workers: 6, Generators: 4, Quotas: hotQuotas, Invariants: []string{"quota", "pressure"}}, playQuotas},
	"standard":  {Options{Edges: 5, Workers: 3, Generators: 12, Places: 6, Slots: 64, FailurePercent: 3, Spread: true, Routes: standardRoutes}, playStandard},
	"crowded":   {Options{Edges: 40, Workers: 12, Generators: 80, Places: 6, Slots: 64, FailurePercent: 3, Spread: true, Routes: standardRoutes}, playStandard},
	"memory":    {Options{Edges: 1, Workers: 3}, playMemory},
	"endless":   {Options{Edges: 1, Workers: 3, Generators: 2}, playEndless},
}

// Scenarios returns the names of the scenarios.
func Scenarios() []string { return slices.Sorted(maps.Keys(scenarios)) }

// errNothingRan means that a play shows nothing.
var errNothingRan = errors.New("no request was answered")

// PlayScenario plays a scenario and returns the broken promises.
func PlayScenario(name string, p Play) ([]string, error) {
	s, found := scenarios[name]
	if !found {
		return nil, fmt.Errorf("no scenario %q", name)
	}
	s.options.Folder, s.options.Program, s.options.Seed, s.options.Time = p.Folder, p.Program, p.Seed, p.Time
	s.options.Bounds, s.options.PageItems = checker.DefaultBounds(), storekeeper.DefaultPageItems
	d, err := newDeployment(s.options)
	if err != nil {
		return nil, err
	}
	defer d.close()
	if err := d.becomeStable(); err != nil {
		return nil, err
	}
	if err := s.play(d, p.Quiet); err != nil {
		return nil, err
	}
	summary := d.history.Summary()
	_, _ = fmt.Fprintln(p.Out, name)
	summarize(p.Out, summary)
	if summary.Answered == 0 {
		return nil, errNothingRan
	}
	return d.broken(), nil
}

// faultsFile is the file with the faults of a play, beside the logs.
const faultsFile = "faults.txt"

// broken returns the broken promises. It writes down the faults that struck.
func (d *deployment) broken() []string {
	broken := d.history.Check()
	if err := os.WriteFile(filepath.Join(d.options.Folder, faultsFile), []byte(strings.Join(d.history.Faults(), "\n")+"\n"), 0o600); err != nil {
		broken = append(broken, "NOT RUN: "+err.Error())
	}
	for _, daemon := range d.daemons() {
		if n := daemon.Crashes(); n > 0 {
			broken = append(broken, fmt.Sprintf("CRASH: %s ended by itself %d times, and wrote last: %s", daemon.Name(), n, daemon.CrashOutput()))
		}
	}
	return broken
}

// becomeStable waits until the daemons count as in touch.
func (d *deployment) becomeStable() error {
	last := time.Time{}
	for _, daemon := range d.daemons() {
		if daemon.StartedAt().After(last) {
			last = daemon.StartedAt()
		}
	}
	<-time.After(time.Until(last.Add(d.options.Bounds.Stable + stableSlack)))
	for _, edge := range d.edges {
		if err := edge.AwaitReady(startTimeout); err != nil {
			return err
		}
	}
	return nil
}

// stableSlack is waited beyond the bounds, so that requests are later than them.
const stableSlack = 500 * time.Millisecond

// startCallers starts callers, every second of them with a connection for each request.
func (d *deployment) startCallers(tasks *sync.WaitGroup, stop <-chan struct{}, prefix string, callers int, draw func(*caller) (checker.Request, string)) {
	for n := range callers {
		c := &caller{deployment: d, name: fmt.Sprintf("%s%02d", prefix, n), random: rand.New(rand.NewPCG(1, uint64(n))), draw: draw, fresh: n%2 == 1}
		tasks.Go(func() { c.call(stop) })
	}
}

// sendAll has callers send requests, each on connections of its own, until all have sent a number.
func (d *deployment) sendAll(callers, requests int, fresh bool, draw func(*caller) (checker.Request, string)) {
	d.sendNamed("c", callers, requests, fresh, draw)
}

// sendNamed does the work of sendAll. The names of the callers begin with a prefix.
func (d *deployment) sendNamed(prefix string, callers, requests int, fresh bool, draw func(*caller) (checker.Request, string)) {
	var tasks sync.WaitGroup
	for n := range callers {
		c := &caller{deployment: d, name: fmt.Sprintf("%s%02d", prefix, n), random: rand.New(rand.NewPCG(1, uint64(n))), fresh: fresh}
		stop := make(chan struct{})
		c.draw = func(c *caller) (checker.Request, string) {
			if c.sent == requests-1 {
				close(stop)
			}
			return draw(c)
		}
		tasks.Go(func() { c.call(stop) })
	}
	tasks.Wait()
}
