package announcer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestMessagesStayWithinRateLimit opens as many sessions as small and large deployments
// have. Up to 50 sessions the intervals are the shortest, up to 200 the rate stays within
// its limit, and with any number the intervals are at most half of silenceTimeout.
func TestMessagesStayWithinRateLimit(t *testing.T) {
	a := &Announcer{sessions: make(map[*session]bool)}
	sameRegion, otherRegion := &session{announcer: a}, &session{announcer: a}
	otherRegion.otherRegion.Store(true)
	for n := 1; n <= 1000; n++ {
		a.sessions[new(session)] = true
		if n <= 50 {
			assert.Equal(t, sameRegion.messageInterval(), sameRegionInterval)
			assert.Equal(t, otherRegion.messageInterval(), otherRegionInterval)
		}
		if n <= 200 {
			assert.Assert(t, float64(n)/sameRegion.messageInterval().Seconds() <= maxMessagesPerSecond+0.1, "%d sessions", n)
		}
		assert.Assert(t, sameRegion.messageInterval() <= silenceTimeout/2 && otherRegion.messageInterval() <= silenceTimeout/2, "%d sessions", n)
	}
}
