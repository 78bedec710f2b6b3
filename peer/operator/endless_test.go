package operator

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// TestEndlessAnswerIsNotKept guards against an operators' command that runs out of memory since an entry's
// answer has no end.
func TestEndlessAnswerIsNotKept(t *testing.T) {
	block := []byte(strings.Repeat(" ", 64<<10))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for sent := 0; sent < 256<<20; sent += len(block) {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	_, err := New(server.Listener.Addr().String(), "token").Status()
	assert.Assert(t, errors.Is(err, fasthttp.ErrBodyTooLarge), "%v", err)
}
