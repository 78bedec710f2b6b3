package fleet_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/bookingapp"
	"github.com/cyclamenward/cyclamenward/internal/standin/driver"
	"github.com/cyclamenward/cyclamenward/internal/standin/fleet"
	"github.com/cyclamenward/cyclamenward/internal/standin/keyvalue"
	"github.com/cyclamenward/cyclamenward/internal/standin/modelengine"
	"gotest.tools/v3/assert"
)

// startFleet runs a deployment of two entries and stops it at the end of the test. The
// programs must be in the directory CYCLAMENWARD_BIN, where make test builds them.
func startFleet(t *testing.T, engines, apps int) *fleet.Fleet {
	t.Helper()
	binaries := os.Getenv("CYCLAMENWARD_BIN")
	assert.Assert(t, binaries != "", "run these tests by make test, which builds the programs")
	f, err := fleet.Start(fleet.Options{
		ProductPath: filepath.Join(binaries, "cyclamenward"), StandinPath: filepath.Join(binaries, "standin"), Directory: t.TempDir(),
		Entries: 2, Engines: engines, Apps: apps, TokenInterval: 20 * time.Millisecond, LoadTime: 200 * time.Millisecond, DrainTimeout: 30 * time.Second,
	})
	assert.NilError(t, err)
	t.Cleanup(func() {
		if t.Failed() || os.Getenv("CYCLAMENWARD_LOGS") != "" {
			t.Log(f.LogTails(30))
		}
		f.Stop()
	})
	return f
}

// sleep returns once d has elapsed or the context is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// drainedTimeout bounds the time from the end of a draining daemon's last request to the
// daemon's exit.
const drainedTimeout = 5 * time.Second

// leavingTimeout is the time after which a leaving backend server must not get new
// requests: the longest interval between two readings of the list of hosts, and one more
// second.
const leavingTimeout = 6 * time.Second

// keyResults holds the results of all requests with one idempotency key: the bodies of
// the answers and the outcomes of the problem documents.
type keyResults struct {
	answers  []string
	outcomes []string
	// unanswered counts the requests that failed without an answer.
	unanswered int
}

// TestBookingsRunAtMostOnce guards against running a booking twice, and against telling
// a caller that a booking ran or did not run when the opposite is true. It sends every
// idempotency key several times through both entries while sidecars, an entry and the
// store fail, and compares the answers with the booking app's own record.
func TestBookingsRunAtMostOnce(t *testing.T) {
	f := startFleet(t, 0, 3)
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	const keys = 60
	results := make([]keyResults, keys)
	var mu sync.Mutex
	var group sync.WaitGroup
	for worker := range 12 {
		group.Add(1)
		go func() {
			defer group.Done()
			caller := driver.New(fleet.MeetsKey, worker%2 == 0)
			for i := range 30 {
				key := (worker*7 + i*5) % keys
				entry := fmt.Sprintf("entry-%d/caller", (worker+i)%2)
				answer, err := caller.Book(ctx, f.Address(entry), fmt.Sprintf("item-%d", key), fmt.Sprintf("key-%d", key), "")
				mu.Lock()
				results[key].record(answer, err)
				mu.Unlock()
				sleep(ctx, 50*time.Millisecond)
			}
		}()
	}
	faults := []func(){
		func() { f.Process("appcar-0").Kill() },
		func() { assert.Check(t, f.SetFaults("platform", keyvalue.Faults{LostReplies: 0.5, LostCalls: 0.2})) },
		func() { assert.Check(t, f.Process("appcar-0").Restart()) },
		func() { assert.Check(t, f.Process("appcar-1").Signal(syscall.SIGSTOP)) },
		func() { f.Process("entry-1").Kill() },
		func() { assert.Check(t, f.SetFaults("platform", keyvalue.Faults{Down: true})) },
		func() { assert.Check(t, f.Process("entry-1").Restart()) },
		func() { assert.Check(t, f.Process("appcar-1").Signal(syscall.SIGCONT)) },
		func() { assert.Check(t, f.SetFaults("app", bookingapp.Faults{LoseReplies: true})) },
		func() { assert.Check(t, f.SetFaults("platform", keyvalue.Faults{})) },
		func() { f.Process("appcar-2").Kill() },
		func() { assert.Check(t, f.SetFaults("app", bookingapp.Faults{})) },
		func() { assert.Check(t, f.Process("appcar-2").Restart()) },
	}
	for _, injectFault := range faults {
		sleep(ctx, 250*time.Millisecond)
		injectFault()
	}
	group.Wait()
	checkBookings(t, f, results)
}

// record adds the result of one request.
func (r *keyResults) record(answer *driver.Answer, err error) {
	var problem *driver.Problem
	switch {
	case err == nil:
		r.answers = append(r.answers, string(answer.Body))
	case errors.As(err, &problem):
		r.outcomes = append(r.outcomes, problem.Outcome)
	default:
		r.unanswered++
	}
}

// checkBookings compares the callers' results with the booking app's record: no item ran
// twice, every answer is that of the item's run, and an item whose callers all received
// notRun did not run.
func checkBookings(t *testing.T, f *fleet.Fleet, results []keyResults) {
	t.Helper()
	var record []bookingapp.Run
	assert.NilError(t, f.GetJSON("app", bookingapp.PathRecord, &record))
	runs := map[string][]int{}
	for _, run := range record {
		runs[run.Item] = append(runs[run.Item], run.Number)
	}
	answered, notRun, unknown := 0, 0, 0
	for key, r := range results {
		item := fmt.Sprintf("item-%d", key)
		assert.Check(t, len(runs[item]) <= 1, "%s ran %v", item, runs[item])
		for _, answer := range r.answers {
			answered++
			assert.Check(t, strings.Contains(answer, fmt.Sprintf("%q", item)), "%s was answered %s", item, answer)
			if assert.Check(t, len(runs[item]) == 1, "%s was answered but not run", item) {
				assert.Check(t, strings.Contains(answer, fmt.Sprintf("\"booking\":%d,", runs[item][0])), "%s was answered %s", item, answer)
			}
		}
		for _, outcome := range r.outcomes {
			if outcome == "notRun" {
				notRun++
			} else {
				unknown++
			}
		}
		allNotRun := r.unanswered == 0 && len(r.answers) == 0 && !slices.ContainsFunc(r.outcomes, func(outcome string) bool { return outcome != "notRun" })
		assert.Check(t, !allNotRun || len(runs[item]) == 0, "all callers of %s were told notRun, but it ran", item)
	}
	t.Logf("%d runs, %d answers, %d told notRun, %d told unknown or answered", len(record), answered, notRun, unknown)
	assert.Check(t, answered > 100)
}

// checkStream sends one chat and returns whether the stream was complete. A refusal that
// names a time to retry is retried up to 5 times. It checks that the tokens are a prefix
// of the expected answer on one of the versions, and all of it if the stream ended with
// its end mark.
func checkStream(ctx context.Context, t *testing.T, chat *driver.Chat, versions ...string) (complete bool) {
	t.Helper()
	got, err := driver.New(fleet.MeetsKey, false).Stream(ctx, chat)
	var refusal *driver.Problem
	for retries := 0; retries < 5 && errors.As(err, &refusal) && refusal.Outcome == "notRun" && refusal.RetryAfterSeconds > 0; retries++ {
		t.Logf("stream was refused, retrying after %d s: %v", refusal.RetryAfterSeconds, err)
		sleep(ctx, time.Duration(refusal.RetryAfterSeconds)*time.Second)
		got, err = driver.New(fleet.MeetsKey, false).Stream(ctx, chat)
	}
	if err != nil {
		t.Logf("stream was refused: %v", err)
		return false
	}
	matches := slices.ContainsFunc(versions, func(version string) bool {
		expected := chat.ExpectedTokens(version, 0)
		return len(got.Tokens) <= len(expected) && slices.Equal(got.Tokens, expected[:len(got.Tokens)]) && (!got.Complete || len(got.Tokens) == len(expected))
	})
	assert.Check(t, matches, "%d tokens (complete: %t) are not a prefix of the answer on any one version", len(got.Tokens), got.Complete)
	if !got.Complete {
		t.Logf("stream broke off after %d tokens: %v", len(got.Tokens), got.Problem)
	}
	return got.Complete
}

// chatOf returns a chat through an entry. Chats whose numbers are equal modulo 3 share
// all of the prompt but its last words.
func chatOf(f *fleet.Fleet, entry, number, tokens int) *driver.Chat {
	shared := strings.Repeat("meet rules and heat sheets; ", 400*(1+number%3))
	return &driver.Chat{
		Address: f.Address(fmt.Sprintf("entry-%d/caller", entry)), Model: fleet.ModelName,
		Content: shared + fmt.Sprintf("question %d", number), MaxTokens: tokens,
	}
}

// runStreamsDuring runs 40 streams, 8 at a time, while it injects the faults one after
// the other, and returns how many streams were complete and how many there were.
func runStreamsDuring(t *testing.T, f *fleet.Fleet, faults []func() error) (completed, total int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 90*time.Second)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	for worker := range 8 {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := range 5 {
				complete := checkStream(ctx, t, chatOf(f, worker%2, worker*5+i, 60), "v1", "v2", "v3")
				mu.Lock()
				total++
				if complete {
					completed++
				}
				mu.Unlock()
			}
		}()
	}
	for _, injectFault := range faults {
		sleep(ctx, 700*time.Millisecond)
		assert.Check(t, injectFault())
	}
	group.Wait()
	t.Logf("%d of %d streams complete", completed, total)
	return completed, total
}

// crashFaults crashes engines, one of them with lost cache events, freezes a sidecar and
// kills another. All of them run again afterwards.
func crashFaults(f *fleet.Fleet) []func() error {
	return []func() error{
		func() error { return f.SetFaults("engine-0", modelengine.Faults{Crash: true, LostEvents: 0.3}) },
		func() error { return f.Process("sidecar-1").Signal(syscall.SIGSTOP) },
		func() error { return f.SetFaults("engine-0", modelengine.Faults{Crash: true}) },
		func() error { return f.Process("sidecar-1").Signal(syscall.SIGCONT) },
		func() error { f.Process("sidecar-2").Kill(); return nil },
		func() error { return f.Process("sidecar-2").Restart() },
		func() error { f.Process("engine-3").Kill(); return nil },
		func() error { return f.Process("engine-3").Restart() },
	}
}

// TestStreamsAreCompleteDespiteFailures guards against streams that break off when their
// replica fails: engines crash and lose cache events, a sidecar is frozen and another
// killed. Every stream must be complete.
func TestStreamsAreCompleteDespiteFailures(t *testing.T) {
	f := startFleet(t, 4, 0)
	completed, total := runStreamsDuring(t, f, crashFaults(f))
	assert.Equal(t, completed, total)
}

// TestStreamsAreCompleteDuringRollouts guards against streams that break off or mix
// weights versions during a rollout. It changes the weights twice, the second time
// before the first rollout has ended. Every stream must be complete on one version, and
// all replicas must reach the last one.
func TestStreamsAreCompleteDuringRollouts(t *testing.T) {
	f := startFleet(t, 4, 0)
	completed, total := runStreamsDuring(t, f, []func() error{
		func() error { return f.Apply(f.ModelDocument("v3")) },
		func() error { return f.Apply(f.ModelDocument("v2")) },
	})
	assert.NilError(t, f.Await("weights v2", func() bool {
		for i := range 4 {
			var state struct {
				WeightsVersion string `json:"weightsVersion"`
			}
			if f.GetJSON(fmt.Sprintf("engine-%d", i), "/v1/state", &state) != nil || state.WeightsVersion != "v2" {
				return false
			}
		}
		return true
	}))
	assert.Equal(t, completed, total)
}

// TestStreamsEndWithErrorWhenWeightsAreGone rolls out new weights while replicas crash. A
// stream whose weights version no replica serves any more cannot be completed. It must
// end with an error, and never with the end mark before all of its tokens, which
// checkStream checks.
func TestStreamsEndWithErrorWhenWeightsAreGone(t *testing.T) {
	f := startFleet(t, 4, 0)
	faults := append([]func() error{func() error { return f.Apply(f.ModelDocument("v2")) }}, crashFaults(f)...)
	completed, _ := runStreamsDuring(t, f, faults)
	assert.Check(t, completed > 0)
}

// TestStreamIsResumedThroughAnotherEntry kills the entry in the middle of a stream and
// resumes the stream from its last event ID through the other entry. No token may be
// lost or repeated.
func TestStreamIsResumedThroughAnotherEntry(t *testing.T) {
	f := startFleet(t, 2, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	chat := chatOf(f, 0, 1, 60)
	chat.OnToken = func(tokens int) error {
		if tokens == 15 {
			f.Process("entry-0").Kill()
		}
		return nil
	}
	first, err := driver.New(fleet.MeetsKey, false).Stream(ctx, chat)
	assert.NilError(t, err)
	assert.Assert(t, !first.Complete && len(first.Tokens) >= 15)
	resumed := chatOf(f, 1, 1, 60)
	resumed.LastEventID = first.LastEventID
	second, err := driver.New(fleet.MeetsKey, false).Stream(ctx, resumed)
	assert.NilError(t, err)
	assert.Assert(t, second.Complete)
	assert.DeepEqual(t, append(first.Tokens, second.Tokens...), chat.ExpectedTokens("v1", 0))

	// Another workspace must not get the tokens of this stream: if its request is
	// accepted, the tokens are those generated for a request of its own.
	otherWorkspace, err := driver.New(fleet.RentalsKey, false).Stream(ctx, resumed)
	if err == nil {
		assert.DeepEqual(t, otherWorkspace.Tokens, chat.ExpectedTokens("v1", len(first.Tokens)))
	}
}

// TestRestartedEntriesServeWithoutTheStore guards against entries that need the store to
// start. It kills the platform and all entries; the restarted entries must get the
// configuration from the sidecars and serve within 4 seconds.
func TestRestartedEntriesServeWithoutTheStore(t *testing.T) {
	f := startFleet(t, 2, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	f.Process("platform").Kill()
	for _, name := range []string{"entry-0", "entry-1"} {
		f.Process(name).Kill()
	}
	restartedAt := time.Now()
	for _, name := range []string{"entry-0", "entry-1"} {
		assert.NilError(t, f.Process(name).Restart())
	}
	for i, name := range []string{"entry-0", "entry-1"} {
		assert.NilError(t, f.AwaitReady(name))
		t.Logf("%s is ready %s after the restart", name, time.Since(restartedAt).Round(time.Millisecond))
		assert.Check(t, checkStream(ctx, t, chatOf(f, i, i, 5), "v1"))
	}
	assert.Check(t, time.Since(restartedAt) < 4*time.Second, "took %s", time.Since(restartedAt))
}

// TestDrainCompletesRunningStreams guards against a drain that breaks off requests. It
// sends SIGTERM to an entry and a sidecar while streams run through them; the streams
// must be complete, and both daemons must exit soon after.
func TestDrainCompletesRunningStreams(t *testing.T) {
	f := startFleet(t, 2, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	var group sync.WaitGroup
	running := make(chan struct{}, 16)
	for i := range 16 {
		group.Add(1)
		go func() {
			defer group.Done()
			chat := chatOf(f, i%2, i, 100)
			chat.OnToken = func(tokens int) error {
				if tokens == 1 {
					running <- struct{}{}
				}
				return nil
			}
			assert.Check(t, checkStream(ctx, t, chat, "v1"))
		}()
	}
	for range 16 {
		select {
		case <-running:
		case <-time.After(20 * time.Second):
			t.Fatal("not all streams have begun after 20 s")
		}
	}
	for _, name := range []string{"sidecar-0", "entry-0"} {
		assert.NilError(t, f.Process(name).Signal(syscall.SIGTERM))
	}
	// New requests go elsewhere while the old ones end.
	assert.Check(t, checkStream(ctx, t, chatOf(f, 1, 99, 5), "v1"))
	group.Wait()
	timeout := time.After(drainedTimeout)
	for _, name := range []string{"sidecar-0", "entry-0"} {
		select {
		case <-f.Process(name).Exited():
		case <-timeout:
			t.Errorf("%s has not ended %s after its last stream", name, drainedTimeout)
		}
	}
}

// TestFrozenSidecarIsDetected freezes the sidecar that serves a stream and checks that
// the stream continues on another replica in time. The bound on the longest gap is the
// sum of 2 s without data on the link, two attempts of 0.6 s to reach the sidecar again, a
// prefill of 1.1 s, and half a second of margin.
func TestFrozenSidecarIsDetected(t *testing.T) {
	f := startFleet(t, 2, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	chat := chatOf(f, 0, 1, 60)
	frozen := ""
	chat.OnToken = func(tokens int) error {
		if tokens == 10 {
			for i := range 2 {
				var state struct {
					Running int `json:"running"`
				}
				if f.GetJSON(fmt.Sprintf("engine-%d", i), "/v1/state", &state) == nil && state.Running > 0 {
					frozen = fmt.Sprintf("sidecar-%d", i)
				}
			}
			return f.Process(frozen).Signal(syscall.SIGSTOP)
		}
		return nil
	}
	got, err := driver.New(fleet.MeetsKey, false).Stream(ctx, chat)
	assert.NilError(t, err)
	assert.Assert(t, got.Complete, "%v", got.Problem)
	assert.DeepEqual(t, got.Tokens, chat.ExpectedTokens("v1", 0))
	longestGap := slices.Max(got.TokenGaps)
	t.Logf("longest gap %s", longestGap.Round(time.Millisecond))
	assert.Check(t, longestGap < 4800*time.Millisecond, "gap of %s", longestGap)
}

// TestInvalidInputGetsProblemDocument sends invalid requests and checks that each is
// answered with a problem document whose outcome is notRun, and that nothing ran.
func TestInvalidInputGetsProblemDocument(t *testing.T) {
	f := startFleet(t, 1, 1)
	address := f.Address("entry-0/caller")
	validKey := "Authorization: Bearer " + fleet.MeetsKey + "\r\n"
	body := func(text string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text) }
	for name, input := range map[string]struct {
		request string
		status  int
	}{
		"no key":            {"POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + body("{}"), 401},
		"unknown key":       {"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer no\r\n" + body("{}"), 401},
		"two keys":          {"POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + validKey + validKey + body("{}"), 401},
		"no JSON":           {"POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + validKey + body("{"), 400},
		"bad UTF-8":         {"POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + validKey + body("{\"prompt\":\"\xff\"}"), 400},
		"unknown model":     {"POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + validKey + body(`{"model":"no","prompt":"p"}`), 404},
		"too many tokens":   {"POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + validKey + body(`{"model":"meet-assistant","prompt":"p","max_tokens":1000000}`), 400},
		"bad timeout":       {"POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Request-Timeout: soon\r\n" + validKey + body(`{"model":"meet-assistant","prompt":"p"}`), 400},
		"foreign event id":  {"POST /v1/completions HTTP/1.1\r\nHost: x\r\nLast-Event-ID: x.1\r\n" + validKey + body(`{"model":"meet-assistant","prompt":"p"}`), 400},
		"two idempotencies": {"POST /services/booking/bookings HTTP/1.1\r\nHost: x\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n" + validKey + body("{}"), 400},
		"unknown service":   {"POST /services/none/x HTTP/1.1\r\nHost: x\r\n" + validKey + body("{}"), 404},
		"unknown path":      {"GET /nowhere HTTP/1.1\r\nHost: x\r\n" + validKey + "\r\n", 404},
		"oversize":          {"POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + validKey + "Content-Length: 99000000\r\n\r\n", 413},
		"no HTTP":           {"\x16\x03\x01\x02\x00\r\n\r\n", 400},
	} {
		status, problem := sendRaw(t, address, input.request)
		assert.Check(t, status == input.status, "%s: status %d %+v", name, status, problem)
		assert.Check(t, problem.Outcome == "notRun" && problem.Code != "" && problem.Status == input.status, "%s: %+v", name, problem)
	}
	// A truncated request does not affect the entry, which still serves.
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	_, _ = connection.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + validKey + "Content-Length: 50\r\n\r\n{"))
	_ = connection.Close()
	assert.Check(t, checkStream(t.Context(), t, chatOf(f, 0, 1, 3), "v1"))
	var record []bookingapp.Run
	assert.NilError(t, f.GetJSON("app", bookingapp.PathRecord, &record))
	assert.Equal(t, len(record), 0)
}

// sendRaw sends bytes over a new connection and returns the status and the problem
// document of the answer.
func sendRaw(t *testing.T, address, request string) (int, driver.Problem) {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = connection.Write([]byte(request))
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, driver.Problem{}
	}
	defer func() { _ = response.Body.Close() }()
	var problem driver.Problem
	_ = json.NewDecoder(response.Body).Decode(&problem)
	return response.StatusCode, problem
}

// TestLeavingBackendServerGetsNoNewWork removes a backend server from the document and
// marks another as leaving in the platform's list of hosts, and checks that neither
// admits new requests a few seconds later, while both entries still serve.
func TestLeavingBackendServerGetsNoNewWork(t *testing.T) {
	f := startFleet(t, 3, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
	defer cancel()
	document := f.ModelDocument("v1")
	document.BackendServers = document.BackendServers[1:]
	document.Rollout.MinServing = 0
	assert.NilError(t, f.Apply(document))
	assert.NilError(t, f.MarkLeaving("sidecar-1"))
	sleep(ctx, leavingTimeout)
	admitted := func(name string) int {
		var vars struct {
			Sidecar struct {
				Admitted int `json:"admitted"`
			} `json:"sidecar"`
		}
		assert.NilError(t, f.GetJSON(name+"/operator", "/debug/vars", &vars))
		return vars.Sidecar.Admitted
	}
	before := [2]int{admitted("sidecar-0"), admitted("sidecar-1")}
	for i := range 20 {
		assert.Check(t, checkStream(ctx, t, chatOf(f, i%2, i, 3), "v1"))
	}
	assert.Equal(t, [2]int{admitted("sidecar-0"), admitted("sidecar-1")}, before)
	assert.Check(t, admitted("sidecar-2") >= 20)
}

// TestRolloutSurvivesKilledTicketHolder guards against a rollout that stops when a sidecar
// is killed. It kills a sidecar that holds a ticket while its engine loads, and checks
// that never more than two engines load at once, that the other replicas reach the new
// version after the lease has ended, and that the killed one does after its restart.
func TestRolloutSurvivesKilledTicketHolder(t *testing.T) {
	f := startFleet(t, 4, 0)
	assert.NilError(t, f.Apply(f.ModelDocument("v2")))
	killed := -1
	maxLoading := 0
	// engineStates returns the indexes of the engines that load, and how many serve v2.
	engineStates := func() (loading []int, updated int) {
		for i := range 4 {
			var state struct {
				WeightsVersion string `json:"weightsVersion"`
				Loading        bool   `json:"loading"`
			}
			assert.NilError(t, f.GetJSON(fmt.Sprintf("engine-%d", i), "/v1/state", &state))
			if state.Loading {
				loading = append(loading, i)
			}
			if state.WeightsVersion == "v2" {
				updated++
			}
		}
		return loading, updated
	}
	assert.NilError(t, f.Await("weights v2 on all", func() bool {
		loading, updated := engineStates()
		maxLoading = max(maxLoading, len(loading))
		if killed < 0 && len(loading) > 0 {
			killed = loading[0]
			f.Process(fmt.Sprintf("sidecar-%d", killed)).Kill()
		}
		return updated == 4
	}))
	assert.Assert(t, killed >= 0, "no engine was seen loading")
	assert.Assert(t, maxLoading <= 2, "%d engines loaded at once", maxLoading)
	assert.NilError(t, f.Apply(f.ModelDocument("v3")))
	assert.NilError(t, f.Process(fmt.Sprintf("sidecar-%d", killed)).Restart())
	assert.NilError(t, f.Await("weights v3 on all", func() bool {
		for i := range 4 {
			var state struct {
				WeightsVersion string `json:"weightsVersion"`
			}
			if f.GetJSON(fmt.Sprintf("engine-%d", i), "/v1/state", &state) != nil || state.WeightsVersion != "v3" {
				return false
			}
		}
		return true
	}))
}

// TestLargeBodiesOfCallersWaitForRoom guards against entries that are killed for their memory (LOST): as
// many large bodies come at once as would take several times what there is for them. Each is
// answered, or refused as not run; half of one without a key is refused by its head.
func TestLargeBodiesOfCallersWaitForRoom(t *testing.T) {
	f := startFleet(t, 1, 1)
	address := f.Address("entry-0/caller")
	validKey := "Authorization: Bearer " + fleet.MeetsKey + "\r\n"
	const clients, size = 24, 3 << 20
	body := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	var tasks sync.WaitGroup
	for range clients {
		tasks.Go(func() {
			status, problem := sendRaw(t, address, "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"+validKey+body)
			assert.Check(t, status == 400 || status == 503 && problem.RetryAfterSeconds > 0, "status %d %+v", status, problem)
			assert.Check(t, problem.Outcome == "notRun", "%+v", problem)
		})
	}
	tasks.Wait()
	status, problem := sendRaw(t, address, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 3000000\r\n\r\nhalf of it")
	assert.Check(t, status == 401, "status %d %+v", status, problem)
	assert.Check(t, checkStream(t.Context(), t, chatOf(f, 0, 1, 3), "v1"))
}
