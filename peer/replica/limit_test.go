package replica

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"
)

// countingDial returns a dial whose connections are answered by a server each, and the most that were open at once.
func countingDial(t interface{ Helper() }) (dial func(context.Context, string) (net.Conn, error), most func() int) {
	t.Helper()
	var mu sync.Mutex
	open, highest := 0, 0
	return func(context.Context, string) (net.Conn, error) {
			mu.Lock()
			defer mu.Unlock()
			open++
			highest = max(highest, open)
			client, server := net.Pipe()
			go func() {
				defer func() { _ = server.Close() }()
				reader := bufio.NewReader(server)
				for {
					r, _, err := readRequest(reader)
					if err != nil {
						return
					}
					if _, err := fmt.Fprintf(server, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", idField, r.Header.Get(idField)); err != nil {
						return
					}
				}
			}()
			return &countedConn{Conn: client, closed: func() {
				mu.Lock()
				defer mu.Unlock()
				open--
			}}, nil
		}, func() int {
			mu.Lock()
			defer mu.Unlock()
			return highest
		}
}

// countedConn calls closed once when it is closed.
type countedConn struct {
	net.Conn
	once   sync.Once
	closed func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}

// TestConnectionsToAllServersStayWithinTheLimit guards against a process whose idle connections to many servers take
// the descriptors that its callers need: the longest idle one is closed for a new one, and a request beyond the
// limit is not sent.
func TestConnectionsToAllServersStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		c := newClient()
		c.LimitConnections(limit)
		var most func() int
		c.dial, most = countingDial(t)
		var answers []*Answer
		for n := range rapid.IntRange(1, 30).Draw(t, "steps") {
			if len(answers) > 0 && rapid.Bool().Draw(t, "ends") {
				i := rapid.IntRange(0, len(answers)-1).Draw(t, "answer")
				if rapid.Bool().Draw(t, "whole") {
					body, err := answers[i].ReadAll(10)
					assert.NilError(t, err)
					assert.Equal(t, string(body), "ok")
					answers[i].ReleaseBody()
				}
				answers[i].Close()
				answers = append(answers[:i:i], answers[i+1:]...)
				continue
			}
			address := fmt.Sprintf("10.0.0.%d:80", rapid.IntRange(0, 5).Draw(t, "server"))
			answer, err := c.Do(context.Background(), request(address, fmt.Sprint(n), "x"))
			if len(answers) == limit {
				assert.Check(t, errors.Is(err, ErrNotSent) && errors.Is(err, ErrNoDescriptor), "%v", err)
				continue
			}
			assert.NilError(t, err)
			answers = append(answers, answer)
		}
		for _, answer := range answers {
			answer.Close()
		}
		assert.Check(t, most() <= limit, "%d open", most())
		idle := 0
		for _, conns := range c.idle {
			idle += len(conns)
		}
		assert.Equal(t, c.open, idle)
	})
}

// TestFailedDialTellsOwnLackFromTheServers guards against a server that is taken for failed since this process could
// open no connection.
func TestFailedDialTellsOwnLackFromTheServers(t *testing.T) {
	for err, isOwn := range map[error]bool{
		syscall.EMFILE: true, syscall.ENFILE: true, syscall.ENOBUFS: true, syscall.ENOMEM: true, syscall.EADDRNOTAVAIL: true,
		syscall.ECONNREFUSED: false, syscall.ETIMEDOUT: false, syscall.EHOSTUNREACH: false, context.DeadlineExceeded: false, io.EOF: false,
	} {
		c := newClient()
		c.LimitConnections(1)
		c.dial = func(context.Context, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", err)}
		}
		for range 2 {
			_, got := c.Do(context.Background(), request("10.0.0.1:80", "q", ""))
			assert.Check(t, errors.Is(got, ErrNotSent), "%v", got)
			assert.Equal(t, errors.Is(got, ErrNoDescriptor), isOwn, "%v", got)
		}
		assert.Equal(t, c.open, 0)
	}
}

// TestConnectionIsCountedUntilItIsClosed guards against connections that are counted for ever, or given back twice,
// after an exchange whose context has ended.
func TestConnectionIsCountedUntilItIsClosed(t *testing.T) {
	c := newClient()
	c.LimitConnections(1)
	c.dial, _ = countingDial(t)
	for n := range 20 {
		ctx, cancel := context.WithCancel(context.Background())
		answer, err := c.Do(ctx, request("10.0.0.1:80", fmt.Sprint(n), ""))
		assert.NilError(t, err)
		cancel()
		answer.Close()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if c.openConns() > 0 {
				return poll.Continue("a closed connection is counted")
			}
			return poll.Success()
		}, poll.WithDelay(time.Millisecond), poll.WithTimeout(20*time.Second))
		assert.Equal(t, c.openConns(), 0)
	}
}

// openConns returns the number of connections that are counted.
func (c *Client) openConns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}
