package observer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/weights/observer"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// TestAgeCountsFromTheFirstNewerVersion names versions in quick succession: weights
// age from the first that replaced them, however many follow.
func TestAgeCountsFromTheFirstNewerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := observer.New(0, timekeeper.System{})
		o.Observe(nil)
		began := time.Now()
		for version := 2; version <= 5; version++ {
			<-time.After(2 * time.Second)
			o.Observe([]observer.WantedVersion{{Model: "m", Version: version, Revision: uint64(version)}})
		}
		since, replaced := o.SupersededAt("m", 1)
		assert.Assert(t, replaced)
		assert.Equal(t, since.Sub(began), 2*time.Second)
		since, _ = o.SupersededAt("m", 3)
		assert.Equal(t, since.Sub(began), 6*time.Second)
		_, replaced = o.SupersededAt("m", 5)
		assert.Assert(t, !replaced)
		o.Observe([]observer.WantedVersion{{Model: "m", Version: 4}})
		assert.Equal(t, o.Newest()[0].Version, 5)
	})
}

// TestVersionsOfBeforeTheStartAreOld starts a daemon behind the naming.
func TestVersionsOfBeforeTheStartAreOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := observer.New(5*time.Second, timekeeper.System{})
		o.Observe([]observer.WantedVersion{{Model: "m", Version: 2}})
		since, _ := o.SupersededAt("m", 1)
		assert.Equal(t, time.Since(since), 5*time.Second)
		o.Observe([]observer.WantedVersion{{Model: "m", Version: 3}})
		since, _ = o.SupersededAt("m", 2)
		assert.Equal(t, time.Since(since), time.Duration(0))
	})
}
