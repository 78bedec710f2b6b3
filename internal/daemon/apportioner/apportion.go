// Package apportioner divides the file descriptors of a process among those that open connections.
//
// A process without a free descriptor can neither accept a connection nor open one.
package apportioner

import (
	"fmt"

	"golang.org/x/sys/unix"
)

const (
	// reservedFiles is how many descriptors are kept for files. A process with fewer than twice as many
	// keeps half of them.
	reservedFiles = 200
	// callerRatio and serverRatio are the parts of callers' connections and of connections to backend
	// servers: a request takes one of each. The rest is for other daemons, the store, health checks
	// and connections that are being closed.
	callerRatio, serverRatio = 0.45, 0.45
	// maxDescriptors bounds limits that mean none.
	maxDescriptors = 1 << 30
)

// Parts are the parts of a process's descriptors.
type Parts struct {
	// Callers and Servers are how many connections may be open, 0 for no limit: those of callers and
	// those to backend servers.
	Callers, Servers int
}

// DivideOwn divides the descriptors that this process may have: see Limit.
func DivideOwn(configured int) (Parts, error) {
	descriptors, err := Limit(configured)
	if err != nil {
		return Parts{}, err
	}
	return Divide(descriptors), nil
}

// Divide divides a number of descriptors. It is 0 if there is no limit.
func Divide(descriptors int) Parts {
	available := float64(max(descriptors-reservedFiles, descriptors/2))
	if available <= 0 {
		return Parts{}
	}
	return Parts{Callers: max(1, int(callerRatio*available)), Servers: max(1, int(serverRatio*available))}
}

// Limit returns how many descriptors this process may have: the system's limit, or the configured one if that
// is lower and not 0.
func Limit(configured int) (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return max(0, configured), fmt.Errorf("limit of descriptors: %w", err)
	}
	own := int(min(limit.Cur, maxDescriptors))
	if configured > 0 {
		own = min(own, configured)
	}
	return own, nil
}
