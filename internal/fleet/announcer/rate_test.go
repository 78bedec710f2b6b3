package announcer

import (
	"testing"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/divider"
	"github.com/cyclamenward/cyclamenward/internal/routing/isolator"
	"github.com/fxamacker/cbor/v2"
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

// BenchmarkReportBytes reports the sizes of messages that list the entries, and of one limit and
// one loss of a replica.
func BenchmarkReportBytes(b *testing.B) {
	size := func(v any) float64 {
		data, err := cbor.Marshal(v)
		assert.NilError(b, err)
		return float64(len(data))
	}
	var members []divider.Member
	for i := range uint64(360) {
		members = append(members, divider.Member{ID: i << 50, Region: "central-tx"})
	}
	limit := 1.9
	now := time.Second
	for b.Loop() {
		b.ReportMetric(size(message{Members: &members}), "bytes/360members")
		b.ReportMetric(size(divider.Limit{Replica: divider.Replica{ID: "i-82d56a2acb", StartUnixMilli: 1 << 40, Region: "central-tx"}, Observation: 1 << 60, RequestsPerSecond: &limit, SentAgo: now, AnsweredAgo: now}), "bytes/limit")
		b.ReportMetric(size(isolator.Loss{Request: 1 << 60, Replica: 1 << 60, SentAgo: now, LostAgo: now}), "bytes/loss")
	}
}
