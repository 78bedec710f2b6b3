package measurer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSameSeedGivesSameFigures runs every policy twice on one seed, with engine
// crashes, and checks that the figures are the same.
func TestSameSeedGivesSameFigures(t *testing.T) {
	for _, p := range Policies() {
		first := runSeed(LoneStar(), Faults()[1], p, 7, 20*time.Second)
		second := runSeed(LoneStar(), Faults()[1], p, 7, 20*time.Second)
		assert.Equal(t, first.toRow(LoneStar(), Faults()[1], p), second.toRow(LoneStar(), Faults()[1], p))
	}
}

// TestEveryRequestIsAnsweredOrRefused checks that no request of a run is lost or
// counted twice, under any fault and policy.
func TestEveryRequestIsAnsweredOrRefused(t *testing.T) {
	for _, f := range Faults() {
		for _, p := range Policies() {
			total := runSeed(LoneStar(), f, p, 3, 40*time.Second)
			assert.Equal(t, int(total.firstToken.TotalCount())+total.refusals, total.requests, "%s under %s", p.Name, f.Name)
		}
	}
}

// BenchmarkRun simulates one virtual minute of the chooser's policy.
func BenchmarkRun(b *testing.B) {
	for b.Loop() {
		runSeed(LoneStar(), Fault{Name: "none"}, ChooserPolicy(), 1, time.Minute)
	}
}
