// Package gauger estimates how slow one replica is, as a multiple of what its service takes
// at the median.
package gauger

import (
	"math"
	"time"
)

const (
	// maxLogRatio bounds the logarithm of one answer's ratio, so that an answer that was stuck
	// in a queue or unexpectedly cached does not move the estimate far: a factor of two.
	maxLogRatio = math.Ln2
	// maxLogSlowness bounds the estimate: hosts are not ten times as fast or slow as others.
	maxLogSlowness = 2.3
	// priorAnswers is the weight of the service's median at the start of a replica, in answers.
	priorAnswers = 4
	// minGain and maxGain are the weights of an answer once many are known: the first if they
	// scatter around the estimate, the second if all of them lie on one side of it.
	minGain, maxGain = 0.03, 0.2
	// signalGain is the weight of an answer in what tells one from the other.
	signalGain = 0.15
	// maxCounted is how many answers count for the gain; beyond that minGain is larger.
	maxCounted = 1 << 10
	// forgetTime is the time without answers after which the estimate has lost most of its
	// distance from the service's median: a replica that is avoided for its speed shows only then
	// that it has recovered.
	forgetTime = 8 * time.Second
)

// Evidence sums up answers of one replica: how long they took, as multiples of what was
// expected. Sums of a sender only grow, so that a message that is lost loses nothing.
type Evidence struct {
	// Answers is the number of answers.
	Answers int64 `cbor:"1,keyasint,omitempty"`
	// LogMilli is the sum of the logarithms of their ratios, in thousandths, each within a
	// factor of two.
	LogMilli int64 `cbor:"2,keyasint,omitempty"`
}

// evidenceOf returns the evidence of one answer.
func evidenceOf(took, expected time.Duration) Evidence {
	logRatio := math.Log(float64(max(1, took)) / float64(max(1, expected)))
	return Evidence{Answers: 1, LogMilli: int64(1000 * min(maxLogRatio, max(-maxLogRatio, logRatio)))}
}

// Since returns what was added since an earlier sum. Of a sender that has started again, that is
// all.
func (e Evidence) Since(earlier Evidence) Evidence {
	if e.Answers < earlier.Answers {
		return e
	}
	return Evidence{Answers: e.Answers - earlier.Answers, LogMilli: e.LogMilli - earlier.LogMilli}
}

// estimate is a robust mean of the logarithm of a replica's slowness.
type estimate struct {
	logSlowness float64
	// answers counts up to maxCounted answers.
	answers int64
	// signal and scatter are moving averages of the deviations of answers from the estimate and
	// of their amounts. They are equal if all answers lie on one side.
	signal, scatter float64
	// answeredAt is when the last answer was added.
	answeredAt time.Time
}

// add adds answers whose ratios refer to expectations with the estimate.
func (e *estimate) add(evidence Evidence, now time.Time) {
	if evidence.Answers <= 0 {
		return
	}
	e.logSlowness = e.at(now)
	deviation := min(maxLogRatio, max(-maxLogRatio, float64(evidence.LogMilli)/1000/float64(evidence.Answers)))
	answers := min(maxCounted, evidence.Answers)
	n := float64(answers)
	weight := 1 - math.Pow(1-signalGain, n)
	e.signal += weight * (deviation - e.signal)
	e.scatter += weight * (math.Abs(deviation) - e.scatter)
	oneSided := 0.0
	if e.scatter > 0 {
		oneSided = min(1, math.Abs(e.signal)/e.scatter)
	}
	gain := max(minGain+(maxGain-minGain)*oneSided*oneSided, 1/float64(e.answers+priorAnswers))
	step := (1 - math.Pow(1-gain, n)) * deviation
	e.logSlowness = min(maxLogSlowness, max(-maxLogSlowness, e.logSlowness+step))
	e.answers, e.answeredAt = min(maxCounted, e.answers+answers), now
}

// at returns the logarithm of the slowness at a time: without answers it approaches the service's
// median.
func (e *estimate) at(now time.Time) float64 {
	if e.answeredAt.IsZero() {
		return e.logSlowness
	}
	return e.logSlowness * math.Exp(-float64(max(0, now.Sub(e.answeredAt)))/float64(forgetTime))
}
