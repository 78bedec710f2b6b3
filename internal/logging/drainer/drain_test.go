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

// blocked is an output that takes nothing until it is opened.
type blocked struct {
	open chan struct{}

	mu   sync.Mutex
	text bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// TestBlockedOutputDelaysNobody writes far more lines than are queued to an output
// that is blocked. The writer never waits, and what does not fit is counted.
func TestBlockedOutputDelaysNobody(t *testing.T) {
	out := &blocked{open: make(chan struct{})}
	d := drainer.New(out, timekeeper.System{})
	const lines = 20_000
	for range lines {
		_, err := d.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	dropped := d.Dropped()
	assert.Assert(t, dropped > 0 && dropped < lines)
	close(out.open)
	d.Close()
	assert.Equal(t, int64(strings.Count(out.text.String(), "line\n")), lines-dropped)
}

// BenchmarkWrite is one line.
func BenchmarkWrite(b *testing.B) {
	d := drainer.New(&bytes.Buffer{}, timekeeper.System{})
	defer d.Close()
	line := []byte(strings.Repeat("x", 300))
	for b.Loop() {
		_, _ = d.Write(line)
	}
}
