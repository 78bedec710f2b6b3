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

// Names, keys and timing of the example deployment.
const (
	ModelService = "reconcile"
	PlainService = "booking"
	ModelName    = "meet-assistant"
	// MeetsKey is a key of workspace "meets", RentalsKey one of workspace "rentals".
	MeetsKey      = "cw-demo-meets"
	RentalsKey    = "cw-demo-rentals"
	operatorToken = "cw-demo-operator"
	// waitTimeout bounds each wait for a condition, which is checked every pollInterval.
	waitTimeout  = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Options describe a deployment.
type Options struct {
	// ProductPath and StandinPath are the paths of the two programs.
	ProductPath, StandinPath string
	// Directory is where certificates and logs are written.
	Directory string
	// Entries is the number of entries, Engines that of model engines, each with a
	// sidecar. Apps is the number of sidecars in front of the one booking app.
	Entries, Engines, Apps int
	// TokenInterval is the time between two tokens of an engine.
	TokenInterval time.Duration
	// LoadTime is the time an engine takes to load weights.
	LoadTime time.Duration
	// DrainTimeout bounds the time that a daemon takes to drain.
	DrainTimeout time.Duration
	// PrefillTokensPerSecond is the prefill rate of the engines and in the document of the
	// model pool; QueueLimit is the queue limit in that document. 0 means the default.
	PrefillTokensPerSecond, QueueLimit int
	// EngineSlots is the largest number of requests that a sidecar has in flight at its
	// engine; 0 means the default.
	EngineSlots int
}

// defaultRate is the default of Options.PrefillTokensPerSecond.
const defaultRate = 8000

// Fleet is a running deployment.
type Fleet struct {
	options   Options
	processes map[string]*Process
	// startOrder holds the names of the processes in the order of their first start.
	startOrder []string
	// addresses holds the addresses by names such as "entry-0/caller", "engine-1" and
	// "sidecar-1/link".
	addresses map[string]string
	// revisions holds the accepted revision of each service.
	revisions map[string]uint64
	// leaving names the sidecars whose hosts are listed as leaving.
	leaving []string
}

// Start runs the deployment, applies the example documents and waits until every
// entry and sidecar is ready. If it fails, no process is left and the error holds the
// ends of the logs.
func Start(options Options) (*Fleet, error) {
	f := &Fleet{options: options, processes: map[string]*Process{}, addresses: map[string]string{}, revisions: map[string]uint64{}}
	if err := f.start(); err != nil {
		f.Stop()
		return nil, errors.Join(err, errors.New(f.LogTails(5)))
	}
	return f, nil
}

// start does the work of Start, without cleaning up.
func (f *Fleet) start() error {
	if err := f.reserveAddresses(); err != nil {
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
	if err := f.applyExampleDocuments(); err != nil {
		return err
	}
	return f.awaitAllReady()
}

// reserveAddresses chooses a free address for every listener of the deployment.
func (f *Fleet) reserveAddresses() error {
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

// startStandins starts the platform, the engines and the booking app, and waits until
// the platform serves.
func (f *Fleet) startStandins() error {
	if err := f.startNamed("platform", f.options.StandinPath, "platform", "--address", f.addresses["platform"]); err != nil {
		return err
	}
	for i := range f.options.Engines {
		name := fmt.Sprintf("engine-%d", i)
		err := f.startNamed(name, f.options.StandinPath, "engine", "--address", f.addresses[name], "--model", ModelName,
			"--prefill-rate", strconv.Itoa(f.prefillRate()), "--token-interval", f.options.TokenInterval.String(), "--load-time", f.options.LoadTime.String())
		if err != nil {
			return err
		}
	}
	if f.options.Apps > 0 {
		if err := f.startNamed("app", f.options.StandinPath, "app", "--address", f.addresses["app"]); err != nil {
			return err
		}
	}
	return f.waitUntil("platform", func() bool { return f.publishHosts() == nil })
}

// prefillRate returns the prefill rate of the engines in tokens a second.
func (f *Fleet) prefillRate() int { return cmp.Or(f.options.PrefillTokensPerSecond, defaultRate) }

// MarkLeaving puts a sidecar's host into the platform's list of hosts, marked as
// leaving.
func (f *Fleet) MarkLeaving(sidecar string) error {
	f.leaving = append(f.leaving, sidecar)
	return f.publishHosts()
}

// publishHosts sets the platform's list of hosts: the entries and the leaving sidecars.
func (f *Fleet) publishHosts() error {
	var list []hosts.Host
	for _, name := range f.leaving {
		list = append(list, hosts.Host{Name: name, Address: f.addresses[name+"/link"], Role: hosts.Sidecar, Region: "central-tx", AvailabilityZone: "austin-a", Leaving: true})
	}
	for i := range f.options.Entries {
		name := fmt.Sprintf("entry-%d", i)
		list = append(list, hosts.Host{Name: name, Address: f.addresses[name+"/link"], Role: hosts.Entry, Region: "central-tx", AvailabilityZone: "austin-a"})
	}
	return f.postJSON("platform", hosts.Path, list)
}

// startDaemons starts the entries and the sidecars.
func (f *Fleet) startDaemons() error {
	for i := range f.options.Entries {
		name := fmt.Sprintf("entry-%d", i)
		err := f.startDaemon(name, "entry", "--caller-address", f.addresses[name+"/caller"], "--operator-token-hash", decoder.HashKey(operatorToken), "--settle", "500ms")
		if err != nil {
			return err
		}
	}
	for i := range f.options.Engines {
		name := fmt.Sprintf("sidecar-%d", i)
		err := f.startDaemon(name, "sidecar", "--service", ModelService, "--backend-server", fmt.Sprintf("replica-%d", i), "--backend-address", f.addresses[fmt.Sprintf("engine-%d", i)])
		if err != nil {
			return err
		}
	}
	for i := range f.options.Apps {
		name := fmt.Sprintf("appcar-%d", i)
		err := f.startDaemon(name, "sidecar", "--service", PlainService, "--backend-server", fmt.Sprintf("app-%d", i), "--backend-address", f.addresses["app"])
		if err != nil {
			return err
		}
	}
	return nil
}

// startDaemon starts an entry or a sidecar with a certificate of its own.
func (f *Fleet) startDaemon(name, kind string, extra ...string) error {
	if err := keys.MakeDaemonCertificate(f.options.Directory, name); err != nil {
		return fmt.Errorf("make certificate: %w", err)
	}
	file := func(base string) string { return filepath.Join(f.options.Directory, base) }
	args := append([]string{
		kind, "--name", name, "--availability-zone", "austin-a", "--region", "central-tx",
		"--link-address", f.addresses[name+"/link"], "--operator-address", f.addresses[name+"/operator"],
		"--store-address", f.addresses["platform"], "--hosts-address", f.addresses["platform"],
		"--authority-file", file("authority.pem"), "--certificate-file", file(name + ".pem"), "--key-file", file(name + "-key.pem"),
		"--drain-limit", f.options.DrainTimeout.String(), "--peers", strings.Join(f.seedPeers(), ","),
	}, extra...)
	return f.startNamed(name, f.options.ProductPath, args...)
}

// seedPeers returns the link addresses of the entries and of up to two sidecars. With
// the sidecars, entries that restart all at once still find the configuration.
func (f *Fleet) seedPeers() []string {
	var addresses []string
	for i := range f.options.Entries {
		addresses = append(addresses, f.addresses[fmt.Sprintf("entry-%d/link", i)])
	}
	for i := range min(2, f.options.Engines) {
		addresses = append(addresses, f.addresses[fmt.Sprintf("sidecar-%d/link", i)])
	}
	return addresses
}

// startNamed starts a program and adds it to the fleet's processes under the name.
func (f *Fleet) startNamed(name, path string, args ...string) error {
	p, err := startProcess(f.options.Directory, name, path, args...)
	if err != nil {
		return err
	}
	f.processes[name] = p
	f.startOrder = append(f.startOrder, name)
	return nil
}

// ModelDocument returns the example document of the model pool, with the given weights
// version.
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
		d.BackendServers = append(d.BackendServers, f.backendServer(fmt.Sprintf("replica-%d", i), fmt.Sprintf("sidecar-%d", i)))
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
		d.BackendServers = append(d.BackendServers, f.backendServer(fmt.Sprintf("app-%d", i), fmt.Sprintf("appcar-%d", i)))
	}
	return d
}

// backendServer returns the part of a document that describes a backend server.
func (f *Fleet) backendServer(name, sidecar string) decoder.BackendServer {
	return decoder.BackendServer{Name: name, Sidecar: f.addresses[sidecar+"/link"], AvailabilityZone: "austin-a", Region: "central-tx"}
}

// exampleWorkspaces returns the workspaces of both example documents.
func exampleWorkspaces() []decoder.Workspace {
	return []decoder.Workspace{
		{Name: "meets", KeyHashes: []string{decoder.HashKey(MeetsKey)}, Share: 3},
		{Name: "rentals", KeyHashes: []string{decoder.HashKey(RentalsKey)}, Share: 1},
	}
}

// applyExampleDocuments applies the documents of the services that have sidecars.
func (f *Fleet) applyExampleDocuments() error {
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

// OperatorClient returns a client for the operator address of the entry with the given
// index.
func (f *Fleet) OperatorClient(entry int) *operator.Client {
	return operator.New(f.addresses[fmt.Sprintf("entry-%d/operator", entry)], operatorToken)
}

// Apply makes the document the next revision of its service, through entry-0. It tries
// again until the entry accepts the document or waitTimeout has passed.
func (f *Fleet) Apply(document *decoder.Document) error {
	text, err := json.Marshal(document)
	if err != nil {
		return fmt.Errorf("encode document: %w", err)
	}
	var lastErr error
	err = f.waitUntil("operator address", func() bool {
		applied, err := f.OperatorClient(0).Apply(document.Service, text, f.revisions[document.Service], uuid.NewString())
		if err != nil {
			lastErr = err
			return false
		}
		lastErr = fmt.Errorf("document %s: %s", document.Service, applied.Result)
		f.revisions[document.Service] = max(f.revisions[document.Service], applied.Revision)
		return applied.Result == operator.Accepted
	})
	if err != nil {
		return errors.Join(err, lastErr)
	}
	return nil
}

// awaitAllReady waits until every entry and sidecar is ready.
func (f *Fleet) awaitAllReady() error {
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
	return f.waitUntil(name+" ready", func() bool {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+f.addresses[name+"/operator"]+"/readyz", time.Second)
		return err == nil && status == fasthttp.StatusOK
	})
}

// waitUntil checks the condition every pollInterval until it holds. After waitTimeout
// it returns an error that names what was waited for.
func (f *Fleet) waitUntil(what string, condition func() bool) error {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("gave up waiting for %s after %s", what, waitTimeout)
}

// Await waits until the condition holds. After waitTimeout it returns an error that names
// what was waited for.
func (f *Fleet) Await(what string, condition func() bool) error { return f.waitUntil(what, condition) }

// SetFaults replaces the faults in force at a stand-in.
func (f *Fleet) SetFaults(name string, faults any) error { return f.postJSON(name, "/faults", faults) }

// GetJSON gets a JSON value from the named address of a stand-in or of an operator
// interface.
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

// postJSON posts a JSON value to the named address.
func (f *Fleet) postJSON(name, path string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode request body: %w", err)
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

// LogTail returns the last lines of a process's log, or the text of the error if it
// cannot be read.
func (f *Fleet) LogTail(name string, lines int) string {
	text, err := os.ReadFile(f.processes[name].logPath)
	if err != nil {
		return err.Error()
	}
	logLines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(logLines[max(0, len(logLines)-lines):], "\n")
}

// LogTails returns the last lines of every process's log.
func (f *Fleet) LogTails(lines int) string {
	var text strings.Builder
	for _, name := range f.startOrder {
		_, _ = fmt.Fprintf(&text, "--- %s\n%s\n", name, f.LogTail(name, lines))
	}
	return text.String()
}

// Stop kills every process, in the reverse order of the starts.
func (f *Fleet) Stop() {
	for i := len(f.startOrder) - 1; i >= 0; i-- {
		f.processes[f.startOrder[i]].Kill()
	}
}
