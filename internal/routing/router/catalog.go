package router

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/quota/enforcer"
	"github.com/zeebo/xxh3"
)

// RouteKind tells how often the requests of a route may run.
type RouteKind int

// The kinds of routes.
const (
	// Repeatable requests may run more than once.
	Repeatable RouteKind = iota
	// AtMostOnce requests run at most once.
	AtMostOnce
	// Streaming requests are answered by a stream of events. They run at most once
	// unless the route is resumable.
	Streaming
)

// Route is a routing rule of the configuration. It applies to the requests to Host whose
// path begins with Prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Timeout bounds the time from a request's arrival to the end of its answer.
	Timeout time.Duration
	// LatencyTarget is the longest time to the first event, or to the whole answer, at
	// which the answer has its full value; 0 for none.
	LatencyTarget time.Duration
	// EventGapTarget is the longest time between two events at which a stream has its
	// full value.
	EventGapTarget time.Duration
	// MaxAttempts is how many backend servers may run one request, MaxReplicas how many it may be
	// sent to, those that reject it included, 0 for any number.
	MaxAttempts, MaxReplicas int
	// Priority is the rank of the requests, 0 first.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may continue at another backend server.
	Resumable bool
	// SameWeights streams continue only on the weights version that they began on.
	SameWeights bool
	// RenewAttempts streams get MaxAttempts further attempts whenever they must be
	// resumed and have grown since they last got some.
	RenewAttempts bool
	// MaxRejections is how many rejections of one request are followed by another
	// attempt, 0 for the default.
	MaxRejections int
	// Shares are the services that the requests are distributed to.
	Shares []Share
}

// Share is the part of a route's requests that goes to one service, in proportion to
// its weight.
type Share struct {
	Service string
	Weight  float64
}

// Engine describes the model replicas of a service.
type Engine struct {
	// Slots is how many requests a replica runs at once, 0 if unknown.
	Slots int
	// MemoryTokens is the size of a replica's memory, in tokens, 0 if unknown.
	MemoryTokens int
	// TokenBytes is the size of one cached token in a replica's memory.
	TokenBytes float64
	// LinkBitsPerSecond is the bandwidth for a replica's transfers.
	LinkBitsPerSecond float64
	// Models are the names of the models that replicas serve, empty if they are not known.
	Models []string
	// NoTransfers is set if replicas cannot fetch cached parts from each other.
	NoTransfers bool
	// PrefillTokensPerSecond overrides the router's option of this name if it is set.
	PrefillTokensPerSecond float64
	// ReuseWeight is how many seconds of waiting one second of repeated prefill counts
	// as, on routes without a latency target.
	ReuseWeight float64
}

// CacheStore keeps parts of prompts that replicas have prefilled, for other replicas to
// fetch.
type CacheStore struct {
	// Address is the store's IP address and port.
	Address      string
	Zone, Region string
	// LinkBitsPerSecond is the bandwidth for the store's transfers.
	LinkBitsPerSecond float64
}

// Service is a group of backend servers, or a cache store.
type Service struct {
	Name string
	// Engine is nil for services without model replicas.
	Engine *Engine
	// CacheStore is nil for services that take requests.
	CacheStore *CacheStore
}

// Workspace is a customer, the owner of bearer keys.
type Workspace struct {
	Name string
	// Priority overrides that of the route if it is set.
	Priority *int
	// Dedicated workspaces share no cached prompts with others.
	Dedicated bool
	// Quota bounds what all daemons together send for the workspace.
	Quota enforcer.Quota
}

// Limits bound what callers may send.
type Limits struct {
	// MaxBodyBytes is the size of the largest request body.
	MaxBodyBytes int
}

// Catalog is one version of the configuration, indexed for routing. It is immutable.
type Catalog struct {
	// Version identifies the configuration.
	Version uint64
	Limits  Limits
	// byHost holds the routes of each host, those with the longest prefix first.
	byHost map[string][]*Route
	// services holds all services by name.
	services map[string]*Service
	// cacheStores are the cache stores among the services.
	cacheStores []*CacheStore
	// byKey maps bearer keys to their workspaces. It is nil if callers need no key.
	byKey map[string]*Workspace
	// dedicated identifies the set of dedicated workspaces, "" if there are none.
	dedicated string
}

// NewCatalog returns a catalog. If keys is nil, callers need no key.
func NewCatalog(version uint64, limits Limits, routes []*Route, services []*Service, keys map[string]*Workspace) *Catalog {
	c := &Catalog{Version: version, Limits: limits, byHost: make(map[string][]*Route), services: make(map[string]*Service), byKey: keys}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		c.byHost[host] = append(c.byHost[host], route)
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, service := range services {
		c.services[service.Name] = service
		if service.CacheStore != nil {
			c.cacheStores = append(c.cacheStores, service.CacheStore)
		}
	}
	return c
}

// WithDedicated returns the catalog for the given dedicated workspaces, which include those that
// have no key.
func (c *Catalog) WithDedicated(names []string) *Catalog {
	changed := *c
	changed.dedicated = ""
	if len(names) > 0 {
		sorted := slices.Sorted(slices.Values(names))
		changed.dedicated = fmt.Sprintf("%016x", xxh3.HashString(strings.Join(sorted, "\x00")))
	}
	return &changed
}

// Route returns the route of a host with the longest prefix of the path, or nil. A port
// in the host and a query in the path are ignored.
func (c *Catalog) Route(host, path string) *Route {
	host = strings.ToLower(host)
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	path, _, _ = strings.Cut(path, "?")
	for _, route := range c.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Workspace returns the owner of a bearer key, and false for an unknown key.
func (c *Catalog) Workspace(key string) (*Workspace, bool) {
	workspace, found := c.byKey[key]
	return workspace, found
}

// NeedsKey reports whether requests on the route must have a bearer key.
func (c *Catalog) NeedsKey(route *Route) bool { return c.byKey != nil && !route.Public }

// Quotas returns the quotas of the workspaces that have one, by name.
func (c *Catalog) Quotas() map[string]enforcer.Quota {
	quotas := make(map[string]enforcer.Quota)
	for _, workspace := range c.byKey {
		if workspace.Quota.Limited() {
			quotas[workspace.Name] = workspace.Quota
		}
	}
	return quotas
}

// Service returns a service by name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Describes reports whether a listed replica is one that the configuration knows: its service is configured, and
// it has a version of one of the service's models. A nil catalog stands for no configuration yet, which rules out none.
func (c *Catalog) Describes(d Descriptor) bool {
	if c == nil {
		return true
	}
	service := c.services[d.Service]
	if service == nil {
		return false
	}
	return service.Engine == nil || len(service.Engine.Models) == 0 ||
		slices.ContainsFunc(service.Engine.Models, func(model string) bool { return d.WeightsVersions[model] > 0 })
}

// CacheStores returns the cache stores, which must not be changed.
func (c *Catalog) CacheStores() []*CacheStore { return c.cacheStores }

// pickService chooses a service for a request at random, by the weights of the shares.
func (r *Route) pickService() string {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	point := rand.Float64() * total
	for _, share := range r.Shares {
		if point -= share.Weight; point < 0 {
			return share.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[0].Service
}

// repeatable reports whether a request that may have run may be sent again.
func (r *Route) repeatable() bool {
	return r.Kind == Repeatable || (r.Kind == Streaming && r.Resumable)
}

// PriorityFor returns the rank of the requests of a workspace, which may be nil.
func (r *Route) PriorityFor(workspace *Workspace) int {
	if workspace != nil && workspace.Priority != nil {
		return *workspace.Priority
	}
	return r.Priority
}
