package soaker

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/checker"
	"github.com/cyclamenward/cyclamenward/internal/standin/generator"
	"github.com/cyclamenward/cyclamenward/internal/standin/launcher"
)

const (
	// largeBytes is the largest body that the configuration allows, uploads the number of callers
	// that send one at the same time, and uploadRounds how often.
	largeBytes            = 4 << 20
	uploads, uploadRounds = 48, 3
	// pollInterval is the interval at which a process is looked at.
	pollInterval = 2 * time.Millisecond
	// largeTimeout is the time for a large body with its answer.
	largeTimeout = 20 * time.Second
)

// limitMemory kills a process once it has more memory than its machine, as the platform does, until
// stop is closed. That is the end of a process by itself, so it excuses nothing.
func limitMemory(daemon *launcher.Daemon, stop <-chan struct{}) {
	for wait(stop, pollInterval) {
		if bytes, err := daemon.ResidentMemory(); err == nil && bytes > launcher.MemoryMB<<20 {
			daemon.RunOut()
		}
	}
}

// playMemory has callers send large bodies at the same time, beside small requests on kept
// connections, to an edge whose memory is limited.
func playMemory(d *deployment, quiet bool) error {
	var tasks sync.WaitGroup
	stop := make(chan struct{})
	tasks.Go(func() { limitMemory(d.edges[0], stop) })
	tasks.Go(func() { d.sendAll(24, 100, false, drawPlain) })
	callers := uploads
	if quiet {
		callers = 1
	}
	d.uploadAll(callers)
	close(stop)
	tasks.Wait()
	return nil
}

// playEndless has a model replica answer each call with bytes that have no end, beside requests that do
// not need it, to daemons whose memory is limited.
func playEndless(d *deployment, quiet bool) error {
	var tasks sync.WaitGroup
	stop := make(chan struct{})
	for _, daemon := range d.daemons() {
		tasks.Go(func() { limitMemory(daemon, stop) })
	}
	if !quiet {
		d.generators[0].SetTrouble(generator.Endless)
	}
	tasks.Go(func() { d.sendNamed("s", 4, 6, true, drawStream) })
	d.sendAll(24, 30, false, drawPlain)
	close(stop)
	tasks.Wait()
	return nil
}

// uploadAll has callers send large bodies.
func (d *deployment) uploadAll(callers int) {
	body := strings.Repeat("x", largeBytes)
	d.sendNamed("u", callers, uploadRounds, false, func(c *caller) (checker.Request, string) {
		request := checker.Request{Method: http.MethodPost, Path: "/book/x", Body: body, Service: plainService, Kind: checker.AtMostOnce, Timeout: largeTimeout, MaxAttempts: plainAttempts}
		return request, c.drawWorkspace(&request)
	})
}
