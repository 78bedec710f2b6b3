package soaker

import (
	"fmt"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/checker"
)

// Names in the configuration.
const (
	host                        = "desk.example"
	plainService, modelService  = "desk", "llm"
	modelName                   = "model-a"
	dedicatedWorkspace          = "club-c"
	plainTimeout, streamTimeout = 3 * time.Second, 15 * time.Second
	plainAttempts               = 3
	streamAttempts              = 2
	// plainTokens is what a plain request takes of a quota, promptTokens and outputTokens what a stream has.
	plainTokens, promptTokens, outputTokens = 20, 600, 80
	// onceAttempts is for streams that may not be resumed, as in the users' deployments.
	onceAttempts = 1
	// versionsKept is for how many versions the configuration keeps the route that a version adds.
	versionsKept = 2
)

// routeBounds are the bounds of routes that differ by deployment.
type routeBounds struct {
	plainTimeout, chatTimeout  time.Duration
	lookAttempts, bookAttempts int
}

// smallRoutes are the bounds of small deployments, standardRoutes those of the users' sheets.
var (
	smallRoutes    = routeBounds{plainTimeout, streamTimeout, plainAttempts, plainAttempts}
	standardRoutes = routeBounds{1500 * time.Millisecond, 3 * time.Second, 2, 1}
)

// keys holds the key of each workspace.
var keys = map[string]string{"club-a": "key-a", "club-b": "key-b", dedicatedWorkspace: "key-c"}

// configure writes the next version of the configuration, with a route that is new in it.
func (d *deployment) configure() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configuration++
	version := checker.Version{Number: d.configuration, SentAt: time.Now(), Quotas: d.options.Quotas}
	if err := d.store.Put("op/config", d.configurationOf(d.configuration)); err != nil {
		return err
	}
	version.AckAt = time.Now()
	d.history.Configure(version)
	return nil
}

// configurationOf returns a version of the configuration. The caller holds mu.
func (d *deployment) configurationOf(version int) map[string]any {
	quotas, bounds := d.options.Quotas, d.options.Routes
	plain := func(name, kind string, attempts int) map[string]any {
		return map[string]any{"name": name, "host": host, "prefix": "/" + name + "/", "service": plainService, "route-kind": kind, "timeout-ms": bounds.plainTimeout.Milliseconds(), "target-latency-ms": 200, "priority": 2, "max-attempts": attempts, "public": false}
	}
	stream := func(name string, resumable bool, attempts int, timeout time.Duration) map[string]any {
		return map[string]any{"name": name, "host": host, "prefix": "/" + name + "/", "service": modelService, "route-kind": "streaming", "timeout-ms": timeout.Milliseconds(), "target-latency-ms": 600, "priority": 0, "max-attempts": attempts, "public": false, "session-affinity": true, "resumable": resumable, "gap-aim-ms": 400}
	}
	routes := []any{plain("look", "idempotent", bounds.lookAttempts), plain("book", "non_idempotent", bounds.bookAttempts), stream("chat", true, streamAttempts, bounds.chatTimeout), stream("once", false, onceAttempts, streamTimeout)}
	for i := range d.unusedRoutes {
		routes = append(routes, plain(fmt.Sprintf("unused%d", i), "idempotent", bounds.lookAttempts))
	}
	for v := max(1, version-versionsKept+1); v <= version; v++ {
		routes = append(routes, plain(fmt.Sprintf("v%d", v), "idempotent", bounds.lookAttempts))
	}
	workspaces := []any{}
	for name, key := range keys {
		workspace := map[string]any{"name": name, "api-keys": []string{key}, "dedicated": name == dedicatedWorkspace}
		if quota, limited := quotas[name]; limited {
			workspace["rate-per-s"], workspace["burst"], workspace["unit"], workspace["plain-tokens"] = quota.Rate, quota.Burst, "token_stream", plainTokens
		}
		workspaces = append(workspaces, workspace)
	}
	return map[string]any{
		"version": version, "routes": routes, "tenants": workspaces,
		"services": []any{
			map[string]any{"name": plainService, "health-path": "/health", "slots": 64},
			map[string]any{"name": modelService, "health-path": "/health", "max-conns": 620, "engine": map[string]any{"slots": d.options.Slots, "kv-capacity-tokens": 80000, "kv-token-bytes": 131072, "link-mbps": 260000, "max-inflight": 12, "models": []any{map[string]any{"name": modelName}}}},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4 << 20, "header-timeout-ms": 5000, "idle-timeout-ms": 15000},
	}
}

// newestConfiguration returns the number of the newest version.
func (d *deployment) newestConfiguration() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.configuration
}

// wantWeights names the next version of the weights.
func (d *deployment) wantWeights() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.weights++
	version := checker.Version{Number: d.weights, SentAt: time.Now()}
	if err := d.store.Put("op/version/"+modelName, map[string]any{"model": modelName, "version": d.weights}); err != nil {
		return err
	}
	version.AckAt = time.Now()
	d.history.WantWeights(version)
	return nil
}
