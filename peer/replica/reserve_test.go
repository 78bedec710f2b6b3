package replica

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestReservationsNeverPassTheBound guards against answers that refuse each other though one of them
// fits, and against a count beyond the bound: many answers reserve memory at the same time, each
// round nearly all of it.
func TestReservationsNeverPassTheBound(t *testing.T) {
	c := newClient()
	var tasks sync.WaitGroup
	var passed atomic.Int64
	for range 8 {
		tasks.Go(func() {
			for range 20_000 {
				a := &Answer{ctx: t.Context(), client: c.Client}
				if a.reserve(maxBufferedBytes, time.Time{}) == nil {
					a.ReleaseBody()
				}
				if c.memory.Reserved() > maxBufferedBytes {
					passed.Add(1)
				}
			}
		})
	}
	tasks.Wait()
	assert.Equal(t, passed.Load(), int64(0))
	assert.NilError(t, (&Answer{ctx: t.Context(), client: c.Client}).reserve(maxBufferedBytes, time.Time{}))
}

// TestAnswersHoldTheirMemoryUntilReleased guards against answers whose memory is given to others
// while their callers still read them: many callers that do not read would take an entry over its
// memory. An answer whose length is known takes all of its memory at once, so that several do not
// wait for each other with half of theirs.
func TestAnswersHoldTheirMemoryUntilReleased(t *testing.T) {
	const length = 2 << 20
	address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		go func() {
			for {
				if _, _, err := readRequest(reader); err != nil {
					return
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: r1\r\nContent-Length: %d\r\n\r\n%s", idField, length, strings.Repeat("x", length))
			}
		}()
	})
	c := newClient()
	var held []*Answer
	for range 7 {
		answer, err := c.Do(t.Context(), request(address, "r1", ""))
		assert.NilError(t, err)
		body, err := answer.ReadAll(4 << 20)
		assert.NilError(t, err)
		assert.Equal(t, len(body), length)
		answer.Close()
		held = append(held, answer)
	}
	assert.Check(t, c.memory.Reserved() >= 7*(length-freeBufferBytes), "%d bytes", c.memory.Reserved())

	// The eighth has room, the ninth only once another is released.
	read := make(chan error, 2)
	for range 2 {
		go func() {
			answer, err := c.Do(t.Context(), request(address, "r1", ""))
			if err == nil {
				defer answer.Close()
				_, err = answer.ReadAll(4 << 20)
			}
			read <- err
		}()
	}
	assert.NilError(t, <-read)
	assert.Equal(t, len(read), 0)
	held[0].ReleaseBody()
	held[0].ReleaseBody()
	assert.NilError(t, <-read)
	assert.Check(t, c.memory.Reserved() <= maxBufferedBytes)
}

// TestAnswerWhoseCallerHasLeftDoesNotWaitForMemory guards against requests that go on for as long as
// there is no memory for an answer that nobody wants any more.
func TestAnswerWhoseCallerHasLeftDoesNotWaitForMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClient()
		assert.Check(t, c.memory.ReserveAnswer(t.Context(), maxBufferedBytes, 0, time.Now()))
		ctx, cancel := context.WithCancel(t.Context())
		began := time.Now()
		time.AfterFunc(300*time.Millisecond, cancel)
		a := &Answer{ctx: ctx, client: c.Client, deadline: began.Add(time.Minute)}
		err := a.reserve(1<<20, a.deadline)
		assert.ErrorIs(t, err, ErrExchangeFailed)
		assert.Equal(t, time.Since(began), 300*time.Millisecond)
		c.memory.ReleaseAnswer(maxBufferedBytes)
		assert.Equal(t, c.memory.Reserved(), 0)
	})
}
