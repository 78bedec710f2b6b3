package claimer

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cyclamenward/cyclamenward/keeper"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/zeebo/xxh3"
)

const (
	// commitTimeout bounds one commit including its retries.
	commitTimeout = 2 * time.Second
	// conflictRetryInterval is the wait between two tries of one commit, after a
	// conflict with another writer or a lost reply.
	conflictRetryInterval = 5 * time.Millisecond
	// failureRetryInterval is the wait after a commit that failed, before the
	// outcomes that it left uncommitted are tried again.
	failureRetryInterval = 500 * time.Millisecond
)

// Claims takes claims on the idempotency keys of one service for one holder.
type Claims struct {
	options Options
	// workers holds one worker per range.
	workers []*worker
	// commits counts the writes that the store confirmed.
	commits atomic.Uint64
	// granted counts the claims granted to attempts of this process.
	granted atomic.Uint64
}

// New returns the claims of a service for one holder. Close ends its goroutines.
func New(store keeper.Store, clock timekeeper.Clock, service string, holder Holder, options Options) *Claims {
	c := &Claims{options: options}
	for i := range options.Ranges {
		prefix := fmt.Sprintf("claims/%s/%d", service, i)
		c.workers = append(c.workers, newWorker(c, newRangeLog(store, prefix, options.Retention), clock, holder))
	}
	return c
}

// RangeOf returns the index of the range that holds a key, of n ranges.
func RangeOf(key string, n int) int { return int(xxh3.HashString(key) % uint64(n)) }

// Take proposes that attempt runs under the key. If the returned claim names the
// proposed attempt, the claim is committed and the attempt may run. Otherwise
// the returned claim is in force and the proposed attempt must not run. After an
// error the proposed attempt holds no claim and must not run either.
func (c *Claims) Take(ctx context.Context, key, digest, attempt string) (Claim, error) {
	return c.worker(key).take(ctx, key, digest, attempt)
}

// RecordOutcome records how a granted attempt ended. It returns at once; the record
// is committed in the background and retried until the store confirms it. An answer
// above Options.MaxAnswerBytes is left out.
func (c *Claims) RecordOutcome(key, attempt string, state State, answer []byte) {
	if len(answer) > c.options.MaxAnswerBytes {
		answer = nil
	}
	c.worker(key).recordOutcome(attempt, state, answer)
}

// Await waits until the given attempt ends and returns its claim. It returns false
// if this process does not hold the claim of the attempt, or if ctx ends first.
func (c *Claims) Await(ctx context.Context, key, attempt string) (Claim, bool) {
	return c.worker(key).await(ctx, attempt)
}

// Commits returns the number of writes that the store confirmed.
func (c *Claims) Commits() uint64 { return c.commits.Load() }

// Granted returns the number of claims granted.
func (c *Claims) Granted() uint64 { return c.granted.Load() }

// Close ends the goroutines. Outcomes that are not committed are lost; their
// claims stay in state Claimed.
func (c *Claims) Close() {
	for _, w := range c.workers {
		close(w.stop)
		<-w.stopped
	}
}

// Flush waits until all recorded outcomes are committed or ctx ends.
func (c *Claims) Flush(ctx context.Context) error {
	for _, w := range c.workers {
		if err := w.flush(ctx); err != nil {
			return err
		}
	}
	return nil
}

// worker returns the worker of the range that holds the key.
func (c *Claims) worker(key string) *worker { return c.workers[RangeOf(key, len(c.workers))] }
