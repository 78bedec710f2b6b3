package claimer

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

const (
	// maxTailBytes is the size above which the tail's records move to a chunk. The
	// tail is small because each commit writes it whole.
	maxTailBytes = 16 << 10
	// fullChunkBytes is the size from which a chunk is not extended any more. A
	// value in the store has at most one megabyte.
	fullChunkBytes = 256 << 10
	// maxClockSkew is how much longer than the retention time claims are kept,
	// since the wall clocks of hosts differ.
	maxClockSkew = 10 * time.Minute
)

// chunkRef refers to a sealed chunk.
type chunkRef struct {
	// Name is the last part of the chunk's key, a UUID.
	Name string `cbor:"name"`
	// Newest is when the newest claim in the chunk was proposed.
	Newest time.Time `cbor:"newest"`
	// Size is the length of the encoded chunk in bytes.
	Size int `cbor:"size"`
}

// tail is the value that each commit to a range replaces by compare-and-swap, which
// orders all writers of the range.
type tail struct {
	// Chunks refers to the sealed chunks, oldest first.
	Chunks []chunkRef `cbor:"chunks,omitempty"`
	// Records holds the records after those of the chunks, oldest first.
	Records []Claim `cbor:"records,omitempty"`
}

// rangeLog is this process's copy of one range's log. It is used by one
// goroutine at a time.
type rangeLog struct {
	store keeper.Store
	// prefix is the start of the keys of the tail and the chunks.
	prefix string
	// retention is how long a claim is kept.
	retention time.Duration
	// version is the store's version of the tail that is merged into index.
	version uint64
	tail    tail
	// mergedChunks holds the names of the chunks that are merged into index.
	mergedChunks map[string]bool
	// index holds the record in force of every key.
	index map[string]Claim
	// orphans holds the names of chunks that this process wrote since its last
	// successful commit. The write of the tail that was to list them may have failed
	// or may still take effect. The next commit settles which, and those that the
	// committed tail does not list are then removed.
	orphans []string
}

func newRangeLog(store keeper.Store, prefix string, retention time.Duration) *rangeLog {
	return &rangeLog{store: store, prefix: prefix, retention: retention, mergedChunks: map[string]bool{}, index: map[string]Claim{}}
}

func (l *rangeLog) tailKey() string { return l.prefix + "/tail" }

func (l *rangeLog) chunkKey(name string) string { return l.prefix + "/chunk/" + name }

// refresh merges into the index what other writers have committed.
func (l *rangeLog) refresh(ctx context.Context) error {
	entry, err := l.store.Get(ctx, l.tailKey())
	if errors.Is(err, keeper.ErrNotFound) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read tail: %w", err)
	}
	if entry.Version == l.version {
		return nil
	}
	var stored tail
	if err := cbor.Unmarshal(entry.Value, &stored); err != nil {
		return fmt.Errorf("decode tail: %w", err)
	}
	if err := l.mergeChunks(ctx, stored.Chunks); err != nil {
		return err
	}
	l.applyTail(stored, entry.Version)
	return nil
}

// mergeChunks applies the chunks that are not merged yet to the index, in log order.
// Once one is applied, all later ones are applied again, so that the last record of a
// key wins.
func (l *rangeLog) mergeChunks(ctx context.Context, chunks []chunkRef) error {
	reapply := false
	merged := make(map[string]bool, len(chunks))
	for _, ref := range chunks {
		if reapply = reapply || !l.mergedChunks[ref.Name]; !reapply {
			merged[ref.Name] = true
			continue
		}
		entry, err := l.store.Get(ctx, l.chunkKey(ref.Name))
		if err != nil {
			return fmt.Errorf("read chunk: %w", err)
		}
		var records []Claim
		if err := cbor.Unmarshal(entry.Value, &records); err != nil {
			return fmt.Errorf("decode chunk: %w", err)
		}
		l.apply(records)
		merged[ref.Name] = true
	}
	l.mergedChunks = merged
	return nil
}

// applyTail makes the stored tail the current one and applies its records.
func (l *rangeLog) applyTail(stored tail, version uint64) {
	l.tail = stored
	l.version = version
	l.apply(stored.Records)
}

// apply puts the records into the index, over earlier records of their keys.
func (l *rangeLog) apply(records []Claim) {
	for _, record := range records {
		l.index[record.Key] = record
	}
}

// append commits the records after all that are merged into the index.
// keeper.ErrConflict means that another writer was first and no record was committed.
func (l *rangeLog) append(ctx context.Context, records []Claim, now time.Time) error {
	next := tail{Chunks: slices.Clone(l.tail.Chunks), Records: slices.Concat(l.tail.Records, records)}
	unused := next.dropExpired(now.Add(-l.retention - maxClockSkew))
	value, err := cbor.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode tail: %w", err)
	}
	if len(value) > maxTailBytes {
		replaced, err := l.seal(ctx, &next)
		if err != nil {
			return fmt.Errorf("seal chunk: %w", err)
		}
		unused = append(unused, replaced...)
		if value, err = cbor.Marshal(next); err != nil {
			return fmt.Errorf("encode tail: %w", err)
		}
	}
	version, err := l.store.Swap(ctx, keeper.Swap{Key: l.tailKey(), Value: value, Expected: l.version})
	if err != nil {
		return fmt.Errorf("write tail: %w", err)
	}
	l.apply(records)
	l.tail = next
	l.version = version
	l.collectGarbage(ctx, append(unused, l.takeUnreferenced()...), now)
	return nil
}

// takeUnreferenced returns the orphans that the committed tail does not list, and
// clears the list of orphans.
func (l *rangeLog) takeUnreferenced() []string {
	names := slices.DeleteFunc(l.orphans, func(name string) bool {
		return slices.ContainsFunc(l.tail.Chunks, func(ref chunkRef) bool { return ref.Name == name })
	})
	l.orphans = nil
	return names
}

// dropExpired removes chunks and records that are older than cutoff and returns
// the names of the chunks.
func (t *tail) dropExpired(cutoff time.Time) []string {
	var dropped []string
	t.Chunks = slices.DeleteFunc(t.Chunks, func(ref chunkRef) bool {
		expired := ref.Newest.Before(cutoff)
		if expired {
			dropped = append(dropped, ref.Name)
		}
		return expired
	})
	t.Records = slices.DeleteFunc(t.Records, func(record Claim) bool { return record.ProposedAt.Before(cutoff) })
	return dropped
}

// seal moves the records of next to a new chunk. If the last chunk is not full, its
// records move there too; its name is then returned, since it is no longer needed.
func (l *rangeLog) seal(ctx context.Context, next *tail) ([]string, error) {
	records := next.Records
	var replaced []string
	if n := len(next.Chunks); n > 0 && next.Chunks[n-1].Size < fullChunkBytes {
		last := next.Chunks[n-1]
		entry, err := l.store.Get(ctx, l.chunkKey(last.Name))
		if err != nil {
			return nil, fmt.Errorf("read chunk: %w", err)
		}
		var earlier []Claim
		if err := cbor.Unmarshal(entry.Value, &earlier); err != nil {
			return nil, fmt.Errorf("decode chunk: %w", err)
		}
		records = latestPerKey(slices.Concat(earlier, records))
		next.Chunks = next.Chunks[:n-1]
		replaced = append(replaced, last.Name)
	}
	value, err := cbor.Marshal(records)
	if err != nil {
		return nil, fmt.Errorf("encode chunk: %w", err)
	}
	ref := chunkRef{Name: uuid.NewString(), Newest: newestTime(records), Size: len(value)}
	l.orphans = append(l.orphans, ref.Name)
	if _, err := l.store.Swap(ctx, keeper.Swap{Key: l.chunkKey(ref.Name), Value: value}); err != nil {
		return nil, fmt.Errorf("write chunk: %w", err)
	}
	l.mergedChunks[ref.Name] = true
	next.Chunks = append(next.Chunks, ref)
	next.Records = nil
	return replaced, nil
}

// collectGarbage removes the given chunks, which the committed tail does not list, from
// the store. If there are any, it also drops expired records from the index. A chunk
// whose removal fails is left in the store.
func (l *rangeLog) collectGarbage(ctx context.Context, chunks []string, now time.Time) {
	for _, name := range chunks {
		delete(l.mergedChunks, name)
		if entry, err := l.store.Get(ctx, l.chunkKey(name)); err == nil {
			_, _ = l.store.Swap(ctx, keeper.Swap{Key: entry.Key, Expected: entry.Version})
		}
	}
	if len(chunks) > 0 {
		l.forgetExpired(now)
	}
}

// forgetExpired drops expired records from the index. The next append drops them from the
// store.
func (l *rangeLog) forgetExpired(now time.Time) {
	cutoff := now.Add(-l.retention - maxClockSkew)
	maps.DeleteFunc(l.index, func(_ string, record Claim) bool { return record.ProposedAt.Before(cutoff) })
}

// latestPerKey returns the last record of every key, in log order.
func latestPerKey(records []Claim) []Claim {
	last := make(map[string]int, len(records))
	for i, record := range records {
		last[record.Key] = i
	}
	var kept []Claim
	for i, record := range records {
		if last[record.Key] == i {
			kept = append(kept, record)
		}
	}
	return kept
}

// newestTime returns when the newest of the records was proposed.
func newestTime(records []Claim) time.Time {
	var newest time.Time
	for _, record := range records {
		if record.ProposedAt.After(newest) {
			newest = record.ProposedAt
		}
	}
	return newest
}
