package router

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRecentMapForgetsUnusedEntries fills two generations, uses one entry of the first
// again and replaces a known entry, which must not begin a generation.
func TestRecentMapForgetsUnusedEntries(t *testing.T) {
	r := newRecentMap[int](3)
	for key := range uint64(3) {
		r.put(key, int(key))
	}
	r.put(1, 10)
	assert.Equal(t, len(r.previous), 0, "a known entry begins no generation")
	r.put(3, 3)
	value, found := r.get(1)
	assert.Assert(t, found && value == 10)
	r.put(4, 4)
	r.put(5, 5)
	_, found = r.get(0)
	assert.Assert(t, !found, "not used for two generations")
	_, found = r.get(1)
	assert.Assert(t, found)
	r.remove(1)
	_, found = r.get(1)
	assert.Assert(t, !found)
}
