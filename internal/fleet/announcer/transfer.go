package announcer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/state/replicator"
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

// answerRequest sends the changes that the other end requests. Large changes are sent by
// another goroutine, unless too many transfers are being sent already.
func (s *session) answerRequest(m *message) error {
	a := s.announcer
	delta := a.deps.Table.Since(m.AfterRevision, m.WantKeys...)
	if !m.AcceptsParts || delta.ValueBytes() <= maxInlineBytes {
		a.deps.Recorder.Add("changes.sentBytes", delta.ValueBytes())
		return s.send(message{Delta: &delta})
	}
	if !a.uploader.start() {
		a.deps.Recorder.Count("changes.refused")
		return s.send(message{Busy: true})
	}
	a.tasks.Go(func() {
		defer a.uploader.end()
		if err := s.sendParts(s.ctx, delta, m.AfterRevision, m.WantKeys); err != nil {
			a.deps.Logger.Debug("fleet: transfer of changes ended early.", "address", s.conn.RemoteAddr(), "err", err)
		}
	})
	return nil
}

// sendParts sends changes in parts until ctx ends.
func (s *session) sendParts(ctx context.Context, delta replicator.Delta, after uint64, keys []string) error {
	a := s.announcer
	data, err := a.uploader.encode(delta, after, keys)
	if err != nil {
		return err
	}
	transfer := s.lastTransfer.Add(1)
	for sent := 0; sent < len(data); {
		piece := data[sent:min(sent+partBytes, len(data))]
		if wait := a.uploader.reserve(len(piece)); wait > 0 {
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
