package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// engineEvents is how many events a stream has, and eventInterval the time between two.
	engineEvents  = 40
	eventInterval = 50 * time.Millisecond
	// engineSlots is how many requests an engine runs at once. It rejects others.
	engineSlots = 4
	// preemptedAt is the event after which a request is preempted, and preemption how long it
	// waits until it has been read in again.
	preemptedAt = 8
	preemption  = 1800 * time.Millisecond
	// loadTime is how long an engine takes to load weights.
	loadTime = 390 * time.Millisecond
)

// stream is what an engine saw of one run.
type stream struct {
	engine, id string
	after      int
	begun      time.Time
	// made is how many events were made. cutAt is when the connection was closed before the
	// last event, zero if it was not, and preempted whether that was during a preemption.
	made      int
	cutAt     time.Time
	preempted bool
}

// engine is a stand-in for a model replica.
type engine struct {
	id, address string
	born        int64
	store       *store
	mu          sync.Mutex
	version     int
	// next is the version of the last order that was accepted, which is loaded at loadedAt.
	next     int
	loadedAt time.Time
	sequence int
	// written is the version that was last written to the store.
	written int
	running int
	// preempts is set while the engine is short of memory: it then preempts the newest of
	// every engineSlots requests once.
	preempts bool
	begun    int
	streams  []*stream
}

const engineModel = "model-a"

// newEngine starts a model replica at a free port of an IP address.
func newEngine(ip, id string, s *store) *engine {
	listener, err := net.Listen("tcp", ip+":0")
	must(err)
	e := &engine{id: id, address: listener.Addr().String(), born: time.Now().UnixMilli(), store: s, version: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.handleReport)
	mux.HandleFunc("POST /order", e.handleOrder)
	mux.HandleFunc("GET /kv-events", e.handleEvents)
	mux.HandleFunc("/", e.handle)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	e.beat()
	go func() {
		for range time.Tick(heartbeat) {
			e.beat()
		}
	}()
	return e
}

// models returns the versions of the engine's models. The caller holds mu.
func (e *engine) models() []any {
	if e.next > e.version && !time.Now().Before(e.loadedAt) {
		e.version = e.next
	}
	return []any{map[string]any{"name": engineModel, "version": e.version, "adapters": []string{}}}
}

// beat writes the entry if more than its sequence has changed.
func (e *engine) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	models := e.models()
	if e.written == e.version {
		return
	}
	e.written = e.version
	e.store.put("servers/"+e.id, map[string]any{"service": "llm", "address": e.address, "zone": "pampa-norte", "version": "v1", "slots": engineSlots, "state": "ready", "cold-left-ms": 0, "stage": "colocated", "models": models, "sequence": e.sequence, "born": e.born})
}

func (e *engine) handleReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer(w, 200, map[string]any{"stage": "colocated", "models": e.models(), "busy": time.Now().Before(e.loadedAt), "sequence": e.sequence, "queued": 0, "running": e.running, "kv-used": 1000 * e.running, "kv-total": 80000, "handles": 0, "born": e.born})
}

func (e *engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Holder   string `json:"holder"`
		Fence    uint64 `json:"fence"`
		Version  int    `json:"version"`
		Expected *int   `json:"expected"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case time.Now().Before(e.loadedAt) || body.Expected != nil && *body.Expected != e.sequence:
		status = http.StatusConflict
	default:
		e.sequence++
		e.next, e.loadedAt = body.Version, time.Now().Add(loadTime)
	}
	logf("%s: order for version %d from %s with fence %d: %d", e.id, body.Version, body.Holder, body.Fence, status)
	answer(w, status, map[string]any{})
}

func (e *engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	select {
	case <-time.After(time.Duration(min(wait, 1000)) * time.Millisecond):
	case <-r.Context().Done():
	}
	answer(w, 200, map[string]any{"boot-epoch": 1, "next": 0, "lost": false, "events": []any{}})
}

// setPreempts sets whether the engine is short of memory.
func (e *engine) setPreempts(preempts bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.preempts, e.begun = preempts, 0
}

func (e *engine) handle(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	id := r.Header.Get("X-Cyclamenward-Request-Id")
	w.Header().Set("X-Cyclamenward-Request-Id", id)
	if expected := r.Header.Get("X-Cyclamenward-Expect-Replica"); expected != "" && expected != e.id {
		w.Header().Set("X-Cyclamenward-Replica-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	after := -1
	if text := r.Header.Get("Last-Event-Id"); text != "" {
		after, _ = strconv.Atoi(text)
	}
	e.mu.Lock()
	if e.running >= engineSlots {
		e.mu.Unlock()
		logf("%s: full, rejects %s after event %d", e.id, id, after)
		w.Header().Set("X-Cyclamenward-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	e.begun++
	preempted := e.preempts && e.begun%engineSlots == 0
	s := &stream{engine: e.id, id: id, after: after, begun: time.Now()}
	e.streams = append(e.streams, s)
	e.mu.Unlock()
	logf("%s: runs %s after event %d", e.id, id, after)
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
	}()
	w.Header().Set("X-Cyclamenward-Replica-Seal", "seal-"+e.id+"-"+id)
	w.Header().Set("X-Cyclamenward-Weight-Versions", fmt.Sprint(e.version))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n < engineEvents; n++ {
		pause := eventInterval
		if preempted && n == preemptedAt {
			pause = preemption
			logf("%s: %s is preempted after event %d", e.id, id, n-1)
		}
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			e.mu.Lock()
			s.cutAt, s.preempted = time.Now(), preempted && n == preemptedAt
			e.mu.Unlock()
			logf("%s: the connection of %s is closed after event %d", e.id, id, n-1)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", n, n, id)
		w.(http.Flusher).Flush()
		e.mu.Lock()
		s.made++
		e.mu.Unlock()
	}
}
