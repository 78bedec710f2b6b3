// Package prober measures what the parts of the system cost on one machine, at
// three or more sizes each, and works the cost out at the size that the system is
// designed for.
package prober

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// Point is one measurement.
type Point struct {
	// Size is what was varied.
	Size float64
	// Value is the cost at that size, in the unit of the probe.
	Value float64
}

// Series is one measured slope.
type Series struct {
	Name string
	// SizeUnit names what Size counts; ValueUnit names what Value counts.
	SizeUnit, ValueUnit string
	Points              []Point
}

// Fit returns the line of least squares through the points.
func (p Series) Fit() (slope, start float64) {
	var n, sx, sy, sxx, sxy float64
	for _, point := range p.Points {
		n++
		sx += point.Size
		sy += point.Value
		sxx += point.Size * point.Size
		sxy += point.Size * point.Value
	}
	spread := n*sxx - sx*sx
	if spread == 0 {
		return 0, sy / n
	}
	slope = (n*sxy - sx*sy) / spread
	return slope, (sy - slope*sx) / n
}

// CostAt returns the cost at a size by the fitted line.
func (p Series) CostAt(size float64) float64 {
	slope, start := p.Fit()
	return start + slope*size
}

// Print writes the points and the line.
func (p Series) Print(w io.Writer) {
	slope, start := p.Fit()
	var points []string
	for _, point := range p.Points {
		points = append(points, fmt.Sprintf("%.4g: %.4g", point.Size, point.Value))
	}
	_, _ = fmt.Fprintf(w, "| %s | %s | %s | %s | %.4g + %.4g per %s |\n", p.Name, p.SizeUnit, p.ValueUnit, strings.Join(points, "; "), start, slope, p.SizeUnit)
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// costOf returns the processor time of one call in microseconds, from as many
// calls as take about a fifth of a second.
func costOf(call func()) float64 {
	call()
	for calls := 1; ; calls *= 4 {
		began, used := time.Now(), processorTime()
		for range calls {
			call()
		}
		if time.Since(began) > 200*time.Millisecond {
			return float64((processorTime() - used).Nanoseconds()) / float64(calls) / 1000
		}
	}
}

// heapOf returns the bytes that what build returns keeps on the heap.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
