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

// start runs a deployment whose programs make test has built.
func start(t *testing.T, engines, apps int) *fleet.Fleet {
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

// after returns once d has elapsed or the test ends.
func after(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// drainedLimit is how long a daemon may go on after its last request has ended.
const drainedLimit = 5 * time.Second

// leavingLimit is the time after which a leaving backend server gets no new work:
// the longest time between two readings of the list of hosts, and one more second.
const leavingLimit = 6 * time.Second

// tries is what one key's callers were told.
type tries struct {
	answers  []string
	outcomes []string
	// unheard counts requests without any answer.
	unheard int
}

// TestBookingsRunAtMostOnce repeats every key through both entries while
// sidecars, an entry and the store fail, and compares what callers were told
// with the booking app's own record.
func TestBookingsRunAtMostOnce(t *testing.T) {
	f := start(t, 0, 3)
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	const keys = 60
	told := make([]tries, keys)
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
				told[key].note(answer, err)
				mu.Unlock()
				after(ctx, 50*time.Millisecond)
			}
		}()
	}
	disturbances := []func(){
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
	for _, disturb := range disturbances {
		after(ctx, 250*time.Millisecond)
		disturb()
	}
	group.Wait()
	checkBookings(t, f, told)
}

func (n *tries) note(answer *driver.Answer, err error) {
	var problem *driver.Problem
	switch {
	case err == nil:
		n.answers = append(n.answers, string(answer.Body))
	case errors.As(err, &problem):
		n.outcomes = append(n.outcomes, problem.Outcome)
	default:
		n.unheard++
	}
}

// checkBookings compares the callers' view with the record.
func checkBookings(t *testing.T, f *fleet.Fleet, told []tries) {
	t.Helper()
	var record []bookingapp.Run
	assert.NilError(t, f.GetJSON("app", bookingapp.PathRecord, &record))
	runs := map[string][]int{}
	for _, run := range record {
		runs[run.Item] = append(runs[run.Item], run.Number)
	}
	answered, notRun, unknown := 0, 0, 0
	for key, n := range told {
		item := fmt.Sprintf("item-%d", key)
		assert.Check(t, len(runs[item]) <= 1, "%s ran %v", item, runs[item])
		for _, answer := range n.answers {
			answered++
			assert.Check(t, strings.Contains(answer, fmt.Sprintf("%q", item)), "%s was answered %s", item, answer)
			if assert.Check(t, len(runs[item]) == 1, "%s was answered but not run", item) {
				assert.Check(t, strings.Contains(answer, fmt.Sprintf("\"booking\":%d,", runs[item][0])), "%s was answered %s", item, answer)
			}
		}
		for _, outcome := range n.outcomes {
			if outcome == "notRun" {
				notRun++
			} else {
				unknown++
			}
		}
		allNotRun := n.unheard == 0 && len(n.answers) == 0 && !slices.ContainsFunc(n.outcomes, func(o string) bool { return o != "notRun" })
		assert.Check(t, !allNotRun || len(runs[item]) == 0, "%s was told notRun only, but ran", item)
	}
	t.Logf("%d runs, %d answers, %d told notRun, %d told unknown or answered", len(record), answered, notRun, unknown)
	assert.Check(t, answered > 100)
}

// stream sends one chat, again if it is refused with a time to return, and checks that what arrives is a prefix of the right
// answer, and that it is whole unless the caller was told otherwise.
func stream(ctx context.Context, t *testing.T, chat *driver.Chat, versions ...string) (whole bool) {
	t.Helper()
	got, err := driver.New(fleet.MeetsKey, false).Stream(ctx, chat)
	var refusal *driver.Problem
	for tries := 0; tries < 5 && errors.As(err, &refusal) && refusal.Outcome == "notRun" && refusal.RetryAfterSeconds > 0; tries++ {
		t.Logf("stream was refused, again after %d s: %v", refusal.RetryAfterSeconds, err)
		after(ctx, time.Duration(refusal.RetryAfterSeconds)*time.Second)
		got, err = driver.New(fleet.MeetsKey, false).Stream(ctx, chat)
	}
	if err != nil {
		t.Logf("stream was refused: %v", err)
		return false
	}
	right := slices.ContainsFunc(versions, func(version string) bool {
		expected := chat.ExpectedTokens(version, 0)
		return len(got.Tokens) <= len(expected) && slices.Equal(got.Tokens, expected[:len(got.Tokens)]) && (!got.Complete || len(got.Tokens) == len(expected))
	})
	assert.Check(t, right, "%d tokens, whole %t, are not of one version", len(got.Tokens), got.Complete)
	if !got.Complete {
		t.Logf("stream is not whole after %d tokens: %v", len(got.Tokens), got.Problem)
	}
	return got.Complete
}

func chatOf(f *fleet.Fleet, entry, number, tokens int) *driver.Chat {
	shared := strings.Repeat("meet rules and heat sheets; ", 400*(1+number%3))
	return &driver.Chat{
		Address: f.Address(fmt.Sprintf("entry-%d/caller", entry)), Model: fleet.ModelName,
		Content: shared + fmt.Sprintf("question %d", number), MaxTokens: tokens,
	}
}

// streamsUnder keeps streams running while the disturbances are brought about in
// turn, and returns how many there were and how many were whole.
func streamsUnder(t *testing.T, f *fleet.Fleet, disturbances []func() error) (wholes, total int) {
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
				whole := stream(ctx, t, chatOf(f, worker%2, worker*5+i, 60), "v1", "v2", "v3")
				mu.Lock()
				total++
				if whole {
					wholes++
				}
				mu.Unlock()
			}
		}()
	}
	for _, disturb := range disturbances {
		after(ctx, 700*time.Millisecond)
		assert.Check(t, disturb())
	}
	group.Wait()
	t.Logf("%d of %d streams whole", wholes, total)
	return wholes, total
}

func crashes(f *fleet.Fleet) []func() error {
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

// TestStreamsAreWholeOverFailures keeps streams running while engines crash and
// lose events, a sidecar is frozen and another killed. Every stream must be whole.
func TestStreamsAreWholeOverFailures(t *testing.T) {
	f := start(t, 4, 0)
	wholes, total := streamsUnder(t, f, crashes(f))
	assert.Equal(t, wholes, total)
}

// TestStreamsAreWholeOverRollouts changes the weights twice, the second time
// before the first has ended. Every stream must be whole on one version, and all
// replicas must reach the last one.
func TestStreamsAreWholeOverRollouts(t *testing.T) {
	f := start(t, 4, 0)
	wholes, total := streamsUnder(t, f, []func() error{
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
	assert.Equal(t, wholes, total)
}

// TestStreamsEndTrulyWhenWeightsAreGone rolls new weights out amid crashes. A
// stream whose version is served nowhere any more cannot be completed; it must
// end with an error and never as whole, which stream checks.
func TestStreamsEndTrulyWhenWeightsAreGone(t *testing.T) {
	f := start(t, 4, 0)
	disturbances := append([]func() error{func() error { return f.Apply(f.ModelDocument("v2")) }}, crashes(f)...)
	wholes, _ := streamsUnder(t, f, disturbances)
	assert.Check(t, wholes > 0)
}

// TestStreamIsResumedThroughAnotherEntry kills the entry in mid-stream and goes
// on from the last event id through the other one.
func TestStreamIsResumedThroughAnotherEntry(t *testing.T) {
	f := start(t, 2, 0)
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
	again := chatOf(f, 1, 1, 60)
	again.LastEventID = first.LastEventID
	second, err := driver.New(fleet.MeetsKey, false).Stream(ctx, again)
	assert.NilError(t, err)
	assert.Assert(t, second.Complete)
	assert.DeepEqual(t, append(first.Tokens, second.Tokens...), chat.ExpectedTokens("v1", 0))

	// Another workspace cannot read the attempt.
	stolen, err := driver.New(fleet.RentalsKey, false).Stream(ctx, again)
	if err == nil {
		assert.DeepEqual(t, stolen.Tokens, chat.ExpectedTokens("v1", len(first.Tokens)))
	}
}

// TestRestartedEntriesServeWithoutTheStore kills the platform and all entries at
// once; the entries find the configuration at the sidecars and serve.
func TestRestartedEntriesServeWithoutTheStore(t *testing.T) {
	f := start(t, 2, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	f.Process("platform").Kill()
	for _, name := range []string{"entry-0", "entry-1"} {
		f.Process(name).Kill()
	}
	began := time.Now()
	for _, name := range []string{"entry-0", "entry-1"} {
		assert.NilError(t, f.Process(name).Restart())
	}
	for i, name := range []string{"entry-0", "entry-1"} {
		assert.NilError(t, f.AwaitReady(name))
		t.Logf("%s is ready %s after the restart", name, time.Since(began).Round(time.Millisecond))
		assert.Check(t, stream(ctx, t, chatOf(f, i, i, 5), "v1"))
	}
	assert.Check(t, time.Since(began) < 4*time.Second, "took %s", time.Since(began))
}

// TestDrainCutsOffNothing asks an entry and a sidecar to end while streams are
// running through them.
func TestDrainCutsOffNothing(t *testing.T) {
	f := start(t, 2, 0)
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
			assert.Check(t, stream(ctx, t, chat, "v1"))
		}()
	}
	for range 16 {
		select {
		case <-running:
		case <-time.After(20 * time.Second):
			t.Fatal("streams did not begin")
		}
	}
	for _, name := range []string{"sidecar-0", "entry-0"} {
		assert.NilError(t, f.Process(name).Signal(syscall.SIGTERM))
	}
	// New requests go elsewhere while the old ones end.
	assert.Check(t, stream(ctx, t, chatOf(f, 1, 99, 5), "v1"))
	group.Wait()
	ended := time.After(drainedLimit)
	for _, name := range []string{"sidecar-0", "entry-0"} {
		select {
		case <-f.Process(name).Exited():
		case <-ended:
			t.Errorf("%s has not ended %s after its last stream", name, drainedLimit)
		}
	}
}

// TestSilentSidecarIsNoticed freezes the sidecar that serves a stream and checks
// that the stream goes on elsewhere within the bound: 2 s of silence on a link, two
// tries of 0.6 s to reach the sidecar again, a prefill of 1.1 s, and half a second.
func TestSilentSidecarIsNoticed(t *testing.T) {
	f := start(t, 2, 0)
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
	longest := slices.Max(got.TokenGaps)
	t.Logf("longest gap %s", longest.Round(time.Millisecond))
	assert.Check(t, longest < 4800*time.Millisecond, "gap of %s", longest)
}

// TestBadInputGetsAClearError sends what no caller should and checks that each
// gets a problem document that says truly that nothing ran.
func TestBadInputGetsAClearError(t *testing.T) {
	f := start(t, 1, 1)
	address := f.Address("entry-0/caller")
	good := "Authorization: Bearer " + fleet.MeetsKey + "\r\n"
	body := func(text string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text) }
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"no key":            {"POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + body("{}"), 401},
		"unknown key":       {"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer no\r\n" + body("{}"), 401},
		"two keys":          {"POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + good + good + body("{}"), 401},
		"no JSON":           {"POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + good + body("{"), 400},
		"bad UTF-8":         {"POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + good + body("{\"prompt\":\"\xff\"}"), 400},
		"unknown model":     {"POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + good + body(`{"model":"no","prompt":"p"}`), 404},
		"too many tokens":   {"POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + good + body(`{"model":"meet-assistant","prompt":"p","max_tokens":1000000}`), 400},
		"bad timeout":       {"POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Request-Timeout: soon\r\n" + good + body(`{"model":"meet-assistant","prompt":"p"}`), 400},
		"foreign event id":  {"POST /v1/completions HTTP/1.1\r\nHost: x\r\nLast-Event-ID: x.1\r\n" + good + body(`{"model":"meet-assistant","prompt":"p"}`), 400},
		"two idempotencies": {"POST /services/booking/bookings HTTP/1.1\r\nHost: x\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n" + good + body("{}"), 400},
		"unknown service":   {"POST /services/none/x HTTP/1.1\r\nHost: x\r\n" + good + body("{}"), 404},
		"unknown path":      {"GET /nowhere HTTP/1.1\r\nHost: x\r\n" + good + "\r\n", 404},
		"oversize":          {"POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + good + "Content-Length: 99000000\r\n\r\n", 413},
		"no HTTP":           {"\x16\x03\x01\x02\x00\r\n\r\n", 400},
	} {
		status, problem := raw(t, address, c.request)
		assert.Check(t, status == c.status, "%s: status %d %+v", name, status, problem)
		assert.Check(t, problem.Outcome == "notRun" && problem.Code != "" && problem.Status == c.status, "%s: %+v", name, problem)
	}
	// The entry goes on serving, and a truncated request harms nobody.
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	_, _ = connection.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + good + "Content-Length: 50\r\n\r\n{"))
	_ = connection.Close()
	assert.Check(t, stream(t.Context(), t, chatOf(f, 0, 1, 3), "v1"))
	var record []bookingapp.Run
	assert.NilError(t, f.GetJSON("app", bookingapp.PathRecord, &record))
	assert.Equal(t, len(record), 0)
}

// raw sends bytes and returns the status and the problem document.
func raw(t *testing.T, address, request string) (int, driver.Problem) {
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

// TestLeavingServerGetsNoNewWork takes a backend server out of the document and
// marks another as leaving in the platform's list, and checks that neither gets
// new work a few seconds later, while both entries go on serving.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	f := start(t, 3, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
	defer cancel()
	document := f.ModelDocument("v1")
	document.BackendServers = document.BackendServers[1:]
	document.Rollout.MinServing = 0
	assert.NilError(t, f.Apply(document))
	assert.NilError(t, f.MarkLeaving("sidecar-1"))
	after(ctx, leavingLimit)
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
		assert.Check(t, stream(ctx, t, chatOf(f, i%2, i, 3), "v1"))
	}
	assert.Equal(t, [2]int{admitted("sidecar-0"), admitted("sidecar-1")}, before)
	assert.Check(t, admitted("sidecar-2") >= 20)
}

// TestRolloutSurvivesADyingHolder kills a sidecar while it holds a ticket and its
// engine loads, and checks that never more than two engines load at once, that the
// others reach the new version once the lease has ended, and that the killed one
// does after its restart.
func TestRolloutSurvivesADyingHolder(t *testing.T) {
	f := start(t, 4, 0)
	assert.NilError(t, f.Apply(f.ModelDocument("v2")))
	killed := -1
	most := 0
	// look returns the engines that load, and those that serve v2.
	look := func() (loading []int, done int) {
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
				done++
			}
		}
		return loading, done
	}
	assert.NilError(t, f.Await("weights v2 on all", func() bool {
		loading, done := look()
		most = max(most, len(loading))
		if killed < 0 && len(loading) > 0 {
			killed = loading[0]
			f.Process(fmt.Sprintf("sidecar-%d", killed)).Kill()
		}
		return done == 4
	}))
	assert.Assert(t, killed >= 0, "no load was seen")
	assert.Assert(t, most <= 2, "%d engines loaded at once", most)
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
