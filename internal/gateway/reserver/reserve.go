// Package reserver reserves memory for the bodies of requests before they are read, so that those
// of all connections together stay within a limit.
//
// A body whose length is known waits for a while until there is room, unread in the kernel. One
// that comes in chunks may be as large as there is room for. What a reservation is for is known
// by the head of its request, which stays at its place until the request is answered.
package reserver

import (
	"math/bits"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/valyala/fasthttp"
)

const (
	// FreeBytes is the size up to which bodies need no reservation. Ordinary ones are smaller.
	FreeBytes = 16 << 10
	// maxWait is how long a body waits for room.
	maxWait = time.Second
	// maxReadTime is how long a body may take to arrive. A reservation that is unclaimed after that
	// belongs to a connection that has ended.
	maxReadTime = 12 * time.Second
	// chunkedFactor is how many times its size a body in chunks may take while it is read: its
	// buffer is copied into one of twice the size.
	chunkedFactor = 3
)

// chunkedSizes are the sizes, in bytes, that are tried for a body in chunks if there is no room for
// the largest one.
var chunkedSizes = [...]int{512 << 10, 64 << 10}

// Reserver holds the reservations of a server. It is safe for concurrent use.
type Reserver struct {
	limit int
	clock timekeeper.Clock

	// mu guards the fields below.
	mu sync.Mutex
	// reserved is the number of bytes reserved, at most limit.
	reserved int
	// unclaimed holds the reservations of bodies that are being read.
	unclaimed map[*fasthttp.RequestHeader]reservation
	// released is closed and replaced when bytes are released.
	released chan struct{}
}

// reservation is that of one body.
type reservation struct {
	bytes     int
	expiresAt time.Time
}

// New returns a reserver of the given number of bytes.
func New(limit int, clock timekeeper.Clock) *Reserver {
	return &Reserver{limit: limit, clock: clock, unclaimed: make(map[*fasthttp.RequestHeader]reservation), released: make(chan struct{})}
}

// Admit returns how many bytes of the body of a request may be read, of which maxBytes are
// allowed. It waits for room if the head names a length. A longer body than it returns must be
// refused.
func (r *Reserver) Admit(header *fasthttp.RequestHeader, maxBytes int) int {
	r.drop(header)
	switch length := header.ContentLength(); {
	case length >= 0 && length <= FreeBytes || length > maxBytes || length < -1 || maxBytes <= FreeBytes:
		return maxBytes
	case length >= 0:
		if r.await(header, roundUp(length)) {
			return length
		}
	default:
		for _, size := range append([]int{maxBytes}, chunkedSizes[:]...) {
			if size <= maxBytes && r.reserve(header, chunkedFactor*size) {
				return size
			}
		}
	}
	return min(maxBytes, FreeBytes)
}

// roundUp returns the size of the buffer into which the HTTP library reads a body.
func roundUp(length int) int { return 1 << bits.Len(uint(length-1)) }

// await reserves bytes within maxWait. There is never room for more than the limit.
func (r *Reserver) await(header *fasthttp.RequestHeader, bytes int) bool {
	if bytes > r.limit {
		return false
	}
	var timeout <-chan time.Time
	for {
		r.mu.Lock()
		released := r.released
		r.mu.Unlock()
		if r.reserve(header, bytes) {
			return true
		}
		if timeout == nil {
			timeout = r.clock.After(maxWait)
		}
		select {
		case <-released:
		case <-timeout:
			return false
		}
	}
}

// reserve reserves bytes for a body if there is room.
func (r *Reserver) reserve(header *fasthttp.RequestHeader, bytes int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if r.reserved+bytes > r.limit {
		r.expire(now)
	}
	if r.reserved+bytes > r.limit {
		return false
	}
	r.reserved += bytes
	r.unclaimed[header] = reservation{bytes, now.Add(maxReadTime)}
	return true
}

// expire releases the reservations of connections that have ended. The caller holds mu.
func (r *Reserver) expire(now time.Time) {
	for header, entry := range r.unclaimed {
		if !now.Before(entry.expiresAt) {
			delete(r.unclaimed, header)
			r.reserved -= entry.bytes
		}
	}
}

// Claim takes over the reservation of a body that was read and takes the given number of bytes. The
// memory stays reserved until release is called, more than once for all the same.
func (r *Reserver) Claim(header *fasthttp.RequestHeader, bytes int) (release func()) {
	r.mu.Lock()
	entry, found := r.unclaimed[header]
	delete(r.unclaimed, header)
	held := 0
	if found {
		held = min(entry.bytes, bytes)
		r.release(entry.bytes - held)
	}
	r.mu.Unlock()
	var once sync.Once
	return func() {
		once.Do(func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.release(held)
		})
	}
}

// Refuse releases the reservation of a body that is not read as it is longer than Admit has returned.
// It reports whether that is because it is longer than the maxBytes that are allowed; else there
// was no room for it.
func (r *Reserver) Refuse(header *fasthttp.RequestHeader, maxBytes int) (tooLarge bool) {
	reserved := r.drop(header)
	if length := header.ContentLength(); length >= 0 {
		return length > maxBytes
	}
	return reserved >= chunkedFactor*maxBytes
}

// drop releases the reservation of a body and returns its size.
func (r *Reserver) drop(header *fasthttp.RequestHeader) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, found := r.unclaimed[header]
	if !found {
		return 0
	}
	delete(r.unclaimed, header)
	r.release(entry.bytes)
	return entry.bytes
}

// release releases bytes and wakes those that wait. The caller holds mu.
func (r *Reserver) release(bytes int) {
	if bytes == 0 {
		return
	}
	r.reserved -= bytes
	close(r.released)
	r.released = make(chan struct{})
}

// Reserved returns the number of bytes reserved.
func (r *Reserver) Reserved() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reserved
}
