package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

var zones = map[string]string{"aalborg-a": "jylland", "aarhus-b": "jylland", "odense-a": "fyn"}

// daemon is one process of the system with its settings file.
type daemon struct {
	name, role, ip, front, ready string
	command                      []string
	settings                     string
	log                          *os.File
	mu                           sync.Mutex
	process                      *os.Process
	ended                        chan struct{}
}

// deployment holds the processes of one case. Everything is stopped by close.
type deployment struct {
	directory string
	record    *recorder
	store     *store
	storeAddr string
	port      int
	daemons   []*daemon
	replicas  []*replica
	maxFDs    int
	bounds    map[string]any
}

// recorder writes record.txt.
type recorder struct {
	mu   sync.Mutex
	file *os.File
	t0   time.Time
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.t0).Seconds()}, args...)...)
}

func newDeployment(record *recorder) (*deployment, error) {
	directory, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{directory: directory, record: record, store: newStore(), maxFDs: 4100, bounds: map[string]any{
		"seed-lag-s": 3, "reuse-after-s": 2, "stable-ms": 4000, "ack-ms": 5000, "catch-up-s": 4, "drain-ms": 2500, "grace-s": 8, "loss-slack-ms": 200, "config-deadline-ms": 2500, "rollback-slack-ms": 250,
		"max-skew-ms": 6000, "strict-revoke": false, "revoke-ms": 5000, "retry-budget-ratio": 0.2, "budget-window-s": 10, "budget-extra": 52, "recover-s": 12, "transit-ms": 300, "reuse-window-s": 10,
		"require-fence": true, "lease-ms": 3000, "thaw-ms": 300, "version-ms": 6000, "version-all-ms": 8400,
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, d.store) }()
	d.port = freePort("127.0.0.1")
	return d, nil
}

// freePort returns a port that is free now.
func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// deployCommand reads the command of a role from the deploy file.
func deployCommand(role string) ([]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	in := false
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			in = line == "[roles."+role+"]"
		}
		if rest, found := strings.CutPrefix(line, "run"); in && found {
			_, value, _ := strings.Cut(rest, "=")
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, fmt.Errorf("no role %s", role)
}

// add describes a machine. app and service are those of a side.
func (d *deployment) add(role, name, ip, zone, app, service string) (*daemon, error) {
	command, err := deployCommand(role)
	if err != nil {
		return nil, err
	}
	m := &daemon{name: name, role: role, ip: ip, command: command, settings: filepath.Join(d.directory, name+".yaml")}
	memory := 216
	fields := map[string]any{
		"node-name": name, "role": role, "machine-class": role, "serves": []string{role}, "ip": ip, "zone": zone, "region": zones[zone], "zones": zones, "listen": map[string]string{},
		"ephemeral-ports": []int{d.port, d.port + 15}, "seed-nodes": []string{}, "bootstrap": true, "tolerance-member": false, "data-dir": nil, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1200,
		"invariants":      []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"},
		"fault-tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0}, "bounds": d.bounds,
		"platform": map[string]any{"address": d.storeAddr, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
	}
	if role == "edge" {
		memory = 134
		m.front, m.ready = fmt.Sprintf("%s:%d", ip, freePort(ip)), fmt.Sprintf("%s:%d", ip, freePort(ip))
		fields["listen"] = map[string]string{"front": m.front, "ready": m.ready}
	} else {
		fields["app"], fields["service"] = app, service
	}
	fields["limits"] = map[string]any{"cpu-share": 0.304, "cpu-cores": 1, "memory-mb": memory, "max-fds": d.maxFDs, "link-mbps": 1000.0, "disk-mb": 0}
	text, _ := json.Marshal(fields)
	if err := os.WriteFile(m.settings, text, 0o600); err != nil {
		return nil, err
	}
	if m.log, err = os.Create(filepath.Join(d.directory, name+".log")); err != nil {
		return nil, err
	}
	d.daemons = append(d.daemons, m)
	return m, m.start(d)
}

// start starts the process with the machine's limit of descriptors.
func (m *daemon) start(d *deployment) error {
	c := exec.Command("/bin/sh", append([]string{"-c", "ulimit -n " + strconv.Itoa(d.maxFDs) + ` && exec "$@"`, "sh"}, m.command...)...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CYCLAMENWARD_BOOT=" + m.settings}
	c.Stdout, c.Stderr = m.log, m.log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended = c.Process, ended
	m.mu.Unlock()
	d.record.note("started %s, process %d", m.name, c.Process.Pid)
	go func() {
		state, _ := c.Process.Wait()
		d.record.note("process of %s has ended: %v", m.name, state)
		close(ended)
	}()
	return nil
}

func (m *daemon) signal(s syscall.Signal) { _ = m.process.Signal(s) }

// alive reports whether the process has not ended.
func (m *daemon) alive() bool {
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// isReady asks the machine's ready address.
func (m *daemon) isReady() (int, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + m.ready + "/ready")
	if err != nil {
		return 0, err
	}
	_ = r.Body.Close()
	return r.StatusCode, nil
}

// awaitReady waits until all edges are ready.
func (d *deployment) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, m := range d.daemons {
		for m.role == "edge" {
			status, _ := m.isReady()
			if status == 200 {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready: %d", m.name, status)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// rss returns the resident memory of the process in MB.
func (m *daemon) rss() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.Pid))
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// descriptors returns the number of open descriptors of the process.
func (m *daemon) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.process.Pid))
	return len(entries)
}

func (d *deployment) close() {
	for _, m := range d.daemons {
		if m.process != nil && m.alive() {
			m.signal(syscall.SIGKILL)
			<-m.ended
		}
		_ = m.log.Close()
	}
	for _, p := range d.replicas {
		p.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.directory)
	} else {
		fmt.Println("logs:", d.directory)
	}
}
