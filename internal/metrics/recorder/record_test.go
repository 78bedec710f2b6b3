package recorder_test

import (
	"strings"
	"testing"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/metrics/recorder"
	"gotest.tools/v3/assert"
)

// TestTextHasCountersAndQuantiles records a counter and a histogram, with one time beyond
// the maximum.
func TestTextHasCountersAndQuantiles(t *testing.T) {
	r := recorder.New()
	r.Count("answered")
	r.Count("answered")
	for i := range 100 {
		r.Observe("firstEvent", time.Duration(i+1)*time.Millisecond)
	}
	r.Observe("firstEvent", time.Hour)
	text := string(r.Text())
	for _, line := range []string{"answered 2\n", "firstEvent.count 101\n", "firstEvent.p50 51."} {
		assert.Assert(t, strings.Contains(text, line), "%s", text)
	}
}

// BenchmarkObserve measures recording one duration.
func BenchmarkObserve(b *testing.B) {
	r := recorder.New()
	for b.Loop() {
		r.Observe("firstEvent", 100*time.Millisecond)
	}
}
