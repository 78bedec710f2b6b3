package soaker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/bookingapp"
	"github.com/cyclamenward/cyclamenward/internal/standin/checker"
	"github.com/cyclamenward/cyclamenward/internal/standin/driver"
	"github.com/cyclamenward/cyclamenward/internal/standin/fleet"
	"github.com/cyclamenward/cyclamenward/internal/standin/keyvalue"
	"github.com/cyclamenward/cyclamenward/internal/standin/modelengine"
)

const (
	productEntries, productEngines, productApps = 3, 3, 3
	productCallers, productStreamCallers        = 8, 4
	// productTokens is the number of tokens of a stream.
	productTokens        = 40
	productTokenInterval = 20 * time.Millisecond
	productLoadTime      = 200 * time.Millisecond
	productTimeout       = 10 * time.Second
)

// ProductOptions say what to play on the product's own interface.
type ProductOptions struct {
	Seed uint64
	Time time.Duration
	// Folder holds the logs. ProductPath and StandinPath are the paths of the two programs.
	Folder, ProductPath, StandinPath string
	Out                              io.Writer
}

// product plays drawn faults on the product's own daemons.
type product struct {
	fleet   *fleet.Fleet
	history *checker.History
	random  *rand.Rand
	out     io.Writer
	stop    chan struct{}
	tasks   sync.WaitGroup
	// busy holds a lock for each process, which a fault of it holds until it has ended.
	busy map[string]*sync.Mutex

	// mu guards versions.
	mu       sync.Mutex
	versions []string
}

// PlayProduct plays one seed on the product's own interface and returns the broken promises.
func PlayProduct(options ProductOptions) ([]string, error) {
	bounds := checker.DefaultBounds()
	f, err := fleet.Start(fleet.Options{
		ProductPath: options.ProductPath, StandinPath: options.StandinPath, Directory: options.Folder, Entries: productEntries, Engines: productEngines, Apps: productApps,
		TokenInterval: productTokenInterval, LoadTime: productLoadTime, DrainTimeout: bounds.Grace,
	})
	if err != nil {
		return nil, fmt.Errorf("start fleet: %w", err)
	}
	defer f.Stop()
	p := &product{fleet: f, history: checker.New(bounds), random: rand.New(rand.NewPCG(options.Seed, 0)), out: options.Out, stop: make(chan struct{}), busy: make(map[string]*sync.Mutex), versions: []string{"v1"}}
	_, _ = fmt.Fprintf(p.out, "seed %d, the product's own interface\n", options.Seed)
	p.callers(options.Seed)
	p.disturb(options.Time)
	close(p.stop)
	p.tasks.Wait()
	if err := p.recordBookings(); err != nil {
		return nil, err
	}
	summary := p.history.Summary()
	broken := p.history.Check()
	if summary.Answered < summary.Requests/leastAnsweredInMany {
		broken = append(broken, fmt.Sprintf("SERVED: %d of %d requests are answered", summary.Answered, summary.Requests))
	}
	summarize(p.out, summary)
	return broken, nil
}

// callers starts the callers: of the booking app, and of streams.
func (p *product) callers(seed uint64) {
	for n := range productCallers + productStreamCallers {
		random, c := rand.New(rand.NewPCG(seed, uint64(n+1))), driver.New(fleet.MeetsKey, n%2 == 0)
		p.tasks.Go(func() {
			for i := 0; wait(p.stop, time.Duration(random.IntN(maxThinkMs))*time.Millisecond); i++ {
				entry, id := fmt.Sprintf("entry-%d", random.IntN(productEntries)), fmt.Sprintf("c%02d-%d", n, i)
				if n < productCallers {
					p.book(c, entry, id, random.IntN(2) == 0)
				} else {
					p.stream(c, entry, id)
				}
			}
		})
	}
}

// send records that a request is sent.
func (p *product) send(entry, id string, kind checker.Kind, events int) (answer checker.Answer) {
	p.history.Send(checker.Request{ID: id, Machine: entry, Kind: kind, Events: events, Timeout: productTimeout, SentAt: time.Now()})
	return checker.Answer{ID: id}
}

// traced returns the context of a request, and a function that returns when its last byte was sent,
// zero if it was not.
func traced() (ctx context.Context, cancel context.CancelFunc, whole func() time.Time) {
	var wroteAt atomic.Pointer[time.Time]
	ctx, cancel = context.WithTimeout(context.Background(), productTimeout)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if now := time.Now(); info.Err == nil {
			wroteAt.Store(&now)
		}
	}})
	return ctx, cancel, func() time.Time {
		if at := wroteAt.Load(); at != nil {
			return *at
		}
		return time.Time{}
	}
}

// fail records how a request ended without a success.
func (p *product) fail(answer checker.Answer, err error) {
	var problem *driver.Problem
	var operation *net.OpError
	switch {
	case errors.As(err, &problem):
		answer.Status, answer.Complete = http.StatusBadGateway, true
		if problem.Outcome == "notRun" {
			answer.Status = http.StatusServiceUnavailable
		}
	case errors.As(err, &operation) && operation.Op == "dial":
		answer.Abandoned = true
	}
	answer.EndedAt = time.Now()
	p.history.Answer(answer)
}

// book sends a booking, which may run once, with or without an idempotency key.
func (p *product) book(c *driver.Caller, entry, id string, keyed bool) {
	answer, key := p.send(entry, id, checker.AtMostOnce, 0), ""
	if keyed {
		key = "key-" + id
	}
	ctx, cancel, whole := traced()
	defer cancel()
	got, err := c.Book(ctx, p.fleet.Address(entry+"/caller"), id, key, id)
	answer.Whole = whole()
	if err != nil {
		p.fail(answer, err)
		return
	}
	var number int
	var item string
	if _, err := fmt.Sscanf(string(got.Body), `{"booking":%d,"item":%q}`, &number, &item); err == nil {
		answer.Seal, answer.Body = checker.Seal(fmt.Sprint(number), id), checker.AnswerTo(item)
	}
	answer.Status, answer.Complete, answer.EndedAt = got.Status, true, time.Now()
	p.history.Answer(answer)
}

// stream sends a request for a stream and checks its tokens against those of each version.
func (p *product) stream(c *driver.Caller, entry, id string) {
	answer := p.send(entry, id, checker.Resumable, productTokens)
	chat := &driver.Chat{Address: p.fleet.Address(entry + "/caller"), Model: fleet.ModelName, Content: strings.Repeat(id, 100), MaxTokens: productTokens, RequestID: id}
	ctx, cancel, whole := traced()
	defer cancel()
	got, err := c.Stream(ctx, chat)
	answer.Whole = whole()
	if err != nil {
		p.fail(answer, err)
		return
	}
	if len(got.Tokens) > 0 {
		p.history.Arrive(checker.Arrival{ID: id, Replica: "engine", After: -1, Runs: true, At: time.Now()}).End(false)
	}
	if got.Problem != nil {
		p.fail(answer, got.Problem)
		return
	}
	p.mu.Lock()
	known := slices.ContainsFunc(p.versions, func(version string) bool {
		expected := chat.ExpectedTokens(version, 0)
		return len(got.Tokens) <= len(expected) && slices.Equal(got.Tokens, expected[:len(got.Tokens)])
	})
	p.mu.Unlock()
	for i := range got.Tokens {
		event := checker.Event{ID: i, Data: "token of " + id}
		if !known {
			event.ID = -1
		}
		answer.Events = append(answer.Events, event)
	}
	answer.Status, answer.Seal, answer.Complete, answer.EndedAt = http.StatusOK, checker.Seal("engine", id), got.Complete, time.Now()
	if len(got.Tokens) == 0 && !got.Complete {
		answer.Status = 0
	}
	p.history.Answer(answer)
}

// recordBookings reads what the booking app ran.
func (p *product) recordBookings() error {
	var runs []bookingapp.Run
	if err := p.fleet.GetJSON("app", bookingapp.PathRecord, &runs); err != nil {
		return fmt.Errorf("read the app's record: %w", err)
	}
	for _, run := range runs {
		p.history.Arrive(checker.Arrival{ID: run.Item, Replica: fmt.Sprint(run.Number), After: -1, Runs: true}).End(false)
	}
	return nil
}

// disturb plays faults for a time. They overlap, but each process has one at a time.
func (p *product) disturb(duration time.Duration) {
	end := time.After(duration)
	var faults sync.WaitGroup
	defer faults.Wait()
	for {
		select {
		case <-end:
			return
		case <-time.After(p.milliseconds(minFaultPause, maxFaultPause)):
		}
		name, fault, lasts := p.drawFault()
		lock := p.busy[name]
		if lock == nil {
			lock = &sync.Mutex{}
			p.busy[name] = lock
		}
		if lock.TryLock() {
			faults.Go(func() {
				defer lock.Unlock()
				if err := fault(lasts); err != nil {
					_, _ = fmt.Fprintf(p.out, "  %s: %v\n", name, err)
				}
			})
		}
	}
}

func (p *product) milliseconds(from, to int) time.Duration {
	return time.Duration(from+p.random.IntN(to-from)) * time.Millisecond
}

// drawFault draws a fault, the process that it strikes, and how long it lasts.
func (p *product) drawFault() (name string, fault func(time.Duration) error, lasts time.Duration) {
	daemons := []string{}
	for i := range productEntries {
		daemons = append(daemons, fmt.Sprintf("entry-%d", i), fmt.Sprintf("sidecar-%d", i), fmt.Sprintf("appcar-%d", i))
	}
	daemon, engine := daemons[p.random.IntN(len(daemons))], fmt.Sprintf("engine-%d", p.random.IntN(productEngines))
	lasts = p.milliseconds(100, 2000)
	switch p.random.IntN(10) {
	case 0, 1:
		return daemon, func(d time.Duration) error { return p.kill(daemon, d) }, lasts
	case 2, 3:
		return daemon, func(time.Duration) error { return p.terminate(daemon) }, lasts
	case 4:
		return daemon, func(d time.Duration) error { return p.pause(daemon, d) }, lasts
	case 5:
		faults := []keyvalue.Faults{{Down: true}, {LostReplies: 0.5, LostCalls: 0.2}, {Delay: 300 * time.Millisecond}}[p.random.IntN(3)]
		return "platform", func(d time.Duration) error { return p.harm("platform", "STORE", faults, keyvalue.Faults{}, d) }, lasts
	case 6:
		return "app", func(d time.Duration) error {
			return p.harm("app", "APP loses replies", bookingapp.Faults{LoseReplies: true}, bookingapp.Faults{}, d)
		}, lasts
	case 7:
		return engine, func(d time.Duration) error {
			return p.harm(engine, "ENGINE crash", modelengine.Faults{Crash: true}, modelengine.Faults{}, d)
		}, lasts
	case 8:
		return engine, func(d time.Duration) error {
			return p.harm(engine, "ENGINE hangs", modelengine.Faults{HangStreams: true}, modelengine.Faults{}, d)
		}, lasts
	}
	return "weights", func(time.Duration) error { return p.wantWeights() }, lasts
}

// kill kills a daemon and starts it again after a time.
func (p *product) kill(name string, after time.Duration) error {
	end := p.history.Disturb(name, "KILL", false)
	defer end()
	p.fleet.Process(name).Kill()
	<-time.After(after)
	return p.restart(name)
}

func (p *product) restart(name string) error {
	defer p.history.Disturb(name, checker.FaultStart, false)()
	if err := p.fleet.Process(name).Restart(); err != nil {
		return err
	}
	return p.fleet.AwaitReady(name)
}

// terminate ends a daemon by SIGTERM and starts it again.
func (p *product) terminate(name string) error {
	end := p.history.Disturb(name, checker.FaultStop, true)
	defer end()
	if !p.fleet.Process(name).Terminate(checker.DefaultBounds().Grace + time.Second) {
		p.history.Disturb(name, "GRACE OVER", true)()
		p.fleet.Process(name).Kill()
	}
	return p.restart(name)
}

// pause freezes a daemon for a time.
func (p *product) pause(name string, duration time.Duration) error {
	defer p.history.Disturb(name, "STOP", false)()
	if err := p.fleet.Process(name).Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	<-time.After(duration)
	return p.fleet.Process(name).Signal(syscall.SIGCONT)
}

// harm sets faults of a stand-in for a time.
func (p *product) harm(name, fault string, faults, none any, duration time.Duration) error {
	defer p.history.Disturb(name, fault, false)()
	if err := p.fleet.SetFaults(name, faults); err != nil {
		return err
	}
	<-time.After(duration)
	return p.fleet.SetFaults(name, none)
}

// wantWeights names the next version of the weights.
func (p *product) wantWeights() error {
	p.mu.Lock()
	version := fmt.Sprintf("v%d", len(p.versions)+1)
	p.versions = append(p.versions, version)
	p.mu.Unlock()
	defer p.history.Disturb("weights", "WEIGHTS", true)()
	return p.fleet.Apply(p.fleet.ModelDocument(version))
}
