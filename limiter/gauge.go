package limiter

import (
	"context"
	"fmt"
	"sync"
)

// Gauge counts running work and lets others wait until there is none. Work may
// be added while others wait.
type Gauge struct {
	// mu guards the fields below.
	mu      sync.Mutex
	running int
	// idle is closed and replaced whenever running becomes zero.
	idle chan struct{}
}

// NewGauge returns a gauge at zero.
func NewGauge() *Gauge { return &Gauge{idle: make(chan struct{})} }

// Add counts one piece of work.
func (g *Gauge) Add() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running++
}

// Done ends one piece of work.
func (g *Gauge) Done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.running == 0 {
		close(g.idle)
		g.idle = make(chan struct{})
	}
}

// Wait returns once nothing is running, or ctx ends.
func (g *Gauge) Wait(ctx context.Context) error {
	for {
		g.mu.Lock()
		running, idle := g.running, g.idle
		g.mu.Unlock()
		if running == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return fmt.Errorf("%d still running: %w", running, ctx.Err())
		}
	}
}
