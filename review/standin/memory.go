package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// largeBody is max-body-bytes of the configuration.
	largeBody = 4 << 20
	// uploads is how many clients send a large body at the same time.
	uploads = 48
	// bursts is how often that happens.
	bursts = 3
	// keptClients is how many clients with kept connections send small requests all the while.
	keptClients = 24
	// bookingTime is how long a replica works on a booking.
	bookingTime = 60 * time.Millisecond
)

func init() { cases["memory"] = memory }

// residentMB returns the resident memory of a process in MB, 0 if it has ended.
func residentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.Atoi(strings.Fields(string(text))[1])
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20)
}

// limitMemory ends the process once it exceeds its memory, as the platform does.
func limitMemory(d *daemon) (killed <-chan struct{}) {
	done := make(chan struct{})
	d.mu.Lock()
	pid := d.cmd.Process.Pid
	d.mu.Unlock()
	go func() {
		peak := 0.0
		defer func() { logf("platform: %s had %.0f MB at most", d.name, peak) }()
		for {
			resident := residentMB(pid)
			peak = max(peak, resident)
			if resident > memoryMB {
				logf("platform: %s has %.0f MB of %d, it is killed", d.name, resident, memoryMB)
				d.mu.Lock()
				if d.cmd != nil {
					_ = d.cmd.Process.Kill()
				}
				d.mu.Unlock()
				close(done)
				return
			}
			if resident == 0 {
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
	}()
	return done
}

// exchange sends one request on a connection and reads its answer.
func exchange(conn net.Conn, reader *bufio.Reader, id string, body []byte) (status int, err error) {
	logf("client: %s sent, %d bytes", id, len(body))
	defer func() { logf("client: %s got %d, error %v", id, status, err) }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	head := fmt.Sprintf("POST /book/x HTTP/1.1\r\nHost: desk.example\r\nX-Cyclamenward-Request-Id: %s\r\nX-Cyclamenward-Deadline-Ms: 3000\r\nAuthorization: Bearer key-a\r\nContent-Length: %d\r\n\r\n", id, len(body))
	if _, err = conn.Write(append([]byte(head), body...)); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.ReadAll(response.Body)
	return response.StatusCode, err
}

// memory has clients send large bodies, all within the limits of the configuration, at the same
// time, or without trouble one after the other, three times. It returns how many requests on kept
// connections were passed on to a replica and then ended without an answer, if these are more
// than three.
func memory(w *world, trouble bool) int {
	s, seen := newStore("127.0.0.1", 500), &runs{}
	s.put("op/config", plainRoutes(1, "desk"))
	for i := range 3 {
		p := newPlainReplica("127.0.0.1", fmt.Sprintf("i-%02d", i), "desk", "pampa-norte", s, seen)
		p.work = bookingTime
		go p.beatUntilLeft(heartbeat)
	}
	e := w.newEdge("edge-pampa-norte-1", "127.0.1.1", s.address)
	breaks := 0
	for n := range bursts {
		e.start()
		e.awaitReady(10 * time.Second)
		killed := limitMemory(e)
		time.Sleep(5 * time.Second)
		for id, err := range burst(e, n, trouble) {
			if seen.hasArrived(id) {
				breaks++
				logf("LOST: %s was passed on to a replica and ended without an answer: %v", id, err)
			}
		}
		select {
		case <-killed:
			e.wait()
		default:
			// The process ends as it does when its machine is stopped.
			e.signal(syscall.SIGTERM)
			e.wait()
		}
	}
	if breaks <= 3 {
		return 0
	}
	return breaks
}

// burst plays one burst and returns the requests on kept connections that ended without an
// answer.
func burst(e *daemon, round int, trouble bool) map[string]error {
	var mu sync.Mutex
	lost := map[string]error{}
	record := func(id string, err error) {
		mu.Lock()
		defer mu.Unlock()
		lost[id] = err
	}
	var clients, large sync.WaitGroup
	stop, begin := make(chan struct{}), make(chan struct{})
	for c := range keptClients {
		clients.Go(func() {
			conn, err := net.Dial("tcp", e.front)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("kept-%d-%02d-%04d", round, c, n)
				if _, err := exchange(conn, reader, id, []byte("two crates")); err != nil {
					if n > 0 {
						record(id, err)
					}
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	for n := range uploads {
		// The connection is kept from a small request.
		conn, err := net.Dial("tcp", e.front)
		must(err)
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		_, err = exchange(conn, reader, fmt.Sprintf("small-%d-%02d", round, n), []byte("a crate"))
		must(err)
		upload := func() {
			id := fmt.Sprintf("large-%d-%02d", round, n)
			if _, err := exchange(conn, reader, id, bytes.Repeat([]byte("x"), largeBody)); err != nil {
				record(id, err)
			}
		}
		if !trouble {
			upload()
			continue
		}
		large.Go(func() {
			<-begin
			upload()
		})
	}
	close(begin)
	large.Wait()
	time.Sleep(200 * time.Millisecond)
	close(stop)
	clients.Wait()
	return lost
}
