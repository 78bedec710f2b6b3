package link

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
	"github.com/quic-go/quic-go"
)

const (
	// maxMessageBytes bounds one message; the largest is a request body.
	maxMessageBytes = 8 << 20
	// alivePeriod is how often the answering side of an open exchange gives a sign
	// of life if it has nothing else to send.
	alivePeriod = 900 * time.Millisecond
	// progressBytes is the part of a message that must be taken within SilenceLimit: 30
	// Mbit/s carry it in 17 ms.
	progressBytes = 64 << 10
	// SilenceTimeout is how long an open exchange may be silent before it is given up.
	SilenceTimeout = 2 * time.Second
	// linkLimit is how long a connection may be silent. Nothing is sent on one that
	// has no exchange, so that links may be many.
	linkLimit = 60 * time.Second
	// handshakeLimit bounds the set-up of a connection.
	handshakeLimit = time.Second
	// idleLimit is how long a connection without streams is kept.
	idleLimit = 45 * time.Second
	// maxStreams bounds the open exchanges of one connection.
	maxStreams = 1 << 16
	// maxSessions bounds the TLS sessions kept for resumption.
	maxSessions = 1024
	// protocol is agreed on in the TLS handshake.
	protocol = "cyclamenward/1"

	codeCanceled quic.StreamErrorCode      = 1
	codeClosed   quic.ApplicationErrorCode = 0
)

var faults = errorx.NewNamespace("link")

// Errors of the transport.
var (
	// ErrNotSent means that no byte of the request left: it did not run.
	ErrNotSent = faults.NewType("notSent").New("request was not sent")
	// ErrCanceled means that the other side gave the exchange up on purpose.
	ErrCanceled = faults.NewType("canceled").New("exchange was cancelled")
	// ErrTooLarge means that a message exceeds the limit.
	ErrTooLarge = faults.NewType("tooLarge").New("message too large")
)

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:       handshakeLimit,
		MaxIdleTimeout:             linkLimit,
		MaxIncomingStreams:         maxStreams,
		InitialStreamReceiveWindow: 64 << 10,
		MaxStreamReceiveWindow:     1 << 20,
		// Probes for larger packets would cost more than most exchanges.
		DisablePathMTUDiscovery: true,
	}
}

// Stream is one exchange. Its methods may be used by one reader and one writer.
type Stream struct {
	stream *quic.Stream
	onDone func()
	done   sync.Once
	// silence is how long the other side may send nothing, and take nothing that is sent,
	// 0 for ever.
	silence time.Duration
	// deadline bounds all waits of the reader, zero for none.
	deadline time.Time

	// mu guards the fields below and is held while a message is written.
	mu sync.Mutex
	// sent is when the last message was written.
	sent time.Time
}

// Send writes one message.
func (s *Stream) Send(message any) error {
	body, err := cbor.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	if len(body) > maxMessageBytes {
		return ErrTooLarge
	}
	packet := make([]byte, 4+len(body))
	binary.BigEndian.PutUint32(packet, uint32(len(body)))
	copy(packet[4:], body)
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(packet) > 0 {
		n := min(len(packet), progressBytes)
		if err := s.write(packet[:n]); err != nil {
			return fmt.Errorf("write message: %w", translate(err))
		}
		packet = packet[n:]
	}
	s.sent = time.Now()
	return nil
}

// write waits until bytes are taken. A connection to a host that is gone takes none once
// its window is full.
func (s *Stream) write(bytes []byte) error {
	if s.silence > 0 {
		if err := s.stream.SetWriteDeadline(time.Now().Add(s.silence)); err != nil {
			return err
		}
	}
	_, err := s.stream.Write(bytes)
	return err
}

// stayAlive sends heartbeats until ctx ends.
func (s *Stream) stayAlive(ctx context.Context) {
	var timer *time.Timer
	var beat func()
	beat = func() {
		s.mu.Lock()
		quiet := time.Since(s.sent)
		s.mu.Unlock()
		if ctx.Err() != nil {
			return
		}
		if quiet >= alivePeriod {
			if s.Send(&Frame{Kind: KeepAlive}) != nil {
				return
			}
			quiet = 0
		}
		timer.Reset(alivePeriod - quiet)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = time.Now()
	timer = time.AfterFunc(alivePeriod, beat)
	context.AfterFunc(ctx, func() { timer.Stop() })
}

// Receive reads one message into the value. Signs of life are passed over.
func (s *Stream) Receive(message any) error {
	for {
		if err := s.receive(message); err != nil {
			return err
		}
		frame, ok := message.(*Frame)
		if !ok || frame.Kind != KeepAlive {
			return nil
		}
		*frame = Frame{}
	}
}

func (s *Stream) receive(message any) error {
	_ = s.stream.SetReadDeadline(s.nextDeadline())
	var head [4]byte
	if _, err := io.ReadFull(s.stream, head[:]); err != nil {
		return fmt.Errorf("read length: %w", translate(err))
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxMessageBytes {
		return ErrTooLarge
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(s.stream, body); err != nil {
		return fmt.Errorf("read message: %w", translate(err))
	}
	if err := cbor.Unmarshal(body, message); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}

// nextDeadline is when the next message must have arrived, zero for never.
func (s *Stream) nextDeadline() time.Time {
	if s.silence == 0 {
		return s.deadline
	}
	silent := time.Now().Add(s.silence)
	if s.deadline.IsZero() || silent.Before(s.deadline) {
		return silent
	}
	return s.deadline
}

// Context ends when the stream is cancelled by the other side or its
// connection is lost. The cause tells which.
func (s *Stream) Context() context.Context { return s.stream.Context() }

// SetReadDeadline bounds the wait of the following Receive calls. The reader
// calls it.
func (s *Stream) SetReadDeadline(deadline time.Time) { s.deadline = deadline }

// CloseSend tells the other side that no message follows.
func (s *Stream) CloseSend() { _ = s.stream.Close() }

// Cancel gives the exchange up; the other side sees ErrCanceled.
func (s *Stream) Cancel() {
	s.stream.CancelRead(codeCanceled)
	s.stream.CancelWrite(codeCanceled)
	s.release()
}

func (s *Stream) release() {
	s.done.Do(func() {
		if s.onDone != nil {
			s.onDone()
		}
	})
}

// IsCanceled reports whether err says that the other side gave up on purpose, as
// opposed to a lost connection.
func IsCanceled(err error) bool { return errors.Is(translate(err), ErrCanceled) }

func translate(err error) error {
	var reset *quic.StreamError
	if errors.As(err, &reset) && reset.Remote && reset.ErrorCode == codeCanceled {
		return ErrCanceled
	}
	return err
}
