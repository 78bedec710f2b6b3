package pinner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/pinner"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// TestRecordsExpire checks that a record is kept for 30 s at least, as long as it is refreshed, and
// that streams that have ended do not take memory for good.
func TestRecordsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := pinner.New(timekeeper.System{})
		long, short := pinner.Record{Key: 1, Version: "v1"}, pinner.Record{Key: 2, Version: "v2"}
		r.Add(long)
		r.Add(short)
		r.Add(pinner.Record{Key: 2, Version: "v1"})
		for range 8 {
			<-time.After(pinner.RefreshInterval)
			r.Add(long)
		}
		version, found := r.Find(1)
		assert.Check(t, found)
		assert.Equal(t, version, "v1")
		_, found = r.Find(2)
		assert.Check(t, !found)
		assert.Equal(t, r.Len(), 2, "the long stream, in two generations")
		<-time.After(time.Hour)
		_, found = r.Find(1)
		assert.Check(t, !found)
	})
}

// TestFirstVersionHolds checks that a stream keeps the version that was recorded first.
func TestFirstVersionHolds(t *testing.T) {
	r := pinner.New(timekeeper.System{})
	r.Add(pinner.Record{Key: 2, Version: "v2"})
	r.Add(pinner.Record{Key: 2, Version: "v1"})
	version, _ := r.Find(2)
	assert.Equal(t, version, "v2")
}

// TestRecordsAreBounded records far more streams than fit.
func TestRecordsAreBounded(t *testing.T) {
	r := pinner.New(timekeeper.System{})
	for key := range uint64(200_000) {
		r.Add(pinner.Record{Key: key, Version: "v1"})
	}
	assert.Check(t, r.Len() <= 2*32<<10, "%d", r.Len())
	_, found := r.Find(199_999)
	assert.Check(t, found)
}

// TestOnlyOneVersionIsAKnownOne checks what follows without a record: the only version that has
// served for all of the time, and nothing else.
func TestOnlyOneVersionIsAKnownOne(t *testing.T) {
	for _, tc := range []struct {
		name    string
		origins []pinner.Origin
		version string
		known   bool
	}{
		{"nobody knows", nil, "", false},
		{"just started", []pinner.Origin{{Serving: []string{"v1"}}}, "", false},
		{"one version", []pinner.Origin{{Serving: []string{"v1"}}, {Serving: []string{"v1"}, Observed: true}}, "v1", true},
		{"two versions", []pinner.Origin{{Serving: []string{"v1"}, Observed: true}, {Serving: []string{"v1", "v2"}, Observed: true}}, "", false},
		{"one has seen another", []pinner.Origin{{Serving: []string{"v1"}, Observed: true}, {Serving: []string{"v2"}}}, "", false},
		{"recorded", []pinner.Origin{{Serving: []string{"v1", "v2"}}, {Version: "v2", Recorded: true}}, "v2", true},
		{"no versions named", []pinner.Origin{{Serving: []string{""}}}, "", true},
		{"recorded without a name", []pinner.Origin{{Recorded: true, Serving: []string{""}}}, "", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var origin pinner.Origin
			for _, other := range tc.origins {
				origin.Merge(other)
			}
			version, known := origin.Decide()
			assert.Equal(t, version, tc.version)
			assert.Equal(t, known, tc.known)
		})
	}
}
