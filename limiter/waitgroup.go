package limiter

import (
	"context"
	"fmt"
	"sync"
)

// WaitGroup counts running pieces of work and lets others wait until there are none.
// Unlike a sync.WaitGroup, its Wait ends with a context, and work may be added while
// others wait.
type WaitGroup struct {
	// mu guards the fields below.
	mu sync.Mutex
	// running is the number of pieces of work that were added and are not done.
	running int
	// idle is closed and replaced whenever running becomes zero.
	idle chan struct{}
}

// NewWaitGroup returns a WaitGroup without work.
func NewWaitGroup() *WaitGroup { return &WaitGroup{idle: make(chan struct{})} }

// Add counts one piece of work.
func (g *WaitGroup) Add() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running++
}

// Done ends one piece of work.
func (g *WaitGroup) Done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.running == 0 {
		close(g.idle)
		g.idle = make(chan struct{})
	}
}

// Wait returns nil once nothing is running, or an error if ctx ends first.
func (g *WaitGroup) Wait(ctx context.Context) error {
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
