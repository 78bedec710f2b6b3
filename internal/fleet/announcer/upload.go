package announcer

import (
	"fmt"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// uploader bounds the large changes that a daemon sends to those that have requested them: how
// many at a time, and which part of its link they take.
type uploader struct {
	clock timekeeper.Clock
	// limit is how many transfers are sent at a time. bytesPerSecond is the rate of all of them
	// together, 0 if there is no bound.
	limit          int
	bytesPerSecond float64

	// mu guards the fields below.
	mu     sync.Mutex
	active int
	// freeAt is when the bytes that were sent so far have used up the rate.
	freeAt time.Time
	// encoded holds the changes after the revision encodedAfter up to encodedRevision,
	// which several daemons request one after the other.
	encoded                       []byte
	encodedAfter, encodedRevision uint64
}

// newUploader returns the uploader of a daemon with a link of the given rate, 0 if it is not known.
func newUploader(clock timekeeper.Clock, linkBytesPerSecond float64) *uploader {
	u := &uploader{clock: clock, limit: maxUploads, bytesPerSecond: linkBytesPerSecond * uploadShare}
	if linkBytesPerSecond > 0 && linkBytesPerSecond < slowLinkBytesPerSecond {
		u.limit = 1
	}
	return u
}

// start reports whether another transfer may be sent now. If so, it counts it as active
// until end.
func (u *uploader) start() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.active >= u.limit {
		return false
	}
	u.active++
	return true
}

func (u *uploader) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.active--
}

// reserve returns how long to wait before n more bytes may be sent.
func (u *uploader) reserve(n int) time.Duration {
	if u.bytesPerSecond <= 0 {
		return 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.clock.Now()
	if u.freeAt.Before(now) {
		u.freeAt = now
	}
	wait := u.freeAt.Sub(now)
	u.freeAt = u.freeAt.Add(time.Duration(float64(n) / u.bytesPerSecond * float64(time.Second)))
	return wait
}

// encode returns changes after a revision in compressed form.
func (u *uploader) encode(delta replicator.Delta, after uint64, keys []string) ([]byte, error) {
	reusable := len(keys) == 0
	u.mu.Lock()
	if reusable && u.encoded != nil && u.encodedAfter == after && u.encodedRevision == delta.Revision {
		defer u.mu.Unlock()
		return u.encoded, nil
	}
	u.mu.Unlock()
	data, err := compressDelta(delta)
	if err != nil {
		return nil, err
	}
	if reusable {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.encoded, u.encodedAfter, u.encodedRevision = data, after, delta.Revision
	}
	return data, nil
}

// compressDelta encodes and compresses a delta.
func compressDelta(delta replicator.Delta) ([]byte, error) {
	text, err := cbor.Marshal(delta)
	if err != nil {
		return nil, fmt.Errorf("encode changes: %w", err)
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(compressionWindow), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, fmt.Errorf("compress changes: %w", err)
	}
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(text, nil), nil
}

// decompressDelta is the inverse of compressDelta.
func decompressDelta(data []byte) (replicator.Delta, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecodedBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		return replicator.Delta{}, fmt.Errorf("decompress changes: %w", err)
	}
	defer decoder.Close()
	text, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return replicator.Delta{}, fmt.Errorf("decompress changes: %w", err)
	}
	var delta replicator.Delta
	if err := cbor.Unmarshal(text, &delta); err != nil {
		return replicator.Delta{}, fmt.Errorf("decode changes: %w", err)
	}
	return delta, nil
}
