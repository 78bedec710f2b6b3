package prober

import (
	"fmt"
	"io"

	"github.com/cyclamenward/cyclamenward/spreader"
)

// DesignSize is a size and load that the system is designed for. The counts are of the
// whole system.
type DesignSize struct {
	Entries, Replicas, Workspaces, Models, Regions, Zones int
	RequestsPerSecond                                     float64
	CachedBlocks, CacheEventsPerSecond                    float64
	DocumentChangesPerDay, DaemonRestartsPerDay           float64
}

// SizeInTwoYears is the size and load that are expected in two years.
var SizeInTwoYears = DesignSize{
	Entries: 360, Replicas: 12_000, Workspaces: 19_000, Models: 6, Regions: 7, Zones: 19,
	RequestsPerSecond: 23_000, CachedBlocks: 280e6, CacheEventsPerSecond: 3.7e6, DocumentChangesPerDay: 7800, DaemonRestartsPerDay: 3200,
}

// Budgets of one daemon for routing and control: processor cores, memory, and control
// traffic.
const (
	BudgetCores          = 0.042
	BudgetMemoryBytes    = 128 << 20
	BudgetBytesPerSecond = 9 << 10
)

const secondsPerDay = 24 * 60 * 60

// results holds the measured series, from which the cost of each role is calculated.
type results struct {
	routing, hashChain, replicaPool, holderIndex, cacheIndex, cacheEvents Series
	documentSize, documentDecoding, documentMemory                        Series
	exchangeBytes, exchangeCost, openLink, documentChange                 Series
	claimWrites                                                           Series
}

// Run measures every series, writes them as a table, and writes what an entry, a
// sidecar and the platform's key-value service need at the size in two years.
func Run(w io.Writer) error {
	documents := measureDocuments()
	exchanges, err := measureExchanges()
	if err != nil {
		return fmt.Errorf("measure exchanges: %w", err)
	}
	openLink, err := measureOpenLink()
	if err != nil {
		return fmt.Errorf("measure links: %w", err)
	}
	documentChange, err := measureDocumentChange()
	if err != nil {
		return fmt.Errorf("measure changes: %w", err)
	}
	r := results{
		routing: measureRouting(), hashChain: measureHashChain(), replicaPool: measureReplicaPool(), holderIndex: measureHolderIndex(),
		cacheIndex: measureCacheIndex(), cacheEvents: measureCacheEvents(),
		documentSize: documents[0], documentDecoding: documents[1], documentMemory: documents[2],
		exchangeBytes: exchanges[0], exchangeCost: exchanges[1], openLink: openLink, documentChange: documentChange, claimWrites: measureClaimWrites(),
	}
	_, _ = fmt.Fprintln(w, "## Slopes\n\n| what | varied | unit | points | line |\n| --- | --- | --- | --- | --- |")
	for _, series := range []Series{r.routing, r.hashChain, r.replicaPool, r.holderIndex, r.cacheIndex, r.cacheEvents, r.documentSize, r.documentDecoding, r.documentMemory, r.exchangeBytes, r.exchangeCost, r.openLink, r.documentChange, r.claimWrites} {
		series.Print(w)
	}
	r.printEntry(w, SizeInTwoYears)
	r.printSidecar(w, SizeInTwoYears)
	r.printStore(w, SizeInTwoYears)
	return nil
}

// verdict returns a text that tells whether a value is within its budget.
func verdict(value, budget float64) string {
	if value <= budget {
		return fmt.Sprintf("within (%.0f%%)", 100*value/budget)
	}
	return fmt.Sprintf("**over (%.1f times)**", value/budget)
}

// serviceCount returns the assumed number of service documents: one model pool for each
// model in each region.
func (s DesignSize) serviceCount() float64 { return float64(s.Models * s.Regions) }

// Figures of the gossip, as in package spreader and in the entries' notifications.
const (
	// neighbours is the number of links that an entry keeps open; on average as
	// many are kept open to it.
	neighbours = 4
	// exchangesPerSecond is how many exchanges an entry starts when nothing changes. It
	// waits a random time from 0.5 to 1 s before each.
	exchangesPerSecond = 1 / 0.75
	// notifiersPerSidecar is the number of entries that notify one sidecar of a change.
	notifiersPerSidecar = 2
	// sidecarExchangeSeconds is the mean time between a sidecar's own exchanges, in
	// seconds. Each wait is a random time from 1 to 2 minutes.
	sidecarExchangeSeconds = 90
)

// changesPerSecond returns the mean rate of document changes.
func (s DesignSize) changesPerSecond() float64 { return s.DocumentChangesPerDay / secondsPerDay }

// sidecarsPerService returns the mean number of sidecars that a change concerns.
func (s DesignSize) sidecarsPerService() float64 { return float64(s.Replicas) / s.serviceCount() }

// documentKilobytes returns the size of one service document, with an equal share of
// the workspaces.
func (r results) documentKilobytes(s DesignSize) float64 {
	return r.documentSize.CostAt(float64(s.Workspaces)/s.serviceCount()) / 1024
}

// entryGossip returns an entry's control traffic and the share of a core that it takes:
// the open links in both directions, the changes on each of them, the sidecars that
// the entry notifies of changes, and the sidecars that exchange with it on their own.
// The cost of an exchange is measured at both ends together, so half of it counts.
func (r results) entryGossip(s DesignSize) (bytesPerSecond, cores float64) {
	links := 2.0 * neighbours
	perLink := r.openLink.CostAt(exchangesPerSecond / neighbours)
	notifications := s.changesPerSecond() * s.sidecarsPerService() * notifiersPerSidecar / float64(s.Entries)
	sidecarRequests := float64(s.Replicas) / sidecarExchangeSeconds / float64(s.Entries)
	change := r.documentChange.CostAt(r.documentKilobytes(s))
	bytesPerSecond = links*perLink + links*s.changesPerSecond()*change + notifications*(r.exchangeBytes.CostAt(1)+change) + sidecarRequests*r.exchangeBytes.CostAt(1)
	handshakes := notifications + sidecarRequests
	cores = 2*exchangesPerSecond*r.exchangeCost.CostAt(0)/2e6 + handshakes*r.exchangeCost.CostAt(1)/2e6 + s.changesPerSecond()*r.documentDecoding.CostAt(float64(s.Workspaces)/s.serviceCount())/1e6
	return bytesPerSecond, cores
}

// sidecarGossip returns the same for a sidecar, which is notified of the changes of its
// own service and exchanges on its own.
func (r results) sidecarGossip(s DesignSize) (bytesPerSecond, cores float64) {
	notifications := s.changesPerSecond() / s.serviceCount() * notifiersPerSidecar
	handshakes := notifications + 1.0/sidecarExchangeSeconds
	change := r.documentChange.CostAt(r.documentKilobytes(s))
	bytesPerSecond = handshakes*r.exchangeBytes.CostAt(1) + s.changesPerSecond()*change
	cores = handshakes*r.exchangeCost.CostAt(1)/2e6 + s.changesPerSecond()*r.documentDecoding.CostAt(float64(s.Workspaces)/s.serviceCount())/1e6
	return bytesPerSecond, cores
}

// printEntry writes the table for an entry.
func (r results) printEntry(w io.Writer, s DesignSize) {
	traffic, cores := r.entryGossip(s)
	requests := s.RequestsPerSecond / float64(s.Entries)
	cores += requests * (r.routing.CostAt(float64(s.Replicas)) + r.hashChain.CostAt(32)) / 1e6
	documents := r.documentMemory.CostAt(float64(s.Workspaces)/s.serviceCount()) * s.serviceCount()
	memory := r.replicaPool.CostAt(float64(s.Replicas)) + r.holderIndex.CostAt(maxHolderIndexParts) + documents
	_, _ = fmt.Fprintf(w, "\n## Entry at %d entries, %d replicas\n\n| what | worked out | budget | verdict |\n| --- | --- | --- | --- |\n", s.Entries, s.Replicas)
	_, _ = fmt.Fprintf(w, "| processor: spreading, %.0f requests routed/s, hashing 32 KB each | %.2f%% of a core | %.1f%% | %s |\n", requests, 100*cores, 100*BudgetCores, verdict(cores, BudgetCores))
	_, _ = fmt.Fprintf(w, "| memory: replicas %.1f MB, remembered parts %.1f MB, documents %.1f MB | %.1f MB | %d MB | %s |\n",
		r.replicaPool.CostAt(float64(s.Replicas))/1e6, r.holderIndex.CostAt(maxHolderIndexParts)/1e6, documents/1e6, memory/1e6, BudgetMemoryBytes>>20, verdict(memory, BudgetMemoryBytes))
	_, _ = fmt.Fprintf(w, "| control traffic: %d links to neighbours each way, changes, telling sidecars | %.1f KB/s | %d KB/s | %s |\n", neighbours, traffic/1024, BudgetBytesPerSecond>>10, verdict(traffic, BudgetBytesPerSecond))
	traffic += float64(spreader.DefaultOptions.WatchCandidates) * r.openLink.CostAt(1/spreader.DefaultOptions.WatchTimeout.Seconds())
	_, _ = fmt.Fprintf(w, "| the same of the entry that watches: it reports to %d others | %.1f KB/s | %d KB/s | %s |\n", spreader.DefaultOptions.WatchCandidates, traffic/1024, BudgetBytesPerSecond>>10, verdict(traffic, BudgetBytesPerSecond))
}

// printSidecar writes the table for a sidecar.
func (r results) printSidecar(w io.Writer, s DesignSize) {
	traffic, cores := r.sidecarGossip(s)
	events := s.CacheEventsPerSecond / float64(s.Replicas)
	cores += r.cacheEvents.CostAt(events) / 1e6
	blocks := s.CachedBlocks / float64(s.Replicas)
	documents := r.documentMemory.CostAt(float64(s.Workspaces)/s.serviceCount()) * s.serviceCount()
	memory := r.cacheIndex.CostAt(blocks) + documents
	_, _ = fmt.Fprintf(w, "\n## Sidecar with %.0f cached blocks and %.0f cache events/s\n\n| what | worked out | budget | verdict |\n| --- | --- | --- | --- |\n", blocks, events)
	_, _ = fmt.Fprintf(w, "| processor: spreading, cache events | %.2f%% of a core | %.1f%% | %s |\n", 100*cores, 100*BudgetCores, verdict(cores, BudgetCores))
	_, _ = fmt.Fprintf(w, "| memory: cache index %.1f MB, documents %.1f MB | %.1f MB | %d MB | %s |\n", r.cacheIndex.CostAt(blocks)/1e6, documents/1e6, memory/1e6, BudgetMemoryBytes>>20, verdict(memory, BudgetMemoryBytes))
	_, _ = fmt.Fprintf(w, "| control traffic: notifications, own exchanges, changes | %.1f KB/s | %d KB/s | %s |\n", traffic/1024, BudgetBytesPerSecond>>10, verdict(traffic, BudgetBytesPerSecond))
}

// Limits of the platform's key-value service, in calls a second.
const (
	maxStoreWrites = 400
	maxStoreReads  = 2000
)

// printStore writes the table for the platform's key-value service. In each region one daemon
// watches the store, and repeats a watch that has seen no change. A change takes a read by each
// of them and three more, and three writes.
func (r results) printStore(w io.Writer, s DesignSize) {
	watches := float64(s.Regions)
	readsAtRest := watches / spreader.DefaultOptions.WatchTimeout.Seconds()
	changes := s.DocumentChangesPerDay / secondsPerDay
	reads := readsAtRest + changes*(watches+3)
	writes := changes * 3
	_, _ = fmt.Fprintf(w, "\n## Platform's key-value service\n\n| when | reads/s | of %d | writes/s | of %d |\n| --- | --- | --- | --- | --- |\n", maxStoreReads, maxStoreWrites)
	_, _ = fmt.Fprintf(w, "| at rest: %0.f watches | %.2f | %s | 0 | within (0%%) |\n", watches, readsAtRest, verdict(readsAtRest, maxStoreReads))
	_, _ = fmt.Fprintf(w, "| %.0f changes a day | %.2f | %s | %.2f | %s |\n", s.DocumentChangesPerDay, reads, verdict(reads, maxStoreReads), writes, verdict(writes, maxStoreWrites))
	_, _ = fmt.Fprintf(w, "| %.0f restarts a day: a daemon asks its peers first | %.2f | %s | 0 | within (0%%) |\n", s.DaemonRestartsPerDay, readsAtRest+s.DaemonRestartsPerDay/secondsPerDay, verdict(readsAtRest+s.DaemonRestartsPerDay/secondsPerDay, maxStoreReads))
	for _, point := range r.claimWrites.Points {
		_, _ = fmt.Fprintf(w, "| %.0f claims/s on one service (measured) | - | - | %.0f | %s |\n", point.Size, point.Value, verdict(point.Value, maxStoreWrites))
	}
}
