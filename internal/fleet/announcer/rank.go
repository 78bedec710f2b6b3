package announcer

import (
	"math/bits"

	"github.com/zeebo/xxh3"
)

// rankHashBits is the size of the hash in a rank. Above it are powers of two of the link's
// rate.
const rankHashBits = 56

// Rank returns the rank of an entry, which is never 0: that stands for a sidecar. Entries
// with low ranks watch the store: those with fast links, since a large configuration takes
// most of a second on a slow one, and among these by a hash of their names.
func Rank(name string, linkMbps float64) uint64 {
	slowness := uint64(bits.LeadingZeros64(uint64(linkMbps)))
	return max(1, slowness<<rankHashBits|xxh3.HashString(name)>>(64-rankHashBits))
}
