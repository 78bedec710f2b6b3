// Package launcher runs the daemons of the users' platform as processes of their own, disturbs them
// with signals and starts them again, as the platform does.
package launcher

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/checker"
	"github.com/cyclamenward/cyclamenward/internal/standin/fleet"
)

const (
	// settingsVariable is the environment variable that holds the path of the settings.
	settingsVariable = "CYCLAMENWARD_BOOT"
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 100 * time.Millisecond
	// readyTimeout bounds a readiness probe, and readyInterval is the time between two.
	readyTimeout, readyInterval = time.Second, 20 * time.Millisecond
)

// Daemon is a process that is started again whenever it has ended, until it is closed.
type Daemon struct {
	machine      Machine
	front, ready string
	history      *checker.History
	process      *fleet.Process
	closing      chan struct{}
	done         chan struct{}

	// mu guards the fields below and the signals to the process.
	mu sync.Mutex
	// running is set while there is a process.
	running   bool
	startedAt time.Time
	// ends holds the functions that end disturbances when the process starts again.
	ends []func()
	// pauses counts the pauses that overlap.
	pauses int
	// kill is the timer that ends the process once the grace time is over.
	kill *time.Timer
	// crashes counts the exits that were not caused by a signal of this package. crashOutput is the tail of the log at
	// the most recent one.
	crashes     int
	crashOutput string
	// caused is set if the process was sent a signal that ends it.
	caused bool
	grace  time.Duration
}

// New writes the settings of a machine and starts its daemon by the program at a path.
func New(folder string, machine Machine, program string, bounds checker.Bounds, history *checker.History) (*Daemon, error) {
	d := &Daemon{machine: machine, history: history, closing: make(chan struct{}), done: make(chan struct{}), grace: bounds.Grace}
	ports, err := fleet.FreePorts(machine.IP, 2)
	if err != nil {
		return nil, fmt.Errorf("reserve the ports of %s: %w", machine.Name, err)
	}
	d.front, d.ready = net.JoinHostPort(machine.IP, strconv.Itoa(ports[0])), net.JoinHostPort(machine.IP, strconv.Itoa(ports[1]))
	text, err := settingsText(machine, d.front, d.ready, bounds)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(folder, machine.Name+".yaml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, fmt.Errorf("write settings of %s: %w", machine.Name, err)
	}
	end := history.Disturb(machine.Name, checker.FaultStart, false)
	d.process, err = fleet.StartProcess(folder, machine.Name, []string{settingsVariable + "=" + path}, program, machine.Role)
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", machine.Name, err)
	}
	end()
	d.running, d.startedAt = true, time.Now()
	go d.keep()
	return d, nil
}

// Name returns the name of the daemon, Front the address where it serves callers.
func (d *Daemon) Name() string { return d.machine.Name }

// Front returns the address where the daemon serves callers.
func (d *Daemon) Front() string { return d.front }

// IP returns the IP address of the machine.
func (d *Daemon) IP() string { return d.machine.IP }

// ResidentMemory returns the resident memory of the process in bytes.
func (d *Daemon) ResidentMemory() (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process.ResidentMemory()
}

// Crashes returns how often the process ended by itself.
func (d *Daemon) Crashes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashes
}

// CrashOutput returns the tail of the log at the most recent crash.
func (d *Daemon) CrashOutput() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashOutput
}

// Running reports whether there is a process.
func (d *Daemon) Running() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running
}

// StartedAt returns when the process was last started.
func (d *Daemon) StartedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.startedAt
}

// keep starts the process again each time it has ended, until the daemon is closed.
func (d *Daemon) keep() {
	defer close(d.done)
	for {
		<-d.process.Exited()
		d.mu.Lock()
		d.running = false
		if !d.caused {
			d.crashes++
			d.crashOutput = d.process.LastOutput()
			// A process that ends by itself counts as running all the while.
			d.ends = append(d.ends, d.history.Disturb(d.machine.Name, "CRASH", true))
		}
		if d.kill != nil {
			d.kill.Stop()
			d.kill = nil
		}
		d.mu.Unlock()
		select {
		case <-d.closing:
			return
		case <-time.After(restartDelay):
		}
		if !d.restart() {
			return
		}
	}
}

// restart starts the process and ends the disturbances of the one before.
func (d *Daemon) restart() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.closing:
		return false
	default:
	}
	d.ends = append(d.ends, d.history.Disturb(d.machine.Name, checker.FaultStart, !d.caused))
	if d.process.Restart() != nil {
		return false
	}
	d.running, d.caused, d.startedAt = true, false, time.Now()
	d.pauses = 0
	for _, end := range d.ends {
		end()
	}
	d.ends = nil
	return true
}

// Kill ends the process at once.
func (d *Daemon) Kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.end("KILL", syscall.SIGKILL, false)
}

// Terminate ends the process as planned: by SIGTERM, and by SIGKILL after the grace time.
func (d *Daemon) Terminate() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.kill != nil {
		d.end("TERM AGAIN", syscall.SIGTERM, true)
		return
	}
	if !d.end(checker.FaultStop, syscall.SIGTERM, true) {
		return
	}
	process := d.process.ID()
	d.kill = time.AfterFunc(d.grace, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.running && d.process.ID() == process {
			d.end("GRACE OVER", syscall.SIGKILL, true)
		}
	})
}

// end sends a signal that ends the process. It returns false if there is none. The caller holds mu.
func (d *Daemon) end(fault string, signal syscall.Signal, planned bool) bool {
	if !d.running {
		return false
	}
	d.caused = true
	d.ends = append(d.ends, d.history.Disturb(d.machine.Name, fault, planned))
	_ = d.process.Signal(signal)
	return true
}

// RunOut ends the process because its memory is over the limit. It counts as one that ended by
// itself.
func (d *Daemon) RunOut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running {
		_ = d.process.Signal(syscall.SIGKILL)
		d.running = false
	}
}

// Reload sends SIGHUP.
func (d *Daemon) Reload() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running {
		d.history.Disturb(d.machine.Name, "HUP", true)()
		_ = d.process.Signal(syscall.SIGHUP)
	}
}

// Pause freezes the process and returns a function that thaws it.
func (d *Daemon) Pause() (thaw func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.running {
		return func() {}
	}
	process, end := d.process.ID(), d.history.Disturb(d.machine.Name, "STOP", false)
	d.pauses++
	_ = d.process.Signal(syscall.SIGSTOP)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.process.ID() == process && d.running {
			if d.pauses--; d.pauses == 0 {
				_ = d.process.Signal(syscall.SIGCONT)
			}
		}
		end()
	}
}

// Ready reports whether the daemon says that it is ready.
func (d *Daemon) Ready() bool {
	client := http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + d.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until the daemon is ready.
func (d *Daemon) AwaitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		if d.Ready() {
			return nil
		}
		<-time.After(readyInterval)
	}
	return fmt.Errorf("%s is not ready after %v, ended by itself %d times, and wrote last: %s", d.machine.Name, timeout, d.Crashes(), d.process.LastOutput())
}

// Close kills the process for good.
func (d *Daemon) Close() {
	d.mu.Lock()
	select {
	case <-d.closing:
	default:
		close(d.closing)
	}
	d.caused = true
	_ = d.process.Signal(syscall.SIGKILL)
	d.mu.Unlock()
	<-d.done
}
