package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// entriesPerSidecar is the number of entries that notify one sidecar of a change.
	entriesPerSidecar = 2
	// maxParallelPushes bounds the number of sidecars of a service that an entry notifies
	// at the same time.
	maxParallelPushes = 32
	// maxPushTries is how often an entry tries to reach a sidecar for one change.
	maxPushTries = 3
	// pushRetryInterval is the time between two tries.
	pushRetryInterval = 500 * time.Millisecond
)

// pushLoop notifies sidecars when their service has changed. Each sidecar is notified by
// entriesPerSidecar of the entries. As sidecars hardly poll, any number of them causes
// almost no load while nothing changes.
func (e *Entry) pushLoop(ctx context.Context) {
	pushedRevisions := map[string]uint64{}
	for {
		changed := e.common.RevisionTable().Changed()
		for name, s := range e.currentCatalog().byName {
			if pushedRevisions[name] != s.revision.Revision {
				pushedRevisions[name] = s.revision.Revision
				e.pushService(ctx, s)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// pushService notifies those sidecars of a service that this entry is responsible for.
func (e *Entry) pushService(ctx context.Context, s *service) {
	entries := append(e.common.EntryPeers(), e.common.Identity().LinkAddress)
	semaphore := make(chan struct{}, maxParallelPushes)
	var group sync.WaitGroup
	for _, server := range s.document.BackendServers {
		address := server.Sidecar
		if !isPusherFor(e.common.Identity().LinkAddress, entries, address) {
			continue
		}
		group.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-semaphore }()
			e.pushToSidecar(ctx, address)
		}()
	}
	group.Wait()
}

// pushToSidecar exchanges configuration with a sidecar. It retries if the exchange fails.
func (e *Entry) pushToSidecar(ctx context.Context, address string) {
	for range maxPushTries {
		if err := e.common.Gossip().Exchange(ctx, address); err == nil || ctx.Err() != nil {
			return
		}
		select {
		case <-e.clock.After(pushRetryInterval):
		case <-ctx.Done():
			return
		}
	}
}

// isPusherFor reports whether the entry self is one of those that notify the sidecar:
// the first entriesPerSidecar in the order of a hash that is the same on all entries.
func isPusherFor(self string, entries []string, sidecar string) bool {
	rank := func(entry string) uint64 { return xxh3.HashString(entry + "\x00" + sidecar) }
	slices.SortFunc(entries, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	position := slices.Index(slices.Compact(entries), self)
	return position >= 0 && position < entriesPerSidecar
}
