package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Header fields of the platform.
const (
	fieldID       = "X-Cyclamenward-Request-Id"
	fieldDeadline = "X-Cyclamenward-Deadline-Ms"
	fieldExpect   = "X-Cyclamenward-Expect-Replica"
	fieldSeal     = "X-Cyclamenward-Replica-Seal"
	fieldReplica  = "X-Cyclamenward-Replica-Id"
	fieldNotRun   = "X-Cyclamenward-Not-Executed"
	fieldLoad     = "X-Cyclamenward-Replica-Load"
	fieldTenant   = "X-Cyclamenward-Tenant"
)

// runs counts how often each request has run, by its ID.
type runs struct {
	mu    sync.Mutex
	count map[string]int
	at    map[string][]string
}

func newRuns() *runs { return &runs{count: map[string]int{}, at: map[string][]string{}} }

func (r *runs) add(id, replica string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count[id]++
	r.at[id] = append(r.at[id], replica)
}

func (r *runs) of(id string) (int, []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[id], r.at[id]
}

// plain is a replica of a plain service. Its entry is kept in the store.
type plain struct {
	id, service, address, zone string
	born                       int64
	store                      *store
	// serve answers one request, the n-th on its connection from 0 on. It returns false if the
	// connection is to be closed.
	serve func(c net.Conn, q *http.Request, body []byte, n int) bool

	mu    sync.Mutex
	state string
	beats int
	// more returns further fields of the entry, nil for none.
	more func() map[string]any
}

func newPlain(s *store, id, service, ip, zone string, serve func(p *plain) func(c net.Conn, q *http.Request, body []byte, n int) bool) (*plain, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &plain{id: id, service: service, address: l.Addr().String(), zone: zone, born: time.Now().UnixMilli(), store: s, state: "ready"}
	p.serve = serve(p)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.handle(c)
		}
	}()
	p.beat()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			p.beat()
		}
	}()
	return p, nil
}

// beat writes the entry unless it was removed.
func (p *plain) beat() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == "" {
		return
	}
	p.beats++
	entry := map[string]any{"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": 6, "state": p.state, "cold-left-ms": 0, "sequence": p.beats, "born": p.born}
	if p.more != nil {
		for key, value := range p.more() {
			entry[key] = value
		}
	}
	p.store.put("servers/"+p.id, entry)
}

// setState writes the entry with a state, or removes it if the state is "".
func (p *plain) setState(state string) time.Time {
	p.mu.Lock()
	p.state = state
	p.mu.Unlock()
	if state == "" {
		return p.store.remove("servers/" + p.id)
	}
	p.beat()
	return time.Now()
}

func (p *plain) handle(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for n := 0; ; n++ {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if e := q.Header.Get(fieldExpect); e != "" && e != p.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", fieldID, q.Header.Get(fieldID), fieldReplica, p.id, fieldNotRun)
			continue
		}
		if !p.serve(c, q, body, n) {
			return
		}
	}
}

// answerText returns a whole answer of a replica.
func answerText(status int, id, replica, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s.%s\r\n%s: 1,0,6\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), fieldID, id, fieldSeal, replica, id, fieldLoad, len(body), body)
}

// reply is what a client got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
	at     time.Time
}

// client is a client with one kept connection.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// do sends one request on the kept connection, or on a new one, and reads the answer.
func (c *client) do(method, host, path, id, body string, timeout time.Duration, fields ...string) reply {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return reply{err: err, at: time.Now()}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, host, fieldID, id, fieldDeadline, timeout.Milliseconds())
	for _, f := range fields {
		text += f + "\r\n"
	}
	if method != "GET" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(c.conn, text+"\r\n"+body); err != nil {
		c.close()
		return reply{err: err, at: time.Now()}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.close()
		return reply{err: err, at: time.Now()}
	}
	data, err := io.ReadAll(response.Body)
	if err != nil || response.Close {
		c.close()
	}
	return reply{status: response.StatusCode, header: response.Header, body: string(data), err: err, at: time.Now()}
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// route is a route of a configuration.
func route(name, host, prefix, service, kind string, attempts int, more map[string]any) map[string]any {
	m := map[string]any{"name": name, "host": host, "prefix": prefix, "service": service, "route-kind": kind, "timeout-ms": 3000, "target-latency-ms": 200, "max-attempts": attempts, "priority": 2, "public": false}
	for key, value := range more {
		m[key] = value
	}
	return m
}

// configuration returns a configuration with one tenant, whose key is k1.
func configuration(version int, services []map[string]any, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 20000},
		"tenants": []map[string]any{{"name": "t1", "api-keys": []string{"k1"}, "dedicated": false}},
	}
}
