// Package registrar commits revisions of service documents to the platform's
// key-value service.
//
// Each service has one entry in the store. Applying a document is one
// compare-and-swap on it, so of two operators who race one is accepted and the
// other one is informed of the conflict. Revisions count up by one and are never reused.
// Every application carries an operation id, by which a lost reply is resolved:
// until the register has been read back, the result is unknown and never refused.
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
	// Prefix is the start of all keys that hold current revisions.
	Prefix = "config/"
	// historyPrefix is the start of all keys that hold earlier texts.
	historyPrefix = "history/"
	// HistoryLength is the number of earlier revisions kept per service.
	HistoryLength = 50
	// retryPause is the wait before a call is tried again.
	retryPause = 50 * time.Millisecond
)

var faults = errorx.NewNamespace("registrar")

// Results of Apply other than acceptance.
var (
	// ErrConflict means that another revision is current; nothing was written.
	ErrConflict = faults.NewType("conflict").New("another revision is current")
	// ErrUnknownOutcome means that the document may or may not become current. Applying
	// it again with the same operation id resolves the doubt.
	ErrUnknownOutcome = faults.NewType("unknown").New("not known whether the document was accepted")
	// ErrUnavailable means that the store was not reached; nothing was written.
	ErrUnavailable = faults.NewType("unavailable").New("store unavailable, nothing was written")
)

// Summary describes one accepted revision.
type Summary struct {
	Revision    uint64    `json:"revision"`
	OperationID string    `json:"operationID"`
	AcceptedAt  time.Time `json:"accepted"`
}

// Record is the value of a service's entry.
type Record struct {
	Summary
	// Text is the document as the operator wrote it.
	Text string `json:"text"`
	// Earlier describes the revisions before this one, newest first.
	Earlier []Summary `json:"earlier,omitempty"`
}

// find returns the summary of an operation.
func (r *Record) find(operation string) (Summary, bool) {
	if r.OperationID == operation {
		return r.Summary, true
	}
	for _, earlier := range r.Earlier {
		if earlier.OperationID == operation {
			return earlier, true
		}
	}
	return Summary{}, false
}

// Register reads and writes service documents.
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

// Text returns the text of one revision that is current or kept.
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

// Apply makes text the next revision if match is the current one; 0 creates the
// service. It tries until ctx ends and returns the accepted revision, or one of
// the errors above. With ErrConflict it returns the current revision.
func (r *Register) Apply(ctx context.Context, service, text, operation string, match uint64) (uint64, error) {
	doubtful := false
	for {
		revision, err := r.try(ctx, service, text, operation, match)
		if err == nil || errors.Is(err, ErrConflict) {
			return revision, err
		}
		doubtful = doubtful || errors.Is(err, keeper.ErrUnknownOutcome)
		select {
		case <-r.clock.After(retryPause):
		case <-ctx.Done():
			if doubtful {
				return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
			}
			return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
}

func (r *Register) try(ctx context.Context, service, text, operation string, match uint64) (uint64, error) {
	current, version, err := r.read(ctx, service)
	if errors.Is(err, keeper.ErrNotFound) {
		current = &Record{}
	} else if err != nil {
		return 0, err
	}
	if done, ok := current.find(operation); ok {
		return done.Revision, nil
	}
	if current.Revision != match {
		return current.Revision, fmt.Errorf("revision %d: %w", current.Revision, ErrConflict)
	}
	if err := r.keepText(ctx, service, current); err != nil {
		return 0, err
	}
	next := succeed(current, text, operation, r.clock.Now())
	value, err := json.Marshal(next)
	if err != nil {
		return 0, fmt.Errorf("encode record: %w", err)
	}
	if _, err := r.store.Swap(ctx, keeper.Swap{Key: Prefix + service, Value: value, Expected: version}); err != nil {
		return 0, fmt.Errorf("write record: %w", err)
	}
	r.trim(ctx, service, next.Revision)
	return next.Revision, nil
}

func succeed(current *Record, text, operation string, now time.Time) *Record {
	next := &Record{
		Summary: Summary{Revision: current.Revision + 1, OperationID: operation, AcceptedAt: now.UTC()},
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

// keepText stores the text of the current revision under the history.
func (r *Register) keepText(ctx context.Context, service string, current *Record) error {
	if current.Revision == 0 {
		return nil
	}
	_, err := r.store.Swap(ctx, keeper.Swap{Key: historyKey(service, current.Revision), Value: []byte(current.Text)})
	if err != nil && !errors.Is(err, keeper.ErrConflict) && !errors.Is(err, keeper.ErrUnknownOutcome) {
		return fmt.Errorf("keep text: %w", err)
	}
	return nil
}

// trim removes the text that has fallen out of the history. A failure leaves it
// in the store.
func (r *Register) trim(ctx context.Context, service string, revision uint64) {
	if revision <= HistoryLength+1 {
		return
	}
	if entry, err := r.store.Get(ctx, historyKey(service, revision-HistoryLength-1)); err == nil {
		_, _ = r.store.Swap(ctx, keeper.Swap{Key: entry.Key, Expected: entry.Version})
	}
}

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

// Parse reads the record in a store entry below Prefix.
func Parse(entry keeper.Entry) (*Record, error) {
	var record Record
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return nil, fmt.Errorf("decode record %s: %w", entry.Key, err)
	}
	return &record, nil
}

// ServiceOf returns the service of a key below Prefix.
func ServiceOf(key string) string { return strings.TrimPrefix(key, Prefix) }

func historyKey(service string, revision uint64) string {
	return fmt.Sprintf("%s%s/%d", historyPrefix, service, revision)
}
