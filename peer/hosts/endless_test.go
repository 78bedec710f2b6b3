package hosts

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEndlessListIsNotKept guards against a daemon that runs out of memory since the list of hosts has no end.
func TestEndlessListIsNotKept(t *testing.T) {
	block := []byte(strings.Repeat(" ", 64<<10))
	read := make(chan int, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		sent := 0
		for err := error(nil); err == nil && sent < 256<<20; sent += len(block) {
			_, err = w.Write(block)
		}
		read <- sent
	}))
	defer server.Close()
	_, err := New(server.Listener.Addr().String()).List()
	assert.Assert(t, err != nil)
	n := <-read
	assert.Assert(t, n < 64<<20, "%d bytes were read", n)
}
