// Package auditor checks a configuration before it is sent: entries that can never match, limits that
// contradict each other, and what differs from the configuration in force.
//
// It knows no file format. Whoever decodes one lists its routes, services and workspaces here.
package auditor

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/router"
)

// Severity tells what becomes of a configuration with a finding.
type Severity string

// The severities.
const (
	// Error means that the configuration is refused, or that an entry of it cannot do what it says.
	Error Severity = "error"
	// Warning means that an entry has no effect, or hardly the intended one.
	Warning Severity = "warning"
)

// Finding is one thing that is wrong with a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Path leads to the entry, as in `routes["booking"].timeout`.
	Path string `json:"path"`
	// Reason says what is wrong.
	Reason string `json:"reason"`
}

// Workspace is a workspace as an operator writes it.
type Workspace struct {
	Name string
	// Keys is the number of bearer keys.
	Keys int
	// Rate is its quota in units a second, 0 for none, Burst what it may use at once beyond that, and PlainCost
	// what a request of unknown size takes.
	Rate, Burst, PlainCost float64
}

// Input is a decoded configuration. Entries are in the order of the file.
type Input struct {
	Routes     []*router.Route
	Services   []*router.Service
	Workspaces []Workspace
	// KeysNeeded is set if callers of routes that are not public need a key.
	KeysNeeded bool
}

// audit collects the findings of one configuration.
type audit struct{ findings []Finding }

func (a *audit) add(severity Severity, path, format string, args ...any) {
	a.findings = append(a.findings, Finding{Severity: severity, Path: path, Reason: fmt.Sprintf(format, args...)})
}

// Audit returns the findings of a configuration, errors first.
func Audit(in Input) []Finding {
	var a audit
	a.routes(in)
	a.services(in)
	a.workspaces(in)
	slices.SortStableFunc(a.findings, func(x, y Finding) int { return cmp.Compare(x.Severity, y.Severity) })
	return a.findings
}

func (a *audit) routes(in Input) {
	services := make(map[string]*router.Service, len(in.Services))
	for _, service := range in.Services {
		services[service.Name] = service
	}
	names, prefixes := make(map[string]bool), make(map[string]string)
	for _, route := range in.Routes {
		path := fmt.Sprintf("routes[%q]", route.Name)
		if names[route.Name] {
			a.add(Error, path, "the name stands twice")
		}
		names[route.Name] = true
		place := strings.ToLower(route.Host) + route.Prefix
		if other, taken := prefixes[place]; taken {
			a.add(Error, path, "never matches: route %q has the same host and prefix and comes first", other)
		} else {
			prefixes[place] = route.Name
		}
		if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
			a.add(Error, path+".prefix", "%q does not begin and end with a slash", route.Prefix)
		}
		if route.Host == "" {
			a.add(Error, path+".host", "never matches: there is no host")
		}
		a.shares(path, route, services)
		a.times(path, route)
		a.attempts(path, route)
		if in.KeysNeeded && !route.Public && !slices.ContainsFunc(in.Workspaces, func(w Workspace) bool { return w.Keys > 0 }) {
			a.add(Error, path, "never matches: it needs a key, and no workspace has one")
		}
	}
}

// shares checks where a route sends its requests.
func (a *audit) shares(path string, route *router.Route, services map[string]*router.Service) {
	total := 0.0
	for _, share := range route.Shares {
		service := services[share.Service]
		switch {
		case service == nil:
			a.add(Error, path, "its service %q is not there", share.Service)
		case service.CacheStore != nil:
			a.add(Error, path, "its service %q is a cache store, which takes no requests", share.Service)
		case !(share.Weight >= 0):
			a.add(Error, path, "the weight of service %q is %v", share.Service, share.Weight)
		case share.Weight == 0:
			a.add(Warning, path, "service %q gets no requests: its weight is 0", share.Service)
		}
		total += max(0, share.Weight)
	}
	if total == 0 {
		a.add(Error, path, "no service gets its requests")
	}
}

// times checks the times of a route against each other.
func (a *audit) times(path string, route *router.Route) {
	switch {
	case route.Timeout <= 0:
		a.add(Error, path+".timeout", "%v leaves no time for an answer", route.Timeout)
	case route.LatencyTarget > route.Timeout:
		a.add(Error, path+".latencyTarget", "%v is beyond the timeout, %v", route.LatencyTarget, route.Timeout)
	case route.LatencyTarget == route.Timeout && route.MaxAttempts > 1:
		a.add(Warning, path+".latencyTarget", "%v leaves no time for a second attempt before the timeout", route.LatencyTarget)
	}
	if route.EventGapTarget > 0 && route.Kind != router.Streaming {
		a.add(Warning, path+".eventGapTarget", "has no effect: its answers are no streams")
	}
	if route.EventGapTarget > route.Timeout && route.Timeout > 0 {
		a.add(Error, path+".eventGapTarget", "%v is beyond the timeout, %v", route.EventGapTarget, route.Timeout)
	}
	for _, t := range []time.Duration{route.LatencyTarget, route.EventGapTarget} {
		if t < 0 {
			a.add(Error, path, "a time of %v", t)
		}
	}
}

// attempts checks the attempts of a route against its kind.
func (a *audit) attempts(path string, route *router.Route) {
	once := route.Kind == router.AtMostOnce || route.Kind == router.Streaming && !route.Resumable
	if once && route.MaxAttempts > 1 {
		a.add(Warning, path+".maxAttempts", "%d attempts, but its requests may run once: further ones are only for those that were rejected", route.MaxAttempts)
	}
	if route.Resumable && route.Kind != router.Streaming {
		a.add(Warning, path+".resumable", "has no effect: its answers are no streams")
	}
	if route.Resumable && route.Kind == router.Streaming && route.MaxAttempts == 1 {
		a.add(Warning, path+".maxAttempts", "only the caller can resume its streams: one attempt is allowed")
	}
	if route.Priority < 0 || route.Priority >= router.PriorityLevels {
		a.add(Warning, path+".priority", "%d counts as %d", route.Priority, min(max(0, route.Priority), router.PriorityLevels-1))
	}
}

func (a *audit) services(in Input) {
	used, names := make(map[string]bool), make(map[string]bool)
	for _, route := range in.Routes {
		for _, share := range route.Shares {
			used[share.Service] = used[share.Service] || share.Weight > 0
		}
	}
	for _, service := range in.Services {
		path := fmt.Sprintf("services[%q]", service.Name)
		if names[service.Name] {
			a.add(Error, path, "the name stands twice")
		}
		names[service.Name] = true
		if service.CacheStore == nil && !used[service.Name] {
			a.add(Warning, path, "no route names it")
		}
		if service.Engine != nil && service.Engine.Slots < 0 || service.Engine != nil && service.Engine.MemoryTokens < 0 {
			a.add(Error, path, "%d slots and memory for %d tokens", service.Engine.Slots, service.Engine.MemoryTokens)
		}
	}
}

func (a *audit) workspaces(in Input) {
	names := make(map[string]bool)
	for _, workspace := range in.Workspaces {
		path := fmt.Sprintf("workspaces[%q]", workspace.Name)
		if names[workspace.Name] {
			a.add(Error, path, "the name stands twice")
		}
		names[workspace.Name] = true
		if workspace.Keys == 0 {
			a.add(Warning, path, "nobody is this workspace: it has no key")
		}
		switch {
		case !(workspace.Rate >= 0) || !(workspace.Burst >= 0) || !(workspace.PlainCost >= 0):
			a.add(Error, path+".quota", "rate %v, burst %v, cost %v: none may be negative", workspace.Rate, workspace.Burst, workspace.PlainCost)
		case workspace.Rate == 0 && workspace.Burst > 0:
			a.add(Error, path+".quota", "a burst of %v without a rate is no limit", workspace.Burst)
		case workspace.Rate > 0 && workspace.PlainCost > workspace.Rate+workspace.Burst:
			a.add(Error, path+".quota", "a request of unknown size takes %v, more than a second's rate and the burst, %v", workspace.PlainCost, workspace.Rate+workspace.Burst)
		}
	}
}
