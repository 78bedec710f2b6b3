// Package recorder counts what a daemon does and how long it takes, and gives all of
// it out as text.
package recorder

import (
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

const (
	// longest is the longest time that a histogram tells apart.
	longest = time.Minute
	// digits is the precision of histograms: one in a hundred.
	digits = 2
)

// Recorder holds a daemon's counters and histograms. Names are chosen by the code,
// never by requests, so their number is bounded. It is safe for concurrent use.
type Recorder struct {
	counters expvar.Map

	// mu guards histograms and what they hold.
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
	names      []string
}

// New returns a recorder that has seen nothing.
func New() *Recorder {
	r := &Recorder{histograms: make(map[string]*hdrhistogram.Histogram)}
	r.counters.Init()
	return r
}

// Count adds one to a counter.
func (r *Recorder) Count(name string) { r.counters.Add(name, 1) }

// Observe records a time.
func (r *Recorder) Observe(name string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, longest.Microseconds(), digits)
		r.histograms[name] = h
		r.names = append(r.names, name)
	}
	// Times beyond the longest count as the longest.
	_ = h.RecordValue(min(max(1, took.Microseconds()), longest.Microseconds()))
}

// Counters returns all counters.
func (r *Recorder) Counters() map[string]int64 {
	counters := make(map[string]int64)
	r.counters.Do(func(kv expvar.KeyValue) {
		if counter, ok := kv.Value.(*expvar.Int); ok {
			counters[kv.Key] = counter.Value()
		}
	})
	return counters
}

// Text returns all that was recorded: a name and a number a line, times in
// milliseconds.
func (r *Recorder) Text() []byte {
	var text []byte
	r.counters.Do(func(kv expvar.KeyValue) { text = fmt.Appendf(text, "%s %s\n", kv.Key, kv.Value) })
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range r.names {
		h := r.histograms[name]
		text = fmt.Appendf(text, "%s.count %d\n", name, h.TotalCount())
		for _, q := range []float64{50, 90, 99} {
			text = fmt.Appendf(text, "%s.p%.0f %.2f\n", name, q, float64(h.ValueAtQuantile(q))/1000)
		}
	}
	return text
}

// Handle answers a request with Text.
func (r *Recorder) Handle(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBody(r.Text())
}
