// Package numberer numbers the versions of a model's weights. Versions are names
// without an order; their numbers grow in the order in which the versions were wanted.
package numberer

import "sync"

// firstWantedNumber is the number of the first wanted version. Lower numbers are left
// for versions that are looked up although they were never wanted.
const firstWantedNumber = 1 << 20

// Numberer gives each version a number. It is safe for concurrent use.
type Numberer struct {
	// mu guards the fields below.
	mu sync.Mutex
	// numbers maps each version to its current number.
	numbers map[string]int
	// versions maps each number, also former ones, to its version.
	versions map[int]string
	// wantedVersion is the version that was wanted last, lastWantedNumber its number
	// and lastOtherNumber the last number given to a version that was never wanted.
	wantedVersion                     string
	lastWantedNumber, lastOtherNumber int
}

// New returns a numberer that knows no version.
func New() *Numberer {
	return &Numberer{numbers: make(map[string]int), versions: make(map[int]string), lastWantedNumber: firstWantedNumber - 1}
}

// SetWanted gives a version the highest number. A version that was wanted before, and is
// wanted again after another one, gets a new number; Version still maps the old one to
// it.
func (n *Numberer) SetWanted(version string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version == "" || version == n.wantedVersion {
		return
	}
	n.wantedVersion = version
	n.lastWantedNumber++
	n.assign(version, n.lastWantedNumber)
}

// Number returns the current number of a version, 0 for "". A version that was never
// wanted gets a number below those of the wanted ones.
func (n *Numberer) Number(version string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version == "" {
		return 0
	}
	if n.numbers[version] == 0 {
		n.lastOtherNumber++
		n.assign(version, n.lastOtherNumber)
	}
	return n.numbers[version]
}

// Version returns the version that has or had a number, "" if there is none.
func (n *Numberer) Version(number int) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.versions[number]
}

// assign gives a version a number. The caller holds mu.
func (n *Numberer) assign(version string, number int) {
	n.numbers[version] = number
	n.versions[number] = version
}
