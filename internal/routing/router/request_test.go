package router

import (
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
