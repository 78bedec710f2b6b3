package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, or the removal of a key.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// lease is a lease with its end.
type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	address string
	server  *http.Server

	mu        sync.Mutex
	items     map[string]item
	history   []item
	revision  uint64
	leases    map[uint64]*lease
	lastLease uint64
	changed   chan struct{}
}

// storeDelay is the time of one answer.
const storeDelay = 4 * time.Millisecond

func newStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), items: map[string]item{}, leases: map[uint64]*lease{}, revision: 100, lastLease: 7000, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.change)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(listener) }()
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s, nil
}

// put writes a key as the operator or a replica does, and returns when the store has taken it.
func (s *store) put(key string, value any) time.Time {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: text})
	return time.Now()
}

// remove removes a key.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; found {
		s.write(item{Key: key, Tombstone: true})
	}
	return time.Now()
}

func (s *store) write(i item) {
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, found := s.items[i.Key]; found {
		i.Created = old.Created
	}
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.drop(id)
		}
	}
}

func (s *store) drop(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.write(item{Key: key, Tombstone: true})
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, found := s.items[r.URL.Query().Get("key")]
	if !found {
		answer(w, 404, map[string]any{"store-revision": s.revision})
		return
	}
	answer(w, 200, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "store-revision": s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	answer(w, 200, map[string]any{"items": items, "has-more": more, "store-revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, 200, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			answer(w, 200, map[string]any{"events": events, "store-revision": revision})
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request) {
	var c struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		answer(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, conflict := []item{}, false
	for _, e := range c.Expected {
		conflict = conflict || s.items[e.Key].Revision != e.Revision
		if i, found := s.items[e.Key]; found {
			current = append(current, i)
		}
	}
	if conflict {
		answer(w, 412, map[string]any{"items": current})
		return
	}
	for _, p := range c.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, 404, map[string]any{})
			return
		}
	}
	for _, p := range c.Puts {
		s.write(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range c.Remove {
		if _, found := s.items[key]; found {
			s.write(item{Key: key, Tombstone: true})
		}
	}
	answer(w, 200, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Milliseconds int64 `json:"ttl-ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&request)
	ttl := max(time.Second, min(time.Duration(request.Milliseconds)*time.Millisecond, 10*time.Minute))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	answer(w, 200, map[string]any{"lease": s.lastLease, "ttl-ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		answer(w, 404, map[string]any{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	answer(w, 200, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(id)
	answer(w, 200, map[string]any{})
}
