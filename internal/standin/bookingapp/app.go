// Package bookingapp is a stand-in for a plain service whose calls must not run
// twice. It does not detect repeated calls itself; it records every run, so that a test
// can find the calls that ran twice.
package bookingapp

import (
	"strconv"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/responder"
	"github.com/valyala/fasthttp"
)

// Paths of the app.
const (
	PathBookings = "/bookings"
	// PathRecord lists every run.
	PathRecord = "/record"
	PathFaults = "/faults"
)

// Faults are the faults that the app shows. The zero value is a healthy app.
type Faults struct {
	// Delay is the time between the run of a booking and its answer.
	Delay time.Duration `json:"delayNanoseconds,omitempty"`
	// LoseReplies makes bookings run but closes their connections without an answer.
	LoseReplies bool `json:"loseReplies,omitempty"`
}

// Run is one execution of a booking. Number counts the runs from 1.
type Run struct {
	Number    int    `json:"number"`
	RequestID string `json:"requestID"`
	Item      string `json:"item"`
}

// App holds the record of runs, which all sidecars of the app share. It is safe for
// concurrent use.
type App struct {
	// mu guards the fields below.
	mu     sync.Mutex
	runs   []Run
	faults Faults
}

// New returns an app with an empty record.
func New() *App { return &App{} }

// Runs returns every run so far.
func (a *App) Runs() []Run {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Run(nil), a.runs...)
}

// SetFaults replaces the faults in force.
func (a *App) SetFaults(faults Faults) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults = faults
}

// book records a run and returns it with the faults in force.
func (a *App) book(requestID, item string) (Run, Faults) {
	a.mu.Lock()
	defer a.mu.Unlock()
	run := Run{Number: len(a.runs) + 1, RequestID: requestID, Item: item}
	a.runs = append(a.runs, run)
	return run, a.faults
}

// Handler serves the app over HTTP.
func Handler(a *App) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set("X-Request-Id", string(ctx.Request.Header.Peek("X-Request-Id")))
		switch {
		case string(ctx.Path()) == PathFaults:
			var faults Faults
			if responder.ReadJSON(ctx, &faults) {
				a.SetFaults(faults)
			}
		case string(ctx.Path()) == PathRecord:
			responder.WriteJSON(ctx, a.Runs())
		case string(ctx.Path()) == PathBookings && ctx.IsPost():
			serveBooking(ctx, a)
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
}

// serveBooking runs a booking and answers with its number.
func serveBooking(ctx *fasthttp.RequestCtx, a *App) {
	var booking struct {
		Item string `json:"item"`
	}
	if !responder.ReadJSON(ctx, &booking) {
		return
	}
	run, faults := a.book(string(ctx.Request.Header.Peek("X-Request-Id")), booking.Item)
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	if faults.LoseReplies {
		responder.DropConnection(ctx)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusCreated)
	ctx.SetContentType("application/json")
	ctx.SetBodyString(`{"booking":` + strconv.Itoa(run.Number) + `,"item":` + strconv.Quote(run.Item) + "}")
}
