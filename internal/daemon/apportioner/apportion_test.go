package apportioner_test

import (
	"testing"

	"github.com/cyclamenward/cyclamenward/internal/daemon/apportioner"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestPartsLeaveRoomForTheRest guards against parts that together take all descriptors: a request needs one of
// each part, and the rest has to remain for the store and other daemons.
func TestPartsLeaveRoomForTheRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		descriptors := rapid.IntRange(40, 1<<30).Draw(t, "descriptors")
		parts := apportioner.Divide(descriptors)
		assert.Check(t, parts.Callers > 0 && parts.Servers >= parts.Callers)
		rest := descriptors - parts.Callers - parts.Servers
		assert.Check(t, rest >= min(200, descriptors/2)+min(300, descriptors/25), "%d of %d are left", rest, descriptors)
	})
	assert.Equal(t, apportioner.Divide(0), apportioner.Parts{})
	assert.Equal(t, apportioner.Divide(4100), apportioner.Parts{Callers: 1755, Servers: 1755})
}

// TestLimitIsTheLowerOne guards against a configured limit above what the system allows.
func TestLimitIsTheLowerOne(t *testing.T) {
	var system unix.Rlimit
	assert.NilError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &system))
	for configured, want := range map[int]int{0: int(min(system.Cur, 1<<30)), 17: 17, 1 << 40: int(min(system.Cur, 1<<30))} {
		limit, err := apportioner.Limit(configured)
		assert.NilError(t, err)
		assert.Equal(t, limit, want)
	}
}
