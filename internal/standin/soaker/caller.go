package soaker

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/checker"
	"github.com/cyclamenward/cyclamenward/internal/standin/generator"
	"github.com/cyclamenward/cyclamenward/internal/standin/launcher"
	"github.com/cyclamenward/cyclamenward/internal/standin/worker"
)

const (
	// dialTimeout is the time to connect to an edge, dialPause the pause after a failed try.
	dialTimeout, dialPause = time.Second, 50 * time.Millisecond
	// patience is how much longer than its timeout a caller waits for an answer.
	patience = 2 * time.Second
	// maxThinkMs is the longest pause between two requests on a connection.
	maxThinkMs = 150
	// maxHalfMs is the longest pause between the halves of a body.
	maxHalfMs = 300
	// abandonedOne of so many requests is given up by its caller after at most maxAbandonMs.
	abandonedOne, maxAbandonMs = 40, 400
	// slowOne of so many plain requests takes up to maxWorkMs.
	slowOne, maxWorkMs = 8, 2400
)

// caller sends requests on one connection after another.
type caller struct {
	deployment *deployment
	name       string
	random     *rand.Rand
	// draw returns the next request but for its ID, machine and time.
	draw func(c *caller) (checker.Request, string)
	// fresh is set if each request has a connection of its own.
	fresh bool
	sent  int
}

// call sends requests until stop is closed. A connection is kept until it ends.
func (c *caller) call(stop <-chan struct{}) {
	for {
		conn, err := c.connect(c.deployment.edges[c.random.IntN(len(c.deployment.edges))])
		if err != nil {
			if !wait(stop, dialPause) {
				return
			}
			continue
		}
		for open := true; open; {
			if !wait(stop, c.upTo(maxThinkMs)) {
				_ = conn.Close()
				return
			}
			request, key := c.draw(c)
			_, kept := conn.exchange(request, key)
			open = kept && !c.fresh
		}
		_ = conn.Close()
	}
}

// callerConn is a connection of a caller to an edge.
type callerConn struct {
	net.Conn
	caller *caller
	edge   *launcher.Daemon
	reader *bufio.Reader
}

// connect opens a connection to an edge, through the relay on its link if there is one.
func (c *caller) connect(edge *launcher.Daemon) (*callerConn, error) {
	address := edge.Front()
	if link := c.deployment.relay(callerLink(edge.Name())); link != nil {
		address = link.Address()
	}
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", edge.Name(), err)
	}
	return &callerConn{Conn: conn, caller: c, edge: edge, reader: bufio.NewReader(conn)}, nil
}

// wait waits for a time. It returns false if stop is closed first.
func wait(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(d):
		return true
	}
}

// upTo draws a time of at most so many milliseconds.
func (c *caller) upTo(milliseconds int) time.Duration {
	return time.Duration(c.random.IntN(milliseconds+1)) * time.Millisecond
}

// drawPlain draws a request to the plain service.
func drawPlain(c *caller) (checker.Request, string) {
	name, kind := "look", checker.Repeatable
	if c.random.IntN(2) == 0 {
		name, kind = "book", checker.AtMostOnce
	}
	request := checker.Request{Method: http.MethodPost, Path: "/" + name + "/x%2Fy?q=a+b", Body: strings.Repeat("crate\x00\r\n", c.random.IntN(200)), Service: plainService, Kind: kind, Timeout: plainTimeout, MaxAttempts: plainAttempts}
	if c.random.IntN(slowOne) == 0 {
		request.Path += fmt.Sprintf("&%s=%d", worker.WorkParameter, c.random.IntN(maxWorkMs))
	}
	return request, c.drawWorkspace(&request)
}

// drawVersioned draws a request on the route that one of the newest configurations has added.
func drawVersioned(c *caller) (checker.Request, string) {
	since := max(1, c.deployment.newestConfiguration()-c.random.IntN(versionsKept+2))
	request := checker.Request{Method: http.MethodGet, Path: fmt.Sprintf("/v%d/x", since), Service: plainService, Kind: checker.Repeatable, Timeout: plainTimeout, MaxAttempts: plainAttempts, Since: since, Until: since + versionsKept - 1}
	return request, c.drawWorkspace(&request)
}

// promptSubjects is the number of shared parts that callers send.
const promptSubjects = 4

// drawStream draws a request for a stream.
func drawStream(c *caller) (checker.Request, string) {
	name, kind, attempts := "chat", checker.Resumable, streamAttempts
	if c.random.IntN(3) == 0 {
		name, kind, attempts = "once", checker.AtMostOnce, onceAttempts
	}
	request := checker.Request{Method: http.MethodPost, Path: "/" + name + "/x", Body: "reconcile heat 3", Service: modelService, Kind: kind, Events: generator.Events, Timeout: streamTimeout, MaxAttempts: attempts}
	request.Prompt = fmt.Sprintf("5c1e07a%d:400,91bd3f%02x:200", c.random.IntN(promptSubjects), c.random.IntN(256))
	return request, c.drawWorkspace(&request)
}

// drawWorkspace draws the workspace of a request and returns its key.
func (c *caller) drawWorkspace(request *checker.Request) string {
	request.Workspace, request.Tokens = []string{"club-a", "club-b", dedicatedWorkspace}[c.random.IntN(3)], plainTokens
	if request.Prompt != "" {
		request.Tokens = promptTokens + outputTokens
	}
	return keys[request.Workspace]
}

// exchange sends one request and reads its answer. It returns the answer, and whether the connection is
// still open.
func (conn *callerConn) exchange(request checker.Request, key string) (answer checker.Answer, open bool) {
	c := conn.caller
	c.sent++
	request.ID, request.Machine, request.SentAt = fmt.Sprintf("%s-%d", c.name, c.sent), conn.edge.Name(), time.Now()
	c.deployment.history.Send(request)
	answer.ID = request.ID
	limit := request.SentAt.Add(request.Timeout + patience)
	if c.random.IntN(abandonedOne) == 0 {
		limit, answer.Abandoned = request.SentAt.Add(c.upTo(maxAbandonMs)), true
	}
	_ = conn.SetDeadline(limit)
	if c.write(conn, request, key) == nil {
		answer.Whole = time.Now()
	}
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: request.Method})
	if err == nil {
		answer.Status, answer.Seal = response.StatusCode, response.Header.Get(checker.FieldSeal)
		answer.RetryAfter = checker.RetryAfterOf(response.Header.Get(checker.FieldRetryAfter))
		if request.Events > 0 && response.StatusCode == http.StatusOK {
			answer.Events, err = readEvents(response.Body)
		} else {
			var body []byte
			body, err = io.ReadAll(response.Body)
			answer.Body = string(body)
		}
	}
	answer.Complete, answer.EndedAt = err == nil, time.Now()
	if answer.Complete {
		answer.Abandoned = false
	}
	c.deployment.history.Answer(answer)
	return answer, answer.Complete && !response.Close
}

// write sends a request, its body with a length or in chunks, and some bodies in halves.
func (c *caller) write(connection net.Conn, request checker.Request, key string) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n", request.Method, request.Path, host, checker.FieldRequestID, request.ID, checker.FieldDeadline, request.Timeout.Milliseconds(), key)
	if request.Prompt != "" {
		head += fmt.Sprintf("%s: %s\r\n%s: %d,%d\r\n%s: %s\r\n", checker.FieldModel, modelName, checker.FieldTokenCounts, promptTokens, outputTokens, checker.FieldPromptPrefix, request.Prompt)
	}
	if request.ContentType != "" {
		head += "Content-Type: " + request.ContentType + "\r\n"
	}
	half, chunked := len(request.Body)/2, request.Body != "" && c.random.IntN(4) == 0
	parts := []string{request.Body[:half], request.Body[half:]}
	switch {
	case chunked:
		head += "Transfer-Encoding: chunked\r\n\r\n"
		for i, part := range parts {
			if part != "" {
				parts[i] = strconv.FormatInt(int64(len(part)), 16) + "\r\n" + part + "\r\n"
			}
		}
		parts[1] += "0\r\n\r\n"
	case request.Method == http.MethodGet:
		head += "\r\n"
	default:
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(request.Body))
	}
	if _, err := io.WriteString(connection, head+parts[0]); err != nil {
		return fmt.Errorf("send head: %w", err)
	}
	if c.random.IntN(4) == 0 {
		<-time.After(c.upTo(maxHalfMs))
	}
	if _, err := io.WriteString(connection, parts[1]); err != nil {
		return fmt.Errorf("send body: %w", err)
	}
	return nil
}

// readEvents reads the events of a stream until it ends. The error is nil if it ends as complete.
func readEvents(body io.Reader) (events []checker.Event, err error) {
	reader, event := bufio.NewReader(body), checker.Event{ID: -1}
	for {
		line, err := reader.ReadString('\n')
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return events, fmt.Errorf("read events: %w", err)
		}
		name, value, _ := strings.Cut(strings.TrimRight(line, "\r\n"), ":")
		switch name {
		case "id":
			event.ID, err = strconv.Atoi(strings.TrimSpace(value))
			if err != nil {
				event.ID = -1
			}
		case "data":
			event.Data = value
		case "":
			events, event = append(events, event), checker.Event{ID: -1}
		}
	}
}
