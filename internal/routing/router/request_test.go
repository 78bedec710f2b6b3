package router

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestContentKeysTellRequestsApart has the same bytes split into fields in different ways.
func TestContentKeysTellRequestsApart(t *testing.T) {
	key := func(fields ...string) uint64 {
		var list [][]byte
		for _, field := range fields {
			list = append(list, []byte(field))
		}
		return NewContentKey(list...)
	}
	assert.Equal(t, key("caller", "/path", "body"), key("caller", "/path", "body"))
	seen := map[uint64]bool{}
	for _, k := range []uint64{key("caller", "/path", "body"), key("caller", "/pathbody", ""), key("callers", "/path", "body"), key("caller", "/path"), key("", "caller", "/path", "body"), key()} {
		assert.Assert(t, k != 0 && !seen[k])
		seen[k] = true
	}
}

// TestIncarnationsHaveDistinctKeys has similar IDs start at similar times.
func TestIncarnationsHaveDistinctKeys(t *testing.T) {
	seen := map[uint64]Incarnation{}
	for i := range 10 {
		for start := range int64(1000) {
			incarnation := Incarnation{ID: fmt.Sprint("i-", i), StartUnixMilli: start}
			other, found := seen[incarnation.key()]
			assert.Assert(t, !found, "%v and %v", incarnation, other)
			seen[incarnation.key()] = incarnation
		}
	}
}
