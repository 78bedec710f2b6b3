package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/gateway"
	"github.com/cyclamenward/cyclamenward/internal/gateway/reserver"
	"github.com/cyclamenward/cyclamenward/internal/metrics/recorder"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/limiter"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// fixture is a gateway with a test protocol and a test transport. The path of a request
// determines how the only replica behaves.
type fixture struct {
	gateway       *gateway.Gateway
	callerAddress string
	readyAddress  string
	release       chan struct{}
	// passedOn holds the paths below /load/ that reached the replica.
	passedOn sync.Map
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// newFixture starts a gateway. Complete streams wait before their second event until
// release is closed.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newLimitedFixture(t, 0)
}

// newLimitedFixture is newFixture with a limit of callers' connections.
func newLimitedFixture(t *testing.T, connections int) *fixture {
	t.Helper()
	clock := timekeeper.System{}
	f := &fixture{callerAddress: freeAddress(t), readyAddress: freeAddress(t), release: make(chan struct{})}
	pool := router.NewPool(clock)
	pool.SetReplicas([]router.Descriptor{{ID: "i", Service: "s", Address: "10.0.0.1:80", Slots: 4}})
	options := router.Options{
		PrefillTokensPerSecond: 60_000, RetryBudget: limiter.BudgetLimits{Ratio: 0.2, Extra: 10, Window: 10 * time.Second}, OldWeightsTimeout: time.Minute,
		SupersededAt: func(string, int) (time.Time, bool) { return time.Time{}, false },
	}
	r := router.New(options, pool, router.Transport{Send: f.send}, clock, log.New(io.Discard), recorder.New())
	var err error
	f.gateway, err = gateway.New(gateway.Settings{Address: f.callerAddress, ReadyAddress: f.readyAddress, IdleTimeout: time.Minute, Grace: 5 * time.Second, Connections: connections, Memory: reserver.NewBudget(1<<20, 1<<20, timekeeper.System{})},
		gateway.Protocol{MaxBody: maxBody, Parse: parse, WriteHead: writeHead, WriteFailure: writeFailure}, r, func() bool { return true }, clock, log.New(io.Discard))
	assert.NilError(t, err)
	return f
}

// maxTestBody is the size of the largest body.
const maxTestBody = 128 << 10

func maxBody(*fasthttp.RequestHeader) (bytes, priority int) { return maxTestBody, 0 }

func parse(ctx *fasthttp.RequestCtx, arrived time.Time) (*router.Request, bool) {
	name, kind, path := "r", router.Streaming, string(ctx.Path())
	if strings.HasPrefix(path, "/load/") {
		name, kind = "load", router.AtMostOnce
	}
	if rest, found := strings.CutPrefix(path, "/new"); found {
		name, path = "new", rest
	}
	route := &router.Route{Name: name, Kind: kind, MaxAttempts: 1, Shares: []router.Share{{Service: "s", Weight: 1}}}
	catalog := router.NewCatalog(1, router.Limits{}, []*router.Route{route}, nil, nil)
	return &router.Request{
		ID: "q", Catalog: catalog, Route: route, Arrived: arrived, Deadline: arrived.Add(20 * time.Second), LastEventID: -1, Message: path,
	}, true
}

func writeHead(ctx *fasthttp.RequestCtx, reply *router.Reply) { ctx.SetStatusCode(reply.Status) }

func writeFailure(ctx *fasthttp.RequestCtx, failure *router.Failure) {
	ctx.SetStatusCode(fasthttp.StatusBadGateway)
	if failure.NotRun {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (f *fixture) send(_ context.Context, a *router.Attempt) (*router.Reply, error) {
	reply := &router.Reply{Status: 200, Running: -1, Queued: -1, Close: func() {}, SetDeadline: func(time.Time) {}}
	next := int64(0)
	switch a.Request.Message {
	case "/lost":
		return nil, errors.New("lost")
	case "/whole":
		reply.NextEvent = func() (router.Event, error) {
			if next == 3 {
				return router.Event{}, io.EOF
			}
			if next == 1 {
				<-f.release
			}
			next++
			return router.Event{Raw: []byte(fmt.Sprintf("id: %d\n\n", next)), ID: next}, nil
		}
	case "/broken":
		reply.NextEvent = func() (router.Event, error) {
			if next == 1 {
				return router.Event{}, errors.New("lost")
			}
			next++
			return router.Event{Raw: []byte("id: 1\n\n"), ID: 1}, nil
		}
	default:
		path := a.Request.Message.(string)
		if !strings.HasPrefix(path, "/load/") {
			reply.NotRun = true
			break
		}
		f.passedOn.Store(path, true)
		reply.ReadBody = func() ([]byte, error) { return []byte(path), nil }
	}
	return reply, nil
}

// startDrain drains the gateway, and returns once it is not ready. The returned channel is closed when
// it is drained.
func (f *fixture) startDrain(t *testing.T) <-chan struct{} {
	t.Helper()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		f.gateway.Drain()
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.gateway.Ready() {
			return poll.Continue("still ready")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(20*time.Second))
	return drained
}

func get(t *testing.T, address, path string) *http.Response {
	t.Helper()
	response, err := http.Get("http://" + address + path)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// TestStreamsAreRelayed guards against a broken stream that looks complete to the caller:
// its response must end with a read error, and a complete stream must arrive unchanged.
func TestStreamsAreRelayed(t *testing.T) {
	f := newFixture(t)
	defer f.gateway.Drain()
	close(f.release)
	body, err := io.ReadAll(get(t, f.callerAddress, "/whole").Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "id: 1\n\nid: 2\n\nid: 3\n\n")
	body, err = io.ReadAll(get(t, f.callerAddress, "/broken").Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, string(body), "id: 1\n\n")
}

// TestLargeRequestHeadIsAccepted sends 16 KB of header fields, which operators may allow.
func TestLargeRequestHeadIsAccepted(t *testing.T) {
	f := newFixture(t)
	defer f.gateway.Drain()
	close(f.release)
	request, err := http.NewRequest(http.MethodGet, "http://"+f.callerAddress+"/whole", nil)
	assert.NilError(t, err)
	request.Header.Set("X-Prompt", strings.Repeat("x", 16<<10))
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// endlessRequest is a request that goes on with more for as long as its connection is open.
type endlessRequest struct {
	begin, more string
	// status is that of the answer.
	status int
}

// send sends the request to a gateway and checks its answer.
func (r endlessRequest) send(t *testing.T) {
	f := newFixture(t)
	connection, err := net.Dial("tcp", f.callerAddress)
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	assert.NilError(t, connection.SetDeadline(time.Now().Add(15*time.Second)))
	go func() {
		_, err := io.WriteString(connection, r.begin)
		for err == nil {
			_, err = io.WriteString(connection, r.more)
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, r.status)
	assert.Check(t, response.Close, "the connection goes on")
}

// TestEndlessRequestsAreRefused guards against memory that callers take with requests that do not end, and
// against callers that wait for an answer to them.
func TestEndlessRequestsAreRefused(t *testing.T) {
	for name, request := range map[string]endlessRequest{
		"head":           {"GET /whole HTTP/1.1\r\nHost: h\r\n", "X-Field: " + strings.Repeat("x", 1000) + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"one field":      {"GET /whole HTTP/1.1\r\nHost: h\r\nX-Field: ", strings.Repeat("x", 1000), http.StatusRequestHeaderFieldsTooLarge},
		"path":           {"GET /whole", strings.Repeat("x", 1000), http.StatusRequestHeaderFieldsTooLarge},
		"body in chunks": {"POST /whole HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n", http.StatusRequestEntityTooLarge},
		"trailers":       {"POST /whole HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: " + strings.Repeat("x", 1000) + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, request.send)
	}
}

// TestEndlessChunkExtensionsEndInTime guards against a request that goes on beyond the time for a whole
// request because there are always more bytes of it to read.
func TestEndlessChunkExtensionsEndInTime(t *testing.T) {
	endlessRequest{"POST /whole HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 1000), http.StatusBadRequest}.send(t)
}

// TestFailureStatus checks that a rejected request is reported as not run, and one whose
// answer was lost as a failure after which it may have run.
func TestFailureStatus(t *testing.T) {
	f := newFixture(t)
	defer f.gateway.Drain()
	assert.Equal(t, get(t, f.callerAddress, "/rejected").StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, get(t, f.callerAddress, "/lost").StatusCode, http.StatusBadGateway)
}

// TestDrainCompletesRunningStreams drains the gateway in the middle of a stream. The
// gateway must turn not ready at once and still deliver the rest of the stream.
func TestDrainCompletesRunningStreams(t *testing.T) {
	f := newFixture(t)
	response := get(t, f.callerAddress, "/whole")
	first := make([]byte, 7)
	_, err := io.ReadFull(response.Body, first)
	assert.NilError(t, err)
	drained := f.startDrain(t)
	assert.Equal(t, get(t, f.readyAddress, "/").StatusCode, http.StatusServiceUnavailable)
	close(f.release)
	rest, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "id: 2\n\nid: 3\n\n")
	<-drained
}

// sendUntilClosed sends requests on kept connections until ctx ends or the gateway accepts none,
// and stores the paths that were answered.
func sendUntilClosed(ctx context.Context, address string, caller int, answered *sync.Map) {
	for n := 0; ctx.Err() == nil; {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		reader := bufio.NewReader(conn)
		for {
			n++
			path := fmt.Sprintf("/load/%d/%d", caller, n)
			if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
				break
			}
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			if body, err := io.ReadAll(response.Body); err != nil || string(body) != path {
				break
			}
			answered.Store(path, true)
			if response.Close {
				break
			}
		}
		stop()
		_ = conn.Close()
	}
}

// TestDrainUnderLoadAnswersWhatWasPassedOn guards against a planned stop that cuts requests which
// were just accepted. Callers go on using their connections until the gateway is gone: each
// request that reached the replica must have been answered.
func TestDrainUnderLoadAnswersWhatWasPassedOn(t *testing.T) {
	f := newFixture(t)
	var callers sync.WaitGroup
	var answered sync.Map
	ctx, processEnded := context.WithCancel(t.Context())
	for caller := range 16 {
		callers.Go(func() { sendUntilClosed(ctx, f.callerAddress, caller, &answered) })
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, found := answered.Load("/load/0/50"); !found {
			return poll.Continue("not under load yet")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(20*time.Second))
	f.gateway.Drain()
	processEnded()
	callers.Wait()
	f.passedOn.Range(func(path, _ any) bool {
		_, found := answered.Load(path)
		assert.Check(t, found, "%s was passed on and not answered", path)
		return true
	})
}

// TestNewConnectionsAreAnsweredWhileRequestsRun guards against callers who get neither an answer
// nor a refusal in a planned stop: all daemons may stop at once, and the balancer then sends them
// new connections. What can be served in time is, the rest is refused.
func TestNewConnectionsAreAnsweredWhileRequestsRun(t *testing.T) {
	f := newFixture(t)
	for i := range 60 {
		assert.Equal(t, get(t, f.callerAddress, fmt.Sprintf("/load/first/%d", i)).StatusCode, http.StatusOK)
	}
	response := get(t, f.callerAddress, "/whole")
	drained := f.startDrain(t)
	for i := range 20 {
		answer := get(t, f.callerAddress, fmt.Sprintf("/load/%d", i))
		assert.Equal(t, answer.StatusCode, http.StatusOK)
		assert.Check(t, answer.Close)
		// The route of these has no run yet, and their deadline lies behind the end.
		assert.Equal(t, get(t, f.callerAddress, "/new/whole").StatusCode, http.StatusServiceUnavailable)
	}
	close(f.release)
	rest, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "id: 1\n\nid: 2\n\nid: 3\n\n")
	<-drained
}

// TestFullGatewayRefusesAtOnce guards against callers that wait in vain for a daemon whose connections all carry
// requests, and against a load balancer that sends it more.
func TestFullGatewayRefusesAtOnce(t *testing.T) {
	f := newLimitedFixture(t, 1)
	defer f.gateway.Drain()
	stream := get(t, f.callerAddress, "/whole")
	assert.Check(t, f.gateway.Ready())
	refused := get(t, f.callerAddress, "/whole")
	assert.Equal(t, refused.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, refused.Header.Get("Retry-After"), "1")
	assert.Check(t, !f.gateway.Ready())
	assert.Equal(t, get(t, f.readyAddress, "/").StatusCode, http.StatusServiceUnavailable)
	close(f.release)
	body, err := io.ReadAll(stream.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "id: 1\n\nid: 2\n\nid: 3\n\n")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !f.gateway.Ready() {
			return poll.Continue("the gateway has refused a caller lately")
		}
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(20*time.Second))
	assert.Equal(t, get(t, f.callerAddress, "/new/whole").StatusCode, http.StatusOK)
}
