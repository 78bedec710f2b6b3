package entry

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/cyclamenward/cyclamenward/admitter"
	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/cyclamenward/cyclamenward/spreader"
	"gotest.tools/v3/assert"
)

// TestCallsFailAtTheEndOfTheEntry guards against connections that are closed without an answer at the
// end of a planned stop (LOST): an entry went on waiting for the answer of a sidecar, or for the outcome.
func TestCallsFailAtTheEndOfTheEntry(t *testing.T) {
	const stopIn, limit = 300 * time.Millisecond, 2 * time.Second
	for _, tc := range []struct {
		name string
		// lost is set if the exchange of the call breaks off, so that its outcome is asked for.
		lost bool
	}{{"the answer is awaited", false}, {"the outcome is awaited", true}} {
		t.Run(tc.name, func(t *testing.T) {
			e, bundle := newTestEntry(t)
			released, reached := make(chan struct{}), make(chan link.RequestKind, 8)
			address := startSidecar(t, bundle, func(request *link.Request, stream *link.Stream) {
				reached <- request.Kind
				if tc.lost && request.Kind == link.Call {
					stream.Cancel()
					return
				}
				<-released
			})
			t.Cleanup(func() { close(released) })
			document := &decoder.Document{Service: "s", Kind: decoder.PlainService}
			document.Workspaces = []decoder.Workspace{{Name: "w"}}
			document.BackendServers = []decoder.BackendServer{{Name: "a", Sidecar: address, AvailabilityZone: "z", Region: "r"}}
			s := newService(&spreader.ServiceRevision[*decoder.Document]{Value: document}, nil)
			e.pool.SetReplicas(e.replicaDescriptors(&catalog{byName: map[string]*service{"s": s}}))
			now := time.Now()
			request := &router.Request{
				ID: "q", Catalog: router.NewCatalog(1, router.Limits{}, nil, []*router.Service{{Name: "s", Engine: s.routerEngine()}}, nil), Route: s.onceRoute,
				Workspace: &router.Workspace{Name: "w", Dedicated: true}, Arrived: now, Deadline: now.Add(10 * time.Second), LastEventID: -1,
				Message: &payload{service: s, workspace: &document.Workspaces[0], call: &link.PlainCall{Method: "POST", Path: "/book"}},
			}
			results := make(chan *router.Result, 1)
			go func() { results <- e.router.Begin(request) }()
			assert.Equal(t, <-reached, link.Call)
			if tc.lost {
				assert.Equal(t, <-reached, link.Attach)
			}
			ctx, cancel := context.WithTimeout(context.Background(), stopIn)
			defer cancel()
			e.router.Stop(ctx, 0)
			select {
			case result := <-results:
				assert.Assert(t, result.Failure != nil)
				assert.Check(t, !result.Failure.NotRun, "the call may have run")
			case <-time.After(limit):
				t.Fatal("the request is unanswered after the end")
			}
		})
	}
}

// TestAdmissionIsNotAwaitedBeyondTheEnd guards against connections that are closed without an answer at
// the end of a planned stop (LOST): an entry went on waiting for a sidecar to admit a model request.
func TestAdmissionIsNotAwaitedBeyondTheEnd(t *testing.T) {
	e, bundle := newTestEntry(t)
	released, reached := make(chan struct{}), make(chan struct{}, 8)
	address := startSidecar(t, bundle, func(*link.Request, *link.Stream) {
		reached <- struct{}{}
		<-released
	})
	t.Cleanup(func() { close(released) })
	results := make(chan *router.Result, 1)
	go func() {
		_, result := beginAnswer(e, 3, address)
		results <- result
	}()
	<-reached
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	e.router.Stop(ctx, 0)
	select {
	case result := <-results:
		assert.Assert(t, result.Failure != nil)
		assert.Check(t, !result.Failure.NotRun, "the request may have run")
	case <-time.After(2 * time.Second):
		t.Fatal("the request is unanswered after the end")
	}
}

// TestRefusalAtTheEndKeepsTheLink guards against handshakes, and waits for them, with sidecars that are
// reached: an attempt that was not sent as the entry stops took the connection out of the pool.
func TestRefusalAtTheEndKeepsTheLink(t *testing.T) {
	e, bundle := newTestEntry(t)
	address := startSidecar(t, bundle, func(request *link.Request, stream *link.Stream) {
		_ = stream.Send(&link.Frame{Kind: link.Answer, RequestID: request.RequestID, AttemptID: request.AttemptID, Answer: &link.PlainAnswer{Status: 200}})
	})
	document := &decoder.Document{Service: "s", Kind: decoder.PlainService}
	s := newService(&spreader.ServiceRevision[*decoder.Document]{Value: document}, nil)
	m := &payload{service: s, workspace: &decoder.Workspace{Name: "w"}, call: &link.PlainCall{Method: "POST", Path: "/book"}}
	var refusal error
	attempt := &router.Attempt{Request: &router.Request{ID: "q", Message: m}, ReplicaID: "s/a", Address: address, Admit: func() (time.Duration, error) { return time.Second, refusal }}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := e.transport().Send(ctx, attempt)
	assert.NilError(t, err)
	for _, refusal = range []error{router.ErrExpired, router.ErrOutdated, router.ErrStopping} {
		_, err = e.transport().Send(ctx, attempt)
		assert.ErrorIs(t, err, refusal)
		assert.Check(t, errors.Is(err, router.ErrNotSent))
		assert.Equal(t, e.common.Client().Len(), 1, "%v", refusal)
	}
}

// TestTokensAreNotAwaitedBeyondTheEnd guards against connections that are closed without an answer at the
// end of a planned stop (LOST): an entry went on waiting for the next token of a model's answer. The
// sidecar does not see it canceled, as the caller may take the answer up.
func TestTokensAreNotAwaitedBeyondTheEnd(t *testing.T) {
	e, bundle := newTestEntry(t)
	canceled := make(chan bool, 1)
	address := startSidecar(t, bundle, func(request *link.Request, stream *link.Stream) {
		sendTokens(request, stream, 0, 1, false)
		<-stream.Context().Done()
		canceled <- link.IsCanceled(context.Cause(stream.Context()))
	})
	_, result := beginAnswer(e, 3, address)
	assert.Assert(t, result.Failure == nil)
	defer result.Stream.Close()
	_, err := result.Stream.Next()
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	e.router.Stop(ctx, 0)
	ends := make(chan error, 1)
	go func() {
		_, err := result.Stream.Next()
		ends <- err
	}()
	select {
	case err := <-ends:
		assert.Check(t, err != nil && !errors.Is(err, io.EOF))
	case <-time.After(2 * time.Second):
		t.Error("the answer goes on after the end")
		assert.Check(t, <-ends != nil)
	}
	assert.Check(t, !<-canceled, "the sidecar ends the answer")
}

// TestSidecarsAreNotAskedBeyondTheEnd guards against connections that are closed without an answer at the
// end of a planned stop (LOST): an entry went on waiting for a newer configuration from a sidecar, or
// for the rest of a model's answer over a new connection.
func TestSidecarsAreNotAskedBeyondTheEnd(t *testing.T) {
	for _, tc := range []struct {
		name string
		// answer answers the first request, unanswered is the kind of the one that follows.
		answer     func(request *link.Request, stream *link.Stream, firstToken <-chan struct{})
		unanswered link.RequestKind
	}{
		{"a newer configuration", func(request *link.Request, stream *link.Stream, _ <-chan struct{}) {
			_ = stream.Send(&link.Frame{Kind: link.Failure, RequestID: request.RequestID, AttemptID: request.AttemptID, Outcome: admitter.NotRun, Code: link.CodeRevisionOutdated})
		}, link.Sync},
		{"the rest of an answer", func(request *link.Request, stream *link.Stream, firstToken <-chan struct{}) {
			sendTokens(request, stream, 0, 1, false)
			<-firstToken
			stream.Cancel()
		}, link.Attach},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e, bundle := newTestEntry(t)
			released, firstToken, reached := make(chan struct{}), make(chan struct{}), make(chan time.Time, 8)
			address := startSidecar(t, bundle, func(request *link.Request, stream *link.Stream) {
				if request.Kind != tc.unanswered {
					tc.answer(request, stream, firstToken)
					return
				}
				reached <- time.Now()
				<-released
			})
			t.Cleanup(func() { close(released) })
			ends := make(chan time.Time, 1)
			go func() {
				_, result := beginAnswer(e, 3, address)
				if result.Stream != nil {
					_, _ = result.Stream.Next()
					close(firstToken)
					_, _ = result.Stream.Next()
					result.Stream.Close()
				}
				ends <- time.Now()
			}()
			var asked time.Time
			select {
			case asked = <-reached:
			case <-ends:
				t.Fatal("the request has ended before the sidecar is asked")
			}
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			e.router.Stop(ctx, 0)
			assert.Check(t, (<-ends).Sub(asked) < attachTimeout)
		})
	}
}
