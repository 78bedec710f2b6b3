package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const model = "daka510000"

// run is a request that a replica has begun to work on.
type run struct {
	id, replica, method, path, body string
	at                              time.Time
	version                         int
}

// order is a load order as it has arrived at a replica.
type order struct {
	at                time.Time
	from, holder      string
	fence             uint64
	version, expected int
	expectReplica     string
	status            int
}

// replica is a sound replica, of a plain service or with a model.
type replica struct {
	id, service, zone, ip, address string
	born                           int64
	hasModel                       bool
	work                           time.Duration
	pieces                         int
	gap                            time.Duration
	store                          *store
	server                         *http.Server

	mu       sync.Mutex
	version  int
	sequence int
	fence    uint64
	busy     bool
	beats    int
	state    string
	gone     bool
	running  atomic.Int32
	runs     []run
	orders   []order
	// late reports whether an order that arrives now gets no answer and is carried out lateBy later. It may be nil.
	late   func() bool
	lateBy time.Duration
	// unchecked is set where require-fence is false.
	unchecked bool
}

// start listens at port of the replica's IP, 0 for a free one, and registers the replica.
func (p *replica) start(port int) error {
	l, err := net.Listen("tcp", net.JoinHostPort(p.ip, strconv.Itoa(port)))
	if err != nil {
		return err
	}
	p.address, p.state, p.version = l.Addr().String(), "ready", 1
	p.born = time.Now().UnixMilli()
	p.server = &http.Server{Handler: p, IdleTimeout: 20 * time.Second}
	go func() { _ = p.server.Serve(l) }()
	p.beat()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			if !p.beat() {
				return
			}
		}
	}()
	return nil
}

// beat writes the replica's entry.
func (p *replica) beat() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gone {
		return false
	}
	p.beats++
	entry := map[string]any{"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": 32, "state": p.state, "cold-left-ms": 0, "sequence": p.beats, "born": p.born}
	if p.hasModel {
		entry["stage"], entry["models"] = "colocated", []any{map[string]any{"name": model, "version": p.version, "adapters": []any{}}}
	}
	p.store.put("servers/"+p.id, entry)
	return true
}

func (p *replica) stop() {
	p.mu.Lock()
	p.gone = true
	p.mu.Unlock()
	_ = p.server.Close()
}

func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if expected := r.Header.Get("X-Cyclamenward-Expect-Replica"); expected != "" && expected != p.id {
		p.noteOrder(r, 421)
		h.Set("X-Cyclamenward-Request-Id", r.Header.Get("X-Cyclamenward-Request-Id"))
		h.Set("X-Cyclamenward-Replica-Id", p.id)
		w.WriteHeader(421)
		return
	}
	switch {
	case r.URL.Path == "/health":
		h.Set("X-Cyclamenward-Replica-Id", p.id)
		return
	case r.URL.Path == "/report":
		p.mu.Lock()
		body := map[string]any{"stage": "colocated", "models": []any{map[string]any{"name": model, "version": p.version, "adapters": []any{}}}, "busy": p.busy, "sequence": p.sequence, "queued": 0, "running": p.running.Load(), "kv-used": 0, "kv-total": 210254, "handles": 0, "born": p.born, "state": p.state}
		p.mu.Unlock()
		reply(w, 200, body)
		return
	case r.URL.Path == "/kv-events":
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		select {
		case <-time.After(time.Duration(min(wait, 1000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		reply(w, 200, map[string]any{"boot-epoch": p.born, "next": 1, "lost": false, "events": []any{}})
		return
	case r.URL.Path == "/order":
		if status := p.noteOrder(r, 0); status != 0 {
			reply(w, status, map[string]any{})
		}
		return
	}
	p.serve(w, r)
}

// noteOrder records an order and carries it out, unless status is set, with which it is refused.
func (p *replica) noteOrder(r *http.Request, status int) int {
	if r.URL.Path != "/order" {
		return status
	}
	var body struct {
		Opcode   string `json:"opcode"`
		Version  int    `json:"version"`
		Holder   string `json:"holder"`
		Fence    uint64 `json:"fence"`
		Expected *int   `json:"expected"`
	}
	text, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(text, &body)
	o := order{at: time.Now(), from: r.RemoteAddr, holder: body.Holder, fence: body.Fence, version: body.Version, expected: -1, expectReplica: r.Header.Get("X-Cyclamenward-Expect-Replica"), status: status}
	if body.Expected != nil {
		o.expected = *body.Expected
	}
	if status == 0 && p.late != nil && p.late() {
		p.mu.Lock()
		p.orders = append(p.orders, o)
		p.mu.Unlock()
		traffic.note("order at %s from %s, fence %d, version %d, expected %d: not answered, carried out %v later", p.id, o.holder, o.fence, o.version, o.expected, p.lateBy)
		time.AfterFunc(p.lateBy, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			traffic.note("late order at %s from %s, fence %d: %d", p.id, o.holder, o.fence, p.carryOut(body.Opcode, o))
		})
		<-r.Context().Done()
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if status == 0 {
		o.status = p.carryOut(body.Opcode, o)
	}
	p.orders = append(p.orders, o)
	traffic.note("order at %s from %s, fence %d, version %d, expected %d, expects %q: %d", p.id, o.holder, o.fence, o.version, o.expected, o.expectReplica, o.status)
	return o.status
}

// carryOut carries an order out and returns its status. The caller holds mu.
func (p *replica) carryOut(opcode string, o order) int {
	switch {
	case opcode != "version" || o.holder == "" || o.fence == 0:
		return 400
	case o.fence < p.fence && !p.unchecked:
		return 412
	case p.busy || o.expected >= 0 && o.expected != p.sequence:
		return 409
	}
	p.fence = max(p.fence, o.fence)
	if o.version == p.version {
		return 200
	}
	p.busy = true
	p.sequence++
	go func() {
		for p.running.Load() > 0 {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(210 * time.Millisecond)
		p.mu.Lock()
		p.version, p.busy = o.version, false
		p.mu.Unlock()
	}()
	return 202
}

// serve runs a request.
func (p *replica) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("X-Cyclamenward-Request-Id")
	h.Set("X-Cyclamenward-Request-Id", id)
	h.Set("X-Cyclamenward-Replica-Load", fmt.Sprintf("%d,0,32", p.running.Load()))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	version, busy := p.version, p.busy
	if want := r.Header.Get("X-Cyclamenward-Expect-Version"); p.hasModel && want != "" && want != strconv.Itoa(version) {
		p.mu.Unlock()
		h.Set("X-Cyclamenward-Replica-Id", p.id)
		w.WriteHeader(421)
		return
	}
	if id == "" || p.hasModel && busy {
		p.mu.Unlock()
		h.Set("X-Cyclamenward-Not-Executed", "1")
		if id == "" {
			w.WriteHeader(400)
		} else {
			w.WriteHeader(503)
		}
		return
	}
	p.running.Add(1)
	p.runs = append(p.runs, run{id: id, replica: p.id, method: r.Method, path: r.URL.RequestURI(), body: string(body), at: time.Now(), version: version})
	p.mu.Unlock()
	traffic.note("runs at %s: %s %s %s", p.id, id, r.Method, r.URL.RequestURI())
	defer p.running.Add(-1)
	select {
	case <-time.After(p.work):
	case <-r.Context().Done():
		return
	}
	h.Set("X-Cyclamenward-Replica-Seal", "seal."+p.id+"."+id)
	if !p.hasModel {
		answer := "answer to " + id + strings.Repeat(".", 760)
		h.Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(w, answer)
		return
	}
	h.Set("X-Cyclamenward-Weight-Versions", strconv.Itoa(version))
	h.Set("Content-Type", "text/event-stream")
	after := -1
	if text := r.Header.Get("Last-Event-Id"); text != "" {
		after, _ = strconv.Atoi(text)
	}
	flusher := w.(http.Flusher)
	for n := after + 1; n < p.pieces; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id); err != nil {
			return
		}
		flusher.Flush()
		select {
		case <-time.After(p.gap):
		case <-r.Context().Done():
			return
		}
	}
}
