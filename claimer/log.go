package claimer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

const (
	// tailLimit is the size at which the tail's records move to a chunk.
	tailLimit = 16 << 10
	// chunkLimit is the size up to which a chunk is extended.
	chunkLimit = 256 << 10
	// clockMargin covers differences between the wall clocks of hosts.
	clockMargin = 10 * time.Minute
)

// chunkRef names a sealed chunk.
type chunkRef struct {
	Name string `cbor:"name"`
	// Newest is the time of the newest claim in the chunk.
	Newest time.Time `cbor:"newest"`
	Size   int       `cbor:"size"`
}

// tail is the value that orders all writers of a range.
type tail struct {
	Chunks  []chunkRef `cbor:"chunks,omitempty"`
	Records []Claim    `cbor:"records,omitempty"`
}

// rangeLog is this process's copy of one range's log. It is used by one
// goroutine at a time.
type rangeLog struct {
	store  keeper.Store
	prefix string
	keep   time.Duration
	// version is the store's version of the tail that is merged into index.
	version uint64
	tail    tail
	// merged names the chunks that are merged into index.
	merged map[string]bool
	// index holds the record in force of every key.
	index map[string]Claim
	// orphans names chunks that this process wrote and no tail may name: the
	// tail that would have named them was not written. They are removed after
	// the next commit, which makes that certain.
	orphans []string
}

func newRangeLog(store keeper.Store, prefix string, keep time.Duration) *rangeLog {
	return &rangeLog{store: store, prefix: prefix, keep: keep, merged: map[string]bool{}, index: map[string]Claim{}}
}

func (l *rangeLog) tailKey() string { return l.prefix + "/tail" }

func (l *rangeLog) chunkKey(name string) string { return l.prefix + "/chunk/" + name }

// refresh merges what other writers have committed.
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
	var read tail
	if err := cbor.Unmarshal(entry.Value, &read); err != nil {
		return fmt.Errorf("decode tail: %w", err)
	}
	if err := l.mergeChunks(ctx, read.Chunks); err != nil {
		return err
	}
	l.adopt(read, entry.Version)
	return nil
}

// mergeChunks applies the chunks that are not merged yet, in log order. Once one
// is applied all later ones are applied again, so that the last record wins.
func (l *rangeLog) mergeChunks(ctx context.Context, chunks []chunkRef) error {
	again := false
	merged := make(map[string]bool, len(chunks))
	for _, ref := range chunks {
		if again = again || !l.merged[ref.Name]; !again {
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
	l.merged = merged
	return nil
}

func (l *rangeLog) adopt(read tail, version uint64) {
	l.tail = read
	l.version = version
	l.apply(read.Records)
}

func (l *rangeLog) apply(records []Claim) {
	for _, record := range records {
		l.index[record.Key] = record
	}
}

// append commits the records after everything that is merged. ErrConflict means
// that another writer was first and nothing was written.
func (l *rangeLog) append(ctx context.Context, records []Claim, now time.Time) error {
	next := tail{Chunks: slices.Clone(l.tail.Chunks), Records: slices.Concat(l.tail.Records, records)}
	expired := next.dropExpired(now.Add(-l.keep - clockMargin))
	value, err := cbor.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode tail: %w", err)
	}
	if len(value) > tailLimit {
		replaced, err := l.seal(ctx, &next)
		if err != nil {
			return fmt.Errorf("seal chunk: %w", err)
		}
		expired = append(expired, replaced...)
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
	l.forget(ctx, append(expired, l.unnamed()...), now)
	return nil
}

// unnamed returns the orphans that the committed tail does not name.
func (l *rangeLog) unnamed() []string {
	names := slices.DeleteFunc(l.orphans, func(name string) bool {
		return slices.ContainsFunc(l.tail.Chunks, func(ref chunkRef) bool { return ref.Name == name })
	})
	l.orphans = nil
	return names
}

// dropExpired removes chunks and records that are older than limit and returns
// the names of the chunks.
func (t *tail) dropExpired(limit time.Time) []string {
	var dropped []string
	t.Chunks = slices.DeleteFunc(t.Chunks, func(ref chunkRef) bool {
		old := ref.Newest.Before(limit)
		if old {
			dropped = append(dropped, ref.Name)
		}
		return old
	})
	t.Records = slices.DeleteFunc(t.Records, func(record Claim) bool { return record.ProposedAt.Before(limit) })
	return dropped
}

// seal moves the records of next to a chunk, together with the last chunk if
// that is small, and returns the name of a chunk that is no longer needed.
func (l *rangeLog) seal(ctx context.Context, next *tail) ([]string, error) {
	records := next.Records
	var replaced []string
	if n := len(next.Chunks); n > 0 && next.Chunks[n-1].Size < chunkLimit {
		last := next.Chunks[n-1]
		entry, err := l.store.Get(ctx, l.chunkKey(last.Name))
		if err != nil {
			return nil, fmt.Errorf("read chunk: %w", err)
		}
		var earlier []Claim
		if err := cbor.Unmarshal(entry.Value, &earlier); err != nil {
			return nil, fmt.Errorf("decode chunk: %w", err)
		}
		records = latest(slices.Concat(earlier, records))
		next.Chunks = next.Chunks[:n-1]
		replaced = append(replaced, last.Name)
	}
	value, err := cbor.Marshal(records)
	if err != nil {
		return nil, fmt.Errorf("encode chunk: %w", err)
	}
	ref := chunkRef{Name: uuid.NewString(), Newest: newest(records), Size: len(value)}
	l.orphans = append(l.orphans, ref.Name)
	if _, err := l.store.Swap(ctx, keeper.Swap{Key: l.chunkKey(ref.Name), Value: value}); err != nil {
		return nil, fmt.Errorf("write chunk: %w", err)
	}
	l.merged[ref.Name] = true
	next.Chunks = append(next.Chunks, ref)
	next.Records = nil
	return replaced, nil
}

// forget removes chunks that the committed tail no longer names, and index
// entries that are too old. A chunk whose removal fails is left in the store.
func (l *rangeLog) forget(ctx context.Context, chunks []string, now time.Time) {
	for _, name := range chunks {
		delete(l.merged, name)
		if entry, err := l.store.Get(ctx, l.chunkKey(name)); err == nil {
			_, _ = l.store.Swap(ctx, keeper.Swap{Key: entry.Key, Expected: entry.Version})
		}
	}
	if len(chunks) == 0 {
		return
	}
	limit := now.Add(-l.keep - clockMargin)
	for key, record := range l.index {
		if record.ProposedAt.Before(limit) {
			delete(l.index, key)
		}
	}
}

// latest keeps the last record of every key, in log order.
func latest(records []Claim) []Claim {
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

func newest(records []Claim) time.Time {
	var result time.Time
	for _, record := range records {
		if record.ProposedAt.After(result) {
			result = record.ProposedAt
		}
	}
	return result
}
