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
	// keepAlivePeriod is how often a connection with open streams is probed.
	keepAlivePeriod = 900 * time.Millisecond
	// SilenceLimit is how long a connection may be silent before it is given up.
	SilenceLimit = 2 * time.Second
	// handshakeLimit bounds the set-up of a connection.
	handshakeLimit = time.Second
	// idleLimit is how long a connection without streams is kept.
	idleLimit = 5 * time.Second
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
		MaxIdleTimeout:             SilenceLimit,
		KeepAlivePeriod:            keepAlivePeriod,
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
	if _, err := s.stream.Write(packet); err != nil {
		return fmt.Errorf("write message: %w", translate(err))
	}
	return nil
}

// Receive reads one message into the value.
func (s *Stream) Receive(message any) error {
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

// Context ends when the stream is cancelled by the other side or its
// connection is lost. The cause tells which.
func (s *Stream) Context() context.Context { return s.stream.Context() }

// SetReadDeadline bounds the wait of the following Receive calls.
func (s *Stream) SetReadDeadline(deadline time.Time) {
	_ = s.stream.SetReadDeadline(deadline)
}

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

// Canceled reports whether err says that the other side gave up on purpose, as
// opposed to a lost connection.
func Canceled(err error) bool { return errors.Is(translate(err), ErrCanceled) }

func translate(err error) error {
	var reset *quic.StreamError
	if errors.As(err, &reset) && reset.Remote && reset.ErrorCode == codeCanceled {
		return ErrCanceled
	}
	return err
}
