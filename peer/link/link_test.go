package link_test

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/keys"
	"github.com/cyclamenward/cyclamenward/peer/link"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// newBundle returns a daemon's certificate bundle, signed by a new authority.
func newBundle(t *testing.T) *keys.Bundle {
	t.Helper()
	directory := t.TempDir()
	assert.NilError(t, keys.MakeAuthority(directory))
	assert.NilError(t, keys.MakeDaemonCertificate(directory, "daemon"))
	b, err := keys.Load(directory+"/authority.pem", directory+"/daemon.pem", directory+"/daemon-key.pem")
	assert.NilError(t, err)
	return b
}

// serve starts a server and returns its address.
func serve(t *testing.T, b *keys.Bundle, handle func(*link.Request, *link.Stream)) string {
	t.Helper()
	server, err := link.NewServer("127.0.0.1:0", b.ServerConfig(), func(_ context.Context, request *link.Request, stream *link.Stream) { handle(request, stream) })
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return server.Addr().String()
}

// roundTrip sends a Sync request from a new client and returns the reply.
func roundTrip(t *testing.T, config *tls.Config, address string) (*link.Frame, error) {
	t.Helper()
	client, err := link.NewClient(config)
	assert.NilError(t, err)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return client.RoundTrip(ctx, address, &link.Request{Kind: link.Sync, RequestID: "r"})
}

// TestOnlyTheFleetGetsAnswers checks that a client without a certificate, or with one
// of another authority, gets no answer, and that a client refuses a server of another
// authority.
func TestOnlyTheFleetGetsAnswers(t *testing.T) {
	fleet, otherFleet := newBundle(t), newBundle(t)
	handled := 0
	address := serve(t, fleet, func(request *link.Request, stream *link.Stream) {
		handled++
		_ = stream.Send(&link.Frame{Kind: link.SyncResult, RequestID: request.RequestID})
	})
	frame, err := roundTrip(t, fleet.ClientConfig(), address)
	assert.NilError(t, err)
	assert.Equal(t, frame.RequestID, "r")
	withoutCertificate := fleet.ClientConfig()
	withoutCertificate.Certificates = nil
	otherCertificate := otherFleet.ClientConfig()
	otherCertificate.RootCAs = fleet.ClientConfig().RootCAs
	for name, config := range map[string]*tls.Config{"no certificate": withoutCertificate, "other authority": otherCertificate, "distrusted server": otherFleet.ClientConfig()} {
		_, err := roundTrip(t, config, address)
		assert.Check(t, err != nil, name)
	}
	assert.Equal(t, handled, 1)
}

// TestRequestToUnreachablePeerIsNotSent checks that a request to an address without a
// server fails with ErrNotSent.
func TestRequestToUnreachablePeerIsNotSent(t *testing.T) {
	_, err := roundTrip(t, newBundle(t).ClientConfig(), "127.0.0.1:9")
	assert.ErrorIs(t, err, link.ErrNotSent)
}

// TestCancelIsToldApartFromLoss checks that the server sees that the client canceled
// the exchange, and that other errors are not taken for that.
func TestCancelIsToldApartFromLoss(t *testing.T) {
	b := newBundle(t)
	ended := make(chan error, 1)
	address := serve(t, b, func(_ *link.Request, stream *link.Stream) {
		_ = stream.Send(&link.Frame{Kind: link.Admitted})
		<-stream.Context().Done()
		ended <- stream.Send(&link.Frame{Kind: link.End})
	})
	client, err := link.NewClient(b.ClientConfig())
	assert.NilError(t, err)
	defer client.Close()
	stream, err := client.Open(t.Context(), address, &link.Request{Kind: link.Infer})
	assert.NilError(t, err)
	var frame link.Frame
	assert.NilError(t, stream.Receive(&frame))
	stream.Cancel()
	assert.Assert(t, link.IsCanceled(<-ended))
	assert.Assert(t, !link.IsCanceled(errors.New("other")))
}

// TestSlowWorkIsNotSilence checks that the answer of a handler that takes longer than
// SilenceTimeout arrives, since keep-alive frames are sent meanwhile.
func TestSlowWorkIsNotSilence(t *testing.T) {
	b := newBundle(t)
	address := serve(t, b, func(request *link.Request, stream *link.Stream) {
		<-time.After(link.SilenceTimeout + 500*time.Millisecond)
		_ = stream.Send(&link.Frame{Kind: link.SyncResult, RequestID: request.RequestID})
	})
	frame, err := roundTrip(t, b.ClientConfig(), address)
	assert.NilError(t, err)
	assert.Equal(t, frame.Kind, link.SyncResult)
	assert.Equal(t, frame.RequestID, "r")
}

// FuzzFrame checks that no input makes the decoder panic and that every decoded frame
// can be encoded again.
func FuzzFrame(f *testing.F) {
	body, err := cbor.Marshal(&link.Frame{Kind: link.Token, AttemptID: "a", Index: 3, Text: "t", Status: &link.Status{Sidecar: "s"}})
	assert.NilError(f, err)
	f.Add(body)
	f.Fuzz(func(t *testing.T, body []byte) {
		var frame link.Frame
		if cbor.Unmarshal(body, &frame) != nil {
			return
		}
		_, err := cbor.Marshal(&frame)
		assert.NilError(t, err)
		var request link.Request
		_ = cbor.Unmarshal(body, &request)
	})
}

// relay forwards datagrams between one client and a server until cut is set.
type relay struct {
	socket *net.UDPConn
	cut    atomic.Bool
}

// newRelay starts a relay to the server's address.
func newRelay(t *testing.T, server string) *relay {
	t.Helper()
	remote, err := net.ResolveUDPAddr("udp", server)
	assert.NilError(t, err)
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, socket.Close()) })
	r := &relay{socket: socket}
	go func() {
		var client *net.UDPAddr
		buffer := make([]byte, 1<<16)
		for {
			n, from, err := socket.ReadFromUDP(buffer)
			if err != nil {
				return
			}
			to := remote
			if from.Port == remote.Port {
				to = client
			} else {
				client = from
			}
			if !r.cut.Load() && to != nil {
				_, _ = socket.WriteToUDP(buffer[:n], to)
			}
		}
	}()
	return r
}

// TestLostPeerDelaysNoRequest cuts a connection that is in use. A large request on it
// must fail soon after SilenceTimeout, long before the QUIC idle timeout, and the next
// request must succeed on a new connection.
func TestLostPeerDelaysNoRequest(t *testing.T) {
	b := newBundle(t)
	r := newRelay(t, serve(t, b, func(request *link.Request, stream *link.Stream) {
		_ = stream.Send(&link.Frame{Kind: link.SyncResult, RequestID: request.RequestID})
	}))
	client, err := link.NewClient(b.ClientConfig())
	assert.NilError(t, err)
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	address := r.socket.LocalAddr().String()
	_, err = client.RoundTrip(ctx, address, &link.Request{Kind: link.Sync})
	assert.NilError(t, err)
	r.cut.Store(true)
	began := time.Now()
	_, err = client.Open(ctx, address, &link.Request{Kind: link.Call, Call: &link.PlainCall{Body: make([]byte, 2<<20)}})
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(began) < 2*link.SilenceTimeout, "took %s", time.Since(began))
	r.cut.Store(false)
	_, err = client.RoundTrip(ctx, address, &link.Request{Kind: link.Sync})
	assert.NilError(t, err)
}
