package prober

import (
	"fmt"
	"io"
)

// DesignSize is what the system is designed for.
type DesignSize struct {
	Entries, Replicas, Workspaces, Models, Regions, Zones int
	RequestsPerSecond                                     float64
	CachedBlocks, CacheEventsPerSecond                    float64
	DocumentChangesPerDay, DaemonRestartsPerDay           float64
}

// SizeInTwoYears is the size in two years.
var SizeInTwoYears = DesignSize{
	Entries: 360, Replicas: 12_000, Workspaces: 19_000, Models: 6, Regions: 7, Zones: 19,
	RequestsPerSecond: 23_000, CachedBlocks: 280e6, CacheEventsPerSecond: 3.7e6, DocumentChangesPerDay: 7800, DaemonRestartsPerDay: 3200,
}

// Budget is what one daemon may spend for control.
const (
	BudgetCores          = 0.042
	BudgetMemoryBytes    = 128 << 20
	BudgetBytesPerSecond = 9 << 10
)

const secondsPerDay = 24 * 60 * 60

// results holds the probes by what the roles are worked out from.
type results struct {
	decision, chain, pool, memory, cacheIndex, events Series
	documentSize, documentCost, documentHeld          Series
	exchangeBytes, exchangeCost, held, change         Series
	claims                                            Series
}

// Run measures everything and writes the tables.
func Run(w io.Writer) error {
	documents := documentProbes()
	exchanges, err := exchangeProbes()
	if err != nil {
		return fmt.Errorf("measure exchanges: %w", err)
	}
	held, err := heldProbe()
	if err != nil {
		return fmt.Errorf("measure links: %w", err)
	}
	change, err := changeProbe()
	if err != nil {
		return fmt.Errorf("measure changes: %w", err)
	}
	r := results{
		decision: decisionProbe(), chain: chainProbe(), pool: poolMemoryProbe(), memory: memoryProbe(),
		cacheIndex: indexMemoryProbe(), events: eventProbe(),
		documentSize: documents[0], documentCost: documents[1], documentHeld: documents[2],
		exchangeBytes: exchanges[0], exchangeCost: exchanges[1], held: held, change: change, claims: claimProbe(),
	}
	_, _ = fmt.Fprintln(w, "## Slopes\n\n| what | varied | unit | points | line |\n| --- | --- | --- | --- | --- |")
	for _, p := range []Series{r.decision, r.chain, r.pool, r.memory, r.cacheIndex, r.events, r.documentSize, r.documentCost, r.documentHeld, r.exchangeBytes, r.exchangeCost, r.held, r.change, r.claims} {
		p.Print(w)
	}
	r.entry(w, SizeInTwoYears)
	r.sidecar(w, SizeInTwoYears)
	r.store(w, SizeInTwoYears)
	return nil
}

// verdict tells whether a figure is within its budget.
func verdict(value, budget float64) string {
	if value <= budget {
		return fmt.Sprintf("within (%.0f%%)", 100*value/budget)
	}
	return fmt.Sprintf("**over (%.1f times)**", value/budget)
}

// services is the number of service documents assumed: one pool for each model
// in each region.
func (s DesignSize) services() float64 { return float64(s.Models * s.Regions) }

// Figures of the spreading, as in package spreader and the entries' push.
const (
	// neighbours is the number of links that an entry keeps open; on average as
	// many are kept open to it.
	neighbours = 4
	// exchangesPerSecond is how many exchanges an entry starts at rest.
	exchangesPerSecond = 1 / 0.75
	// pushers is the number of entries that tell one sidecar of a change.
	pushers = 2
	// leafPeriod is the mean time between a sidecar's own exchanges, in seconds.
	leafPeriod = 90
)

// changesPerSecond and perService are the load of changes.
func (s DesignSize) changesPerSecond() float64 { return s.DocumentChangesPerDay / secondsPerDay }

// sidecarsPerService is the number of sidecars that a change concerns.
func (s DesignSize) sidecarsPerService() float64 { return float64(s.Replicas) / s.services() }

// documentKilobytes is the size of one document.
func (r results) documentKilobytes(s DesignSize) float64 {
	return r.documentSize.CostAt(float64(s.Workspaces)/s.services()) / 1024
}

// entrySpread returns the control traffic and processor time of an entry: its
// open links in both directions, the change on each of them, the sidecars that it
// tells of changes, and the sidecars that ask on their own.
func (r results) entrySpread(s DesignSize) (bytesPerSecond, core float64) {
	links := 2.0 * neighbours
	perLink := r.held.CostAt(exchangesPerSecond / neighbours)
	pushes := s.changesPerSecond() * s.sidecarsPerService() * pushers / float64(s.Entries)
	asked := float64(s.Replicas) / leafPeriod / float64(s.Entries)
	change := r.change.CostAt(r.documentKilobytes(s))
	bytesPerSecond = links*perLink + links*s.changesPerSecond()*change + pushes*(r.exchangeBytes.CostAt(1)+change) + asked*r.exchangeBytes.CostAt(1)
	handshakes := pushes + asked
	core = 2*exchangesPerSecond*r.exchangeCost.CostAt(0)/2e6 + handshakes*r.exchangeCost.CostAt(1)/2e6 + s.changesPerSecond()*r.documentCost.CostAt(float64(s.Workspaces)/s.services())/1e6
	return bytesPerSecond, core
}

// sidecarSpread returns the same for a sidecar.
func (r results) sidecarSpread(s DesignSize) (bytesPerSecond, core float64) {
	notified := s.changesPerSecond() / s.services() * pushers
	handshakes := notified + 1.0/leafPeriod
	change := r.change.CostAt(r.documentKilobytes(s))
	bytesPerSecond = handshakes*r.exchangeBytes.CostAt(1) + s.changesPerSecond()*change
	core = handshakes*r.exchangeCost.CostAt(1)/2e6 + s.changesPerSecond()*r.documentCost.CostAt(float64(s.Workspaces)/s.services())/1e6
	return bytesPerSecond, core
}

func (r results) entry(w io.Writer, s DesignSize) {
	traffic, core := r.entrySpread(s)
	requests := s.RequestsPerSecond / float64(s.Entries)
	core += requests * (r.decision.CostAt(float64(s.Replicas)) + r.chain.CostAt(32)) / 1e6
	held := r.documentHeld.CostAt(float64(s.Workspaces)/s.services()) * s.services()
	memory := r.pool.CostAt(float64(s.Replicas)) + r.memory.CostAt(rememberedParts) + held
	_, _ = fmt.Fprintf(w, "\n## Entry at %d entries, %d replicas\n\n| what | worked out | budget | verdict |\n| --- | --- | --- | --- |\n", s.Entries, s.Replicas)
	_, _ = fmt.Fprintf(w, "| processor: spreading, %.0f requests routed/s, hashing 32 KB each | %.2f%% of a core | %.1f%% | %s |\n", requests, 100*core, 100*BudgetCores, verdict(core, BudgetCores))
	_, _ = fmt.Fprintf(w, "| memory: replicas %.1f MB, remembered parts %.1f MB, documents %.1f MB | %.1f MB | %d MB | %s |\n",
		r.pool.CostAt(float64(s.Replicas))/1e6, r.memory.CostAt(rememberedParts)/1e6, held/1e6, memory/1e6, BudgetMemoryBytes>>20, verdict(memory, BudgetMemoryBytes))
	_, _ = fmt.Fprintf(w, "| control traffic: %d links to neighbours each way, changes, telling sidecars | %.1f KB/s | %d KB/s | %s |\n", neighbours, traffic/1024, BudgetBytesPerSecond>>10, verdict(traffic, BudgetBytesPerSecond))
}

func (r results) sidecar(w io.Writer, s DesignSize) {
	traffic, core := r.sidecarSpread(s)
	events := s.CacheEventsPerSecond / float64(s.Replicas)
	core += r.events.CostAt(events) / 1e6
	blocks := s.CachedBlocks / float64(s.Replicas)
	held := r.documentHeld.CostAt(float64(s.Workspaces)/s.services()) * s.services()
	memory := r.cacheIndex.CostAt(blocks) + held
	_, _ = fmt.Fprintf(w, "\n## Sidecar with %.0f cached blocks and %.0f cache events/s\n\n| what | worked out | budget | verdict |\n| --- | --- | --- | --- |\n", blocks, events)
	_, _ = fmt.Fprintf(w, "| processor: spreading, cache events | %.2f%% of a core | %.1f%% | %s |\n", 100*core, 100*BudgetCores, verdict(core, BudgetCores))
	_, _ = fmt.Fprintf(w, "| memory: cache index %.1f MB, documents %.1f MB | %.1f MB | %d MB | %s |\n", r.cacheIndex.CostAt(blocks)/1e6, held/1e6, memory/1e6, BudgetMemoryBytes>>20, verdict(memory, BudgetMemoryBytes))
	_, _ = fmt.Fprintf(w, "| control traffic: notifications, own exchanges, changes | %.1f KB/s | %d KB/s | %s |\n", traffic/1024, BudgetBytesPerSecond>>10, verdict(traffic, BudgetBytesPerSecond))
}

// Limits of the platform's key-value service.
const (
	storeWrites = 300
	storeReads  = 2000
)

func (r results) store(w io.Writer, s DesignSize) {
	watchers := float64(3 * s.Regions)
	const watchSeconds = 30
	rest := watchers / watchSeconds
	changes := s.DocumentChangesPerDay / secondsPerDay
	reads := rest + changes*(watchers+3)
	writes := changes * 3
	_, _ = fmt.Fprintf(w, "\n## Platform's key-value service\n\n| when | reads/s | of %d | writes/s | of %d |\n| --- | --- | --- | --- | --- |\n", storeReads, storeWrites)
	_, _ = fmt.Fprintf(w, "| at rest: %0.f watches | %.2f | %s | 0 | within (0%%) |\n", watchers, rest, verdict(rest, storeReads))
	_, _ = fmt.Fprintf(w, "| %.0f changes a day | %.2f | %s | %.2f | %s |\n", s.DocumentChangesPerDay, reads, verdict(reads, storeReads), writes, verdict(writes, storeWrites))
	_, _ = fmt.Fprintf(w, "| %.0f restarts a day: a daemon asks its peers first | %.2f | %s | 0 | within (0%%) |\n", s.DaemonRestartsPerDay, rest+s.DaemonRestartsPerDay/secondsPerDay, verdict(rest+s.DaemonRestartsPerDay/secondsPerDay, storeReads))
	for _, p := range r.claims.Points {
		_, _ = fmt.Fprintf(w, "| %.0f claims/s on one service (measured) | - | - | %.0f | %s |\n", p.Size, p.Value, verdict(p.Value, storeWrites))
	}
}
