package router

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestSizeClasses guards against counters whose number depends on what callers send.
func TestSizeClasses(t *testing.T) {
	for tokens, want := range map[int]string{-1: "1k", 0: "1k", 1: "1k", 1024: "1k", 1025: "2k", 12_000: "16k", 32_768: "32k", 32_769: "64k", 1 << 40: "64k"} {
		assert.Equal(t, sizeClass(tokens), want)
	}
}
