package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// tombstone is a removal as a watch returns it.
type tombstone struct {
	Key       string `json:"key"`
	Revision  uint64 `json:"revision"`
	Tombstone bool   `json:"tombstone"`
}

// store is a stand-in for the platform's store: sound, linearizable, 4 ms an answer.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	log      []item
	leases   map[uint64]*lease
	changed  chan struct{}
	// onWrite is called with each change that daemons make, and with the end of their leases.
	onWrite func(from, key string, removed bool, revision uint64)
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

const pageItems = 500

func newStore() *store {
	s := &store{revision: 100, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), onWrite: func(string, string, bool, uint64) {}}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// put writes as the operator or a replica does, and returns the revision.
func (s *store) put(key string, value any) uint64 {
	text, ok := value.([]byte)
	if !ok {
		text, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, text, 0)
	s.wake()
	return s.revision
}

// remove removes as the platform does.
func (s *store) remove(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; found {
		s.revision++
		s.unset(key)
		s.wake()
	}
	return s.revision
}

func (s *store) set(key string, value []byte, leaseID uint64) {
	old, found := s.items[key]
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if found {
		i.Created = old.Created
	}
	s.items[key] = i
	s.log = append(s.log, i)
}

func (s *store) unset(key string) {
	delete(s.items, key)
	s.log = append(s.log, item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, woke := time.Now(), false
	for id, l := range s.leases {
		if now.After(l.until) {
			delete(s.leases, id)
			woke = s.dropLease(id) || woke
		}
	}
	if woke {
		s.wake()
	}
}

func (s *store) dropLease(id uint64) bool {
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.revision++
	}
	for _, key := range keys {
		s.unset(key)
		s.onWrite("lease", key, true, s.revision)
	}
	return len(keys) > 0
}

func reply(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-key":
		s.mu.Lock()
		i, found := s.items[q.Get("key")]
		revision := s.revision
		s.mu.Unlock()
		if !found {
			reply(w, 404, map[string]any{"store-revision": revision})
			return
		}
		reply(w, 200, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "store-revision": revision})
	case r.URL.Path == "/kv-range":
		s.mu.Lock()
		var keys []string
		for key := range s.items {
			if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
				keys = append(keys, key)
			}
		}
		sort.Strings(keys)
		more := len(keys) > pageItems
		if more {
			keys = keys[:pageItems]
		}
		items := []item{}
		for _, key := range keys {
			items = append(items, s.items[key])
		}
		revision := s.revision
		s.mu.Unlock()
		reply(w, 200, map[string]any{"items": items, "has-more": more, "store-revision": revision})
	case r.URL.Path == "/kv-watch":
		s.watch(w, r)
	case r.URL.Path == "/kv-txn":
		s.txn(w, r)
	case r.URL.Path == "/kv-lease":
		var body struct {
			TTL int64 `json:"ttl-ms"`
		}
		if !decode(r, &body) || body.TTL < 1000 || body.TTL > 600000 {
			reply(w, 400, map[string]any{})
			return
		}
		s.mu.Lock()
		s.revision++
		id := s.revision
		ttl := time.Duration(body.TTL) * time.Millisecond
		s.leases[id] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, 200, map[string]any{"lease": id, "ttl-ms": body.TTL})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/kv-keep/"), 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		if l != nil {
			l.until = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			reply(w, 404, map[string]any{})
			return
		}
		reply(w, 200, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		delete(s.leases, id)
		if s.dropLease(id) {
			s.wake()
		}
		s.mu.Unlock()
		reply(w, 200, map[string]any{})
	default:
		reply(w, 404, map[string]any{})
	}
}

func decode(r *http.Request, into any) bool {
	text, err := io.ReadAll(r.Body)
	return err == nil && json.Unmarshal(text, into) == nil
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		var events []any
		first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Revision > after })
		for _, i := range s.log[first:] {
			if !strings.HasPrefix(i.Key, q.Get("prefix")) {
				continue
			}
			if i.Tombstone {
				events = append(events, tombstone{Key: i.Key, Revision: i.Revision, Tombstone: true})
			} else {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, 200, map[string]any{"events": []any{}, "store-revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
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
	if !decode(r, &body) {
		reply(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range body.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, 403, map[string]any{})
			return
		}
	}
	current, conflict := []item{}, false
	for _, e := range body.Expected {
		i, found := s.items[e.Key]
		if found {
			current = append(current, i)
		}
		conflict = conflict || i.Revision != e.Revision
	}
	if conflict {
		reply(w, 412, map[string]any{"items": current})
		return
	}
	for _, p := range body.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, 404, map[string]any{})
			return
		}
	}
	s.revision++
	for _, p := range body.Puts {
		s.set(p.Key, p.Value, p.Lease)
		s.onWrite(r.RemoteAddr, p.Key, false, s.revision)
	}
	for _, key := range body.Remove {
		if _, found := s.items[key]; found {
			s.unset(key)
			s.onWrite(r.RemoteAddr, key, true, s.revision)
		}
	}
	s.wake()
	reply(w, 200, map[string]any{"revision": s.revision})
}
