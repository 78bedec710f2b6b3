package launcher

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cyclamenward/cyclamenward/internal/standin/checker"
)

// Zone is the zone of deployments with a single one.
const Zone = "pampa-norte"

// regions holds the region of each zone.
var regions = map[string]string{Zone: "pampa", "pampa-sur": "pampa", "cuyo-sur": "cuyo"}

// Zones returns the names of all zones.
func Zones() []string { return slices.Sorted(maps.Keys(regions)) }

// MemoryMB is the memory of a process.
const MemoryMB = 134

// portCount is the number of ports for connections between daemons.
const portCount = 4

// Machine describes the machine of a daemon.
type Machine struct {
	// Role is the role of the daemon, edge or side.
	Role, Name, IP string
	Zone           string
	// Port is the first one for connections between daemons. It is the same on all machines.
	Port int
	// StoreAddress is the address of the store as this machine reaches it.
	StoreAddress string
	// App is the address of the model replica of a side, Service its service.
	App, Service string
	// Invariants names the parts of the platform's rules that are in force beyond those of all deployments.
	Invariants []string
}

// settingsText returns the settings file of a machine. JSON is YAML.
func settingsText(m Machine, front, ready string, bounds checker.Bounds) ([]byte, error) {
	fields := map[string]any{
		"node-name": m.Name, "role": m.Role, "machine-class": m.Role, "ip": m.IP, "zone": m.Zone, "region": regions[m.Zone],
		"zones":           regions,
		"listen":          map[string]string{"front": front, "ready": ready},
		"ephemeral-ports": []int{m.Port, m.Port + portCount - 1},
		"bootstrap":       true,
		"invariants":      m.Invariants,
		"limits":          map[string]any{"memory-mb": MemoryMB, "max-fds": 4100, "link-mbps": 1000, "cpu-share": 0.304, "cpu-cores": 1},
		"heartbeat-ms":    1200,
		"bounds": map[string]any{
			"grace-s": bounds.Grace.Seconds(), "stable-ms": bounds.Stable.Milliseconds(), "loss-slack-ms": bounds.LossSlack.Milliseconds(), "drain-ms": bounds.Drain.Milliseconds(),
			"config-deadline-ms": bounds.ConfigDeadline.Milliseconds(), "rollback-slack-ms": bounds.RollbackSlack.Milliseconds(),
			"retry-budget-ratio": bounds.BudgetRatio, "budget-extra": bounds.BudgetExtra, "budget-window-s": bounds.BudgetWindow.Seconds(),
			"quota-over": bounds.QuotaOver, "quota-slack": bounds.QuotaSlack, "quota-window-s": bounds.QuotaWindow.Seconds(),
			"lease-ms": bounds.Lease.Milliseconds(), "version-ms": bounds.Version.Milliseconds(), "require-fence": false,
		},
		"platform": map[string]any{"address": m.StoreAddress, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1 << 20, "ttl-min-ms": 1000},
	}
	if m.App != "" {
		fields["app"], fields["service"] = m.App, m.Service
	}
	text, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("encode settings of %s: %w", m.Name, err)
	}
	return text, nil
}
