package arbiter

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// virtualClock is a clock that the test sets.
type virtualClock struct{ now time.Time }

func (c *virtualClock) Now() time.Time                       { return c.now }
func (c *virtualClock) After(time.Duration) <-chan time.Time { return nil }

const (
	// tokensPerSecond is the prefill speed of the one replica of these tests, loadTime how long
	// requests arrive.
	tokensPerSecond = 100_000
	loadTime        = 20 * time.Second
)

// stream is a number of requests of one kind and workspace a second, from and to a time.
type stream struct {
	rank, tokens int
	workspace    string
	// weight is that of the workspace, 1 if it is 0.
	weight    float64
	target    time.Duration
	perSecond float64
	from, to  time.Duration
	// drawTokens draws the length of a prompt; nil means that all have tokens.
	drawTokens func(*rand.Rand) int
}

// outcome counts what became of the requests of a stream.
type outcome struct{ asked, sent, inTime, refused, returned int }

// inTimeShare returns the part of the requests that was answered in time.
func (o outcome) inTimeShare() float64 { return float64(o.inTime) / float64(max(1, o.asked)) }

// load plays streams against one replica that prefills prompts in the order of arrival. Refused
// callers return once, at the time that they are told.
type load struct {
	clock    *virtualClock
	arbiter  *Arbiter
	freeAt   time.Time
	queue    callerQueue
	outcomes []outcome
	// prompts holds the length of each prompt and whether it was sent, by stream.
	prompts [][]prompt
	// returns are when refused callers were asked to return.
	returns []time.Time
}

// prompt is the length of a prompt and whether it was sent.
type prompt struct {
	tokens int
	sent   bool
}

// caller is one request of a stream that looks for room at a time.
type caller struct {
	stream int
	// prompt is the index of its prompt in load.prompts.
	prompt   int
	spec     stream
	at       time.Time
	arrived  time.Time
	returned bool
	claim    *Claim
}

// callerQueue holds callers in the order in which they look for room. It implements heap.Interface.
type callerQueue []*caller

func (q callerQueue) Len() int           { return len(q) }
func (q callerQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q callerQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *callerQueue) Push(c any)        { *q = append(*q, c.(*caller)) }

// Pop implements heap.Interface.
func (q *callerQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newLoad(streams []stream, configure func(*settings)) *load {
	l := &load{clock: &virtualClock{now: time.Unix(1000, 0)}, outcomes: make([]outcome, len(streams)), prompts: make([][]prompt, len(streams))}
	l.arbiter = New(l.clock)
	l.arbiter.random = rand.New(rand.NewPCG(5, 6)).Float64
	if configure != nil {
		configure(&l.arbiter.settings)
	}
	random, start := rand.New(rand.NewPCG(3, 4)), l.clock.now
	for i, s := range streams {
		to := s.to
		if to == 0 {
			to = loadTime
		}
		for at := s.from; at < to; at += time.Duration(random.ExpFloat64() / s.perSecond * float64(time.Second)) {
			c := &caller{stream: i, prompt: len(l.prompts[i]), spec: s, at: start.Add(at), arrived: start.Add(at)}
			if s.drawTokens != nil {
				c.spec.tokens = s.drawTokens(random)
			}
			l.prompts[i] = append(l.prompts[i], prompt{tokens: c.spec.tokens})
			l.queue = append(l.queue, c)
		}
	}
	heap.Init(&l.queue)
	return l
}

// play runs the load until nobody waits.
func (l *load) play() []outcome {
	for len(l.queue) > 0 {
		c := heap.Pop(&l.queue).(*caller)
		l.clock.now = c.at
		l.step(c)
	}
	return l.outcomes
}

func (l *load) step(c *caller) {
	now, o, s := l.clock.now, &l.outcomes[c.stream], c.spec
	if c.claim == nil {
		rank := s.rank
		if c.returned {
			rank += 4
		} else {
			o.asked++
		}
		c.claim = l.arbiter.Ask(Work{Workspace: s.workspace, Weight: cmp.Or(s.weight, 1), Rank: rank, Tokens: s.tokens, Target: s.target, Arrived: now, Deadline: now.Add(4 * s.target)})
	}
	queue, prefill := max(0, l.freeAt.Sub(now)), time.Duration(float64(s.tokens)/tokensPerSecond*float64(time.Second))
	maxWait := time.Duration(0.9 * float64(s.target))
	if c.returned {
		maxWait = 2 * s.target
	}
	verdict := c.claim.Decide(Place{Wait: queue + prefill, Queue: queue, Prefill: prefill, MaxWait: maxWait})
	switch verdict.Action {
	case Hold:
		c.at = now.Add(verdict.After)
		heap.Push(&l.queue, c)
		return
	case Send:
		l.freeAt = now.Add(queue + prefill)
		o.sent++
		l.prompts[c.stream][c.prompt].sent = true
		if l.freeAt.Sub(c.arrived) <= s.target {
			o.inTime++
		}
	case Refuse:
		o.refused++
		if !c.returned {
			o.returned++
			l.returns = append(l.returns, now.Add(verdict.After))
			heap.Push(&l.queue, &caller{stream: c.stream, prompt: c.prompt, spec: s, at: now.Add(verdict.After), arrived: c.arrived, returned: true})
		}
	}
	c.claim.Release()
}

// burstBesideUrgent are small urgent requests that need two fifths of the prefill time, and large
// less urgent ones that need a quarter and for ten seconds three times as much as there is.
func burstBesideUrgent() []stream {
	return []stream{
		{rank: 0, tokens: 1000, target: 400 * time.Millisecond, perSecond: 40, workspace: "a"},
		{rank: 2, tokens: 6000, target: 1500 * time.Millisecond, perSecond: 4, workspace: "a"},
		{rank: 2, tokens: 6000, target: 1500 * time.Millisecond, perSecond: 50, workspace: "a", from: 5 * time.Second, to: 15 * time.Second},
	}
}

// TestBurstOfLargePromptsBesideUrgentOnes guards against urgent requests that are late or
// refused since large less urgent prompts, whose target is looser, fill the queue.
func TestBurstOfLargePromptsBesideUrgentOnes(t *testing.T) {
	check := func(configure func(*settings)) (urgent, lessUrgent float64) {
		outcomes := newLoad(burstBesideUrgent(), configure).play()
		t.Log(outcomes)
		sent := outcomes[1].sent + outcomes[2].sent
		return outcomes[0].inTimeShare(), float64(sent*6000) / (loadTime.Seconds() * tokensPerSecond)
	}
	urgent, lessUrgent := check(nil)
	assert.Assert(t, urgent >= 0.95, "%.3f of the urgent ones in time", urgent)
	assert.Assert(t, lessUrgent >= 0.25, "less urgent ones get %.3f of the prefill time", lessUrgent)

	urgent, _ = check(func(s *settings) { s.unprotected = true })
	assert.Assert(t, urgent < 0.95, "the check does not catch large prompts that are not held back: %.3f in time", urgent)
}

// urgentAlone are urgent requests that need more prefill time than there is, beside less urgent
// ones that need a fifth of it.
func urgentAlone() []stream {
	return []stream{
		{rank: 0, tokens: 1000, target: 400 * time.Millisecond, perSecond: 150, workspace: "a"},
		{rank: 2, tokens: 5000, target: 1500 * time.Millisecond, perSecond: 4, workspace: "a"},
	}
}

// TestUrgentWorkThatFillsTheRoomLeavesTheFloor guards against starvation: urgent requests alone
// are more than there is room for, and the less urgent get their least share all the same, but
// are not served better.
func TestUrgentWorkThatFillsTheRoomLeavesTheFloor(t *testing.T) {
	share := func(configure func(*settings)) (lessUrgent, served, urgentServed float64) {
		outcomes := newLoad(urgentAlone(), configure).play()
		t.Log(outcomes)
		tokens := outcomes[0].sent*1000 + outcomes[1].sent*5000
		return float64(outcomes[1].sent*5000) / float64(tokens), float64(outcomes[1].sent) / float64(outcomes[1].asked), float64(outcomes[0].sent) / float64(outcomes[0].asked)
	}
	lessUrgent, served, urgentServed := share(nil)
	assert.Assert(t, lessUrgent >= 0.9*floorShare, "less urgent ones get %.3f of the tokens", lessUrgent)
	assert.Assert(t, served <= urgentServed, "%.3f of the less urgent ones and %.3f of the urgent ones are served", served, urgentServed)

	lessUrgent, _, _ = share(func(s *settings) { s.floorShare = 0 })
	assert.Assert(t, lessUrgent < 0.9*floorShare, "the check does not catch starvation: %.3f of the tokens", lessUrgent)
}

// TestHotWorkspaceBesideOthers guards against a workspace that asks for much more than its
// share and takes the room of 15 others that are within theirs.
func TestHotWorkspaceBesideOthers(t *testing.T) {
	others := func(configure func(*settings)) float64 {
		streams := []stream{{rank: 1, tokens: 1000, target: 400 * time.Millisecond, perSecond: 200, workspace: "hot"}}
		for i := range 15 {
			streams = append(streams, stream{rank: 1, tokens: 1000, target: 400 * time.Millisecond, perSecond: 4, workspace: fmt.Sprint(i)})
		}
		outcomes := newLoad(streams, configure).play()
		t.Log(outcomes)
		var sum outcome
		for _, o := range outcomes[1:] {
			sum.asked += o.asked
			sum.inTime += o.inTime
		}
		return sum.inTimeShare()
	}
	inTime := others(nil)
	assert.Assert(t, inTime >= 0.95, "%.3f of those within their share are in time", inTime)
	inTime = others(func(s *settings) { s.sharesIgnored = true })
	assert.Assert(t, inTime < 0.95, "the check does not catch that shares are ignored: %.3f in time", inTime)
}

// TestSharesFollowWeights guards against a workspace with half the weight of another that gets as
// much as that one where both ask for more than there is.
func TestSharesFollowWeights(t *testing.T) {
	outcomes := newLoad([]stream{
		{rank: 1, tokens: 1000, target: 400 * time.Millisecond, perSecond: 120, workspace: "whole"},
		{rank: 1, tokens: 1000, target: 400 * time.Millisecond, perSecond: 120, workspace: "half", weight: 0.5},
	}, nil).play()
	ratio := float64(outcomes[0].sent) / float64(outcomes[1].sent)
	assert.Assert(t, ratio > 1.5 && ratio < 2.5, "%v", outcomes)
}

// TestRefusedCallersReturnSpread guards against refused callers that return in a herd: of those
// refused in a burst, no tenth of a second gets more than the replica serves in half a second.
func TestRefusedCallersReturnSpread(t *testing.T) {
	l := newLoad([]stream{
		{rank: 0, tokens: 1000, target: time.Second, perSecond: 50},
		{rank: 0, tokens: 1000, target: time.Second, perSecond: 1000, from: 5 * time.Second, to: 5300 * time.Millisecond},
	}, nil)
	l.play()
	returns := make(map[time.Duration]int)
	most := 0
	for _, at := range l.returns {
		slot := at.Sub(time.Unix(1000, 0)) / (100 * time.Millisecond)
		returns[slot]++
		most = max(most, returns[slot])
	}
	assert.Assert(t, len(l.returns) > 100, "%d refused", len(l.returns))
	assert.Assert(t, most*1000 <= tokensPerSecond/2, "%d of %d return in one tenth of a second", most, len(l.returns))
}

// TestAllOfOneRankAndWorkspace guards against a change where there is nothing to arbitrate: all
// that can be in time is sent at once, all else refused.
func TestAllOfOneRankAndWorkspace(t *testing.T) {
	clock := &virtualClock{now: time.Unix(1000, 0)}
	a := New(clock)
	for i := range 1000 {
		clock.now = clock.now.Add(10 * time.Millisecond)
		wait := time.Duration(i%60) * 10 * time.Millisecond
		claim := a.Ask(Work{Weight: 1, Rank: 2, Tokens: 1000, Target: 400 * time.Millisecond, Arrived: clock.now, Deadline: clock.now.Add(3 * time.Second)})
		verdict := claim.Decide(Place{Wait: wait, Queue: wait, MaxWait: 360 * time.Millisecond, Full: i%7 == 0})
		assert.Equal(t, verdict.Action == Send, wait <= 360*time.Millisecond)
		assert.Assert(t, verdict.Action != Hold)
		claim.Release()
	}
}
