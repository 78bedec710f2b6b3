package measurer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRunsRepeat checks that the same seed gives the same figures.
func TestRunsRepeat(t *testing.T) {
	for _, p := range Policies() {
		first := run(LoneStar(), Faults()[1], p, 7, 20*time.Second)
		again := run(LoneStar(), Faults()[1], p, 7, 20*time.Second)
		assert.Equal(t, first.row(LoneStar(), Faults()[1], p), again.row(LoneStar(), Faults()[1], p))
	}
}

// TestEveryRequestIsAnsweredOrRefused checks that no run loses a request.
func TestEveryRequestIsAnsweredOrRefused(t *testing.T) {
	for _, f := range Faults() {
		for _, p := range Policies() {
			total := run(LoneStar(), f, p, 3, 40*time.Second)
			assert.Equal(t, int(total.first.TotalCount())+total.refusals, total.requests, "%s under %s", p.Name, f.Name)
		}
	}
}

// BenchmarkRun is one virtual minute of one policy.
func BenchmarkRun(b *testing.B) {
	for b.Loop() {
		run(LoneStar(), Fault{Name: "none"}, ProductPolicy(), 1, time.Minute)
	}
}
