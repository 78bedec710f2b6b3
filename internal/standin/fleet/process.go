// Package fleet runs a whole deployment as separate processes on loopback ports:
// the stand-ins, some entries, and a sidecar for every backend server. It signals
// processes only by their IDs.
package fleet

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"
)

// Process is a process of the fleet, which may have ended and can be started again.
type Process struct {
	name string
	path string
	args []string
	// environment is added to that of this process.
	environment []string
	logPath     string
	command     *exec.Cmd
	// exited is closed when the present command has ended.
	exited chan struct{}
}

// startProcess runs a program with its output in a log file.
func startProcess(directory, name, path string, args ...string) (*Process, error) {
	return StartProcess(directory, name, nil, path, args...)
}

// StartProcess runs a program with its output in a log file, and with additions to the environment.
func StartProcess(directory, name string, environment []string, path string, args ...string) (*Process, error) {
	p := &Process{name: name, path: path, args: args, environment: environment, logPath: filepath.Join(directory, name+".log")}
	return p, p.start()
}

// start runs the command and appends its output to the log file.
func (p *Process) start() error {
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", p.name, err)
	}
	defer func() { _ = logFile.Close() }()
	p.command = exec.Command(p.path, p.args...)
	p.command.Stdout, p.command.Stderr = logFile, logFile
	// The race detector holds up the end of a process for a second by default.
	p.command.Env = append(append(os.Environ(), "GORACE=atexit_sleep_ms=0"), p.environment...)
	// What this process started ends with it, however it ends.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.exited = exited
	command := p.command
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// Name returns the process's name in the fleet.
func (p *Process) Name() string { return p.name }

// ID returns the process ID.
func (p *Process) ID() int { return p.command.Process.Pid }

// LogPath returns the file that holds the process's output.
func (p *Process) LogPath() string { return p.logPath }

// LastOutput returns the end of the process's output, "" if it cannot be read.
func (p *Process) LastOutput() string {
	text, err := os.ReadFile(p.logPath)
	if err != nil {
		return ""
	}
	return string(text[max(0, len(text)-lastOutputBytes):])
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error {
	if err := p.command.Process.Signal(signal); err != nil {
		return fmt.Errorf("signal %s: %w", p.name, err)
	}
	return nil
}

// Kill ends the process with SIGKILL and waits until it has ended.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// Restart starts the process again with the same arguments. It must have ended.
func (p *Process) Restart() error { return p.start() }

// Exited returns a channel that is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Terminate sends SIGTERM and returns whether the process has ended within the timeout.
func (p *Process) Terminate(timeout time.Duration) bool {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// fleetCount counts the fleets of this process.
var fleetCount atomic.Uint32

// LoopbackHost returns a loopback IP address that nothing else uses: on 127.0.0.1 the system gives
// a port that is free now to any connection or program.
func LoopbackHost() string {
	pid, n := os.Getpid(), fleetCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+n%254, pid>>8&0xff, 1+pid%254)
}

// Ports of FreePorts. They are below those that the system gives to sockets by itself: one that sends
// UDP from any address takes its port from all hosts.
const minPort, maxPort = 15000, 30000

// lastOutputBytes is how much LastOutput returns.
const lastOutputBytes = 2000

// maxPortTries bounds how many ports are tried for an address.
const maxPortTries = 100

// freeAddresses returns n different loopback addresses whose ports are free.
func freeAddresses(n int) ([]string, error) {
	host := LoopbackHost()
	ports, err := FreePorts(host, n)
	if err != nil {
		return nil, err
	}
	addresses := make([]string, n)
	for i, port := range ports {
		addresses[i] = net.JoinHostPort(host, strconv.Itoa(port))
	}
	return addresses, nil
}

// FreePorts returns n different ports of an IP address that are free for TCP and UDP.
func FreePorts(ip string, n int) ([]int, error) {
	var sockets []io.Closer
	defer func() {
		for _, s := range sockets {
			_ = s.Close()
		}
	}()
	ports := make([]int, n)
	for i := range ports {
		for try := 0; ports[i] == 0; try++ {
			port := minPort + rand.IntN(maxPort-minPort)
			reserved, err := reserve(net.JoinHostPort(ip, strconv.Itoa(port)))
			if err == nil {
				ports[i], sockets = port, append(sockets, reserved...)
			} else if try == maxPortTries {
				return nil, fmt.Errorf("reserve a loopback port: %w", err)
			}
		}
	}
	return ports, nil
}

// reserve takes a port for TCP and UDP until the sockets are closed.
func reserve(address string) ([]io.Closer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("listen for packets: %w", err), l.Close())
	}
	return []io.Closer{l, packets}, nil
}
