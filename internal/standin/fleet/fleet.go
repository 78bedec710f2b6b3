package fleet

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/internal/keys"
	"github.com/cyclamenward/cyclamenward/peer/hosts"
	"github.com/cyclamenward/cyclamenward/peer/operator"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
)

// Names and keys of the example deployment.
const (
	ModelService = "reconcile"
	PlainService = "booking"
	ModelName    = "meet-assistant"
	// MeetsKey opens workspace "meets"; OtherKey opens workspace "rentals".
	MeetsKey      = "cw-demo-meets"
	RentalsKey    = "cw-demo-rentals"
	operatorToken = "cw-demo-operator"
	startLimit    = 20 * time.Second
	pollPeriod    = 20 * time.Millisecond
)

// Options describe a deployment.
type Options struct {
	// ProductPath and StandinPath are the paths of the two programs.
	ProductPath, StandinPath string
	// Directory holds keys and logs.
	Directory string
	// Entries, Engines and Apps count the processes.
	Entries, Engines, Apps int
	// TokenInterval is the time between two tokens of an engine.
	TokenInterval time.Duration
	// LoadTime is the time an engine takes to load weights.
	LoadTime time.Duration
	// DrainTimeout is the daemons' limit for draining.
	DrainTimeout time.Duration
	// PrefillTokensPerSecond and QueueLimit are those of the engines and the document; 0 for
	// the defaults.
	PrefillTokensPerSecond, QueueLimit int
	// EngineSlots is the number of requests that a sidecar gives its engine at
	// once; 0 for the default.
	EngineSlots int
}

// defaultPrefillRate is the prefill speed of the engines.
const defaultPrefillRate = 8000

// Fleet is a running deployment.
type Fleet struct {
	options   Options
	processes map[string]*Process
	order     []string
	// addresses maps "entry-0/caller", "engine-1", "sidecar-1/link" and so on.
	addresses map[string]string
	// revisions holds the accepted revision of each service.
	revisions map[string]uint64
	// leaving names the sidecars whose hosts are listed as leaving.
	leaving []string
}

// Start runs the deployment, applies the example documents and waits until every
// entry and sidecar is ready.
func Start(options Options) (*Fleet, error) {
	f := &Fleet{options: options, processes: map[string]*Process{}, addresses: map[string]string{}, revisions: map[string]uint64{}}
	if err := f.start(); err != nil {
		f.Stop()
		return nil, errors.Join(err, errors.New(f.LogTails(5)))
	}
	return f, nil
}

func (f *Fleet) start() error {
	if err := f.reserve(); err != nil {
		return err
	}
	if err := keys.MakeAuthority(f.options.Directory); err != nil {
		return fmt.Errorf("make authority: %w", err)
	}
	if err := f.startStandins(); err != nil {
		return err
	}
	if err := f.startDaemons(); err != nil {
		return err
	}
	if err := f.applyExamples(); err != nil {
		return err
	}
	return f.awaitReady()
}

// reserve finds an address for everything.
func (f *Fleet) reserve() error {
	names := []string{"platform"}
	for i := range f.options.Entries {
		names = append(names, fmt.Sprintf("entry-%d/link", i), fmt.Sprintf("entry-%d/operator", i), fmt.Sprintf("entry-%d/caller", i))
	}
	for i := range f.options.Engines {
		names = append(names, fmt.Sprintf("engine-%d", i), fmt.Sprintf("sidecar-%d/link", i), fmt.Sprintf("sidecar-%d/operator", i))
	}
	if f.options.Apps > 0 {
		names = append(names, "app")
	}
	for i := range f.options.Apps {
		names = append(names, fmt.Sprintf("appcar-%d/link", i), fmt.Sprintf("appcar-%d/operator", i))
	}
	addresses, err := freeAddresses(len(names))
	if err != nil {
		return err
	}
	for i, name := range names {
		f.addresses[name] = addresses[i]
	}
	return nil
}

func (f *Fleet) startStandins() error {
	if err := f.run("platform", f.options.StandinPath, "platform", "--address", f.addresses["platform"]); err != nil {
		return err
	}
	for i := range f.options.Engines {
		name := fmt.Sprintf("engine-%d", i)
		err := f.run(name, f.options.StandinPath, "engine", "--address", f.addresses[name], "--model", ModelName,
			"--prefill-rate", strconv.Itoa(f.prefillRate()), "--token-interval", f.options.TokenInterval.String(), "--load-time", f.options.LoadTime.String())
		if err != nil {
			return err
		}
	}
	if f.options.Apps > 0 {
		if err := f.run("app", f.options.StandinPath, "app", "--address", f.addresses["app"]); err != nil {
			return err
		}
	}
	return f.await("platform", func() bool { return f.publishHosts() == nil })
}

func (f *Fleet) prefillRate() int {
	return cmp.Or(f.options.PrefillTokensPerSecond, defaultPrefillRate)
}

// MarkLeaving lists a sidecar's host as leaving.
func (f *Fleet) MarkLeaving(sidecar string) error {
	f.leaving = append(f.leaving, sidecar)
	return f.publishHosts()
}

// publishHosts writes the list of hosts.
func (f *Fleet) publishHosts() error {
	var list []hosts.Host
	for _, name := range f.leaving {
		list = append(list, hosts.Host{Name: name, Address: f.addresses[name+"/link"], Role: hosts.Sidecar, Region: "central-tx", AvailabilityZone: "austin-a", Leaving: true})
	}
	for i := range f.options.Entries {
		name := fmt.Sprintf("entry-%d", i)
		list = append(list, hosts.Host{Name: name, Address: f.addresses[name+"/link"], Role: hosts.Entry, Region: "central-tx", AvailabilityZone: "austin-a"})
	}
	return f.post("platform", hosts.Path, list)
}

func (f *Fleet) startDaemons() error {
	for i := range f.options.Entries {
		name := fmt.Sprintf("entry-%d", i)
		err := f.runDaemon(name, "entry", "--caller-address", f.addresses[name+"/caller"], "--operator-token-hash", decoder.HashKey(operatorToken), "--settle", "500ms")
		if err != nil {
			return err
		}
	}
	for i := range f.options.Engines {
		name := fmt.Sprintf("sidecar-%d", i)
		err := f.runDaemon(name, "sidecar", "--service", ModelService, "--backend-server", fmt.Sprintf("replica-%d", i), "--backend-address", f.addresses[fmt.Sprintf("engine-%d", i)])
		if err != nil {
			return err
		}
	}
	for i := range f.options.Apps {
		name := fmt.Sprintf("appcar-%d", i)
		err := f.runDaemon(name, "sidecar", "--service", PlainService, "--backend-server", fmt.Sprintf("app-%d", i), "--backend-address", f.addresses["app"])
		if err != nil {
			return err
		}
	}
	return nil
}

// runDaemon starts a daemon of the product with its own certificate.
func (f *Fleet) runDaemon(name, kind string, extra ...string) error {
	if err := keys.MakeDaemonCertificate(f.options.Directory, name); err != nil {
		return fmt.Errorf("make certificate: %w", err)
	}
	file := func(base string) string { return filepath.Join(f.options.Directory, base) }
	args := append([]string{
		kind, "--name", name, "--availability-zone", "austin-a", "--region", "central-tx",
		"--link-address", f.addresses[name+"/link"], "--operator-address", f.addresses[name+"/operator"],
		"--store-address", f.addresses["platform"], "--hosts-address", f.addresses["platform"],
		"--authority-file", file("authority.pem"), "--certificate-file", file(name + ".pem"), "--key-file", file(name + "-key.pem"),
		"--drain-limit", f.options.DrainTimeout.String(), "--peers", strings.Join(f.peers(), ","),
	}, extra...)
	return f.run(name, f.options.ProductPath, args...)
}

// peers returns the entries and some sidecars, so that entries which restart
// together find the configuration.
func (f *Fleet) peers() []string {
	var peers []string
	for i := range f.options.Entries {
		peers = append(peers, f.addresses[fmt.Sprintf("entry-%d/link", i)])
	}
	for i := range min(2, f.options.Engines) {
		peers = append(peers, f.addresses[fmt.Sprintf("sidecar-%d/link", i)])
	}
	return peers
}

func (f *Fleet) run(name, path string, args ...string) error {
	p, err := startProcess(f.options.Directory, name, path, args...)
	if err != nil {
		return err
	}
	f.processes[name] = p
	f.order = append(f.order, name)
	return nil
}

// ModelDocument returns the example document of the model pool.
func (f *Fleet) ModelDocument(version string) *decoder.Document {
	d := &decoder.Document{
		Service:    ModelService,
		Kind:       decoder.ModelPool,
		Model:      &decoder.Model{Name: ModelName, WeightsVersion: version, PrefillTokensPerSecond: f.prefillRate(), QueueLimit: f.options.QueueLimit, EngineSlots: f.options.EngineSlots},
		Workspaces: exampleWorkspaces(),
		Rollout:    &decoder.Rollout{MaxLoading: 2, MinServing: max(0, f.options.Engines-2)},
	}
	d.Deadline.Default.Duration, d.Deadline.Max.Duration = 30*time.Second, 2*time.Minute
	for i := range f.options.Engines {
		d.BackendServers = append(d.BackendServers, f.server(fmt.Sprintf("replica-%d", i), fmt.Sprintf("sidecar-%d", i)))
	}
	return d
}

// PlainDocument returns the example document of the booking app.
func (f *Fleet) PlainDocument() *decoder.Document {
	d := &decoder.Document{
		Service:    PlainService,
		Kind:       decoder.PlainService,
		Workspaces: exampleWorkspaces(),
		Repeatable: []decoder.Repeatable{{Methods: []string{"GET"}, PathPrefix: "/"}},
	}
	d.Deadline.Default.Duration, d.Deadline.Max.Duration = 5*time.Second, 30*time.Second
	for i := range f.options.Apps {
		d.BackendServers = append(d.BackendServers, f.server(fmt.Sprintf("app-%d", i), fmt.Sprintf("appcar-%d", i)))
	}
	return d
}

func (f *Fleet) server(name, sidecar string) decoder.BackendServer {
	return decoder.BackendServer{Name: name, Sidecar: f.addresses[sidecar+"/link"], AvailabilityZone: "austin-a", Region: "central-tx"}
}

func exampleWorkspaces() []decoder.Workspace {
	return []decoder.Workspace{
		{Name: "meets", KeyHashes: []string{decoder.HashKey(MeetsKey)}, Share: 3},
		{Name: "rentals", KeyHashes: []string{decoder.HashKey(RentalsKey)}, Share: 1},
	}
}

func (f *Fleet) applyExamples() error {
	if f.options.Engines > 0 {
		if err := f.Apply(f.ModelDocument("v1")); err != nil {
			return err
		}
	}
	if f.options.Apps > 0 {
		return f.Apply(f.PlainDocument())
	}
	return nil
}

// OperatorClient returns a client of an entry's operator address.
func (f *Fleet) OperatorClient(entry int) *operator.Client {
	return operator.New(f.addresses[fmt.Sprintf("entry-%d/operator", entry)], operatorToken)
}

// Apply makes the document the next revision of its service.
func (f *Fleet) Apply(document *decoder.Document) error {
	text, err := json.Marshal(document)
	if err != nil {
		return fmt.Errorf("encode document: %w", err)
	}
	var last error
	err = f.await("operator address", func() bool {
		applied, err := f.OperatorClient(0).Apply(document.Service, text, f.revisions[document.Service], uuid.NewString())
		if err != nil {
			last = err
			return false
		}
		last = fmt.Errorf("document %s: %s", document.Service, applied.Result)
		f.revisions[document.Service] = max(f.revisions[document.Service], applied.Revision)
		return applied.Result == operator.Accepted
	})
	if err != nil {
		return errors.Join(err, last)
	}
	return nil
}

func (f *Fleet) awaitReady() error {
	for name := range f.addresses {
		daemonName, ok := strings.CutSuffix(name, "/operator")
		if !ok {
			continue
		}
		if err := f.AwaitReady(daemonName); err != nil {
			return err
		}
	}
	return nil
}

// AwaitReady waits until a daemon reports that it is ready.
func (f *Fleet) AwaitReady(name string) error {
	return f.await(name+" ready", func() bool {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+f.addresses[name+"/operator"]+"/readyz", time.Second)
		return err == nil && status == fasthttp.StatusOK
	})
}

func (f *Fleet) await(what string, done func() bool) error {
	for limit := time.Now().Add(startLimit); time.Now().Before(limit); time.Sleep(pollPeriod) {
		if done() {
			return nil
		}
	}
	return fmt.Errorf("%s: not reached within %s", what, startLimit)
}

// Await waits until done returns true.
func (f *Fleet) Await(what string, done func() bool) error { return f.await(what, done) }

// SetFaults sends faults to a stand-in.
func (f *Fleet) SetFaults(name string, faults any) error { return f.post(name, "/faults", faults) }

// GetJSON reads a JSON value from a stand-in or an operator address.
func (f *Fleet) GetJSON(name, path string, value any) error {
	_, body, err := fasthttp.GetTimeout(nil, "http://"+f.addresses[name]+path, 2*time.Second)
	if err != nil {
		return fmt.Errorf("get %s%s: %w", name, path, err)
	}
	if err := json.Unmarshal(body, value); err != nil {
		return fmt.Errorf("decode %s%s: %w", name, path, err)
	}
	return nil
}

func (f *Fleet) post(name, path string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + f.addresses[name] + path)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBody(body)
	if err := fasthttp.DoTimeout(request, response, 2*time.Second); err != nil {
		return fmt.Errorf("post %s%s: %w", name, path, err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("post %s%s: status %d", name, path, response.StatusCode())
	}
	return nil
}

// Address returns an address by name, as in "entry-0/caller".
func (f *Fleet) Address(name string) string { return f.addresses[name] }

// Process returns a process by name.
func (f *Fleet) Process(name string) *Process { return f.processes[name] }

// LogTail returns the end of a process's log.
func (f *Fleet) LogTail(name string, lines int) string {
	text, err := os.ReadFile(f.processes[name].logPath)
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// LogTails returns the ends of all logs.
func (f *Fleet) LogTails(lines int) string {
	var text strings.Builder
	for _, name := range f.order {
		_, _ = fmt.Fprintf(&text, "--- %s\n%s\n", name, f.LogTail(name, lines))
	}
	return text.String()
}

// Stop ends every process by its id.
func (f *Fleet) Stop() {
	for i := len(f.order) - 1; i >= 0; i-- {
		f.processes[f.order[i]].Kill()
	}
}
