package gauger

import (
	"math"
	"time"
)

const (
	// loadMemory is the time scale of the mean of reported loads: several of the usual spells in
	// which other work slows a host.
	loadMemory = 4 * time.Second
	// minLoadSpacing is the shortest time between two reports that count: others are copies of
	// one report that came over two ways.
	minLoadSpacing = 20 * time.Millisecond
	// minLoad and maxLoad bound what a replica may report.
	minLoad, maxLoad = 0.2, 10
)

// loadTrack predicts how long work takes on a host from what its replica reports about moments.
// The last report counts by how well reports have foretold the next one; the rest is the mean.
type loadTrack struct {
	// last is the last report, at its time; 0 before the first.
	last float64
	at   time.Time
	// mean and variance are moving averages of the reports, change that of the squared difference
	// of two reports in a row and spacing that of the time between them, in seconds.
	mean, variance, change, spacing float64
}

// add adds a report about a moment.
func (l *loadTrack) add(value float64, at time.Time) {
	value = min(maxLoad, max(minLoad, value))
	if l.last == 0 {
		l.last, l.mean, l.at = value, value, at
		return
	}
	elapsed := at.Sub(l.at)
	if elapsed < minLoadSpacing {
		return
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(loadMemory))
	deviation := value - l.mean
	l.mean += weight * deviation
	l.variance += weight * (deviation*deviation - l.variance)
	l.change += weight * ((value-l.last)*(value-l.last) - l.change)
	if l.spacing == 0 {
		l.spacing = elapsed.Seconds()
	}
	l.spacing += weight * (elapsed.Seconds() - l.spacing)
	l.last, l.at = value, at
}

// expected returns the load to expect at a time: the mean of reports if these say nothing about
// the next one, as long as the last is not old.
func (l *loadTrack) expected(at time.Time) float64 {
	if l.last == 0 {
		return 1
	}
	age := max(0, at.Sub(l.at))
	return 1 + (l.mean+(l.last-l.mean)*l.persistence(age)-1)*math.Exp(-float64(age)/float64(loadMemory))
}

// lasting returns the mean load to expect over a longer time.
func (l *loadTrack) lasting(at time.Time) float64 {
	if l.last == 0 {
		return 1
	}
	return 1 + (l.mean-1)*math.Exp(-float64(max(0, at.Sub(l.at)))/float64(loadMemory))
}

// persistence returns how much of a deviation from the mean is left after a time.
func (l *loadTrack) persistence(age time.Duration) float64 {
	if l.variance <= 0 || l.spacing <= 0 {
		return 0
	}
	// The correlation of two reports in a row.
	correlation := min(1, max(0, 1-l.change/(2*l.variance)))
	return math.Pow(correlation, age.Seconds()/l.spacing)
}
