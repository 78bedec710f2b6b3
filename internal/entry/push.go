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
	// pushers is the number of entries that tell one sidecar of a change.
	pushers = 2
	// pushParallel is the number of sidecars notified at once.
	pushParallel = 32
	// pushTries is how often a sidecar that is not reached is tried.
	pushTries = 3
	// pushPause is the wait between two tries.
	pushPause = 500 * time.Millisecond
)

// pushLoop tells the sidecars of a changed service that this entry is chosen
// for. Sidecars do not ask at rest, so that their number costs nothing.
func (e *Entry) pushLoop(ctx context.Context) {
	sent := map[string]uint64{}
	for {
		changed := e.common.RevisionTable().Changed()
		for name, s := range e.current().byName {
			if sent[name] != s.revised.Revision {
				sent[name] = s.revised.Revision
				e.push(ctx, s)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// push tells the chosen sidecars of one service.
func (e *Entry) push(ctx context.Context, s *service) {
	entries := append(e.common.EntryPeers(), e.common.Identity().LinkAddress)
	slots := make(chan struct{}, pushParallel)
	var group sync.WaitGroup
	for _, server := range s.document.BackendServers {
		address := server.Sidecar
		if !chosen(e.common.Identity().LinkAddress, entries, address) {
			continue
		}
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-slots }()
			e.tell(ctx, address)
		}()
	}
	group.Wait()
}

// tell exchanges configuration with one sidecar until it is reached.
func (e *Entry) tell(ctx context.Context, address string) {
	for range pushTries {
		if err := e.common.Gossip().Exchange(ctx, address); err == nil || ctx.Err() != nil {
			return
		}
		select {
		case <-e.clock.After(pushPause):
		case <-ctx.Done():
			return
		}
	}
}

// chosen reports whether self is among the entries that tell a sidecar, in an
// order that all entries agree on.
func chosen(self string, entries []string, sidecar string) bool {
	rank := func(entry string) uint64 { return xxh3.HashString(entry + "\x00" + sidecar) }
	slices.SortFunc(entries, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	at := slices.Index(slices.Compact(entries), self)
	return at >= 0 && at < pushers
}
