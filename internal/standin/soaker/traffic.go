package soaker

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/checker"
	"github.com/cyclamenward/cyclamenward/internal/standin/generator"
	"github.com/cyclamenward/cyclamenward/internal/standin/launcher"
	"github.com/cyclamenward/cyclamenward/internal/standin/worker"
)

const (
	// probeInterval is the interval of the load balancer's probes. missedProbes of them in a row take
	// an edge out of rotation.
	probeInterval, missedProbes = time.Second, 2
	// keptShare is the share of requests that reuse an idle connection.
	keptShare = 0.7
	// trafficStream selects the random numbers that draw edges and connections.
	trafficStream = 1 << 32
	// peekTime bounds the check that an idle connection is still open.
	peekTime = time.Millisecond
	// maxRetryWait is the part of the remaining time that a caller waits before a retry at most.
	maxRetryWait = 1.0 / 3
	// longEvents and shortEvents are the largest numbers of events of the two kinds of streams.
	longEvents, shortEvents = 150, 10
	// eventMs is the interval between two events. In one of slowStreamOne streams it is up to
	// maxSlowEventMs longer, as at a full replica.
	eventMs, slowStreamOne, maxSlowEventMs = 5, 12, 90
)

// kind is one kind of requests, which arrive at a rate whether or not earlier ones are answered.
type kind struct {
	perSecond float64
	draw      func(c *caller) (checker.Request, string)
}

// standardKinds are the kinds of requests of the users' sheets, with their rates.
var standardKinds = []kind{{22, drawLong}, {90, drawShort}, {28, drawBooking}, {11, drawLookup}}

// drawLong draws a request for a stream that may not be resumed.
func drawLong(c *caller) (checker.Request, string) {
	events := 1 + c.random.IntN(longEvents)
	return c.drawSized("once", events, checker.Request{Kind: checker.AtMostOnce, Timeout: streamTimeout, MaxAttempts: onceAttempts})
}

// drawShort draws a request for a stream that may be resumed.
func drawShort(c *caller) (checker.Request, string) {
	events := 1 + c.random.IntN(shortEvents)
	return c.drawSized("chat", events, checker.Request{Kind: checker.Resumable, Timeout: c.deployment.options.Routes.chatTimeout, MaxAttempts: streamAttempts})
}

// drawSized completes a request for a stream with a number of events.
func (c *caller) drawSized(route string, events int, request checker.Request) (checker.Request, string) {
	request.Method, request.Service, request.Body, request.Events = http.MethodPost, modelService, "reconcile heat 3", events
	interval := eventMs
	if c.random.IntN(slowStreamOne) == 0 {
		interval += c.random.IntN(maxSlowEventMs)
	}
	request.Path = fmt.Sprintf("/%s/x?%s=%d&%s=%d&%s=%d", route, generator.EventsParameter, events, generator.IntervalParameter, interval, generator.ReadParameter, 20+c.random.IntN(150))
	request.Prompt = fmt.Sprintf("5c1e07a%d:400,91bd3f%02x:200", c.random.IntN(promptSubjects), c.random.IntN(256))
	return request, c.drawWorkspace(&request)
}

// drawBooking draws a request to the plain service that may run once.
func drawBooking(c *caller) (checker.Request, string) {
	return c.drawDesk(checker.Request{Method: http.MethodPost, Path: "/book/x", Body: strings.Repeat("crate\x00\r\n", c.random.IntN(200)), Kind: checker.AtMostOnce, MaxAttempts: c.deployment.options.Routes.bookAttempts})
}

// drawLookup draws a request to the plain service that may be repeated.
func drawLookup(c *caller) (checker.Request, string) {
	return c.drawDesk(checker.Request{Method: http.MethodGet, Path: "/look/x", Kind: checker.Repeatable, MaxAttempts: c.deployment.options.Routes.lookAttempts})
}

// drawDesk completes a request to the plain service.
func (c *caller) drawDesk(request checker.Request) (checker.Request, string) {
	request.Service, request.Timeout = plainService, c.deployment.options.Routes.plainTimeout
	if c.random.IntN(100) == 0 {
		request.Path += fmt.Sprintf("?%s=%d", worker.WorkParameter, c.random.IntN(100))
	}
	return request, c.drawWorkspace(&request)
}

// traffic sends requests of several kinds to the edges that a load balancer has in rotation, in an
// open loop.
type traffic struct {
	deployment *deployment
	seed       uint64
	tasks      sync.WaitGroup
	stop       chan struct{}
	// percent is the request rate of all kinds in percent of the nominal one.
	percent atomic.Int64

	// mu guards the fields below.
	mu sync.Mutex
	// random draws edges and connections.
	random *rand.Rand
	// callers counts the callers, one for each connection.
	callers int
	// idle holds the idle connections.
	idle []*callerConn
	// missed counts the consecutive probes that each edge has failed.
	missed map[*launcher.Daemon]int
}

// startTraffic starts requests of some kinds. They end with stop.
func (d *deployment) startTraffic(kinds []kind, seed uint64) *traffic {
	t := &traffic{deployment: d, seed: seed, stop: make(chan struct{}), random: rand.New(rand.NewPCG(seed, trafficStream)), missed: make(map[*launcher.Daemon]int)}
	t.percent.Store(100)
	for _, edge := range d.edges {
		t.tasks.Go(func() { t.probe(edge) })
	}
	for i, k := range kinds {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		t.tasks.Go(func() {
			for wait(t.stop, time.Duration(random.ExpFloat64()/k.perSecond*100/float64(t.percent.Load())*float64(time.Second))) {
				t.tasks.Go(func() { t.request(k) })
			}
		})
	}
	return t
}

// close ends the requests and waits until those under way are answered.
func (t *traffic) close() {
	close(t.stop)
	t.tasks.Wait()
	for _, conn := range t.idle {
		_ = conn.Close()
	}
}

// probe counts the consecutive probes that an edge has failed.
func (t *traffic) probe(edge *launcher.Daemon) {
	for wait(t.stop, probeInterval) {
		ready := edge.Ready()
		t.mu.Lock()
		t.missed[edge]++
		if ready {
			t.missed[edge] = 0
		}
		t.mu.Unlock()
	}
}

// request sends one request. A request that is refused, or that may be repeated and fails, is retried
// once on a new connection.
func (t *traffic) request(k kind) {
	conn := t.pick()
	if conn == nil {
		return
	}
	request, key := k.draw(conn.caller)
	began := time.Now()
	answer := t.send(conn, request, key)
	refused := answer.Status == http.StatusTooManyRequests || answer.Status == http.StatusServiceUnavailable
	failed := answer.Status == 0 || answer.Status >= http.StatusInternalServerError
	if answer.Abandoned || !refused && (!failed || request.Kind == checker.AtMostOnce) {
		return
	}
	left := request.Timeout - time.Since(began)
	if !wait(t.stop, min(answer.RetryAfter, time.Duration(maxRetryWait*float64(left)))) {
		return
	}
	if request.Timeout -= time.Since(began); request.Timeout <= 0 {
		return
	}
	if conn := t.connect(); conn != nil {
		t.send(conn, request, key)
	}
}

// send sends one request, and keeps the connection if it stays open.
func (t *traffic) send(conn *callerConn, request checker.Request, key string) checker.Answer {
	answer, open := conn.exchange(request, key)
	if !open {
		_ = conn.Close()
		return answer
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle = append(t.idle, conn)
	return answer
}

// pick returns an idle connection for keptShare of the requests, else a new one; nil if no edge accepts.
func (t *traffic) pick() *callerConn {
	for {
		conn := t.takeIdle()
		if conn == nil {
			return t.connect()
		}
		if conn.isOpen() {
			return conn
		}
		_ = conn.Close()
	}
}

// takeIdle returns an idle connection, or nil if there is none or a new one is to be opened.
func (t *traffic) takeIdle() *callerConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.idle)
	if n == 0 || t.random.Float64() >= keptShare {
		return nil
	}
	i := t.random.IntN(n)
	conn := t.idle[i]
	t.idle[i] = t.idle[n-1]
	t.idle = t.idle[:n-1]
	return conn
}

// isOpen reports whether the edge has not closed the connection.
func (conn *callerConn) isOpen() bool {
	_ = conn.SetReadDeadline(time.Now().Add(peekTime))
	_, err := conn.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// connect returns a connection of a new caller to an edge in rotation; nil if none accepts within
// dialTimeout.
func (t *traffic) connect() *callerConn {
	for end := time.Now().Add(dialTimeout); time.Now().Before(end); {
		c, edge := t.draw()
		if conn, err := c.connect(edge); err == nil {
			return conn
		}
		if !wait(t.stop, dialPause) {
			return nil
		}
	}
	return nil
}

// draw returns a new caller and an edge in rotation, or any edge if fewer than half of them are.
func (t *traffic) draw() (*caller, *launcher.Daemon) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rotation []*launcher.Daemon
	for _, edge := range t.deployment.edges {
		if t.missed[edge] < missedProbes {
			rotation = append(rotation, edge)
		}
	}
	if 2*len(rotation) < len(t.deployment.edges) {
		rotation = t.deployment.edges
	}
	t.callers++
	c := &caller{deployment: t.deployment, name: fmt.Sprintf("t%d", t.callers), random: rand.New(rand.NewPCG(t.seed, uint64(t.callers)))}
	return c, rotation[t.random.IntN(len(rotation))]
}
