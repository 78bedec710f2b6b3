package storekeeper

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

const (
	// answerTime is how long the store takes for an answer.
	answerTime = 4 * time.Millisecond
	// minTTL and maxTTL bound the time of a lease.
	minTTL, maxTTL = time.Second, 10 * time.Minute
)

// Handler returns the store's HTTP interface.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.handleKey)
	mux.HandleFunc("GET /kv-range", s.handleRange)
	mux.HandleFunc("GET /kv-watch", s.handleWatch)
	mux.HandleFunc("POST /kv-txn", s.handleTransaction)
	mux.HandleFunc("POST /kv-lease", s.handleLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.handleKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.handleLeaseEnd)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-time.After(answerTime)
		if s.fails(w, r) {
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// fails ends a call as the outage in force does. It returns false if there is none.
func (s *Store) fails(w http.ResponseWriter, r *http.Request) bool {
	for {
		s.mu.Lock()
		outage, changed := s.outage, s.changed
		s.mu.Unlock()
		switch outage {
		case None:
			return false
		case Refuses:
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		case Cuts:
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
			// A call that waited through an outage gets no answer.
			s.mu.Lock()
			ended := s.outage != Hangs
			s.mu.Unlock()
			if ended {
				panic(http.ErrAbortHandler)
			}
		case <-r.Context().Done():
			return true
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, found := s.items[r.URL.Query().Get("key")]
	if !found {
		answer(w, http.StatusNotFound, map[string]any{"store-revision": s.revision})
		return
	}
	answer(w, http.StatusOK, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "store-revision": s.revision})
}

func (s *Store) handleRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	items, more := s.page(query.Get("prefix"), query.Get("after"))
	answer(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "store-revision": s.revision})
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	began, timeout := time.Now(), time.After(time.Duration(wait)*time.Millisecond)
	for {
		s.mu.Lock()
		events, gone := s.eventsAfter(after, query.Get("prefix")), after < s.dropped
		revision, changed, outage, cutAfter := s.revision, s.changed, s.outage, s.cutAfter
		s.mu.Unlock()
		switch {
		case outage != None:
			s.fails(w, r)
			return
		case gone:
			answer(w, http.StatusGone, map[string]any{})
			return
		case len(events) > 0:
			answer(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		}
		var cut <-chan time.Time
		if cutAfter > 0 {
			cut = time.After(time.Until(began.Add(cutAfter)))
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		}
	}
}

func (s *Store) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var c change
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if c.reserved() {
		answer(w, http.StatusForbidden, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, conflict := []Item{}, false
	for _, e := range c.Expected {
		conflict = conflict || s.items[e.Key].Revision != e.Revision
		if i, found := s.items[e.Key]; found {
			current = append(current, i)
		}
	}
	if conflict {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range c.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, p := range c.Puts {
		s.write(Item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range c.Remove {
		if _, found := s.items[key]; found {
			s.write(Item{Key: key, Tombstone: true})
		}
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *Store) handleLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Milliseconds int64 `json:"ttl-ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&request)
	ttl := max(minTTL, min(time.Duration(request.Milliseconds)*time.Millisecond, maxTTL))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.nextLease, "ttl-ms": ttl.Milliseconds()})
}

func (s *Store) handleKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *Store) handleLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	answer(w, http.StatusOK, map[string]any{})
}
