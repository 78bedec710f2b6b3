package listener_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cyclamenward/cyclamenward/listener"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const getRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// exhaustDescriptors keeps this process from opening files until the returned function is called.
func exhaustDescriptors(t *testing.T) (restore func()) {
	t.Helper()
	var limit, lowered unix.Rlimit
	assert.NilError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &limit))
	lowestFree, err := unix.Dup(int(os.Stdout.Fd()))
	assert.NilError(t, err)
	assert.NilError(t, unix.Close(lowestFree))
	lowered = limit
	lowered.Cur = uint64(lowestFree)
	assert.NilError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &lowered))
	return func() { assert.Check(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &limit)) }
}

// awaitDeclined waits until the listener has failed to take a connection over.
func awaitDeclined(t *testing.T, l *listener.Listener) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if l.Accepting() {
			return poll.Continue("nothing has failed")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(20*time.Second))
}

// readStatus reads an answer from a connection and returns its status.
func readStatus(t *testing.T, client io.Reader) int {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	assert.NilError(t, err)
	return response.StatusCode
}

// TestLastDescriptorCostsNoRequest guards against a client whose connection is accepted with the last descriptor and
// then closed, as the event loop needs one more to take it over.
func TestLastDescriptorCostsNoRequest(t *testing.T) {
	l := serveOn(t, func(*fasthttp.RequestCtx) {})
	kept, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = kept.Close() }()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	assert.NilError(t, unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &unix.Timeval{Sec: 20}))
	client := os.NewFile(uintptr(fd), "client")
	defer func() { _ = client.Close() }()
	last, err := unix.Dup(int(os.Stdout.Fd()))
	assert.NilError(t, err)
	restore := exhaustDescriptors(t)
	assert.NilError(t, unix.Close(last))
	assert.NilError(t, unix.Connect(fd, &unix.SockaddrInet4{Port: kept.RemoteAddr().(*net.TCPAddr).Port, Addr: [4]byte{127, 0, 0, 1}}))
	_, err = io.WriteString(client, getRequest)
	assert.NilError(t, err)
	awaitDeclined(t, l)
	restore()
	assert.Equal(t, readStatus(t, client), http.StatusOK)
}

// TestConnectionsOutliveLackOfDescriptors guards against a listener that closes all connections and accepts
// none again once the process has run out of descriptors (LOST).
func TestConnectionsOutliveLackOfDescriptors(t *testing.T) {
	const lateClients = 4
	handled, answer := make(chan struct{}), make(chan struct{})
	l := serveOn(t, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/long" {
			close(handled)
			<-answer
		}
	})
	kept, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = kept.Close() }()
	assert.NilError(t, kept.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(kept, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	<-handled
	// Late clients have their descriptors before there are none left.
	port := kept.RemoteAddr().(*net.TCPAddr).Port
	var late []*os.File
	for range lateClients {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
		assert.NilError(t, err)
		assert.NilError(t, unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &unix.Timeval{Sec: 20}))
		late = append(late, os.NewFile(uintptr(fd), "client"))
	}
	restore := exhaustDescriptors(t)
	for _, client := range late {
		assert.NilError(t, unix.Connect(int(client.Fd()), &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}))
		_, err := io.WriteString(client, getRequest)
		assert.NilError(t, err)
	}
	awaitDeclined(t, l)
	close(answer)
	assert.Equal(t, readStatus(t, kept), http.StatusOK)
	restore()
	for _, client := range late {
		assert.Equal(t, readStatus(t, client), http.StatusOK)
		assert.NilError(t, client.Close())
	}
	_, err = io.WriteString(kept, getRequest)
	assert.NilError(t, err)
	assert.Equal(t, readStatus(t, kept), http.StatusOK)
}

// failingSocket fails to accept as often as an error is in the channel.
type failingSocket struct {
	net.Listener
	failures chan error
}

// Accept implements net.Listener.
func (s *failingSocket) Accept() (net.Conn, error) {
	accepted, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	select {
	case failure := <-s.failures:
		return nil, errors.Join(&net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", failure)}, accepted.Close())
	default:
		return accepted, nil
	}
}

// TestNoErrorOfAcceptEndsAListener guards against a listener that ends with an error of accept which passes:
// open connections are served on, new ones are accepted after it, and it says so.
func TestNoErrorOfAcceptEndsAListener(t *testing.T) {
	for _, failure := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.EIO, io.EOF, errors.New("unknown")} {
		t.Run(failure.Error(), func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			socket := &failingSocket{Listener: inner, failures: make(chan error, 2)}
			l, err := listener.NewOn(socket)
			assert.NilError(t, err)
			var reported atomic.Int32
			l.OnAcceptFailed(func(err error) {
				assert.Check(t, errors.Is(err, failure))
				reported.Add(1)
			})
			server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}, CloseOnShutdown: true, MaxIdleWorkerDuration: 10 * time.Millisecond}
			go func() { _ = server.Serve(l) }()
			kept, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = kept.Close() }()
			ask := func(client net.Conn) {
				assert.NilError(t, client.SetDeadline(time.Now().Add(20*time.Second)))
				_, err = io.WriteString(client, getRequest)
				assert.NilError(t, err)
				assert.Equal(t, readStatus(t, client), http.StatusOK)
			}
			ask(kept)
			assert.Check(t, l.Accepting())
			socket.failures <- failure
			socket.failures <- failure
			for range 2 {
				lost, err := net.Dial("tcp", l.Addr().String())
				assert.NilError(t, err)
				_, _ = lost.Read(make([]byte, 1))
				_ = lost.Close()
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if reported.Load() == 0 {
					return poll.Continue("no failure was reported")
				}
				return poll.Success()
			}, poll.WithDelay(time.Millisecond), poll.WithTimeout(20*time.Second))
			ask(kept)
			next, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = next.Close() }()
			ask(next)
			assert.Equal(t, reported.Load(), int32(1))
			assert.NilError(t, server.ShutdownWithContext(context.Background()))
			assert.NilError(t, l.Stop(context.Background()))
		})
	}
}
