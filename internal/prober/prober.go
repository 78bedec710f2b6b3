// Package prober measures what the parts of the system cost on one machine, at
// three or more sizes each, fits a line, and extrapolates to the size that the system
// is designed for.
package prober

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// Point is the measured cost at one size.
type Point struct {
	// Size is the amount that was varied, in the series' SizeUnit.
	Size float64
	// Value is the cost at that size, in the series' ValueUnit.
	Value float64
}

// Series holds the cost of one part of the system, measured at several sizes.
type Series struct {
	Name string
	// SizeUnit is the unit of the points' sizes, ValueUnit that of their values.
	SizeUnit, ValueUnit string
	Points              []Point
}

// Fit returns the least-squares line through the points.
func (s Series) Fit() (slope, intercept float64) {
	var n, sx, sy, sxx, sxy float64
	for _, point := range s.Points {
		n++
		sx += point.Size
		sy += point.Value
		sxx += point.Size * point.Size
		sxy += point.Size * point.Value
	}
	denominator := n*sxx - sx*sx
	if denominator == 0 {
		return 0, sy / n
	}
	slope = (n*sxy - sx*sy) / denominator
	return slope, (sy - slope*sx) / n
}

// CostAt returns the cost at a size according to the fitted line.
func (s Series) CostAt(size float64) float64 {
	slope, intercept := s.Fit()
	return intercept + slope*size
}

// Print writes the points and the fitted line as one row of a Markdown table.
func (s Series) Print(w io.Writer) {
	slope, intercept := s.Fit()
	var points []string
	for _, point := range s.Points {
		points = append(points, fmt.Sprintf("%.4g: %.4g", point.Size, point.Value))
	}
	_, _ = fmt.Fprintf(w, "| %s | %s | %s | %s | %.4g + %.4g per %s |\n", s.Name, s.SizeUnit, s.ValueUnit, strings.Join(points, "; "), intercept, slope, s.SizeUnit)
}

// processorTime returns the processor time that this process has used, or 0 if it
// cannot be read.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// microsecondsPerCall returns the processor time of one call in microseconds. After a
// warm-up call it repeats the call often enough to take at least 200 ms.
func microsecondsPerCall(call func()) float64 {
	call()
	for calls := 1; ; calls *= 4 {
		started, used := time.Now(), processorTime()
		for range calls {
			call()
		}
		if time.Since(started) > 200*time.Millisecond {
			return float64((processorTime() - used).Nanoseconds()) / float64(calls) / 1000
		}
	}
}

// heapBytes returns the number of heap bytes that the value returned by build keeps in
// use.
func heapBytes(build func() any) float64 {
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
