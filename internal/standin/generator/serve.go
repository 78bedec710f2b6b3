package generator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/checker"
)

// maxEventsWait bounds the wait for cache events.
const maxEventsWait = time.Second

// handler returns the HTTP interface of the incarnation that started at born.
func (g *Generator) handler(born int64) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", g.handleReport)
	mux.HandleFunc("POST /order", g.handleOrder)
	mux.HandleFunc("GET /kv-events", g.handleEvents)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { g.handleRequest(w, r, born) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.currentTrouble() == Endless {
			g.answerEndlessly(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// currentTrouble returns what goes wrong now.
func (g *Generator) currentTrouble() Trouble {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.trouble
}

// answerEndlessly sends bytes until the caller closes the connection or the trouble ends.
func (g *Generator) answerEndlessly(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(checker.FieldRequestID, r.Header.Get(checker.FieldRequestID))
	block := bytes.Repeat([]byte{' '}, 64<<10)
	for g.currentTrouble() == Endless {
		if _, err := w.Write(block); err != nil {
			return
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (g *Generator) handleReport(w http.ResponseWriter, _ *http.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{
		"stage": "colocated", "models": g.models(), "busy": time.Now().Before(g.loadedAt), "sequence": g.sequence, "queued": 0, "running": g.running,
		"kv-used": runTokens * g.running, "kv-total": memoryTokens, "handles": 0, "born": g.born,
	})
}

func (g *Generator) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Holder   string `json:"holder"`
		Fence    uint64 `json:"fence"`
		Version  int    `json:"version"`
		Expected *int   `json:"expected"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Holder == "" || order.Fence == 0 {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if expected := r.Header.Get(checker.FieldExpectReplica); expected != "" && expected != g.options.ID {
		answer(w, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.history.RecordOrder(checker.Order{Replica: fmt.Sprintf("%s/%d", g.options.ID, g.born), Holder: order.Holder, Fence: order.Fence, At: time.Now()})
	switch {
	case order.Version == g.currentWeights():
		answer(w, http.StatusOK, map[string]any{})
	case time.Now().Before(g.loadedAt) || order.Expected != nil && *order.Expected != g.sequence:
		answer(w, http.StatusConflict, map[string]any{})
	default:
		g.sequence++
		g.next, g.loadedAt = order.Version, time.Now().Add(loadTime)
		answer(w, http.StatusAccepted, map[string]any{})
	}
}

func (g *Generator) handleEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	timeout := time.After(min(time.Duration(wait)*time.Millisecond, maxEventsWait))
	for {
		g.mu.Lock()
		born, added, next, events := g.born, g.eventAdded, len(g.events), [][]any{}
		if since < next {
			events = g.events[max(0, since):]
		}
		g.mu.Unlock()
		done := len(events) > 0
		if !done {
			select {
			case <-added:
			case <-timeout:
				done = true
			case <-r.Context().Done():
				return
			}
		}
		if done {
			answer(w, http.StatusOK, map[string]any{"boot-epoch": born, "next": next, "lost": since > next, "events": events})
			return
		}
	}
}

// admission says what becomes of a request.
type admission struct {
	status  int
	weights int
	// preempted and reset say what befalls the run.
	preempted, reset bool
}

// admit decides what becomes of a request, and takes a slot if it runs.
func (g *Generator) admit(r *http.Request) admission {
	g.mu.Lock()
	defer g.mu.Unlock()
	weights := g.currentWeights()
	expectedVersion, err := strconv.Atoi(r.Header.Get(checker.FieldExpectVersion))
	expected := r.Header.Get(checker.FieldExpectReplica)
	switch {
	case expected != "" && expected != g.options.ID, err == nil && expectedVersion != weights:
		return admission{status: http.StatusMisdirectedRequest}
	case g.running >= g.options.Slots, g.trouble == Rejects, time.Now().Before(g.loadedAt):
		return admission{status: http.StatusServiceUnavailable}
	}
	g.running++
	g.begun++
	return admission{status: http.StatusOK, weights: weights, preempted: g.trouble == Preempts && g.begun%Slots == 0, reset: g.trouble == Resets && g.begun%2 == 0}
}

// handleRequest runs a request at the incarnation that started at born.
func (g *Generator) handleRequest(w http.ResponseWriter, r *http.Request, born int64) {
	at := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id, after := r.Header.Get(checker.FieldRequestID), -1
	if last, err := strconv.Atoi(r.Header.Get(checker.FieldLastEventID)); err == nil {
		after = last
	}
	admitted := g.admit(r)
	run := g.history.Arrive(checker.Arrival{
		ID: id, Replica: g.options.ID, Method: r.Method, Path: r.RequestURI, Body: string(body), Workspace: r.Header.Get(checker.FieldWorkspace),
		Prompt: r.Header.Get(checker.FieldPromptPrefix), Authorization: r.Header.Get("Authorization"), After: after, Weights: admitted.weights, Runs: admitted.status == http.StatusOK, At: at,
		Deadline: checker.DeadlineOf(r.Header.Get(checker.FieldDeadline)),
	})
	w.Header().Set(checker.FieldRequestID, id)
	if admitted.status != http.StatusOK {
		run.End(false)
		w.Header().Set(checker.FieldReplicaID, g.options.ID)
		w.Header().Set(checker.FieldNotExecuted, "1")
		w.WriteHeader(admitted.status)
		return
	}
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.born == born {
			g.running--
		}
	}()
	g.readPrompt(r.Header, admitted.weights)
	w.Header().Set(checker.FieldSeal, checker.Seal(g.options.ID, id))
	w.Header().Set(checker.FieldWeightVersions, strconv.Itoa(admitted.weights))
	w.Header().Set("Content-Type", "text/event-stream")
	g.stream(w, r, run, admitted, born)
}

// parameter returns a whole number of a request's query, or a default.
func parameter(r *http.Request, name string, fallback int) int {
	if n, err := strconv.Atoi(r.URL.Query().Get(name)); err == nil {
		return n
	}
	return fallback
}

// stream makes the events of a run.
func (g *Generator) stream(w http.ResponseWriter, r *http.Request, run *checker.Run, admitted admission, born int64) {
	events, interval := parameter(r, EventsParameter, Events), time.Duration(parameter(r, IntervalParameter, int(eventInterval.Milliseconds())))*time.Millisecond
	strikesAt := min(troubleAt, events/2)
	for n := run.After + 1; n < events; n++ {
		pause := interval
		if n == run.After+1 {
			pause += time.Duration(parameter(r, ReadParameter, 0)) * time.Millisecond
		}
		if admitted.preempted && n == strikesAt {
			pause = preemption
		}
		if !g.pause(r, pause) {
			g.mu.Lock()
			restarted := g.born != born
			g.mu.Unlock()
			run.End(restarted)
			return
		}
		text := fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", n, n, run.ID)
		if admitted.reset && n >= strikesAt {
			run.End(true)
			_, _ = io.WriteString(w, text[:len(text)/2])
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, text)
		w.(http.Flusher).Flush()
		run.Progress()
	}
	run.End(false)
}

// pause waits for the next event. It returns false if the connection ends.
func (g *Generator) pause(r *http.Request, duration time.Duration) bool {
	next := time.After(duration)
	for {
		g.mu.Lock()
		changed, silent := g.changed, g.trouble == Silences
		g.mu.Unlock()
		due := next
		if silent {
			due = nil
		}
		select {
		case <-due:
			return true
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}
