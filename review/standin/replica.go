package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// heartbeat is the interval at which a replica writes its entry.
	heartbeat = 1200 * time.Millisecond
	// workTime is how long a replica works on a request, if a case sets no other time.
	workTime = 15 * time.Millisecond
	// drainBound and stableTime are drain-ms and stable-ms of the settings.
	drainBound, stableTime = 2500 * time.Millisecond, 4 * time.Second
)

// run is one request that a replica has run.
type run struct {
	replica, service, id, method, path, tenant string
	body                                       []byte
	at                                         time.Time
}

// runs collects the runs of all replicas.
type runs struct {
	mu   sync.Mutex
	list []run
	// arrived holds the IDs of the requests that have reached a replica, run or not.
	arrived map[string]bool
}

// arrive records that a request has reached a replica.
func (r *runs) arrive(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.arrived == nil {
		r.arrived = make(map[string]bool)
	}
	r.arrived[id] = true
}

// hasArrived reports whether a request has reached a replica.
func (r *runs) hasArrived(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrived[id]
}

func (r *runs) add(one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	logf("replica %s: runs %s, %s %s, %d bytes", one.replica, one.id, one.method, one.path, len(one.body))
	r.list = append(r.list, one)
}

func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

// plainReplica is a stand-in for a replica of a plain service.
type plainReplica struct {
	id, service, zone, address string
	born                       int64
	work                       time.Duration
	store                      *store
	runs                       *runs
	server                     *http.Server
	mu                         sync.Mutex
	state                      string
	// written is the state that was last written.
	written string
	// left is closed when the replica no longer writes its entry.
	left chan struct{}
}

// newPlainReplica starts a replica at a free port of an IP address.
func newPlainReplica(ip, id, service, zone string, s *store, r *runs) *plainReplica {
	listener, err := net.Listen("tcp", ip+":0")
	must(err)
	p := &plainReplica{id: id, service: service, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), work: workTime, store: s, runs: r, state: "ready", left: make(chan struct{})}
	p.server = &http.Server{Handler: http.HandlerFunc(p.handle)}
	go func() { _ = p.server.Serve(listener) }()
	p.beat()
	return p
}

// beatUntilLeft writes the entry at each heartbeat, the first time after a delay.
func (p *plainReplica) beatUntilLeft(delay time.Duration) {
	select {
	case <-p.left:
		return
	case <-time.After(delay):
	}
	for tick := time.Tick(heartbeat); ; {
		p.beat()
		select {
		case <-p.left:
			return
		case <-tick:
		}
	}
}

// beat writes the entry unless the replica has left. The entry changes only when more than its
// sequence changes, so a beat that brings nothing new is not shown to the store.
func (p *plainReplica) beat() {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.left:
		return
	default:
	}
	if p.written == p.state {
		return
	}
	p.written = p.state
	p.store.put("servers/"+p.id, map[string]any{"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": 6, "state": p.state, "cold-left-ms": 0, "sequence": 0, "born": p.born})
}

// leave removes the entry without a report of draining; the replica serves on for a while and
// then ends. It returns when the store has acknowledged that.
func (p *plainReplica) leave(serveFor time.Duration) time.Time {
	p.mu.Lock()
	close(p.left)
	p.store.remove("servers/" + p.id)
	p.mu.Unlock()
	time.AfterFunc(serveFor, func() { _ = p.server.Close() })
	return time.Now()
}

// drain reports that the replica is draining, and leaves after drain-ms.
func (p *plainReplica) drain(serveFor time.Duration) {
	p.mu.Lock()
	p.state = "draining"
	p.mu.Unlock()
	p.beat()
	time.AfterFunc(drainBound, func() { p.leave(serveFor) })
}

func (p *plainReplica) handle(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	p.runs.arrive(r.Header.Get("X-Cyclamenward-Request-Id"))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Cyclamenward-Replica-Load", "1,0,6")
	if r.URL.Path == "/health" {
		w.Header().Set("X-Cyclamenward-Replica-Id", p.id)
		return
	}
	id := r.Header.Get("X-Cyclamenward-Request-Id")
	w.Header().Set("X-Cyclamenward-Request-Id", id)
	if expected := r.Header.Get("X-Cyclamenward-Expect-Replica"); expected != "" && expected != p.id {
		w.Header().Set("X-Cyclamenward-Replica-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.runs.add(run{replica: p.id, service: p.service, id: id, method: r.Method, path: r.RequestURI, tenant: r.Header.Get("X-Cyclamenward-Tenant"), body: body, at: at})
	time.Sleep(p.work)
	w.Header().Set("X-Cyclamenward-Replica-Seal", "seal-"+p.id+"-"+id)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "answer to %s by %s\n", id, p.id)
}

// plainRoutes is a configuration with an idempotent and a non_idempotent route to a service.
func plainRoutes(version int, service string) map[string]any {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{"name": name, "host": "desk.example", "prefix": prefix, "service": service, "route-kind": kind, "timeout-ms": 3000, "target-latency-ms": 200, "priority": 2, "max-attempts": 2, "public": false}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("look", "/look/", "idempotent"), route("book", "/book/", "non_idempotent")},
		"services": []any{map[string]any{"name": service, "health-path": "/health", "slots": 6}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "club-a", "api-keys": []string{"key-a"}}},
	}
}

var keyA = map[string]string{"Authorization": "Bearer key-a"}
