package replica

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/gateway/reserver"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"gotest.tools/v3/assert"
)

const idField = "X-Test-Id"

// serve listens on a local address and calls handle for one connection at a time.
func serve(t *testing.T, handle func(conn net.Conn, reader *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			handle(conn, bufio.NewReader(conn))
		}
	}()
	return listener.Addr().String()
}

// readRequest reads one request with its body.
func readRequest(reader *bufio.Reader) (*http.Request, string, error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(request.Body)
	return request, string(body), err
}

func request(address, id, body string) *Request {
	return &Request{
		Address: address, Method: "POST", Path: "/a/b?c=d", Fields: []Field{{Name: "Host", Value: "h.example"}, {Name: idField, Value: id}},
		Body: []byte(body), ID: id, ConnectTimeout: 5 * time.Second, Deadline: time.Now().Add(20 * time.Second), MaxIdleTime: time.Minute,
	}
}

// maxBufferedBytes is the memory for the answers of a test.
const maxBufferedBytes = 16 << 20

// testClient is a client with the memory that its answers take.
type testClient struct {
	*Client
	memory *reserver.Budget
}

func newClient() *testClient {
	memory := reserver.NewBudget(maxBufferedBytes, 0, timekeeper.System{})
	return &testClient{New(idField, Memory{Reserve: memory.ReserveAnswer, Release: memory.ReleaseAnswer}, timekeeper.System{}), memory}
}

// TestConnectionIsReused sends a request with a small and one with a large body and
// checks that both arrive unchanged on one connection.
func TestConnectionIsReused(t *testing.T) {
	connections := make(chan int, 4)
	accepted := 0
	address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		accepted++
		connections <- accepted
		for {
			r, body, err := readRequest(reader)
			if err != nil {
				return
			}
			answer := r.Method + " " + r.RequestURI + " " + body
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idField+": "+r.Header.Get(idField)+"\r\nTransfer-Encoding: chunked\r\n\r\n")
			for _, chunk := range []string{answer[:3], answer[3:]} {
				_, _ = io.WriteString(conn, encodeChunk(chunk))
			}
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	})
	c := newClient()
	for _, body := range []string{"small", strings.Repeat("x", 3*maxInlineBodyBytes)} {
		answer, err := c.Do(context.Background(), request(address, "r1", body))
		assert.NilError(t, err)
		got, err := answer.ReadAll(1 << 20)
		assert.NilError(t, err)
		assert.Equal(t, string(got), "POST /a/b?c=d "+body)
		answer.Close()
	}
	assert.Equal(t, <-connections, 1)
	assert.Equal(t, len(connections), 0)
}

func encodeChunk(s string) string {
	const digits = "0123456789abcdef"
	n, hexSize := len(s), ""
	for n > 0 {
		hexSize = string(digits[n%16]) + hexSize
		n /= 16
	}
	return hexSize + "\r\n" + s + "\r\n"
}

// TestAnswersToOtherRequestsAreSkipped sends a late answer to an earlier request
// before the right one. The connection is not reused.
func TestAnswersToOtherRequestsAreSkipped(t *testing.T) {
	address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _, _ = readRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idField+": old\r\nContent-Length: 5\r\n\r\nwrong")
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idField+": new\r\nContent-Length: 5\r\n\r\nright")
	})
	c := newClient()
	answer, err := c.Do(context.Background(), request(address, "new", "x"))
	assert.NilError(t, err)
	got, err := answer.ReadAll(100)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "right")
	answer.Close()
	assert.Equal(t, len(c.idle[address]), 0)
}

// TestExtraBytesPreventReuse sends extra bytes after a complete answer. The connection
// is not reused.
func TestExtraBytesPreventReuse(t *testing.T) {
	address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _, _ = readRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idField+": r\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n")
	})
	c := newClient()
	answer, err := c.Do(context.Background(), request(address, "r", "x"))
	assert.NilError(t, err)
	_, err = answer.ReadAll(100)
	assert.NilError(t, err)
	answer.Close()
	assert.Equal(t, len(c.idle[address]), 0)
}

// TestTruncatedBodiesFail closes the connection within bodies of each framing.
func TestTruncatedBodiesFail(t *testing.T) {
	for name, head := range map[string]string{
		"length":  "Content-Length: 9\r\n\r\npart",
		"chunked": "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"trailer": "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n",
	} {
		address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
			_, _, _ = readRequest(reader)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idField+": r\r\n"+head)
			_ = conn.Close()
		})
		answer, err := newClient().Do(context.Background(), request(address, "r", "x"))
		assert.NilError(t, err, name)
		_, err = answer.ReadAll(100)
		assert.ErrorIs(t, err, ErrExchangeFailed, name)
		answer.Close()
	}
}

// TestResetWithoutLengthFails sends an answer that ends with its connection. The answer
// is complete if the connection is closed in order, and fails if it is reset.
func TestResetWithoutLengthFails(t *testing.T) {
	for _, reset := range []bool{false, true} {
		address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
			_, _, _ = readRequest(reader)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n"+idField+": r\r\n\r\npart")
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		})
		answer, err := newClient().Do(context.Background(), request(address, "r", "x"))
		if err == nil {
			_, err = answer.ReadAll(100)
			answer.Close()
		}
		if reset {
			assert.ErrorIs(t, err, ErrExchangeFailed)
		} else {
			assert.NilError(t, err)
		}
	}
}

// TestEarlyAnswerToALongBody answers before the body is read. The answer arrives, and
// the connection is not reused, since the rest of the body would follow on it.
func TestEarlyAnswerToALongBody(t *testing.T) {
	address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = reader.ReadString('\n')
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\n"+idField+": r\r\nContent-Length: 0\r\n\r\n")
	})
	c := newClient()
	answer, err := c.Do(context.Background(), request(address, "r", strings.Repeat("x", 64<<20)))
	assert.NilError(t, err)
	assert.Equal(t, answer.Header().StatusCode(), 503)
	_, err = answer.ReadAll(100)
	assert.NilError(t, err)
	answer.Close()
	assert.Equal(t, len(c.idle[address]), 0)
}

// TestCanceledExchangeIsReset cancels a request that the server has not answered. Data
// that is still unsent must not arrive afterwards, so the connection is reset rather
// than closed in order.
func TestCanceledExchangeIsReset(t *testing.T) {
	arrived, ended := make(chan struct{}), make(chan error, 1)
	address := serve(t, func(_ net.Conn, reader *bufio.Reader) {
		_, _, _ = readRequest(reader)
		close(arrived)
		_, err := reader.ReadByte()
		ended <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := newClient().Do(ctx, request(address, "r", "x"))
	assert.ErrorIs(t, err, ErrExchangeFailed)
	assert.Assert(t, errors.Is(<-ended, syscall.ECONNRESET))
}

// TestClosedIdleConnectionIsNotUsed closes an idle connection from the server's side.
// The next request uses a new one.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{}, 2)
	address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _, _ = readRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idField+": r\r\nContent-Length: 2\r\n\r\nok")
		_ = conn.Close()
		closed <- struct{}{}
	})
	c := newClient()
	for range 2 {
		answer, err := c.Do(context.Background(), request(address, "r", "x"))
		assert.NilError(t, err)
		_, err = answer.ReadAll(100)
		assert.NilError(t, err)
		answer.Close()
		<-closed
	}
}

// TestFailedConnectIsNotSent connects to a port on which nothing listens.
func TestFailedConnectIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = newClient().Do(context.Background(), request(address, "r", "x"))
	assert.ErrorIs(t, err, ErrNotSent)
}

// TestRefusedSendSendsNothing refuses a request when its connection is open. Nothing of it may reach
// the server, and the connection serves the next request, with the fields that are added to it.
func TestRefusedSendSendsNothing(t *testing.T) {
	received := make(chan string, 2)
	address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			r, _, err := readRequest(reader)
			if err != nil {
				return
			}
			received <- r.Header.Get(idField) + r.Header.Get("X-Added")
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idField+": b\r\nContent-Length: 0\r\n\r\n")
		}
	})
	c, refused := newClient(), errors.New("caller has left")
	r := request(address, "a", "x")
	r.BeforeSend = func() ([]Field, error) { return nil, refused }
	_, err := c.Do(context.Background(), r)
	assert.ErrorIs(t, err, ErrNotSent)
	assert.ErrorIs(t, err, refused)
	r = request(address, "b", "x")
	r.BeforeSend = func() ([]Field, error) { return []Field{{Name: "X-Added", Value: "+"}}, nil }
	answer, err := c.Do(context.Background(), r)
	assert.NilError(t, err)
	answer.Close()
	assert.Equal(t, <-received, "b+")
}

// TestEventsAreNeverPartial reads a stream in pieces of every size, then a stream that
// ends within an event, then an event that is too large.
func TestEventsAreNeverPartial(t *testing.T) {
	const stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 5\ndata: c\n\n"
	for step := 1; step < len(stream); step++ {
		events := NewEventReader(&slowReader{rest: stream, step: step}, 100)
		var joined string
		var ids []int64
		for {
			event, err := events.Next()
			if err == io.EOF {
				break
			}
			assert.NilError(t, err)
			joined += string(event.Raw)
			ids = append(ids, event.ID)
		}
		assert.Equal(t, joined, stream)
		assert.DeepEqual(t, ids, []int64{1, 2, -1, 5})
	}
	events := NewEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: "), 100)
	_, err := events.Next()
	assert.NilError(t, err)
	_, err = events.Next()
	assert.ErrorIs(t, err, ErrExchangeFailed)
	_, err = NewEventReader(strings.NewReader(strings.Repeat("x", 5000)), 100).Next()
	assert.ErrorIs(t, err, errEventTooLarge)
}

// slowReader yields at most step bytes per Read.
type slowReader struct {
	rest string
	step int
}

func (r *slowReader) Read(p []byte) (int, error) {
	if r.rest == "" {
		return 0, io.EOF
	}
	n := copy(p, r.rest[:min(r.step, len(r.rest))])
	r.rest = r.rest[n:]
	return n, nil
}

// FuzzEvents checks that the joined events are a prefix of the stream.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n", 3)
	f.Add("\n\n\n", 1)
	f.Fuzz(func(t *testing.T, stream string, step int) {
		events := NewEventReader(&slowReader{rest: stream, step: 1 + (step&0xff)%64}, 1<<20)
		var joined string
		for {
			event, err := events.Next()
			if err != nil {
				break
			}
			assert.Assert(t, len(event.Raw) > 0)
			joined += string(event.Raw)
		}
		assert.Assert(t, strings.HasPrefix(stream, joined))
	})
}

// TestEndlessBytesTakeBoundedMemory has servers send bytes without end in a head, a body, a
// chunk's size, a trailer, an event, and answers to other requests. Every exchange fails
// soon, long before its deadline, and all together hold no more memory than allowed.
func TestEndlessBytesTakeBoundedMemory(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\n" + idField + ": r1\r\n"
		chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	)
	chunk := encodeChunk(strings.Repeat("x", 60_000))
	for name, script := range map[string]struct{ begin, repeat string }{
		"head":             {begin: head, repeat: "X-More: " + strings.Repeat("x", 100) + "\r\n"},
		"head of one line": {begin: "HTTP/1.1 200 ", repeat: strings.Repeat("x", 1000)},
		"no answer":        {repeat: strings.Repeat("\x00\xff", 500)},
		"interim answers":  {repeat: "HTTP/1.1 100 Continue\r\n\r\n"},
		"other answers":    {repeat: "HTTP/1.1 200 OK\r\n" + idField + ": other\r\nContent-Length: 2\r\n\r\nok"},
		"chunks":           {begin: chunked, repeat: chunk},
		"body":             {begin: head + "\r\n", repeat: strings.Repeat("x", 60_000)},
		"size of a chunk":  {begin: chunked, repeat: "0000000000"},
		"trailer":          {begin: chunked + encodeChunk("x") + "0\r\n", repeat: "X-More: x\r\n"},
	} {
		for _, events := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", events ", events), func(t *testing.T) {
				address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
					go func() {
						defer func() { _ = conn.Close() }()
						if _, _, err := readRequest(reader); err != nil {
							return
						}
						_, err := io.WriteString(conn, script.begin)
						for err == nil {
							_, err = io.WriteString(conn, script.repeat)
						}
					}()
				})
				c := newClient()
				var tasks sync.WaitGroup
				for range 20 {
					tasks.Go(func() { exhaust(t, c, address, events) })
				}
				tasks.Wait()
				assert.Equal(t, c.memory.Reserved(), 0)
			})
		}
	}
}

// exhaust reads an answer until it fails, and checks that it does so before its deadline
// and within the memory of all answers.
func exhaust(t *testing.T, c *testClient, address string, asEvents bool) {
	r := request(address, "r1", "")
	answer, err := c.Do(t.Context(), r)
	if err == nil {
		defer answer.Close()
		if asEvents {
			events := NewEventReader(answer, 1<<20)
			// Lines that end with a blank one are events; only the deadline of the request
			// ends a stream of these.
			for n := 0; err == nil && n < 1000; n++ {
				_, err = events.Next()
				assert.Check(t, cap(events.buffer) <= 4<<20)
			}
			if err == nil {
				return
			}
		} else {
			_, err = answer.ReadAll(4 << 20)
		}
	}
	assert.Check(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	assert.Check(t, c.memory.Reserved() <= maxBufferedBytes)
	assert.Check(t, time.Now().Before(r.Deadline))
}
