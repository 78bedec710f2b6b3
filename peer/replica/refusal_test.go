package replica

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEarlierRefusalIsNotTheAnswer guards against requests that are reported as not run, or run at
// a second replica, though the first one runs them (REFUSED, TWICE): a faulty replica writes an
// earlier refusal once more on a kept connection, with the ID of the earlier request or without any.
func TestEarlierRefusalIsNotTheAnswer(t *testing.T) {
	for _, id := range []string{idField + ": earlier\r\n", ""} {
		for _, behindAnswer := range []bool{true, false} {
			t.Run(fmt.Sprintf("%q, behind the answer: %v", id, behindAnswer), func(t *testing.T) {
				refusal := "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" + id + "Content-Length: 2\r\n\r\nno"
				var requests atomic.Int64
				answerAll := func(conn net.Conn, reader *bufio.Reader) {
					for {
						r, _, err := readRequest(reader)
						if err != nil {
							return
						}
						answer := "HTTP/1.1 200 OK\r\n" + idField + ": " + r.Header.Get(idField) + "\r\nContent-Length: 2\r\n\r\nok"
						switch n := requests.Add(1); {
						case n == 1:
							answer = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" + idField + ": earlier\r\nContent-Length: 2\r\n\r\nno"
						case !behindAnswer:
							answer = refusal + answer
						default:
							answer += refusal
						}
						_, _ = io.WriteString(conn, answer)
					}
				}
				address := serve(t, func(conn net.Conn, reader *bufio.Reader) { go answerAll(conn, reader) })
				c := newClient()
				for _, id := range []string{"earlier", "second", "third"} {
					answer, err := c.Do(context.Background(), request(address, id, "x"))
					if err != nil {
						assert.ErrorIs(t, err, ErrExchangeFailed, "the request may have run")
						continue
					}
					status := answer.Header().StatusCode()
					assert.Check(t, status == 200 || id == "earlier", "%s is answered by the refusal of another request", id)
					_, err = answer.ReadAll(100)
					assert.NilError(t, err)
					answer.Close()
				}
			})
		}
	}
}
