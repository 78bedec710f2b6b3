package router

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cyclamenward/cyclamenward/limiter"
)

const (
	// paceStep is by how much one answer moves the pace: fifty answers, a second or
	// two of traffic, move it by a factor of two.
	paceStep = 0.014
	// paceLeast and paceMost bound the pace; engines that are a hundred times as
	// fast or slow as expected are not met.
	paceLeast, paceMost = 0.1, 10
	// paceReading is the least expected time of reading that an answer must have to
	// count; below it other times are most of it.
	paceReading = 30 * time.Millisecond
)

// service is what a router has observed of one service.
type service struct {
	name   string
	budget *limiter.Window
	// pace holds the bits of a float64: how many times as long as the options say
	// replicas take to read prompts, at the median of recent answers. Of racing
	// updates one may be lost.
	pace atomic.Uint64
}

func newService(name string, budget *limiter.Window) *service {
	s := &service{name: name, budget: budget}
	s.pace.Store(math.Float64bits(1))
	return s
}

// Pace returns how many times as long as expected reading takes.
func (s *service) Pace() float64 { return math.Float64frombits(s.pace.Load()) }

// observe compares the time to a first event with what was expected. Steps of one
// size up and down lead to the median, which answers that were lost in a queue or
// found unexpectedly cached do not move far.
func (s *service) observe(reading, expected, took time.Duration) {
	if reading < paceReading {
		return
	}
	step := 1 + paceStep
	if took < expected {
		step = 1 / step
	}
	s.pace.Store(math.Float64bits(min(paceMost, max(paceLeast, s.Pace()*step))))
}

// tokensTime is the time in which a replica of the service reads prompt tokens.
func (s *survey) tokensTime(tokens int) time.Duration {
	speed := s.router.options.PrefillTokensPerSecond
	if s.engine != nil && s.engine.PrefillTokensPerSecond > 0 {
		speed = s.engine.PrefillTokensPerSecond
	}
	return time.Duration(float64(tokens) / speed * s.service.Pace() * float64(time.Second))
}
