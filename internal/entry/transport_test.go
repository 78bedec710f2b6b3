package entry

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/admitter"
	"github.com/cyclamenward/cyclamenward/decoder"
	"github.com/cyclamenward/cyclamenward/internal/daemon"
	"github.com/cyclamenward/cyclamenward/internal/keys"
	"github.com/cyclamenward/cyclamenward/internal/metrics/recorder"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/limiter"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/cyclamenward/cyclamenward/sequencer"
	"github.com/cyclamenward/cyclamenward/spreader"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// newTestEntry returns an entry without listeners, and the TLS keys of the fleet.
func newTestEntry(t *testing.T) (*Entry, *keys.Bundle) {
	t.Helper()
	directory := t.TempDir()
	assert.NilError(t, keys.MakeAuthority(directory))
	assert.NilError(t, keys.MakeDaemonCertificate(directory, "daemon"))
	bundle, err := keys.Load(directory+"/authority.pem", directory+"/daemon.pem", directory+"/daemon-key.pem")
	assert.NilError(t, err)
	clock, logger := timekeeper.System{}, log.New(io.Discard)
	common, err := daemon.New(daemon.Options{
		Identity: daemon.Identity{AvailabilityZone: "z", Region: "r"}, TLS: bundle.ClientConfig(), Clock: clock, Logger: logger,
		Gossip: spreader.Options{ExchangeInterval: time.Hour, ExchangeTimeout: time.Second},
	})
	assert.NilError(t, err)
	t.Cleanup(common.Close)
	e := &Entry{common: common, clock: clock, logger: logger, pool: router.NewPool(clock), recorder: recorder.New(), inFlight: limiter.NewInFlight()}
	e.catalog.Store(&catalog{})
	e.router = e.newRouter()
	return e, bundle
}

// startSidecar starts a link server that passes requests to handle, and returns its
// address.
func startSidecar(t *testing.T, bundle *keys.Bundle, handle func(*link.Request, *link.Stream)) string {
	t.Helper()
	server, err := link.NewServer("127.0.0.1:0", bundle.ServerConfig(), func(_ context.Context, request *link.Request, stream *link.Stream) { handle(request, stream) })
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return server.Addr().String()
}

// beginAnswer begins a model request to the replicas at the addresses. The wanted weights
// version is v2.
func beginAnswer(e *Entry, tokens int, addresses ...string) (*modelAnswer, *router.Result) {
	document := &decoder.Document{Service: "s", Kind: decoder.ModelPool, Model: &decoder.Model{Name: "m", WeightsVersion: "v2", MaxTokens: 100, PrefillTokensPerSecond: 8000}}
	document.Workspaces = []decoder.Workspace{{Name: "w"}}
	for i, address := range addresses {
		document.BackendServers = append(document.BackendServers, decoder.BackendServer{Name: string(rune('a' + i)), Sidecar: address, AvailabilityZone: "z", Region: "r"})
	}
	s := newService(&spreader.ServiceRevision[*decoder.Document]{Value: document}, nil)
	c := &catalog{byName: map[string]*service{"s": s}}
	e.pool.SetReplicas(e.replicaDescriptors(c))
	inference := &link.Inference{Model: "m", Prompt: []byte("prompt"), MaxTokens: tokens}
	answer := &modelAnswer{payload: &payload{service: s, workspace: &document.Workspaces[0], inference: inference, sequence: sequencer.New()}}
	now := time.Now()
	answer.request = &router.Request{
		ID: "q", Catalog: router.NewCatalog(1, router.Limits{}, nil, []*router.Service{{Name: "s", Engine: s.routerEngine()}}, nil), Route: s.modelRoute,
		Workspace: &router.Workspace{Name: "w", Dedicated: true}, Arrived: now, Deadline: now.Add(10 * time.Second), LastEventID: -1,
		Prompt: newPrompt("w", inference), Message: answer.payload,
	}
	return answer, e.router.Begin(answer.request)
}

func readAll(t *testing.T, events *router.EventStream) string {
	t.Helper()
	defer events.Close()
	text := ""
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return text
		}
		assert.NilError(t, err)
		text += string(event.Raw)
	}
}

// sendTokens admits an attempt and sends its tokens with the indexes from..to-1, and the
// end frame if complete is set.
func sendTokens(request *link.Request, stream *link.Stream, from, to int, complete bool) {
	_ = stream.Send(&link.Frame{Kind: link.Admitted, RequestID: request.RequestID, AttemptID: request.AttemptID, WeightsVersion: "v1"})
	for i := from; i < to; i++ {
		_ = stream.Send(&link.Frame{Kind: link.Token, RequestID: request.RequestID, AttemptID: request.AttemptID, Index: i, Text: string(rune('a' + i))})
	}
	if complete {
		_ = stream.Send(&link.Frame{Kind: link.End, RequestID: request.RequestID, AttemptID: request.AttemptID, Index: to})
	}
}

// TestSidecarCorrectionsApplyWithinAttempt guards against spending a retry on outdated
// information. The sidecar first refuses an unknown incarnation and then the weights
// version, which no replica serves yet. The entry must correct both within one attempt.
func TestSidecarCorrectionsApplyWithinAttempt(t *testing.T) {
	e, bundle := newTestEntry(t)
	status := &link.Status{SidecarIncarnation: "one", WeightsVersion: "v1"}
	var refusals atomic.Int64
	address := startSidecar(t, bundle, func(request *link.Request, stream *link.Stream) {
		failure := &link.Frame{Kind: link.Failure, RequestID: request.RequestID, AttemptID: request.AttemptID, Outcome: admitter.NotRun, Status: status}
		switch {
		case request.SidecarIncarnation != "one":
			failure.Code = link.CodeIncarnationChanged
		case request.Infer.WeightsVersion != "v1":
			failure.Code = link.CodeWeightsNotServed
		default:
			sendTokens(request, stream, 0, 3, true)
			return
		}
		refusals.Add(1)
		_ = stream.Send(failure)
	})
	answer, result := beginAnswer(e, 3, address)
	assert.Assert(t, result.Failure == nil, "%+v", result.Failure)
	assert.Equal(t, readAll(t, result.Stream), "abc")
	assert.Equal(t, answer.payload.sequence.WeightsVersion(), "v1")
	assert.Equal(t, refusals.Load(), int64(2))
	assert.Equal(t, e.recorder.Counters()["attempts"], int64(1))
}

// TestStartedAnswerKeepsWeightsVersion guards against continuing an answer on other
// weights. An answer on v1 breaks off and only v2 is served then, so the answer must end
// with an error.
func TestStartedAnswerKeepsWeightsVersion(t *testing.T) {
	e, bundle := newTestEntry(t)
	var inferRequests atomic.Int64
	handle := func(request *link.Request, stream *link.Stream) {
		if request.Kind == link.Attach || inferRequests.Add(1) > 1 {
			_ = stream.Send(&link.Frame{
				Kind: link.Failure, RequestID: request.RequestID, AttemptID: request.AttemptID, Outcome: admitter.NotRun, Code: link.CodeWeightsNotServed,
				Status: &link.Status{WeightsVersion: "v2"},
			})
			return
		}
		sendTokens(request, stream, 0, 2, false)
		_ = stream.Send(&link.Frame{Kind: link.Failure, RequestID: request.RequestID, AttemptID: request.AttemptID, Outcome: admitter.Unknown, Code: link.CodeBackendServerFailed})
	}
	answer, result := beginAnswer(e, 5, startSidecar(t, bundle, handle), startSidecar(t, bundle, handle))
	assert.Assert(t, result.Failure == nil)
	defer result.Stream.Close()
	for range 2 {
		_, err := result.Stream.Next()
		assert.NilError(t, err)
	}
	_, err := result.Stream.Next()
	assert.Assert(t, err != nil && !errors.Is(err, io.EOF))
	assert.Equal(t, answer.payload.sequence.WeightsVersion(), "v1")
	assert.Equal(t, interruptedProblem(err).Outcome, admitter.Unknown)
}
