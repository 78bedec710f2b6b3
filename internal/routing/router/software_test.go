package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/pinner"
	"gotest.tools/v3/assert"
)

// setSoftware replaces the list of replicas by one of each of the given software versions.
func (b *testBed) setSoftware(versions ...string) {
	var list []Descriptor
	for i, version := range versions {
		d := descriptor(i, 1)
		d.SoftwareVersion = version
		list = append(list, d)
	}
	b.pool.SetReplicas(list)
}

// follow lets time pass in which the list of replicas stays current.
func (b *testBed) follow(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		b.pool.RecordCurrent(time.Now())
		<-time.After(min(time.Second, time.Until(end)))
	}
	b.pool.RecordCurrent(time.Now())
}

// softwareOf returns the software version of the replica of an attempt.
func (b *testBed) softwareOf(a *Attempt) string {
	return b.pool.ReplicaByID(a.ReplicaID).descriptor.Load().SoftwareVersion
}

// streamRequest returns a request for a resumable stream that prefers replica i.
func streamRequest(id string, i int) *Request {
	request := modelRequest(route(Streaming, 3, true), PromptPart{"a", 100})
	request.ID, request.PreferredReplicaID = id, fmt.Sprintf("i-%d", i)
	return request
}

// TestStreamContinuesAtItsSoftwareVersion guards against streams that hold events of two software
// versions in one answer (ORDER). A stream that is interrupted may only go on at a replica of the
// version that began it, and ends if there is none.
func TestStreamContinuesAtItsSoftwareVersion(t *testing.T) {
	for _, tc := range []struct {
		others []string
		events int
		end    error
	}{{[]string{"v2", "v2", "v1"}, 9, io.EOF}, {[]string{"v2", "v2"}, 4, errLost}} {
		synctest.Test(t, func(t *testing.T) {
			var b *testBed
			b = newTestBed(0, func(n int, a *Attempt) (*Reply, error) {
				if n == 1 {
					return streamReply(0, 3, errLost), nil
				}
				assert.Check(t, b.softwareOf(a) == "v1", "it goes on at %s", b.softwareOf(a))
				return streamReply(4, 8, io.EOF), nil
			})
			b.setSoftware(append([]string{"v1"}, tc.others...)...)
			ids, err := drainStream(b.router.Begin(streamRequest("q", 0)).Stream)
			assert.Equal(t, len(ids), tc.events)
			assert.ErrorIs(t, err, tc.end)
		})
	}
}

// TestTakenUpStreamContinuesAtItsSoftwareVersion guards against streams that hold events of two
// software versions over the requests of a caller (ORDER): the caller lost the answer and takes the
// stream up with a new request, twice, while other replicas are preferable.
func TestTakenUpStreamContinuesAtItsSoftwareVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b *testBed
		b = newTestBed(0, func(_ int, a *Attempt) (*Reply, error) {
			assert.Check(t, b.softwareOf(a) == "v1", "%s goes on at %s", a.Request.ID, b.softwareOf(a))
			return streamReply(a.LastEventID+1, a.LastEventID+4, errors.New("the caller's connection broke")), nil
		})
		b.setSoftware("v1", "v1", "v2", "v2")
		for n, id := range []string{"first", "second", "third"} {
			request := streamRequest(id, 2)
			request.Route.MaxAttempts = 1
			if n == 0 {
				request.PreferredReplicaID = "i-0"
			} else {
				request.Resumes, request.LastEventID = "first", int64(4*n-1)
			}
			result := b.router.Begin(request)
			assert.Assert(t, result.Stream != nil)
			ids, _ := drainStream(result.Stream)
			assert.Equal(t, len(ids), 4)
			<-time.After(5 * time.Second)
		}
	})
}

// TestUnknownStreamIsNotTakenUpAtAnyVersion guards against a guess (ORDER): while two software
// versions serve, a stream of which is not known which began it is refused at once, as not run.
func TestUnknownStreamIsNotTakenUpAtAnyVersion(t *testing.T) {
	for _, resumes := range []string{"", "unknown"} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestBed(0, func(int, *Attempt) (*Reply, error) { return streamReply(4, 8, io.EOF), nil })
			b.setSoftware("v1", "v2")
			b.follow(time.Minute)
			request := streamRequest("q", 0)
			request.Resumes, request.LastEventID = resumes, 3
			result := b.router.Begin(request)
			assert.Assert(t, result.Failure != nil, "it goes on")
			assert.Check(t, result.Failure.NotRun)
			assert.Equal(t, len(b.attempts), 0)
		})
	}
}

// takeUp has the caller take up a stream, which began as the given request. It returns the software
// version at which it goes on, "" if it is refused.
func (b *testBed) takeUp(t *testing.T, resumes string) string {
	t.Helper()
	request := streamRequest("q", 0)
	request.Resumes, request.LastEventID = resumes, 3
	result := b.router.Begin(request)
	if result.Failure != nil {
		assert.Equal(t, result.Failure.Reason, ReasonUnknownStream)
		assert.Check(t, result.Failure.NotRun)
		return ""
	}
	result.Stream.Close()
	return b.softwareOf(b.attempts[len(b.attempts)-1])
}

// TestOnlyServingVersionTakesUpStreams guards against streams that are refused though only one
// software version can have begun them (LOST), and against a daemon that takes the only version in
// its list for the only one there was (ORDER): it has just started, or another has just left.
func TestOnlyServingVersionTakesUpStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(0, func(_ int, a *Attempt) (*Reply, error) { return streamReply(a.LastEventID+1, 8, io.EOF), nil })
		b.setSoftware("v1", "v1")
		assert.Equal(t, b.takeUp(t, "stream 1"), "", "just after the start")
		b.follow(minStreamTime)
		assert.Equal(t, b.takeUp(t, "stream 2"), "v1", "after a while")
		b.setSoftware("v1", "v1", "v2")
		assert.Equal(t, b.takeUp(t, "stream 3"), "", "while two versions serve")
		b.follow(time.Minute)
		b.setSoftware("v2", "v2")
		assert.Equal(t, b.takeUp(t, "stream 4"), "", "when one of them has just left")
		b.follow(minStreamTime + time.Second)
		assert.Equal(t, b.takeUp(t, "stream 5"), "v2", "after a while")
	})
}

// TestOtherDaemonsKnowTheVersionOfAStream has a daemon that has just started ask others: they have a
// record, or have seen only one version, or more than this daemon has.
func TestOtherDaemonsKnowTheVersionOfAStream(t *testing.T) {
	for _, tc := range []struct {
		listed []string
		answer pinner.Origin
		want   string
	}{
		{[]string{"v1", "v2"}, pinner.Origin{Version: "v2", Recorded: true, Serving: []string{"v1", "v2"}}, "v2"},
		{[]string{"v1", "v1"}, pinner.Origin{Serving: []string{"v1"}, Observed: true}, "v1"},
		{[]string{"v1", "v1"}, pinner.Origin{Serving: []string{"v1", "v2"}, Observed: true}, ""},
		{[]string{"v1", "v2"}, pinner.Origin{Serving: []string{"v1"}, Observed: true}, ""},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestBed(0, func(_ int, a *Attempt) (*Reply, error) { return streamReply(a.LastEventID+1, 8, io.EOF), nil })
			b.router.options.FindStream = func(_ context.Context, query pinner.Query) pinner.Origin {
				assert.Equal(t, query, pinner.Query{Key: pinner.Key("", "elsewhere"), Service: "s", Within: minStreamTime})
				return tc.answer
			}
			b.setSoftware(tc.listed...)
			assert.Equal(t, b.takeUp(t, "elsewhere"), tc.want)
		})
	}
}

// TestStreamsAreRecordedWhenTheyBegin checks what is sent to other daemons: the version once when the
// first event has arrived, under the ID of the request that began the stream, and again while it goes on.
func TestStreamsAreRecordedWhenTheyBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(0, func(_ int, a *Attempt) (*Reply, error) {
			reply := streamReply(a.LastEventID+1, a.LastEventID+3, io.EOF)
			next := reply.NextEvent
			reply.NextEvent = func() (Event, error) {
				<-time.After(pinner.RefreshInterval / 2)
				return next()
			}
			return reply, nil
		})
		var records []pinner.Record
		b.router.options.RecordStream = func(record pinner.Record) { records = append(records, record) }
		b.setSoftware("v1")
		for _, resumes := range []string{"", "first"} {
			request := streamRequest("first", 0)
			request.Route.Timeout, request.Deadline = time.Hour, request.Arrived.Add(time.Hour)
			if resumes != "" {
				request.ID, request.Resumes, request.LastEventID = "second", resumes, 2
			}
			ids, err := drainStream(b.router.Begin(request).Stream)
			assert.ErrorIs(t, err, io.EOF)
			assert.Equal(t, len(ids), 3)
		}
		record := pinner.Record{Key: pinner.Key("", "first"), Version: "v1"}
		assert.DeepEqual(t, records, []pinner.Record{record, record, record, record})
	})
}

// TestFewReplicasOfAVersionAreFound continues a stream at the only replica of its version among many,
// of which a choice considers a few at random.
func TestFewReplicasOfAVersionAreFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(0, func(_ int, a *Attempt) (*Reply, error) { return streamReply(a.LastEventID+1, 8, io.EOF), nil })
		versions := make([]string, 1000)
		for i := range versions {
			versions[i] = "v2"
		}
		versions[617] = "v1"
		b.setSoftware(versions...)
		b.router.streams.Add(pinner.Record{Key: pinner.Key("", "elsewhere"), Version: "v1"})
		assert.Equal(t, b.takeUp(t, "elsewhere"), "v1")
	})
}

// TestYoungFleetTakesUpStreams guards against streams that are refused though only one version can have
// begun them (LOST), because the daemons have run for little longer than a route's timeout: callers that
// name no request take streams up 20 s after the start of all daemons.
func TestYoungFleetTakesUpStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(0, func(_ int, a *Attempt) (*Reply, error) { return streamReply(a.LastEventID+1, 8, io.EOF), nil })
		b.setSoftware("v1", "v1")
		b.follow(20 * time.Second)
		request := streamRequest("q", 0)
		request.Route.Timeout, request.Deadline, request.LastEventID = 15*time.Second, time.Now().Add(15*time.Second), 3
		request.Arrived = time.Now()
		result := b.router.Begin(request)
		assert.Assert(t, result.Stream != nil, "it is refused")
		result.Stream.Close()
	})
}

// TestListOutOfStepTakesUpNoStreams guards against streams that go on at another software version (ORDER):
// a daemon that was cut off, or stood still, while replicas of a new version joined took the only
// version in its old list for the only one there was. It refuses streams without a record until its
// list has been current for as long as a stream can have run.
func TestListOutOfStepTakesUpNoStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(0, func(_ int, a *Attempt) (*Reply, error) { return streamReply(a.LastEventID+1, 8, io.EOF), nil })
		answers, joined := true, false
		b.router.options.UpdateList = func(context.Context) bool {
			if joined {
				b.setSoftware("v1", "v1", "v2")
			}
			return answers
		}
		b.setSoftware("v1", "v1")
		b.follow(time.Minute)
		assert.Equal(t, b.takeUp(t, "stream 1"), "v1")
		answers = false
		assert.Equal(t, b.takeUp(t, "stream 2"), "", "the store does not answer")
		answers, joined = true, true
		assert.Equal(t, b.takeUp(t, "stream 2"), "", "the list lacks a replica that has joined")
		joined = false
		b.setSoftware("v1", "v1")
		b.follow(time.Minute)
		b.router.streams.Add(pinner.Record{Key: pinner.Key("", "recorded"), Version: "v1"})
		<-time.After(maxListGap + time.Millisecond)
		assert.Equal(t, b.takeUp(t, "stream 3"), "", "the store has not answered for a while")
		assert.Equal(t, b.takeUp(t, "recorded"), "v1")
		b.follow(minStreamTime - time.Second)
		assert.Equal(t, b.takeUp(t, "stream 4"), "", "a stream may have begun in the meantime")
		b.follow(time.Second)
		assert.Equal(t, b.takeUp(t, "stream 5"), "v1")
	})
}
