package entry

import (
	"testing"
	"time"

	"github.com/cyclamenward/cyclamenward/chooser"
	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/sequencer"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// TestNewsOfOtherWeightsIsUsedAtOnce lets a request learn, right after the
// versions were looked at, that all replicas still serve the old weights.
func TestNewsOfOtherWeightsIsUsedAtOnce(t *testing.T) {
	e, c := testService()
	s := c.catalog.byName["s"]
	s.document.Model.WeightsVersion = "v2"
	s.pool = chooser.NewPool([]chooser.Replica{{Name: "a", Address: "a"}, {Name: "b", Address: "b"}}, nil)
	s.chooser = chooser.New(chooser.Settings{PrefillTokensPerSecond: 8000, PrefillWeight: 1}, chooser.NewMemory(100))
	r := &run{
		entry: e, sequence: sequencer.New(), index: -1,
		request: &modelRequest{service: s, workspace: &decoder.Workspace{Name: "w"}, until: time.Now().Add(time.Minute)},
	}
	assert.Assert(t, r.choose().Index >= 0)
	assert.Equal(t, r.request.infer.WeightsVersion, "v2")
	for i := range s.pool.Len() {
		s.pool.Status(i).SetReport(&chooser.Report{WeightsVersion: "v1", At: timekeeper.System{}.Now()})
	}
	assert.Assert(t, r.choose().Index >= 0)
	assert.Equal(t, r.request.infer.WeightsVersion, "v1")
}
