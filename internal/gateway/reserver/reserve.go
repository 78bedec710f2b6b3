// Package reserver reserves memory for the bodies of requests before they are read, and for
// answers, so that those of all connections together stay within a budget.
//
// A body waits for a while until there is room, unread in the kernel. One that comes in chunks, whose
// length is not known, may be as large as there is room for then. What a reservation is for is known
// by the head of its request, which stays at its place until the request is answered.
package reserver

import (
	"context"
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
	// chunked stands for the length of a body that comes in chunks.
	chunked = -1
	// chunkedFactor is how many times its size a body in chunks may take while it is read: its
	// buffer is copied into one of twice the size.
	chunkedFactor = 3
)

// chunkedSizes are the sizes, in bytes, that are tried for a body in chunks if there is no room for
// the largest one.
var chunkedSizes = [...]int{512 << 10, 64 << 10}

// Reserver holds the reservations of the bodies of a server. It is safe for concurrent use.
type Reserver struct {
	budget *Budget
	clock  timekeeper.Clock

	// mu guards unclaimed, which holds the reservations of bodies that are being read.
	mu        sync.Mutex
	unclaimed map[*fasthttp.RequestHeader]reservation
}

// reservation is that of one body.
type reservation struct {
	bytes     int
	expiresAt time.Time
	// head is a copy of the request's head if its body comes in chunks: the HTTP library clears the
	// head when it cannot read such a body.
	head *fasthttp.RequestHeader
}

// New returns a reserver that takes from a budget.
func New(budget *Budget, clock timekeeper.Clock) *Reserver {
	return &Reserver{budget: budget, clock: clock, unclaimed: make(map[*fasthttp.RequestHeader]reservation)}
}

// Admit returns how many bytes of the body of a request may be read, of which maxBytes are
// allowed. It waits for room behind requests of a more urgent priority: lower values go first. A
// longer body than it returns must be refused.
func (r *Reserver) Admit(header *fasthttp.RequestHeader, maxBytes, priority int) int {
	r.drop(header)
	admitted := r.admit(header, maxBytes, priority)
	if header.ContentLength() == chunked {
		r.keepHead(header)
	}
	return admitted
}

func (r *Reserver) admit(header *fasthttp.RequestHeader, maxBytes, priority int) int {
	switch length := header.ContentLength(); {
	case length >= 0 && length <= FreeBytes || length > maxBytes || length < chunked || maxBytes <= FreeBytes:
		return maxBytes
	case length >= 0:
		if r.reserve(header, bodyClaim(roundUp(length), priority), maxWait) {
			return length
		}
	default:
		if size := r.reserveChunked(header, maxBytes, priority); size > 0 {
			return size
		}
	}
	return min(maxBytes, FreeBytes)
}

// reserveChunked reserves what room there is for a body in chunks, of which maxBytes are allowed. If
// there is not enough for the least size, it waits for that. It returns 0 if there is no room.
func (r *Reserver) reserveChunked(header *fasthttp.RequestHeader, maxBytes, priority int) int {
	sizes := []int{maxBytes}
	for _, size := range chunkedSizes {
		if size < maxBytes {
			sizes = append(sizes, size)
		}
	}
	for _, size := range sizes {
		if r.reserve(header, bodyClaim(chunkedFactor*size, priority), 0) {
			return size
		}
	}
	least := sizes[len(sizes)-1]
	if !r.reserve(header, bodyClaim(chunkedFactor*least, priority), maxWait) {
		return 0
	}
	for _, size := range sizes {
		if r.extend(header, bodyClaim(chunkedFactor*(size-least), priority)) {
			return size
		}
	}
	return least
}

// extend adds to the reservation of a body if there is room now.
func (r *Reserver) extend(header *fasthttp.RequestHeader, more claim) bool {
	if !r.budget.reserve(context.Background(), more, 0) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.unclaimed[header]
	entry.bytes += more.bytes
	r.unclaimed[header] = entry
	return true
}

// roundUp returns the size of the buffer into which the HTTP library reads a body.
func roundUp(length int) int { return 1 << bits.Len(uint(length-1)) }

func bodyClaim(bytes, priority int) claim { return claim{bytes: bytes, body: true, priority: priority} }

// reserve reserves what is claimed for a body, within a time.
func (r *Reserver) reserve(header *fasthttp.RequestHeader, c claim, timeout time.Duration) bool {
	if !r.budget.reserve(context.Background(), c, 0) {
		r.expire()
		if !r.budget.reserve(context.Background(), c, timeout) {
			return false
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unclaimed[header] = reservation{bytes: c.bytes, expiresAt: r.clock.Now().Add(maxReadTime)}
	return true
}

// keepHead keeps a copy of the head of a request whose body comes in chunks.
func (r *Reserver) keepHead(header *fasthttp.RequestHeader) {
	head := new(fasthttp.RequestHeader)
	header.CopyTo(head)
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, found := r.unclaimed[header]
	if !found {
		entry.expiresAt = r.clock.Now().Add(maxReadTime)
	}
	entry.head = head
	r.unclaimed[header] = entry
}

// RestoreHead restores the head of a request whose body could not be read.
func (r *Reserver) RestoreHead(header *fasthttp.RequestHeader) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if head := r.unclaimed[header].head; head != nil {
		head.CopyTo(header)
	}
}

// expire releases the reservations of connections that have ended.
func (r *Reserver) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for header, entry := range r.unclaimed {
		if !now.Before(entry.expiresAt) {
			delete(r.unclaimed, header)
			r.budget.release(bodyClaim(entry.bytes, 0))
		}
	}
}

// Claim takes over the reservation of a body that was read and takes the given number of bytes. The
// memory stays reserved until release is called, more than once for all the same.
func (r *Reserver) Claim(header *fasthttp.RequestHeader, bytes int) (release func()) {
	reserved := r.take(header)
	held := min(reserved, bytes)
	r.budget.release(bodyClaim(reserved-held, 0))
	var once sync.Once
	return func() { once.Do(func() { r.budget.release(bodyClaim(held, 0)) }) }
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
	reserved := r.take(header)
	r.budget.release(bodyClaim(reserved, 0))
	return reserved
}

// take removes the reservation of a body and returns its size, 0 if there is none.
func (r *Reserver) take(header *fasthttp.RequestHeader) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	reserved := r.unclaimed[header].bytes
	delete(r.unclaimed, header)
	return reserved
}
