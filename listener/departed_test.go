package listener_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cyclamenward/cyclamenward/internal/gateway"
	"github.com/cyclamenward/cyclamenward/internal/gateway/reserver"
	"github.com/cyclamenward/cyclamenward/internal/metrics/recorder"
	"github.com/cyclamenward/cyclamenward/internal/routing/router"
	"github.com/cyclamenward/cyclamenward/limiter"
	"github.com/cyclamenward/cyclamenward/listener"
	"github.com/cyclamenward/cyclamenward/peer/replica"
	"github.com/cyclamenward/cyclamenward/timekeeper"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// departedBed is a gateway before one replica, whose event loop stands still from the receipt
// of a request on.
type departedBed struct {
	replicaAddress string
	client         *replica.Client
	// handled receives the connection of the request once its event loop stands still. The
	// request goes on when it is received from proceed.
	handled chan net.Conn
	proceed chan struct{}
	// outcome receives the reason of the failure, or "answered".
	outcome chan string
	resume  func()
}

// parse implements gateway.Protocol.Parse.
func (b *departedBed) parse(ctx *fasthttp.RequestCtx, arrived time.Time) (*router.Request, bool) {
	b.resume = listener.StallLoop(ctx.Conn())
	b.handled <- ctx.Conn()
	<-b.proceed
	route := &router.Route{Name: "r", Kind: router.AtMostOnce, MaxAttempts: 1, Shares: []router.Share{{Service: "s", Weight: 1}}}
	catalog := router.NewCatalog(1, router.Limits{}, []*router.Route{route}, nil, nil)
	return &router.Request{ID: "q", Catalog: catalog, Route: route, Arrived: arrived, Deadline: arrived.Add(20 * time.Second), LastEventID: -1}, true
}

// send implements router.Transport.Send.
func (b *departedBed) send(ctx context.Context, attempt *router.Attempt) (*router.Reply, error) {
	answer, err := b.client.Do(ctx, &replica.Request{
		Address: b.replicaAddress, Method: fasthttp.MethodPost, Path: "/", Fields: []replica.Field{{Name: "Host", Value: "h"}}, ID: "q", ConnectTimeout: 5 * time.Second, Deadline: attempt.Request.Deadline,
		BeforeSend: func() ([]replica.Field, error) {
			_, err := attempt.Admit()
			return nil, err
		},
	})
	if err != nil {
		return nil, err
	}
	return &router.Reply{
		Status: answer.Header().StatusCode(), Running: -1, Queued: -1, Close: answer.Close, SetDeadline: answer.SetDeadline,
		ReadBody: func() ([]byte, error) { return answer.ReadAll(1 << 10) },
	}, nil
}

// serveReplica answers one request on each connection and returns the address.
func serveReplica(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, l.Close()) })
	go func() {
		for {
			connection, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				if _, err := connection.Read(make([]byte, 1<<10)); err == nil {
					_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	return l.Addr().String()
}

// newDepartedBed starts a gateway and its replica and returns the gateway's address.
func newDepartedBed(t *testing.T) (*departedBed, string) {
	t.Helper()
	clock := timekeeper.System{}
	b := &departedBed{
		replicaAddress: serveReplica(t), client: replica.New("Id", replica.Memory{}, clock),
		handled: make(chan net.Conn), proceed: make(chan struct{}), outcome: make(chan string, 1),
	}
	pool := router.NewPool(clock)
	pool.SetReplicas([]router.Descriptor{{ID: "i", Service: "s", Address: b.replicaAddress, Slots: 4}})
	options := router.Options{RetryBudget: limiter.BudgetLimits{Ratio: 0.2, Extra: 10, Window: 10 * time.Second}}
	r := router.New(options, pool, router.Transport{Send: b.send}, clock, log.New(io.Discard), recorder.New())
	return b, serveGateway(t, r, gateway.Protocol{
		Parse:        b.parse,
		WriteHead:    func(*fasthttp.RequestCtx, *router.Reply) { b.outcome <- "answered" },
		WriteFailure: func(_ *fasthttp.RequestCtx, failure *router.Failure) { b.outcome <- string(failure.Reason) },
	})
}

// serveGateway starts a gateway and returns its address.
func serveGateway(t *testing.T, r *router.Router, protocol gateway.Protocol) string {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := free.Addr().String()
	assert.NilError(t, free.Close())
	settings := gateway.Settings{Address: address, ReadyAddress: "127.0.0.1:0", IdleTimeout: time.Minute, Grace: 5 * time.Second, Memory: reserver.NewBudget(1<<20, 1<<20, timekeeper.System{})}
	g, err := gateway.New(settings, protocol, r, func() bool { return true }, timekeeper.System{}, log.New(io.Discard))
	assert.NilError(t, err)
	t.Cleanup(g.Drain)
	return address
}

// TestDeadlineCountsFromTheReceipt guards against requests that are given more time than their
// callers have because they waited before they were handled: a request that was received behind
// another one arrives when it is received.
func TestDeadlineCountsFromTheReceipt(t *testing.T) {
	type handling struct{ arrived, handled time.Time }
	handlings := make(chan handling, 2)
	clock := timekeeper.System{}
	r := router.New(router.Options{}, router.NewPool(clock), router.Transport{}, clock, log.New(io.Discard), recorder.New())
	address := serveGateway(t, r, gateway.Protocol{Parse: func(_ *fasthttp.RequestCtx, arrived time.Time) (*router.Request, bool) {
		handlings <- handling{arrived, time.Now()}
		return nil, false
	}})
	caller, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	first, second := <-handlings, <-handlings
	assert.Check(t, second.arrived.Before(first.handled), "it arrived %v after the first was handled", second.arrived.Sub(first.handled))
	assert.NilError(t, caller.Close())
}

// TestRequestOfDepartedCallerIsNotSent guards against the failure in which a daemon that got no
// processor for a while sent on requests whose callers had left (GONE): the request had been
// read, the close behind it had not.
func TestRequestOfDepartedCallerIsNotSent(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			b, address := newDepartedBed(t)
			caller, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			_, err = io.WriteString(caller, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
			assert.NilError(t, err)
			served := <-b.handled
			if reset {
				assert.NilError(t, caller.(*net.TCPConn).SetLinger(0))
			}
			assert.NilError(t, caller.Close())
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if listener.CloseArrived(served) {
					return poll.Success()
				}
				return poll.Continue("the close is under way")
			}, poll.WithDelay(time.Millisecond), poll.WithTimeout(20*time.Second))
			b.proceed <- struct{}{}
			outcome := <-b.outcome
			b.resume()
			assert.Equal(t, outcome, string(router.ReasonCallerGone))
		})
	}
}
