package router

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/routing/arbiter"
	"github.com/cyclamenward/cyclamenward/internal/routing/gauger"
	"github.com/cyclamenward/cyclamenward/limiter"
	"github.com/cyclamenward/cyclamenward/timekeeper"
)

const (
	// paceStep is the relative change of the pace by one answer: fifty answers in one
	// direction, a second or two of traffic, change it by a factor of two.
	paceStep = 0.014
	// minPace and maxPace bound the pace; no engines are a hundred times as fast or
	// slow as expected.
	minPace, maxPace = 0.1, 10
	// minPacePrefill is the shortest expected prefill time of an answer that changes
	// the pace. Below it most of the time to the first event is not prefill.
	minPacePrefill = 30 * time.Millisecond
)

// serviceState is what a router has measured of one service, and its retry budget.
type serviceState struct {
	name   string
	budget *limiter.WindowedBudget
	// pace holds the bits of a float64: how many times as long as
	// PrefillTokensPerSecond says replicas take for a prefill, at the median of recent
	// answers. Of concurrent updates one may be lost.
	pace atomic.Uint64
	// reportsLoad is set once a replica of the service has reported the load of its host.
	reportsLoad atomic.Bool
	// center is what answers of all replicas take beside what is expected.
	center gauger.Center
	// answerTimes holds how long plain servers of the service take.
	answerTimes answerTimes
	// arbiter decides which requests are sent when there is not room for all.
	arbiter *arbiter.Arbiter
}

func newServiceState(name string, budget *limiter.WindowedBudget, clock timekeeper.Clock) *serviceState {
	s := &serviceState{name: name, budget: budget, arbiter: arbiter.New(clock)}
	s.pace.Store(math.Float64bits(1))
	return s
}

// Pace returns the measured prefill time as a multiple of the expected one.
func (s *serviceState) Pace() float64 { return math.Float64frombits(s.pace.Load()) }

// updatePace moves the pace by one step, up if the first event took longer than
// expected and down otherwise. Equal steps converge to the median, so answers that were
// stuck in a queue or unexpectedly cached do not move it far.
func (s *serviceState) updatePace(prefillTime, expected, took time.Duration) {
	if prefillTime < minPacePrefill {
		return
	}
	step := 1 + paceStep
	if took < expected {
		step = 1 / step
	}
	s.pace.Store(math.Float64bits(min(maxPace, max(minPace, s.Pace()*step))))
}

// prefillDuration returns the time in which a replica of the service prefills the
// tokens, at the service's pace.
func (s *selection) prefillDuration(tokens int) time.Duration {
	tokensPerSecond := s.router.options.PrefillTokensPerSecond
	if s.engine != nil && s.engine.PrefillTokensPerSecond > 0 {
		tokensPerSecond = s.engine.PrefillTokensPerSecond
	}
	return time.Duration(float64(tokens) / tokensPerSecond * s.service.Pace() * float64(time.Second))
}

// prefillDurationAt returns the same for the replica of a choice, at this moment.
func (s *selection) prefillDurationAt(c *choice, tokens int) time.Duration {
	return scale(s.prefillDuration(tokens), c.slowness.Now)
}
