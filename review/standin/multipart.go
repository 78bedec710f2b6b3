package main

import (
	"bytes"
	"fmt"
	"time"
)

func init() { cases["form"] = formBody }

// formText is the body of a booking with an attached sheet, as a browser or curl sends it. The
// order of its parts and the header fields of each are the client's.
const formText = "--club-form\r\n" +
	"Content-Disposition: form-data; name=\"watch\"\r\n\r\ncrate 7\r\n--club-form\r\n" +
	"Content-Disposition: form-data; name=\"watch\"\r\n\r\ncrate 9\r\n--club-form\r\n" +
	"Content-Disposition: form-data; name=\"club\"\r\nContent-Type: text/plain; charset=iso-8859-1\r\n\r\nM\xfcnster\r\n--club-form\r\n" +
	"Content-Disposition: form-data; name=\"splits\"; filename=\"heat3.csv\"\r\nContent-Type: text/csv\r\n\r\nlane,split\r\n1,24.81\r\n\r\n--club-form\r\n" +
	"Content-Disposition: form-data; name=\"pay\"\r\n\r\non account\r\n--club-form--\r\n"

// formBody sends bookings whose bodies are forms. It returns how many of them a replica runs
// with another body than the client's. Without trouble the bodies are sent in chunks.
func formBody(w *world, trouble bool) int {
	s, seen := newStore("127.0.0.1", 500), &runs{}
	s.put("op/config", plainRoutes(1, "desk"))
	for i := range 3 {
		p := newPlainReplica("127.0.0.1", fmt.Sprintf("i-0%d", i), "desk", "pampa-norte", s, seen)
		go p.beatUntilLeft(heartbeat)
	}
	e := w.newEdge("edge-pampa-norte-1", "127.0.1.1", s.address)
	e.start()
	e.awaitReady(10 * time.Second)
	time.Sleep(5 * time.Second)
	fields := map[string]string{"Authorization": "Bearer key-a", "Content-Type": "multipart/form-data; boundary=club-form"}
	sent := []byte(formText)
	for n := range 20 {
		id := fmt.Sprintf("form-%02d", n)
		got := send(e.front, "POST", "/book/"+id, "desk.example", id, fields, sent, !trouble, 3*time.Second)
		logf("%s: status %d, seal %q, %v", id, got.status, got.seal, got.err)
	}
	breaks := 0
	for _, r := range seen.all() {
		if !bytes.Equal(r.body, sent) {
			breaks++
			logf("UNASKED: %s ran at %s with another body than the client's:\n%q\n%q", r.id, r.replica, sent, r.body)
		}
	}
	if len(seen.all()) == 0 {
		must(fmt.Errorf("no request was run"))
	}
	return breaks
}
