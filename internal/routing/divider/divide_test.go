package divider_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/divider"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

var replica = divider.Replica{ID: "i-1", StartUnixMilli: 5, Region: "r"}

func rate(requestsPerSecond float64) *float64 { return &requestsPerSecond }

// newDivider returns the divider of the only daemon.
func newDivider() *divider.Divider {
	d := divider.New(timekeeper.System{})
	d.SetSelf(divider.Member{ID: 1, Region: "r"})
	d.SetMembers("sidecar", []divider.Member{{ID: 1, Region: "r"}})
	return d
}

// taken returns how many requests a daemon may send in a time.
func taken(d *divider.Divider, duration time.Duration) int {
	count := 0
	for range duration / (10 * time.Millisecond) {
		if d.Take(replica) {
			count++
		}
		<-time.After(10 * time.Millisecond)
	}
	return count
}

// TestLateAnswerDoesNotRaiseLimit has an answer without a limit, and one with a higher limit,
// overtaken by one with a lower limit. The answer to a later request does raise it.
func TestLateAnswerDoesNotRaiseLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDivider()
		earlier := time.Now()
		<-time.After(time.Second)
		_, changed := d.Observe(replica, rate(2), time.Now())
		assert.Assert(t, changed)
		for _, late := range []*float64{nil, rate(50)} {
			limit, changed := d.Observe(replica, late, earlier)
			assert.Assert(t, limit == 2 && !changed)
		}
		assert.Assert(t, taken(d, 10*time.Second) <= 21)
		limit, changed := d.Observe(replica, rate(50), time.Now())
		assert.Assert(t, limit == 50 && changed)
		<-time.After(time.Millisecond)
		d.Observe(replica, nil, time.Now())
		assert.Equal(t, taken(d, time.Second), 100)
	})
}

// TestLimitEndsWithIncarnation has a replica with a limit start again under its ID.
func TestLimitEndsWithIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDivider()
		d.Observe(replica, rate(0), time.Now())
		assert.Assert(t, d.Wait(replica) > 0)
		next := replica
		next.StartUnixMilli++
		assert.Equal(t, d.Wait(next), time.Duration(0))
		d.Observe(next, rate(0), time.Now())
		assert.Assert(t, d.Wait(next) > 0)
		d.Observe(replica, rate(9), time.Now().Add(time.Hour))
		assert.Assert(t, d.Wait(next) > 0)
	})
}

// TestReportsAreMergedInAnyOrder has the reports of two daemons arrive twice and in both orders.
func TestReportsAreMergedInAnyOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := newDivider(), newDivider()
		first.Observe(replica, rate(4), time.Now())
		<-time.After(time.Second)
		second.Observe(replica, rate(2), time.Now())
		older, newer := first.Report(0), second.Report(0)
		for _, order := range [][][]divider.Limit{{older, newer, older, newer}, {newer, older, newer, older}} {
			d := newDivider()
			for _, report := range order {
				d.Merge(report)
			}
			assert.Assert(t, taken(d, 10*time.Second) <= 21)
			version := d.Version()
			d.Merge(newer)
			assert.Equal(t, d.Version(), version)
		}
	})
}

// TestInvalidReportsAreIgnored merges reports with negative rates and ages.
func TestInvalidReportsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDivider()
		zero := 0.0
		for _, limit := range []divider.Limit{{RequestsPerSecond: rate(-1)}, {RequestsPerSecond: rate(zero / zero)}, {RequestsPerSecond: rate(1), AnsweredAgo: -time.Second}, {RequestsPerSecond: rate(1), AnsweredAgo: time.Second}, {RequestsPerSecond: rate(1), SentAgo: time.Hour, AnsweredAgo: time.Hour}} {
			limit.Replica = replica
			assert.Equal(t, len(d.Merge([]divider.Limit{limit})), 0)
		}
		assert.Equal(t, d.Wait(replica), time.Duration(0))
	})
}

// TestLostMemberKeepsItsShareForAWhile has the only daemon that may send to a replica lost from
// the list: it may still reach the replica. Another takes its place later.
func TestLostMemberKeepsItsShareForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other, own := divider.Member{ID: 2, Region: "r"}, divider.Member{ID: 1, Region: "other"}
		d := divider.New(timekeeper.System{})
		d.SetSelf(own)
		d.SetMembers("sidecar", []divider.Member{own, other})
		d.Observe(replica, rate(0.5), time.Now())
		d.SetMembers("sidecar", []divider.Member{own})
		assert.Equal(t, taken(d, 9*time.Second), 0)
		assert.Assert(t, taken(d, 10*time.Second) >= 3)
	})
}

// BenchmarkWait measures how long it takes to find out whether a replica may get a request, with
// no limits known and with limits of all of 74 replicas, among 360 daemons.
func BenchmarkWait(b *testing.B) {
	d := divider.New(timekeeper.System{})
	var members []divider.Member
	for i := range uint64(360) {
		members = append(members, divider.Member{ID: i + 1, Region: "r"})
	}
	d.SetSelf(members[0])
	d.SetMembers("sidecar", members)
	replicas := make([]divider.Replica, 74)
	for i := range replicas {
		replicas[i] = divider.Replica{ID: fmt.Sprint("i-", i), Region: "r"}
	}
	measure := func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			d.Wait(replicas[i%len(replicas)])
		}
	}
	b.Run("unlimited", measure)
	for _, r := range replicas {
		d.Observe(r, rate(2), time.Now())
	}
	b.Run("limited", measure)
}
