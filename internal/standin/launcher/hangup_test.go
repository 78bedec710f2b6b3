package launcher

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// TestHangupAtStartEndsNoProcess guards against SIGHUP in the first milliseconds of a process, which
// ended it (LOST): once the runtime handles signals, SIGHUP is ignored.
func TestHangupAtStartEndsNoProcess(t *testing.T) {
	folder := os.Getenv("CYCLAMENWARD_BIN")
	assert.Assert(t, folder != "", "run this test by make test, which builds the programs")
	// A daemon whose settings cannot be read yet waits for them.
	settings := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, syscall.Mkfifo(settings, 0o600))
	command := exec.Command(filepath.Join(folder, "cyclamenward-platform"), "edge")
	command.Env = append(os.Environ(), settingsVariable+"="+settings)
	assert.NilError(t, command.Start())
	defer func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	}()
	for {
		status := processStatus(t, command.Process.Pid)
		ignored, caught := signalMask(t, status, "SigIgn"), signalMask(t, status, "SigCgt")
		if caught&signalBit(syscall.SIGURG) == 0 {
			// The runtime has not started.
			continue
		}
		assert.Assert(t, ignored&signalBit(syscall.SIGHUP) != 0, "the runtime handles signals, and SIGHUP is not ignored")
		return
	}
}

// signalBit returns the bit of a signal in a mask.
func signalBit(signal syscall.Signal) uint64 { return 1 << (signal - 1) }

// processStatus returns the status of a process at one moment.
func processStatus(t *testing.T, process int) string {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	assert.NilError(t, err)
	return string(status)
}

// signalMask returns a mask of signals from the status of a process.
func signalMask(t *testing.T, status, name string) uint64 {
	t.Helper()
	_, rest, found := strings.Cut(status, name+":")
	assert.Assert(t, found, "no field %s", name)
	text, _, _ := strings.Cut(rest, "\n")
	mask, err := strconv.ParseUint(strings.TrimSpace(text), 16, 64)
	assert.NilError(t, err)
	return mask
}
