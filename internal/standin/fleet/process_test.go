package fleet

import (
	"fmt"
	"net"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// firstSystemPort returns the first port that the system gives to sockets by itself.
func firstSystemPort(t *testing.T) (first int) {
	t.Helper()
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	assert.NilError(t, err)
	_, err = fmt.Sscan(string(text), &first)
	assert.NilError(t, err)
	return first
}

// TestPortsAreNotThoseOfTheSystem guards against daemons that do not start because a socket that sends UDP
// from any address has been given their port in the meantime.
func TestPortsAreNotThoseOfTheSystem(t *testing.T) {
	first := firstSystemPort(t)
	addresses, err := freeAddresses(64)
	assert.NilError(t, err)
	seen := make(map[string]bool)
	for _, address := range addresses {
		resolved, err := net.ResolveTCPAddr("tcp", address)
		assert.NilError(t, err)
		assert.Check(t, resolved.Port < first && !seen[address], address)
		seen[address] = true
	}
}

// TestPortsOfOneHostDiffer guards against daemons that never get ready because two of their listeners were
// given one port, or a relay on their host was.
func TestPortsOfOneHostDiffer(t *testing.T) {
	first := firstSystemPort(t)
	ports, err := FreePorts(LoopbackHost(), 64)
	assert.NilError(t, err)
	seen := make(map[int]bool)
	for _, port := range ports {
		assert.Check(t, port < first && !seen[port], port)
		seen[port] = true
	}
}
