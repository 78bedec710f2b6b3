// Package soaker plays faults on the daemons of the users' platform as processes of their own, with
// stand-ins for the store, the replicas and the callers around them, and checks what these see.
package soaker

import (
	"cmp"
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
	Program string
	Bounds  checker.Bounds
	// Edges, Workers and Generators are the numbers of edges, of replicas of the plain service, and
	// of model replicas, each with a sidecar.
	Edges, Workers, Generators int
	PageItems                  int
	// Places is how many requests a replica of the plain service runs at once, 0 for any number, and
	// Pause the pause that it asks for when it rejects others.
	Places int
	Pause  time.Duration
	// Quotas holds the quotas of workspaces, Invariants the parts of the rules that are in force beyond those
	// of all deployments.
	Quotas     map[string]checker.Quota
	Invariants []string
	// Spread puts the machines and replicas of each kind into all zones in turn.
	Spread bool
	// Slots is the number of slots of a model replica, 0 for the default, and FailurePercent the
	// share of the requests that replicas of the plain service answer with 500.
	Slots, FailurePercent int
	// Routes are the bounds of the routes, zero for those of small deployments.
	Routes routeBounds
	// Linked puts relays on the links of callers and of replicas too.
	Linked bool
	// Seed draws what a scenario leaves open.
	Seed uint64
	// Time is the duration of a scenario of drawn faults, 0 for the default.
	Time time.Duration
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
	generators         []*generator.Generator
	group              *generator.Group
	port               int

	// ctx ends when the deployment is closed.
	ctx    context.Context
	cancel context.CancelFunc

	// mu guards the fields below.
	mu sync.Mutex
	// links holds the relays by their names.
	links         map[string]*relayer.Relay
	workers       []*worker.Worker
	joined        int
	configuration int
	// unusedRoutes is the number of configured routes without traffic.
	unusedRoutes int
	weights      int
}

// newDeployment starts a fleet and waits until its edges are ready.
func newDeployment(options Options) (*deployment, error) {
	ctx, cancel := context.WithCancel(context.Background())
	options.Routes, options.Slots = cmp.Or(options.Routes, smallRoutes), cmp.Or(options.Slots, generator.Slots)
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
	ports, err := fleet.FreePorts(d.host, 1)
	if err != nil {
		return fmt.Errorf("reserve a port of the daemons: %w", err)
	}
	d.port = ports[0]
	for i := range d.options.Generators {
		if err := d.addGenerator(i); err != nil {
			return err
		}
	}
	for i := range d.options.Edges {
		edge, err := d.launch(launcher.Machine{Role: "edge", Name: fmt.Sprintf("edge-%d", i), IP: fleet.LoopbackHost(), Zone: d.zone(i)})
		if err != nil {
			return err
		}
		d.edges = append(d.edges, edge)
		if d.options.Linked {
			if _, err := d.link(callerLink(edge.Name()), edge.IP(), edge.Front()); err != nil {
				return err
			}
		}
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
	storeAddress, err := d.link(storeLink(machine.Name), machine.IP, d.storeAddress)
	if err != nil {
		return nil, err
	}
	machine.Port, machine.StoreAddress, machine.Invariants = d.port, storeAddress, d.options.Invariants
	return launcher.New(d.options.Folder, machine, d.options.Program, d.options.Bounds, d.history)
}

// storeLink, callerLink and replicaLink are the names of the links of a daemon to the store, of
// callers to an edge, and of daemons to a replica.
func storeLink(daemon string) string { return daemon + "/store" }

func callerLink(edge string) string { return edge + "/callers" }

func replicaLink(replica string) string { return checker.LinkTarget(replica) }

// link puts a relay on a link and returns its address.
func (d *deployment) link(name, ip, target string) (string, error) {
	relay, err := relayer.New(ip, target)
	if err != nil {
		return "", err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.links[name] = relay
	return relay.Address(), nil
}

// relay returns the relay of a link.
func (d *deployment) relay(name string) *relayer.Relay {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.links[name]
}

// zone returns the zone of the i-th machine or replica of its kind.
func (d *deployment) zone(i int) string {
	if !d.options.Spread {
		return launcher.Zone
	}
	zones := launcher.Zones()
	return zones[i%len(zones)]
}

// advertise returns how the address of a replica is advertised.
func (d *deployment) advertise(id, ip string) func(string) (string, error) {
	return func(address string) (string, error) {
		if !d.options.Linked {
			return address, nil
		}
		return d.link(replicaLink(id), ip, address)
	}
}

// addGenerator starts a model replica and its sidecar on one machine.
func (d *deployment) addGenerator(i int) error {
	ip := fleet.LoopbackHost()
	id := fmt.Sprintf("m-%d", i)
	g, err := generator.New(generator.Options{ID: id, IP: ip, Advertise: d.advertise(id, ip), Service: modelService, Model: modelName, Zone: d.zone(i), Dedicated: map[string]bool{dedicatedWorkspace: true}, Weights: 1, Slots: d.options.Slots}, d.store, d.history, d.group)
	if err != nil {
		return err
	}
	d.generators = append(d.generators, g)
	side, err := d.launch(launcher.Machine{Role: "side", Name: fmt.Sprintf("side-%d", i), IP: ip, Zone: d.zone(i), App: g.Address(), Service: modelService})
	if err != nil {
		return err
	}
	d.sides = append(d.sides, side)
	return nil
}

// join starts a replica of the plain service.
func (d *deployment) join() (*worker.Worker, error) {
	d.mu.Lock()
	d.joined++
	id, zone := fmt.Sprintf("p-%d", d.joined), d.zone(d.joined)
	d.mu.Unlock()
	w, err := worker.New(worker.Options{ID: id, IP: d.host, Advertise: d.advertise(id, d.host), Service: plainService, Zone: zone, Drain: d.options.Bounds.Drain, Places: d.options.Places, Pause: d.options.Pause, FailurePercent: d.options.FailurePercent}, d.store, d.history)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
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
	for _, link := range d.links {
		link.Close()
	}
	d.mu.Unlock()
	if d.server != nil {
		_ = d.server.Close()
	}
	d.store.Close()
}
