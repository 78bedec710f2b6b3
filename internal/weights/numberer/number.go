// Package numberer orders the weights versions of a model, which are names, by when
// they were wanted.
package numberer

import "sync"

// firstWanted is the number of the first version that is wanted. Versions that were
// only met have lower ones.
const firstWanted = 1 << 20

// Numberer gives each version a number. It is safe for concurrent use.
type Numberer struct {
	// mu guards the fields below.
	mu      sync.Mutex
	numbers map[string]int
	names   map[int]string
	// wanted is the newest version and met the last number of a version that was only
	// met.
	wanted      string
	newest, met int
}

// New returns a numberer that knows no version.
func New() *Numberer {
	return &Numberer{numbers: make(map[string]int), names: make(map[int]string), newest: firstWanted - 1}
}

// SetWanted makes a version the newest. One that was wanted before gets another number.
func (n *Numberer) SetWanted(version string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version == "" || version == n.wanted {
		return
	}
	n.wanted = version
	n.newest++
	n.set(version, n.newest)
}

// Number returns the number of a version, 0 for "".
func (n *Numberer) Number(version string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version == "" {
		return 0
	}
	if n.numbers[version] == 0 {
		n.met++
		n.set(version, n.met)
	}
	return n.numbers[version]
}

// Version returns the version of a number, "" for none.
func (n *Numberer) Version(number int) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.names[number]
}

// set gives a version a number. The caller holds mu.
func (n *Numberer) set(version string, number int) {
	n.numbers[version] = number
	n.names[number] = version
}
