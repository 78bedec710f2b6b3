package replica

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestDrippedAnswersEndAtDeadline has a server send one byte each 100 ms, in a head, a body, a
// chunk, a trailer or an event: the exchange ends at its deadline, not with the answer.
func TestDrippedAnswersEndAtDeadline(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\n" + idField + ": r1\r\n"
		chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	)
	for name, script := range map[string]struct{ begin, drip string }{
		"head":          {drip: head + "X-More: " + strings.Repeat("x", 1000)},
		"interim heads": {drip: strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100)},
		"body":          {begin: head + "Content-Length: 1000\r\n\r\n", drip: strings.Repeat("x", 1000)},
		"chunk":         {begin: chunked + "400\r\n", drip: strings.Repeat("x", 1000)},
		"event":         {begin: chunked + "400\r\nid: 1\ndata: ", drip: strings.Repeat("x", 1000)},
		"trailer":       {begin: chunked + "1\r\nx\r\n0\r\n", drip: "X-More: " + strings.Repeat("x", 1000)},
	} {
		for _, events := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				c := newClient()
				c.dial = func(context.Context, string) (net.Conn, error) {
					client, server := net.Pipe()
					go func() {
						defer func() { _ = server.Close() }()
						if _, _, err := readRequest(bufio.NewReader(server)); err != nil {
							return
						}
						_, err := io.WriteString(server, script.begin)
						for i := 0; err == nil && i < len(script.drip); i++ {
							_, err = io.WriteString(server, script.drip[i:i+1])
							<-time.After(100 * time.Millisecond)
						}
					}()
					return client, nil
				}
				started := time.Now()
				const timeout = 3 * time.Second
				answer, err := c.Do(t.Context(), &Request{Address: "a", Method: "GET", Path: "/", ID: "r1", ConnectTimeout: time.Second, Deadline: started.Add(timeout)})
				if err == nil {
					if events {
						reader := NewEventReader(answer, 1<<20)
						for err == nil {
							_, err = reader.Next()
						}
					} else {
						_, err = answer.ReadAll(1 << 20)
					}
					answer.Close()
				}
				took := time.Since(started)
				assert.Check(t, err != nil && err != io.EOF, "%s, events %v: %v", name, events, err)
				assert.Check(t, took >= timeout-200*time.Millisecond && took <= timeout, "%s, events %v: %v", name, events, took)
				assert.Equal(t, c.memory.Reserved(), 0)
				<-time.After(time.Second)
			})
		}
	}
}
