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

// newTestEntry returns an entry without listeners and the keys of its fleet.
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
		Gossip: spreader.Options{ExchangeInterval: time.Hour},
	})
	assert.NilError(t, err)
	t.Cleanup(common.Close)
	e := &Entry{common: common, clock: clock, logger: logger, pool: router.NewPool(clock), recorder: recorder.New(), inFlight: limiter.NewInFlight()}
	e.catalog.Store(&catalog{})
	e.router = e.newRouter()
	return e, bundle
}

// startSidecar answers model requests as the handler says.
func startSidecar(t *testing.T, bundle *keys.Bundle, handle func(*link.Request, *link.Stream)) string {
	t.Helper()
	server, err := link.NewServer("127.0.0.1:0", bundle.ServerConfig(), func(_ context.Context, request *link.Request, stream *link.Stream) { handle(request, stream) })
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return server.Addr().String()
}

// startAnswer begins a request to the replicas at the addresses, whose document wants
// the weights v2.
func startAnswer(e *Entry, tokens int, addresses ...string) (*answer, *router.Result) {
	document := &decoder.Document{Service: "s", Kind: decoder.ModelPool, Model: &decoder.Model{Name: "m", WeightsVersion: "v2", MaxTokens: 100, PrefillTokensPerSecond: 8000}}
	document.Workspaces = []decoder.Workspace{{Name: "w"}}
	for i, address := range addresses {
		document.BackendServers = append(document.BackendServers, decoder.BackendServer{Name: string(rune('a' + i)), Sidecar: address, AvailabilityZone: "z", Region: "r"})
	}
	s := newService(&spreader.ServiceRevision[*decoder.Document]{Value: document}, nil)
	c := &catalog{byName: map[string]*service{"s": s}}
	e.pool.SetReplicas(e.replicas(c))
	infer := &link.Inference{Model: "m", Prompt: []byte("prompt"), MaxTokens: tokens}
	r := &answer{payload: &payload{service: s, workspace: &document.Workspaces[0], infer: infer, sequence: sequencer.New()}}
	now := time.Now()
	r.request = &router.Request{
		ID: "q", Catalog: router.NewCatalog(1, router.Limits{}, nil, []*router.Service{{Name: "s", Engine: s.engine()}}, nil), Route: s.answers,
		Workspace: &router.Workspace{Name: "w", Dedicated: true}, Arrived: now, Deadline: now.Add(10 * time.Second), LastEventID: -1,
		Prompt: promptOf("w", infer), Message: r.payload,
	}
	return r, e.router.Begin(r.request)
}

func readAll(t *testing.T, relay *router.EventStream) string {
	t.Helper()
	defer relay.Close()
	text := ""
	for {
		event, err := relay.Next()
		if errors.Is(err, io.EOF) {
			return text
		}
		assert.NilError(t, err)
		text += string(event.Raw)
	}
}

// sendTokens sends the tokens from..to of an attempt, and its end if it is whole.
func sendTokens(request *link.Request, stream *link.Stream, from, to int, whole bool) {
	_ = stream.Send(&link.Frame{Kind: link.Admitted, RequestID: request.RequestID, AttemptID: request.AttemptID, WeightsVersion: "v1"})
	for i := from; i < to; i++ {
		_ = stream.Send(&link.Frame{Kind: link.Token, RequestID: request.RequestID, AttemptID: request.AttemptID, Index: i, Text: string(rune('a' + i))})
	}
	if whole {
		_ = stream.Send(&link.Frame{Kind: link.End, RequestID: request.RequestID, AttemptID: request.AttemptID, Index: to})
	}
}

// TestReportOfOtherWeightsIsUsedAtOnce wants weights that no replica serves yet. The
// sidecar, whose incarnation is not known either, corrects the entry, which needs no
// other replica and no retry for it.
func TestReportOfOtherWeightsIsUsedAtOnce(t *testing.T) {
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
	r, result := startAnswer(e, 3, address)
	assert.Assert(t, result.Failure == nil, "%+v", result.Failure)
	assert.Equal(t, readAll(t, result.Stream), "abc")
	assert.Equal(t, r.payload.sequence.WeightsVersion(), "v1")
	assert.Equal(t, refusals.Load(), int64(2))
	assert.Equal(t, e.recorder.Counters()["attempts"], int64(1))
}

// TestBoundAnswerStaysOnItsWeights breaks an answer on v1 off. Its replica is gone and
// the other one serves v2, so the answer must end broken.
func TestBoundAnswerStaysOnItsWeights(t *testing.T) {
	e, bundle := newTestEntry(t)
	var asked atomic.Int64
	handle := func(request *link.Request, stream *link.Stream) {
		if request.Kind == link.Attach || asked.Add(1) > 1 {
			_ = stream.Send(&link.Frame{
				Kind: link.Failure, RequestID: request.RequestID, AttemptID: request.AttemptID, Outcome: admitter.NotRun, Code: link.CodeWeightsNotServed,
				Status: &link.Status{WeightsVersion: "v2"},
			})
			return
		}
		sendTokens(request, stream, 0, 2, false)
		_ = stream.Send(&link.Frame{Kind: link.Failure, RequestID: request.RequestID, AttemptID: request.AttemptID, Outcome: admitter.Unknown, Code: link.CodeBackendServerFailed})
	}
	r, result := startAnswer(e, 5, startSidecar(t, bundle, handle), startSidecar(t, bundle, handle))
	assert.Assert(t, result.Failure == nil)
	defer result.Stream.Close()
	for range 2 {
		_, err := result.Stream.Next()
		assert.NilError(t, err)
	}
	_, err := result.Stream.Next()
	assert.Assert(t, err != nil && !errors.Is(err, io.EOF))
	assert.Equal(t, r.payload.sequence.WeightsVersion(), "v1")
	assert.Equal(t, interrupted(err).Outcome, admitter.Unknown)
}
