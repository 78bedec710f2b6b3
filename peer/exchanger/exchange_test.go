package exchanger_test

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cyclamenward/cyclamenward/peer/exchanger"
	"gotest.tools/v3/assert"
)

// TestNothingIsSentTwice drops the connection after the second request has arrived.
// Whether that request ran is not known, so the error is not ErrNotSent and the request
// is not sent again.
func TestNothingIsSentTwice(t *testing.T) {
	var arrived atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if arrived.Add(1) == 1 {
			w.Header().Set("X-Echo", r.Header.Get("X-Echo"))
			w.WriteHeader(http.StatusAccepted)
			return
		}
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	c := exchanger.New(address, time.Second, 0, exchanger.Limits{MaxAnswerBytes: 1 << 20})
	request := exchanger.Request{Method: http.MethodPost, Path: "/order", Fields: []exchanger.Field{{Name: "X-Echo", Value: "e"}}, JSON: []byte("{}")}
	answer, err := c.Do(time.Now().Add(5*time.Second), request)
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, http.StatusAccepted)
	assert.Equal(t, answer.Field("X-Echo"), "e")
	_, err = c.Do(time.Now().Add(5*time.Second), request)
	assert.Assert(t, err != nil && !errors.Is(err, exchanger.ErrNotSent))
	assert.Equal(t, arrived.Load(), int64(2))
}

// TestFailedDialIsNotSent calls an address on which nothing listens.
func TestFailedDialIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = exchanger.New(address, time.Second, 0, exchanger.Limits{MaxAnswerBytes: 1 << 20}).Do(time.Now().Add(time.Second), exchanger.Request{Method: http.MethodGet, Path: "/"})
	assert.ErrorIs(t, err, exchanger.ErrNotSent)
}
