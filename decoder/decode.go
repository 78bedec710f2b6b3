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

// Defaults of fields that a document leaves out or sets to zero.
const (
	defaultShare                  = 1
	defaultPrefillTokensPerSecond = 8000
	defaultReuseWeight            = 6
	defaultMaxTokens              = 4096
	defaultQueueLimit             = 64
	defaultEngineSlots            = 16
	defaultGracePeriod            = 10 * time.Minute
	defaultClaimRetention         = 24 * time.Hour
	defaultClaimRanges            = 8
	defaultMaxLoading             = 2
)

var faults = errorx.NewNamespace("decoder")

// ErrInvalid is matched by every error that Decode returns.
var ErrInvalid = faults.NewType("invalid").New("invalid service document")

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Fault is one error in a document.
type Fault struct {
	// Path leads to the field, as in "workspaces[2].share".
	Path string `json:"path"`
	// Reason says what is wrong and what would be accepted.
	Reason string `json:"reason"`
}

// FaultList holds all faults of one document.
type FaultList []Fault

// Error implements error.
func (f FaultList) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Path + ": " + fault.Reason
	}
	return strings.Join(lines, "\n")
}

// Is makes a fault list match ErrInvalid in errors.Is.
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
	c.checkDocument(&document)
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	return &document, nil
}

// AsFaults returns the faults in an error from Decode.
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
	setDefault(&d.Drain.Grace.Duration, defaultGracePeriod)
	switch d.Kind {
	case ModelPool:
		d.fillModelDefaults()
	case PlainService:
		if d.Claims == nil {
			d.Claims = &Claims{}
		}
		setDefault(&d.Claims.Keep.Duration, defaultClaimRetention)
		setDefault(&d.Claims.Ranges, defaultClaimRanges)
	}
}

func (d *Document) fillModelDefaults() {
	if d.Model != nil {
		setDefault(&d.Model.PrefillTokensPerSecond, defaultPrefillTokensPerSecond)
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

func (c *checker) addFault(path, format string, args ...any) {
	c.faults = append(c.faults, Fault{Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) checkName(path, value string) {
	if !namePattern.MatchString(value) {
		c.addFault(path, "%q is not a name; use a lower-case letter, then up to 62 lower-case letters, digits or hyphens", value)
	}
}

func (c *checker) checkRange(path string, value, low, high int) {
	if value < low || value > high {
		c.addFault(path, "%d is out of range; %d to %d are accepted", value, low, high)
	}
}

func (c *checker) checkDocument(d *Document) {
	c.checkName("service", d.Service)
	switch d.Kind {
	case ModelPool:
		c.checkModelPool(d)
	case PlainService:
		c.checkPlainService(d)
	default:
		c.addFault("kind", "%q is not a kind; %q or %q are accepted", d.Kind, ModelPool, PlainService)
	}
	c.checkBackendServers(d.BackendServers)
	c.checkWorkspaces(d.Workspaces)
	c.checkDeadline(d.Deadline)
	if d.Drain.Grace.Duration < 0 {
		c.addFault("drain.grace", "%s is negative; a duration such as \"30s\" is accepted", d.Drain.Grace)
	}
}

func (c *checker) checkModelPool(d *Document) {
	if d.Model == nil {
		c.addFault("model", "missing; a model pool names its model")
	} else {
		c.checkModel(d.Model)
	}
	if len(d.Repeatable) > 0 {
		c.addFault("repeatable", "not used by a model pool; remove it")
	}
	if d.Claims != nil {
		c.addFault("claims", "not used by a model pool; remove it")
	}
	c.checkRange("rollout.maxLoading", d.Rollout.MaxLoading, 1, 2)
	c.checkRange("rollout.minServing", d.Rollout.MinServing, 0, max(0, len(d.BackendServers)-1))
}

func (c *checker) checkModel(m *Model) {
	if m.Name == "" {
		c.addFault("model.name", "missing; the name that callers use")
	}
	if m.WeightsVersion == "" {
		c.addFault("model.weightsVersion", "missing; the version that every replica must serve")
	}
	c.checkRange("model.prefillTokensPerSecond", m.PrefillTokensPerSecond, 1, 10_000_000)
	if !(m.ReuseWeight >= minReuseWeight && m.ReuseWeight <= maxReuseWeight) {
		c.addFault("model.reuseWeight", "%v is out of range; %v to %v are accepted", m.ReuseWeight, minReuseWeight, maxReuseWeight)
	}
	c.checkRange("model.maxTokens", m.MaxTokens, 1, 1_000_000)
	c.checkRange("model.queueLimit", m.QueueLimit, 1, 100_000)
	c.checkRange("model.engineSlots", m.EngineSlots, 1, 100_000)
}

func (c *checker) checkPlainService(d *Document) {
	if d.Model != nil {
		c.addFault("model", "not used by a plain service; remove it")
	}
	if d.Rollout != nil {
		c.addFault("rollout", "not used by a plain service; remove it")
	}
	for i, rule := range d.Repeatable {
		path := fmt.Sprintf("repeatable[%d]", i)
		if !strings.HasPrefix(rule.PathPrefix, "/") {
			c.addFault(path+".pathPrefix", "%q does not start with \"/\"", rule.PathPrefix)
		}
		if len(rule.Methods) == 0 {
			c.addFault(path+".methods", "empty; name at least one method")
		}
		for _, method := range rule.Methods {
			if method == "" || method != strings.ToUpper(method) {
				c.addFault(path+".methods", "%q is not a method; use upper case, as in \"GET\"", method)
			}
		}
	}
	c.checkRange("claims.ranges", d.Claims.Ranges, 1, MaxClaimRanges)
	if d.Claims.Keep.Duration < time.Minute {
		c.addFault("claims.keep", "%s is too short; at least 1m is accepted", d.Claims.Keep)
	}
}

func (c *checker) checkBackendServers(servers []BackendServer) {
	if len(servers) == 0 {
		c.addFault("backendServers", "empty; name at least one backend server")
	}
	seenNames := make(map[string]bool, len(servers))
	seenSidecars := make(map[string]bool, len(servers))
	for i, server := range servers {
		path := fmt.Sprintf("backendServers[%d]", i)
		c.checkName(path+".name", server.Name)
		c.checkUnique(path+".name", server.Name, seenNames)
		if _, err := netip.ParseAddrPort(server.Sidecar); err != nil {
			c.addFault(path+".sidecar", "%q is not an IP address with a port, as in \"10.0.0.7:7443\"", server.Sidecar)
		}
		c.checkUnique(path+".sidecar", server.Sidecar, seenSidecars)
		c.checkName(path+".availabilityZone", server.AvailabilityZone)
		c.checkName(path+".region", server.Region)
	}
}

// checkUnique adds a fault if value was seen before, and records it.
func (c *checker) checkUnique(path, value string, seen map[string]bool) {
	if seen[value] {
		c.addFault(path, "%q stands twice; each must differ", value)
	}
	seen[value] = true
}

func (c *checker) checkWorkspaces(workspaces []Workspace) {
	if len(workspaces) == 0 {
		c.addFault("workspaces", "empty; name at least one workspace")
	}
	seenNames := make(map[string]bool, len(workspaces))
	seenHashes := make(map[string]bool, len(workspaces))
	for i, workspace := range workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		c.checkName(path+".name", workspace.Name)
		c.checkUnique(path+".name", workspace.Name, seenNames)
		c.checkRange(path+".share", workspace.Share, 1, 1000)
		c.checkRange(path+".maxInFlight", workspace.MaxInFlight, 0, 1_000_000)
		c.checkRange(path+".priority", workspace.Priority, -100, 100)
		if len(workspace.KeyHashes) == 0 {
			c.addFault(path+".keyHashes", "empty; name the SHA-256 of at least one key")
		}
		for j, hash := range workspace.KeyHashes {
			hashPath := fmt.Sprintf("%s.keyHashes[%d]", path, j)
			if digest, err := hex.DecodeString(hash); err != nil || len(digest) != 32 || strings.ToLower(hash) != hash {
				c.addFault(hashPath, "not a SHA-256 in lower-case hexadecimal (64 digits)")
			}
			c.checkUnique(hashPath, hash, seenHashes)
		}
	}
}

func (c *checker) checkDeadline(d Deadline) {
	if d.Default.Duration <= 0 {
		c.addFault("deadline.default", "missing; a duration such as \"30s\" is accepted")
	}
	if d.Max.Duration < d.Default.Duration {
		c.addFault("deadline.max", "%s is below deadline.default, %s", d.Max, d.Default)
	}
	if d.Max.Duration > MaxDeadline {
		c.addFault("deadline.max", "%s is too long; at most %s is accepted", d.Max, MaxDeadline)
	}
}

// matches reports whether the rule covers a call.
func (r Repeatable) matches(method, path string) bool {
	return slices.Contains(r.Methods, method) && strings.HasPrefix(path, r.PathPrefix)
}
