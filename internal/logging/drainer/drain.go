// Package drainer writes logs without ever making a request wait for them.
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
	// queueLines bounds the lines that wait; a line has some 300 bytes.
	queueLines = 4096
	// reportPeriod is how often dropped lines are reported.
	reportPeriod = time.Second
)

// AsyncWriter is an io.Writer that queues lines for another. Lines are dropped and
// counted while the queue is full. It is safe for concurrent use.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// New starts a drainer for the writer.
func New(out io.Writer, clock timekeeper.Clock) *AsyncWriter {
	d := &AsyncWriter{lines: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(d.done)
		buffered := bufio.NewWriterSize(out, 16<<10)
		// A failing standard output can be reported only on itself.
		defer func() { _ = buffered.Flush() }()
		report := clock.After(reportPeriod)
		for {
			select {
			case line := <-d.lines:
				_, _ = buffered.Write(line)
				if len(d.lines) == 0 {
					_ = buffered.Flush()
				}
			case <-report:
				if n := d.dropped.Swap(0); n > 0 {
					_, _ = fmt.Fprintf(buffered, "{\"level\":\"warn\",\"msg\":\"log: lines dropped.\",\"lines\":%d}\n", n)
				}
				report = clock.After(reportPeriod)
			case <-d.stop:
				for len(d.lines) > 0 {
					_, _ = buffered.Write(<-d.lines)
				}
				return
			}
		}
	}()
	return d
}

// Write implements io.Writer. It never waits.
func (d *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case d.lines <- append([]byte(nil), line...):
	default:
		d.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the lines that were dropped and not reported yet.
func (d *AsyncWriter) Dropped() int64 { return d.dropped.Load() }

// Close writes what is queued and ends the drainer.
func (d *AsyncWriter) Close() {
	close(d.stop)
	<-d.done
}
