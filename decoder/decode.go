package decoder

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/joomcode/errorx"
)

// Limits of a document.
const (
	// MaxDocumentBytes is the largest document accepted.
	MaxDocumentBytes = 900 << 10
	// MaxClaimRanges is the largest number of claim logs per service.
	MaxClaimRanges = 256
	// minReuseWeight and maxReuseWeight bound model.reuseWeight.
	minReuseWeight = 1
	maxReuseWeight = 20
	// MaxDeadline is the largest deadline that a document may allow.
	MaxDeadline = time.Hour
)

// Values used where a document is silent.
const (
	defaultShare       = 1
	defaultPrefillRate = 8000
	defaultReuseWeight = 6
	defaultMaxTokens   = 4096
	defaultQueueLimit  = 64
	defaultEngineSlots = 16
	defaultGrace       = 10 * time.Minute
	defaultClaimKeep   = 24 * time.Hour
	defaultClaimRanges = 8
	defaultMaxLoading  = 2
)

var faults = errorx.NewNamespace("decoder")

// ErrInvalid is matched by every error that Decode returns.
var ErrInvalid = faults.NewType("invalid").New("invalid service document")

var nameForm = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Fault is one thing wrong with a document.
type Fault struct {
	// Path leads to the field, as in "workspaces[2].share".
	Path string `json:"path"`
	// Reason says what is wrong and what would be accepted.
	Reason string `json:"reason"`
}

// FaultList is every fault of one document.
type FaultList []Fault

// Error implements error.
func (f FaultList) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Path + ": " + fault.Reason
	}
	return strings.Join(lines, "\n")
}

// Is reports that a fault list is an invalid document.
func (f FaultList) Is(target error) bool { return target == error(ErrInvalid) }

// Decode reads one document, fills in the defaults and checks it. The error is a
// FaultList.
func Decode(text []byte) (*Document, error) {
	if len(text) > MaxDocumentBytes {
		return nil, FaultList{{Path: "$", Reason: fmt.Sprintf("document has %d bytes; at most %d are accepted", len(text), MaxDocumentBytes)}}
	}
	var document Document
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	if err := decoder.Decode(&document); err != nil {
		return nil, FaultList{{Path: "$", Reason: strings.TrimSpace(err.Error())}}
	}
	document.fillDefaults()
	var c checker
	c.document(&document)
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	return &document, nil
}

// AsFaults returns the faults behind an error from Decode.
func AsFaults(err error) FaultList {
	var list FaultList
	if errors.As(err, &list) {
		return list
	}
	return nil
}

func (d *Document) fillDefaults() {
	for i := range d.Workspaces {
		setDefault(&d.Workspaces[i].Share, defaultShare)
	}
	setDefault(&d.Drain.Grace.Duration, defaultGrace)
	switch d.Kind {
	case ModelPool:
		d.fillModelDefaults()
	case PlainService:
		if d.Claims == nil {
			d.Claims = &Claims{}
		}
		setDefault(&d.Claims.Keep.Duration, defaultClaimKeep)
		setDefault(&d.Claims.Ranges, defaultClaimRanges)
	}
}

func (d *Document) fillModelDefaults() {
	if d.Model != nil {
		setDefault(&d.Model.PrefillTokensPerSecond, defaultPrefillRate)
		setDefault(&d.Model.ReuseWeight, defaultReuseWeight)
		setDefault(&d.Model.MaxTokens, defaultMaxTokens)
		setDefault(&d.Model.QueueLimit, defaultQueueLimit)
		setDefault(&d.Model.EngineSlots, defaultEngineSlots)
	}
	if d.Rollout == nil {
		d.Rollout = &Rollout{}
	}
	setDefault(&d.Rollout.MaxLoading, defaultMaxLoading)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// checker collects the faults of one document.
type checker struct {
	faults FaultList
}

func (c *checker) add(path, format string, args ...any) {
	c.faults = append(c.faults, Fault{Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) name(path, value string) {
	if !nameForm.MatchString(value) {
		c.add(path, "%q is not a name; use a lower-case letter, then up to 62 lower-case letters, digits or hyphens", value)
	}
}

func (c *checker) between(path string, value, low, high int) {
	if value < low || value > high {
		c.add(path, "%d is out of range; %d to %d are accepted", value, low, high)
	}
}

func (c *checker) document(d *Document) {
	c.name("service", d.Service)
	switch d.Kind {
	case ModelPool:
		c.modelPool(d)
	case PlainService:
		c.plainService(d)
	default:
		c.add("kind", "%q is not a kind; %q or %q are accepted", d.Kind, ModelPool, PlainService)
	}
	c.backendServers(d.BackendServers)
	c.workspaces(d.Workspaces)
	c.deadline(d.Deadline)
	if d.Drain.Grace.Duration < 0 {
		c.add("drain.grace", "%s is negative; a duration such as \"30s\" is accepted", d.Drain.Grace)
	}
}

func (c *checker) modelPool(d *Document) {
	if d.Model == nil {
		c.add("model", "missing; a model pool names its model")
	} else {
		c.model(d.Model)
	}
	if len(d.Repeatable) > 0 {
		c.add("repeatable", "not used by a model pool; remove it")
	}
	if d.Claims != nil {
		c.add("claims", "not used by a model pool; remove it")
	}
	c.between("rollout.maxLoading", d.Rollout.MaxLoading, 1, 2)
	c.between("rollout.minServing", d.Rollout.MinServing, 0, max(0, len(d.BackendServers)-1))
}

func (c *checker) model(m *Model) {
	if m.Name == "" {
		c.add("model.name", "missing; the name that callers use")
	}
	if m.WeightsVersion == "" {
		c.add("model.weightsVersion", "missing; the version that every replica must serve")
	}
	c.between("model.prefillTokensPerSecond", m.PrefillTokensPerSecond, 1, 10_000_000)
	if !(m.ReuseWeight >= minReuseWeight && m.ReuseWeight <= maxReuseWeight) {
		c.add("model.reuseWeight", "%v is out of range; %v to %v are accepted", m.ReuseWeight, minReuseWeight, maxReuseWeight)
	}
	c.between("model.maxTokens", m.MaxTokens, 1, 1_000_000)
	c.between("model.queueLimit", m.QueueLimit, 1, 100_000)
	c.between("model.engineSlots", m.EngineSlots, 1, 100_000)
}

func (c *checker) plainService(d *Document) {
	if d.Model != nil {
		c.add("model", "not used by a plain service; remove it")
	}
	if d.Rollout != nil {
		c.add("rollout", "not used by a plain service; remove it")
	}
	for i, rule := range d.Repeatable {
		path := fmt.Sprintf("repeatable[%d]", i)
		if !strings.HasPrefix(rule.PathPrefix, "/") {
			c.add(path+".pathPrefix", "%q does not start with \"/\"", rule.PathPrefix)
		}
		if len(rule.Methods) == 0 {
			c.add(path+".methods", "empty; name at least one method")
		}
		for _, method := range rule.Methods {
			if method == "" || method != strings.ToUpper(method) {
				c.add(path+".methods", "%q is not a method; use upper case, as in \"GET\"", method)
			}
		}
	}
	c.between("claims.ranges", d.Claims.Ranges, 1, MaxClaimRanges)
	if d.Claims.Keep.Duration < time.Minute {
		c.add("claims.keep", "%s is too short; at least 1m is accepted", d.Claims.Keep)
	}
}

func (c *checker) backendServers(servers []BackendServer) {
	if len(servers) == 0 {
		c.add("backendServers", "empty; name at least one backend server")
	}
	names := make(map[string]bool, len(servers))
	sidecars := make(map[string]bool, len(servers))
	for i, server := range servers {
		path := fmt.Sprintf("backendServers[%d]", i)
		c.name(path+".name", server.Name)
		c.unique(path+".name", server.Name, names)
		if _, err := netip.ParseAddrPort(server.Sidecar); err != nil {
			c.add(path+".sidecar", "%q is not an IP address with a port, as in \"10.0.0.7:7443\"", server.Sidecar)
		}
		c.unique(path+".sidecar", server.Sidecar, sidecars)
		c.name(path+".availabilityZone", server.AvailabilityZone)
		c.name(path+".region", server.Region)
	}
}

func (c *checker) unique(path, value string, seen map[string]bool) {
	if seen[value] {
		c.add(path, "%q stands twice; each must differ", value)
	}
	seen[value] = true
}

func (c *checker) workspaces(workspaces []Workspace) {
	if len(workspaces) == 0 {
		c.add("workspaces", "empty; name at least one workspace")
	}
	names := make(map[string]bool, len(workspaces))
	hashes := make(map[string]bool, len(workspaces))
	for i, workspace := range workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		c.name(path+".name", workspace.Name)
		c.unique(path+".name", workspace.Name, names)
		c.between(path+".share", workspace.Share, 1, 1000)
		c.between(path+".maxInFlight", workspace.MaxInFlight, 0, 1_000_000)
		c.between(path+".priority", workspace.Priority, -100, 100)
		if len(workspace.KeyHashes) == 0 {
			c.add(path+".keyHashes", "empty; name the SHA-256 of at least one key")
		}
		for j, hash := range workspace.KeyHashes {
			at := fmt.Sprintf("%s.keyHashes[%d]", path, j)
			if raw, err := hex.DecodeString(hash); err != nil || len(raw) != 32 || strings.ToLower(hash) != hash {
				c.add(at, "not a SHA-256 in lower-case hexadecimal (64 digits)")
			}
			c.unique(at, hash, hashes)
		}
	}
}

func (c *checker) deadline(d Deadline) {
	if d.Default.Duration <= 0 {
		c.add("deadline.default", "missing; a duration such as \"30s\" is accepted")
	}
	if d.Max.Duration < d.Default.Duration {
		c.add("deadline.max", "%s is below deadline.default, %s", d.Max, d.Default)
	}
	if d.Max.Duration > MaxDeadline {
		c.add("deadline.max", "%s is too long; at most %s is accepted", d.Max, MaxDeadline)
	}
}

func (r Repeatable) matches(method, path string) bool {
	return slices.Contains(r.Methods, method) && strings.HasPrefix(path, r.PathPrefix)
}
