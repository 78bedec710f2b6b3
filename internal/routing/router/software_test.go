package router

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

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
			<-time.After(time.Minute)
			request := streamRequest("q", 0)
			request.Resumes, request.LastEventID = resumes, 3
			result := b.router.Begin(request)
			assert.Assert(t, result.Failure != nil, "it goes on")
			assert.Check(t, result.Failure.NotRun)
			assert.Equal(t, len(b.attempts), 0)
		})
	}
}
