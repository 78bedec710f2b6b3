package announcer

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/pinner"
	"gotest.tools/v3/assert"
)

// originOfTwo is what a sidecar knows from its list while two software versions serve.
func originOfTwo(pinner.Query) pinner.Origin {
	return pinner.Origin{Serving: []string{"v1", "v2"}, Observed: true}
}

// replaceEntries kills all entries and starts new ones, which know nothing.
func (f *memoryFleet) replaceEntries() {
	for _, entry := range f.entries {
		entry.cancel()
	}
	for _, entry := range f.entries {
		entry.tasks.Wait()
	}
	old := f.entries
	f.entries = nil
	for i := range old {
		entry, _ := New("", fleetDependencies(uint64(i+1), nil))
		f.entries = append(f.entries, entry)
		for j, sidecar := range f.sidecars {
			f.connect(entry, sidecar, i%2 != j%2, fmt.Sprint("10.0.0.", j, ":70"))
		}
	}
}

// TestStreamsAreKnownAfterTheLossOfAllEntries guards against streams that go on at another software
// version after all entries were killed in the middle of them (ORDER): the records that entries
// spread when they pass on a first event outlive them, in fleets of several sizes and through any
// entry of the region, also if a sidecar is lost in the same moment. A stream that began at
// no entry is not known.
func TestStreamsAreKnownAfterTheLossOfAllEntries(t *testing.T) {
	for _, size := range []struct{ entries, sidecars int }{{3, 12}, {5, 12}, {23, 40}} {
		synctest.Test(t, func(t *testing.T) {
			f := newMemoryFleet(size.entries, size.sidecars)
			defer f.close()
			for _, sidecar := range f.sidecars {
				sidecar.deps.Origin = originOfTwo
			}
			<-time.After(3 * time.Second)
			const streams = 60
			version := func(stream int) string { return fmt.Sprint("v", 1+stream%2) }
			for stream := range streams {
				f.entries[stream%size.entries].RecordStream(pinner.Record{Key: pinner.Key("w", fmt.Sprint(stream)), Version: version(stream)})
			}
			<-time.After(20 * time.Millisecond)
			f.replaceEntries()
			f.sidecars[0].cancel()
			<-time.After(3 * time.Second)
			for stream := range streams {
				// Entries 0 and 1 are in different regions; callers come back in their own.
				asked := f.entries[stream%size.entries%2]
				origin := asked.FindStream(context.Background(), pinner.Query{Key: pinner.Key("w", fmt.Sprint(stream)), Service: "s", Within: time.Minute})
				got, known := origin.Decide()
				assert.Check(t, known && got == version(stream), "stream %d of %v: %q, known %v", stream, size, got, known)
			}
			origin := f.entries[0].FindStream(context.Background(), pinner.Query{Key: 5, Service: "s", Within: time.Minute})
			_, known := origin.Decide()
			assert.Check(t, !known)
			assert.DeepEqual(t, origin.Serving, []string{"v1", "v2"})
		})
	}
}

// TestSilentSidecarsDelayNoTakeUp freezes all sidecars: the question which version began a stream ends
// in time for another daemon to serve the caller.
func TestSilentSidecarsDelayNoTakeUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemoryFleet(2, 6)
		defer f.close()
		<-time.After(time.Second)
		frozen := make(chan struct{})
		for _, sidecar := range f.sidecars {
			sidecar.deps.Origin = func(pinner.Query) pinner.Origin {
				<-frozen
				return pinner.Origin{}
			}
		}
		began := time.Now()
		origin := f.entries[0].FindStream(context.Background(), pinner.Query{Key: 5, Service: "s", Within: time.Minute})
		assert.Check(t, !origin.Recorded && len(origin.Serving) == 0)
		assert.Equal(t, time.Since(began), otherRegionQueryTimeout)
		close(frozen)
	})
}

// TestStreamRecordsTakeFewBytes records 64 streams a second at an entry, its share in the fleet of two
// years. They take a small part of the 9 KB a second that a daemon may send.
func TestStreamRecordsTakeFewBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemoryFleet(2, 60)
		defer f.close()
		<-time.After(5 * time.Second)
		const seconds, rate = 10, 64
		measure := func(record bool) int64 {
			before := f.bytes.Load()
			for n := range seconds * rate {
				if record {
					f.entries[0].RecordStream(pinner.Record{Key: pinner.Key("w", fmt.Sprint(n)), Version: "v1.1"})
				}
				<-time.After(time.Second / rate)
			}
			return f.bytes.Load() - before
		}
		idle := measure(false)
		perSecond := (measure(true) - idle) / seconds
		t.Logf("%d bytes a second", perSecond)
		assert.Check(t, perSecond < 9000/2, "%d bytes a second", perSecond)
	})
}
