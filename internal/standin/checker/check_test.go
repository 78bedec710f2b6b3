package checker

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// epoch is when the plays below begin, long after anything was disturbed.
var epoch = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// play is a history of one request that a test goes on writing.
type play struct{ *History }

// newPlay returns a history in which one request of each kind was sent.
func newPlay() play {
	p := play{New(DefaultBounds())}
	p.Send(Request{ID: "once", Machine: "e", Method: "POST", Path: "/book/x", Body: "b", Workspace: "w", Kind: AtMostOnce, Timeout: 3 * time.Second, MaxAttempts: 2, SentAt: epoch})
	p.Send(Request{ID: "stream", Machine: "e", Method: "POST", Path: "/chat/x", Workspace: "w", Kind: Resumable, Events: 3, Timeout: 15 * time.Second, SentAt: epoch})
	p.Configure(Version{Number: 1, SentAt: at(-time.Minute), AckAt: at(-time.Minute)})
	p.Configure(Version{Number: 2, SentAt: at(-10 * time.Second), AckAt: at(-10 * time.Second)})
	p.Configure(Version{Number: 3, SentAt: at(-9 * time.Second), AckAt: at(-9 * time.Second)})
	p.WantWeights(Version{Number: 1, AckAt: at(-time.Minute)})
	return p
}

// run has the request of an ID arrive as it was sent.
func (p play) run(id, replica string, when time.Duration) *Run {
	request := p.exchanges[id].Request
	return p.Arrive(Arrival{ID: id, Replica: replica, Method: request.Method, Path: request.Path, Body: request.Body, Workspace: request.Workspace, After: -1, Deadline: request.Timeout, Runs: true, At: at(when)})
}

// strike records a fault that lasts for a second, or a planned stop that lasts on.
func (p play) strike(target, fault string, when time.Duration) {
	d := &Disturbance{Target: target, Fault: fault, From: at(when), To: at(when + time.Second)}
	if fault == FaultStop {
		d.Planned, d.To = true, time.Time{}
	}
	p.disturbances = append(p.disturbances, d)
}

// answer answers the request of an ID.
func (p play) answer(a Answer) {
	if a.EndedAt.IsZero() {
		a.EndedAt = at(time.Second)
	}
	a.Whole = epoch
	p.Answer(a)
}

// sealed returns a whole answer of a replica to the request of an ID.
func sealed(id, replica string) Answer {
	return Answer{ID: id, Status: http.StatusOK, Complete: true, Seal: Seal(replica, id), Body: AnswerTo(id)}
}

func events(ids ...int) (list []Event) {
	for _, id := range ids {
		list = append(list, Event{id, "token of stream"})
	}
	return list
}

// TestCheckersCatchBrokenVariants plays a broken variant for each rule: exactly that rule is broken.
func TestCheckersCatchBrokenVariants(t *testing.T) {
	for name, broken := range map[string]func(p play){
		"UNASKED: another body": func(p play) {
			p.Arrive(Arrival{ID: "once", Method: "POST", Path: "/book/x", Body: "c", Workspace: "w"})
		},
		"UNASKED: another path": func(p play) {
			p.Arrive(Arrival{ID: "once", Method: "POST", Path: "/book/X", Body: "b", Workspace: "w"})
		},
		"UNASKED: key passed on": func(p play) {
			p.Arrive(Arrival{ID: "once", Method: "POST", Path: "/book/x", Body: "b", Workspace: "w", Authorization: "Bearer k"})
		},
		"UNASKED: unknown request": func(p play) { p.Arrive(Arrival{ID: "forged"}) },
		"TWICE: a booking": func(p play) {
			p.run("once", "r1", 0)
			p.run("once", "r2", time.Second)
		},
		"TWICE: two replicas on a stream": func(p play) { p.overlap() },
		"TWICE: two replicas on a stream, the second one's link is harmed later": func(p play) {
			p.strike(LinkTarget("r2"), "REPLICA LINK", 1100*time.Millisecond)
			p.overlap()
		},
		"TWICE: two replicas on a stream, the second one's link was harmed before": func(p play) {
			p.strike(LinkTarget("r2"), "REPLICA LINK", -1100*time.Millisecond)
			p.overlap()
		},
		"REFUSED: not run, and ran": func(p play) {
			p.run("once", "r1", 0)
			p.answer(Answer{ID: "once", Status: http.StatusServiceUnavailable, Complete: true})
		},
		"MIXED: another's answer": func(p play) {
			p.run("once", "r1", 0)
			a := sealed("once", "r1")
			a.Body = AnswerTo("other")
			p.answer(a)
		},
		"MIXED: no run": func(p play) { p.answer(sealed("once", "r1")) },
		"DENIED: 401":   func(p play) { p.answer(Answer{ID: "once", Status: http.StatusUnauthorized, Complete: true}) },
		"QUOTA: a full bucket at each machine": func(p play) {
			p.configurations = []Version{{Number: 1, SentAt: at(-time.Minute), AckAt: at(-time.Minute), Quotas: map[string]Quota{"w": {Rate: 100, Burst: 1000}}}}
			p.use(int((8*100+1000)*1.1+DefaultBounds().QuotaSlack)/100 + 1)
		},
		"QUOTA: lowered, and used as before": func(p play) {
			p.configurations = []Version{
				{Number: 1, SentAt: at(-3 * time.Minute), AckAt: at(-3 * time.Minute), Quotas: map[string]Quota{"w": {Rate: 1000}}},
				{Number: 2, SentAt: at(-time.Minute), AckAt: at(-time.Minute), Quotas: map[string]Quota{"w": {Rate: 100}}},
			}
			p.use(1 + int(8*100*1.1+DefaultBounds().QuotaSlack)/100)
		},
		"LOST: passed on and cut": func(p play) {
			p.run("once", "r1", 0)
			p.answer(Answer{ID: "once"})
		},
		"LOST: read by a process that is stopped, and cut": func(p play) {
			p.strike("e", FaultStop, -time.Second)
			p.answer(Answer{ID: "once"})
		},
		"LOST: a sound stream at a planned end": func(p play) {
			p.strike("e", FaultStop, -time.Second)
			p.run("stream", "r1", 0).endedAt = at(2 * time.Second)
			p.answer(Answer{ID: "stream", Status: http.StatusOK, Seal: Seal("r1", "stream"), EndedAt: at(2 * time.Second)})
		},
		"LOST: a stream whose replica was silent": func(p play) {
			p.strike("r1", "MODEL REPLICA silences", 500*time.Millisecond)
			p.run("stream", "r1", 0).endedAt = at(time.Second)
			p.answer(Answer{ID: "stream", Status: http.StatusOK, Seal: Seal("r1", "stream"), Events: events(0)})
		},
		"LOST: a stream whose replica had crashed before": func(p play) {
			p.strike("r1", FaultCrash, -time.Second)
			p.run("stream", "r1", 0).endedAt = at(time.Second)
			p.answer(Answer{ID: "stream", Status: http.StatusOK, Seal: Seal("r1", "stream"), Events: events(0)})
		},
		"GONE: streams of callers that left": func(p play) {
			for n := range 4 {
				id := fmt.Sprint("left", n)
				p.Send(Request{ID: id, Machine: "e", Kind: Resumable, Events: 3, SentAt: epoch})
				p.run(id, "r1", 0).endedAt = at(2 * time.Second)
				p.answer(Answer{ID: id, Abandoned: true})
			}
		},
		"GONE: requests of callers that left": func(p play) {
			for n := range 4 {
				id := fmt.Sprint("left", n)
				p.Send(Request{ID: id, Machine: "e", Kind: Repeatable, SentAt: epoch})
				p.run(id, "r1", 2*time.Second)
				p.answer(Answer{ID: id, Abandoned: true})
			}
		},
		"ORDER: a gap": func(p play) {
			p.run("stream", "r1", 0)
			p.answer(Answer{ID: "stream", Status: http.StatusOK, Complete: true, Seal: Seal("r1", "stream"), Events: events(0, 2, 3)})
		},
		"ORDER: an event twice": func(p play) {
			p.run("stream", "r1", 0)
			p.answer(Answer{ID: "stream", Status: http.StatusOK, Complete: true, Seal: Seal("r1", "stream"), Events: events(0, 1, 1, 2)})
		},
		"ORDER: an early end": func(p play) {
			p.run("stream", "r1", 0)
			p.answer(Answer{ID: "stream", Status: http.StatusOK, Complete: true, Seal: Seal("r1", "stream"), Events: events(0, 1)})
		},
		"BUDGET: repeats": func(p play) {
			for range int(DefaultBounds().BudgetExtra) + 4 {
				p.run("once", "r1", 0).Runs = false
			}
		},
		"BUDGET: repeats of a service behind those of another": func(p play) {
			for n := range 500 {
				p.Send(Request{ID: fmt.Sprint("other", n), Service: "other", Machine: "e", SentAt: epoch})
			}
			x := p.exchanges["once"]
			x.Service = "booking"
			for range int(DefaultBounds().BudgetExtra) + 4 {
				p.run("once", "r1", 0).Runs = false
			}
		},
		"BUDGET: sent to more replicas, which reject it": func(p play) {
			for n := range 3 {
				p.run("once", fmt.Sprint("r", n), 0).Runs = false
			}
		},
		"BUDGET: more time than the caller's": func(p play) {
			for n := range maxLongDeadlines + 1 {
				p.sendRepeatable(fmt.Sprint("long", n))
				p.run(fmt.Sprint("long", n), "r1", 0).Deadline = 3600 * time.Millisecond
			}
		},
		"BUDGET: more time than is left when sent again": func(p play) {
			for n := range maxLongDeadlines + 1 {
				p.sendRepeatable(fmt.Sprint("late", n))
				p.run(fmt.Sprint("late", n), "r1", 0)
				p.run(fmt.Sprint("late", n), "r2", 600*time.Millisecond)
			}
		},
		"BUDGET: requests in a pause": func(p play) {
			p.run("once", "r1", 0).Runs = false
			p.exchanges["once"].runs[0].pause, p.exchanges["once"].runs[0].endedAt = 2*time.Second, epoch
			for n := range maxPauseArrivals + 1 {
				p.sendRepeatable(fmt.Sprint("in", n))
				p.run(fmt.Sprint("in", n), "r1", time.Second)
			}
		},
		"CONFIG: a route that was removed": func(p play) {
			p.send("old", 1, epoch)
			p.run("old", "r1", 0)
			p.answer(sealed("old", "r1"))
		},
		"CONFIG: a route that was added": func(p play) {
			p.send("new", 3, epoch)
			p.answer(Answer{ID: "new", Status: http.StatusNotFound, Complete: true})
		},
		"CONFIG: a process that goes back": func(p play) {
			p.strike(StoreTarget, "STORE", 0)
			p.send("v3", 3, epoch)
			p.run("v3", "r1", 0)
			p.answer(sealed("v3", "r1"))
			p.send("again", 3, at(time.Second))
			p.answer(Answer{ID: "again", Status: http.StatusNotFound, Complete: true, EndedAt: at(2 * time.Second)})
		},
		"DRAIN: a replica that left": func(p play) {
			p.left["r1"] = at(-time.Minute)
			p.run("once", "r1", 0)
			p.answer(sealed("once", "r1"))
		},
		"ONE: turns": func(p play) {
			p.RecordOrder(Order{Replica: "m", Holder: "a", Fence: 1, At: epoch})
			p.RecordOrder(Order{Replica: "m", Holder: "b", Fence: 2, At: at(time.Second)})
		},
		"ONE: a lower token": func(p play) {
			p.RecordOrder(Order{Replica: "m", Holder: "a", Fence: 2, At: epoch})
			p.RecordOrder(Order{Replica: "m", Holder: "b", Fence: 1, At: at(time.Minute)})
		},
		"ONE: one token for two": func(p play) {
			p.RecordOrder(Order{Replica: "m", Holder: "a", Fence: 2, At: epoch})
			p.RecordOrder(Order{Replica: "m", Holder: "b", Fence: 2, At: at(time.Minute)})
		},
		"STALE: a part of older weights": func(p play) { p.RecordUse(Use{ID: "once", Workspace: "w", Maker: "w", Weights: 2, Made: 1}) },
		"WALL: a part of another":        func(p play) { p.RecordUse(Use{ID: "once", Workspace: "w", Maker: "v", Walled: true}) },
		"VERSION: old weights": func(p play) {
			p.WantWeights(Version{Number: 2, AckAt: at(-20 * time.Second)})
			p.run("once", "r1", 0).Weights = 1
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlay()
			assert.Equal(t, len(p.Check()), 0, "%v", p.Check())
			broken(p)
			found := p.Check()
			rule, _, _ := strings.Cut(name, " ")
			assert.Assert(t, len(found) > 0)
			for _, text := range found {
				assert.Check(t, strings.HasPrefix(text, rule), text)
			}
		})
	}
}

// send sends a request on the route of a configuration that the next one but one removes.
func (p play) send(id string, since int, when time.Time) {
	p.Send(Request{ID: id, Machine: "e", Method: "GET", Path: "/v/x", Workspace: "w", Kind: Repeatable, Timeout: 3 * time.Second, Since: since, Until: since + 1, SentAt: when})
}

// use has workspace w run a number of requests of 100 tokens at once.
func (p play) use(requests int) {
	for n := range requests {
		id := fmt.Sprint("use", n)
		p.Send(Request{ID: id, Machine: "e", Method: "GET", Path: "/look/x", Workspace: "w", Kind: Repeatable, Timeout: 3 * time.Second, MaxAttempts: 2, Tokens: 100, SentAt: epoch})
		p.run(id, "r1", time.Millisecond)
	}
}

// overlap has two replicas work on the stream for a second.
func (p play) overlap() {
	first, second := p.run("stream", "r1", 0), p.run("stream", "r2", time.Second)
	second.progressAt, first.endedAt, second.endedAt = at(time.Second), at(2*time.Second), at(3*time.Second)
}

// sendRepeatable sends a request that may run again.
func (p play) sendRepeatable(id string) {
	p.Send(Request{ID: id, Machine: "e", Method: "GET", Path: "/look/x", Workspace: "w", Kind: Repeatable, Timeout: 3 * time.Second, MaxAttempts: 2, SentAt: epoch})
}

// TestCheckersAllow plays what the rules excuse.
func TestCheckersAllow(t *testing.T) {
	for name, allowed := range map[string]func(p play){
		"a repeat of what did not run": func(p play) {
			p.run("once", "r1", 0).Runs = false
			p.run("once", "r2", 0)
			p.answer(sealed("once", "r2"))
		},
		"requests that come early in a pause, or behind it": func(p play) {
			p.run("once", "r1", 0).Runs = false
			p.exchanges["once"].runs[0].pause, p.exchanges["once"].runs[0].endedAt = 2*time.Second, epoch
			for n, when := range []time.Duration{400 * time.Millisecond, 400 * time.Millisecond, 400 * time.Millisecond, time.Second, time.Second, 2100 * time.Millisecond} {
				p.sendRepeatable(fmt.Sprint("in", n))
				p.run(fmt.Sprint("in", n), "r1", when)
			}
		},
		"time that shrinks when sent again": func(p play) {
			for n := range maxLongDeadlines + 1 {
				p.sendRepeatable(fmt.Sprint("late", n))
				p.run(fmt.Sprint("late", n), "r1", 0)
				p.run(fmt.Sprint("late", n), "r2", 600*time.Millisecond).Deadline = 2400 * time.Millisecond
			}
		},
		"a machine that was killed": func(p play) {
			p.strike("e", "KILL", 0)
			p.run("once", "r1", 0)
			p.answer(Answer{ID: "once"})
		},
		"a request that crosses the close": func(p play) {
			p.strike("e", FaultStop, -time.Second)
			p.answer(Answer{ID: "once", EndedAt: at(time.Millisecond)})
		},
		"a stream that its replica broke off": func(p play) {
			run := p.run("stream", "r1", 0)
			run.brokeOff, run.endedAt = true, at(time.Second)
			p.answer(Answer{ID: "stream", Status: http.StatusOK, Seal: Seal("r1", "stream"), Events: events(0)})
		},
		"a stream whose replica crashed after its last event": func(p play) {
			p.strike("r1", FaultCrash, 990*time.Millisecond)
			p.run("stream", "r1", 0).endedAt = at(980 * time.Millisecond)
			p.answer(Answer{ID: "stream", Status: http.StatusOK, Seal: Seal("r1", "stream"), Events: events(0, 1, 2)})
		},
		"a stream that arrives last where it was sent first, over a link that holds it up": func(p play) {
			p.strike(LinkTarget("r2"), "REPLICA LINK", -500*time.Millisecond)
			p.overlap()
		},
		"work in the last sixth of the grace time": func(p play) {
			p.strike("e", FaultStop, -time.Second)
			p.run("stream", "r1", 0).endedAt = at(7 * time.Second)
			p.answer(Answer{ID: "stream", Status: http.StatusOK, Seal: Seal("r1", "stream"), EndedAt: at(7 * time.Second)})
		},
		"a configuration that is not acknowledged everywhere": func(p play) {
			p.send("new", 3, at(-8*time.Second))
			p.answer(Answer{ID: "new", Status: http.StatusNotFound, Complete: true, EndedAt: at(-7 * time.Second)})
		},
		"what a quota allows": func(p play) {
			p.configurations = []Version{{Number: 1, SentAt: at(-time.Minute), AckAt: at(-time.Minute), Quotas: map[string]Quota{"w": {Rate: 100, Burst: 1000}}}}
			p.use(int((8*100+1000)*1.1+DefaultBounds().QuotaSlack) / 100)
		},
		"a quota that is lowered just now": func(p play) {
			p.configurations = []Version{
				{Number: 1, SentAt: at(-3 * time.Minute), AckAt: at(-3 * time.Minute), Quotas: map[string]Quota{"w": {Rate: 1000}}},
				{Number: 2, SentAt: at(-time.Second), AckAt: at(-time.Second), Quotas: map[string]Quota{"w": {Rate: 100}}},
			}
			p.use(1 + int(8*100*1.1+DefaultBounds().QuotaSlack)/100)
		},
		"holders after the lease": func(p play) {
			p.RecordOrder(Order{Replica: "m", Holder: "a", Fence: 1, At: epoch})
			p.RecordOrder(Order{Replica: "m", Holder: "b", Fence: 2, At: at(DefaultBounds().Lease)})
		},
		"a part that workspaces share": func(p play) { p.RecordUse(Use{ID: "once", Workspace: "w", Maker: "v"}) },
		"old weights beside a fault": func(p play) {
			p.strike(StoreTarget, "STORE", -10*time.Second)
			p.WantWeights(Version{Number: 2, AckAt: at(-20 * time.Second)})
			p.run("once", "r1", 0).Weights = 1
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlay()
			allowed(p)
			assert.Equal(t, len(p.Check()), 0, "%q", p.Check())
		})
	}
}
