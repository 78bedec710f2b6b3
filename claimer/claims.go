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
	// commitLimit bounds one commit with its retries after conflicts.
	commitLimit = 2 * time.Second
	// conflictPause is the wait before a commit is tried again.
	conflictPause = 5 * time.Millisecond
	// concludePause is the wait before conclusions are tried again.
	concludePause = 500 * time.Millisecond
)

// Claims takes claims on the keys of one service.
type Claims struct {
	options Options
	ranges  []*worker
	commits atomic.Uint64
	granted atomic.Uint64
}

// New returns the claims of a service for one holder. Close ends its goroutines.
func New(store keeper.Store, clock timekeeper.Clock, service string, holder Holder, options Options) *Claims {
	c := &Claims{options: options}
	for i := range options.Ranges {
		prefix := fmt.Sprintf("claims/%s/%d", service, i)
		c.ranges = append(c.ranges, newWorker(c, newRangeLog(store, prefix, options.Retention), clock, holder))
	}
	return c
}

// RangeOf returns the index of the range that holds a key, of n ranges.
func RangeOf(key string, n int) int { return int(xxh3.HashString(key) % uint64(n)) }

// Take proposes that attempt runs under the key. If the returned claim names the
// proposed attempt, the claim is committed and the attempt may run. Otherwise
// the returned claim is in force and the proposed attempt must not run. An error
// proves that the attempt was granted nothing.
func (c *Claims) Take(ctx context.Context, key, digest, attempt string) (Claim, error) {
	return c.worker(key).take(ctx, key, digest, attempt)
}

// RecordOutcome records how a granted attempt ended. It returns at once; the record
// is committed in the background and again until the store takes it.
func (c *Claims) RecordOutcome(key, attempt string, state State, answer []byte) {
	if len(answer) > c.options.MaxAnswerBytes {
		answer = nil
	}
	c.worker(key).conclude(attempt, state, answer)
}

// Await waits until the attempt that holds the key ends, if it is held by this
// process, and returns the claim in force.
func (c *Claims) Await(ctx context.Context, key, attempt string) (Claim, bool) {
	return c.worker(key).await(ctx, attempt)
}

// Commits returns the number of writes that the store confirmed.
func (c *Claims) Commits() uint64 { return c.commits.Load() }

// Granted returns the number of claims granted.
func (c *Claims) Granted() uint64 { return c.granted.Load() }

// Close ends the goroutines. Conclusions that are not committed are lost; their
// claims stay in state Claimed.
func (c *Claims) Close() {
	for _, w := range c.ranges {
		close(w.stop)
		<-w.stopped
	}
}

// Flush waits until all conclusions are committed or ctx ends.
func (c *Claims) Flush(ctx context.Context) error {
	for _, w := range c.ranges {
		if err := w.flush(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (c *Claims) worker(key string) *worker { return c.ranges[RangeOf(key, len(c.ranges))] }
