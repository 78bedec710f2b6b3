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

const (
	// storeAnswerTime is how long the store takes for an answer.
	storeAnswerTime = 4 * time.Millisecond
	// maxPageBytes is the size of the values in one page.
	maxPageBytes = 1 << 20
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

// lease is a lease of the store.
type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's key-value service. It loses nothing, and its
// answers are linearizable.
type store struct {
	address string
	// pageItems is the largest number of items in a page.
	pageItems int

	mu        sync.Mutex
	items     map[string]item
	history   []item
	revision  uint64
	leases    map[uint64]*lease
	nextLease uint64
	changed   chan struct{}
}

// newStore starts a store at a free port of an IP address.
func newStore(ip string, pageItems int) *store {
	s := &store{pageItems: pageItems, items: make(map[string]item), leases: make(map[uint64]*lease), revision: 100, nextLease: 7000, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", ip+":0")
	must(err)
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.handleKey)
	mux.HandleFunc("GET /kv-range", s.handleRange)
	mux.HandleFunc("GET /kv-watch", s.handleWatch)
	mux.HandleFunc("POST /kv-txn", s.handleTransaction)
	mux.HandleFunc("POST /kv-lease", s.handleLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.handleKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.handleLeaseEnd)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeAnswerTime)
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expireLeases()
		}
	}()
	return s
}

// put writes a key as the operator or a replica does, and returns the revision.
func (s *store) put(key string, value any) uint64 {
	text, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: text})
	return s.revision
}

// remove removes a key and returns the revision, 0 if there is none.
func (s *store) remove(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; !found {
		return 0
	}
	s.write(item{Key: key, Tombstone: true})
	return s.revision
}

// write makes one change. The caller holds mu.
func (s *store) write(i item) {
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, found := s.items[i.Key]; found {
		i.Created = old.Created
	}
	if i.Tombstone {
		i.Created = 0
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends the leases that have run out.
func (s *store) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and removes its keys. The caller holds mu.
func (s *store) endLease(id uint64) {
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

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, found := s.items[r.URL.Query().Get("key")]
	if !found {
		answer(w, 404, map[string]any{"store-revision": s.revision})
		return
	}
	answer(w, 200, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "store-revision": s.revision})
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix, after := query.Get("prefix"), query.Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && (after == "" || key > after) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page, size := []item{}, 0
	for _, key := range keys {
		if len(page) >= s.pageItems || size > 0 && size+len(s.items[key].Value) > maxPageBytes {
			break
		}
		page, size = append(page, s.items[key]), size+len(s.items[key].Value)
	}
	logf("store: page for %s after %q: %d items, more %v, revision %d", r.RemoteAddr, after, len(page), len(page) < len(keys), s.revision)
	answer(w, 200, map[string]any{"items": page, "has-more": len(page) < len(keys), "store-revision": s.revision})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
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

func (s *store) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var change struct {
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
	if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
		answer(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []item
	conflict := false
	for _, e := range change.Expected {
		if s.items[e.Key].Revision != e.Revision {
			conflict = true
		}
		if i, found := s.items[e.Key]; found {
			current = append(current, i)
		}
	}
	if conflict {
		answer(w, 412, map[string]any{"items": current})
		return
	}
	for _, p := range change.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, 404, map[string]any{})
			return
		}
	}
	for _, p := range change.Puts {
		s.write(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
		logf("store: %s = %s, lease %d, revision %d", p.Key, p.Value, p.Lease, s.revision)
	}
	for _, key := range change.Remove {
		if _, found := s.items[key]; found {
			s.write(item{Key: key, Tombstone: true})
			logf("store: %s removed, revision %d", key, s.revision)
		}
	}
	answer(w, 200, map[string]any{"revision": s.revision})
}

func (s *store) handleLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"ttl-ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&request)
	ttl := time.Duration(max(1000, min(request.TTL, 600_000))) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	answer(w, 200, map[string]any{"lease": s.nextLease, "ttl-ms": ttl.Milliseconds()})
}

func (s *store) handleKeep(w http.ResponseWriter, r *http.Request) {
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

func (s *store) handleLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	answer(w, 200, map[string]any{})
}

// revisionNow returns the store's revision.
func (s *store) revisionNow() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}
