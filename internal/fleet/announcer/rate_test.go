package announcer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestMessagesStayWithinTheirRate opens as many sessions as small and large deployments
// have. Small ones keep their periods; large ones stay within the rate, and any within
// half of what counts as silence.
func TestMessagesStayWithinTheirRate(t *testing.T) {
	a := &Announcer{sessions: make(map[*session]bool)}
	near, far := &session{owner: a}, &session{owner: a}
	far.far.Store(true)
	for n := 1; n <= 1000; n++ {
		a.sessions[new(session)] = true
		if n <= 50 {
			assert.Equal(t, near.period(), period)
			assert.Equal(t, far.period(), farPeriod)
		}
		if n <= 200 {
			assert.Assert(t, float64(n)/near.period().Seconds() <= messageRate+0.1, "%d sessions", n)
		}
		assert.Assert(t, near.period() <= silenceLimit/2 && far.period() <= silenceLimit/2, "%d sessions", n)
	}
}
