package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Zones and bounds are those of the small site file splits-tx.
var zones = map[string]string{"austin-a": "central-tx", "waco-b": "central-tx", "houston-a": "gulf-tx"}

// rig is a small deployment on loopback addresses.
type rig struct {
	dir   string
	store *store
	// base is the first octets of the addresses, port the first one for connections between daemons.
	base    string
	port    int
	daemons []*daemon
	// storeAddress returns the address of the store as a daemon reaches it, nil for the store itself.
	storeAddress func(name string) string

	mu     sync.Mutex
	record *os.File
	began  time.Time
	// trouble is unset if the disruption is left out.
	trouble bool
}

// daemon is one process of the system.
type daemon struct {
	name, front, ready, ip string
	cmd                    *exec.Cmd
	done                   chan struct{}
	exit                   error
}

// newRig starts the store. Its files are in a temporary folder, the record in the current one.
func newRig() (*rig, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create("record.txt")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	r := &rig{dir: dir, record: record, began: time.Now(), base: fmt.Sprintf("127.%d.%d.", 10+pid%200, 1+pid/200%250), trouble: os.Getenv("TROUBLE") != "0"}
	if r.store, err = newStore(r.base + "1"); err != nil {
		return nil, err
	}
	r.port = 20000 + pid%20000
	return r, nil
}

// log writes a line to the record, with the time since the start.
func (r *rig) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// freePort returns a port of an address that nobody listens on.
func freePort(ip string) string {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// start starts a daemon with the command of the deploy file. app is the replica of a side.
func (r *rig) start(role, name, ip, zone, app, service string, bounds map[string]any) (*daemon, error) {
	d := &daemon{name: name, ip: ip, front: freePort(ip), ready: freePort(ip), done: make(chan struct{})}
	b := map[string]any{
		"seed-lag-s": 3, "reuse-after-s": 2, "stable-ms": 4000, "ack-ms": 5000, "catch-up-s": 4, "drain-ms": 2500, "grace-s": 8, "loss-slack-ms": 200,
		"config-deadline-ms": 2500, "rollback-slack-ms": 250, "max-skew-ms": 6000, "strict-revoke": false, "revoke-ms": 5000, "retry-budget-ratio": 0.2,
		"budget-window-s": 10, "budget-extra": 56, "recover-s": 12, "transit-ms": 300, "reuse-window-s": 10, "require-fence": true, "lease-ms": 3000,
		"thaw-ms": 300, "version-ms": 10000, "version-all-ms": 14000,
	}
	for key, value := range bounds {
		b[key] = value
	}
	memory := 284
	if role == "side" {
		memory = 216
	}
	settings := map[string]any{
		"node-name": name, "role": role, "machine-class": role, "serves": []string{role}, "ip": ip, "zone": zone, "region": zones[zone], "zones": zones,
		"listen": map[string]string{"front": d.front, "ready": d.ready}, "ephemeral-ports": []int{r.port, r.port + 15}, "seed-nodes": []string{},
		"bootstrap": true, "tolerance-member": false, "data-dir": nil, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1200,
		"limits":     map[string]any{"cpu-share": 0.304, "cpu-cores": 1, "memory-mb": memory, "max-fds": 4100, "link-mbps": 1000, "disk-mb": 0},
		"invariants": []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"},
		"bounds":     b,
		"platform":   map[string]any{"address": r.store.address, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
	}
	if app != "" {
		settings["app"], settings["service"] = app, service
	}
	if r.storeAddress != nil {
		settings["platform"].(map[string]any)["address"] = r.storeAddress(name)
	}
	text, _ := json.Marshal(settings)
	path := filepath.Join(r.dir, name+".yaml")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(r.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	d.cmd = exec.Command(os.Getenv("PLATFORM_BIN"), role)
	d.cmd.Env = []string{"CYCLAMENWARD_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + r.dir}
	d.cmd.Stdout, d.cmd.Stderr = out, out
	if err := d.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		d.exit = d.cmd.Wait()
		close(d.done)
	}()
	r.daemons = append(r.daemons, d)
	return d, nil
}

// awaitReady waits until a daemon answers that it is ready.
func (r *rig) awaitReady(d *daemon) error {
	for range 200 {
		if status, _ := get(d.ready, "/ready"); status == 200 {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s isn't ready", d.name)
}

// get sends a plain GET and returns the status.
func get(address, path string) (int, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: probe.example\r\nConnection: close\r\n\r\n", path)
	var status int
	_, err = fmt.Fscanf(c, "HTTP/1.1 %d", &status)
	return status, err
}

// close ends all processes that the rig started and removes its files.
func (r *rig) close() {
	for _, d := range r.daemons {
		select {
		case <-d.done:
			continue
		default:
		}
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
		_ = d.cmd.Process.Kill()
		<-d.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println(r.dir)
	}
	_ = r.record.Close()
}
