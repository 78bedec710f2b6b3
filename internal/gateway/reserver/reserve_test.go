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
		r := reserver.New(limit, timekeeper.System{})
		first, second := head(maxBody), head(maxBody)
		assert.Equal(t, r.Admit(first, maxBody), maxBody)
		assert.Equal(t, r.Admit(second, maxBody), maxBody)
		release := r.Claim(first, maxBody)
		go func() {
			<-time.After(500 * time.Millisecond)
			release()
			release()
		}()
		began := time.Now()
		third := head(maxBody)
		assert.Equal(t, r.Admit(third, maxBody), maxBody)
		assert.Equal(t, time.Since(began), 500*time.Millisecond)
		fourth := head(maxBody)
		assert.Equal(t, r.Admit(fourth, maxBody), reserver.FreeBytes)
		assert.Equal(t, time.Since(began), 1500*time.Millisecond)
		assert.Check(t, !r.Refuse(fourth, maxBody))
		assert.Equal(t, r.Admit(head(100), maxBody), maxBody, "a small body needs no room")
		assert.Equal(t, r.Admit(head(2*limit), 4*limit), reserver.FreeBytes, "one that never fits does not wait")
		assert.Equal(t, time.Since(began), 1500*time.Millisecond)
		assert.Equal(t, r.Reserved(), limit)
	})
}

// TestReservationsOfLostConnectionsEnd guards against memory that stays reserved: the connection of a body
// ended while it was read, without a call to the reserver.
func TestReservationsOfLostConnectionsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := reserver.New(limit, timekeeper.System{})
		for range 2 {
			assert.Equal(t, r.Admit(head(maxBody), maxBody), maxBody)
		}
		<-time.After(12 * time.Second)
		reused := head(maxBody)
		assert.Equal(t, r.Admit(reused, maxBody), maxBody)
		assert.Equal(t, r.Reserved(), maxBody)
		assert.Equal(t, r.Admit(reused, maxBody), maxBody, "the next request on its connection")
		assert.Equal(t, r.Reserved(), maxBody)
	})
}

// TestChunksGetTheRoomThatIsThere has bodies in chunks, whose size is not known, one after the other.
func TestChunksGetTheRoomThatIsThere(t *testing.T) {
	r := reserver.New(3*maxBody, timekeeper.System{})
	first, second := head(-1), head(-1)
	assert.Equal(t, r.Admit(first, maxBody), maxBody)
	assert.Equal(t, r.Admit(second, maxBody), reserver.FreeBytes)
	assert.Check(t, !r.Refuse(second, maxBody), "there was no room")
	release := r.Claim(first, 100<<10)
	assert.Equal(t, r.Reserved(), 100<<10)
	assert.Equal(t, r.Admit(second, maxBody), 512<<10)
	assert.Check(t, !r.Refuse(second, maxBody), "there was no room")
	release()
	assert.Equal(t, r.Admit(second, maxBody), maxBody)
	assert.Check(t, r.Refuse(second, maxBody), "it is too large")
	assert.Equal(t, r.Reserved(), 0)
	assert.Equal(t, r.Admit(head(-1), 1000), 1000)
	assert.Check(t, r.Refuse(head(maxBody+1), maxBody), "it is too large")
}

// TestReservationsStayWithinTheLimit reserves from many goroutines at once.
func TestReservationsStayWithinTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := reserver.New(limit, timekeeper.System{})
		random := rand.New(rand.NewPCG(1, 2))
		var tasks sync.WaitGroup
		for range 200 {
			length, work, fate := random.IntN(maxBody), time.Duration(random.IntN(300))*time.Millisecond, random.IntN(4)
			if fate == 0 {
				length = -1
			}
			tasks.Go(func() {
				header := head(length)
				readable := r.Admit(header, maxBody)
				assert.Check(t, r.Reserved() <= limit)
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
		assert.Equal(t, r.Reserved(), 0)
	})
}
