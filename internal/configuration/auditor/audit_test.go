package auditor

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"gotest.tools/v3/assert"
)

// sound returns a configuration without findings.
func sound() Input {
	return Input{
		Routes: []*router.Route{
			{Name: "tag", Host: "a.example", Prefix: "/tag/", Kind: router.Streaming, Timeout: 3 * time.Second, LatencyTarget: 400 * time.Millisecond, EventGapTarget: time.Second, MaxAttempts: 2, Resumable: true, Shares: []router.Share{{Service: "models", Weight: 1}}},
			{Name: "book", Host: "a.example", Prefix: "/", Kind: router.AtMostOnce, Timeout: time.Second, MaxAttempts: 1, Shares: []router.Share{{Service: "app", Weight: 1}}},
		},
		Services:   []*router.Service{{Name: "models", Engine: &router.Engine{Slots: 8}}, {Name: "app"}, {Name: "kept", CacheStore: &router.CacheStore{}}},
		Workspaces: []Workspace{{Name: "w", Keys: 1, Rate: 100, Burst: 50, PlainCost: 10}},
		KeysNeeded: true,
	}
}

// TestSoundConfigurationHasNoFindings guards against a check that operators learn to ignore.
func TestSoundConfigurationHasNoFindings(t *testing.T) {
	assert.DeepEqual(t, Audit(sound()), []Finding(nil))
}

// TestEachFaultIsFound makes one fault at a time.
func TestEachFaultIsFound(t *testing.T) {
	for want, change := range map[string]func(*Input){
		`error: routes["tag"]: the name stands twice`:             func(in *Input) { in.Routes[1].Name = "tag" },
		`never matches: route "tag" has the same host and prefix`: func(in *Input) { in.Routes[1].Host, in.Routes[1].Prefix = "A.example", "/tag/" },
		`does not begin and end with a slash`:                     func(in *Input) { in.Routes[0].Prefix = "/tag" },
		`never matches: there is no host`:                         func(in *Input) { in.Routes[0].Host = "" },
		`its service "gone" is not there`: func(in *Input) {
			in.Routes[1].Shares = append(in.Routes[1].Shares, router.Share{Service: "gone", Weight: 1})
		},
		`is a cache store`:                                               func(in *Input) { in.Routes[1].Shares[0].Service = "kept" },
		`the weight of service "app" is NaN`:                             func(in *Input) { in.Routes[1].Shares[0].Weight = math.NaN() },
		`no service gets its requests`:                                   func(in *Input) { in.Routes[1].Shares[0].Weight = 0 },
		`leaves no time for an answer`:                                   func(in *Input) { in.Routes[0].Timeout = 0 },
		`4s is beyond the timeout, 3s`:                                   func(in *Input) { in.Routes[0].LatencyTarget = 4 * time.Second },
		`leaves no time for a second attempt`:                            func(in *Input) { in.Routes[0].LatencyTarget = in.Routes[0].Timeout },
		`routes["book"].eventGapTarget: has no effect`:                   func(in *Input) { in.Routes[1].EventGapTarget = time.Millisecond },
		`1m0s is beyond the timeout`:                                     func(in *Input) { in.Routes[0].EventGapTarget = time.Minute },
		`a time of -1s`:                                                  func(in *Input) { in.Routes[0].EventGapTarget = -time.Second },
		`2 attempts, but its requests may run once`:                      func(in *Input) { in.Routes[1].MaxAttempts = 2 },
		`routes["book"].resumable: has no effect`:                        func(in *Input) { in.Routes[1].Resumable = true },
		`only the caller can resume its streams`:                         func(in *Input) { in.Routes[0].MaxAttempts = 1 },
		`12 counts as 9`:                                                 func(in *Input) { in.Routes[0].Priority = 12 },
		`warning: services["spare"]: no route names it`:                  func(in *Input) { in.Services = append(in.Services, &router.Service{Name: "spare"}) },
		`services["app"]: the name stands twice`:                         func(in *Input) { in.Services = append(in.Services, &router.Service{Name: "app"}) },
		`-1 slots`:                                                       func(in *Input) { in.Services[0].Engine.Slots = -1 },
		`never matches: it needs a key`:                                  func(in *Input) { in.Workspaces[0].Keys = 0 },
		`nobody is this workspace`:                                       func(in *Input) { in.Workspaces[0].Keys = 0 },
		`workspaces["w"]: the name stands twice`:                         func(in *Input) { in.Workspaces = append(in.Workspaces, in.Workspaces[0]) },
		`rate -1, burst 50, cost 10: none may be negative`:               func(in *Input) { in.Workspaces[0].Rate = -1 },
		`a burst of 50 without a rate is no limit`:                       func(in *Input) { in.Workspaces[0].Rate = 0 },
		`a request of unknown size takes 200, more than a second's rate`: func(in *Input) { in.Workspaces[0].PlainCost = 200 },
	} {
		in := sound()
		change(&in)
		var text bytes.Buffer
		assert.NilError(t, Report{Findings: Audit(in)}.Write(&text, false))
		assert.Check(t, strings.Contains(text.String(), want), "%s\nis not in\n%s", want, text.String())
	}
}

// yamlChecker reads files that name only workspaces.
var yamlChecker = Checker{
	Decode: func(text []byte) (Input, []Finding) {
		if bytes.Contains(text, []byte("bad")) {
			return Input{}, []Finding{{Severity: Error, Path: "$", Reason: "bad: not a field"}}
		}
		in := sound()
		in.Workspaces[0].Keys = bytes.Count(text, []byte("key"))
		in.Routes = nil
		in.Services = nil
		return in, nil
	},
	Differ: Differ{Names: []string{"name"}, Secrets: []string{"keys"}},
}

// TestCheckShowsWhatDiffers compares entries by their names, whatever their order, and shows no secret.
func TestCheckShowsWhatDiffers(t *testing.T) {
	report, err := yamlChecker.Check(
		[]byte("version: 3\nworkspaces: [{name: b, keys: [key-2]}, {name: a, rate: 5, keys: [key-3, key-1]}]\n"),
		[]byte("version: 2\nworkspaces: [{name: a, rate: 4, keys: [key-1]}, {name: c, rate: 1}, {name: b, keys: [key-2]}]\n"))
	assert.NilError(t, err)
	var text bytes.Buffer
	assert.NilError(t, report.Write(&text, false))
	got := text.String()
	assert.Check(t, !strings.Contains(got, "key-"), got)
	for _, want := range []string{"changed: version: 2 -> 3\n", `changed: workspaces["a"].rate: 4 -> 5`, `removed: workspaces["c"].rate: 1`, `added: workspaces["a"].keys[#`} {
		assert.Check(t, strings.Contains(got, want), "%s\nis not in\n%s", want, got)
	}
	// The name and the rate of the workspace that is gone count one change each.
	assert.Equal(t, len(report.Changes), 5)
	assert.Equal(t, report.ExitCode(), ExitClean)
}

// TestExitCodes checks the exit code and the JSON of each outcome.
func TestExitCodes(t *testing.T) {
	for _, tc := range []struct {
		text string
		code int
	}{{"key", ExitClean}, {"no workspace has one", ExitWarnings}, {"bad", ExitErrors}} {
		report, err := yamlChecker.Check([]byte(tc.text), nil)
		assert.NilError(t, err)
		assert.Equal(t, report.ExitCode(), tc.code)
		var text bytes.Buffer
		assert.NilError(t, report.Write(&text, true))
		assert.Check(t, strings.HasPrefix(text.String(), `{"findings":[`) && strings.Contains(text.String(), `"changes":[],"compared":false`), text.String())
	}
	_, err := yamlChecker.Check([]byte("key"), []byte("a: [1"))
	assert.ErrorContains(t, err, "version in force")
	code, err := yamlChecker.CheckFiles(t.TempDir()+"/none", "", false, &bytes.Buffer{})
	assert.Check(t, code == ExitUnreadable && err != nil)
}
