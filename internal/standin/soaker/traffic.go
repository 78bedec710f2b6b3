package soaker

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
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
	// keptShare is the share of requests that are sent on a connection that was used before.
	keptShare = 0.7
	// trafficStream tells the random numbers of the traffic from those of its kinds and visitors.
	trafficStream = 1 << 32
	// peekTime is how long a kept connection is looked at before it is used.
	peekTime = time.Millisecond
	// returnShare is the part of the time that is left which a refused caller waits at most.
	returnShare = 1.0 / 3
	// longEvents and shortEvents are the largest numbers of events of the two kinds of streams.
	longEvents, shortEvents = 150, 10
	// eventMs is the time between two events. In slowStreamOne of so many streams it is up to
	// maxSlowEventMs longer, as at a replica that is full.
	eventMs, slowStreamOne, maxSlowEventMs = 5, 12, 90
)

// kind is one kind of requests, which come at a rate whether or not earlier ones are answered.
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

// visitor is a caller with its connection to an edge.
type visitor struct {
	*caller
	edge       *launcher.Daemon
	connection net.Conn
	reader     *bufio.Reader
}

// traffic sends requests of several kinds to the edges that a load balancer has in rotation.
type traffic struct {
	deployment *deployment
	seed       uint64
	tasks      sync.WaitGroup
	stop       chan struct{}
	// percent is the rate of all kinds, as a share of what is usual.
	percent atomic.Int64

	// mu guards the fields below.
	mu sync.Mutex
	// random draws edges and connections.
	random *rand.Rand
	// visitors counts all visitors.
	visitors int
	// idle holds visitors whose connections are open.
	idle []*visitor
	// missed counts the probes in a row that each edge has not answered with success.
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
	for _, v := range t.idle {
		_ = v.connection.Close()
	}
}

// probe keeps the number of an edge's missed probes.
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

// request sends one request. A caller that is refused, or that gets no answer to what may be repeated,
// sends it anew once on a new connection.
func (t *traffic) request(k kind) {
	v := t.pick()
	if v == nil {
		return
	}
	request, key := k.draw(v.caller)
	began := time.Now()
	answer := t.send(v, request, key)
	refused := answer.Status == http.StatusTooManyRequests || answer.Status == http.StatusServiceUnavailable
	failed := answer.Status == 0 || answer.Status >= http.StatusInternalServerError
	if answer.Abandoned || !refused && (!failed || request.Kind == checker.AtMostOnce) {
		return
	}
	left := request.Timeout - time.Since(began)
	if !wait(t.stop, min(answer.RetryAfter, time.Duration(returnShare*float64(left)))) {
		return
	}
	if request.Timeout -= time.Since(began); request.Timeout <= 0 {
		return
	}
	if again := t.connect(); again != nil {
		t.send(again, request, key)
	}
}

// send sends one request, and keeps the visitor if its connection stays open.
func (t *traffic) send(v *visitor, request checker.Request, key string) checker.Answer {
	answer, open := v.exchange(v.edge, v.connection, v.reader, request, key)
	if !open {
		_ = v.connection.Close()
		return answer
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle = append(t.idle, v)
	return answer
}

// pick returns a visitor, mostly one whose connection was used before; nil if there is no edge.
func (t *traffic) pick() *visitor {
	for {
		v := t.takeIdle()
		if v == nil {
			return t.connect()
		}
		if v.isOpen() {
			return v
		}
		_ = v.connection.Close()
	}
}

// takeIdle mostly returns one of the idle visitors, nil if there is none.
func (t *traffic) takeIdle() *visitor {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.idle)
	if n == 0 || t.random.Float64() >= keptShare {
		return nil
	}
	i := t.random.IntN(n)
	v := t.idle[i]
	t.idle[i] = t.idle[n-1]
	t.idle = t.idle[:n-1]
	return v
}

// isOpen reports whether the edge has not closed the connection.
func (v *visitor) isOpen() bool {
	_ = v.connection.SetReadDeadline(time.Now().Add(peekTime))
	_, err := v.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// connect returns a visitor with a new connection to an edge in rotation, or to any if fewer than half
// of them are; nil if there is none within the time of a caller.
func (t *traffic) connect() *visitor {
	for end := time.Now().Add(dialTimeout); time.Now().Before(end); {
		t.mu.Lock()
		var rotation []*launcher.Daemon
		for _, edge := range t.deployment.edges {
			if t.missed[edge] < missedProbes {
				rotation = append(rotation, edge)
			}
		}
		if 2*len(rotation) < len(t.deployment.edges) {
			rotation = t.deployment.edges
		}
		edge := rotation[t.random.IntN(len(rotation))]
		t.visitors++
		n := t.visitors
		t.mu.Unlock()
		connection, err := net.DialTimeout("tcp", edge.Front(), dialTimeout)
		if err == nil {
			c := &caller{deployment: t.deployment, name: fmt.Sprintf("t%d", n), random: rand.New(rand.NewPCG(t.seed, uint64(n)))}
			return &visitor{caller: c, edge: edge, connection: connection, reader: bufio.NewReader(connection)}
		}
		if !wait(t.stop, dialPause) {
			return nil
		}
	}
	return nil
}
