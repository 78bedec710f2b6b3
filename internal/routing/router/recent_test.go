package router

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRecentForgetsWhatIsNotUsed fills generations, uses one entry of each and puts known
// entries again, which begins no generation.
func TestRecentForgetsWhatIsNotUsed(t *testing.T) {
	r := newRecent[int](3)
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
