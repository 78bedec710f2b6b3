package announcer

import (
	"testing"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/quota/enforcer"
	"github.com/cyclamenward/cyclamenward/internal/quota/granter"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// stoppedClock is set by the test.
type stoppedClock struct {
	timekeeper.System
	now time.Time
}

func (c *stoppedClock) Now() time.Time { return c.now }

// TestQuotasPassThroughMessages has an entry's report and a sidecar's grants encoded and decoded: the entry
// that alone is asked for a workspace gets all but the even parts of the others.
func TestQuotasPassThroughMessages(t *testing.T) {
	clock := &stoppedClock{now: time.Unix(1000, 0)}
	sidecar := granter.New(clock)
	entry := enforcer.New(enforcer.Options{FleetShare: func() float64 { return 0.25 }}, clock)
	entry.SetPeers([]string{"10.0.0.1:1"})
	entry.SetQuotas(map[string]enforcer.Quota{"customer": {Rate: 100, Burst: 100}})
	applied := make(map[uint64]uint64)
	for range 80 {
		clock.now = clock.now.Add(enforcer.ReportInterval)
		for range 50 {
			entry.Ask("customer", 0, 1)
		}
		for id := range uint64(3) {
			sidecar.Receive(id+2, granter.Report{Applied: applied[id]})
			if grants := sidecar.Grants(id + 2); grants != nil {
				applied[id] = grants.Serial
			}
		}
		report := entry.Report("10.0.0.1:1", time.Time{})
		assert.Assert(t, report != nil)
		received := transmit(t, message{QuotaReport: report})
		sidecar.Receive(1, *received.QuotaReport)
		if grants := sidecar.Grants(1); grants != nil {
			entry.Receive("10.0.0.1:1", *transmit(t, message{QuotaGrants: grants}).QuotaGrants)
		}
	}
	share := entry.Share("customer")
	assert.Assert(t, share > 0.9 && share <= 1, "%.3f", share)
}

// transmit returns a message as the other end decodes it.
func transmit(t *testing.T, m message) (received message) {
	t.Helper()
	data, err := cbor.Marshal(m)
	assert.NilError(t, err)
	assert.NilError(t, cbor.Unmarshal(data, &received))
	return received
}

// BenchmarkQuotaBytes reports the sizes of messages about the most workspaces that are reported.
func BenchmarkQuotaBytes(b *testing.B) {
	report, grants := granter.Report{At: 1 << 30, Applied: 1 << 33}, granter.Grants{At: 1 << 30, Serial: 1 << 33, Even: 138}
	for i := range uint32(16) {
		report.Demands = append(report.Demands, granter.Demand{Workspace: 1<<31 + i, Share: 40_000, Load: 40_000})
		grants.List = append(grants.List, granter.Grant{Workspace: 1<<31 + i, Share: 40_000, Load: 40_000})
	}
	size := func(m message) float64 {
		data, err := cbor.Marshal(m)
		assert.NilError(b, err)
		return float64(len(data))
	}
	for b.Loop() {
		b.ReportMetric(size(message{QuotaReport: &report}), "bytes/report")
		b.ReportMetric(size(message{QuotaGrants: &grants}), "bytes/grants")
	}
}
