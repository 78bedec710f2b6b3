// Package soaker plays faults on the daemons of the users' platform as processes of their own, with
// stand-ins for the store, the replicas and the callers around them, and checks what these see.
package soaker

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/checker"
	"github.com/cyclamenward/cyclamenward/internal/standin/fleet"
	"github.com/cyclamenward/cyclamenward/internal/standin/generator"
	"github.com/cyclamenward/cyclamenward/internal/standin/launcher"
	"github.com/cyclamenward/cyclamenward/internal/standin/relayer"
	"github.com/cyclamenward/cyclamenward/internal/standin/storekeeper"
	"github.com/cyclamenward/cyclamenward/internal/standin/worker"
)

// startTimeout bounds the wait for daemons that start.
const startTimeout = 20 * time.Second

// Options describe a deployment.
type Options struct {
	// Folder holds the settings and the logs.
	Folder  string
	Program launcher.Program
	Bounds  checker.Bounds
	// Edges, Workers and Generators are the numbers of edges, of replicas of the plain service, and
	// of model replicas, each with a sidecar.
	Edges, Workers, Generators int
	PageItems                  int
}

// deployment is a running fleet with all that is around it.
type deployment struct {
	options Options
	history *checker.History
	store   *storekeeper.Store
	// host is the IP address of the stand-ins that have no machine, storeAddress that of the store.
	host, storeAddress string
	server             *http.Server
	edges, sides       []*launcher.Daemon
	// links holds the relay to the store of each daemon, by its name.
	links      map[string]*relayer.Relay
	generators []*generator.Generator
	group      *generator.Group
	port       int

	// ctx ends when the deployment is closed.
	ctx    context.Context
	cancel context.CancelFunc

	// mu guards the fields below.
	mu            sync.Mutex
	workers       []*worker.Worker
	joined        int
	configuration int
	weights       int
}

// newDeployment starts a fleet and waits until its edges are ready.
func newDeployment(options Options) (*deployment, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{options: options, history: checker.New(options.Bounds), store: storekeeper.New(options.PageItems), links: make(map[string]*relayer.Relay), group: generator.NewGroup(), host: fleet.LoopbackHost(), ctx: ctx, cancel: cancel}
	if err := d.start(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) start() error {
	listener, err := net.Listen("tcp", net.JoinHostPort(d.host, "0"))
	if err != nil {
		return fmt.Errorf("listen for the store: %w", err)
	}
	d.storeAddress, d.server = listener.Addr().String(), &http.Server{Handler: d.store.Handler()}
	go func() { _ = d.server.Serve(listener) }()
	if err := errors.Join(d.configure(), d.wantWeights()); err != nil {
		return err
	}
	for range d.options.Workers {
		if _, err := d.join(); err != nil {
			return err
		}
	}
	if d.port, err = launcher.FreePort(d.host); err != nil {
		return err
	}
	for i := range d.options.Generators {
		if err := d.addGenerator(i); err != nil {
			return err
		}
	}
	for i := range d.options.Edges {
		edge, err := d.launch(launcher.Machine{Role: "edge", Name: fmt.Sprintf("edge-%d", i), IP: fleet.LoopbackHost()})
		if err != nil {
			return err
		}
		d.edges = append(d.edges, edge)
	}
	for _, edge := range d.edges {
		if err := edge.AwaitReady(startTimeout); err != nil {
			return err
		}
	}
	return nil
}

// launch starts a daemon whose link to the store has a relay.
func (d *deployment) launch(machine launcher.Machine) (*launcher.Daemon, error) {
	link, err := relayer.New(machine.IP, d.storeAddress)
	if err != nil {
		return nil, err
	}
	d.links[machine.Name] = link
	machine.Port, machine.StoreAddress = d.port, link.Address()
	return launcher.New(d.options.Folder, machine, d.options.Program, d.options.Bounds, d.history)
}

// addGenerator starts a model replica and its sidecar on one machine.
func (d *deployment) addGenerator(i int) error {
	ip := fleet.LoopbackHost()
	g, err := generator.New(generator.Options{ID: fmt.Sprintf("m-%d", i), IP: ip, Service: modelService, Model: modelName, Zone: launcher.Zone, Dedicated: map[string]bool{dedicatedWorkspace: true}, Weights: 1}, d.store, d.history, d.group)
	if err != nil {
		return err
	}
	d.generators = append(d.generators, g)
	side, err := d.launch(launcher.Machine{Role: "side", Name: fmt.Sprintf("side-%d", i), IP: ip, App: g.Address(), Service: modelService})
	if err != nil {
		return err
	}
	d.sides = append(d.sides, side)
	return nil
}

// join starts a replica of the plain service.
func (d *deployment) join() (*worker.Worker, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.joined++
	w, err := worker.New(worker.Options{ID: fmt.Sprintf("p-%d", d.joined), IP: d.host, Service: plainService, Zone: launcher.Zone, Drain: d.options.Bounds.Drain}, d.store, d.history)
	if err != nil {
		return nil, err
	}
	d.workers = append(d.workers, w)
	return w, nil
}

// staying returns the replicas of the plain service that have not left.
func (d *deployment) staying() (list []*worker.Worker) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range d.workers {
		if !w.Left() {
			list = append(list, w)
		}
	}
	return list
}

// leave has a replica go. It serves on for a while after its entry is gone.
func (d *deployment) leave(w *worker.Worker, abrupt bool, servesFor time.Duration) {
	ctx, cancel := context.WithTimeout(d.ctx, servesFor)
	context.AfterFunc(ctx, cancel)
	w.Leave(ctx, abrupt)
}

// daemons returns all daemons.
func (d *deployment) daemons() []*launcher.Daemon {
	return append(append([]*launcher.Daemon(nil), d.edges...), d.sides...)
}

// close ends all processes and stand-ins.
func (d *deployment) close() {
	d.cancel()
	var ends sync.WaitGroup
	for _, daemon := range d.daemons() {
		ends.Go(daemon.Close)
	}
	ends.Wait()
	for _, g := range d.generators {
		g.Close()
	}
	d.mu.Lock()
	for _, w := range d.workers {
		w.Close()
	}
	d.mu.Unlock()
	for _, link := range d.links {
		link.Close()
	}
	if d.server != nil {
		_ = d.server.Close()
	}
	d.store.Close()
}
