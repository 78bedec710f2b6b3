package reserver_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/gateway/reserver"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

const (
	limit   = 8 << 20
	maxBody = 4 << 20
)

// head returns the head of a request with a body of a length, -1 for one in chunks.
func head(length int) *fasthttp.RequestHeader {
	header := &fasthttp.RequestHeader{}
	header.SetMethod(fasthttp.MethodPost)
	header.SetContentLength(length)
	return header
}

// TestBodiesWaitForRoom has a third large body wait until one of two is done, and a fourth be refused
// after a while: it is not too large, there was no room.
func TestBodiesWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := reserver.NewBudget(limit, limit, timekeeper.System{})
		r := reserver.New(budget, timekeeper.System{})
		first, second := head(maxBody), head(maxBody)
		assert.Equal(t, r.Admit(first, maxBody, 0), maxBody)
		assert.Equal(t, r.Admit(second, maxBody, 0), maxBody)
		release := r.Claim(first, maxBody)
		go func() {
			<-time.After(500 * time.Millisecond)
			release()
			release()
		}()
		began := time.Now()
		third := head(maxBody)
		assert.Equal(t, r.Admit(third, maxBody, 0), maxBody)
		assert.Equal(t, time.Since(began), 500*time.Millisecond)
		fourth := head(maxBody)
		assert.Equal(t, r.Admit(fourth, maxBody, 0), reserver.FreeBytes)
		assert.Equal(t, time.Since(began), 1500*time.Millisecond)
		assert.Check(t, !r.Refuse(fourth, maxBody))
		assert.Equal(t, r.Admit(head(100), maxBody, 0), maxBody, "a small body needs no room")
		assert.Equal(t, r.Admit(head(2*limit), 4*limit, 0), reserver.FreeBytes, "one that never fits does not wait")
		assert.Equal(t, time.Since(began), 1500*time.Millisecond)
		assert.Equal(t, budget.Reserved(), limit)
	})
}

// TestReservationsOfLostConnectionsEnd guards against memory that stays reserved: the connection of a body
// ended while it was read, without a call to the reserver.
func TestReservationsOfLostConnectionsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := reserver.NewBudget(limit, limit, timekeeper.System{})
		r := reserver.New(budget, timekeeper.System{})
		for range 2 {
			assert.Equal(t, r.Admit(head(maxBody), maxBody, 0), maxBody)
		}
		<-time.After(12 * time.Second)
		reused := head(maxBody)
		assert.Equal(t, r.Admit(reused, maxBody, 0), maxBody)
		assert.Equal(t, budget.Reserved(), maxBody)
		assert.Equal(t, r.Admit(reused, maxBody, 0), maxBody, "the next request on its connection")
		assert.Equal(t, budget.Reserved(), maxBody)
	})
}

// TestChunksGetTheRoomThatIsThere has bodies in chunks, whose size is not known, one after the other.
func TestChunksGetTheRoomThatIsThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := reserver.NewBudget(3*maxBody, 3*maxBody, timekeeper.System{})
		r := reserver.New(budget, timekeeper.System{})
		first, second := head(-1), head(-1)
		assert.Equal(t, r.Admit(first, maxBody, 0), maxBody)
		assert.Equal(t, r.Admit(second, maxBody, 0), reserver.FreeBytes)
		assert.Check(t, !r.Refuse(second, maxBody), "there was no room")
		release := r.Claim(first, 100<<10)
		assert.Equal(t, budget.Reserved(), 100<<10)
		assert.Equal(t, r.Admit(second, maxBody, 0), 512<<10)
		assert.Check(t, !r.Refuse(second, maxBody), "there was no room")
		release()
		assert.Equal(t, r.Admit(second, maxBody, 0), maxBody)
		assert.Check(t, r.Refuse(second, maxBody), "it is too large")
		assert.Equal(t, budget.Reserved(), 0)
		assert.Equal(t, r.Admit(head(-1), 1000, 0), 1000)
		assert.Check(t, r.Refuse(head(maxBody+1), maxBody), "it is too large")
	})
}

// TestBodiesInChunksWaitForRoom guards against requests that are refused for their framing: a body in
// chunks found no room at once, where one with a length waits for it.
func TestBodiesInChunksWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := reserver.NewBudget(limit, limit, timekeeper.System{})
		r := reserver.New(budget, timekeeper.System{})
		large := head(limit)
		assert.Equal(t, r.Admit(large, limit, 0), limit)
		release := r.Claim(large, limit)
		const chunkedBody = maxBody / 8
		began := time.Now()
		var tasks sync.WaitGroup
		after := make(map[int]time.Duration)
		var mu sync.Mutex
		for _, priority := range []int{5, 1, 9} {
			tasks.Go(func() {
				header := head(-1)
				admitted := r.Admit(header, chunkedBody, priority)
				assert.Check(t, admitted == chunkedBody, "%d", admitted)
				mu.Lock()
				after[priority] = time.Since(began)
				mu.Unlock()
				release := r.Claim(header, 3*chunkedBody)
				<-time.After(100 * time.Millisecond)
				release()
			})
		}
		<-time.After(500 * time.Millisecond)
		release()
		tasks.Wait()
		assert.Check(t, after[1] == 500*time.Millisecond && after[5] >= after[1] && after[9] >= after[5], "%v", after)

		assert.Equal(t, r.Admit(large, limit, 0), limit)
		began = time.Now()
		refused := head(-1)
		assert.Equal(t, r.Admit(refused, maxBody, 0), reserver.FreeBytes)
		assert.Equal(t, time.Since(began), time.Second, "it waits for a bounded time")
		assert.Check(t, !r.Refuse(refused, maxBody), "there was no room")
		assert.Equal(t, budget.Reserved(), limit)
	})
}

// TestReservationsStayWithinTheLimit reserves from many goroutines at once.
func TestReservationsStayWithinTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := reserver.NewBudget(limit, limit, timekeeper.System{})
		r := reserver.New(budget, timekeeper.System{})
		random := rand.New(rand.NewPCG(1, 2))
		var tasks sync.WaitGroup
		for range 200 {
			length, work, fate := random.IntN(maxBody), time.Duration(random.IntN(300))*time.Millisecond, random.IntN(4)
			if fate == 0 {
				length = -1
			}
			tasks.Go(func() {
				header := head(length)
				readable := r.Admit(header, maxBody, 0)
				assert.Check(t, budget.Reserved() <= limit)
				<-time.After(work)
				if length > readable || fate == 1 {
					r.Refuse(header, maxBody)
					return
				}
				release := r.Claim(header, max(length, 1000))
				<-time.After(work)
				release()
			})
		}
		tasks.Wait()
		assert.Equal(t, budget.Reserved(), 0)
	})
}

// TestUrgentBodiesGoFirst guards against urgent requests that are refused while less urgent ones
// get the room: what is released goes to the most urgent body that waits, also if it is large,
// and the less urgent are refused after a bounded wait.
func TestUrgentBodiesGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := reserver.NewBudget(limit, limit, timekeeper.System{})
		r := reserver.New(budget, timekeeper.System{})
		var releases []func()
		for range 2 {
			header := head(maxBody)
			assert.Equal(t, r.Admit(header, maxBody, 5), maxBody)
			releases = append(releases, r.Claim(header, maxBody))
		}
		type outcome struct {
			priority int
			admitted bool
			after    time.Duration
		}
		outcomes := make(chan outcome, 16)
		began := time.Now()
		for i, priority := range []int{9, 3, 9, 0, 3, 0} {
			length := maxBody
			if priority == 9 {
				length = maxBody / 4
			}
			go func() {
				header := head(length)
				admitted := r.Admit(header, maxBody, priority) == length
				outcomes <- outcome{priority, admitted, time.Since(began)}
				if admitted {
					release := r.Claim(header, length)
					<-time.After(300 * time.Millisecond)
					release()
				}
			}()
			// Each has arrived before the next.
			synctest.Wait()
			assert.Equal(t, len(outcomes), 0, "body %d waits", i)
		}
		<-time.After(100 * time.Millisecond)
		releases[0]()
		<-time.After(200 * time.Millisecond)
		releases[1]()
		var got []outcome
		for range 6 {
			got = append(got, <-outcomes)
		}
		for i, want := range []outcome{
			{0, true, 100 * time.Millisecond},
			{0, true, 300 * time.Millisecond},
			{3, true, 400 * time.Millisecond},
			{3, true, 600 * time.Millisecond},
			{9, true, 700 * time.Millisecond},
			{9, true, 700 * time.Millisecond},
		} {
			assert.Equal(t, got[i], want)
		}
		<-time.After(time.Second)
		assert.Equal(t, budget.Reserved(), 0)
	})
}

// TestLeastUrgentBodiesAreRefusedInTime keeps the room busy with urgent bodies: a body of a low
// priority is refused after a second, and those behind it find room as soon as it has given up.
func TestLeastUrgentBodiesAreRefusedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := reserver.NewBudget(limit, limit, timekeeper.System{})
		r := reserver.New(budget, timekeeper.System{})
		busy := head(maxBody)
		assert.Equal(t, r.Admit(busy, maxBody, 0), maxBody)
		large := head(limit)
		began := time.Now()
		go func() {
			assert.Check(t, r.Admit(large, limit, 5) == reserver.FreeBytes)
			assert.Check(t, time.Since(began) == time.Second)
		}()
		<-time.After(500 * time.Millisecond)
		small := head(maxBody)
		assert.Equal(t, r.Admit(small, maxBody, 9), maxBody)
		assert.Equal(t, time.Since(began), time.Second)
		assert.Equal(t, budget.Reserved(), 2*maxBody)
	})
}

// TestAnswersFindRoomBesideBodies guards against requests that have run and whose answers are lost
// since bodies take all memory: bodies leave a part of it to answers, and answers go first.
func TestAnswersFindRoomBesideBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := reserver.NewBudget(limit, limit/2, timekeeper.System{})
		r := reserver.New(budget, timekeeper.System{})
		body := head(maxBody)
		assert.Equal(t, r.Admit(body, maxBody, 0), maxBody)
		assert.Equal(t, r.Admit(head(maxBody), maxBody, 0), reserver.FreeBytes)
		began := time.Now()
		inTime := began.Add(time.Minute)
		assert.Check(t, budget.ReserveAnswer(t.Context(), maxBody, 9, inTime))
		var order []string
		var mu sync.Mutex
		wait := func(name string, reserve func() bool) {
			go func() {
				if reserve() {
					mu.Lock()
					defer mu.Unlock()
					order = append(order, name)
				}
			}()
			synctest.Wait()
		}
		wait("body", func() bool { return r.Admit(head(maxBody), maxBody, 0) == maxBody })
		wait("answer", func() bool { return budget.ReserveAnswer(t.Context(), maxBody, 9, inTime) })
		wait("urgent answer", func() bool { return budget.ReserveAnswer(t.Context(), maxBody, 1, inTime) })
		r.Claim(body, maxBody)()
		synctest.Wait()
		budget.ReleaseAnswer(maxBody)
		synctest.Wait()
		budget.ReleaseAnswer(maxBody)
		synctest.Wait()
		assert.DeepEqual(t, order, []string{"urgent answer", "answer", "body"})
		assert.Check(t, !budget.ReserveAnswer(t.Context(), maxBody, 0, time.Now()), "too late to wait")
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, budget.Reserved(), limit)
	})
}
