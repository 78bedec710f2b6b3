package announcer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// TestUploadsAreBounded starts transfers on links of several rates: one at a time is sent on a slow
// link, two on others, and another once one has ended.
func TestUploadsAreBounded(t *testing.T) {
	for link, limit := range map[float64]int{0: maxUploads, fastLink: maxUploads, slowLink: 1} {
		u := newUploader(timekeeper.System{}, link)
		for range limit {
			assert.Assert(t, u.start(), "link of %.0f bytes a second", link)
		}
		assert.Assert(t, !u.start(), "link of %.0f bytes a second", link)
		u.end()
		assert.Assert(t, u.start() && !u.start(), "link of %.0f bytes a second", link)
	}
}

// TestUploadsLeaveLinkToRequests sends parts as soon as each may be: all together take their share
// of the link, also after a pause, whose share is not made up for. Without a known rate nothing waits.
func TestUploadsLeaveLinkToRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newUploader(timekeeper.System{}, slowLink)
		for range 3 {
			const parts = 64
			started := time.Now()
			for range parts {
				<-time.After(u.reserve(partBytes))
			}
			rate := float64((parts-1)*partBytes) / time.Since(started).Seconds()
			assert.Assert(t, rate <= slowLink*uploadShare*1.001, "%.0f bytes a second", rate)
			<-time.After(time.Minute)
		}
		assert.Equal(t, newUploader(timekeeper.System{}, 0).reserve(1<<30), time.Duration(0))
	})
}

// TestUploadsAreEncodedOnce encodes the same changes for several daemons, and others: only changes
// after the same revision up to the same one are reused, and none that keys were added to.
func TestUploadsAreEncodedOnce(t *testing.T) {
	u := newUploader(timekeeper.System{}, 0)
	encode := func(value string, revision, after uint64, keys ...string) string {
		data, err := u.encode(replicator.Delta{Revision: revision, Items: []replicator.Item{{Key: "c", Value: []byte(value), Revision: revision}}}, after, keys)
		assert.NilError(t, err)
		delta, err := decompressDelta(data)
		assert.NilError(t, err)
		return string(delta.Items[0].Value)
	}
	assert.Equal(t, encode("first", 7, 3), "first")
	assert.Equal(t, encode("not looked at", 7, 3), "first")
	assert.Equal(t, encode("with keys", 7, 3, "d"), "with keys")
	assert.Equal(t, encode("other start", 7, 4), "other start")
	assert.Equal(t, encode("later", 8, 4), "later")
}
