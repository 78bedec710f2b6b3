package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["silence"] = silence }

// engineRoutes is a configuration with a resumable streaming route to the model replicas.
func engineRoutes(version int) map[string]any {
	return map[string]any{
		"version":  version,
		"routes":   []any{map[string]any{"name": "chat", "host": "desk.example", "prefix": "/chat/", "service": "llm", "route-kind": "streaming", "timeout-ms": 15000, "target-latency-ms": 600, "priority": 0, "max-attempts": 2, "public": false, "session-affinity": true, "resumable": true, "gap-aim-ms": 400}},
		"services": []any{map[string]any{"name": "llm", "health-path": "/health", "max-conns": 620, "engine": map[string]any{"slots": engineSlots, "kv-capacity-tokens": 80000, "kv-token-bytes": 131072, "link-mbps": 260000, "max-inflight": 12, "models": []any{map[string]any{"name": engineModel}}}}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "club-a", "api-keys": []string{"key-a"}, "dedicated": false}},
	}
}

// streamed is what a client saw of one stream.
type streamed struct {
	id       string
	sentAt   time.Time
	endedAt  time.Time
	status   int
	events   int
	complete bool
	longest  time.Duration
	err      error
}

// readStream sends one request for a stream and reads its events.
func readStream(address, id string) (s streamed) {
	s = streamed{id: id, sentAt: time.Now()}
	defer func() { s.endedAt = time.Now() }()
	client := http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	request, err := http.NewRequest("POST", "http://"+address+"/chat/"+id, strings.NewReader("reconcile heat 3"))
	must(err)
	request.Host = "desk.example"
	for name, value := range map[string]string{
		"X-Cyclamenward-Request-Id": id, "X-Cyclamenward-Deadline-Ms": "15000", "Authorization": "Bearer key-a", "X-Cyclamenward-Model": engineModel,
		"X-Cyclamenward-Token-Counts": "600,80", "X-Cyclamenward-Prompt-Prefix": "5c1e07a2:400,91bd3f" + id[len(id)-2:] + ":200",
	} {
		request.Header.Set(name, value)
	}
	logf("client: %s sent to %s", id, address)
	response, err := client.Do(request)
	if err != nil {
		s.err = err
		return s
	}
	defer func() { _ = response.Body.Close() }()
	s.status = response.StatusCode
	reader, last := bufio.NewReader(response.Body), time.Now()
	for {
		line, err := reader.ReadString('\n')
		if strings.HasPrefix(line, "id:") {
			s.events++
			s.longest, last = max(s.longest, time.Since(last)), time.Now()
		}
		if err != nil {
			s.complete = err.Error() == "EOF" && s.events == engineEvents
			s.err = err
			return s
		}
	}
}

// silence sends SIGTERM to an edge while streams run, two of which the engines preempt. It
// returns how many streams the edge ends while their engine would go on.
func silence(w *world, trouble bool) int {
	s := newStore("127.0.0.1", 500)
	s.put("op/config", engineRoutes(1))
	s.put("op/version/"+engineModel, map[string]any{"model": engineModel, "version": 1})
	engines := []*engine{newEngine("127.0.2.1", "i-a1", s), newEngine("127.0.2.2", "i-b2", s)}
	port := freePort("127.0.2.1")
	edge := w.newDaemon("edge", "edge-pampa-norte-1", "127.0.1.1", port, nil, s.address)
	for i, e := range engines {
		w.newDaemon("side", fmt.Sprintf("side-pampa-norte-%d", i+1), fmt.Sprintf("127.0.2.%d", i+1), port, e, s.address).start()
	}
	edge.start()
	edge.awaitReady(10 * time.Second)
	time.Sleep(6 * time.Second)

	for _, e := range engines {
		e.setPreempts(trouble)
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	var list []streamed
	for n := range 2 * engineSlots {
		clients.Go(func() {
			one := readStream(edge.front, fmt.Sprintf("heat-%02d", n))
			mu.Lock()
			defer mu.Unlock()
			list = append(list, one)
		})
		time.Sleep(20 * time.Millisecond)
	}
	edge.signal(syscall.SIGTERM)
	stoppedAt := time.Now()
	clients.Wait()
	breaks, complete := 0, 0
	for _, one := range list {
		logf("%s: status %d, %d of %d events in %.2f s, longest pause %.2f s, complete %v (%v)", one.id, one.status, one.events, engineEvents, one.endedAt.Sub(one.sentAt).Seconds(), one.longest.Seconds(), one.complete, one.err)
		if one.complete {
			complete++
		}
		if one.status != 200 || one.complete {
			continue
		}
		for _, e := range engines {
			for _, run := range e.streams {
				// The engine was at work, and it was before the last sixth of the grace time.
				if run.id == one.id && !run.cutAt.IsZero() && run.cutAt.Sub(stoppedAt) < 8*time.Second*5/6 {
					breaks++
					logf("LOST: %s was cut %.2f s after SIGTERM while %s was at work on it, in a preemption %v", one.id, run.cutAt.Sub(stoppedAt).Seconds(), run.engine, run.preempted)
				}
			}
		}
	}
	if complete == 0 {
		must(fmt.Errorf("no stream was complete"))
	}
	edge.wait()
	return breaks
}
