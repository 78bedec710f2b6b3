package drainer_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/cyclamenward/cyclamenward/internal/logging/drainer"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

// blockedWriter is a writer that blocks until open is closed.
type blockedWriter struct {
	open chan struct{}

	mu   sync.Mutex
	text bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// TestWriteDoesNotWaitForBlockedOutput writes far more lines than the queue holds while
// the output blocks. Write must not wait for the output, and dropped lines must be counted.
func TestWriteDoesNotWaitForBlockedOutput(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	w := drainer.New(out, timekeeper.System{})
	const lines = 20_000
	for range lines {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	dropped := w.Dropped()
	assert.Assert(t, dropped > 0 && dropped < lines)
	close(out.open)
	w.Close()
	assert.Equal(t, int64(strings.Count(out.text.String(), "line\n")), lines-dropped)
}

// BenchmarkWrite measures writing one line of 300 bytes.
func BenchmarkWrite(b *testing.B) {
	w := drainer.New(&bytes.Buffer{}, timekeeper.System{})
	defer w.Close()
	line := []byte(strings.Repeat("x", 300))
	for b.Loop() {
		_, _ = w.Write(line)
	}
}
