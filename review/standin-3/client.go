package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	bookHost, bookPath     = "hulo84.example", "/fiti832/ti23/"
	lookHost, lookPath     = "voka93.example", "/filo73/de11/"
	streamHost, streamPath = "jepu9.example", "/lepu270/"
	apiKey                 = "ctnfzs989anu6wsjnban"
	tenant                 = "sese880"
)

// configuration returns the operator's document.
func configuration(version int, plainService, modelService string) map[string]any {
	routes := []any{
		map[string]any{"name": "r-book", "host": bookHost, "prefix": bookPath, "route-kind": "non_idempotent", "timeout-ms": 1000, "target-latency-ms": 200, "priority": 2, "service": plainService, "max-attempts": 1, "public": false, "session-affinity": false, "resumable": false},
		map[string]any{"name": "r-look", "host": lookHost, "prefix": lookPath, "route-kind": "idempotent", "timeout-ms": 1000, "target-latency-ms": 200, "priority": 2, "service": plainService, "max-attempts": 2, "public": false, "session-affinity": false, "resumable": false},
	}
	services := []any{map[string]any{"name": plainService, "health-path": "/health", "max-conns": 96, "protocol": "h1", "tls": false}}
	if modelService != "" {
		routes = append(routes, map[string]any{"name": "r-stream", "host": streamHost, "prefix": streamPath, "route-kind": "streaming", "timeout-ms": 12000, "target-latency-ms": 800, "priority": 1, "service": modelService, "max-attempts": 1, "public": false, "session-affinity": true, "resumable": false, "gap-aim-ms": 250})
		services = append(services, map[string]any{"name": modelService, "health-path": "/health", "max-conns": 230, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 32, "kv-capacity-tokens": 210254, "kv-token-bytes": 327680, "link-mbps": 740000.0, "moves": true, "backups": true, "stride": 7, "max-inflight": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": model}}}})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api-keys": []string{apiKey}, "priority": 1, "dedicated": false}},
	}
}

// traffic is the record of what is sent, answered and run.
var traffic *recorder

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x1c41d07be0000000+lastID.Add(1)) }

// result is what a client has seen of one attempt.
type result struct {
	id     string
	status int
	// sealed is set if the answer bears a seal, whole if its body has arrived to its end.
	sealed, whole bool
	replica       string
	pieces        int
	retryAfter    string
	err           error
	took          time.Duration
}

func (r result) String() string {
	text := fmt.Sprintf("%s %d", r.id, r.status)
	if r.sealed {
		text += " sealed by " + r.replica
	}
	if !r.whole {
		text += " not whole"
	}
	if r.pieces > 0 {
		text += fmt.Sprintf(" %d pieces", r.pieces)
	}
	text += fmt.Sprintf(" after %.3f s", r.took.Seconds())
	if r.err != nil {
		text += ": " + r.err.Error()
	}
	return text
}

// pause returns how long the caller waits after a refusal.
func (r result) pause() time.Duration {
	if seconds, err := strconv.ParseFloat(r.retryAfter, 64); err == nil && seconds > 0 {
		return time.Duration(seconds * float64(time.Second))
	}
	return 500 * time.Millisecond
}

// client is one connection of a caller.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dial opens a connection from the given address, "" for any. Callers allow a second.
func dial(from, to string) (*client, error) {
	d := net.Dialer{Timeout: time.Second}
	if from != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	conn, err := d.Dial("tcp", to)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReaderSize(conn, 2048)}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// request returns the bytes of a request.
func request(kind, id string, deadline time.Duration, extra string) []byte {
	common := fmt.Sprintf("X-Cyclamenward-Request-Id: %s\r\nX-Cyclamenward-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s", id, deadline.Milliseconds(), apiKey, extra)
	switch kind {
	case "book":
		body := "booking " + id
		return fmt.Appendf(nil, "POST %s2f HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %d\r\n\r\n%s", bookPath, bookHost, common, len(body), body)
	case "look":
		return fmt.Appendf(nil, "GET %s2f HTTP/1.1\r\nHost: %s\r\n%s\r\n", lookPath, lookHost, common)
	}
	body := "prompt of " + id
	return fmt.Appendf(nil, "POST %s2f HTTP/1.1\r\nHost: %s\r\nX-Cyclamenward-Model: %s\r\nX-Cyclamenward-Token-Counts: 1460,80\r\nX-Cyclamenward-Prompt-Prefix: 5c1e07a2:800,%s:660\r\n%sContent-Length: %d\r\n\r\n%s", streamPath, streamHost, model, id[8:], common, len(body), body)
}

// send sends a request and reads its answer until the deadline.
func (c *client) send(kind string, deadline time.Duration, extra string) (r result) {
	r.id = newID()
	begun := time.Now()
	defer func() {
		r.took = time.Since(begun)
		traffic.note("%s to %s: %v", kind, c.conn.RemoteAddr(), r)
	}()
	_ = c.conn.SetDeadline(begun.Add(deadline))
	if _, r.err = c.conn.Write(request(kind, r.id, deadline, extra)); r.err != nil {
		return r
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: "POST"})
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = answer.Body.Close() }()
	r.status = answer.StatusCode
	r.retryAfter = answer.Header.Get("Retry-After")
	if seal := answer.Header.Get("X-Cyclamenward-Replica-Seal"); seal != "" {
		r.sealed = true
		if parts := strings.Split(seal, "."); len(parts) > 2 {
			r.replica = parts[1]
		}
	}
	body, err := io.ReadAll(answer.Body)
	r.pieces = strings.Count(string(body), "\n\n")
	r.whole = err == nil
	if err != nil {
		r.err = err
	} else if answer.Close {
		r.err = errClosing
	}
	r.took = time.Since(begun)
	return r
}

// errClosing means that the answer was whole and the server closes the connection.
var errClosing = errors.New("connection closes")
