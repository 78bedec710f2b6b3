// Package registrar commits revisions of service documents to the platform's
// key-value service.
//
// Each service has one entry in the store, with its current revision. Applying a
// document is one compare-and-swap on the entry, so if two operators apply documents
// concurrently, one is accepted and the other gets a conflict. Revisions count up by one
// and are never reused. Each document is applied under an operation ID. After a lost
// reply, the entry is read back to see whether it names the operation; until then the
// result is unknown, and is never reported as a refusal.
package registrar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/joomcode/errorx"
)

const (
	// Prefix is the start of the keys of the services' entries.
	Prefix = "config/"
	// historyPrefix is the start of the keys that hold the texts of earlier revisions.
	historyPrefix = "history/"
	// HistoryLength is the number of earlier revisions kept per service.
	HistoryLength = 50
	// retryInterval is the wait before Apply tries again after a store error.
	retryInterval = 50 * time.Millisecond
)

var faults = errorx.NewNamespace("registrar")

// Results of Apply other than acceptance.
var (
	// ErrConflict means that another revision is current; nothing was written.
	ErrConflict = faults.NewType("conflict").New("another revision is current")
	// ErrUnknownOutcome means that the document may or may not become current. To find
	// out, the caller applies it again with the same operation ID.
	ErrUnknownOutcome = faults.NewType("unknown").New("not known whether the document was accepted")
	// ErrUnavailable means that the store was not reached; nothing was written.
	ErrUnavailable = faults.NewType("unavailable").New("store unavailable, nothing was written")
)

// Summary describes one accepted revision without its text.
type Summary struct {
	Revision uint64 `json:"revision"`
	// OperationID is the operation ID that the revision was applied under.
	OperationID string `json:"operationID"`
	// AcceptedAt is when the revision was written, by the clock of the process that
	// wrote it.
	AcceptedAt time.Time `json:"accepted"`
}

// Record is the value of a service's entry: the current revision and those before it.
type Record struct {
	Summary
	// Text is the document as the operator wrote it.
	Text string `json:"text"`
	// Earlier describes up to HistoryLength revisions before this one, newest first.
	Earlier []Summary `json:"earlier,omitempty"`
}

// findOperation returns the summary of the revision that an operation made, if the
// record still has it.
func (r *Record) findOperation(operationID string) (Summary, bool) {
	if r.OperationID == operationID {
		return r.Summary, true
	}
	for _, earlier := range r.Earlier {
		if earlier.OperationID == operationID {
			return earlier, true
		}
	}
	return Summary{}, false
}

// Register reads and writes the documents of all services in one store.
type Register struct {
	store keeper.Store
	clock timekeeper.Clock
}

// New returns a register on the store.
func New(store keeper.Store, clock timekeeper.Clock) *Register {
	return &Register{store: store, clock: clock}
}

// Get returns the current record of a service.
func (r *Register) Get(ctx context.Context, service string) (*Record, error) {
	record, _, err := r.read(ctx, service)
	return record, err
}

// Text returns the text of one revision, which must be the current one or one of the
// earlier ones that are kept.
func (r *Register) Text(ctx context.Context, service string, revision uint64) (string, error) {
	record, _, err := r.read(ctx, service)
	if err != nil {
		return "", err
	}
	if record.Revision == revision {
		return record.Text, nil
	}
	entry, err := r.store.Get(ctx, historyKey(service, revision))
	if err != nil {
		return "", fmt.Errorf("read revision %d: %w", revision, err)
	}
	return string(entry.Value), nil
}

// Apply makes text the next revision if expected is the current one; 0 creates the
// service. It returns the accepted revision, also if an earlier call with the same
// operation ID made it. It retries store errors until ctx ends, and then returns
// ErrUnknownOutcome or ErrUnavailable. With ErrConflict it returns the current revision.
func (r *Register) Apply(ctx context.Context, service, text, operationID string, expected uint64) (uint64, error) {
	maybeWritten := false
	for {
		revision, err := r.applyOnce(ctx, service, text, operationID, expected)
		if err == nil || errors.Is(err, ErrConflict) {
			return revision, err
		}
		maybeWritten = maybeWritten || errors.Is(err, keeper.ErrUnknownOutcome)
		select {
		case <-r.clock.After(retryInterval):
		case <-ctx.Done():
			if maybeWritten {
				return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
			}
			return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
}

// applyOnce is one try of Apply, which reads the entry and replaces it.
func (r *Register) applyOnce(ctx context.Context, service, text, operationID string, expected uint64) (uint64, error) {
	current, version, err := r.read(ctx, service)
	if errors.Is(err, keeper.ErrNotFound) {
		current = &Record{}
	} else if err != nil {
		return 0, err
	}
	if accepted, ok := current.findOperation(operationID); ok {
		return accepted.Revision, nil
	}
	if current.Revision != expected {
		return current.Revision, fmt.Errorf("revision %d: %w", current.Revision, ErrConflict)
	}
	if err := r.keepInHistory(ctx, service, current); err != nil {
		return 0, err
	}
	next := nextRecord(current, text, operationID, r.clock.Now())
	value, err := json.Marshal(next)
	if err != nil {
		return 0, fmt.Errorf("encode record: %w", err)
	}
	if _, err := r.store.Swap(ctx, keeper.Swap{Key: Prefix + service, Value: value, Expected: version}); err != nil {
		return 0, fmt.Errorf("write record: %w", err)
	}
	r.trimHistory(ctx, service, next.Revision)
	return next.Revision, nil
}

// nextRecord returns the record that follows current, with text as its revision.
func nextRecord(current *Record, text, operationID string, now time.Time) *Record {
	next := &Record{
		Summary: Summary{Revision: current.Revision + 1, OperationID: operationID, AcceptedAt: now.UTC()},
		Text:    text,
	}
	if current.Revision > 0 {
		next.Earlier = append([]Summary{current.Summary}, current.Earlier...)
	}
	if len(next.Earlier) > HistoryLength {
		next.Earlier = next.Earlier[:HistoryLength]
	}
	return next
}

// keepInHistory stores the text of the current revision under historyPrefix, before the
// next revision replaces it. It is no error if the text is there already, from an earlier
// try. If the outcome of the write is unknown, the next try settles it: the record itself
// has not been written.
func (r *Register) keepInHistory(ctx context.Context, service string, current *Record) error {
	if current.Revision == 0 {
		return nil
	}
	_, err := r.store.Swap(ctx, keeper.Swap{Key: historyKey(service, current.Revision), Value: []byte(current.Text)})
	switch {
	case err == nil, errors.Is(err, keeper.ErrConflict):
		return nil
	case errors.Is(err, keeper.ErrUnknownOutcome):
		return fmt.Errorf("keep text: outcome unknown: %w", keeper.ErrUnavailable)
	}
	return fmt.Errorf("keep text: %w", err)
}

// trimHistory removes the text that the given revision pushed out of the history. If
// that fails, the text is left in the store.
func (r *Register) trimHistory(ctx context.Context, service string, revision uint64) {
	if revision <= HistoryLength+1 {
		return
	}
	if entry, err := r.store.Get(ctx, historyKey(service, revision-HistoryLength-1)); err == nil {
		_, _ = r.store.Swap(ctx, keeper.Swap{Key: entry.Key, Expected: entry.Version})
	}
}

// read returns the current record of a service and the store's version of its entry.
func (r *Register) read(ctx context.Context, service string) (*Record, uint64, error) {
	entry, err := r.store.Get(ctx, Prefix+service)
	if err != nil {
		return nil, 0, fmt.Errorf("read record: %w", err)
	}
	record, err := Parse(entry)
	if err != nil {
		return nil, 0, err
	}
	return record, entry.Version, nil
}

// Parse decodes the record in a store entry below Prefix.
func Parse(entry keeper.Entry) (*Record, error) {
	var record Record
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return nil, fmt.Errorf("decode record %s: %w", entry.Key, err)
	}
	return &record, nil
}

// ServiceOf returns the name of the service whose entry has the given key below Prefix.
func ServiceOf(key string) string { return strings.TrimPrefix(key, Prefix) }

// historyKey returns the key of the text of an earlier revision.
func historyKey(service string, revision uint64) string {
	return fmt.Sprintf("%s%s/%d", historyPrefix, service, revision)
}
