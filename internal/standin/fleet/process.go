// Package fleet runs a whole deployment as separate processes on loopback ports:
// the stand-ins, some entries, and a sidecar beside every backend server. Every
// process is ended by its process id.
package fleet

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is one running process.
type Process struct {
	name    string
	path    string
	args    []string
	logPath string
	command *exec.Cmd
	exited  chan struct{}
}

// startProcess runs a program with its output in a log file.
func startProcess(directory, name, path string, args ...string) (*Process, error) {
	p := &Process{name: name, path: path, args: args, logPath: filepath.Join(directory, name+".log")}
	return p, p.start()
}

func (p *Process) start() error {
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", p.name, err)
	}
	defer func() { _ = logFile.Close() }()
	p.command = exec.Command(p.path, p.args...)
	p.command.Stdout, p.command.Stderr = logFile, logFile
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

// ID returns the process id.
func (p *Process) ID() int { return p.command.Process.Pid }

// LogPath returns the file that holds the process's output.
func (p *Process) LogPath() string { return p.logPath }

// Signal sends a signal.
func (p *Process) Signal(signal syscall.Signal) error {
	if err := p.command.Process.Signal(signal); err != nil {
		return fmt.Errorf("signal %s: %w", p.name, err)
	}
	return nil
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// Restart starts the process again after its end, with the same arguments.
func (p *Process) Restart() error { return p.start() }

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Terminate asks the process to end and waits for at most the limit.
func (p *Process) Terminate(limit time.Duration) bool {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// freeAddresses returns n loopback addresses with ports that are free now.
func freeAddresses(n int) ([]string, error) {
	var held []net.Listener
	defer func() {
		for _, l := range held {
			_ = l.Close()
		}
	}()
	addresses := make([]string, n)
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find a port: %w", err)
		}
		held = append(held, l)
		addresses[i] = l.Addr().String()
	}
	return addresses, nil
}
