// Package decoder reads and checks service documents.
//
// A service document is the only thing that an operator edits. It is YAML or
// JSON with camelCase names, decoded strictly: an unknown field, a wrong unit or
// a contradiction is refused with the path of the field and what would be
// accepted. All faults of a document are reported at once. A decoded Document is
// never changed; a new revision replaces it whole.
package decoder

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Kind tells what a service routes to.
type Kind string

// The kinds of service.
const (
	// ModelPool is a pool of model engines.
	ModelPool Kind = "modelPool"
	// PlainService is a pool of ordinary HTTP servers.
	PlainService Kind = "plainService"
)

// Document is the complete description of one service.
//
// The YAML library's errors contain the Go names of types and fields, and Decode returns
// these errors to operators.
type Document struct {
	// Service is the name of the service; it never changes.
	Service string `yaml:"service" json:"service"`
	// Kind selects which of the remaining sections apply.
	Kind Kind `yaml:"kind" json:"kind"`
	// BackendServers lists the backend servers of the pool.
	BackendServers []BackendServer `yaml:"backendServers" json:"backendServers"`
	// Model is the model that the pool serves; model pools only.
	Model *Model `yaml:"model,omitempty" json:"model,omitempty"`
	// Workspaces lists who may use the service.
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces"`
	// Deadline bounds how long a request may take.
	Deadline Deadline `yaml:"deadline" json:"deadline"`
	// Repeatable lists the calls that may be sent more than once; plain services only.
	Repeatable []Repeatable `yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
	// Claims sets how idempotency keys are remembered; plain services only.
	Claims *Claims `yaml:"claims,omitempty" json:"claims,omitempty"`
	// ChecksFencing tells whether the backend servers refuse load orders with an
	// outdated fencing token. If not, only the sidecar sends orders.
	ChecksFencing bool `yaml:"checksFencing,omitempty" json:"checksFencing,omitempty"`
	// Drain sets how a backend server that leaves is drained.
	Drain Drain `yaml:"drain,omitempty" json:"drain,omitempty"`
	// Rollout sets how replicas change to other weights; model pools only.
	Rollout *Rollout `yaml:"rollout,omitempty" json:"rollout,omitempty"`
}

// BackendServer is one member of a pool.
type BackendServer struct {
	// Name is unique within the service.
	Name string `yaml:"name" json:"name"`
	// Sidecar is the IP address and UDP port of the sidecar beside it.
	Sidecar string `yaml:"sidecar" json:"sidecar"`
	// AvailabilityZone is the zone of its host.
	AvailabilityZone string `yaml:"availabilityZone" json:"availabilityZone"`
	// Region is the region of its host.
	Region string `yaml:"region" json:"region"`
}

// Model describes the model of a pool and the limits of its replicas.
type Model struct {
	// Name is the model name that callers use.
	Name string `yaml:"name" json:"name"`
	// WeightsVersion is the version that every replica must serve.
	WeightsVersion string `yaml:"weightsVersion" json:"weightsVersion"`
	// Adapters lists the adapters that callers may name.
	Adapters []string `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	// PrefillTokensPerSecond is the prefill speed of a replica.
	PrefillTokensPerSecond int `yaml:"prefillTokensPerSecond,omitempty" json:"prefillTokensPerSecond,omitempty"`
	// ReuseWeight is how much a second of prefill counts against a second of
	// waiting. Higher values reuse cached prefixes more and spread load less.
	ReuseWeight float64 `yaml:"reuseWeight,omitempty" json:"reuseWeight,omitempty"`
	// MaxTokens is the largest number of tokens that one request may generate.
	MaxTokens int `yaml:"maxTokens,omitempty" json:"maxTokens,omitempty"`
	// QueueLimit is the largest number of requests that one replica may hold.
	QueueLimit int `yaml:"queueLimit,omitempty" json:"queueLimit,omitempty"`
	// EngineSlots is the largest number of requests that a sidecar has in its engine
	// at once; the others wait in the sidecar, ordered by share and priority.
	EngineSlots int `yaml:"engineSlots,omitempty" json:"engineSlots,omitempty"`
}

// Workspace is one customer of the service.
type Workspace struct {
	// Name is unique within the service.
	Name string `yaml:"name" json:"name"`
	// KeyHashes holds the SHA-256 of each bearer key, in hexadecimal. Keys
	// themselves are never stored.
	KeyHashes []string `yaml:"keyHashes" json:"keyHashes"`
	// Share is the weight of the workspace when the pool is overloaded.
	Share int `yaml:"share,omitempty" json:"share,omitempty"`
	// MaxInFlight bounds the workspace's concurrent requests per entry; 0 for no bound.
	MaxInFlight int `yaml:"maxInFlight,omitempty" json:"maxInFlight,omitempty"`
	// Priority orders requests in an engine's queue; higher goes first.
	Priority int `yaml:"priority,omitempty" json:"priority,omitempty"`
}

// Deadline holds the default and the largest time that a request may take.
type Deadline struct {
	// Default applies when the caller names none.
	Default Duration `yaml:"default" json:"default"`
	// Max is the largest that a caller may name.
	Max Duration `yaml:"max" json:"max"`
}

// Repeatable describes calls that may be sent again without harm.
type Repeatable struct {
	// Methods lists HTTP methods in upper case.
	Methods []string `yaml:"methods" json:"methods"`
	// PathPrefix is the start of the path below the service.
	PathPrefix string `yaml:"pathPrefix" json:"pathPrefix"`
}

// Claims sets how long and in how many logs idempotency keys are remembered.
type Claims struct {
	// Keep is how long an idempotency key is remembered.
	Keep Duration `yaml:"keep" json:"keep"`
	// Ranges is the number of claim logs that keys are spread over.
	Ranges int `yaml:"ranges" json:"ranges"`
}

// Drain sets how a backend server that leaves is drained.
type Drain struct {
	// Grace is the grace period: how long requests in flight may continue after the
	// drain began.
	Grace Duration `yaml:"grace,omitempty" json:"grace,omitempty"`
}

// Rollout sets how the replicas of a pool change to other weights.
type Rollout struct {
	// MaxLoading is how many replicas may load weights at once.
	MaxLoading int `yaml:"maxLoading" json:"maxLoading"`
	// MinServing is how many replicas must stay able to serve.
	MinServing int `yaml:"minServing" json:"minServing"`
}

// Duration is a time.Duration written as text such as "30s".
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	d.Duration = parsed
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// HashKey returns the SHA-256 of a bearer key in hexadecimal, as a document stores it.
func HashKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// MayRepeat reports whether a call may be sent more than once. For model pools every
// call may.
func (d *Document) MayRepeat(method, path string) bool {
	if d.Kind == ModelPool {
		return true
	}
	for _, rule := range d.Repeatable {
		if rule.matches(method, path) {
			return true
		}
	}
	return false
}
