package announcer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Changes of more than maxInlineBytes are not pushed. A daemon that learns that another has
// them requests them from one daemon at a time. They travel compressed and in parts, with
// other messages in between, at a rate that leaves the sender's link to requests.
const (
	// maxInlineBytes is the size of values that one message may hold.
	maxInlineBytes = 16 << 10
	// partBytes is the size of a part: 13 ms on a link of 10 Mbit/s.
	partBytes = 16 << 10
	// maxTransferBytes and maxDecodedBytes bound changes before and after decompression.
	maxTransferBytes = 16 << 20
	maxDecodedBytes  = 64 << 20
	// maxUploads is how many transfers a daemon sends at a time.
	maxUploads = 2
	// uploadShare is the share of the link that transfers may use. The rest is left to
	// requests and answers.
	uploadShare = 0.25
	// slowLinkBytesPerSecond is the rate below which a link counts as slow: a value of 1 MB takes
	// most of a second on it. A daemon with such a link sends one transfer at a time, and others
	// request changes from it only if they are missing for slowLinkPullDelay, unless it has them
	// from the store.
	slowLinkBytesPerSecond = 2 << 20
	slowLinkPullDelay      = time.Second
	// slowLinkCost has a source with a slow link come after all others.
	slowLinkCost = 2
	// compressionWindow bounds the memory of compression.
	compressionWindow = 1 << 20
)

// errNotWanted means that the receiver of a transfer has requested it elsewhere.
var errNotWanted = errors.New("no longer wanted")

// part is a piece of compressed changes.
type part struct {
	// Transfer distinguishes the transfers of a session.
	Transfer uint64 `cbor:"1,keyasint"`
	// TotalBytes is the size of all parts together.
	TotalBytes int    `cbor:"2,keyasint"`
	Data       []byte `cbor:"3,keyasint"`
}

// uploadState is what a daemon sends to those that have requested changes.
type uploadState struct {
	active int
	// freeAt is when the bytes that were sent so far have used up the upload rate.
	freeAt time.Time
	// encoded holds the changes after the revision encodedAfter up to encodedRevision,
	// which several daemons request one after the other.
	encoded                       []byte
	encodedAfter, encodedRevision uint64
}

// startUpload reports whether another transfer may be sent now. If so, it counts it as
// active until endUpload.
func (a *Announcer) startUpload() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := maxUploads
	if rate := a.deps.LinkBytesPerSecond; rate > 0 && rate < slowLinkBytesPerSecond {
		limit = 1
	}
	if a.upload.active >= limit {
		return false
	}
	a.upload.active++
	return true
}

func (a *Announcer) endUpload() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.upload.active--
}

// reserveUpload returns how long to wait before n more bytes may be sent.
func (a *Announcer) reserveUpload(n int) time.Duration {
	rate := a.deps.LinkBytesPerSecond * uploadShare
	if rate <= 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Now()
	if a.upload.freeAt.Before(now) {
		a.upload.freeAt = now
	}
	wait := a.upload.freeAt.Sub(now)
	a.upload.freeAt = a.upload.freeAt.Add(time.Duration(float64(n) / rate * float64(time.Second)))
	return wait
}

// encodeChanges returns changes after a revision in compressed form.
func (a *Announcer) encodeChanges(delta replicator.Delta, after uint64, keys []string) ([]byte, error) {
	reusable := len(keys) == 0
	a.mu.Lock()
	if u := &a.upload; reusable && u.encoded != nil && u.encodedAfter == after && u.encodedRevision == delta.Revision {
		defer a.mu.Unlock()
		return u.encoded, nil
	}
	a.mu.Unlock()
	data, err := compressDelta(delta)
	if err != nil {
		return nil, err
	}
	if reusable {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.upload.encoded, a.upload.encodedAfter, a.upload.encodedRevision = data, after, delta.Revision
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

// answerRequest sends the changes that the other end requests. Large changes are sent by
// another goroutine, unless too many transfers are being sent already.
func (s *session) answerRequest(m *message) error {
	a := s.announcer
	delta := a.deps.Table.Since(m.AfterRevision, m.WantKeys...)
	if !m.AcceptsParts || delta.ValueBytes() <= maxInlineBytes {
		a.deps.Recorder.Add("changes.sentBytes", delta.ValueBytes())
		return s.send(message{Delta: &delta})
	}
	if !a.startUpload() {
		a.deps.Recorder.Count("changes.refused")
		return s.send(message{Busy: true})
	}
	a.tasks.Go(func() {
		defer a.endUpload()
		if err := s.sendParts(s.ctx, delta, m.AfterRevision, m.WantKeys); err != nil {
			a.deps.Logger.Debug("fleet: transfer of changes ended early.", "address", s.conn.RemoteAddr(), "err", err)
		}
	})
	return nil
}

// sendParts sends changes in parts until ctx ends.
func (s *session) sendParts(ctx context.Context, delta replicator.Delta, after uint64, keys []string) error {
	a := s.announcer
	data, err := a.encodeChanges(delta, after, keys)
	if err != nil {
		return err
	}
	transfer := s.lastTransfer.Add(1)
	for sent := 0; sent < len(data); {
		piece := data[sent:min(sent+partBytes, len(data))]
		if wait := a.reserveUpload(len(piece)); wait > 0 {
			select {
			case <-ctx.Done():
			case <-a.deps.Clock.After(wait):
			}
		}
		if ctx.Err() != nil {
			return fmt.Errorf("session ended: %w", ctx.Err())
		}
		if transfer <= s.stoppedTransfer.Load() {
			return errNotWanted
		}
		if err := s.send(message{Part: &part{Transfer: transfer, TotalBytes: len(data), Data: piece}}); err != nil {
			return err
		}
		a.deps.Recorder.Add("changes.sentBytes", len(piece))
		sent += len(piece)
	}
	return nil
}

// incomingTransfer collects the parts of a transfer.
type incomingTransfer struct {
	id   uint64
	data []byte
}

// receivePart adds a part to the transfer that it belongs to, and applies the changes once
// all parts have arrived.
func (s *session) receivePart(p *part) error {
	a := s.announcer
	if s.incoming.id != p.Transfer {
		s.incoming = incomingTransfer{id: p.Transfer}
	}
	if p.TotalBytes > maxTransferBytes || len(s.incoming.data)+len(p.Data) > p.TotalBytes {
		return fmt.Errorf("changes from %s are larger than %d bytes", s.conn.RemoteAddr(), p.TotalBytes)
	}
	s.incoming.data = append(s.incoming.data, p.Data...)
	a.puller.progress(s)
	if len(s.incoming.data) < p.TotalBytes {
		return nil
	}
	data := s.incoming.data
	s.incoming = incomingTransfer{}
	delta, err := decompressDelta(data)
	if err != nil {
		return fmt.Errorf("changes from %s: %w", s.conn.RemoteAddr(), err)
	}
	s.applyChanges(delta, len(data))
	a.puller.end(s, 0)
	a.announceLargeChange()
	return nil
}

// announceLargeChange has this daemon's revision reported to the sidecars of its region,
// which then need not request a large change from another region.
func (a *Announcer) announceLargeChange() {
	a.largeRevision.Store(a.deps.Table.NewestRevision())
	a.deps.Broadcaster.Send()
}
