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
	// maxMessageBytes bounds one message; the largest messages carry request bodies.
	maxMessageBytes = 8 << 20
	// keepAliveInterval is how often the replying side of an open exchange sends a
	// keep-alive frame if it has nothing else to send. Two fit into SilenceTimeout.
	keepAliveInterval = 900 * time.Millisecond
	// writeChunkBytes is the part of a message that must be written within SilenceTimeout;
	// at 30 Mbit/s it takes 17 ms.
	writeChunkBytes = 64 << 10
	// SilenceTimeout is how long the serving side of an open exchange may send no frame, or
	// accept no bytes of a request, before the client abandons the exchange. It also bounds
	// a server's wait for the request.
	SilenceTimeout = 2 * time.Second
	// quicIdleTimeout is how long a connection may receive no packets before QUIC closes
	// it. No keep-alives are sent on a connection without exchanges, so that many links
	// cost little.
	quicIdleTimeout = 60 * time.Second
	// handshakeTimeout bounds the QUIC handshake.
	handshakeTimeout = time.Second
	// unusedConnectionTimeout is how long a client keeps a connection without exchanges.
	unusedConnectionTimeout = 45 * time.Second
	// maxStreamsPerConnection bounds the open exchanges of one connection.
	maxStreamsPerConnection = 1 << 16
	// maxTLSSessions bounds the TLS sessions that a client keeps for resumption.
	maxTLSSessions = 1024
	// alpnProtocol is the protocol name that both sides must offer in the TLS handshake.
	alpnProtocol = "cyclamenward/1"

	// codeCanceled resets a stream whose exchange was canceled on purpose.
	codeCanceled quic.StreamErrorCode = 1
	// codeAbandoned resets a stream whose exchange is not read on, but not canceled.
	codeAbandoned quic.StreamErrorCode = 2
	// codeClosed closes a connection without an error.
	codeClosed quic.ApplicationErrorCode = 0
)

var errorNamespace = errorx.NewNamespace("link")

// Errors of exchanges.
var (
	// ErrNotSent means that no byte of the request was sent, so that it did not run.
	ErrNotSent = errorNamespace.NewType("notSent").New("request was not sent")
	// ErrCanceled means that the peer canceled the exchange on purpose.
	ErrCanceled = errorNamespace.NewType("canceled").New("exchange was cancelled")
	// ErrTooLarge means that a message exceeds maxMessageBytes.
	ErrTooLarge = errorNamespace.NewType("tooLarge").New("message too large")
)

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:       handshakeTimeout,
		MaxIdleTimeout:             quicIdleTimeout,
		MaxIncomingStreams:         maxStreamsPerConnection,
		InitialStreamReceiveWindow: 64 << 10,
		MaxStreamReceiveWindow:     1 << 20,
		// Path MTU probes would cost more than most exchanges.
		DisablePathMTUDiscovery: true,
	}
}

// Stream is one side of an exchange. One goroutine may read from it while another one
// sends.
type Stream struct {
	stream      *quic.Stream
	onRelease   func()
	releaseOnce sync.Once
	// silenceTimeout is how long the peer may send no message, or accept no bytes that are
	// sent to it; 0 for no limit.
	silenceTimeout time.Duration
	// readDeadline is when all Receive calls fail, zero for never.
	readDeadline time.Time

	// mu guards the fields below and is held while a message is written.
	mu sync.Mutex
	// lastSent is when the last message was sent.
	lastSent time.Time
}

// Send sends one message and returns once QUIC has accepted all of it.
func (s *Stream) Send(message any) error {
	body, err := cbor.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	if len(body) > maxMessageBytes {
		return ErrTooLarge
	}
	unsent := make([]byte, 4+len(body))
	binary.BigEndian.PutUint32(unsent, uint32(len(body)))
	copy(unsent[4:], body)
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(unsent) > 0 {
		n := min(len(unsent), writeChunkBytes)
		if err := s.write(unsent[:n]); err != nil {
			return fmt.Errorf("write message: %w", translateError(err))
		}
		unsent = unsent[n:]
	}
	s.lastSent = time.Now()
	return nil
}

// write writes a chunk within silenceTimeout. A connection to a host that has failed
// accepts no more once its flow-control window is full.
func (s *Stream) write(chunk []byte) error {
	if s.silenceTimeout > 0 {
		if err := s.stream.SetWriteDeadline(time.Now().Add(s.silenceTimeout)); err != nil {
			return err
		}
	}
	_, err := s.stream.Write(chunk)
	return err
}

// sendKeepAlives makes a timer send a keep-alive frame whenever nothing was sent for
// keepAliveInterval, until ctx ends.
func (s *Stream) sendKeepAlives(ctx context.Context) {
	var timer *time.Timer
	var sendIfIdle func()
	sendIfIdle = func() {
		s.mu.Lock()
		sinceLastSent := time.Since(s.lastSent)
		s.mu.Unlock()
		if ctx.Err() != nil {
			return
		}
		if sinceLastSent >= keepAliveInterval {
			if s.Send(&Frame{Kind: KeepAlive}) != nil {
				return
			}
			sinceLastSent = 0
		}
		timer.Reset(keepAliveInterval - sinceLastSent)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSent = time.Now()
	timer = time.AfterFunc(keepAliveInterval, sendIfIdle)
	context.AfterFunc(ctx, func() { timer.Stop() })
}

// Receive reads one message into message, which must be a pointer. Keep-alive frames are
// skipped.
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

// receive reads one message, which may be a keep-alive frame.
func (s *Stream) receive(message any) error {
	_ = s.stream.SetReadDeadline(s.nextReadDeadline())
	var lengthPrefix [4]byte
	if _, err := io.ReadFull(s.stream, lengthPrefix[:]); err != nil {
		return fmt.Errorf("read length: %w", translateError(err))
	}
	size := binary.BigEndian.Uint32(lengthPrefix[:])
	if size > maxMessageBytes {
		return ErrTooLarge
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(s.stream, body); err != nil {
		return fmt.Errorf("read message: %w", translateError(err))
	}
	if err := cbor.Unmarshal(body, message); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}

// nextReadDeadline returns when the next message must have arrived, zero for never.
func (s *Stream) nextReadDeadline() time.Time {
	if s.silenceTimeout == 0 {
		return s.readDeadline
	}
	silenceDeadline := time.Now().Add(s.silenceTimeout)
	if s.readDeadline.IsZero() || silenceDeadline.Before(s.readDeadline) {
		return silenceDeadline
	}
	return s.readDeadline
}

// Context returns a context that ends when the peer cancels the stream or the
// connection is lost. Its cause says which.
func (s *Stream) Context() context.Context { return s.stream.Context() }

// SetReadDeadline sets the time at which later Receive calls fail, zero for never. It
// must be called from the goroutine that calls Receive.
func (s *Stream) SetReadDeadline(deadline time.Time) { s.readDeadline = deadline }

// CloseSend tells the peer that no message follows.
func (s *Stream) CloseSend() { _ = s.stream.Close() }

// Cancel cancels the exchange; the peer sees ErrCanceled.
func (s *Stream) Cancel() {
	s.stream.CancelRead(codeCanceled)
	s.stream.CancelWrite(codeCanceled)
	s.release()
}

// Abandon ends the exchange as if the connection were lost: the peer does not see ErrCanceled. Receive
// fails. It may be called from any goroutine.
func (s *Stream) Abandon() {
	s.stream.CancelRead(codeAbandoned)
	s.release()
}

// release calls onRelease once.
func (s *Stream) release() {
	s.releaseOnce.Do(func() {
		if s.onRelease != nil {
			s.onRelease()
		}
	})
}

// IsCanceled reports whether err says that the peer canceled the exchange on purpose,
// as opposed to a lost connection.
func IsCanceled(err error) bool { return errors.Is(translateError(err), ErrCanceled) }

// translateError turns a reset of the stream by the peer with codeCanceled into
// ErrCanceled.
func translateError(err error) error {
	var reset *quic.StreamError
	if errors.As(err, &reset) && reset.Remote && reset.ErrorCode == codeCanceled {
		return ErrCanceled
	}
	return err
}
