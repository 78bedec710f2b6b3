package isolator_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/isolator"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// crashInTurn records crashes of different replicas under parts, one each second, by
// requests that were sent just before.
func crashInTurn(i *isolator.Isolator, first, crashes int, parts ...uint64) {
	for n := range crashes {
		<-time.After(time.Second)
		i.RecordCrash(uint64(first+n), uint64(first+n), 0, parts, time.Now().Add(-100*time.Millisecond))
	}
}

func isolated(i *isolator.Isolator, parts ...uint64) bool {
	_, found := i.Isolated(parts)
	return found
}

// TestOnlyTheCommonPartIsIsolated crashes replicas under prompts that have one part in
// common and others that sound requests have too, or that only some of them have.
func TestOnlyTheCommonPartIsIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := isolator.New(timekeeper.System{})
		crashInTurn(i, 1, 3, 1, 2, 7)
		assert.Assert(t, !isolated(i, 7))
		crashInTurn(i, 10, 4, 1, 3, 7)
		i.RecordSound([]uint64{1})
		for part, want := range map[uint64]bool{1: false, 2: false, 3: false, 7: true, 8: false} {
			assert.Equal(t, isolated(i, part), want, "part %d", part)
		}
		assert.Assert(t, isolated(i, 8, 7, 9))
	})
}

// TestCrashesTogetherIsolateNoPart has many replicas crash at one moment under requests that
// were sent before.
func TestCrashesTogetherIsolateNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := isolator.New(timekeeper.System{})
		<-time.After(time.Second)
		for n := range uint64(20) {
			i.RecordCrash(n, n, 0, []uint64{1, n}, time.Now().Add(-100*time.Millisecond))
		}
		assert.Assert(t, !isolated(i, 1))
	})
}

// TestOneFaultyReplicaIsolatesNoPart has the same replica break off answers again and again.
func TestOneFaultyReplicaIsolatesNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := isolator.New(timekeeper.System{})
		for n := range uint64(20) {
			<-time.After(time.Second)
			i.RecordCrash(n, 5, 0, []uint64{1}, time.Now().Add(-100*time.Millisecond))
		}
		assert.Assert(t, !isolated(i, 1))
	})
}

// TestTrialEndsIsolation leaves a part alone for two minutes. Then one request is let
// through, and no other until it has been answered.
func TestTrialEndsIsolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := isolator.New(timekeeper.System{})
		crashInTurn(i, 1, 5, 7)
		<-time.After(59 * time.Second)
		assert.Assert(t, isolated(i, 7))
		<-time.After(62 * time.Second)
		assert.Assert(t, !isolated(i, 7))
		assert.Assert(t, isolated(i, 7))
		crashInTurn(i, 20, 1, 7)
		<-time.After(59 * time.Second)
		assert.Assert(t, isolated(i, 7))
		<-time.After(62 * time.Second)
		assert.Assert(t, !isolated(i, 7))
		i.RecordSound([]uint64{7})
		assert.Assert(t, !isolated(i, 7))
	})
}

// TestReportsOfAllDaemonsCountTogether has each of several daemons see one crash only. Their
// reports are merged in any order, some several times, some by way of others.
func TestReportsOfAllDaemonsCountTogether(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			var daemons []*isolator.Isolator
			for n := range 5 {
				d := isolator.New(timekeeper.System{})
				crashInTurn(d, 10*n, 1, 3, 7)
				daemons = append(daemons, d)
			}
			daemons[2].RecordSound([]uint64{3})
			for range 200 {
				from, to := random.IntN(5), random.IntN(5)
				daemons[to].Merge(daemons[from].Report(0))
				<-time.After(time.Duration(random.IntN(10)) * time.Millisecond)
			}
			for _, d := range daemons {
				assert.Assert(t, isolated(d, 7))
				assert.Assert(t, !isolated(d, 3))
				before := d.Version()
				d.Merge(daemons[0].Report(0))
				assert.Equal(t, d.Version(), before)
			}
		})
	})
}

// TestReportsHoldWhatIsNew guards against reports that grow with all crashes of the last
// minutes: on a day with many, each change was followed by all of them in every session.
func TestReportsHoldWhatIsNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := isolator.New(timekeeper.System{})
		crashInTurn(i, 1, 40, 1)
		<-time.After(time.Second)
		i.RecordSound([]uint64{1})
		version := i.Version()
		assert.Equal(t, len(i.Report(0).Crashes), 0, "all are cleared")
		crashInTurn(i, 100, 2, 1)
		report := i.Report(version)
		assert.Equal(t, len(report.Crashes), 2)
		assert.Equal(t, len(report.SoundAgo), 0)
		version = i.Version()
		assert.Equal(t, len(i.Report(version).Crashes), 0)
		i.RecordSound([]uint64{1})
		assert.Equal(t, len(i.Report(version).SoundAgo), 1)
	})
}

// TestTrialsOfPartsAreAgreed has a part that still crashes replicas come to 360 daemons that
// exchange evidence within a second: its trials do not grow with the daemons.
func TestTrialsOfPartsAreAgreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		daemons := make([]*isolator.Isolator, 360)
		for n := range daemons {
			daemons[n] = isolator.New(timekeeper.System{})
			daemons[n].SetTrialSelector(func(key uint64) bool { return key%uint64(len(daemons)) == uint64(n) })
		}
		crashInTurn(daemons[0], 1, 5, 1)
		trials := 0
		for range 10 * 60 {
			report := daemons[0].Report(0)
			for n, d := range daemons {
				d.Merge(report)
				if isolated(d, 1) {
					continue
				}
				trials++
				id := uint64(1000 + trials)
				d.RecordCrash(id, id, 0, []uint64{1}, time.Now())
				if n != 0 {
					daemons[0].Merge(d.Report(0))
				}
			}
			<-time.After(time.Second)
		}
		assert.Assert(t, trials > 0 && trials <= 10, "%d trials in 10 minutes", trials)
	})
}
