// Package recorder holds the counters and latency histograms of a daemon and writes them
// as text.
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
	// maxRecordedTime is the longest time in a histogram; longer times are recorded as this.
	maxRecordedTime = time.Minute
	// significantDigits is the number of decimal digits that histograms keep of a time,
	// which is a precision of one in a hundred.
	significantDigits = 2
)

// Recorder holds a daemon's counters and histograms. Names are chosen by the code,
// never by requests, so their number is bounded. It is safe for concurrent use.
type Recorder struct {
	counters expvar.Map

	// mu guards histograms, their contents, and histogramNames.
	mu             sync.Mutex
	histograms     map[string]*hdrhistogram.Histogram
	histogramNames []string
}

// New returns an empty recorder.
func New() *Recorder {
	r := &Recorder{histograms: make(map[string]*hdrhistogram.Histogram)}
	r.counters.Init()
	return r
}

// Count increments a counter by one.
func (r *Recorder) Count(name string) { r.Add(name, 1) }

// Add adds n to a counter.
func (r *Recorder) Add(name string, n int) { r.counters.Add(name, int64(n)) }

// Observe records a duration in the named histogram.
func (r *Recorder) Observe(name string, duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, maxRecordedTime.Microseconds(), significantDigits)
		r.histograms[name] = h
		r.histogramNames = append(r.histogramNames, name)
	}
	// Histograms hold whole microseconds, from 1 to maxRecordedTime.
	_ = h.RecordValue(min(max(1, duration.Microseconds()), maxRecordedTime.Microseconds()))
}

// Counters returns the values of all counters by name.
func (r *Recorder) Counters() map[string]int64 {
	counters := make(map[string]int64)
	r.counters.Do(func(kv expvar.KeyValue) {
		if counter, ok := kv.Value.(*expvar.Int); ok {
			counters[kv.Key] = counter.Value()
		}
	})
	return counters
}

// Text returns all counters and histogram quantiles, one name and number per line. Times
// are in milliseconds.
func (r *Recorder) Text() []byte {
	var text []byte
	r.counters.Do(func(kv expvar.KeyValue) { text = fmt.Appendf(text, "%s %s\n", kv.Key, kv.Value) })
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range r.histogramNames {
		h := r.histograms[name]
		text = fmt.Appendf(text, "%s.count %d\n", name, h.TotalCount())
		for _, q := range []float64{50, 90, 99} {
			text = fmt.Appendf(text, "%s.p%.0f %.2f\n", name, q, float64(h.ValueAtQuantile(q))/1000)
		}
	}
	return text
}

// Handle answers an HTTP request with Text.
func (r *Recorder) Handle(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBody(r.Text())
}
