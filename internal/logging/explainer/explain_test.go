package explainer_test

import (
	"strings"
	"testing"

	"github.com/cyclamenward/cyclamenward/internal/logging/explainer"
	"gotest.tools/v3/assert"
)

// Log lines of two processes, recorded in a benchmark run.
const entryLog = `   5.3 edge-1 {"time":"2026-04-05T13:27:12.300Z","level":"info","msg":"route: sent.","request":"q1","replica":"i-1","reason":"home"}
   5.5 edge-1 {"time":"2026-04-05T13:27:12.500Z","level":"info","msg":"route: rejected.","request":"q1","replica":"i-1","status":421}
   5.6 edge-1 {"time":"2026-04-05T13:27:12.600Z","level":"info","msg":"request: failed.","request":"q1","reason":"rejected","notRun":true}
   5.6 edge-1 {"time":"2026-04-05T13:27:12.601Z","level":"info","msg":"route: sent.","request":"q2","replica":"i-1"}
some line without JSON
`

const otherLog = `{"time":"2026-04-05T13:27:12.400Z","level":"info","msg":"roster: replica is gone.","replica":"i-1","revision":9}
{"time":"2026-04-05T13:29:12.400Z","level":"info","msg":"roster: replica is gone.","replica":"i-1","revision":12}
{"time":"2026-04-05T13:27:12.400Z","level":"info","msg":"roster: replica is gone.","replica":"i-2","revision":10}
`

// TestRequestHistoryMergesProcesses checks that the history holds the request's lines and
// the lines about its replica from another process, sorted by time, and no others.
func TestRequestHistoryMergesProcesses(t *testing.T) {
	lines, skipped, err := explainer.Read(strings.NewReader(entryLog), "entry.log")
	assert.NilError(t, err)
	assert.Equal(t, skipped, 1)
	more, _, err := explainer.Read(strings.NewReader(otherLog), "other.log")
	assert.NilError(t, err)
	var got []string
	for _, line := range explainer.RequestHistory(append(more, lines...), "q1") {
		got = append(got, line.String())
	}
	assert.DeepEqual(t, got, []string{
		"13:27:12.300 edge-1 route: sent. reason=home replica=i-1 request=q1",
		"13:27:12.400 other.log roster: replica is gone. replica=i-1 revision=9",
		"13:27:12.500 edge-1 route: rejected. replica=i-1 request=q1 status=421",
		"13:27:12.600 edge-1 request: failed. notRun=true reason=rejected request=q1",
	})
	assert.Equal(t, len(explainer.RequestHistory(lines, "unknown")), 0)
}
