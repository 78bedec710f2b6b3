package isolator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/isolator"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

const poison = 7

// lose records the loss of replicas one after the other, each 100 ms after the request was sent.
func lose(i *isolator.Isolator, first, count int) {
	for n := range count {
		sentAt := time.Now()
		<-time.After(100 * time.Millisecond)
		i.RecordLoss(poison, uint64(first+n), sentAt)
	}
}

func requestIsolated(i *isolator.Isolator) bool {
	_, isolated := i.RequestIsolated(poison)
	return isolated
}

// TestRequestsOfOneReplicaAreNotIsolated has one replica end under a request again and again, as
// a faulty one does, or as reports repeat it.
func TestRequestsOfOneReplicaAreNotIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := isolator.New(timekeeper.System{})
		for range 10 {
			lose(i, 1, 1)
		}
		assert.Assert(t, !requestIsolated(i))
		lose(i, 2, 2)
		assert.Assert(t, requestIsolated(i))
	})
}

// TestSoundAnswerClearsRequest has a sound answer between crashes, and one after them that
// another daemon reports.
func TestSoundAnswerClearsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := isolator.New(timekeeper.System{}), isolator.New(timekeeper.System{})
		lose(first, 1, 2)
		first.RecordSoundRequest(poison)
		lose(first, 3, 2)
		assert.Assert(t, !requestIsolated(first))
		lose(first, 5, 1)
		assert.Assert(t, requestIsolated(first))
		second.Merge(first.Report(0))
		assert.Assert(t, requestIsolated(second))
		<-time.After(time.Second)
		version := second.Version()
		second.RecordSoundRequest(poison)
		assert.Assert(t, !requestIsolated(second))
		first.Merge(second.Report(version))
		assert.Assert(t, !requestIsolated(first))
	})
}

// TestReportsOfLossesAreMergedOnce merges reports twice and in both orders.
func TestReportsOfLossesAreMergedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := isolator.New(timekeeper.System{}), isolator.New(timekeeper.System{})
		lose(first, 1, 1)
		lose(second, 2, 1)
		lose(first, 3, 1)
		for _, order := range [][]*isolator.Isolator{{first, second}, {second, first}} {
			i := isolator.New(timekeeper.System{})
			i.Merge(order[0].Report(0))
			i.Merge(order[0].Report(0))
			assert.Assert(t, !requestIsolated(i))
			i.Merge(order[1].Report(0))
			assert.Assert(t, requestIsolated(i))
			version := i.Version()
			i.Merge(first.Report(0))
			assert.Equal(t, i.Version(), version)
		}
	})
}

// TestEvidenceIsBounded has a planned crash end very many requests, of which none comes again.
func TestEvidenceIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := isolator.New(timekeeper.System{})
		lose(i, 1, 3)
		for request := range uint64(100_000) {
			i.RecordLoss(1000+request, request%10, time.Now())
			if request%1000 == 0 {
				<-time.After(10 * time.Millisecond)
			}
		}
		assert.Assert(t, len(i.Report(0).Losses) <= 5000)
		assert.Assert(t, requestIsolated(i))
	})
}

// TestRepeatedRequestIsolatesNoPart has one request crash replicas one after the other: the parts
// of its prompt, which sound requests may share later, are not isolated.
func TestRepeatedRequestIsolatesNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := isolator.New(timekeeper.System{})
		for n := range uint64(6) {
			sentAt := time.Now()
			<-time.After(100 * time.Millisecond)
			i.RecordCrash(n, n, poison, []uint64{21, 22}, sentAt)
		}
		_, isolated := i.Isolated([]uint64{21, 22})
		assert.Assert(t, !isolated)
	})
}
