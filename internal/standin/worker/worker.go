// Package worker is a stand-in for a replica of a plain service on the users' platform, which
// misbehaves in one of several ways at a time.
package worker

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/checker"
	"github.com/cyclamenward/cyclamenward/internal/standin/storekeeper"
)

// Behaviour is what a replica does with requests.
type Behaviour int32

// Behaviours.
const (
	// Behaves runs and answers.
	Behaves Behaviour = iota
	// Rejects says that it does not run the request.
	Rejects
	// DropsBefore closes the connection without running, DropsAfter after it.
	DropsBefore
	DropsAfter
	// Truncates ends in the middle of the answer.
	Truncates
	// AnswersLate takes lateness longer.
	AnswersLate
	// Behaviours is the number of behaviours that seeds draw.
	Behaviours
	// Pauses rejects like a replica that is full, and asks for a pause.
	Pauses
	// Misdirects says that another replica is meant.
	Misdirects
	// Hangs does not answer greyPercent of the requests, Fails answers them with 500.
	Hangs
	Fails
	// Garbles sends malformed answers to garblePercent of the requests.
	Garbles
)

// greyPercent is the share of the requests that a replica with a grey failure hangs on or fails.
const greyPercent = 45

var behaviourNames = [...]string{"behaves", "rejects", "drops before", "drops after", "truncates", "answers late", "", "pauses", "misdirects", "hangs", "fails", "garbles"}

func (b Behaviour) String() string { return behaviourNames[b] }

const (
	// lateness is how much longer a late answer takes, workTime how long any takes.
	lateness, workTime = 700 * time.Millisecond, 10 * time.Millisecond
	// percentStep has no divisor in common with 100, so that any share of a hundred requests is spread
	// over them.
	percentStep = 37
	// slots is how many requests a replica says it runs at once. It runs any number.
	slots = 64
	// WorkParameter is the parameter of a query with the milliseconds that a request takes.
	WorkParameter = "work-ms"
)

// Options describe a replica.
type Options struct {
	ID, Service, Zone, IP string
	// Advertise returns the address under which the one at which the replica listens is reached.
	Advertise func(address string) (string, error)
	// Drain is how long the replica serves on after it has said that it leaves.
	Drain time.Duration
	// Places is how many requests the replica runs at once, 0 for any number. It rejects others,
	// and asks for Pause if that is not 0.
	Places int
	Pause  time.Duration
	// FailurePercent is the share of all requests that are answered with 500.
	FailurePercent int
}

// Worker is a replica of a plain service.
type Worker struct {
	options   Options
	address   string
	born      int64
	store     *storekeeper.Store
	history   *checker.History
	server    *http.Server
	behaviour atomic.Int32
	// running counts the requests that run.
	running atomic.Int32
	// begun counts the requests that have run.
	begun atomic.Int64

	// mu guards the field below.
	mu   sync.Mutex
	left bool
}

// New starts a replica at a free port and writes its entry. Close ends it.
func New(options Options, store *storekeeper.Store, history *checker.History) (*Worker, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(options.IP, "0"))
	if err != nil {
		return nil, fmt.Errorf("listen for replica %s: %w", options.ID, err)
	}
	address, err := options.Advertise(listener.Addr().String())
	if err != nil {
		return nil, fmt.Errorf("address of replica %s: %w", options.ID, err)
	}
	w := &Worker{options: options, address: address, born: time.Now().UnixMilli(), store: store, history: history}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	if err := w.writeEntry("ready"); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// ID returns the replica's ID.
func (w *Worker) ID() string { return w.options.ID }

// Close ends the replica at once.
func (w *Worker) Close() { _ = w.server.Close() }

// SetBehaviour sets what the replica does from now on.
func (w *Worker) SetBehaviour(b Behaviour) { w.behaviour.Store(int32(b)) }

func (w *Worker) writeEntry(state string) error {
	return w.store.Put("servers/"+w.options.ID, map[string]any{
		"service": w.options.Service, "address": w.address, "zone": w.options.Zone, "version": "v1", "slots": slots, "state": state, "cold-left-ms": 0, "sequence": 0, "born": w.born,
	})
}

// Leave has the replica go for good: it says so or only removes its entry, serves on, and ends when
// ctx does. It returns once the store has acknowledged that the replica leaves.
func (w *Worker) Leave(ctx context.Context, abrupt bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.left {
		return
	}
	w.left = true
	if abrupt {
		w.store.Remove("servers/" + w.options.ID)
	} else if w.writeEntry("draining") == nil {
		go func() {
			select {
			case <-time.After(w.options.Drain):
				w.store.Remove("servers/" + w.options.ID)
			case <-ctx.Done():
			}
		}()
	}
	w.history.Leave(w.options.ID)
	context.AfterFunc(ctx, w.Close)
}

// Crash closes the replica at once. Its entry expires after a time.
func (w *Worker) Crash(entryTTL time.Duration) {
	w.mu.Lock()
	w.left = true
	w.mu.Unlock()
	w.Close()
	time.AfterFunc(entryTTL, func() { w.store.Remove("servers/" + w.options.ID) })
}

// Left reports whether the replica leaves.
func (w *Worker) Left() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.left
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(out http.ResponseWriter, request *http.Request) {
	at, behaviour := time.Now(), Behaviour(w.behaviour.Load())
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id, header := request.Header.Get(checker.FieldRequestID), out.Header()
	header.Set(checker.FieldRequestID, id)
	header.Set(checker.FieldReplicaLoad, fmt.Sprintf("1,0,%d", slots))
	switch expected := request.Header.Get(checker.FieldExpectReplica); {
	case request.URL.Path == "/health":
		header.Set(checker.FieldReplicaID, w.options.ID)
		return
	case expected != "" && expected != w.options.ID:
		header.Set(checker.FieldReplicaID, w.options.ID)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.options.Places > 0 && int(w.running.Add(1)) > w.options.Places && behaviour == Behaves {
		behaviour = Pauses
	}
	defer w.running.Add(-1)
	run := w.history.Arrive(checker.Arrival{
		ID: id, Replica: w.options.ID, Method: request.Method, Path: request.RequestURI, Body: string(body), Workspace: request.Header.Get(checker.FieldWorkspace),
		Prompt: request.Header.Get(checker.FieldPromptPrefix), Authorization: request.Header.Get("Authorization"), After: -1, Runs: behaviour.runs(), At: at,
		Deadline: checker.DeadlineOf(request.Header.Get(checker.FieldDeadline)),
	})
	switch behaviour {
	case Rejects, Pauses:
		header.Set(checker.FieldNotExecuted, "1")
		pause := time.Duration(0)
		if behaviour == Pauses && w.options.Pause > 0 {
			pause = w.options.Pause
			header.Set(checker.FieldRetryAfter, checker.Seconds(pause))
		}
		run.Reject(pause)
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	case Misdirects:
		run.Reject(0)
		header.Set(checker.FieldReplicaID, w.options.ID)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	case DropsBefore, DropsAfter:
		run.End(true)
		panic(http.ErrAbortHandler)
	}
	begun := int(w.begun.Add(1))
	percent := begun * percentStep % 100
	grey := percent < greyPercent
	if behaviour == Hangs && grey {
		<-request.Context().Done()
		run.End(false)
		return
	}
	if !work(request, behaviour) {
		run.End(false)
		return
	}
	if behaviour == Garbles && percent < garblePercent {
		run.End(true)
		w.garble(out, id, begun)
		return
	}
	if behaviour == Fails && grey || percent < w.options.FailurePercent {
		header.Set(checker.FieldSeal, checker.Seal(w.options.ID, id))
		run.End(false)
		out.WriteHeader(http.StatusInternalServerError)
		return
	}
	answer := checker.AnswerTo(id)
	header.Set(checker.FieldSeal, checker.Seal(w.options.ID, id))
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	if behaviour == Truncates {
		run.End(true)
		_, _ = io.WriteString(out, answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	run.End(false)
	_, _ = io.WriteString(out, answer)
}

// runs reports whether a replica that behaves so begins to work on requests.
func (b Behaviour) runs() bool {
	switch b {
	case Rejects, DropsBefore, Pauses, Misdirects:
		return false
	}
	return true
}

// work waits as long as the request takes. It returns false if its connection ends first.
func work(request *http.Request, behaviour Behaviour) bool {
	duration := workTime
	if asked, err := strconv.Atoi(request.URL.Query().Get(WorkParameter)); err == nil {
		duration = time.Duration(asked) * time.Millisecond
	}
	if behaviour == AnswersLate {
		duration += lateness
	}
	select {
	case <-time.After(duration):
		return true
	case <-request.Context().Done():
		return false
	}
}
