package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// RouteKind tells what may be repeated.
type RouteKind int

// The kinds of routes.
const (
	// Repeatable requests may run more than once.
	Repeatable RouteKind = iota
	// AtMostOnce requests run at most once.
	AtMostOnce
	// Streaming requests are answered by events. They run at most once unless the
	// route is resumable.
	Streaming
)

// Route is one rule of the configuration.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Timeout bounds the whole request.
	Timeout time.Duration
	// LatencyTarget is the time to the first event, or to the answer, for full worth.
	LatencyTarget time.Duration
	// EventGapTarget is the longest time between two events for full worth.
	EventGapTarget time.Duration
	// MaxAttempts is the number of backend servers that may run one request.
	MaxAttempts int
	// Priority is the rank of the requests, 0 first.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another backend server.
	Resumable bool
	// SameWeights streams go on only on the weights that they began on.
	SameWeights bool
	// RenewAttempts streams may be repeated like new requests each time they have grown.
	RenewAttempts bool
	// MaxRejections is the number of replicas that may reject one request, 0 for the
	// usual.
	MaxRejections int
	// Shares are the services that the requests go to.
	Shares []Share
}

// Share is a part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Engine describes the model replicas of a service.
type Engine struct {
	// Slots is how many requests a replica runs at once.
	Slots int
	// MemoryTokens is the memory of a replica, in tokens.
	MemoryTokens int
	// TokenBytes is the size of one token in a replica's memory.
	TokenBytes float64
	// LinkBitsPerSecond is the speed of a replica's transfers.
	LinkBitsPerSecond float64
	// NoTransfers is set if replicas cannot fetch cached parts from each other.
	NoTransfers bool
	// PrefillTokensPerSecond goes before the router's option if it is set.
	PrefillTokensPerSecond float64
	// ReuseWeight is how many seconds of waiting a second of reading again weighs, for
	// routes without a target.
	ReuseWeight float64
}

// CacheStore keeps parts of prompts that replicas have read, for other replicas to
// fetch.
type CacheStore struct {
	// Address is the store's IP address and port.
	Address      string
	Zone, Region string
	// LinkBitsPerSecond is the speed of the store's transfers.
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

// Workspace owns keys.
type Workspace struct {
	Name string
	// Priority goes before that of the route if it is set.
	Priority *int
	// Dedicated workspaces share no cached prompts with others.
	Dedicated bool
}

// Limits bound what callers may send.
type Limits struct {
	// MaxBodyBytes is the size of the largest body, in bytes.
	MaxBodyBytes int
}

// Catalog is one configuration in the form in which requests use it. It is
// immutable.
type Catalog struct {
	// Version is the configuration's number.
	Version uint64
	Limits  Limits
	// byHost holds the routes of a host, the longest prefix first.
	byHost map[string][]*Route
	// services holds all services by name.
	services map[string]*Service
	// cacheStores are the cache stores among the services.
	cacheStores []*CacheStore
	// byKey maps bearer keys to their owners. It is nil if no key is needed.
	byKey map[string]*Workspace
}

// NewCatalog returns a catalog. A nil map of keys means that callers need none.
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

// Route returns the route with the longest prefix of the path, or nil.
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

// Workspace returns the owner of a key.
func (c *Catalog) Workspace(key string) (*Workspace, bool) {
	workspace, found := c.byKey[key]
	return workspace, found
}

// NeedsKey reports whether requests on the route must have a key.
func (c *Catalog) NeedsKey(route *Route) bool { return c.byKey != nil && !route.Public }

// Service returns a service by name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// CacheStores returns the cache stores, which must not be changed.
func (c *Catalog) CacheStores() []*CacheStore { return c.cacheStores }

// pick returns the service that a request goes to.
func (r *Route) pick() string {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	at := rand.Float64() * total
	for _, share := range r.Shares {
		if at -= share.Weight; at < 0 {
			return share.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[0].Service
}

// repeatable reports whether a request that may have run may run again.
func (r *Route) repeatable() bool {
	return r.Kind == Repeatable || (r.Kind == Streaming && r.Resumable)
}
