package fleet

import (
	"fmt"
	"net"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPortsAreNotThoseOfTheSystem guards against daemons that do not start because a socket that sends UDP
// from any address has been given their port in the meantime.
func TestPortsAreNotThoseOfTheSystem(t *testing.T) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	assert.NilError(t, err)
	first := 0
	_, err = fmt.Sscan(string(text), &first)
	assert.NilError(t, err)
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
