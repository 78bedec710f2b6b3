// Package drainer writes logs in the background, so that no request waits for the log.
package drainer

import (
	"bufio"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
)

const (
	// maxQueuedLines bounds the lines that wait to be written; a line has some 300 bytes.
	maxQueuedLines = 4096
	// dropReportInterval is how often the number of dropped lines is logged.
	dropReportInterval = time.Second
)

// AsyncWriter is an io.Writer that queues lines and writes them to another writer in the
// background. While the queue is full, lines are dropped and counted. It is safe for
// concurrent use.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// New returns an AsyncWriter that writes to out until Close is called.
func New(out io.Writer, clock timekeeper.Clock) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		buffered := bufio.NewWriterSize(out, 16<<10)
		// Errors are ignored, since out is the log in which they would be reported.
		defer func() { _ = buffered.Flush() }()
		report := clock.After(dropReportInterval)
		for {
			select {
			case line := <-w.lines:
				_, _ = buffered.Write(line)
				if len(w.lines) == 0 {
					_ = buffered.Flush()
				}
			case <-report:
				if n := w.dropped.Swap(0); n > 0 {
					_, _ = fmt.Fprintf(buffered, "{\"level\":\"warn\",\"msg\":\"log: lines dropped.\",\"lines\":%d}\n", n)
				}
				report = clock.After(dropReportInterval)
			case <-w.stop:
				for len(w.lines) > 0 {
					_, _ = buffered.Write(<-w.lines)
				}
				return
			}
		}
	}()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the last report in the log.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the background writing.
func (w *AsyncWriter) Close() {
	close(w.stop)
	<-w.done
}
